//! A member that was away through thousands of changes, several snapshots and a change of members (design 3.8,
//! docs/control-plane.md, point 4).

use simulator::sim::{Fault, World, WorldPlan};

const SECOND: u64 = 1_000_000;
const CATCH_UP: u64 = 4 * SECOND;
const AWAY: u16 = 0;
const LEAVES: u64 = SECOND;
/// Orders come this often to one seat or another.
const EVERY: u64 = 10_000;

/// Orders from the first second to `end`, at seats that are there; every hundredth is large.
fn orders(world: &mut World, end: u64) -> u64 {
    let count = (end - LEAVES) / EVERY;
    let others = u64::from(world.plan.replica_count) - 1;
    for number in 0..count {
        let seat = 1 + (number % others) as u16;
        let length = if number % 100 == 0 { 20_000 } else { 200 };
        let value = [number.to_be_bytes().as_slice(), &vec![0; length]].concat();
        world.schedule_fault(LEAVES + number * EVERY, Fault::Submit(seat, value));
    }
    count
}

fn closed(world: &mut World, context: &str) {
    let nodes = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&nodes);
    world.replicas = nodes;
    let broken = &world.findings.violations;
    assert!(
        broken.is_empty(),
        "{context}: {:#?}",
        broken.iter().take(6).collect::<Vec<_>>()
    );
}

#[test]
fn a_member_that_was_away_through_thousands_of_changes_is_up_to_date_in_time() {
    for (seats, seed) in [(3, 1), (3, 2), (4, 3), (5, 4), (7, 5), (11, 6)] {
        let mut world = World::new(WorldPlan {
            snapshot_every: 500,
            ..WorldPlan::new(seats, seed)
        });
        let back = 31 * SECOND;
        world.schedule_fault(LEAVES, Fault::Crash(AWAY));
        world.schedule_fault(back, Fault::Start(AWAY));
        // From five seats on another member is replaced meanwhile; a majority is there throughout.
        if seats >= 5 {
            world.schedule_fault(12 * SECOND, Fault::Replace(seats - 1));
        }
        let count = orders(&mut world, back);
        world.run_until(back + CATCH_UP);
        let lengths: Vec<usize> = world
            .replicas
            .iter()
            .map(|node| node.applied.len())
            .collect();
        assert!(
            lengths[0] as u64 >= count * 9 / 10,
            "{seats} seats: {lengths:?} entries of {count}"
        );
        // What it is given now is chosen and applied everywhere.
        for seat in 0..seats {
            world.submit(seat, format!("last {seat}").into_bytes());
        }
        world.run_until(back + CATCH_UP + SECOND);
        closed(&mut world, &format!("{seats} seats, seed {seed}"));
    }
}

#[test]
fn a_member_that_is_behind_proves_no_read_that_misses_what_was_answered() {
    for seed in 0..12 {
        let mut world = World::new(WorldPlan {
            snapshot_every: 50,
            ..WorldPlan::new(3, seed)
        });
        let back = 6 * SECOND;
        world.schedule_fault(LEAVES, Fault::Crash(AWAY));
        world.schedule_fault(back, Fault::Start(AWAY));
        orders(&mut world, back + SECOND);
        for number in 0..200 {
            world.schedule_fault(back + number * 5_000, Fault::Read(AWAY, number));
        }
        for seat in 0..3 {
            world.schedule_fault(
                back + 2 * SECOND,
                Fault::Submit(seat, format!("last {seat}").into_bytes()),
            );
        }
        world.run_until(back + CATCH_UP);
        assert!(
            world.findings.reads_proved > 150,
            "seed {seed}: {} reads",
            world.findings.reads_proved
        );
        closed(&mut world, &format!("seed {seed}"));
    }
}

#[test]
fn a_member_that_dies_again_and_again_while_it_catches_up_ends_whole() {
    for seed in 0..8 {
        let mut world = World::new(WorldPlan {
            snapshot_every: 100,
            ..WorldPlan::new(3, seed)
        });
        world.schedule_fault(LEAVES, Fault::Crash(AWAY));
        orders(&mut world, 16 * SECOND);
        // From within the first frames of a resync to well into the tail.
        for turn in 0..16 {
            let time = 8 * SECOND + turn * 500_000;
            world.schedule_fault(time, Fault::Start(AWAY));
            world.schedule_fault(
                time + 3_000 + turn * turn * 1_500 + seed * 400,
                Fault::Crash(AWAY),
            );
        }
        let back = 17 * SECOND;
        world.schedule_fault(back, Fault::Start(AWAY));
        for seat in 0..3 {
            world.schedule_fault(
                back + 3 * SECOND,
                Fault::Submit(seat, format!("last {seat}").into_bytes()),
            );
        }
        world.run_until(back + 2 * CATCH_UP);
        closed(&mut world, &format!("seed {seed}"));
    }
}

#[test]
fn five_thousand_changes_leave_a_bounded_log_on_every_disk() {
    // The state of this simulator is the whole history, so what is counted is the log beside the snapshot.
    let mut world = World::new(WorldPlan {
        snapshot_every: 500,
        ..WorldPlan::new(3, 1)
    });
    let end = LEAVES + 5_000 * EVERY;
    let count = (end - LEAVES) / EVERY;
    for number in 0..count {
        world.schedule_fault(
            LEAVES + number * EVERY,
            Fault::Submit((number % 3) as u16, number.to_be_bytes().to_vec()),
        );
    }
    let mut most = 0;
    for step in 1..=end / SECOND {
        world.run_until(step * SECOND);
        let records = |node: &simulator::sim::SimulatedReplica| node.records_beside_snapshot();
        most = most.max(world.replicas.iter().map(records).max().unwrap_or_default());
    }
    assert!(world.replicas[0].applied.len() as u64 >= count - 10);
    assert!(most < 4_000, "{most} records beside the snapshot");
}
