//! Losses that come one after the other, as soon as the machine lost before counts again: whatever was answered is
//! kept, and the core goes on (design 4.4, docs/control-plane.md, point 3).

use simulator::sim::{Fault, World, WorldPlan};

const SECOND: u64 = 1_000_000;
/// A machine counts as lost for so long after it is back.
const CATCH_UP: u64 = 4 * SECOND;
/// A replaced machine comes back so long after the loss.
const AWAY: u64 = 600_000;
const ROUNDS: u64 = 6;

/// How many machines there are, and how many of them may be lost at once.
const CORES: [(u16, u16); 6] = [(3, 1), (4, 1), (5, 1), (5, 2), (7, 2), (11, 2)];

/// Which disks are lost in a round, in the order in which they are hit.
type Victims = fn(round: u64, seats: u16, seed: u64) -> u16;

fn the_one_just_repaired(_: u64, seats: u16, seed: u64) -> u16 {
    (seed % u64::from(seats)) as u16
}

/// An empty disk asks the next seat first.
fn the_one_that_repaired_it(round: u64, seats: u16, seed: u64) -> u16 {
    ((seed + round) % u64::from(seats)) as u16
}

/// Of three steps around the ring one always hits a disk that was never replaced, as long as there is one.
fn the_oldest(round: u64, seats: u16, seed: u64) -> u16 {
    ((seed + round * 3 + round / u64::from(seats)) % u64::from(seats)) as u16
}

fn orders(world: &mut World, end: u64) {
    let seats = u64::from(world.plan.replica_count);
    for number in 0..(end - SECOND) / 100_000 {
        let (time, seat) = (SECOND / 2 + number * 100_000, (number % seats) as u16);
        world.schedule_fault(time, Fault::Submit(seat, number.to_be_bytes().to_vec()));
        world.schedule_fault(
            time + 30_000,
            Fault::Read((seat + 1) % world.plan.replica_count, number),
        );
    }
}

fn played(plan: WorldPlan, losses: u16, victims: Victims, power: bool) -> World {
    let (seats, seed) = (plan.replica_count, plan.seed);
    let mut world = World::new(plan);
    let mut time = 2 * SECOND;
    for round in 0..ROUNDS {
        let first = victims(round, seats, seed);
        let lost: Vec<u16> = (0..losses).map(|more| (first + more) % seats).collect();
        lost.iter()
            .for_each(|seat| world.schedule_fault(time, Fault::Replace(*seat)));
        // The others lose power in the same moment, in every second round.
        if power && round % 2 == 1 {
            for seat in (0..seats).filter(|seat| !lost.contains(seat)) {
                world.schedule_fault(time + 1, Fault::Crash(seat));
                world.schedule_fault(time + AWAY, Fault::Start(seat));
            }
        }
        time += AWAY + CATCH_UP;
    }
    orders(&mut world, time);
    (0..seats).for_each(|seat| {
        world.schedule_fault(
            time,
            Fault::Submit(seat, format!("last {seat}").into_bytes()),
        )
    });
    world.run_until(time + CATCH_UP);
    let nodes = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&nodes);
    world.replicas = nodes;
    world
}

fn holds(victims: Victims, power: bool) {
    for (seats, losses) in CORES {
        for seed in 0..8 {
            let plan = WorldPlan {
                snapshot_every: 25,
                ..WorldPlan::new(seats, seed)
            };
            let world = played(plan, losses, victims, power);
            let broken = &world.findings.violations;
            assert!(
                broken.is_empty(),
                "{seats} seats, {losses} lost at once, seed {seed}: {:#?}",
                broken.iter().take(6).collect::<Vec<_>>()
            );
        }
    }
}

#[test]
fn the_machine_just_repaired_is_lost_again_and_again() {
    holds(the_one_just_repaired, false);
}

#[test]
fn the_machine_that_repaired_the_last_one_is_lost_next() {
    holds(the_one_that_repaired_it, false);
}

#[test]
fn the_oldest_disks_are_lost_one_after_the_other() {
    holds(the_oldest, false);
}

