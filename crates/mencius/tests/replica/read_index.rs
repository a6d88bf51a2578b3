//! Quorum reads over connections that come late (design 3.9).

use mencius::{Config, Effect, Input, Message, Replica, ReplicaId};

/// How many read requests go out to the peers that `counts` picks.
fn requests(replica: &mut Replica, counts: impl Fn(ReplicaId) -> bool) -> usize {
    let is_request = |effect: &Effect| match effect {
        Effect::Send(to, frame) => {
            counts(*to) && matches!(frame.message, Message::ReadIndexRequest { .. })
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
fn a_read_that_set_out_alone_is_asked_of_a_peer_as_soon_as_its_connection_opens() {
    // All replicas were killed and are back: whoever follows this one asks before its peers are
    // there.
    let mut zero = Replica::restore(0, 3, 100, Config::default(), 0, Vec::new());
    zero.step(0, Input::ReadIndex(1));
    zero.take_effects();
    zero.step(1, Input::ConnectionOpened(2));
    assert_eq!(requests(&mut zero, |peer| peer == 2), 1);
    // Asked before, and not yet overdue: not asked of it again, nor of others.
    zero.step(2, Input::Tick);
    assert_eq!(requests(&mut zero, |_| true), 0);
}
