//! The parameters of simulated replicas and their followers, and the random faults.

use model::Microseconds;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Guards that a run leaves out, to show that the checks detect the violation that each of them prevents. Each field
/// describes the guard, which is left out if the field is set. These switches exist in the simulator only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledGuards {
    /// A node waits for a freshness proof before it serves a state that it received.
    pub proof: bool,
    /// A replica confirms its state with a majority before it sends a freshness proof.
    pub quorum: bool,
    /// A node keeps the state that it holds when it opens a connection, and accepts no older state on it.
    pub forward_only: bool,
    /// A node keeps the connection to its current replica until another replica has proved the state that it sent.
    pub keep_replica: bool,
}

/// The size and the timing of a simulated site. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct StatePlan {
    /// Seed of the random delays and changes.
    pub seed: u64,
    /// Number of replicas.
    pub replica_count: u16,
    /// Number of nodes.
    pub node_count: usize,
    /// Number of zones. Replica or node `i` is in zone `i % zone_count`.
    pub zone_count: usize,
    /// The shortest and the longest delay of a frame.
    pub network_delay: (Microseconds, Microseconds),
    /// Interval between two freshness-proof requests of a node, and the timeout of each.
    pub proof_interval: Microseconds,
    /// Interval between two changes by operators.
    pub change_interval: Microseconds,
    /// The guards that are left out.
    pub disabled: DisabledGuards,
}

impl StatePlan {
    /// Returns the plan of a site with five replicas for an even seed, and with three for an odd one.
    pub fn new(seed: u64) -> Self {
        let replica_count = if seed.is_multiple_of(2) { 5 } else { 3 };
        StatePlan {
            seed,
            replica_count,
            node_count: 5,
            zone_count: 2,
            network_delay: (100, 4_000),
            proof_interval: 500_000,
            change_interval: 45_000,
            disabled: DisabledGuards::default(),
        }
    }
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node's process is killed and restarted.
    RestartNode,
    /// All nodes' processes are killed at once and restarted.
    RestartAllNodes,
    /// All nodes' processes are killed and restarted one after the other.
    RestartNodesInTurn,
    /// The frames to a node are delayed, in order.
    DelayUpdates,
    /// A node reaches no replica.
    CutNode,
    /// A replica's process is killed and restarted.
    CrashReplica,
    /// All replicas' processes are killed at once and restarted.
    CrashAllReplicas,
    /// A replica's process is frozen.
    FreezeReplica,
    /// Replicas of one zone are frozen, at most as many as leave a majority running.
    FreezeZone,
    /// A replica is cut off from its peers but not from its followers.
    CutReplica,
    /// A replica's disk is lost and replaced by an empty one. At most one per run, the most that a site tolerates.
    ReplaceReplica,
}

/// All kinds of faults.
pub const FAULTS: [Fault; 11] = [
    Fault::RestartNode,
    Fault::RestartAllNodes,
    Fault::RestartNodesInTurn,
    Fault::DelayUpdates,
    Fault::CutNode,
    Fault::CrashReplica,
    Fault::CrashAllReplicas,
    Fault::FreezeReplica,
    Fault::FreezeZone,
    Fault::CutReplica,
    Fault::ReplaceReplica,
];

/// Faults that leave a majority of the replicas running and affect no node, so that every change has to be in force in
/// time.
pub const IN_FORCE_FAULTS: [Fault; 4] = [
    Fault::FreezeReplica,
    Fault::FreezeZone,
    Fault::CrashReplica,
    Fault::CutReplica,
];

/// A fault with its time, target and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time at which the fault begins, in microseconds.
    pub starts_at: Microseconds,
    /// The kind of fault.
    pub kind: Fault,
    /// The affected replica, node or zone, modulo their number.
    pub target: usize,
    /// Duration of the fault, in microseconds.
    pub duration: Microseconds,
}

const SECOND: Microseconds = 1_000_000;

/// Draws `count` faults, one in each interval of `interval` seconds. Each lasts at most two and a half intervals.
pub fn draw_faults(kinds: &[Fault], seed: u64, count: u64, interval: u64) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let longest = interval * SECOND * 5 / 2;
    let drawn = (0..count).map(|round| ScheduledFault {
        starts_at: (round * interval + 1) * SECOND + rng.random_range(0..SECOND),
        kind: kinds[rng.random_range(0..kinds.len())],
        target: rng.random_range(0..60),
        duration: rng.random_range(50_000..longest),
    });
    let drawn: Vec<ScheduledFault> = drawn.collect();
    let is_replacement = |fault: &ScheduledFault| fault.kind == Fault::ReplaceReplica;
    let first_replacement = drawn.iter().position(is_replacement);
    let kept = drawn.into_iter().enumerate();
    let kept =
        kept.filter(|(round, fault)| !is_replacement(fault) || Some(*round) == first_replacement);
    kept.map(|(_, fault)| fault).collect()
}
