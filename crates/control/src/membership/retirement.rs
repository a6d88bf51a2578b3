//! Retirement of a replica that returns after its disk was replaced: it asks the replicas it knows,
//! empties its disk, and continues as an empty machine, which is assigned the next vacant replica
//! (design 12.3).

use std::collections::BTreeMap;
use std::time::Duration;

use mencius::ReplicaId;
use tokio::time::{sleep, timeout};
use transport::Handshake;

use super::bootstrap::{self, Assignment, AssignmentAnswer};
use super::discovery;
use crate::replica::ReplicaHandle;

#[cfg(test)]
mod tests;

/// Interval between two rounds of requests to the other replicas.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the answer of a replica, after which the replica is left out of the count.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of successive rounds after which a disk that was never admitted is emptied. Its replica
/// may just have been assigned to it, and replicas that are behind learn of it later.
const ROUNDS_WITHOUT_ADMISSION: u32 = 5;

/// The answers of the other replicas about this disk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PeerAnswers {
    /// The number of replicas that know this disk as the holder of its replica.
    still_member: usize,
    /// The number of replicas that know another disk as the holder. Each of them has applied the
    /// replacement and all entries before it.
    superseded: usize,
}

impl PeerAnswers {
    /// Returns whether this disk is to be emptied. A single answer that names another holder would
    /// suffice, because a replica gives it only after it has applied the replacement. Answers from
    /// half of the replicas are required so that a misconfigured machine does not empty a disk.
    fn should_retire(self, replica_count: u16) -> bool {
        let required = usize::from(replica_count / 2).max(1);
        self.still_member == 0 && self.superseded >= required
    }
}

/// Waits until this disk has been replaced and then empties it. Does not return while any replica
/// that answers knows the disk as the holder of its replica.
pub async fn wait_until_retired(handle: &ReplicaHandle) {
    let mut superseded_rounds = 0;
    loop {
        sleep(ROUND_INTERVAL).await;
        let superseded = !handle.reaches_majority()
            && ask_peers(handle)
                .await
                .should_retire(handle.replica_count());
        superseded_rounds = if superseded { superseded_rounds + 1 } else { 0 };
        let required_rounds = match handle.status.load().voting {
            true => 1,
            false => ROUNDS_WITHOUT_ADMISSION,
        };
        if superseded_rounds < required_rounds {
            continue;
        }
        slog::warn!(handle.logger, "another disk holds this replica; emptying this disk";
            "replica_id" => handle.replica_id(),
            "disk_id" => handle.disk_id());
        if handle.retire_disk().await {
            return;
        }
    }
}

async fn ask_peers(handle: &ReplicaHandle) -> PeerAnswers {
    let mut still_member_by_peer = BTreeMap::new();
    for location in discovery::list(&handle.known_replicas) {
        if location.replica_id == handle.replica_id() {
            continue;
        }
        let answer = timeout(ANSWER_TIMEOUT, ask_peer(handle, &location.address)).await;
        if let Ok(Some((peer_id, still_member))) = answer {
            still_member_by_peer.insert(peer_id, still_member);
        }
    }
    let still_member = still_member_by_peer
        .values()
        .filter(|member| **member)
        .count();
    PeerAnswers {
        still_member,
        superseded: still_member_by_peer.len() - still_member,
    }
}

/// Asks one peer, and returns which replica it is and whether it knows this disk as the holder of
/// its replica. Returns `None` if the peer does not answer or does not vote yet.
async fn ask_peer(handle: &ReplicaHandle, address: &str) -> Option<(ReplicaId, bool)> {
    let replica_of = |peer: &Handshake| {
        let replica = peer.replica.filter(|_| !peer.has_empty_disk);
        let replica = replica.filter(|(_, count, _)| *count == handle.replica_count());
        replica.map(|(replica_id, _, _)| replica_id)
    };
    let own_handshake = bootstrap::handshake_of_replica(handle);
    let accepts_peer = |peer: &Handshake| replica_of(peer).is_some();
    let answer = bootstrap::request_assignment(address, own_handshake, accepts_peer).await?;
    let still_member = confirms_membership(handle, &answer);
    Some((replica_of(&answer.peer_handshake)?, still_member))
}

/// Returns whether the answer confirms that this disk holds its replica. Only a member is sent the
/// disks of all members; a disk that the log names as the next holder is assigned the replica
/// without them.
fn confirms_membership(handle: &ReplicaHandle, answer: &AssignmentAnswer) -> bool {
    match &answer.assignment {
        Assignment::Replica {
            membership,
            pinned_disks,
        } => {
            let is_member = !pinned_disks.is_empty() || !handle.status.load().voting;
            membership.replica_id == handle.replica_id() && is_member
        }
        Assignment::NoneVacant => false,
    }
}
