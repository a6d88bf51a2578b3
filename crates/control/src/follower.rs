//! A node's side: it follows one core seat, its own zone's first, and holds the bill as it was told (design 11.3).

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// What a node believes: nothing before the first proof of its life (design 11.6). From then on it serves lanes from
/// the newest it ever held; only the right to grant keys needs a fresh proof, and lasts from when that was asked (11.5).
#[derive(Clone, Debug, Default)]
pub struct VerifiedState {
    pub snapshot: Arc<model::cluster_state::StateSnapshot>,
    /// When the latest proof was asked; 0 before the first.
    pub verified_at: model::Microseconds,
}

pub type SharedVerifiedState = Arc<arc_swap::ArcSwap<VerifiedState>>;

pub struct FollowerConfig {
    pub node: String,
    pub zone: String,
    pub proof_interval: model::Microseconds,
    /// An upstream that leaves an asking without a proof for so long is left for another.
    pub proof_timeout: model::Microseconds,
}

#[derive(Clone)]
pub struct FollowerHandle {
    pub verified_state: SharedVerifiedState,
    /// Moves with every change of the outlook.
    pub changes: tokio::sync::watch::Receiver<u64>,
}

/// A node that follows a seat of another zone looks again after so long.
const OWN_ZONE_RECHECK_AFTER: model::Microseconds = 2_000_000;

struct FollowerTask<G> {
    config: FollowerConfig,
    known_replicas: crate::KnownReplicas,
    handshake: G,
    verified_state: SharedVerifiedState,
    changes: tokio::sync::watch::Sender<u64>,
    follower: crate::verification::StateFollower,
    /// How often it left a seat of another zone for its own.
    zone_rechecks: u32,
    logger: slog::Logger,
}

pub fn start<G: Fn() -> transport::Handshake + Send + Sync + 'static>(
    env: FollowerConfig,
    known: crate::KnownReplicas,
    greeting: G,
    logger: slog::Logger,
) -> FollowerHandle {
    let (moved, watch) = tokio::sync::watch::channel(0);
    let outlook: SharedVerifiedState = Default::default();
    let line = FollowerTask {
        config: env,
        known_replicas: known,
        handshake: greeting,
        verified_state: outlook.clone(),
        changes: moved,
        follower: Default::default(),
        zone_rechecks: 0,
        logger,
    };
    tokio::spawn(line.run());
    FollowerHandle {
        verified_state: outlook,
        changes: watch,
    }
}

/// Seats of the own zone first, both parts in an order of the node's own.
pub(crate) fn replicas_by_zone(
    known: &crate::KnownReplicas,
    zone: &str,
    name: &str,
) -> Vec<transport::KnownReplica> {
    let mut seats = crate::discovery::list(known);
    seats.sort_by_key(|seat| {
        (
            seat.zone != zone,
            model::leases::stable_hash(&format!("{name}{}", seat.replica_id)),
            Reverse(seat.start_count),
        )
    });
    seats
}

/// Which seat is next, and how many dials in a row reached none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ReplicaRotation {
    turn: usize,
    unreachable_in_a_row: usize,
}

impl ReplicaRotation {
    /// `met`: whether the seat that was reached proved to the end; none if it was not reached.
    fn after_attempt(self, seats: usize, met: Option<bool>) -> ReplicaRotation {
        match met {
            Some(true) => ReplicaRotation::default(),
            // Nobody could be reached for a whole round, and now one is: the way is back, and the order begins anew at once.
            Some(false) if self.unreachable_in_a_row >= seats => ReplicaRotation::default(),
            Some(false) => ReplicaRotation {
                turn: self.turn + 1,
                unreachable_in_a_row: 0,
            },
            None => ReplicaRotation {
                turn: self.turn + 1,
                unreachable_in_a_row: self.unreachable_in_a_row + 1,
            },
        }
    }
}

