//! The settings of a node beside back ends (docs/operators/settings.md).

pub const SETTING_NAMES: &[&str] = &[
    "name",
    "zone",
    "mates_address",
    "advertised_address",
    "local_address",
    "seeds",
    "beat_every_us",
    "beat_patience_us",
    "freshness_us",
    "ask_every_us",
    "guard_us",
    "extra_allowance",
    "stop_patience_us",
    "watch_every_us",
    "watch_patience_us",
    "homes",
    "log_level",
];

#[derive(Clone, Debug, PartialEq, serde::Deserialize, validator::Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub name: String,
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub zone: String,
    #[validate(custom(function = "model::settings::is_address"))]
    pub mates_address: String,
    #[serde(default)]
    pub advertised_address: Option<String>,
    /// Back ends and senders on this machine.
    #[validate(custom(function = "model::settings::is_address"))]
    pub local_address: String,
    #[validate(
        length(min = 1, max = 9, message = "holds 1 to 9 addresses"),
        custom(function = "model::settings::are_addresses")
    )]
    pub seeds: Vec<String>,
    #[serde(default = "beat_every")]
    #[validate(range(
        min = 50_000,
        max = 1_000_000,
        message = "is from 50000 to 1000000 microseconds"
    ))]
    pub beat_every_us: u64,
    #[serde(default = "beat_patience")]
    #[validate(range(
        min = 200_000,
        max = 2_000_000,
        message = "is from 200000 to 2000000 microseconds"
    ))]
    pub beat_patience_us: u64,
    /// How long a proof lasts. With two seconds promised to operators, no more than 1.5 s.
    #[serde(default = "freshness")]
    #[validate(range(
        min = 300_000,
        max = 1_500_000,
        message = "is from 300000 to 1500000 microseconds"
    ))]
    pub freshness_us: u64,
    #[serde(default = "ask_every")]
    #[validate(range(
        min = 50_000,
        max = 500_000,
        message = "is from 50000 to 500000 microseconds"
    ))]
    pub ask_every_us: u64,
    #[serde(default = "guard")]
    #[validate(range(
        min = 50_000,
        max = 5_000_000,
        message = "is from 50000 to 5000000 microseconds"
    ))]
    pub guard_us: u64,
    #[serde(default = "allowance")]
    #[validate(range(max = 10, message = "is from 0 to 10"))]
    pub extra_allowance: usize,
    #[serde(default = "stop_patience")]
    #[validate(range(
        min = 100_000,
        max = 120_000_000,
        message = "is from 100000 to 120000000 microseconds"
    ))]
    pub stop_patience_us: u64,
    #[serde(default = "watch_every")]
    #[validate(range(
        min = 50_000,
        max = 1_000_000,
        message = "is from 50000 to 1000000 microseconds"
    ))]
    pub watch_every_us: u64,
    /// A node silent for so long is reported by its watchers.
    #[serde(default = "watch_patience")]
    #[validate(range(
        min = 200_000,
        max = 5_000_000,
        message = "is from 200000 to 5000000 microseconds"
    ))]
    pub watch_patience_us: u64,
    /// Hear the core through the zone's home for one's services.
    #[serde(default = "yes")]
    pub homes: bool,
    #[serde(default = "log_level")]
    #[validate(custom(function = "model::settings::is_level"))]
    pub log_level: String,
}

fn beat_every() -> u64 {
    300_000
}

fn beat_patience() -> u64 {
    1_200_000
}

fn freshness() -> u64 {
    1_500_000
}

fn ask_every() -> u64 {
    250_000
}

fn guard() -> u64 {
    250_000
}

fn allowance() -> usize {
    1
}

fn stop_patience() -> u64 {
    61_000_000
}

fn watch_every() -> u64 {
    200_000
}

fn watch_patience() -> u64 {
    1_000_000
}

fn yes() -> bool {
    true
}

fn log_level() -> String {
    "info".into()
}

impl Settings {
    pub fn parsed_log_level(&self) -> slog::Level {
        self.log_level.parse().unwrap_or(slog::Level::Info)
    }
}
