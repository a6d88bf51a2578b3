//! Replicas lose their disks one after the other, each as soon as the log tolerates a loss again. Every answered entry must
//! be kept, and the log must continue (design 4.4, docs/control-plane.md, point 3).

use simulator::sim::{Fault, World, WorldPlan};

const SECOND: u64 = 1_000_000;
/// Time after its restart for which a replica still counts as lost, in microseconds.
const CATCH_UP: u64 = 4 * SECOND;
/// Time between the loss of a replica and its restart, in microseconds.
const ABSENCE: u64 = 600_000;
/// Number of rounds of losses.
const ROUNDS: u64 = 6;

/// Numbers of replicas, each with the number of losses at once that is tolerated.
const CONFIGURATIONS: [(u16, u16); 6] = [(3, 1), (4, 1), (5, 1), (5, 2), (7, 2), (11, 2)];

/// Selects the first replica that is lost in a round. Further ones follow it in the order of their ids.
type SelectLost = fn(round: u64, replica_count: u16, seed: u64) -> u16;

fn just_replaced(_: u64, replica_count: u16, seed: u64) -> u16 {
    (seed % u64::from(replica_count)) as u16
}

/// A replica with an empty disk asks the next replica for its admission first.
fn helper_of_last_replacement(round: u64, replica_count: u16, seed: u64) -> u16 {
    ((seed + round) % u64::from(replica_count)) as u16
}

/// Selects replicas in steps of three ids. One of three steps always selects a disk that was never replaced, as long as
/// there is one.
fn oldest_disk(round: u64, replica_count: u16, seed: u64) -> u16 {
    ((seed + round * 3 + round / u64::from(replica_count)) % u64::from(replica_count)) as u16
}

fn schedule_calls(world: &mut World, end: u64) {
    let replica_count = u64::from(world.plan.replica_count);
    for number in 0..(end - SECOND) / 100_000 {
        let (time, replica_id) = (
            SECOND / 2 + number * 100_000,
            (number % replica_count) as u16,
        );
        world.schedule_fault(
            time,
            Fault::Submit(replica_id, number.to_be_bytes().to_vec()),
        );
        world.schedule_fault(
            time + 30_000,
            Fault::Read((replica_id + 1) % world.plan.replica_count, number),
        );
    }
}

fn simulate(plan: WorldPlan, losses: u16, select_lost: SelectLost, with_power_loss: bool) -> World {
    let (replica_count, seed) = (plan.replica_count, plan.seed);
    let mut world = World::new(plan);
    let mut time = 2 * SECOND;
    for round in 0..ROUNDS {
        let first = select_lost(round, replica_count, seed);
        let lost: Vec<u16> = (0..losses)
            .map(|offset| (first + offset) % replica_count)
            .collect();
        lost.iter()
            .for_each(|replica_id| world.schedule_fault(time, Fault::Replace(*replica_id)));
        // In every second round the other replicas lose power at the same time.
        if with_power_loss && round % 2 == 1 {
            for replica_id in (0..replica_count).filter(|replica_id| !lost.contains(replica_id)) {
                world.schedule_fault(time + 1, Fault::Crash(replica_id));
                world.schedule_fault(time + ABSENCE, Fault::Start(replica_id));
            }
        }
        time += ABSENCE + CATCH_UP;
    }
    schedule_calls(&mut world, time);
    (0..replica_count).for_each(|replica_id| {
        world.schedule_fault(
            time,
            Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
        )
    });
    world.run_until(time + CATCH_UP);
    let replicas = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&replicas);
    world.replicas = replicas;
    world
}

fn assert_no_violations(select_lost: SelectLost, with_power_loss: bool) {
    for (replica_count, losses) in CONFIGURATIONS {
        for seed in 0..8 {
            let plan = WorldPlan {
                snapshot_every: 25,
                ..WorldPlan::new(replica_count, seed)
            };
            let world = simulate(plan, losses, select_lost, with_power_loss);
            let violations = &world.findings.violations;
            assert!(
                violations.is_empty(),
                "{replica_count} replicas, {losses} lost at once, seed {seed}: {:#?}",
                violations.iter().take(6).collect::<Vec<_>>()
            );
        }
    }
}

#[test]
fn the_replica_just_replaced_is_lost_repeatedly() {
    assert_no_violations(just_replaced, false);
}

#[test]
fn the_helper_of_the_last_replacement_is_lost_next() {
    assert_no_violations(helper_of_last_replacement, false);
}

