//! Parameters of a simulated service (design 11.5).

use model::Microseconds;

/// Guards of the lease protocol that the simulator can disable one at a time, to show that the checks detect the violation
/// that each of them prevents. Each field describes the behaviour without the guard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledGuards {
    /// The next holder of a range does not wait for pending releases.
    pub pending_releases: bool,
    /// The margin for slow clocks is left out: a lease may last until the freshness proof expires by the backend's slow
    /// clock, and the next holder waits no longer than that proof.
    pub slow_clock: bool,
    /// A grant needs no freshness proof.
    pub freshness_proof: bool,
    /// The report of a release also covers ranges that the backend lost after the release.
    pub release_position: bool,
    /// The process of a silent backend is presumed to have ended, without a probe.
    pub confirmed_ends: bool,
    /// A restarted node presumes that a backend holds nothing that an earlier process of the node granted.
    pub earlier_grants: bool,
    /// A node does not report on backends that the log lists at it and that have sent it no heartbeat.
    pub unknown_backends: bool,
    /// A backend that is silent until its lease expires is reported as ended.
    pub return_of_silent: bool,
    /// The end of a deregistered backend is reported until it is confirmed, although the log already has it.
    pub end_reported_once: bool,
    /// A node regards the backend whose heartbeat it reads last as the live one, even if that heartbeat was delayed.
    pub late_heartbeats: bool,
    /// A starting node registers without naming the incarnation that it replaces.
    pub registration: bool,
}

/// Seed, size and timing of one simulated service. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct LeasePlan {
    pub seed: u64,
    pub node_count: usize,
    pub leases: endpoints::LeaseConfig,
    pub heartbeat_interval: Microseconds,
    pub drain_time: Microseconds,
    pub proof_interval: Microseconds,
    pub disabled: DisabledGuards,
}

impl LeasePlan {
    /// The default timing, with 3 to 8 nodes by seed.
    pub fn new(seed: u64) -> Self {
        let leases = endpoints::LeaseConfig {
            proof_validity: 9_000_000,
            clock_margin: 200_000,
            max_duration: 10_000_000,
        };
        let node_count = 3 + (seed % 6) as usize;
        LeasePlan {
            seed,
            node_count,
            leases,
            heartbeat_interval: 1_500_000,
            drain_time: 2_000_000,
            proof_interval: 1_000_000,
            disabled: DisabledGuards::default(),
        }
    }

    /// Returns the time within which every key has a holder again after the last fault. It covers failure detection, a
    /// placement that is retried on a newer base, the longest lease and the heartbeats.
    pub fn recovery_time(&self) -> Microseconds {
        self.leases.proof_validity + self.leases.clock_margin + 12_000_000
    }
}