#[test]
fn disks_are_lost_while_all_others_lose_power() {
    holds(the_one_that_repaired_it, true);
    holds(the_oldest, true);
    holds(the_one_just_repaired, true);
}

#[test]
fn without_a_snapshot_past_each_change_a_second_loss_is_caught() {
    let broken = (0..40u64).any(|seed| {
        let plan = WorldPlan {
            snapshot_every: 0,
            snapshot_past_change: false,
            ..WorldPlan::new(3, seed)
        };
        !played(plan, 1, the_one_that_repaired_it, true)
            .findings
            .violations
            .is_empty()
    });
    assert!(
        broken,
        "no seed showed what the snapshot past a change is for"
    );
}

/// A round of troubles within what may be lost at once, drawn.
fn drawn_round(world: &mut World, time: u64, losses: u16, (kind, first, length): (u8, u8, u8)) {
    let seats = world.plan.replica_count;
    let back = time + 300_000 + u64::from(length) * 14_000;
    for more in 0..losses {
        let seat = (u16::from(first) + more * (1 + u16::from(kind / 16) % 3)) % seats;
        match kind % 6 {
            0 | 1 => world.schedule_fault(
                time + u64::from(more) * u64::from(length) * 2_000,
                Fault::Replace(seat),
            ),
            2 => {
                world.schedule_fault(time, Fault::Crash(seat));
                world.schedule_fault(back, Fault::Start(seat));
            }
            3 => {
                world.schedule_fault(time, Fault::Freeze(seat));
                world.schedule_fault(back, Fault::Unfreeze(seat));
            }
            4 => {
                for mate in (0..seats).filter(|mate| *mate != seat) {
                    world.schedule_fault(time, Fault::CutLink(seat, mate));
                    // One way only for half of them.
                    if length % 2 == 0 {
                        world.schedule_fault(time, Fault::CutLink(mate, seat));
                    }
                }
            }
            _ => {
                world.schedule_fault(time, Fault::SlowDisk(seat, 700_000));
                world.schedule_fault(back, Fault::SlowDisk(seat, 0));
            }
        }
    }
    world.schedule_fault(back, Fault::HealLinks);
    // All lose power at once, at some moment of the trouble or soon after it.
    if kind >= 192 {
        let moment = time + u64::from(length) * 9_000;
        for seat in 0..seats {
            world.schedule_fault(moment, Fault::Crash(seat));
            world.schedule_fault(moment + AWAY, Fault::Start(seat));
        }
    }
}

#[test]
fn drawn_losses_within_the_budget_lose_nothing_and_never_stop_the_core() {
    test_support::check_generated::<(u8, u64, [(u8, u8, u8); 6])>(120, |(core, seed, rounds)| {
        let (seats, losses) = CORES[usize::from(*core) % CORES.len()];
        let plan = WorldPlan {
            snapshot_every: 10 + (*seed % 60) as usize,
            caller_patience: 900_000,
            ..WorldPlan::new(seats, *seed)
        };
        let mut world = World::new(plan);
        let mut time = 2 * SECOND;
        for round in rounds {
            drawn_round(&mut world, time, losses, *round);
            time += 4 * SECOND + CATCH_UP;
        }
        orders(&mut world, time);
        for seat in 0..seats {
            world.schedule_fault(time, Fault::Unfreeze(seat));
            world.schedule_fault(time, Fault::Start(seat));
        }
        (0..seats).for_each(|seat| {
            world.schedule_fault(
                time + CATCH_UP,
                Fault::Submit(seat, format!("last {seat}").into_bytes()),
            )
        });
        world.run_until(time + CATCH_UP + 2 * SECOND);
        let nodes = std::mem::take(&mut world.replicas);
        world.findings.check_final_state(&nodes);
        let broken = &world.findings.violations;
        assert!(
            broken.is_empty(),
            "{seats} seats, {losses} lost at once, seed {seed}, {rounds:?}: {:#?}",
            broken.iter().take(6).collect::<Vec<_>>()
        );
    });
}
