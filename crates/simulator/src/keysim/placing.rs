//! Who places the service's keys and when, as `endpoints::duty` does it, over the real placements (design 11.4).

use super::stage::{SERVICE, Stage};
use super::telling::Whose;
use model::cluster_state::{ClusterReport, StateSnapshot};
use model::{BackendName, Microseconds, Position};

#[derive(Default)]
pub(super) struct Duty {
    cast: Vec<BackendName>,
    since: Microseconds,
    placing: bool,
    until: Option<(Position, Microseconds)>,
}

impl Duty {
    pub fn placed(&mut self, here: Option<Position>, now: Microseconds) {
        self.placing = false;
        self.until = here.map(|position| (position, now + 1_000_000));
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

fn base(programme: &StateSnapshot) -> (Position, model::cluster_state::ShardMap) {
    programme
        .placements
        .get(SERVICE)
        .map(|held| (held.0, held.1.clone()))
        .unwrap_or_else(|| (0, model::cluster_state::shard_map::unassigned()))
}

/// What is needed: someone who is gone holds keys, or someone who came holds none.
fn plan(programme: &StateSnapshot) -> Option<(ClusterReport, bool)> {
    let cast = programme.available_backends(SERVICE);
    let (base, rows) = base(programme);
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

impl Stage {
    pub(super) fn mind_placement(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        node.duty
            .until
            .take_if(|(position, until)| node.programme.position >= *position || now >= *until);
        if node.proved == 0 || node.duty.placing || node.duty.until.is_some() {
            return;
        }
        let cast: Vec<BackendName> = node
            .programme
            .available_backends(SERVICE)
            .iter()
            .map(|one| one.name.clone())
            .collect();
        if node.duty.cast != cast {
            (node.duty.cast, node.duty.since) = (cast, now);
        }
        let Some((recast, urgent)) = plan(&node.programme) else {
            return;
        };
        let first = base(&node.programme).0 == 0;
        let quiet = if first {
            1_300_000
        } else {
            300_000 * !urgent as u64
        };
        if now >= node.duty.since + quiet + 700_000 * rank(&node.programme, &node.name) {
            node.duty.placing = true;
            self.post(at, Whose::Duty, vec![recast]);
        }
    }

    /// Someone finds other shares better, as placements by load will.
    pub(super) fn replace(&mut self, at: usize) {
        if !self.nodes[at].up || self.nodes[at].frozen || self.nodes[at].duty.placing {
            return;
        }
        let cast = self.nodes[at].programme.available_backends(SERVICE);
        let parts: Vec<endpoints::BackendCapacity> = cast
            .iter()
            .map(|one| (one.name.clone(), self.draw((1, 9)) as f64))
            .collect();
        let (base, rows) = base(&self.nodes[at].programme);
        if base > 0 && !parts.is_empty() {
            self.nodes[at].duty.placing = true;
            self.post(
                at,
                Whose::Duty,
                vec![ClusterReport::ShardsReassigned {
                    service: SERVICE.into(),
                    base_placement: base,
                    ranges: endpoints::rebalance(&rows, &[], &parts, 0.0),
                }],
            );
        }
    }
}
