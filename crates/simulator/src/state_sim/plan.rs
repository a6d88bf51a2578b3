//! What a simulated core with its followers is told (design 11.6).

use model::Microseconds;

/// One guard each, left out in the simulator only, so that the promise is seen broken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledGuards {
    /// A node serves what it was told before its first proof.
    pub proof: bool,
    /// A seat proves what it holds itself, and asks nobody.
    pub quorum: bool,
    /// A node forgets at each new conn what it holds, and takes what it is told there.
    pub forward: bool,
}

#[derive(Clone, Debug)]
pub struct StatePlan {
    pub seed: u64,
    pub replica_count: u16,
    pub node_count: usize,
    pub network_delay: (Microseconds, Microseconds),
    pub proof_interval: Microseconds,
    pub change_interval: Microseconds,
    pub disabled: DisabledGuards,
}

impl StatePlan {
    pub fn new(seed: u64) -> Self {
        let seats = if seed.is_multiple_of(2) { 5 } else { 3 };
        StatePlan {
            seed,
            replica_count: seats,
            node_count: 5,
            network_delay: (100, 4_000),
            proof_interval: 500_000,
            change_interval: 45_000,
            disabled: DisabledGuards::default(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node's process is killed and starts again.
    RestartNode,
    /// All nodes at once.
    RestartAllNodes,
    /// All nodes in turn.
    RestartNodesInTurn,
    /// What a node is told is late by so long, in its order.
    DelayUpdates,
    /// A node is cut off from the core.
    CutNode,
    CrashReplica,
    CrashAllReplicas,
    FreezeReplica,
    /// A seat hears its mates no more, and goes on talking to its followers.
    CutReplica,
    /// A seat's disk is lost, an empty one takes it over; once a run, as a site bears one.
    ReplaceReplica,
}

pub const FAULTS: [Fault; 10] = [
    Fault::RestartNode,
    Fault::RestartAllNodes,
    Fault::RestartNodesInTurn,
    Fault::DelayUpdates,
    Fault::CutNode,
    Fault::CrashReplica,
    Fault::CrashAllReplicas,
    Fault::FreezeReplica,
    Fault::CutReplica,
    Fault::ReplaceReplica,
];

/// When, what, whom, and for how long.
pub type ScheduledFault = (Microseconds, Fault, usize, Microseconds);

const SECOND: Microseconds = 1_000_000;

/// A blow a second from the second on, of these kinds.
pub fn draw_faults(kinds: &[Fault], seed: u64, count: u64) -> Vec<ScheduledFault> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let drawn: Vec<ScheduledFault> = (0..count)
        .map(|turn| {
            let at = (turn + 1) * SECOND + rand::Rng::random_range(&mut random, 0..SECOND);
            let kind = kinds[rand::Rng::random_range(&mut random, 0..kinds.len())];
            (
                at,
                kind,
                rand::Rng::random_range(&mut random, 0..60),
                rand::Rng::random_range(&mut random, 50_000..2_500_000),
            )
        })
        .collect();
    let replaced = drawn
        .iter()
        .position(|(_, kind, ..)| *kind == Fault::ReplaceReplica);
    drawn
        .into_iter()
        .enumerate()
        .filter(|(at, (_, kind, ..))| *kind != Fault::ReplaceReplica || Some(*at) == replaced)
        .map(|(_, struck)| struck)
        .collect()
}
