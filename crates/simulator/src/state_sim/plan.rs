//! What a simulated core with its followers is made of, and the faults drawn for it.

use model::Microseconds;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Guards that are left out in the simulator only, so that a promise is seen broken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledGuards {
    /// A node waits for a proof before it serves what it received.
    pub proof: bool,
    /// A replica asks a majority before it proves what it holds.
    pub quorum: bool,
    /// A node keeps what it holds when it begins a connection, and takes nothing older there.
    pub forward: bool,
    /// A node keeps the replica that it relies on until another one has proved what it sent.
    pub keep_replica: bool,
}

/// The shape and the times of a simulated site. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct StatePlan {
    /// Draws delays and changes.
    pub seed: u64,
    /// How many replicas.
    pub replica_count: u16,
    /// How many nodes.
    pub node_count: usize,
    /// Replicas and nodes go to the zones by their number.
    pub zone_count: usize,
    /// The shortest and the longest delay of a frame.
    pub network_delay: (Microseconds, Microseconds),
    /// Between two requests of a node for a proof, and how long one is waited for.
    pub proof_interval: Microseconds,
    /// Between two changes by operators.
    pub change_interval: Microseconds,
    /// What is left out.
    pub disabled: DisabledGuards,
}

impl StatePlan {
    /// A site of three or five replicas.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node's process is killed and starts again.
    RestartNode,
    /// All nodes' processes at once.
    RestartAllNodes,
    /// All nodes' processes in turn.
    RestartNodesInTurn,
    /// What a node receives is late, in its order.
    DelayUpdates,
    /// A node reaches no replica.
    CutNode,
    /// A replica's process is killed and starts again.
    CrashReplica,
    /// All replicas' processes at once.
    CrashAllReplicas,
    /// A replica stands still.
    FreezeReplica,
    /// As many replicas of one zone as leave a majority stand still.
    FreezeZone,
    /// A replica reaches its peers no more, and goes on talking to its followers.
    CutReplica,
    /// A replica's disk is lost, and an empty one takes its place; once a run, as a site bears one.
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

/// Faults that leave a majority of replicas and touch no node, so that every change has to be in
/// force in time.
pub const IN_FORCE_FAULTS: [Fault; 4] = [
    Fault::FreezeReplica,
    Fault::FreezeZone,
    Fault::CrashReplica,
    Fault::CutReplica,
];

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: Microseconds,
    /// What.
    pub kind: Fault,
    /// Which replica, node or zone, modulo their number.
    pub target: usize,
    /// How long it lasts.
    pub length: Microseconds,
}

const SECOND: Microseconds = 1_000_000;

/// Draws one fault for each `interval` seconds, each over before the second after the next.
pub fn draw_faults(kinds: &[Fault], seed: u64, count: u64, interval: u64) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let longest = interval * SECOND * 5 / 2;
    let drawn = (0..count).map(|turn| ScheduledFault {
        at: (turn * interval + 1) * SECOND + rng.random_range(0..SECOND),
        kind: kinds[rng.random_range(0..kinds.len())],
        target: rng.random_range(0..60),
        length: rng.random_range(50_000..longest),
    });
    let drawn: Vec<ScheduledFault> = drawn.collect();
    let is_replacement = |fault: &ScheduledFault| fault.kind == Fault::ReplaceReplica;
    let first_replacement = drawn.iter().position(is_replacement);
    let kept = drawn.into_iter().enumerate();
    let kept =
        kept.filter(|(turn, fault)| !is_replacement(fault) || Some(*turn) == first_replacement);
    kept.map(|(_, fault)| fault).collect()
}
