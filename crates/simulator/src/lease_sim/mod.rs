//! Simulates leases in virtual time. Grants, shard maps and placements are the product's; nodes, backends and updates are
//! simulated (design 11.4, 11.5).

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

/// Simulates one service through the scheduled faults until it has had time to recover. Returns the violations and the
/// harness.
pub fn simulate(plan: LeasePlan, faults: &[ScheduledFault]) -> (Vec<String>, LeaseHarness) {
    let end = faults
        .iter()
        .map(|(start, _, _, length)| start + length)
        .max()
        .unwrap_or(3_000_000)
        .max(3_000_000)
        + plan.recovery_time();
    let mut harness = LeaseHarness::new(plan);
    faults
        .iter()
        .for_each(|fault| harness.schedule_fault(*fault));
    harness.run_until(end);
    let violations = harness.finish();
    (violations, harness)
}
