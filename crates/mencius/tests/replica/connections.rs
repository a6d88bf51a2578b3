//! A broken connection must not turn a suggestion into a skip (design 3.5).

use mencius::{Effect, Frame, Input, Message, ProposalNumber, Replica};

use crate::harness::{deliver, frames_to, new_replica, persisted, restore};

fn open_connection(zero: &mut Replica, one: &mut Replica) {
    zero.step(0, Input::ConnectionOpened(1));
    one.step(0, Input::ConnectionOpened(0));
}

fn close_connection(zero: &mut Replica, one: &mut Replica) {
    zero.step(0, Input::ConnectionClosed(1));
    one.step(0, Input::ConnectionClosed(0));
}

/// Delivers what either replica has for the other.
fn exchange(zero: &mut Replica, one: &mut Replica) {
    let (to_one, to_zero) = (frames_to(zero, 1), frames_to(one, 0));
    deliver(one, 0, to_one);
    deliver(zero, 1, to_zero);
}

/// Replicas 0 and 1, connected and past their resync.
fn connected_pair() -> (Replica, Replica) {
    let (mut zero, mut one) = (new_replica(0), new_replica(1));
    open_connection(&mut zero, &mut one);
    exchange(&mut zero, &mut one);
    exchange(&mut zero, &mut one);
    (zero, one)
}

#[test]
fn a_suggestion_lost_with_its_connection_is_not_taken_for_a_skip() {
    let (mut zero, mut one) = connected_pair();
    // The suggestion leaves, and the connection breaks under it.
    zero.step(0, Input::Submit(b"lost on the way".to_vec()));
    let suggests_0 = |frame: &Frame| matches!(frame.message, Message::Suggest { instance: 0, .. });
    assert!(frames_to(&mut zero, 1).iter().any(suggests_0));
    close_connection(&mut zero, &mut one);
    open_connection(&mut zero, &mut one);

    // A frame of the new connection whose cursor is past the lost instance proves nothing before
    // the resync.
    assert_eq!(zero.index(), 3);
    let heartbeat = Message::Heartbeat { applied: 0 };
    deliver(
        &mut one,
        0,
        vec![Frame {
            cursor: 3,
            message: heartbeat,
        }],
    );
    drop(one.take_effects());
    assert_eq!(one.applied(), 0, "the lost suggestion was skipped over");

    // The resync brings it again, and the acceptance comes back.
    let to_zero = frames_to(&mut one, 0);
    deliver(&mut zero, 1, to_zero);
    let hello = Message::Hello {
        learned_below: 0,
        applied: 0,
    };
    deliver(
        &mut zero,
        1,
        vec![Frame {
            cursor: 1,
            message: hello,
        }],
    );
    let to_one = frames_to(&mut zero, 1);
    assert!(to_one.iter().any(suggests_0), "{to_one:?}");
    deliver(&mut one, 0, to_one);
    let accept = Message::Accept { instance: 0 };
    assert!(
        frames_to(&mut one, 0)
            .iter()
            .any(|frame| frame.message == accept)
    );
}

#[test]
fn only_the_coordinator_may_suggest() {
    let mut one = new_replica(1);
    one.step(0, Input::ConnectionOpened(0));
    let message = Message::Suggest {
        instance: 2,
        value: b"not its own instance".to_vec(),
    };
    deliver(&mut one, 0, vec![Frame { cursor: 3, message }]);
    let accepts = |frame: &Frame| matches!(frame.message, Message::Accept { .. });
    assert!(!frames_to(&mut one, 0).iter().any(accepts));
}

#[test]
fn a_restart_uses_no_instance_twice_and_keeps_its_promises() {
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
    let mut zero = new_replica(0);
    zero.step(0, Input::Submit(b"first".to_vec()));
    zero.step(0, Input::ConnectionOpened(1));
    deliver(&mut zero, 1, prepare(4));

    let mut restarted = restore(0, persisted(&mut zero));
    assert!(restarted.index() >= 30, "the promised block is left alone");
    restarted.step(0, Input::ConnectionOpened(1));
    deliver(&mut restarted, 1, prepare(3));
    let rejects = |frame: &Frame| matches!(frame.message, Message::Reject { .. });
    assert!(frames_to(&mut restarted, 1).iter().any(rejects));
}

#[test]
fn an_answer_of_a_connection_that_broke_does_not_go_out_on_the_next() {
    // The next connection may lead to a later incarnation of that replica, whose first reads bear
    // the same tokens.
    let mut zero = new_replica(0);
    zero.step(0, Input::ConnectionOpened(1));
    frames_to(&mut zero, 1);
    zero.step(0, Input::Submit(b"to be synced".to_vec()));
    let request = Message::ReadIndexRequest { token: 1 };
    deliver(
        &mut zero,
        1,
        vec![Frame {
            cursor: 1,
            message: request,
        }],
    );
    let ticket = zero
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Persist { ticket, .. } => Some(ticket),
            _ => None,
        });
    // All of it before the driver takes effects again: what is released is carried out only then.
    zero.step(0, Input::Persisted(ticket.expect("a sync")));
    zero.step(0, Input::ConnectionClosed(1));
    zero.step(0, Input::ConnectionOpened(1));
    let sent = frames_to(&mut zero, 1);
    let responds = |frame: &Frame| matches!(frame.message, Message::ReadIndexResponse { .. });
    assert!(!sent.iter().any(responds), "{sent:?}");
}
