//! Selection of a backend by least cost. Each data plane supplies its own cost function.

use model::Microseconds;

/// Time for which a backend is avoided after a failure while others are available, in microseconds.
pub const FAILURE_COOLDOWN: Microseconds = 300_000;

/// A backend that is eligible for the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The backend's name.
    pub name: String,
    /// The number of requests that the backend runs concurrently.
    pub slots: u32,
    /// Whether the backend is in the same zone as the selecting node.
    pub same_zone: bool,
}

/// Returns the candidate of least `cost`, or `None` if there are no candidates. Candidates of equal
/// cost are selected in rotation; the caller increments `rotation` with each call.
pub fn least_cost<Cost: Ord>(
    candidates: &[Candidate],
    rotation: u64,
    cost: impl Fn(&Candidate) -> Cost,
) -> Option<&Candidate> {
    let count = candidates.len().max(1) as u64;
    let rotated_position = |index: usize| (index as u64 + rotation) % count;
    let selected = candidates
        .iter()
        .enumerate()
        .min_by_key(|(index, candidate)| (cost(candidate), rotated_position(*index)));
    selected.map(|(_, candidate)| candidate)
}
