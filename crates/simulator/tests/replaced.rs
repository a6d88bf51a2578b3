//! Disks are lost one after the other, the last one while all other replicas lose power (design 4.4).

use simulator::sim::{Fault, World, WorldPlan};

const SECOND: u64 = 1_000_000;

/// Time within which the log is past the replacement of a replica, whatever the load, in microseconds.
const REPLACEMENT_TIME: u64 = 600_000;

/// Replaces the disks of the replicas `replaced` one after the other. Then all replicas lose power, and `lost_last` loses
/// its disk as well.
fn simulate(plan: WorldPlan, replaced: &[u16], lost_last: u16, seconds: u64) -> World {
    let replica_count = plan.replica_count;
    let mut world = World::new(plan);
    let power_loss = (3 * replaced.len() as u64 - 2) * SECOND + REPLACEMENT_TIME;
    replaced.iter().zip(0u64..).for_each(|(replica_id, index)| {
        world.schedule_fault((1 + 3 * index) * SECOND, Fault::Replace(*replica_id))
    });
    (0..power_loss / 50_000).for_each(|number| {
        world.schedule_fault(
            200_000 + number * 50_000,
            Fault::Submit(
                (number % replica_count as u64) as u16,
                number.to_be_bytes().to_vec(),
            ),
        )
    });
    (0..replica_count)
        .for_each(|replica_id| world.schedule_fault(power_loss, Fault::Crash(replica_id)));
    (0..replica_count)
        .filter(|replica_id| *replica_id != lost_last)
        .for_each(|replica_id| {
            world.schedule_fault(power_loss + 400_000, Fault::Start(replica_id))
        });
    world.schedule_fault(power_loss + 600_000, Fault::Replace(lost_last));
    (0..replica_count).for_each(|replica_id| {
        world.schedule_fault(
            power_loss + 4 * SECOND,
            Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
        )
    });
    world.run_until(power_loss + seconds * SECOND);
    let replicas = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&replicas);
    world.replicas = replicas;
    world
}

/// Number of replicas, the replicas replaced first, and the one lost last. So many are replaced that the loss of one more
/// leaves no majority of the original disks.
const CASES: [(u16, &[u16], u16); 4] =
    [(4, &[1], 3), (4, &[0], 1), (5, &[1, 3], 0), (5, &[4, 0], 2)];

#[test]
fn a_second_disk_lost_with_the_power_does_not_stop_the_log() {
    (1..7u64).for_each(|seed| {
        CASES
            .iter()
            .for_each(|(replica_count, replaced, lost_last)| {
                let world = simulate(
                    WorldPlan {
                        snapshot_every: 0,
                        ..WorldPlan::new(*replica_count, seed)
                    },
                    replaced,
                    *lost_last,
                    9,
                );
                assert!(
                    world.findings.violations.is_empty(),
                    "seed {seed}, {replaced:?} then {lost_last} of {replica_count}: {:#?}",
                    world.findings.violations
                );
            });
    });
}

#[test]
fn without_a_snapshot_past_the_replacement_the_log_stops() {
    CASES.iter().for_each(|(replica_count, replaced, lost_last)| {
        let is_stuck = |seed: u64| {
            let plan = WorldPlan {
                snapshot_every: 0,
                snapshot_after_replacement: false,
                ..WorldPlan::new(*replica_count, seed)
            };
            let world = simulate(plan, replaced, *lost_last, 40);
            let conflict = world
                .findings
                .violations
                .iter()
                .find(|violation| violation.contains("two values"));
            assert_eq!(conflict, None, "the log stops without conflicting values");
            (0..*replica_count).all(|replica_id| {
                world
                    .findings
                    .violations
                    .iter()
                    .any(|violation| violation.starts_with(&format!("\"last {replica_id}\" was never applied")))
            })
        };
        assert!(
            (1..7u64).any(is_stuck),
            "{replaced:?} then {lost_last} of {replica_count}: the log continued without the snapshot"
        );
    });
}
