//! Errors of the test harness.

use std::io;
use std::path::PathBuf;

/// A failure of the harness itself, as opposed to a violation found by the checker.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The program under test has not been built.
    #[error("{0} is not built; run cargo build --workspace first")]
    NotBuilt(String),
    /// An operating-system error on a file, socket or process of the harness.
    #[error("{what}: {source}")]
    Io {
        /// The object or operation that failed.
        what: String,
        /// The underlying error.
        source: io::Error,
    },
    /// The first configuration was not acknowledged within this number of seconds.
    #[error("the first configuration was not acknowledged within {0} s")]
    NoFirstConfiguration(u64),
    /// The folder of the run exists already.
    #[error("{} exists already", .0.display())]
    FolderInUse(PathBuf),
    /// A signal ended the run.
    #[error("stopped by a signal")]
    Stopped,
    /// An invalid command-line flag.
    #[error("flags: {0}")]
    Flags(String),
}

impl Error {
    /// Returns a function that wraps an I/O error together with the object or operation that failed.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let what = what.into();
        move |source| Error::Io { what, source }
    }
}
