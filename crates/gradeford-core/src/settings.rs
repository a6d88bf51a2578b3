//! The settings of a replica (docs/operators/settings.md). Field names are the keys of the settings
//! file and the names of the flags, and appear in fault messages.

use std::path::PathBuf;

use control::ReplicaConfig;
use daemon::DaemonSettings;
use mencius::Config;
use serde::Deserialize;
use validator::{Validate, ValidationError};

/// The settings of a replica.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Name of the process, 1 to 63 bytes.
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub name: String,
    /// Zone of the machine, 1 to 63 bytes.
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub zone: String,
    /// Replica number of this process, from 0 to `seats` - 1.
    #[validate(range(max = 8, message = "is from 0 to seats - 1"))]
    pub seat: u16,
    /// Number of replicas: 1, 3, 5, 7 or 9.
    #[validate(custom(function = "is_replica_count"))]
    pub seats: u16,
    /// IP address and port on which connections from peers are accepted.
    #[validate(custom(function = "model::settings::validate_address"))]
    pub mates_address: String,
    /// IP address and port of the operators' HTTP API.
    #[validate(custom(function = "model::settings::validate_address"))]
    pub operators_address: String,
    /// Address under which peers reach this process, if it differs from `mates_address`.
    #[serde(default)]
    pub advertised_address: Option<String>,
    /// Peer addresses of replicas, 1 to 9.
    #[validate(
        length(min = 1, max = 9, message = "holds 1 to 9 addresses"),
        custom(function = "model::settings::validate_addresses")
    )]
    pub seeds: Vec<String>,
    /// Folder for the log and its snapshots.
    pub folder: PathBuf,
    /// Mencius' alpha, from 1 to 100000: the number of outstanding SKIP messages after which they
    /// are sent on their own (the paper's accelerator 1).
    #[serde(default = "default_alpha")]
    #[validate(range(min = 1, max = 100_000, message = "is from 1 to 100000"))]
    pub alpha: u64,
    /// Mencius' tau, in microseconds, from 1000 to 1000000: how long a SKIP message may be deferred
    /// to be sent with another message (the paper's accelerator 1).
    #[serde(default = "default_tau_us")]
    #[validate(range(
        min = 1_000,
        max = 1_000_000,
        message = "is from 1000 to 1000000 microseconds"
    ))]
    pub tau_us: u64,
    /// Mencius' beta, in instances, from 100 to 125000: how far ahead the instances of a suspected
    /// coordinator are revoked (the paper's optimization 3).
    #[serde(default = "default_beta")]
    #[validate(range(min = 100, max = 125_000, message = "is from 100 to 125000"))]
    pub beta: u64,
    /// Number of log entries between two snapshots, from 10 to 1000000; 500 by default.
    #[serde(default = "default_snapshot_every")]
    #[validate(range(min = 10, max = 1_000_000, message = "is from 10 to 1000000 entries"))]
    pub snapshot_every: u64,
    /// Time for which a member must be unreachable before an empty disk replaces it, in
    /// microseconds: 0, which leaves the replacement to operators, or from 500000 to 3600000000;
    /// 3000000 by default.
    #[serde(default = "default_replace_after_us")]
    #[validate(custom(function = "is_replacement_delay"))]
    pub replace_after_us: u64,
    /// Lowest level that is logged: critical, error, warning, info (the default), debug or trace.
    #[serde(default = "daemon::default_log_level")]
    #[validate(custom(function = "model::settings::validate_log_level"))]
    pub log_level: String,
}

impl Settings {
    /// Builds the configuration of the replica. `address` is the bound peer address.
    pub(crate) fn replica_config(&self, address: String) -> ReplicaConfig {
        ReplicaConfig {
            name: self.name.clone(),
            zone: self.zone.clone(),
            replica_id: self.seat,
            replica_count: self.seats,
            address: self.advertised_address.clone().unwrap_or(address),
            seeds: self.seeds.clone(),
            folder: self.folder.clone(),
            timing: Config {
                alpha: self.alpha,
                tau: self.tau_us,
                beta: self.beta,
                ..Config::default()
            },
            snapshot_every_entries: self.snapshot_every,
            replace_after: self.replace_after_us,
            membership: None,
        }
    }
}

impl DaemonSettings for Settings {
    const SETTING_NAMES: &'static [&'static str] = &[
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

    fn name(&self) -> &str {
        &self.name
    }

    fn log_level(&self) -> &str {
        &self.log_level
    }

    fn with_log_level(self, log_level: &str) -> Settings {
        Settings {
            log_level: log_level.to_string(),
            ..self
        }
    }
}

fn default_alpha() -> u64 {
    Config::default().alpha
}

fn default_tau_us() -> u64 {
    Config::default().tau
}

fn default_beta() -> u64 {
    Config::default().beta
}

fn default_snapshot_every() -> u64 {
    500
}

fn default_replace_after_us() -> u64 {
    3_000_000
}

fn is_replica_count(count: u16) -> Result<(), ValidationError> {
    if [1, 3, 5, 7, 9].contains(&count) {
        return Ok(());
    }
    Err(ValidationError::new("seats").with_message("is 1, 3, 5, 7 or 9".into()))
}

fn is_replacement_delay(delay_us: u64) -> Result<(), ValidationError> {
    if delay_us == 0 || (500_000..=3_600_000_000).contains(&delay_us) {
        return Ok(());
    }
    let message = "is 0, or from 500000 to 3600000000 microseconds";
    Err(ValidationError::new("after").with_message(message.into()))
}
