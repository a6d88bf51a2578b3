//! Simulates the cluster state and its followers in virtual time. The replicas of the log, their publishers, and the
//! nodes' selection of replicas and verification of updates are the product's; network, disks, operators and faults are
//! simulated (design 11.3, 11.6).

mod checks;
mod connection;
mod harness;
mod node;
mod plan;
mod replica;

pub use harness::{StateHarness, simulate};
pub use plan::{
    DisabledGuards, FAULTS, Fault, IN_FORCE_FAULTS, ScheduledFault, StatePlan, draw_faults,
};
