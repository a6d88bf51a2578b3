//! The parameters of the ordering protocol (paper 6; design 3.7).

use crate::messages::{Instance, Micros};

/// The maximum distance above its applied instances at which a replica promises or accepts, in
/// instances.
///
/// A replica that votes further than this above the replacement of a replica's disk has therefore
/// applied that replacement and knows which disk votes there (design 4.4). The value is eight times
/// the largest [`beta`](Config::beta) that the settings allow, so that a revoked block always fits.
pub const VOTING_WINDOW: Instance = 1_000_000;

/// Parameters of a replica. Replicas may use different values: safety does not depend on them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// α of Accelerator 1 (paper 4.4): the maximum number of outstanding skips to a peer, in
    /// instances of this replica. If exceeded, the skips are sent immediately. Default 20.
    pub alpha: u64,
    /// τ of Accelerator 1 (paper 4.4): the maximum time before outstanding skips are sent, in
    /// microseconds. Default 50 ms.
    pub tau: Micros,
    /// β of Optimization 3 (paper 4.4), in instances: a suspected coordinator with an unknown
    /// instance below the own index plus β is revoked up to the own index plus 2β. Default 100,000,
    /// at most an eighth of [`VOTING_WINDOW`].
    pub beta: u64,
    /// The time without any other frame to a peer after which a heartbeat is sent, in microseconds.
    /// Default 50 ms.
    pub heartbeat_interval: Micros,
    /// The silence after which a peer is suspected, in microseconds, until the first false
    /// suspicion of this peer. Default 300 ms.
    pub initial_suspicion_timeout: Micros,
    /// The upper bound of a peer's suspicion timeout, which each false suspicion raises by half, in
    /// microseconds. Default 900 ms.
    pub max_suspicion_timeout: Micros,
    /// The wait after which a stalled instance is fetched from a peer, and after which read
    /// requests without a majority of responses are repeated, in microseconds. Default 100 ms.
    pub stall_fetch_after: Micros,
    /// The wait after which a stalled instance is revoked, whether its coordinator is suspected or
    /// not (design 3.6), in microseconds. Default 250 ms.
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
