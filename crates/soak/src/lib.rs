//! A soak of `gradeford-platform`: core machines and nodes as real processes on the loopback, with
//! backends, clients and operators that speak the platform's wire, under drawn faults. A checker
//! judges afterwards whether every confirmed change was in force in time.
//!
//! A run is drawn from its seed ([`plan`]) and carried out by a [`supervisor`]. Everything that
//! clients and operators see goes to a [`history`]; the [`checker`] reads nothing else.

#![deny(missing_docs)]

pub mod backend;
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
