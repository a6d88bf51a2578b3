//! Who places the service's keys and when, as `endpoints::duty` does it, over the real placements (design 11.4).

use super::harness::{LeaseHarness, SERVICE};
use super::notification::ReportSource;
use model::cluster_state::{ClusterReport, StateSnapshot};
use model::{BackendName, Microseconds, Position};

#[derive(Default)]
pub(super) struct PlacementDuty {
    backends: Vec<BackendName>,
    backends_since: Microseconds,
    in_flight: bool,
    resend_not_before: Option<(Position, Microseconds)>,
}

impl PlacementDuty {
    pub(super) fn answered(&mut self, here: Option<Position>, now: Microseconds) {
        self.in_flight = false;
        self.resend_not_before = here.map(|position| (position, now + 1_000_000));
    }
}

fn rank(programme: &StateSnapshot, node: &str) -> u64 {
    let weight = |name: &str| model::leases::stable_hash(&format!("{SERVICE}\n{name}"));
    programme
        .available_backends(SERVICE)
        .iter()
        .filter(|one| one.node != node && weight(&one.node) > weight(node))
        .count() as u64
}

fn current_placement(programme: &StateSnapshot) -> (Position, model::cluster_state::ShardMap) {
    programme
        .placements
        .get(SERVICE)
        .map(|held| (held.0, held.1.clone()))
        .unwrap_or_else(|| (0, model::cluster_state::shard_map::unassigned()))
}

/// What is needed: someone who is gone holds keys, or someone who came holds none.
fn needed_placement(programme: &StateSnapshot) -> Option<(ClusterReport, bool)> {
    let cast = programme.available_backends(SERVICE);
    let (base, rows) = current_placement(programme);
    let held = |name: &str| rows.iter().any(|row| row.holder.as_deref() == Some(name));
    let orphaned = rows.iter().any(|row| {
        row.holder
            .as_ref()
            .is_none_or(|holder| !cast.iter().any(|one| one.name == *holder))
    });
    if cast.is_empty() || !orphaned && cast.iter().all(|one| held(&one.name)) {
        return None;
    }
    let parts: Vec<endpoints::BackendCapacity> = cast
        .iter()
        .map(|one| (one.name.clone(), one.slots.max(1) as f64))
        .collect();
    Some((
        ClusterReport::ShardsReassigned {
            service: SERVICE.into(),
            base_placement: base,
            ranges: endpoints::rebalance(&rows, &[], &parts, 0.0),
        },
        orphaned,
    ))
}

impl LeaseHarness {
    pub(super) fn consider_placement(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        node.placement
            .resend_not_before
            .take_if(|(position, until)| node.state.position >= *position || now >= *until);
        if node.proved_at == 0
            || node.placement.in_flight
            || node.placement.resend_not_before.is_some()
        {
            return;
        }
        let cast: Vec<BackendName> = node
            .state
            .available_backends(SERVICE)
            .iter()
            .map(|one| one.name.clone())
            .collect();
        if node.placement.backends != cast {
            (node.placement.backends, node.placement.backends_since) = (cast, now);
        }
        let Some((recast, urgent)) = needed_placement(&node.state) else {
            return;
        };
        let first = current_placement(&node.state).0 == 0;
        let quiet = if first {
            1_300_000
        } else {
            300_000 * !urgent as u64
        };
        if now >= node.placement.backends_since + quiet + 700_000 * rank(&node.state, &node.name) {
            node.placement.in_flight = true;
            self.enqueue(at, ReportSource::Placement, vec![recast]);
        }
    }

    /// Someone finds other shares better, as placements by load will.
    pub(super) fn change_shares(&mut self, at: usize) {
        if !self.nodes[at].up || self.nodes[at].frozen || self.nodes[at].placement.in_flight {
            return;
        }
        let cast = self.nodes[at].state.available_backends(SERVICE);
        let parts: Vec<endpoints::BackendCapacity> = cast
            .iter()
            .map(|one| (one.name.clone(), self.draw((1, 9)) as f64))
            .collect();
        let (base, rows) = current_placement(&self.nodes[at].state);
        if base > 0 && !parts.is_empty() {
            self.nodes[at].placement.in_flight = true;
            self.enqueue(
                at,
                ReportSource::Placement,
                vec![ClusterReport::ShardsReassigned {
                    service: SERVICE.into(),
                    base_placement: base,
                    ranges: endpoints::rebalance(&rows, &[], &parts, 0.0),
                }],
            );
        }
    }
}
