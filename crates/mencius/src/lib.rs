//! Mencius as a machine without clock, disk or socket: inputs in, effects out.
//! The daemon and the simulator drive the same code. See `docs/design.md` sections 3 and 4.

mod acceptor;
mod apply;
mod learn;
mod machine;
mod read;
mod resync;
mod revoke;
mod share;
mod spans;
mod status;
mod suggest;
mod tenure;
mod tick;
mod words;

pub use machine::Repertory;
pub use share::Share;
pub use spans::Spans;
pub use words::*;
