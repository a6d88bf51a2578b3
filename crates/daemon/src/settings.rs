//! The settings that all programs share.

use serde::de::DeserializeOwned;
use slog::Level;
use validator::Validate;

/// Settings of a program, read from a file and flags at the start and again on SIGHUP.
pub trait DaemonSettings: Clone + PartialEq + DeserializeOwned + Validate {
    /// Names of all settings in the order of the `--help` text; each of them is also a flag.
    const SETTING_NAMES: &'static [&'static str];

    /// Name of the process in logs and for peers.
    fn name(&self) -> &str;

    /// Value of the setting `log_level`.
    fn log_level(&self) -> &str;

    /// Returns the same settings with another value of `log_level`.
    fn with_log_level(self, log_level: &str) -> Self;
}

/// Default of the setting `log_level`.
pub fn default_log_level() -> String {
    "info".into()
}

/// Parses a validated log level; anything else becomes `info`.
pub fn parsed_log_level(text: &str) -> Level {
    text.parse().unwrap_or(Level::Info)
}
