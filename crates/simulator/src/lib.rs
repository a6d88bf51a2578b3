//! The test-only side: a simulator in virtual time, stand-ins, and a one-machine fleet (design 9).

pub mod audience;
pub mod billsim;
pub mod checker;
pub mod deployment;
mod desired_checks;
pub mod disk;
pub mod figures;
pub mod fleet;
mod fleet_plan;
pub mod forgers;
pub mod history;
pub mod hollow;
pub mod keysim;
pub mod links;
pub mod notes;
pub mod operators;
pub mod process;
mod promises;
pub mod run;
pub mod scenario;
mod scenario_more;
mod serving_checks;
pub mod sim;
pub mod stagehand;
pub mod understudy;
