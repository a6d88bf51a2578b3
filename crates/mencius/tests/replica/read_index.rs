//! Read-index rounds over connections that open late (design 3.9).

use mencius::{Config, Effect, Input, Message, Replica, ReplicaId};

/// Returns the number of read-index requests sent to the peers that `selects` matches.
fn requests(replica: &mut Replica, selects: impl Fn(ReplicaId) -> bool) -> usize {
    let is_request = |effect: &Effect| match effect {
        Effect::Send(to, frame) => {
            selects(*to) && matches!(frame.message, Message::ReadIndexRequest { .. })
        }
        _ => false,
    };
    replica
        .take_effects()
        .iter()
        .filter(|effect| is_request(effect))
        .count()
}

#[test]
fn a_read_started_without_peers_is_requested_from_a_peer_when_its_connection_opens() {
    // All replicas were killed and restarted: a node that follows this replica requests a read
    // before any peer is connected.
    let mut replica_0 = Replica::restore(0, 3, 100, Config::default(), 0, Vec::new());
    replica_0.step(0, Input::ReadIndex(1));
    replica_0.take_effects();
    replica_0.step(1, Input::ConnectionOpened(2));
    assert_eq!(requests(&mut replica_0, |peer| peer == 2), 1);
    // The request is not overdue yet, so it is not repeated to this or any other peer.
    replica_0.step(2, Input::Tick);
    assert_eq!(requests(&mut replica_0, |_| true), 0);
}