#[test]
fn the_oldest_disks_are_lost_one_after_the_other() {
    assert_no_violations(oldest_disk, false);
}

#[test]
fn disks_are_lost_while_all_others_lose_power() {
    assert_no_violations(helper_of_last_replacement, true);
    assert_no_violations(oldest_disk, true);
    assert_no_violations(just_replaced, true);
}

#[test]
fn without_a_snapshot_past_each_change_a_second_loss_is_caught() {
    let is_violated = (0..40u64).any(|seed| {
        let plan = WorldPlan {
            snapshot_every: 0,
            snapshot_after_replacement: false,
            ..WorldPlan::new(3, seed)
        };
        !simulate(plan, 1, helper_of_last_replacement, true)
            .findings
            .violations
            .is_empty()
    });
    assert!(
        is_violated,
        "no seed showed a violation without the snapshot after a replacement"
    );
}

/// Schedules a round of random faults at no more replicas than may be lost at once.
fn schedule_random_round(
    world: &mut World,
    time: u64,
    losses: u16,
    (kind, first, length): (u8, u8, u8),
) {
    let replica_count = world.plan.replica_count;
    let healed_at = time + 300_000 + u64::from(length) * 14_000;
    for offset in 0..losses {
        let replica_id =
            (u16::from(first) + offset * (1 + u16::from(kind / 16) % 3)) % replica_count;
        match kind % 6 {
            0 | 1 => world.schedule_fault(
                time + u64::from(offset) * u64::from(length) * 2_000,
                Fault::Replace(replica_id),
            ),
            2 => {
                world.schedule_fault(time, Fault::Crash(replica_id));
                world.schedule_fault(healed_at, Fault::Start(replica_id));
            }
            3 => {
                world.schedule_fault(time, Fault::Freeze(replica_id));
                world.schedule_fault(healed_at, Fault::Unfreeze(replica_id));
            }
            4 => {
                for peer in (0..replica_count).filter(|peer| *peer != replica_id) {
                    world.schedule_fault(time, Fault::CutLink(replica_id, peer));
                    // Half of the cuts are in one direction only.
                    if length % 2 == 0 {
                        world.schedule_fault(time, Fault::CutLink(peer, replica_id));
                    }
                }
            }
            _ => {
                world.schedule_fault(time, Fault::SlowDisk(replica_id, 700_000));
                world.schedule_fault(healed_at, Fault::SlowDisk(replica_id, 0));
            }
        }
    }
    world.schedule_fault(healed_at, Fault::HealLinks);
    // All replicas lose power at once, during the faults or soon after them.
    if kind >= 192 {
        let power_loss_at = time + u64::from(length) * 9_000;
        for replica_id in 0..replica_count {
            world.schedule_fault(power_loss_at, Fault::Crash(replica_id));
            world.schedule_fault(power_loss_at + ABSENCE, Fault::Start(replica_id));
        }
    }
}

#[test]
fn random_losses_that_are_tolerated_lose_nothing_and_never_stop_the_log() {
    test_support::check_generated::<(u8, u64, [(u8, u8, u8); 6])>(
        120,
        |(configuration, seed, rounds)| {
            let (replica_count, losses) =
                CONFIGURATIONS[usize::from(*configuration) % CONFIGURATIONS.len()];
            let plan = WorldPlan {
                snapshot_every: 10 + (*seed % 60) as usize,
                caller_timeout: 900_000,
                ..WorldPlan::new(replica_count, *seed)
            };
            let mut world = World::new(plan);
            let mut time = 2 * SECOND;
            for round in rounds {
                schedule_random_round(&mut world, time, losses, *round);
                time += 4 * SECOND + CATCH_UP;
            }
            schedule_calls(&mut world, time);
            for replica_id in 0..replica_count {
                world.schedule_fault(time, Fault::Unfreeze(replica_id));
                world.schedule_fault(time, Fault::Start(replica_id));
            }
            (0..replica_count).for_each(|replica_id| {
                world.schedule_fault(
                    time + CATCH_UP,
                    Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
                )
            });
            world.run_until(time + CATCH_UP + 2 * SECOND);
            let replicas = std::mem::take(&mut world.replicas);
            world.findings.check_final_state(&replicas);
            let violations = &world.findings.violations;
            assert!(
                violations.is_empty(),
                "{replica_count} replicas, {losses} lost at once, seed {seed}, {rounds:?}: {:#?}",
                violations.iter().take(6).collect::<Vec<_>>()
            );
        },
    );
}
