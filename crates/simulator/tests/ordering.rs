//! Simulates the replicated log under random faults, under crashes before each numbered effect, and with a disk that
//! reports syncs too early (design 9).

use simulator::sim::{Fault, World, WorldPlan, schedule_faults};

fn simulate(plan: WorldPlan, bytes: &[u8], seconds: u64) -> World {
    let mut world = World::new(plan);
    schedule_faults(&mut world, bytes, seconds);
    world.run_until((seconds + 3) * 1_000_000);
    world.plan.crash_at = None;
    world.run_until((seconds + 9) * 1_000_000);
    let replicas = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&replicas);
    world.replicas = replicas;
    world
}

#[test]
fn a_run_without_faults_needs_no_revocation_and_applies_everything() {
    let world = simulate(WorldPlan::new(5, 1), &[], 5);
    assert_eq!(world.findings.violations, Vec::<String>::new());
    assert_eq!(world.findings.answered(), 5 * 20 + 5);
    assert_eq!(world.findings.reads_proved, 100);
    assert_eq!(world.counts.revocations, 0);
}

#[test]
fn random_faults_keep_one_log() {
    test_support::check_generated::<(u64, [u8; 36])>(150, |(seed, bytes)| {
        let replica_count = if seed % 2 == 0 { 5 } else { 3 };
        let world = simulate(WorldPlan::new(replica_count, *seed), bytes, 6);
        assert!(
            world.findings.violations.is_empty(),
            "seed {seed} bytes {bytes:?}: {:#?}",
            world.findings.violations
        );
    });
}

#[test]
fn a_crash_before_a_numbered_effect_keeps_one_log() {
    let replica_count = 3;
    let points = simulate(WorldPlan::new(replica_count, 7), &[], 1)
        .counts
        .effects
        / replica_count as u64;
    (1..points).step_by(3).for_each(|point| {
        let plan = WorldPlan {
            crash_at: Some(((point % replica_count as u64) as u16, point)),
            ..WorldPlan::new(replica_count, 7)
        };
        let world = simulate(plan, &[], 1);
        assert!(
            world.findings.violations.is_empty(),
            "crash at point {point}: {:#?}",
            world.findings.violations
        );
    });
}

#[test]
fn a_disk_that_reports_a_sync_too_early_is_caught() {
    let violating_seed = (1..40u64).find(|seed| {
        let plan = WorldPlan {
            acknowledges_unwritten: true,
            snapshot_every: 0,
            ..WorldPlan::new(3, *seed)
        };
        let crashes: Vec<u8> = (0..12u8).flat_map(|round| [0, round, 20]).collect();
        !simulate(plan, &crashes, 6).findings.violations.is_empty()
    });
    assert!(
        violating_seed.is_some(),
        "no seed showed the loss of an entry that was answered before its sync"
    );
}

fn check_at_end(world: &mut World, seconds: u64) {
    world.run_until(seconds * 1_000_000);
    let replicas = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&replicas);
    world.replicas = replicas;
}

fn submit_last_entries(world: &mut World, time: u64) {
    (0..world.plan.replica_count).for_each(|replica_id| {
        world.schedule_fault(
            time,
            Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
        )
    });
}

