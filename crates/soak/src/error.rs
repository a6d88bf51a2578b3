//! Why a run could not be carried out.

use std::io;
use std::path::PathBuf;

/// What went wrong with the harness itself, not with what it judges.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The program under test is not built.
    #[error("{0} is not built; run cargo build --workspace first")]
    NotBuilt(String),
    /// A file, socket or process of the harness.
    #[error("{what}: {source}")]
    Io {
        /// What was being done.
        what: String,
        /// The error of the system.
        source: io::Error,
    },
    /// The first configuration was not acknowledged in time.
    #[error("the first configuration was not acknowledged within {0} s")]
    NoFirstConfiguration(u64),
    /// The folder of the run holds something already.
    #[error("{} exists already", .0.display())]
    FolderInUse(PathBuf),
    /// A signal ended the run.
    #[error("stopped by a signal")]
    Stopped,
    /// A flag of the command line.
    #[error("flags: {0}")]
    Flags(String),
}

impl Error {
    /// An error of the system, with what was being done.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let what = what.into();
        move |source| Error::Io { what, source }
    }
}
