//! Beside a back end: everything that reaches it goes through here, so slots, order and keys are kept by one
//! owner, and what it was never given is known never to have run (design 13).

mod buffer;
mod conns;
mod demand;
mod desk;
mod door;
mod health;
mod local;

pub use buffer::{Buffer, Waiting};
pub use demand::Demand;
pub use desk::{Outcome, Pit, PitEnv};
pub use door::Door;
pub use health::{Ended, Health};
pub use local::{Holding, Local};
