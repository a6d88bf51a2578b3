//! A replica that was down misses thousands of changes, several snapshots and the replacement of another replica. After its
//! restart it must catch up (design 3.8, docs/control-plane.md, point 4).

use simulator::sim::{Fault, World, WorldPlan};

const SECOND: u64 = 1_000_000;
/// Time within which a restarted replica has caught up, in microseconds.
const CATCH_UP: u64 = 4 * SECOND;
/// Replica that crashes and is restarted later.
const ABSENT: u16 = 0;
/// Time at which that replica crashes, in microseconds.
const ABSENT_FROM: u64 = SECOND;
/// Interval between two submitted entries, in microseconds.
const SUBMIT_INTERVAL: u64 = 10_000;

/// Submits entries at the other replicas from `ABSENT_FROM` to `end`; every hundredth is large. Returns their number.
fn submit_entries(world: &mut World, end: u64) -> u64 {
    let count = (end - ABSENT_FROM) / SUBMIT_INTERVAL;
    let others = u64::from(world.plan.replica_count) - 1;
    for number in 0..count {
        let replica_id = 1 + (number % others) as u16;
        let length = if number % 100 == 0 { 20_000 } else { 200 };
        let value = [number.to_be_bytes().as_slice(), &vec![0; length]].concat();
        world.schedule_fault(
            ABSENT_FROM + number * SUBMIT_INTERVAL,
            Fault::Submit(replica_id, value),
        );
    }
    count
}

fn assert_final_state(world: &mut World, context: &str) {
    let replicas = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&replicas);
    world.replicas = replicas;
    let violations = &world.findings.violations;
    assert!(
        violations.is_empty(),
        "{context}: {:#?}",
        violations.iter().take(6).collect::<Vec<_>>()
    );
}

#[test]
fn a_replica_that_missed_thousands_of_changes_catches_up_in_time() {
    for (replica_count, seed) in [(3, 1), (3, 2), (4, 3), (5, 4), (7, 5), (11, 6)] {
        let mut world = World::new(WorldPlan {
            snapshot_every: 500,
            ..WorldPlan::new(replica_count, seed)
        });
        let restarts_at = 31 * SECOND;
        world.schedule_fault(ABSENT_FROM, Fault::Crash(ABSENT));
        world.schedule_fault(restarts_at, Fault::Start(ABSENT));
        // With five or more replicas another one is replaced meanwhile; a majority is always present.
        if replica_count >= 5 {
            world.schedule_fault(12 * SECOND, Fault::Replace(replica_count - 1));
        }
        let count = submit_entries(&mut world, restarts_at);
        world.run_until(restarts_at + CATCH_UP);
        let lengths: Vec<usize> = world
            .replicas
            .iter()
            .map(|replica| replica.applied.len())
            .collect();
        assert!(
            lengths[0] as u64 >= count * 9 / 10,
            "{replica_count} replicas: {lengths:?} entries of {count}"
        );
        // Entries submitted now are chosen and applied everywhere.
        for replica_id in 0..replica_count {
            world.submit(replica_id, format!("last {replica_id}").into_bytes());
        }
        world.run_until(restarts_at + CATCH_UP + SECOND);
        assert_final_state(
            &mut world,
            &format!("{replica_count} replicas, seed {seed}"),
        );
    }
}

#[test]
fn a_replica_that_lags_proves_no_read_that_misses_an_answered_entry() {
    for seed in 0..12 {
        let mut world = World::new(WorldPlan {
            snapshot_every: 50,
            ..WorldPlan::new(3, seed)
        });
        let restarts_at = 6 * SECOND;
        world.schedule_fault(ABSENT_FROM, Fault::Crash(ABSENT));
        world.schedule_fault(restarts_at, Fault::Start(ABSENT));
        submit_entries(&mut world, restarts_at + SECOND);
        for number in 0..200 {
            world.schedule_fault(restarts_at + number * 5_000, Fault::Read(ABSENT, number));
        }
        for replica_id in 0..3 {
            world.schedule_fault(
                restarts_at + 2 * SECOND,
                Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
            );
        }
        world.run_until(restarts_at + CATCH_UP);
        assert!(
            world.findings.reads_proved > 150,
            "seed {seed}: {} reads",
            world.findings.reads_proved
        );
        assert_final_state(&mut world, &format!("seed {seed}"));
    }
}

#[test]
fn a_replica_that_crashes_repeatedly_while_it_catches_up_ends_complete() {
    for seed in 0..8 {
        let mut world = World::new(WorldPlan {
            snapshot_every: 100,
            ..WorldPlan::new(3, seed)
        });
        world.schedule_fault(ABSENT_FROM, Fault::Crash(ABSENT));
        submit_entries(&mut world, 16 * SECOND);
        // The crashes fall between the first frames of a resync and well into the tail of the log.
        for round in 0..16 {
            let time = 8 * SECOND + round * 500_000;
            world.schedule_fault(time, Fault::Start(ABSENT));
            world.schedule_fault(
                time + 3_000 + round * round * 1_500 + seed * 400,
                Fault::Crash(ABSENT),
            );
        }
        let restarts_at = 17 * SECOND;
        world.schedule_fault(restarts_at, Fault::Start(ABSENT));
        for replica_id in 0..3 {
            world.schedule_fault(
                restarts_at + 3 * SECOND,
                Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
            );
        }
        world.run_until(restarts_at + 2 * CATCH_UP);
        assert_final_state(&mut world, &format!("seed {seed}"));
    }
}

#[test]
fn five_thousand_changes_leave_a_bounded_log_on_every_disk() {
    // The state of this simulator is the whole history, so only the log records beside the snapshot are counted.
    let mut world = World::new(WorldPlan {
        snapshot_every: 500,
        ..WorldPlan::new(3, 1)
    });
    let end = ABSENT_FROM + 5_000 * SUBMIT_INTERVAL;
    let count = (end - ABSENT_FROM) / SUBMIT_INTERVAL;
    for number in 0..count {
        world.schedule_fault(
            ABSENT_FROM + number * SUBMIT_INTERVAL,
            Fault::Submit((number % 3) as u16, number.to_be_bytes().to_vec()),
        );
    }
    let mut max_records = 0;
    for step in 1..=end / SECOND {
        world.run_until(step * SECOND);
        let records =
            |replica: &simulator::sim::SimulatedReplica| replica.records_beside_snapshot();
        max_records = max_records.max(world.replicas.iter().map(records).max().unwrap_or_default());
    }
    assert!(world.replicas[0].applied.len() as u64 >= count - 10);
    assert!(
        max_records < 4_000,
        "{max_records} records beside the snapshot"
    );
}
