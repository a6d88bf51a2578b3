//! A broken channel must not turn a suggestion into a skip (design 3.5).

use mencius::{Config, Effect, Frame, Input, Message, Replica};

fn seat(number: u16) -> Replica {
    Replica::restore(number, 3, number as u64 + 1, Config::default(), 0, vec![])
}

/// Carries out syncs at once and hands back the frames meant for `to`.
fn frames(machine: &mut Replica, to: u16) -> Vec<Frame> {
    let mut sent = Vec::new();
    loop {
        let effects = machine.take_effects();
        if effects.is_empty() {
            return sent;
        }
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send(seat, frame) if seat == to => sent.push(frame),
            Effect::Persist { ticket, .. } => machine.step(0, Input::Persisted(ticket)),
            _ => {}
        });
    }
}

fn deliver(machine: &mut Replica, from: u16, sent: Vec<Frame>) {
    sent.into_iter()
        .for_each(|frame| machine.step(0, Input::Frame(from, frame)));
}

#[test]
fn a_suggestion_lost_with_its_channel_is_not_taken_for_a_skip() {
    let (mut one, mut two) = (seat(0), seat(1));
    one.step(0, Input::ConnectionOpened(1));
    two.step(0, Input::ConnectionOpened(0));
    let (to_two, to_one) = (frames(&mut one, 1), frames(&mut two, 0));
    deliver(&mut two, 0, to_two);
    deliver(&mut one, 1, to_one);
    let (to_two, to_one) = (frames(&mut one, 1), frames(&mut two, 0));
    deliver(&mut two, 0, to_two);
    deliver(&mut one, 1, to_one);

    // The suggestion leaves, and the conn breaks under it.
    one.step(0, Input::Submit(b"lost on the way".to_vec()));
    assert!(
        frames(&mut one, 1)
            .iter()
            .any(|frame| matches!(frame.message, Message::Suggest { instance: 0, .. }))
    );
    one.step(0, Input::ConnectionClosed(1));
    two.step(0, Input::ConnectionClosed(0));
    one.step(0, Input::ConnectionOpened(1));
    two.step(0, Input::ConnectionOpened(0));

    // A frame of the new channel whose cursor is past the lost instance proves nothing before the resync.
    assert_eq!(one.index(), 3);
    deliver(
        &mut two,
        0,
        vec![Frame {
            cursor: 3,
            message: Message::Heartbeat { applied: 0 },
        }],
    );
    drop(two.take_effects());
    assert_eq!(two.applied(), 0, "the lost suggestion was skipped over");

    // The resync brings it again, and the acceptance comes back.
    let to_one = frames(&mut two, 0);
    deliver(&mut one, 1, to_one);
    deliver(
        &mut one,
        1,
        vec![Frame {
            cursor: 1,
            message: Message::Hello {
                learned_below: 0,
                applied: 0,
            },
        }],
    );
    let to_two = frames(&mut one, 1);
    assert!(
        to_two
            .iter()
            .any(|frame| matches!(frame.message, Message::Suggest { instance: 0, .. })),
        "{to_two:?}"
    );
    deliver(&mut two, 0, to_two);
    assert!(
        frames(&mut two, 0)
            .iter()
            .any(|frame| frame.message == Message::Accept { instance: 0 })
    );
}

#[test]
fn only_the_coordinator_may_suggest() {
    let mut two = seat(1);
    two.step(0, Input::ConnectionOpened(0));
    let forged = Frame {
        cursor: 3,
        message: Message::Suggest {
            instance: 2,
            value: b"not mine to say".to_vec(),
        },
    };
    deliver(&mut two, 0, vec![forged]);
    assert!(
        !frames(&mut two, 0)
            .iter()
            .any(|frame| matches!(frame.message, Message::Accept { .. }))
    );
}

#[test]
fn a_restart_uses_no_instance_twice_and_keeps_its_promises() {
    let mut one = seat(0);
    one.step(0, Input::Submit(b"first".to_vec()));
    let block = (3, 30);
    let round = mencius::ProposalNumber {
        counter: 4,
        disk_id: 9,
    };
    one.step(0, Input::ConnectionOpened(1));
    one.step(
        0,
        Input::Frame(
            1,
            Frame {
                cursor: 1,
                message: Message::Prepare {
                    coordinator: 0,
                    proposal_number: round,
                    block,
                },
            },
        ),
    );
    let mut disk = Vec::new();
    loop {
        let effects = one.take_effects();
        if effects.is_empty() {
            break;
        }
        effects.into_iter().for_each(|effect| {
            if let Effect::Persist { ticket, writes, .. } = effect {
                disk.extend(writes);
                one.step(0, Input::Persisted(ticket));
            }
        });
    }
    let mut again = Replica::restore(0, 3, 1, Config::default(), 0, disk);
    assert!(again.index() >= 30, "the promised block is left alone");
    again.step(0, Input::ConnectionOpened(1));
    let lower = mencius::ProposalNumber {
        counter: 3,
        disk_id: 9,
    };
    again.step(
        0,
        Input::Frame(
            1,
            Frame {
                cursor: 1,
                message: Message::Prepare {
                    coordinator: 0,
                    proposal_number: lower,
                    block,
                },
            },
        ),
    );
    assert!(
        frames(&mut again, 1)
            .iter()
            .any(|frame| matches!(frame.message, Message::Reject { .. }))
    );
}

#[test]
fn an_answer_of_a_channel_that_broke_does_not_go_out_on_the_next() {
    // The next channel may lead to a later life of that seat, whose first reads bear the same numbers.
    let mut one = seat(0);
    one.step(0, Input::ConnectionOpened(1));
    frames(&mut one, 1);
    one.step(0, Input::Submit(b"to be synced".to_vec()));
    one.step(
        0,
        Input::Frame(
            1,
            Frame {
                cursor: 1,
                message: Message::ReadIndexRequest { token: 1 },
            },
        ),
    );
    let ticket = one.take_effects().into_iter().find_map(|effect| {
        if let Effect::Persist { ticket, .. } = effect {
            Some(ticket)
        } else {
            None
        }
    });
    // All of it in one breath of the owner: what is released is carried out only after it.
    one.step(0, Input::Persisted(ticket.expect("a sync")));
    one.step(0, Input::ConnectionClosed(1));
    one.step(0, Input::ConnectionOpened(1));
    let sent = frames(&mut one, 1);
    assert!(
        !sent
            .iter()
            .any(|frame| matches!(frame.message, Message::ReadIndexResponse { .. })),
        "{sent:?}"
    );
}
