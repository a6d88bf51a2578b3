//! The parameters of the ordering (paper 6; design 3.7).

use crate::messages::{Instance, Micros};

/// How far above what it has applied a replica promises or accepts, in instances.
///
/// Whoever votes further than this above a change of a replica's disk has therefore applied that
/// change and knows which disk votes there (design 4.4). Eight times the largest
/// [`beta`](Config::beta) that the settings allow, so that a revoked block always fits.
pub const VOTING_WINDOW: Instance = 1_000_000;

/// Parameters of a replica. They need not be the same on all replicas: safety depends on none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// α of Accelerator 1 (paper 4.4): more outstanding skips to a peer than this are sent at
    /// once. In instances of this replica; default 20.
    pub alpha: u64,
    /// τ of Accelerator 1 (paper 4.4): outstanding skips are sent after this time at the latest.
    /// In microseconds; default 50 ms.
    pub tau: Micros,
    /// β of Optimization 3 (paper 4.4): a suspected coordinator with an unknown instance below the
    /// own index plus β is revoked up to the own index plus 2β. In instances; default 100,000, at
    /// most an eighth of [`VOTING_WINDOW`].
    pub beta: u64,
    /// A peer that was sent nothing else for this long is sent a heartbeat. In microseconds;
    /// default 50 ms.
    pub heartbeat_interval: Micros,
    /// A peer that was silent for longer is suspected, until the first mistake. In microseconds;
    /// default 300 ms.
    pub initial_suspicion_timeout: Micros,
    /// Each false suspicion raises a peer's time-out by half, up to this. In microseconds;
    /// default 900 ms.
    pub max_suspicion_timeout: Micros,
    /// An instance that is awaited this long is asked for at a peer, and read requests without a
    /// majority of responses are repeated. In microseconds; default 100 ms.
    pub stall_fetch_after: Micros,
    /// An instance that is awaited this long is revoked, whether its coordinator is suspected or
    /// not (design 3.6). In microseconds; default 250 ms.
    pub stall_revoke_after: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            alpha: 20,
            tau: 50_000,
            beta: 100_000,
            heartbeat_interval: 50_000,
            initial_suspicion_timeout: 300_000,
            max_suspicion_timeout: 900_000,
            stall_fetch_after: 100_000,
            stall_revoke_after: 250_000,
        }
    }
}
