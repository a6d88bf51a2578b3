//! Which changes of a seat's holder end a disk's right to vote (design 4.4).

use mencius::{Effect, Input, Repertory, Tuning, Write};

fn suggests(machine: &mut Repertory) -> bool {
    machine.step(1, Input::Submit(b"value".to_vec()));
    let effects = machine.drain();
    effects.iter().any(|effect| matches!(effect, Effect::Persist { writes, .. } if writes.iter().any(|write| matches!(write, Write::Accept { .. }))))
}

fn holder_after(upto: u64) -> Repertory {
    let state = Write::Snapshot { through: upto + 1, state: Vec::new() };
    let mut machine =
        Repertory::restore(0, 3, 9, Tuning::default(), 0, vec![Write::VoteFrom(upto + 1), Write::Index(mencius::first_own(upto + 1, 0, 3)), state]);
    machine.drain();
    machine.drain();
    machine
}

#[test]
fn a_change_between_holders_before_this_disk_takes_nothing_from_it() {
    let mut machine = holder_after(5_000_000);
    machine.step(0, Input::VoteUntil(2_000_000));
    assert_eq!(machine.superseded_after(), None);
    assert!(suggests(&mut machine), "it may not vote though it holds the seat");
}

#[test]
fn a_change_above_where_this_disk_begins_ends_its_vote_there() {
    let mut machine = holder_after(5_000_000);
    machine.step(0, Input::VoteUntil(5_000_000));
    assert_eq!(machine.superseded_after(), None, "that is the change that made it the holder");
    machine.step(0, Input::VoteUntil(5_000_001));
    assert_eq!(machine.superseded_after(), Some(5_000_001));
    assert!(suggests(&mut machine), "the last instance that is its own");
    machine.step(2, Input::Submit(b"another".to_vec()));
    assert!(!suggests(&mut machine));
}
