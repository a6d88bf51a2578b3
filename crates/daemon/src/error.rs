//! Why a program could not start.

use std::error;
use std::io;

use thiserror::Error;

/// Why a program could not start; the text goes to standard error.
#[derive(Debug, Error)]
pub enum Error {
    /// What a setting asks for cannot be had: an address is taken, a folder cannot be opened.
    #[error("{setting}: {source}")]
    Setting {
        /// Name of the setting.
        setting: String,
        /// What stands against it.
        source: Box<dyn error::Error + Send + Sync>,
    },
    /// The runtime or the signal handlers could not be set up.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl Error {
    /// The error for a setting and what stands against it.
    pub fn new(
        setting: impl Into<String>,
        source: impl Into<Box<dyn error::Error + Send + Sync>>,
    ) -> Error {
        Error::Setting {
            setting: setting.into(),
            source: source.into(),
        }
    }

    /// Makes the error for a setting out of what stands against it; for `map_err`.
    pub fn of_setting<E>(setting: &str) -> impl FnOnce(E) -> Error
    where
        E: Into<Box<dyn error::Error + Send + Sync>>,
    {
        move |source| Error::new(setting, source)
    }
}
