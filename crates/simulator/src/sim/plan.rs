//! The parameters and the counters of a simulated run (design 9.1).

use std::collections::BTreeMap;

type Micros = mencius::Micros;
type ReplicaId = mencius::ReplicaId;

/// The parameters of a set of simulated replicas. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    pub replica_count: u16,
    pub seed: u64,
    /// The shortest and the longest delay of a frame.
    pub network_delay: (Micros, Micros),
    /// The shortest and the longest duration of a sync of a disk.
    pub sync_delay: (Micros, Micros),
    pub config: mencius::Config,
    /// Number of applied entries between two snapshots; 0 disables snapshots.
    pub snapshot_every: usize,
    /// Whether replicas take a snapshot as soon as the log is past the replacement of a replica (design 4.4). Without that
    /// snapshot the loss of a second disk stops the log.
    pub snapshot_after_replacement: bool,
    /// Whether disks report a sync before they have written the data. Tests use it to show that the checks detect the
    /// loss of entries.
    pub acknowledges_unwritten: bool,
    /// Time for which a caller waits for its entry. During that time the driver resubmits an entry that was not chosen.
    pub caller_timeout: Micros,
    /// Replica to crash, and the number of its effect before which it crashes (design 9.2).
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
