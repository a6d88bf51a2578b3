//! Soak test of `gradeford-platform`: core machines and nodes run as real processes on the loopback
//! interface under randomly generated faults, with backends, clients and operators that use the
//! platform's wire protocol. After the run, a checker verifies that every acknowledged change was in
//! force in time.
//!
//! [`plan`] generates the faults of a run from its seed and a [`supervisor`] injects them. Everything
//! that clients and operators observe is recorded in a [`history`], which is the [`checker`]'s only
//! input.

#![deny(missing_docs)]

pub mod backend;
pub mod batch_client;
pub mod checker;
pub mod client;
pub mod clock;
pub mod error;
pub mod history;
pub mod http;
pub mod operator;
pub mod plan;
pub mod process;
pub mod run;
pub mod site;
pub mod supervisor;

pub use error::Error;
