//! A core machine that comes back to find its seat another disk's: it asks the seats it knows, lets its disk go, and is an
//! empty machine from then on, which takes the next vacant seat (design 12.3).

use std::collections::BTreeMap;
use std::time::Duration;

/// Between two rounds of asking.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// A seat that has not answered by then is not counted.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What the other seats say of this disk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PeerAnswers {
    /// Seats that take this disk for the holder of its seat.
    still_member: usize,
    /// Seats that know another disk there. Each of them has applied the change and all that led to it.
    superseded: usize,
}

impl PeerAnswers {
    /// One answer would do, as a seat takes another disk for the holder only past the change; half of the seats are asked
    /// for so that a machine that was set up wrongly empties no disk.
    fn should_retire(self, seats: u16) -> bool {
        self.still_member == 0 && self.superseded >= usize::from(seats / 2).max(1)
    }
}

/// Returns once this disk was let go; never while a majority takes it for the holder of its seat.
pub async fn wait_until_retired(core: &crate::ReplicaHandle) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        // One that was not let in yet is nobody's holder and waits for its seat.
        let votes = core.status.load().voting;
        if !votes
            || core.reaches_majority()
            || !ask_peers(core).await.should_retire(core.replica_count())
        {
            continue;
        }
        let (seat, identity) = core.identity();
        slog::warn!(core.logger, "another disk holds this seat; lets its own go and asks for a seat as an empty machine"; "seat" => seat, "disk" => identity);
        if retire_disk(core).await {
            return;
        }
    }
}

async fn ask_peers(core: &crate::ReplicaHandle) -> PeerAnswers {
    let (own, _) = core.identity();
    let mut heard = BTreeMap::new();
    for place in crate::discovery::list(&core.known_replicas)
        .into_iter()
        .filter(|place| place.replica_id != own)
    {
        if let Ok(Some((seat, holder))) =
            tokio::time::timeout(ANSWER_TIMEOUT, ask_peer(core, &place.address)).await
        {
            heard.insert(seat, holder);
        }
    }
    let holder = heard.values().filter(|holder| **holder).count();
    PeerAnswers {
        still_member: holder,
        superseded: heard.len() - holder,
    }
}

/// Which seat answered, and whether it takes this disk for the holder of its seat. None from one that does not vote yet.
async fn ask_peer(core: &crate::ReplicaHandle, address: &str) -> Option<(u16, bool)> {
    let (own, identity) = core.identity();
    let greeting = transport::Handshake {
        replica: Some((u16::MAX, 0, identity)),
        ..core.handshake(transport::Purpose::RequestAssignment)
    };
    let mut conn = transport::dial(address, greeting).await.ok()?;
    let (seat, ..) = conn.peer_handshake.replica.filter(|(_, seats, _)| {
        *seats == core.replica_count() && !conn.peer_handshake.has_empty_disk
    })?;
    loop {
        match conn.receiver.recv().await? {
            transport::Frame::ReplicaAssignment {
                replica_id: told,
                pinned_disks: pins,
                ..
            } => return Some((seat, told == own && !pins.is_empty())),
            transport::Frame::NoReplicaAvailable => return Some((seat, false)),
            _ => {}
        }
    }
}

async fn retire_disk(core: &crate::ReplicaHandle) -> bool {
    core.store_writer.retire().await.is_ok()
}

#[cfg(test)]
mod tests {
    use super::PeerAnswers;

    #[test]
    fn a_disk_is_let_go_only_when_half_of_the_seats_know_another_and_none_knows_this_one() {
        let decided = |holder, superseded, seats| {
            PeerAnswers {
                still_member: holder,
                superseded,
            }
            .should_retire(seats)
        };
        assert!(decided(0, 1, 3) && decided(0, 2, 4) && decided(0, 3, 7));
        assert!(
            !decided(0, 0, 3) && !decided(0, 1, 4) && !decided(0, 2, 7),
            "cut off, or almost"
        );
        assert!(
            !decided(1, 2, 4) && !decided(1, 5, 7),
            "one that has not come past the change"
        );
    }
}
