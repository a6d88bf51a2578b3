//! The ordering under drawn faults, crashes at every numbered point, and a broken disk (design 9).

use simulator::sim::{Fault, World, WorldPlan, schedule_faults};

fn play(plan: WorldPlan, bytes: &[u8], seconds: u64) -> World {
    let mut world = World::new(plan);
    schedule_faults(&mut world, bytes, seconds);
    world.run_until((seconds + 3) * 1_000_000);
    world.plan.crash_at = None;
    world.run_until((seconds + 9) * 1_000_000);
    let nodes = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&nodes);
    world.replicas = nodes;
    world
}

#[test]
fn quiet_run_needs_no_revocation_and_applies_everything() {
    let world = play(WorldPlan::new(5, 1), &[], 5);
    assert_eq!(world.findings.violations, Vec::<String>::new());
    assert_eq!(world.findings.answered(), 5 * 20 + 5);
    assert_eq!(world.findings.reads_done, 100);
    assert_eq!(world.counts.revocations, 0);
}

#[test]
fn drawn_schedules_keep_one_log() {
    test_support::check_generated::<(u64, [u8; 36])>(150, |(seed, bytes)| {
        let seats = if seed % 2 == 0 { 5 } else { 3 };
        let world = play(WorldPlan::new(seats, *seed), bytes, 6);
        assert!(
            world.findings.violations.is_empty(),
            "seed {seed} bytes {bytes:?}: {:#?}",
            world.findings.violations
        );
    });
}

#[test]
fn crash_at_every_point_in_turn() {
    let seats = 3;
    let points = play(WorldPlan::new(seats, 7), &[], 1).counts.effects / seats as u64;
    (1..points).step_by(3).for_each(|point| {
        let plan = WorldPlan {
            crash_at: Some(((point % seats as u64) as u16, point)),
            ..WorldPlan::new(seats, 7)
        };
        let world = play(plan, &[], 1);
        assert!(
            world.findings.violations.is_empty(),
            "crash at point {point}: {:#?}",
            world.findings.violations
        );
    });
}

#[test]
fn a_disk_that_lies_about_syncs_is_caught() {
    let broken = (1..40u64).find(|seed| {
        let plan = WorldPlan {
            lying_disk: true,
            snapshot_every: 0,
            ..WorldPlan::new(3, *seed)
        };
        let crashes: Vec<u8> = (0..12u8).flat_map(|turn| [0, turn, 20]).collect();
        !play(plan, &crashes, 6).findings.violations.is_empty()
    });
    assert!(
        broken.is_some(),
        "no seed showed what an answer before its sync loses"
    );
}

fn healed(world: &mut World, seconds: u64) {
    world.run_until(seconds * 1_000_000);
    let nodes = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&nodes);
    world.replicas = nodes;
}

fn last_words(world: &mut World, time: u64) {
    (0..world.plan.replica_count).for_each(|seat| {
        world.schedule_fault(
            time,
            Fault::Submit(seat, format!("last {seat}").into_bytes()),
        )
    });
}

