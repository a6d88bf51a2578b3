//! The parameters and the counters of a simulated run (design 9.1).

use std::collections::BTreeMap;

type Micros = mencius::Micros;
type ReplicaId = mencius::ReplicaId;

/// The parameters of a set of simulated replicas. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    pub replica_count: u16,
    pub seed: u64,
    /// The shortest and the longest delay of a frame, and of a sync of a disk.
    pub network_delay: (Micros, Micros),
    pub sync_delay: (Micros, Micros),
    pub config: mencius::Config,
    /// Number of applied entries between two snapshots; 0 disables snapshots.
    pub snapshot_every: usize,
    /// Whether a replica takes a snapshot as soon as the log is past the replacement of a replica (design 4.4). Without
    /// that snapshot the loss of a second disk stops the log.
    pub snapshot_after_replacement: bool,
    /// Whether disks report a sync before anything is written. Used to show that the checks notice it.
    pub acknowledges_unwritten: bool,
    /// How long a caller waits for its entry. For that time the driver submits an entry again that was not chosen.
    pub caller_timeout: Micros,
    /// Crashes the replica before its effect of this number (design 9.2).
    pub crash_at: Option<(ReplicaId, u64)>,
}

impl WorldPlan {
    pub fn new(replica_count: u16, seed: u64) -> Self {
        let config = mencius::Config::default();
        let (snapshot_every, snapshot_after_replacement) = (40, true);
        WorldPlan {
            replica_count,
            seed,
            network_delay: (300, 1_500),
            sync_delay: (500, 5_000),
            config,
            snapshot_every,
            snapshot_after_replacement,
            acknowledges_unwritten: false,
            caller_timeout: Micros::MAX,
            crash_at: None,
        }
    }
}

/// Counters over a run and all replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub frames_by_kind: BTreeMap<&'static str, u64>,
    pub frames: u64,
    pub syncs: u64,
    pub revocations: u64,
    pub effects: u64,
}
