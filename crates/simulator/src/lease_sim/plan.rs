//! What a simulated service is told (design 11.5).

use model::Microseconds;

/// One guard each, left out in the simulator only, so that its promise is seen broken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledGuards {
    /// The next holder waits for nobody.
    pub owed_ranges: bool,
    /// A hold lasts as long as the proof, by the back end's slow clock, and the next holder waits no longer.
    pub slow_clock: bool,
    /// Grants need no fresh proof.
    pub proof: bool,
    /// A release speaks of losses that come after it.
    pub release_position: bool,
    /// Whoever is not heard is taken for gone with its process.
    pub confirmed_ends: bool,
    /// A node that starts again takes back ends for holding nothing until it has granted something itself.
    pub earlier_grants: bool,
    /// A node looks only after the back end it has heard itself.
    pub unknown_backends: bool,
    /// Whoever was silent until its hold ran out has ended.
    pub return_of_silent: bool,
    /// The end of one that signed off is told until it is sure, though the log has it.
    pub end_reported_once: bool,
    /// Whoever's beat is read last is taken for the one that lives.
    pub late_heartbeats: bool,
    /// A process that starts registers without asking which incarnation the log has.
    pub registration: bool,
}

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
    pub fn new(seed: u64) -> Self {
        let keys = endpoints::LeaseConfig {
            proof_validity: 9_000_000,
            clock_guard: 200_000,
            max_duration: 10_000_000,
        };
        let nodes = 3 + (seed % 6) as usize;
        LeasePlan {
            seed,
            node_count: nodes,
            leases: keys,
            heartbeat_interval: 1_500_000,
            drain_time: 2_000_000,
            proof_interval: 1_000_000,
            disabled: DisabledGuards::default(),
        }
    }

    /// Within it every key is held again: a node's watchers, a placement that found its base moved, the bound, beats.
    pub fn recovery(&self) -> Microseconds {
        self.leases.proof_validity + self.leases.clock_guard + 12_000_000
    }
}
