//! Test-only crate: simulators in virtual time, stand-in processes, and whole deployments on one machine (design 9).

pub mod backend_stand_in;
pub mod checker;
pub mod deployment;
pub mod disk;
pub mod fleet;
pub mod forging_clients;
pub mod history;
pub mod history_writer;
pub mod hollow;
pub mod lease_sim;
pub mod load_generator;
pub mod measurements;
pub mod network;
pub mod operators;
pub mod process;
pub mod run;
pub mod scenario;
mod scenario_more;
pub mod sim;
pub mod state_sim;
pub mod supervisor;
