//! The test-only side: a simulator in virtual time, stand-ins, and a one-machine fleet (design 9).

pub mod audience;
pub mod deployment;
pub mod figures;
pub mod fleet;
mod fleet_plan;
pub mod history;
pub mod links;
mod notes;
pub mod process;
mod promises;
pub mod run;
pub mod scenario;
pub mod sim;
pub mod stagehand;
pub mod understudy;
