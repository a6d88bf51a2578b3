//! The settings of a core seat (docs/operators/settings.md).

use std::path::PathBuf;

pub const SETTING_NAMES: &[&str] = &[
    "name",
    "zone",
    "seat",
    "seats",
    "mates_address",
    "operators_address",
    "advertised_address",
    "seeds",
    "folder",
    "alpha",
    "tau_us",
    "beta",
    "snapshot_every",
    "replace_after_us",
    "log_level",
];

#[derive(Clone, Debug, PartialEq, serde::Deserialize, validator::Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub name: String,
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub zone: String,
    #[validate(range(max = 8, message = "is from 0 to seats - 1"))]
    pub seat: u16,
    #[validate(custom(function = "odd"))]
    pub seats: u16,
    #[validate(custom(function = "model::settings::is_address"))]
    pub mates_address: String,
    #[validate(custom(function = "model::settings::is_address"))]
    pub operators_address: String,
    /// Where mates find this process, if not where it listens.
    #[serde(default)]
    pub advertised_address: Option<String>,
    #[validate(
        length(min = 1, max = 9, message = "holds 1 to 9 addresses"),
        custom(function = "model::settings::are_addresses")
    )]
    pub seeds: Vec<String>,
    pub folder: PathBuf,
    #[serde(default = "alpha")]
    #[validate(range(min = 1, max = 100_000, message = "is from 1 to 100000"))]
    pub alpha: u64,
    #[serde(default = "tau")]
    #[validate(range(
        min = 1_000,
        max = 1_000_000,
        message = "is from 1000 to 1000000 microseconds"
    ))]
    pub tau_us: u64,
    #[serde(default = "beta")]
    #[validate(range(min = 100, max = 125_000, message = "is from 100 to 125000"))]
    pub beta: u64,
    #[serde(default = "snapshot_every")]
    #[validate(range(min = 10, max = 1_000_000, message = "is from 10 to 1000000 entries"))]
    pub snapshot_every: u64,
    /// An empty disk takes a seat over whose holder has been away so long; 0 leaves it to operators.
    #[serde(default = "replace_after")]
    #[validate(custom(function = "replaces"))]
    pub replace_after_us: u64,
    #[serde(default = "log_level")]
    #[validate(custom(function = "model::settings::is_level"))]
    pub log_level: String,
}

fn alpha() -> u64 {
    mencius::Config::default().alpha
}

fn tau() -> u64 {
    mencius::Config::default().tau
}

fn beta() -> u64 {
    mencius::Config::default().beta
}

fn snapshot_every() -> u64 {
    500
}

fn replace_after() -> u64 {
    3_000_000
}

fn replaces(after: u64) -> Result<(), validator::ValidationError> {
    let fine = after == 0 || (500_000..=3_600_000_000).contains(&after);
    fine.then_some(()).ok_or_else(|| {
        validator::ValidationError::new("after")
            .with_message("is 0, or from 500000 to 3600000000 microseconds".into())
    })
}

fn log_level() -> String {
    "info".into()
}

fn odd(seats: u16) -> Result<(), validator::ValidationError> {
    let fine = [1, 3, 5, 7, 9].contains(&seats);
    fine.then_some(()).ok_or_else(|| {
        validator::ValidationError::new("seats").with_message("is 1, 3, 5, 7 or 9".into())
    })
}

impl Settings {
    pub fn parsed_log_level(&self) -> slog::Level {
        self.log_level.parse().unwrap_or(slog::Level::Info)
    }

    pub fn replica_config(&self, address: String) -> control::ReplicaConfig {
        control::ReplicaConfig {
            name: self.name.clone(),
            zone: self.zone.clone(),
            replica_id: self.seat,
            replica_count: self.seats,
            address: self.advertised_address.clone().unwrap_or(address),
            seeds: self.seeds.clone(),
            folder: self.folder.clone(),
            timing: mencius::Config {
                alpha: self.alpha,
                tau: self.tau_us,
                beta: self.beta,
                ..Default::default()
            },
            snapshot_every_entries: self.snapshot_every,
            replace_after: self.replace_after_us,
            membership: None,
        }
    }
}
