//! The ordering under drawn faults, crashes at every numbered point, and a broken disk (design 9).

use rehearsal::sim::{Plan, World, schedule};

fn play(plan: Plan, bytes: &[u8], seconds: u64) -> World {
    let mut world = World::new(plan);
    schedule(&mut world, bytes, seconds);
    world.run_until((seconds + 3) * 1_000_000);
    world.plan.crash_at = None;
    world.run_until((seconds + 9) * 1_000_000);
    let nodes = std::mem::take(&mut world.nodes);
    world.findings.close(&nodes);
    world.nodes = nodes;
    world
}

#[test]
fn quiet_run_needs_no_revocation_and_applies_everything() {
    let world = play(Plan::new(5, 1), &[], 5);
    assert_eq!(world.findings.broken, Vec::<String>::new());
    assert_eq!(world.findings.answered(), 5 * 20 + 5);
    assert_eq!(world.findings.reads_done, 100);
    assert_eq!(world.counts.revocations, 0);
}

#[test]
fn drawn_schedules_keep_one_log() {
    bolero::check!().with_iterations(150).with_type::<(u64, [u8; 36])>().for_each(|(seed, bytes)| {
        let seats = if seed % 2 == 0 { 5 } else { 3 };
        let world = play(Plan::new(seats, *seed), bytes, 6);
        assert!(world.findings.broken.is_empty(), "seed {seed} bytes {bytes:?}: {:#?}", world.findings.broken);
    });
}

#[test]
fn crash_at_every_point_in_turn() {
    let seats = 3;
    let points = play(Plan::new(seats, 7), &[], 1).counts.points / seats as u64;
    (1..points).step_by(3).for_each(|point| {
        let plan = Plan { crash_at: Some(((point % seats as u64) as u16, point)), ..Plan::new(seats, 7) };
        let world = play(plan, &[], 1);
        assert!(world.findings.broken.is_empty(), "crash at point {point}: {:#?}", world.findings.broken);
    });
}

#[test]
fn a_disk_that_lies_about_syncs_is_caught() {
    let broken = (1..40u64).find(|seed| {
        let plan = Plan { lying_disk: true, snapshot_every: 0, ..Plan::new(3, *seed) };
        let crashes: Vec<u8> = (0..12u8).flat_map(|turn| [0, turn, 20]).collect();
        !play(plan, &crashes, 6).findings.broken.is_empty()
    });
    assert!(broken.is_some(), "no seed showed what an answer before its sync loses");
}
