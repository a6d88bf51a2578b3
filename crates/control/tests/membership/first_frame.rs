//! What the first frame of a peer means to an empty disk, by how it came to its replica (design 4.4,
//! 12.1).

use crate::machines::{Machine, handshake, until};

/// Seat 1 of two, another disk than the one under trial: greets, and says `words` on the first core channel.
async fn peer(listener: tokio::net::TcpListener, words: Vec<transport::Frame>) {
    let address = listener.local_addr().expect("an address").to_string();
    let place = transport::KnownReplica {
        replica_id: 1,
        disk_id: 77,
        address: address.clone(),
        zone: "z0".into(),
        start_count: 1,
    };
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        let own = handshake(
            transport::Purpose::Consensus,
            &address,
            Some((1, 2, 77)),
            vec![place.clone()],
        );
        if let Ok(connection) = transport::accept(stream, |_| async { Ok(own) }).await
            && connection.peer_handshake.purpose == transport::Purpose::Consensus
        {
            for word in words.clone() {
                connection
                    .sender
                    .send(word)
                    .await
                    .expect("the channel holds");
            }
            connections.push(connection);
        }
    }
}

/// Where an empty disk begins that is first told it is the first in its replica, and then where its replica begins.
async fn begins(test: &str, membership: Option<storage::MembershipRecord>) -> u64 {
    let (own, other) = (Machine::new(test, 0).await, Machine::new(test, 1).await);
    let storage::RecoveredStore { store, writes } = own.store();
    let seeds = [other.address.clone()];
    let words = vec![
        transport::Frame::FoundingReplica,
        transport::Frame::VotingRange {
            votes_after: 1_000_000,
            pinned_disks: vec![(1, 77)],
        },
    ];
    tokio::spawn(peer(other.listener, words));
    let core = control::ReplicaHandle::start_on(
        own.core(&seeds, membership, 0),
        store,
        writes,
        model::logging::discard_logger(),
    )
    .expect("a replica");
    until("a vote", || core.status.load().voting).await;
    std::fs::remove_dir_all(&own.folder).expect("clean");
    core.status.load().next_own_instance
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disk_that_took_its_replica_over_never_begins_when_it_is_called_the_first() {
    // The peer has itself just woken and does not know better; what it says next is true.
    let taken_over = storage::MembershipRecord {
        replica_id: 0,
        replica_count: 2,
        founded: false,
    };
    assert!(begins("taken-over", Some(taken_over)).await > 1_000_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disk_whose_replica_stands_in_its_settings_begins_when_it_is_called_the_first() {
    assert!(
        begins("settings", None).await < 1_000_000,
        "this is what the record guards against"
    );
}
