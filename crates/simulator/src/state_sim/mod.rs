//! The bill and its followers in virtual time: the real ordering machines, the real desk of a core seat and the real
//! promptbook of a node; made up are network, disks, operators and the blows (design 11.6).

mod harness;
mod node;
mod plan;
mod replica;

pub use harness::{StateHarness, play};
pub use plan::{DisabledGuards, FAULTS, Fault, ScheduledFault, StatePlan, draw_faults};
