//! Errors that prevent a program from starting.

use std::error;
use std::io;

use thiserror::Error;

/// Error that prevents a program from starting; it is printed to standard error.
#[derive(Debug, Error)]
pub enum Error {
    /// The resource that a setting names is not available, such as an address that is in use or a
    /// folder that cannot be opened.
    #[error("{setting}: {source}")]
    Setting {
        /// Name of the setting.
        setting: String,
        /// The underlying error.
        source: Box<dyn error::Error + Send + Sync>,
    },
    /// The runtime or the signal handlers could not be set up.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl Error {
    /// Creates the error for a setting from the underlying error.
    pub fn new(
        setting: impl Into<String>,
        source: impl Into<Box<dyn error::Error + Send + Sync>>,
    ) -> Error {
        Error::Setting {
            setting: setting.into(),
            source: source.into(),
        }
    }

    /// Returns a conversion from the underlying error to the error for a setting, for `map_err`.
    pub fn of_setting<E>(setting: &str) -> impl FnOnce(E) -> Error
    where
        E: Into<Box<dyn error::Error + Send + Sync>>,
    {
        move |source| Error::new(setting, source)
    }
}
