//! A textual description of the replica's state for log messages, to diagnose a log that does not
//! advance.

use crate::messages::ReplicaId;
use crate::replica::Replica;

impl Replica {
    /// Describes, in one line of text, the connection and the progress of each replica, the
    /// revocations in progress, and the bounds of this replica.
    pub fn diagnostics(&self) -> String {
        let replicas = self
            .replica_ids()
            .map(|replica_id| self.describe_replica(replica_id));
        let revocations = self.revocations.iter().map(|(coordinator, revocation)| {
            format!(
                "revocation of coordinator {coordinator}: block {:?}, {:?}, \
                 {} promises, {} acceptances",
                revocation.block,
                revocation.proposal_number,
                revocation.promises.len(),
                revocation.accepted_by.len()
            )
        });
        let bounds = format!(
            "voting range {} to {}, compaction point {}, executed below {}",
            self.voting_range_start, self.voting_range_end, self.compaction_point, self.executed
        );
        replicas
            .chain(revocations)
            .chain([bounds])
            .collect::<Vec<_>>()
            .join("; ")
    }

    fn describe_replica(&self, replica_id: ReplicaId) -> String {
        let peer = self.peer(replica_id);
        let unknown = self.first_unknown_of(replica_id, self.applied);
        format!(
            "replica {replica_id}: connected {}, suspected {}, applied below {}, \
             first unknown instance {unknown}",
            peer.connected, peer.suspected, peer.applied
        )
    }
}