#[test]
fn losing_one_of_five_delays_no_entry_by_two_seconds() {
    let slowest = (1..6u64).map(|seed| {
        let mut world = World::new(WorldPlan::new(5, seed));
        let crashed = (seed % 5) as u16;
        world.schedule_fault(1_000_000, Fault::Crash(crashed));
        (0..80u64).for_each(|number| {
            let replica_id = ((number + seed) % 5) as u16;
            world.schedule_fault(
                500_000 + number * 50_000,
                Fault::Submit(replica_id, number.to_be_bytes().to_vec()),
            );
        });
        world.schedule_fault(6_000_000, Fault::Start(crashed));
        submit_last_entries(&mut world, 8_000_000);
        check_at_end(&mut world, 12);
        assert_eq!(
            world.findings.violations,
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert!(
            world.counts.revocations > 0,
            "no replica revoked the crashed one"
        );
        world.findings.slowest_entry_us
    });
    let slowest = slowest.max().unwrap_or(0);
    assert!(
        slowest > 0 && slowest < 2_000_000,
        "an entry took {slowest} microseconds"
    );
}

#[test]
fn a_falsely_revoked_coordinator_suggests_again() {
    let mut world = World::new(WorldPlan::new(3, 11));
    // The frames of the coordinator are lost while it runs, so the others revoke the entries that it suggests meanwhile.
    [(0, 1), (0, 2)]
        .into_iter()
        .for_each(|(from, to)| world.schedule_fault(1_000_000, Fault::CutLink(from, to)));
    world.schedule_fault(
        1_010_000,
        Fault::Submit(0, b"kept through a revocation".to_vec()),
    );
    world.schedule_fault(1_020_000, Fault::Submit(1, b"pushes the log on".to_vec()));
    world.schedule_fault(3_000_000, Fault::HealLinks);
    submit_last_entries(&mut world, 5_000_000);
    check_at_end(&mut world, 8);
    assert_eq!(world.findings.violations, Vec::<String>::new());
    assert!(world.counts.revocations > 0);
    let occurrences = world.replicas[1]
        .applied
        .iter()
        .filter(|(_, value)| value == b"kept through a revocation")
        .count();
    assert_eq!(occurrences, 1, "{:?}", world.replicas[1].applied);
}

#[test]
fn a_replica_that_was_absent_long_catches_up_by_snapshot_and_tail() {
    let mut world = World::new(WorldPlan {
        snapshot_every: 20,
        ..WorldPlan::new(3, 5)
    });
    world.schedule_fault(500_000, Fault::Crash(2));
    (0..150u64).for_each(|number| {
        world.schedule_fault(
            600_000 + number * 20_000,
            Fault::Submit((number % 2) as u16, number.to_be_bytes().to_vec()),
        )
    });
    world.schedule_fault(5_000_000, Fault::Start(2));
    submit_last_entries(&mut world, 6_000_000);
    check_at_end(&mut world, 9);
    assert_eq!(world.findings.violations, Vec::<String>::new());
    let compaction_points: Vec<u64> = world
        .replicas
        .iter()
        .filter_map(|replica| {
            replica
                .running
                .as_ref()
                .map(mencius::Replica::compaction_point)
        })
        .collect();
    assert!(
        compaction_points.iter().all(|point| *point > 0),
        "a log was not compacted: {compaction_points:?}"
    );
}

#[test]
fn a_replacement_loses_nothing_whichever_replica_fails_meanwhile() {
    test_support::check_generated::<(u64, [u8; 6])>(60, |(seed, bytes)| {
        let replica_count = if seed % 2 == 0 { 5u16 } else { 3 };
        let mut world = World::new(WorldPlan {
            snapshot_every: 15,
            ..WorldPlan::new(replica_count, *seed)
        });
        let replaced = (seed % replica_count as u64) as u16;
        (0..100u64).for_each(|number| {
            let replica_id = (number % replica_count as u64) as u16;
            world.schedule_fault(
                200_000 + number * 70_000,
                Fault::Submit(replica_id, number.to_be_bytes().to_vec()),
            );
            world.schedule_fault(
                230_000 + number * 70_000,
                Fault::Read((replica_id + 1) % replica_count, number),
            );
        });
        world.schedule_fault(1_500_000, Fault::Replace(replaced));
        // Other replicas crash around and after the replacement, each for a while.
        bytes
            .chunks_exact(2)
            .zip(0u64..)
            .for_each(|(chunk, round)| {
                let (replica_id, time) = (
                    (chunk[0] as u16) % replica_count,
                    1_400_000 + round * 1_600_000 + chunk[1] as u64 * 5_000,
                );
                if replica_id != replaced {
                    world.schedule_fault(time, Fault::Crash(replica_id));
                    world.schedule_fault(time + 900_000, Fault::Start(replica_id));
                }
            });
        // So many other replicas crash that a majority needs the vote of the new disk.
        (1..=replica_count / 2).for_each(|step| {
            world.schedule_fault(9_000_000, Fault::Crash((replaced + step) % replica_count))
        });
        world.schedule_fault(
            9_500_000,
            Fault::Submit(replaced, b"needs the new vote".to_vec()),
        );
        (1..=replica_count / 2).for_each(|step| {
            world.schedule_fault(12_000_000, Fault::Start((replaced + step) % replica_count))
        });
        submit_last_entries(&mut world, 14_000_000);
        world.run_until(11_900_000);
        let vote_counted = world.replicas[replaced as usize]
            .applied
            .iter()
            .any(|(_, value)| value == b"needs the new vote");
        check_at_end(&mut world, 18);
        assert!(
            world.findings.violations.is_empty(),
            "seed {seed}: {:#?}",
            world.findings.violations
        );
        assert!(
            vote_counted,
            "seed {seed}: the vote of the new disk did not count"
        );
    });
}

#[test]
fn the_log_continues_after_a_power_loss_soon_after_a_replacement() {
    (0..24u64).for_each(|round| {
        // Only the lost disk had recorded that its unused instances are no-ops. After the power loss the other replicas have to
        // finish these instances, which lie far below the position to which the replacement advanced the log.
        let mut world = World::new(WorldPlan {
            snapshot_every: 0,
            ..WorldPlan::new(3, 40 + round)
        });
        let replaced = (round % 3) as u16;
        (0..120u64).for_each(|number| {
            let replica_id = (replaced + 1 + (number % 2) as u16) % 3;
            world.schedule_fault(
                200_000 + number * 50_000,
                Fault::Submit(replica_id, number.to_be_bytes().to_vec()),
            );
        });
        world.schedule_fault(1_500_000, Fault::Replace(replaced));
        // All replicas lose power at once. Over the rounds this happens from before the admission of the new disk until well
        // after it.
        let power_loss = 1_600_000 + round * 150_000;
        (0..3).for_each(|replica_id| {
            world.schedule_fault(power_loss, Fault::Crash(replica_id));
            world.schedule_fault(power_loss + 400_000, Fault::Start(replica_id));
        });
        submit_last_entries(&mut world, 9_000_000);
        check_at_end(&mut world, 13);
        assert!(
            world.findings.violations.is_empty(),
            "power lost at {power_loss}: {:#?}",
            world.findings.violations
        );
    });
}
