//! The simulated log. It orders entries, and its replicas apply them with a delay, publish updates and answer
//! freshness-proof requests (design 11.3).

use model::cluster_state::{ClusterOperation, ClusterReport, Delta};
use model::{ClusterState, Microseconds, Outcome, Position};

/// A message from a replica to a follower: the state changes from one position to another, or a freshness proof for a
/// numbered request.
#[derive(Clone, Debug)]
pub(super) enum ReplicaUpdate {
    StateChanged {
        complete: bool,
        from: Position,
        to: Position,
        deltas: Vec<Delta>,
    },
    Proof {
        request_number: u64,
        position: Position,
    },
}

/// Origin of the entry, incarnation of the origin, sequence number, and the reports.
pub(super) type LogEntry = (String, u64, u64, Vec<ClusterReport>);
/// Index of a node and number of its connection.
pub(super) type ConnectionId = (usize, u64);

#[derive(Default)]
pub(super) struct LogReplica {
    pub cluster_state: ClusterState,
    pub applied: usize,
    pub lagging_until: Microseconds,
    history: Vec<(Position, Position, Vec<Delta>)>,
    followers: Vec<(ConnectionId, Position)>,
    pending_proof_requests: Vec<(ConnectionId, u64, usize)>,
}

pub(super) struct Log {
    pub entries: Vec<LogEntry>,
    pub cluster_state: ClusterState,
    pub replicas: Vec<LogReplica>,
    /// Time when each entry was ordered.
    pub ordered_at: Vec<Microseconds>,
    /// Time until which the log orders no entries and replicas send no freshness proofs.
    pub unavailable_until: Microseconds,
}

impl Log {
    pub(super) fn new(replica_count: usize) -> Log {
        Log {
            entries: Vec::new(),
            cluster_state: ClusterState::default(),
            replicas: (0..replica_count).map(|_| LogReplica::default()).collect(),
            ordered_at: Vec::new(),
            unavailable_until: 0,
        }
    }

    pub(super) fn define_items(&mut self, items: model::cluster_state::ItemCall) {
        // Called before any other entry, so that all replicas hold the items.
        drop(
            self.cluster_state
                .apply("operator", 1, 0, ClusterOperation::Items(items)),
        );
        let cluster_state = &self.cluster_state;
        self.replicas
            .iter_mut()
            .for_each(|replica| replica.cluster_state = cluster_state.clone());
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
    /// Returns the updates for the followers that lag behind this replica. A replica that itself lags behind a follower
    /// sends it no update until the replica has caught up.
    fn pending_updates(&mut self) -> Vec<(ConnectionId, ReplicaUpdate)> {
        let (cluster_state, history) = (&self.cluster_state, &self.history);
        self.followers
            .iter_mut()
            .filter(|(_, held)| *held < cluster_state.position)
            .flat_map(|(connection, held)| {
                let first_missing = history.iter().position(|(from, ..)| from == held);
                let updates = match first_missing {
                    Some(index) => history[index..]
                        .iter()
                        .map(|(from, to, deltas)| (false, *from, *to, deltas.clone()))
                        .collect(),
                    None => vec![(true, 0, cluster_state.position, cluster_state.full_deltas())],
                };
                *held = cluster_state.position;
                let connection = *connection;
                updates
                    .into_iter()
                    .map(move |(complete, from, to, deltas)| {
                        (
                            connection,
                            ReplicaUpdate::StateChanged {
                                complete,
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
        let answered = self
            .pending_proof_requests
            .extract_if(.., |(_, _, needed_entries)| *needed_entries <= applied);
        answered
            .map(|(connection, request_number, _)| {
                (
                    connection,
                    ReplicaUpdate::Proof {
                        request_number,
                        position,
                    },
                )
            })
            .collect()
    }

    /// Applies an entry, and returns the resulting updates followed by the freshness proofs that rely on them.
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
        let updates = self.pending_updates();
        updates.into_iter().chain(self.pending_proofs()).collect()
    }

    pub(super) fn follow(
        &mut self,
        connection: ConnectionId,
        held: Position,
    ) -> Vec<(ConnectionId, ReplicaUpdate)> {
        self.followers
            .retain(|((node, _), _)| *node != connection.0);
        self.followers.push((connection, held));
        self.pending_updates()
    }

    /// Requests a freshness proof, which this replica sends once it has applied all entries ordered before the request.
    pub(super) fn request_proof(
        &mut self,
        connection: ConnectionId,
        request_number: u64,
        ordered_count: usize,
    ) -> Vec<(ConnectionId, ReplicaUpdate)> {
        self.pending_proof_requests
            .push((connection, request_number, ordered_count));
        self.pending_proofs()
    }
}
