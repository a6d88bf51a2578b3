//! The test-only side: a simulator in virtual time, stand-ins, and a one-machine fleet (design 9).

pub mod audience;
pub mod deployment;
pub mod figures;
pub mod fleet;
pub mod history;
pub mod process;
pub mod run;
pub mod sim;
pub mod understudy;
