//! A control machine that is cut off, frozen or restarted inside a cut for twenty seconds, with callers that still
//! reach it (design 3.2, docs/control-plane.md, point 1).

use simulator::sim::{Fault, World, WorldPlan};
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;
/// A caller is told by then that its entry is not known to be taken.
const PATIENCE: u64 = 900_000;
/// Suspicion, and a revocation that another one gets in the way of.
const DECIDED: u64 = 2 * SECOND;
const BEGINS: u64 = 2 * SECOND;
const HEALS: u64 = 22 * SECOND;
/// Inside it a machine is to be a full member again.
const CATCH_UP: u64 = 4 * SECOND;
const CUT_OFF: u16 = 0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Cut,
    HearsNobody,
    IsHeardByNobody,
    Frozen,
    RestartedInside,
}

const TROUBLES: [Trouble; 5] = [
    Trouble::Cut,
    Trouble::HearsNobody,
    Trouble::IsHeardByNobody,
    Trouble::Frozen,
    Trouble::RestartedInside,
];

fn strike(world: &mut World, trouble: Trouble) {
    let others = 1..world.plan.replica_count;
    match trouble {
        Trouble::Frozen => {
            world.schedule_fault(BEGINS, Fault::Freeze(CUT_OFF));
            world.schedule_fault(HEALS, Fault::Unfreeze(CUT_OFF));
        }
        Trouble::HearsNobody => {
            others.for_each(|mate| world.schedule_fault(BEGINS, Fault::CutLink(mate, CUT_OFF)))
        }
        Trouble::IsHeardByNobody => {
            others.for_each(|mate| world.schedule_fault(BEGINS, Fault::CutLink(CUT_OFF, mate)))
        }
        Trouble::Cut | Trouble::RestartedInside => others.for_each(|mate| {
            world.schedule_fault(BEGINS, Fault::CutLink(CUT_OFF, mate));
            world.schedule_fault(BEGINS, Fault::CutLink(mate, CUT_OFF));
        }),
    }
    if trouble == Trouble::RestartedInside {
        world.schedule_fault(9 * SECOND, Fault::Crash(CUT_OFF));
        world.schedule_fault(10 * SECOND, Fault::Start(CUT_OFF));
    }
    world.schedule_fault(HEALS, Fault::HealLinks);
}

/// Orders and reads at every seat in turn, the one that is cut off too, from the first second to the end.
fn call(world: &mut World) {
    let seats = u64::from(world.plan.replica_count);
    for number in 0..120 {
        let (time, seat) = (SECOND + number * 250_000, (number % seats) as u16);
        world.schedule_fault(time, Fault::Submit(seat, number.to_be_bytes().to_vec()));
        world.schedule_fault(time + 40_000, Fault::Read(seat, number));
    }
}

fn played(seats: u16, seed: u64, trouble: Trouble, caller_timeout: u64) -> World {
    let mut world = World::new(WorldPlan {
        caller_timeout,
        ..WorldPlan::new(seats, seed)
    });
    strike(&mut world, trouble);
    call(&mut world);
    world.run_until(HEALS + CATCH_UP);
    world
}

#[test]
fn nothing_that_a_seat_kept_in_hand_takes_effect_long_after_its_caller_was_answered() {
    for (seats, seed, trouble) in drawn() {
        let world = played(seats, seed, trouble, PATIENCE);
        assert_eq!(
            world.findings.violations,
            Vec::<String>::new(),
            "{seats} seats, seed {seed}, {trouble:?}"
        );
        let late = world.findings.late_entries(PATIENCE + DECIDED);
        assert!(
            late.is_empty(),
            "{seats} seats, seed {seed}, {trouble:?}: {late:?} took effect late"
        );
    }
}

#[test]
fn suggestions_that_are_made_again_for_nobody_are_caught() {
    let late = drawn().any(|(seats, seed, trouble)| {
        !played(seats, seed, trouble, u64::MAX)
            .findings
            .late_entries(PATIENCE + DECIDED)
            .is_empty()
    });
    assert!(
        late,
        "no order took effect long after its caller was answered"
    );
}

#[test]
fn no_read_is_proved_at_a_seat_that_reaches_no_majority() {
    for (seats, seed, trouble) in drawn() {
        let mut world = World::new(WorldPlan {
            caller_timeout: PATIENCE,
            ..WorldPlan::new(seats, seed)
        });
        strike(&mut world, trouble);
        call(&mut world);
        world.run_until(BEGINS + SECOND);
        world.proved_reads.clear();
        world.run_until(HEALS - 1);
        let proved: Vec<u64> = world
            .proved_reads
            .iter()
            .filter(|(_, seat)| *seat == CUT_OFF)
            .map(|(token, _)| *token)
            .collect();
        assert!(
            proved.is_empty(),
            "{seats} seats, seed {seed}, {trouble:?}: reads {proved:?} were proved"
        );
        assert!(world.proved_reads.len() > 20, "the others prove");
    }
}

#[test]
fn a_seat_is_a_full_member_again_soon_after_the_cut() {
    for (seats, seed, trouble) in drawn() {
        let mut world = played(seats, seed, trouble, PATIENCE);
        // What it is given now it has chosen and applied, and so have all others.
        let last = b"after the cut".to_vec();
        world.submit(CUT_OFF, last.clone());
        world.run_until(HEALS + CATCH_UP + SECOND);
        let holds = |node: &simulator::sim::SimulatedReplica| {
            node.applied.iter().any(|(_, value)| *value == last)
        };
        assert!(
            world.replicas.iter().all(holds),
            "{seats} seats, seed {seed}, {trouble:?}"
        );
        let lengths: BTreeSet<usize> = world
            .replicas
            .iter()
            .map(|node| node.applied.len())
            .collect();
        assert_eq!(
            lengths.len(),
            1,
            "{seats} seats, seed {seed}, {trouble:?}: {lengths:?} entries"
        );
    }
}

fn drawn() -> impl Iterator<Item = (u16, u64, Trouble)> {
    let seats = [3u16, 4, 5, 7];
    seats.into_iter().flat_map(|seats| {
        (1..7u64).flat_map(move |seed| {
            TROUBLES
                .into_iter()
                .map(move |trouble| (seats, seed, trouble))
        })
    })
}
