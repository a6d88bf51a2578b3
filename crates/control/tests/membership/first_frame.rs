//! How an empty disk treats the first frame of a peer, depending on how it was assigned its replica
//! (design 4.4, 12.1).

use crate::machines::{Machine, handshake, wait_until};

/// Serves replica 1 of 2, which sends `frames` on every consensus connection.
async fn serve_peer(listener: tokio::net::TcpListener, frames: Vec<transport::Frame>) {
    let address = listener.local_addr().expect("an address").to_string();
    let location = transport::KnownReplica {
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
            vec![location.clone()],
        );
        if let Ok(connection) = transport::accept(stream, |_| async { Ok(own) }).await
            && connection.peer_handshake.purpose == transport::Purpose::Consensus
        {
            for frame in frames.clone() {
                connection
                    .sender
                    .send(frame)
                    .await
                    .expect("the connection is open");
            }
            connections.push(connection);
        }
    }
}

/// Starts an empty disk whose peer first confirms it as the first holder of its replica and then
/// sends a voting range. Returns the first instance in which the disk proposes.
async fn first_own_instance(test: &str, membership: Option<storage::MembershipRecord>) -> u64 {
    let (own, other) = (Machine::new(test, 0).await, Machine::new(test, 1).await);
    let storage::RecoveredStore { store, writes } = own.store();
    let seeds = [other.address.clone()];
    let frames = vec![
        transport::Frame::FoundingReplica,
        transport::Frame::VotingRange {
            votes_after: 1_000_000,
            pinned_disks: vec![(1, 77)],
        },
    ];
    tokio::spawn(serve_peer(other.listener, frames));
    let replica = control::ReplicaHandle::start_on(
        own.replica_config(&seeds, membership, 0),
        store,
        writes,
        model::logging::discard_logger(),
    )
    .expect("the replica starts");
    wait_until("a vote", || replica.status.load().voting).await;
    std::fs::remove_dir_all(&own.folder).expect("the folder is removed");
    replica.status.load().next_own_instance
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replacing_disk_does_not_vote_when_it_is_confirmed_as_the_first_holder() {
    // The peer has just started and has not applied the replacement when it sends its first frame;
    // the second frame is correct.
    let replacing = storage::MembershipRecord {
        replica_id: 0,
        replica_count: 2,
        founded: false,
    };
    assert!(first_own_instance("replacing", Some(replacing)).await > 1_000_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disk_whose_replica_is_set_by_settings_votes_when_it_is_confirmed_as_the_first_holder() {
    assert!(
        first_own_instance("settings", None).await < 1_000_000,
        "only the membership record of a replacing disk prevents this"
    );
}
