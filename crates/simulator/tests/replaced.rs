//! Disks lost one after the other, the last of them while all others lose power (design 4.4).

use simulator::sim::{Fault, World, WorldPlan};

const SECOND: u64 = 1_000_000;

/// The log is past a change of holders well within so long, quiet or busy.
const PAST: u64 = 600_000;

/// Seats `replaced` get empty disks, one after the other; then `wiped` loses its own while nobody has power.
fn play(plan: WorldPlan, replaced: &[u16], wiped: u16, seconds: u64) -> World {
    let seats = plan.replica_count;
    let mut world = World::new(plan);
    let power = (3 * replaced.len() as u64 - 2) * SECOND + PAST;
    replaced.iter().zip(0u64..).for_each(|(seat, turn)| {
        world.schedule_fault((1 + 3 * turn) * SECOND, Fault::Replace(*seat))
    });
    (0..power / 50_000).for_each(|number| {
        world.schedule_fault(
            200_000 + number * 50_000,
            Fault::Submit(
                (number % seats as u64) as u16,
                number.to_be_bytes().to_vec(),
            ),
        )
    });
    (0..seats).for_each(|seat| world.schedule_fault(power, Fault::Crash(seat)));
    (0..seats)
        .filter(|seat| *seat != wiped)
        .for_each(|seat| world.schedule_fault(power + 400_000, Fault::Start(seat)));
    world.schedule_fault(power + 600_000, Fault::Replace(wiped));
    (0..seats).for_each(|seat| {
        world.schedule_fault(
            power + 4 * SECOND,
            Fault::Submit(seat, format!("last {seat}").into_bytes()),
        )
    });
    world.run_until(power + seconds * SECOND);
    let nodes = std::mem::take(&mut world.replicas);
    world.findings.check_final_state(&nodes);
    world.replicas = nodes;
    world
}

/// As many are replaced before as leave no majority of the first disks once one more is lost.
const CASES: [(u16, &[u16], u16); 4] =
    [(4, &[1], 3), (4, &[0], 1), (5, &[1, 3], 0), (5, &[4, 0], 2)];

#[test]
fn a_second_disk_lost_with_the_power_does_not_stop_the_log() {
    (1..7u64).for_each(|seed| {
        CASES.iter().for_each(|(seats, replaced, wiped)| {
            let world = play(
                WorldPlan {
                    snapshot_every: 0,
                    ..WorldPlan::new(*seats, seed)
                },
                replaced,
                *wiped,
                9,
            );
            assert!(
                world.findings.violations.is_empty(),
                "seed {seed}, {replaced:?} then {wiped} of {seats}: {:#?}",
                world.findings.violations
            );
        });
    });
}

#[test]
fn without_a_snapshot_past_the_change_the_log_stands_for_ever() {
    CASES.iter().for_each(|(seats, replaced, wiped)| {
        let stands = |seed: u64| {
            let plan = WorldPlan {
                snapshot_every: 0,
                snapshot_after_replacement: false,
                ..WorldPlan::new(*seats, seed)
            };
            let world = play(plan, replaced, *wiped, 40);
            let lies = world
                .findings
                .violations
                .iter()
                .find(|told| told.contains("two values"));
            assert_eq!(lies, None, "it stands, it does not lie");
            (0..*seats).all(|seat| {
                world
                    .findings
                    .violations
                    .iter()
                    .any(|told| told.starts_with(&format!("\"last {seat}\" was never applied")))
            })
        };
        assert!(
            (1..7u64).any(stands),
            "{replaced:?} then {wiped} of {seats}: it went on without the snapshot"
        );
    });
}
