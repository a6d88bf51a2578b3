//! Common frame of the long-running programs: settings, logger, runtime, signals, shutdown and exit
//! code (docs/operators/running.md).

#![deny(missing_docs)]

mod error;
mod run;
mod settings;
mod signals;

pub use error::Error;
pub use run::{Daemon, exit_on_error, run};
pub use settings::{DaemonSettings, default_log_level, parsed_log_level};
pub use signals::{Signal, Signals};
