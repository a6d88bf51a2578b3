//! One order of entries, and seats that apply it late, tell news and prove (design 11.3).

use model::cluster_state::{ClusterOperation, ClusterReport, Delta};
use model::{ClusterState, Microseconds, Outcome, Position};

/// What a seat says on a conn: news from one position to another, or a proof by number.
#[derive(Clone, Debug)]
pub(super) enum ReplicaUpdate {
    StateChanged {
        complete: bool,
        from: Position,
        to: Position,
        deltas: Vec<Delta>,
    },
    Proof {
        number: u64,
        position: Position,
    },
}

pub(super) type LogEntry = (String, u64, u64, Vec<ClusterReport>);
/// Node and the number of its conn.
pub(super) type ConnectionId = (usize, u64);

#[derive(Default)]
pub(super) struct LogReplica {
    pub cluster_state: ClusterState,
    pub applied: usize,
    pub lagging_until: Microseconds,
    history: Vec<(Position, Position, Vec<Delta>)>,
    followers: Vec<(ConnectionId, Position)>,
    pending_asks: Vec<(ConnectionId, u64, usize)>,
}

pub(super) struct Log {
    pub entries: Vec<LogEntry>,
    pub cluster_state: ClusterState,
    pub replicas: Vec<LogReplica>,
    /// When each entry was ordered.
    pub ordered_at: Vec<Microseconds>,
    /// Nothing is ordered nor proved until then.
    pub unavailable_until: Microseconds,
}

impl Log {
    pub(super) fn new(seats: usize) -> Log {
        Log {
            entries: Vec::new(),
            cluster_state: ClusterState::default(),
            replicas: (0..seats).map(|_| LogReplica::default()).collect(),
            ordered_at: Vec::new(),
            unavailable_until: 0,
        }
    }

    pub(super) fn define_items(&mut self, call: model::cluster_state::ItemCall) {
        // Before anything else: all seats hold the items.
        drop(
            self.cluster_state
                .apply("operator", 1, 0, ClusterOperation::Items(call)),
        );
        let bill = &self.cluster_state;
        self.replicas
            .iter_mut()
            .for_each(|seat| seat.cluster_state = bill.clone());
    }

    pub(super) fn order(&mut self, now: Microseconds, entry: LogEntry) -> Outcome {
        self.ordered_at.push(now);
        self.entries.push(entry.clone());
        self.cluster_state
            .apply(
                &entry.0,
                entry.1,
                entry.2,
                ClusterOperation::Reports(entry.3),
            )
            .0
    }
}

impl LogReplica {
    /// A seat that lags behind a follower tells it nothing until it has caught up.
    fn pending_updates(&mut self) -> Vec<(ConnectionId, ReplicaUpdate)> {
        let (bill, history) = (&self.cluster_state, &self.history);
        self.followers
            .iter_mut()
            .filter(|(_, held)| *held < bill.position)
            .flat_map(|(conn, held)| {
                let since = history.iter().position(|(from, ..)| from == held);
                let news = match since {
                    Some(at) => history[at..]
                        .iter()
                        .map(|(from, to, deltas)| (false, *from, *to, deltas.clone()))
                        .collect(),
                    None => vec![(true, 0, bill.position, bill.full_deltas())],
                };
                *held = bill.position;
                let conn = *conn;
                news.into_iter()
                    .map(move |(afresh, from, to, deltas)| {
                        (
                            conn,
                            ReplicaUpdate::StateChanged {
                                complete: afresh,
                                from,
                                to,
                                deltas,
                            },
                        )
                    })
                    .collect::<Vec<_>>()
            })
            .collect()
    }

    fn pending_proofs(&mut self) -> Vec<(ConnectionId, ReplicaUpdate)> {
        let (applied, position) = (self.applied, self.cluster_state.position);
        let done = self
            .pending_asks
            .extract_if(.., |(_, _, needed)| *needed <= applied);
        done.map(|(conn, number, _)| (conn, ReplicaUpdate::Proof { number, position }))
            .collect()
    }

    /// News goes before the proof that leans on it.
    pub(super) fn apply(&mut self, entry: LogEntry) -> Vec<(ConnectionId, ReplicaUpdate)> {
        let before = self.cluster_state.position;
        let (_, deltas) = self.cluster_state.apply(
            &entry.0,
            entry.1,
            entry.2,
            ClusterOperation::Reports(entry.3),
        );
        self.applied += 1;
        if !deltas.is_empty() {
            self.history
                .push((before, self.cluster_state.position, deltas));
            self.history.drain(..self.history.len().saturating_sub(12));
        }
        let news = self.pending_updates();
        news.into_iter().chain(self.pending_proofs()).collect()
    }

    pub(super) fn follow(
        &mut self,
        conn: ConnectionId,
        held: Position,
    ) -> Vec<(ConnectionId, ReplicaUpdate)> {
        self.followers.retain(|((node, _), _)| *node != conn.0);
        self.followers.push((conn, held));
        self.pending_updates()
    }

    /// Proved once all that was ordered before the asking is applied here.
    pub(super) fn ask(
        &mut self,
        conn: ConnectionId,
        number: u64,
        ordered: usize,
    ) -> Vec<(ConnectionId, ReplicaUpdate)> {
        self.pending_asks.push((conn, number, ordered));
        self.pending_proofs()
    }
}
