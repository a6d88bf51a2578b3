//! Selection of a backend by least cost. What a candidate costs is each data plane's own.

use model::Microseconds;

/// How long a backend that failed is avoided, as long as there are others: 0.3 s.
pub const FAILURE_COOLDOWN: Microseconds = 300_000;

/// A backend that may be given the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The backend's name.
    pub name: String,
    /// How many requests it runs at the same time.
    pub slots: u32,
    /// Whether it is in the zone of the node that selects.
    pub same_zone: bool,
}

/// The candidate of least `cost`. Among equals they take turns: `rotation` is to be one more each
/// time. `None` without candidates.
pub fn least_cost<Cost: Ord>(
    candidates: &[Candidate],
    rotation: u64,
    cost: impl Fn(&Candidate) -> Cost,
) -> Option<&Candidate> {
    let count = candidates.len().max(1) as u64;
    let turn = |index: usize| (index as u64 + rotation) % count;
    let least = candidates
        .iter()
        .enumerate()
        .min_by_key(|(index, candidate)| (cost(candidate), turn(*index)));
    least.map(|(_, candidate)| candidate)
}
