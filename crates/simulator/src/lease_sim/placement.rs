//! Decides which node computes the placement of the service's keys and when, as `endpoints::placement` does, with the
//! real placement algorithm (design 11.4).

use super::harness::{LeaseHarness, SERVICE};
use super::notification::ReportSource;
use model::cluster_state::{ClusterReport, StateSnapshot};
use model::{BackendName, Microseconds, Position};

/// State of a node that may have to compute the placement.
#[derive(Default)]
pub(super) struct PlacementState {
    backends: Vec<BackendName>,
    backends_since: Microseconds,
    in_flight: bool,
    resend_not_before: Option<(Position, Microseconds)>,
}

impl PlacementState {
    pub(super) fn answered(&mut self, accepted_at: Option<Position>, now: Microseconds) {
        self.in_flight = false;
        self.resend_not_before = accepted_at.map(|position| (position, now + 1_000_000));
    }
}

/// Returns the number of nodes that come before this one in the order in which nodes compute a placement.
fn rank(snapshot: &StateSnapshot, node: &str) -> u64 {
    let weight = |name: &str| model::leases::stable_hash(&format!("{SERVICE}\n{name}"));
    snapshot
        .available_backends(SERVICE)
        .iter()
        .filter(|backend| backend.node != node && weight(&backend.node) > weight(node))
        .count() as u64
}

fn current_placement(snapshot: &StateSnapshot) -> (Position, model::cluster_state::ShardMap) {
    snapshot
        .placements
        .get(SERVICE)
        .map(|placement| (placement.0, placement.1.clone()))
        .unwrap_or_else(|| (0, model::cluster_state::shard_map::unassigned()))
}

/// Returns a new placement if a holder is not available or an available backend holds no range. The flag is set if some
/// range has no available holder.
fn needed_placement(snapshot: &StateSnapshot) -> Option<(ClusterReport, bool)> {
    let backends = snapshot.available_backends(SERVICE);
    let (base, ranges) = current_placement(snapshot);
    let holds = |name: &str| {
        ranges
            .iter()
            .any(|range| range.holder.as_deref() == Some(name))
    };
    let has_unheld_range = ranges.iter().any(|range| {
        range
            .holder
            .as_ref()
            .is_none_or(|holder| !backends.iter().any(|backend| backend.name == *holder))
    });
    if backends.is_empty()
        || !has_unheld_range && backends.iter().all(|backend| holds(&backend.name))
    {
        return None;
    }
    let capacities: Vec<endpoints::BackendCapacity> = backends
        .iter()
        .map(|backend| (backend.name.clone(), backend.slots.max(1) as f64))
        .collect();
    Some((
        ClusterReport::ShardsReassigned {
            service: SERVICE.into(),
            base_placement: base,
            ranges: endpoints::rebalance(&ranges, &[], &capacities, 0.0),
        },
        has_unheld_range,
    ))
}

impl LeaseHarness {
    pub(super) fn consider_placement(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.placement
            .resend_not_before
            .take_if(|(position, until)| node.state.position >= *position || now >= *until);
        if node.proved_at == 0
            || node.placement.in_flight
            || node.placement.resend_not_before.is_some()
        {
            return;
        }
        let backends: Vec<BackendName> = node
            .state
            .available_backends(SERVICE)
            .iter()
            .map(|backend| backend.name.clone())
            .collect();
        if node.placement.backends != backends {
            (node.placement.backends, node.placement.backends_since) = (backends, now);
        }
        let Some((reassignment, urgent)) = needed_placement(&node.state) else {
            return;
        };
        let is_first = current_placement(&node.state).0 == 0;
        let settling_time = if is_first {
            1_300_000
        } else {
            300_000 * !urgent as u64
        };
        if now
            >= node.placement.backends_since
                + settling_time
                + 700_000 * rank(&node.state, &node.name)
        {
            node.placement.in_flight = true;
            self.enqueue(index, ReportSource::Placement, vec![reassignment]);
        }
    }

    /// Computes a placement with random shares, as a placement by load does.
    pub(super) fn change_shares(&mut self, index: usize) {
        if !self.nodes[index].up
            || self.nodes[index].frozen
            || self.nodes[index].placement.in_flight
        {
            return;
        }
        let backends = self.nodes[index].state.available_backends(SERVICE);
        let capacities: Vec<endpoints::BackendCapacity> = backends
            .iter()
            .map(|backend| (backend.name.clone(), self.draw((1, 9)) as f64))
            .collect();
        let (base, ranges) = current_placement(&self.nodes[index].state);
        if base > 0 && !capacities.is_empty() {
            self.nodes[index].placement.in_flight = true;
            self.enqueue(
                index,
                ReportSource::Placement,
                vec![ClusterReport::ShardsReassigned {
                    service: SERVICE.into(),
                    base_placement: base,
                    ranges: endpoints::rebalance(&ranges, &[], &capacities, 0.0),
                }],
            );
        }
    }
}
