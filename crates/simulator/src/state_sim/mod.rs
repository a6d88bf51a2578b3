//! The cluster state and its followers in virtual time: the real replicas of the log, the real
//! publisher of a replica, and a node's real choice of replicas and verification of what they send.
//! Network, disks, operators and faults are simulated (design 11.3, 11.6).

mod checks;
mod connection;
mod harness;
mod node;
mod plan;
mod replica;

pub use harness::{StateHarness, play};
pub use plan::{
    DisabledGuards, FAULTS, Fault, IN_FORCE_FAULTS, ScheduledFault, StatePlan, draw_faults,
};
