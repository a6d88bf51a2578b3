//! The settings of a node (docs/operators/settings.md). Field names are the keys of the settings file
//! and the names of the flags, and appear in fault messages.

use daemon::DaemonSettings;
use model::Microseconds;
use serde::Deserialize;
use validator::Validate;

/// The settings of a node. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Name of the node, 1 to 63 bytes.
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub name: String,
    /// Zone of the machine, 1 to 63 bytes.
    #[validate(length(min = 1, max = 63, message = "is 1 to 63 bytes"))]
    pub zone: String,
    /// IP address and port on which connections from peers are accepted.
    #[validate(custom(function = "model::settings::validate_address"))]
    pub mates_address: String,
    /// Address under which peers reach this process, if it differs from `mates_address`.
    #[serde(default)]
    pub advertised_address: Option<String>,
    /// IP address and port of the HTTP API for the backends and clients on this machine.
    #[validate(custom(function = "model::settings::validate_address"))]
    pub local_address: String,
    /// Peer addresses of replicas, 1 to 9.
    #[validate(
        length(min = 1, max = 9, message = "holds 1 to 9 addresses"),
        custom(function = "model::settings::validate_addresses")
    )]
    pub seeds: Vec<String>,
    /// Interval at which a backend sends heartbeats, in microseconds, from 50000 to 1000000; 300000 by
    /// default.
    #[serde(default = "default_beat_every_us")]
    #[validate(range(
        min = 50_000,
        max = 1_000_000,
        message = "is from 50000 to 1000000 microseconds"
    ))]
    pub beat_every_us: Microseconds,
    /// Time without a heartbeat after which a backend counts as gone, in microseconds, from 200000 to
    /// 2000000; 1200000 by default.
    #[serde(default = "default_beat_patience_us")]
    #[validate(range(
        min = 200_000,
        max = 2_000_000,
        message = "is from 200000 to 2000000 microseconds"
    ))]
    pub beat_patience_us: Microseconds,
    /// Validity of a freshness proof, in microseconds, from 300000 to 1500000; 1500000 by
    /// default. A longer time would break the guarantee to operators that a change is in force
    /// everywhere within two seconds.
    #[serde(default = "default_freshness_us")]
    #[validate(range(
        min = 300_000,
        max = 1_500_000,
        message = "is from 300000 to 1500000 microseconds"
    ))]
    pub freshness_us: Microseconds,
    /// Interval between two freshness-proof requests, in microseconds, from 50000 to 500000; 250000
    /// by default.
    #[serde(default = "default_ask_every_us")]
    #[validate(range(
        min = 50_000,
        max = 500_000,
        message = "is from 50000 to 500000 microseconds"
    ))]
    pub ask_every_us: Microseconds,
    /// Margin for clock drift, added to the time for which the previous holder of a lease may still
    /// rely on it, in microseconds, from 50000 to 5000000; 250000 by default.
    #[serde(default = "default_guard_us")]
    #[validate(range(
        min = 50_000,
        max = 5_000_000,
        message = "is from 50000 to 5000000 microseconds"
    ))]
    pub guard_us: Microseconds,
    /// Retries allowed in any ten seconds in addition to one per five requests, from 0, which disables
    /// retries completely, to 10; 1 by default.
    #[serde(default = "default_extra_allowance")]
    #[validate(range(max = 10, message = "is from 0 to 10"))]
    pub extra_allowance: usize,
    /// Drain timeout for forwarded requests when the node stops, in microseconds, from 100000 to
    /// 120000000; 61000000 by default.
    #[serde(default = "default_stop_patience_us")]
    #[validate(range(
        min = 100_000,
        max = 120_000_000,
        message = "is from 100000 to 120000000 microseconds"
    ))]
    pub stop_patience_us: Microseconds,
    /// Interval between two heartbeats to the nodes that monitor this one, in microseconds, from 50000
    /// to 1000000; 200000 by default.
    #[serde(default = "default_watch_every_us")]
    #[validate(range(
        min = 50_000,
        max = 1_000_000,
        message = "is from 50000 to 1000000 microseconds"
    ))]
    pub watch_every_us: Microseconds,
    /// Time without a heartbeat after which a monitored node is reported as failed, in microseconds,
    /// from 200000 to 5000000; 1000000 by default.
    #[serde(default = "default_watch_patience_us")]
    #[validate(range(
        min = 200_000,
        max = 5_000_000,
        message = "is from 200000 to 5000000 microseconds"
    ))]
    pub watch_patience_us: Microseconds,
    /// Whether state updates are received through the relays of the zone, which is the default,
    /// instead of directly from the core.
    #[serde(default = "default_homes")]
    pub homes: bool,
    /// Lowest level that is logged: critical, error, warning, info (the default), debug or trace.
    #[serde(default = "daemon::default_log_level")]
    #[validate(custom(function = "model::settings::validate_log_level"))]
    pub log_level: String,
}

impl DaemonSettings for Settings {
    const SETTING_NAMES: &'static [&'static str] = &[
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

fn default_beat_every_us() -> Microseconds {
    300_000
}

fn default_beat_patience_us() -> Microseconds {
    1_200_000
}

fn default_freshness_us() -> Microseconds {
    1_500_000
}

fn default_ask_every_us() -> Microseconds {
    250_000
}

fn default_guard_us() -> Microseconds {
    250_000
}

fn default_extra_allowance() -> usize {
    1
}

fn default_stop_patience_us() -> Microseconds {
    61_000_000
}

fn default_watch_every_us() -> Microseconds {
    200_000
}

fn default_watch_patience_us() -> Microseconds {
    1_000_000
}

fn default_homes() -> bool {
    true
}
