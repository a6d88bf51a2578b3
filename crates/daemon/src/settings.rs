//! What the settings of all programs have in common.

use serde::de::DeserializeOwned;
use slog::Level;
use validator::Validate;

/// Settings of a program that reads them from a file and flags, and again on SIGHUP.
pub trait DaemonSettings: Clone + PartialEq + DeserializeOwned + Validate {
    /// Every setting, in the order of the help page; each is a flag too.
    const SETTING_NAMES: &'static [&'static str];

    /// Name of the process, in logs and for peers.
    fn name(&self) -> &str;

    /// The text of the setting `log_level`.
    fn log_level(&self) -> &str;

    /// The same settings with another text for `log_level`.
    fn with_log_level(self, log_level: &str) -> Self;
}

/// Default of the setting `log_level`.
pub fn default_log_level() -> String {
    "info".into()
}

/// The level that a checked text stands for.
pub fn parsed_log_level(text: &str) -> Level {
    text.parse().unwrap_or(Level::Info)
}
