//! Keys in virtual time: real grants, rows and placements; made-up nodes, back ends and news (design 11.4, 11.5).

mod backend;
mod checks;
mod connection;
mod faults;
mod harness;
mod log;
mod node;
mod notification;
mod placement;
mod plan;

pub use faults::{FAULTS, Fault, ScheduledFault, decode_faults, draw_faults};
pub use harness::LeaseHarness;
pub use plan::{DisabledGuards, LeasePlan};

/// One simulated service from its beginning through the blows to its recovery; what was broken, and the stage.
pub fn play(plan: LeasePlan, struck: &[ScheduledFault]) -> (Vec<String>, LeaseHarness) {
    let end = struck
        .iter()
        .map(|(at, _, _, length)| at + length)
        .max()
        .unwrap_or(3_000_000)
        .max(3_000_000)
        + plan.recovery();
    let mut stage = LeaseHarness::new(plan);
    struck.iter().for_each(|blow| stage.schedule_fault(*blow));
    stage.run_until(end);
    let broken = stage.finish();
    (broken, stage)
}
