//! The task of a node that follows the cluster state: one replica at a time, those of the own zone
//! first (design 11.3).

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use mencius::ReplicaId;
use model::Microseconds;
use slog::Logger;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};
use transport::{Connection, Frame, Handshake, KnownReplica};

use super::verification::{SharedVerifiedState, StateFollower, UpdateOutcome};
use crate::membership::discovery::{self, KnownReplicas};

#[cfg(test)]
mod tests;

/// A node that follows a replica of another zone looks for one of its own after so long; twice as
/// long with every time that it did, up to 2 to the power of [`MAX_RECHECK_DOUBLINGS`].
const OWN_ZONE_RECHECK_AFTER: Microseconds = 2_000_000;
const MAX_RECHECK_DOUBLINGS: u32 = 4;

/// Between two connections, and how much longer for each whole round without a proof.
const RECONNECT_PAUSE_MS: u64 = 20;
const PAUSE_PER_ROUND_MS: u64 = 150;
const MAX_PAUSED_ROUNDS: usize = 4;

/// The settings of a follower. All times are in microseconds.
pub struct FollowerConfig {
    /// The name of this node.
    pub node: String,
    /// The zone of this node.
    pub zone: String,
    /// Between two requests for a proof.
    pub proof_interval: Microseconds,
    /// A replica that leaves a request without a proof for so long is left for another.
    pub proof_timeout: Microseconds,
}

/// What a follower shows of the cluster state.
#[derive(Clone)]
pub struct FollowerHandle {
    /// What the node may act on.
    pub verified_state: SharedVerifiedState,
    /// Counts the changes of `verified_state`.
    pub changes: watch::Receiver<u64>,
}

struct FollowerTask<H> {
    config: FollowerConfig,
    known_replicas: KnownReplicas,
    handshake: H,
    verified_state: SharedVerifiedState,
    changes: watch::Sender<u64>,
    follower: StateFollower,
    /// How often it left a replica of another zone for one of its own.
    zone_rechecks: u32,
    /// Why the latest replica was left, and when.
    left: Option<(LeaveReason, Microseconds)>,
    logger: Logger,
}

/// Starts to follow; the task runs as long as the process.
pub fn start<H: Fn() -> Handshake + Send + Sync + 'static>(
    config: FollowerConfig,
    known_replicas: KnownReplicas,
    handshake: H,
    logger: Logger,
) -> FollowerHandle {
    let (changes, watched_changes) = watch::channel(0);
    let verified_state = SharedVerifiedState::default();
    let task = FollowerTask {
        config,
        known_replicas,
        handshake,
        verified_state: verified_state.clone(),
        changes,
        follower: StateFollower::default(),
        zone_rechecks: 0,
        left: None,
        logger,
    };
    tokio::spawn(task.run());
    FollowerHandle {
        verified_state,
        changes: watched_changes,
    }
}

/// Replicas of the own zone first, and within and outside it in an order of the node's own, which
/// spreads the nodes over the replicas.
fn replicas_by_zone(config: &FollowerConfig, known_replicas: &KnownReplicas) -> Vec<KnownReplica> {
    let rank = |replica_id: ReplicaId| {
        let node_and_replica = format!("{}{replica_id}", config.node);
        model::leases::stable_hash(&node_and_replica)
    };
    let mut replicas = discovery::list(known_replicas);
    replicas.sort_by_key(|replica| {
        let is_elsewhere = replica.zone != config.zone;
        let latest_first = Reverse(replica.start_count);
        (is_elsewhere, rank(replica.replica_id), latest_first)
    });
    replicas
}

/// What came of an attempt to follow a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Attempt {
    /// It could not be reached.
    Unreachable,
    /// It was reached, and in the end proved nothing.
    Unproved,
    /// It proved what it sent to the end.
    Proved,
}

/// Why a replica was left.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaveReason {
    /// The connection ended.
    Closed,
    /// A request stayed without a proof for too long.
    NoProof,
    /// An update did not fit what was held.
    Inconsistent,
    /// A replica of the own zone may be back.
    OwnZone,
}

/// Which replica is next, and how many attempts in a row reached none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ReplicaRotation {
    turn: usize,
    unreachable_in_a_row: usize,
}

impl ReplicaRotation {
    fn after_attempt(self, replica_count: usize, attempt: Attempt) -> ReplicaRotation {
        match attempt {
            // One that is gone may be back at once.
            Attempt::Proved => ReplicaRotation::default(),
            // None was reachable for a whole round, and now one is: the network is back, and the
            // order begins anew.
            Attempt::Unproved if self.unreachable_in_a_row >= replica_count => {
                ReplicaRotation::default()
            }
            Attempt::Unproved => ReplicaRotation {
                turn: self.turn + 1,
                unreachable_in_a_row: 0,
            },
            Attempt::Unreachable => ReplicaRotation {
                turn: self.turn + 1,
                unreachable_in_a_row: self.unreachable_in_a_row + 1,
            },
        }
    }