impl<G: Fn() -> transport::Handshake + Send + Sync + 'static> FollowerTask<G> {
    async fn run(mut self) {
        let mut turns = ReplicaRotation::default();
        loop {
            let seats =
                replicas_by_zone(&self.known_replicas, &self.config.zone, &self.config.node);
            if let Some(seat) = seats.get(turns.turn % seats.len().max(1)) {
                match transport::dial(&seat.address, (self.handshake)()).await {
                    Ok(conn) => {
                        crate::discovery::merge(
                            &self.known_replicas,
                            conn.peer_handshake.known_replicas.clone(),
                        );
                        slog::info!(self.logger, "follows"; "upstream" => &conn.peer_handshake.node_name);
                        // One that is gone may be back at once; one that proves nothing is left for the next.
                        turns = turns.after_attempt(seats.len(), Some(self.follow(conn).await));
                    }
                    Err(trouble) => {
                        turns = turns.after_attempt(seats.len(), None);
                        slog::debug!(self.logger, "dial"; "address" => &seat.address, "trouble" => %trouble);
                    }
                }
            }
            // Once round without any use: no seat proves anything now, and asking them all faster does not help.
            let round = (turns.turn / seats.len().max(1)).min(4) as u64;
            let pause = 20 + 150 * round;
            tokio::time::sleep(Duration::from_millis(
                pause + rand::random::<u64>() % (pause + 10),
            ))
            .await;
        }
    }

    /// Whether it proved what it told to the end.
    async fn follow(&mut self, mut conn: transport::Connection) -> bool {
        let held = self.follower.begin_connection();
        let mut fine = conn
            .sender
            .send(transport::Frame::FollowClusterState {
                held_position: held,
            })
            .await
            .is_ok();
        let (mut proved, began, away) = (
            false,
            model::now(),
            conn.peer_handshake.zone != self.config.zone,
        );
        let mut every = tokio::time::interval(Duration::from_micros(self.config.proof_interval));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while fine {
            fine = tokio::select! {
                frame = conn.receiver.recv() => frame.is_some_and(|frame| self.handle_frame(frame, &mut proved)),
                _ = every.tick() => {
                    let now = model::now();
                    // A seat of the own zone became known, or came back: news that crosses no zone is followed there.
                    if began + (OWN_ZONE_RECHECK_AFTER << self.zone_rechecks.min(4)) < now && away && replicas_by_zone(&self.known_replicas, &self.config.zone, &self.config.node).first().is_some_and(|seat| seat.zone == self.config.zone) {
                        self.zone_rechecks += 1;
                        break;
                    }
                    let trusted = self.follower.oldest_pending_request().is_none_or(|asked| now < asked + self.config.proof_timeout);
                    proved &= trusted;
                    trusted && conn.sender.try_send(self.follower.request_proof(now)).is_ok()
                }
            };
        }
        slog::info!(self.logger, "upstream left"; "upstream" => &conn.peer_handshake.node_name, "proved" => proved);
        proved
    }

    /// False when what the conn tells does not fit what is held.
    fn handle_frame(&mut self, frame: transport::Frame, proved: &mut bool) -> bool {
        let heard = self.follower.handle_frame(frame);
        *proved |= heard == crate::verification::UpdateOutcome::Verified;
        if heard != crate::verification::UpdateOutcome::Ignored
            && let Some(outlook) = self.follower.verified()
        {
            self.verified_state.store(Arc::new(outlook));
            self.changes.send_modify(|moved| *moved += 1);
        }
        heard != crate::verification::UpdateOutcome::Inconsistent
    }
}

#[cfg(test)]
mod tests {
    use super::ReplicaRotation;

    fn after(words: &[Option<bool>]) -> ReplicaRotation {
        words.iter().fold(ReplicaRotation::default(), |turns, met| {
            turns.after_attempt(5, *met)
        })
    }

    #[test]
    fn a_node_whose_way_is_back_begins_with_its_own_zone_at_once() {
        let cut: Vec<Option<bool>> = vec![None; 17];
        assert_eq!(after(&cut).turn, 17);
        // The first that is reached is a seat that is itself cut off.
        assert_eq!(
            after(&[cut, vec![Some(false)]].concat()),
            ReplicaRotation::default()
        );
    }

    #[test]
    fn a_dead_seat_and_one_that_proves_nothing_do_not_keep_it_from_the_third() {
        assert_eq!(after(&[None, Some(false)]).turn, 2);
        assert_eq!(
            after(&[None, Some(false), Some(true)]),
            ReplicaRotation::default()
        );
    }
}
