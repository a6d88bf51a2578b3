//! Connection loss, reconnection and restart: a lost suggestion must not be mistaken for a skip
//! (design 3.5).

use mencius::{Effect, Frame, Input, Message, ProposalNumber, Replica};

use crate::harness::{deliver, frames_to, new_replica, persisted, restore};

fn open_connection(replica_0: &mut Replica, replica_1: &mut Replica) {
    replica_0.step(0, Input::ConnectionOpened(1));
    replica_1.step(0, Input::ConnectionOpened(0));
}

fn close_connection(replica_0: &mut Replica, replica_1: &mut Replica) {
    replica_0.step(0, Input::ConnectionClosed(1));
    replica_1.step(0, Input::ConnectionClosed(0));
}

/// Delivers the pending frames of each replica to the other.
fn exchange(replica_0: &mut Replica, replica_1: &mut Replica) {
    let (to_replica_1, to_replica_0) = (frames_to(replica_0, 1), frames_to(replica_1, 0));
    deliver(replica_1, 0, to_replica_1);
    deliver(replica_0, 1, to_replica_0);
}

/// Creates replicas 0 and 1, connected and resynchronized.
fn connected_pair() -> (Replica, Replica) {
    let (mut replica_0, mut replica_1) = (new_replica(0), new_replica(1));
    open_connection(&mut replica_0, &mut replica_1);
    exchange(&mut replica_0, &mut replica_1);
    exchange(&mut replica_0, &mut replica_1);
    (replica_0, replica_1)
}

#[test]
fn a_suggestion_lost_with_its_connection_is_not_taken_for_a_skip() {
    let (mut replica_0, mut replica_1) = connected_pair();
    // The suggestion is sent, and the connection breaks before it arrives.
    replica_0.step(0, Input::Submit(b"lost on the way".to_vec()));
    let suggests_instance_0 =
        |frame: &Frame| matches!(frame.message, Message::Suggest { instance: 0, .. });
    assert!(frames_to(&mut replica_0, 1).iter().any(suggests_instance_0));
    close_connection(&mut replica_0, &mut replica_1);
    open_connection(&mut replica_0, &mut replica_1);

    // Before the resync, a frame on the new connection with a cursor above the lost instance must
    // not be taken to imply a skip.
    assert_eq!(replica_0.index(), 3);
    let heartbeat = Message::Heartbeat { applied: 0 };
    deliver(
        &mut replica_1,
        0,
        vec![Frame {
            cursor: 3,
            message: heartbeat,
        }],
    );
    drop(replica_1.take_effects());
    assert_eq!(
        replica_1.applied(),
        0,
        "the instance of the lost suggestion was skipped"
    );

    // The resync repeats the suggestion, and the peer accepts it.
    let to_replica_0 = frames_to(&mut replica_1, 0);
    deliver(&mut replica_0, 1, to_replica_0);
    let hello = Message::Hello {
        learned_below: 0,
        applied: 0,
    };
    deliver(
        &mut replica_0,
        1,
        vec![Frame {
            cursor: 1,
            message: hello,
        }],
    );
    let to_replica_1 = frames_to(&mut replica_0, 1);
    assert!(
        to_replica_1.iter().any(suggests_instance_0),
        "{to_replica_1:?}"
    );
    deliver(&mut replica_1, 0, to_replica_1);
    let accept = Message::Accept { instance: 0 };
    assert!(
        frames_to(&mut replica_1, 0)
            .iter()
            .any(|frame| frame.message == accept)
    );
}

#[test]
fn only_the_coordinator_may_suggest() {
    let mut replica_1 = new_replica(1);
    replica_1.step(0, Input::ConnectionOpened(0));
    let message = Message::Suggest {
        instance: 2,
        value: b"not its own instance".to_vec(),
    };
    deliver(&mut replica_1, 0, vec![Frame { cursor: 3, message }]);
    let accepts = |frame: &Frame| matches!(frame.message, Message::Accept { .. });
    assert!(!frames_to(&mut replica_1, 0).iter().any(accepts));
}

#[test]
fn a_restarted_replica_reuses_no_instance_and_keeps_its_promises() {
    let block = (3, 30);
    let prepare = |counter| {
        let proposal_number = ProposalNumber {
            counter,
            disk_id: 9,
        };
        let message = Message::Prepare {
            coordinator: 0,
            proposal_number,
            block,
        };
        vec![Frame { cursor: 1, message }]
    };
    let mut replica_0 = new_replica(0);
    replica_0.step(0, Input::Submit(b"first".to_vec()));
    replica_0.step(0, Input::ConnectionOpened(1));
    deliver(&mut replica_0, 1, prepare(4));

    let mut restarted = restore(0, persisted(&mut replica_0));
    assert!(
        restarted.index() >= 30,
        "the restarted replica may suggest in the promised block"
    );
    restarted.step(0, Input::ConnectionOpened(1));
    deliver(&mut restarted, 1, prepare(3));
    let rejects = |frame: &Frame| matches!(frame.message, Message::Reject { .. });
    assert!(frames_to(&mut restarted, 1).iter().any(rejects));
}

#[test]
fn a_response_queued_for_a_closed_connection_is_not_sent_on_the_next_one() {
    // The next connection may lead to a later incarnation of the peer, whose first reads use the
    // same tokens.
    let mut replica_0 = new_replica(0);
    replica_0.step(0, Input::ConnectionOpened(1));
    frames_to(&mut replica_0, 1);
    replica_0.step(0, Input::Submit(b"to be synced".to_vec()));
    let request = Message::ReadIndexRequest { token: 1 };
    deliver(
        &mut replica_0,
        1,
        vec![Frame {
            cursor: 1,
            message: request,
        }],
    );
    let ticket = replica_0
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Persist { ticket, .. } => Some(ticket),
            _ => None,
        });
    // These inputs all arrive before the driver takes effects again, so the released response is
    // still queued when the connection closes.
    replica_0.step(0, Input::Persisted(ticket.expect("a persist effect")));
    replica_0.step(0, Input::ConnectionClosed(1));
    replica_0.step(0, Input::ConnectionOpened(1));
    let sent = frames_to(&mut replica_0, 1);
    let responds = |frame: &Frame| matches!(frame.message, Message::ReadIndexResponse { .. });
    assert!(!sent.iter().any(responds), "{sent:?}");
}