    /// Longer with every whole round: when no replica proves anything, asking them all faster does
    /// not help.
    fn pause(self, replica_count: usize) -> Duration {
        let rounds = (self.turn / replica_count.max(1)).min(MAX_PAUSED_ROUNDS) as u64;
        let pause = RECONNECT_PAUSE_MS + PAUSE_PER_ROUND_MS * rounds;
        Duration::from_millis(pause + rand::random::<u64>() % (pause + 10))
    }
}

impl<H: Fn() -> Handshake + Send + Sync + 'static> FollowerTask<H> {
    async fn run(mut self) {
        let mut rotation = ReplicaRotation::default();
        loop {
            let replicas = replicas_by_zone(&self.config, &self.known_replicas);
            if let Some(replica) = replicas.get(rotation.turn % replicas.len().max(1)) {
                let attempt = self.attempt(&replica.address).await;
                rotation = rotation.after_attempt(replicas.len(), attempt);
            }
            sleep(rotation.pause(replicas.len())).await;
        }
    }

    async fn attempt(&mut self, address: &str) -> Attempt {
        let connection = match transport::dial(address, (self.handshake)()).await {
            Ok(connection) => connection,
            Err(error) => {
                slog::debug!(self.logger, "cannot connect to a replica";
                    "address" => address,
                    "error" => %error);
                return Attempt::Unreachable;
            }
        };
        let peer_handshake = &connection.peer_handshake;
        let upstream = peer_handshake.node_name.clone();
        discovery::merge(&self.known_replicas, peer_handshake.known_replicas.clone());
        slog::info!(self.logger, "following a replica"; "upstream" => &upstream);
        let (attempt, reason) = self.follow(connection).await;
        slog::info!(self.logger, "replica left";
            "upstream" => upstream,
            "reason" => ?reason,
            "proved" => attempt == Attempt::Proved);
        self.left.get_or_insert((reason, model::now()));
        attempt
    }

    /// Follows until the connection is of no use any more.
    async fn follow(&mut self, mut connection: Connection) -> (Attempt, LeaveReason) {
        let is_elsewhere = connection.peer_handshake.zone != self.config.zone;
        let held = self.follower.begin_connection();
        let mut attempt = Attempt::Unproved;
        let mut reason = LeaveReason::Closed;
        let request = Frame::FollowClusterState {
            held_position: held,
        };
        let mut usable = connection.sender.send(request).await.is_ok();
        let began_at = model::now();
        let mut proof_ticks = interval(Duration::from_micros(self.config.proof_interval));
        proof_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while usable {
            usable = tokio::select! {
                frame = connection.receiver.recv() => match frame {
                    Some(frame) => {
                        let fits = self.handle_frame(frame, &mut attempt);
                        if !fits {
                            reason = LeaveReason::Inconsistent;
                        }
                        fits
                    }
                    None => false,
                },
                _ = proof_ticks.tick() => {
                    let now = model::now();
                    if is_elsewhere && self.own_zone_is_better(now, began_at) {
                        self.zone_rechecks += 1;
                        reason = LeaveReason::OwnZone;
                        break;
                    }
                    let proves = self.proves_in_time(now);
                    if !proves {
                        attempt = Attempt::Unproved;
                        reason = LeaveReason::NoProof;
                    }
                    proves && connection.sender.try_send(self.follower.request_proof(now)).is_ok()
                }
            };
        }
        (attempt, reason)
    }

    /// A replica of the own zone became known, or may be back: updates that cross no zone are
    /// followed there.
    fn own_zone_is_better(&self, now: Microseconds, began_at: Microseconds) -> bool {
        let doublings = self.zone_rechecks.min(MAX_RECHECK_DOUBLINGS);
        if began_at + (OWN_ZONE_RECHECK_AFTER << doublings) >= now {
            return false;
        }
        let replicas = replicas_by_zone(&self.config, &self.known_replicas);
        let nearest = replicas.first();
        nearest.is_some_and(|nearest| nearest.zone == self.config.zone)
    }

    fn proves_in_time(&self, now: Microseconds) -> bool {
        let oldest = self.follower.oldest_pending_request();
        oldest.is_none_or(|requested_at| now < requested_at + self.config.proof_timeout)
    }

    /// Whether the frame fits what was received before.
    fn handle_frame(&mut self, frame: Frame, attempt: &mut Attempt) -> bool {
        let outcome = self.follower.handle_frame(frame);
        if outcome == UpdateOutcome::Verified {
            *attempt = Attempt::Proved;
            self.log_gap();
        }
        if outcome != UpdateOutcome::Ignored
            && let Some(verified_state) = self.follower.verified()
        {
            self.verified_state.store(Arc::new(verified_state));
            self.changes.send_modify(|changes| *changes += 1);
        }
        outcome != UpdateOutcome::Inconsistent
    }

    /// Says how long no replica was followed that proves what it sends.
    fn log_gap(&mut self) {
        if let Some((reason, left_at)) = self.left.take() {
            slog::info!(self.logger, "followed again";
                "left_because" => ?reason,
                "gap_us" => model::now() - left_at);
        }
    }
}
