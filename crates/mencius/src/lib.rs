//! Mencius as a machine without clock, disk or socket: inputs in, effects out.
//! The daemon and the simulator drive the same code. See `docs/design.md` sections 3 and 4.

mod acceptor;
mod apply;
mod catch_up;
mod coordinator_log;
mod instance_ranges;
mod learner;
mod messages;
mod propose;
mod read_index;
mod replica;
mod revocation;
mod status;
mod timers;
mod voting_range;

pub use coordinator_log::CoordinatorLog;
pub use instance_ranges::InstanceRanges;
pub use messages::*;
pub use replica::Replica;
