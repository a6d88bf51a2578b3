//! What a simulated run is told, and what it counts (design 9.1).

use std::collections::BTreeMap;

type Micros = mencius::Micros;
type Seat = mencius::ReplicaId;

#[derive(Clone, Debug)]
pub struct WorldPlan {
    pub replica_count: u16,
    pub seed: u64,
    pub network_delay: (Micros, Micros),
    pub sync_delay: (Micros, Micros),
    pub tuning: mencius::Config,
    /// Applied entries between two snapshots; 0 takes none.
    pub snapshot_every: usize,
    /// A snapshot as soon as the log is past a change of holders (design 4.4); without it a second lost disk stops the log.
    pub snapshot_past_change: bool,
    /// A broken disk that reports a sync before anything is kept. Only to show the checker bites.
    pub lying_disk: bool,
    /// How long a caller waits for its entry; the driver submits an overruled one again for so long.
    pub caller_patience: Micros,
    /// Crash the seat when it reaches the numbered point (design 9.2).
    pub crash_at: Option<(Seat, u64)>,
}

impl WorldPlan {
    pub fn new(seats: u16, seed: u64) -> Self {
        let tuning = mencius::Config::default();
        let (snapshot_every, snapshot_past_change) = (40, true);
        WorldPlan {
            replica_count: seats,
            seed,
            network_delay: (300, 1_500),
            sync_delay: (500, 5_000),
            tuning,
            snapshot_every,
            snapshot_past_change,
            lying_disk: false,
            caller_patience: Micros::MAX,
            crash_at: None,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub frames_by_kind: BTreeMap<&'static str, u64>,
    pub frames: u64,
    pub syncs: u64,
    pub revocations: u64,
    pub effects: u64,
}