#[test]
fn losing_one_of_five_holds_no_entry_for_two_seconds() {
    let slowest = (1..6u64).map(|seed| {
        let mut world = World::new(WorldPlan::new(5, seed));
        let lost = (seed % 5) as u16;
        world.schedule_fault(1_000_000, Fault::Crash(lost));
        (0..80u64).for_each(|number| {
            let seat = ((number + seed) % 5) as u16;
            world.schedule_fault(
                500_000 + number * 50_000,
                Fault::Submit(seat, number.to_be_bytes().to_vec()),
            );
        });
        world.schedule_fault(6_000_000, Fault::Start(lost));
        last_words(&mut world, 8_000_000);
        healed(&mut world, 12);
        assert_eq!(
            world.findings.violations,
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert!(world.counts.revocations > 0, "nobody revoked the lost seat");
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
    // Its frames are lost, it lives on: the others revoke what it suggested meanwhile.
    [(0, 1), (0, 2)]
        .into_iter()
        .for_each(|(from, to)| world.schedule_fault(1_000_000, Fault::CutLink(from, to)));
    world.schedule_fault(
        1_010_000,
        Fault::Submit(0, b"kept through a revocation".to_vec()),
    );
    world.schedule_fault(1_020_000, Fault::Submit(1, b"pushes the log on".to_vec()));
    world.schedule_fault(3_000_000, Fault::HealLinks);
    last_words(&mut world, 5_000_000);
    healed(&mut world, 8);
    assert_eq!(world.findings.violations, Vec::<String>::new());
    assert!(world.counts.revocations > 0);
    let held = world.replicas[1]
        .applied
        .iter()
        .filter(|(_, value)| value == b"kept through a revocation")
        .count();
    assert_eq!(held, 1, "{:?}", world.replicas[1].applied);
}

#[test]
fn a_seat_that_was_away_long_catches_up_by_snapshot_and_tail() {
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
    last_words(&mut world, 6_000_000);
    healed(&mut world, 9);
    assert_eq!(world.findings.violations, Vec::<String>::new());
    let floors: Vec<u64> = world
        .replicas
        .iter()
        .filter_map(|node| {
            node.replica
                .as_ref()
                .map(mencius::Replica::compaction_point)
        })
        .collect();
    assert!(
        floors.iter().all(|floor| *floor > 0),
        "no log was cut: {floors:?}"
    );
}

#[test]
fn a_replaced_seat_loses_nothing_whoever_fails_meanwhile() {
    test_support::check_generated::<(u64, [u8; 6])>(60, |(seed, bytes)| {
        let seats = if seed % 2 == 0 { 5u16 } else { 3 };
        let mut world = World::new(WorldPlan {
            snapshot_every: 15,
            ..WorldPlan::new(seats, *seed)
        });
        let lost = (seed % seats as u64) as u16;
        (0..100u64).for_each(|number| {
            let seat = (number % seats as u64) as u16;
            world.schedule_fault(
                200_000 + number * 70_000,
                Fault::Submit(seat, number.to_be_bytes().to_vec()),
            );
            world.schedule_fault(
                230_000 + number * 70_000,
                Fault::Read((seat + 1) % seats, number),
            );
        });
        world.schedule_fault(1_500_000, Fault::Replace(lost));
        // Others fail around and after the change of hands, each for a while.
        bytes.chunks_exact(2).zip(0u64..).for_each(|(chunk, turn)| {
            let (seat, time) = (
                (chunk[0] as u16) % seats,
                1_400_000 + turn * 1_600_000 + chunk[1] as u64 * 5_000,
            );
            if seat != lost {
                world.schedule_fault(time, Fault::Crash(seat));
                world.schedule_fault(time + 900_000, Fault::Start(seat));
            }
        });
        // With the new disk's vote needed for a majority.
        (1..=seats / 2)
            .for_each(|step| world.schedule_fault(9_000_000, Fault::Crash((lost + step) % seats)));
        world.schedule_fault(
            9_500_000,
            Fault::Submit(lost, b"needs the new vote".to_vec()),
        );
        (1..=seats / 2)
            .for_each(|step| world.schedule_fault(12_000_000, Fault::Start((lost + step) % seats)));
        last_words(&mut world, 14_000_000);
        world.run_until(11_900_000);
        let voted = world.replicas[lost as usize]
            .applied
            .iter()
            .any(|(_, value)| value == b"needs the new vote");
        healed(&mut world, 18);
        assert!(
            world.findings.violations.is_empty(),
            "seed {seed}: {:#?}",
            world.findings.violations
        );
        assert!(voted, "seed {seed}: the new disk's vote did not count");
    });
}

#[test]
fn a_core_that_loses_power_soon_after_a_seat_changed_hands_goes_on() {
    (0..24u64).for_each(|turn| {
        // The lost disk alone had written down that its unused turns are no-ops: after the power comes back the others
        // have to finish them, far below where the change of hands took them.
        let mut world = World::new(WorldPlan {
            snapshot_every: 0,
            ..WorldPlan::new(3, 40 + turn)
        });
        let lost = (turn % 3) as u16;
        (0..120u64).for_each(|number| {
            let seat = (lost + 1 + (number % 2) as u16) % 3;
            world.schedule_fault(
                200_000 + number * 50_000,
                Fault::Submit(seat, number.to_be_bytes().to_vec()),
            );
        });
        world.schedule_fault(1_500_000, Fault::Replace(lost));
        // From before the new disk is let in until well after: everybody loses power at once.
        let power = 1_600_000 + turn * 150_000;
        (0..3).for_each(|seat| {
            world.schedule_fault(power, Fault::Crash(seat));
            world.schedule_fault(power + 400_000, Fault::Start(seat));
        });
        last_words(&mut world, 9_000_000);
        healed(&mut world, 13);
        assert!(
            world.findings.violations.is_empty(),
            "power lost at {power}: {:#?}",
            world.findings.violations
        );
    });
}
