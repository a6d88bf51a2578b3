//! What a run of the mesh is told, and what may strike it (design 9.8).

use playbill::Micros;

#[derive(Clone, Debug)]
pub struct MeshPlan {
    pub nodes: usize,
    pub seed: u64,
    pub hop: (Micros, Micros),
    /// What nodes believe a proof lasts.
    pub bound: Micros,
    /// What a next holder waits out, as it believes; broken on purpose in a test.
    pub believed_bound: Micros,
    pub guard: Micros,
    /// The next holder does not even wait for the longest run.
    pub hasty: bool,
}

impl MeshPlan {
    pub fn new(nodes: usize, seed: u64) -> Self {
        MeshPlan { nodes, seed, hop: (200, 30_000), bound: 1_500_000, believed_bound: 1_500_000, guard: 250_000, hasty: false }
    }
}

#[derive(Clone, Debug)]
pub enum Strike {
    Freeze(usize),
    Wake(usize),
    Cut(usize),
    Mend(usize),
    /// The process behind the registration dies; another registers at once, the old one's runs go on.
    Replace(usize),
    Silence(usize),
    Drain(usize),
    RestartNode(usize),
    Forbid,
    Allow,
}
