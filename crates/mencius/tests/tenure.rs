//! Which changes of a seat's holder end a disk's right to vote (design 4.4).

use mencius::{Config, Effect, Input, Replica, Write};

fn suggests(machine: &mut Replica) -> bool {
    machine.step(1, Input::Submit(b"value".to_vec()));
    let effects = machine.take_effects();
    effects.iter().any(|effect| matches!(effect, Effect::Persist { writes, .. } if writes.iter().any(|write| matches!(write, Write::Accept { .. }))))
}

fn holder_after(upto: u64) -> Replica {
    let state = Write::Snapshot {
        next_instance: upto + 1,
        state: Vec::new(),
    };
    let mut machine = Replica::restore(
        0,
        3,
        9,
        Config::default(),
        0,
        vec![
            Write::VotingRangeStart(upto + 1),
            Write::Index(mencius::first_instance_of(upto + 1, 0, 3)),
            state,
        ],
    );
    machine.take_effects();
    machine.take_effects();
    machine
}

#[test]
fn a_change_between_holders_before_this_disk_takes_nothing_from_it() {
    let mut machine = holder_after(5_000_000);
    machine.step(0, Input::StopVotingAfter(2_000_000));
    assert_eq!(machine.replaced_after(), None);
    assert!(
        suggests(&mut machine),
        "it may not vote though it holds the seat"
    );
}

#[test]
fn a_change_above_where_this_disk_begins_ends_its_vote_there() {
    let mut machine = holder_after(5_000_000);
    machine.step(0, Input::StopVotingAfter(5_000_000));
    assert_eq!(
        machine.replaced_after(),
        None,
        "that is the change that made it the holder"
    );
    machine.step(0, Input::StopVotingAfter(5_000_001));
    assert_eq!(machine.replaced_after(), Some(5_000_001));
    assert!(suggests(&mut machine), "the last instance that is its own");
    machine.step(2, Input::Submit(b"another".to_vec()));
    assert!(!suggests(&mut machine));
}
