//! What a simulated core with its followers is told (design 11.6).

use model::Microseconds;

/// One guard each, left out in the simulator only, so that the promise is seen broken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Without {
    /// A node serves what it was told before its first proof.
    pub proof: bool,
    /// A seat proves what it holds itself, and asks nobody.
    pub quorum: bool,
    /// A node forgets at each new conn what it holds, and takes what it is told there.
    pub forward: bool,
}

#[derive(Clone, Debug)]
pub struct BillPlan {
    pub seed: u64,
    pub seats: u16,
    pub nodes: usize,
    pub hop: (Microseconds, Microseconds),
    pub ask_every: Microseconds,
    pub change_every: Microseconds,
    pub without: Without,
}

impl BillPlan {
    pub fn new(seed: u64) -> Self {
        let seats = if seed.is_multiple_of(2) { 5 } else { 3 };
        BillPlan {
            seed,
            seats,
            nodes: 5,
            hop: (100, 4_000),
            ask_every: 500_000,
            change_every: 45_000,
            without: Without::default(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blow {
    /// A node's process is killed and starts again.
    Restart,
    /// All nodes at once.
    Together,
    /// All nodes in turn.
    InTurn,
    /// What a node is told is late by so long, in its order.
    Stall,
    /// A node is cut off from the core.
    CutNode,
    CrashSeat,
    CrashCore,
    FreezeSeat,
    /// A seat hears its mates no more, and goes on talking to its followers.
    CutSeat,
    /// A seat's disk is lost, an empty one takes it over; once a run, as a site bears one.
    Replace,
}

pub const BLOWS: [Blow; 10] = [
    Blow::Restart,
    Blow::Together,
    Blow::InTurn,
    Blow::Stall,
    Blow::CutNode,
    Blow::CrashSeat,
    Blow::CrashCore,
    Blow::FreezeSeat,
    Blow::CutSeat,
    Blow::Replace,
];

/// When, what, whom, and for how long.
pub type Struck = (Microseconds, Blow, usize, Microseconds);

const SECOND: Microseconds = 1_000_000;

/// A blow a second from the second on, of these kinds.
pub fn draw(kinds: &[Blow], seed: u64, count: u64) -> Vec<Struck> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let drawn: Vec<Struck> = (0..count)
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
        .position(|(_, kind, ..)| *kind == Blow::Replace);
    drawn
        .into_iter()
        .enumerate()
        .filter(|(at, (_, kind, ..))| *kind != Blow::Replace || Some(*at) == replaced)
        .map(|(_, struck)| struck)
        .collect()
}
