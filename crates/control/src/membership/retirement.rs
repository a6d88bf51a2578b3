//! A replica that comes back after another disk has taken its place: it asks the replicas it
//! knows, empties its disk, and is an empty machine from then on, which gets the next vacant
//! replica (design 12.3).

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

/// Between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// A replica that has not answered within so long is not counted.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What the other replicas say of this disk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PeerAnswers {
    /// Replicas that know this disk as the holder of its replica.
    still_member: usize,
    /// Replicas that know another disk there. Each of them has applied the replacement and all
    /// that led to it.
    superseded: usize,
}

impl PeerAnswers {
    /// One answer would do, as a replica knows another disk as the holder only past the
    /// replacement; half of them are asked for so that a machine that was set up wrongly empties
    /// no disk.
    fn should_retire(self, replica_count: u16) -> bool {
        let required = usize::from(replica_count / 2).max(1);
        self.still_member == 0 && self.superseded >= required
    }
}

/// Returns once this disk is emptied; never while a majority knows it as the holder of its
/// replica.
pub async fn wait_until_retired(handle: &ReplicaHandle) {
    loop {
        sleep(ROUND_INTERVAL).await;
        // A disk that does not vote yet holds nothing and waits to be admitted.
        if !handle.status.load().voting || handle.reaches_majority() {
            continue;
        }
        if !ask_peers(handle)
            .await
            .should_retire(handle.replica_count())
        {
            continue;
        }
        slog::warn!(handle.logger, "another disk holds this replica, this disk is emptied";
            "replica_id" => handle.replica_id(),
            "disk_id" => handle.disk_id());
        if handle.retire_disk().await {
            return;
        }
    }
}

async fn ask_peers(handle: &ReplicaHandle) -> PeerAnswers {
    let mut still_member_at = BTreeMap::new();
    for location in discovery::list(&handle.known_replicas) {
        if location.replica_id == handle.replica_id() {
            continue;
        }
        let answer = timeout(ANSWER_TIMEOUT, ask_peer(handle, &location.address)).await;
        if let Ok(Some((peer_id, still_member))) = answer {
            still_member_at.insert(peer_id, still_member);
        }
    }
    let members = still_member_at.values().filter(|member| **member).count();
    PeerAnswers {
        still_member: members,
        superseded: still_member_at.len() - members,
    }
}

/// Which replica answered, and whether it knows this disk as the holder of its replica. `None`
/// from one that does not vote yet.
async fn ask_peer(handle: &ReplicaHandle, address: &str) -> Option<(ReplicaId, bool)> {
    let replica_of = |peer: &Handshake| {
        let replica = peer.replica.filter(|_| !peer.has_empty_disk);
        let replica = replica.filter(|(_, count, _)| *count == handle.replica_count());
        replica.map(|(replica_id, _, _)| replica_id)
    };
    let own_handshake = bootstrap::handshake_of_replica(handle);
    let is_asked = |peer: &Handshake| replica_of(peer).is_some();
    let answer = bootstrap::request_assignment(address, own_handshake, is_asked).await?;
    let still_member = knows_as_member(handle, &answer);
    Some((replica_of(&answer.peer_handshake)?, still_member))
}

/// An answer that names the members is given only to a disk that is one of them; without them the
/// replica is offered to this disk as to any empty one.
fn knows_as_member(handle: &ReplicaHandle, answer: &AssignmentAnswer) -> bool {
    match &answer.assignment {
        Assignment::Replica {
            membership,
            pinned_disks,
        } => membership.replica_id == handle.replica_id() && !pinned_disks.is_empty(),
        Assignment::NoneVacant => false,
    }
}
