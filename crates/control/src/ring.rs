//! Who beats to whom, and who is missed (design 5.10). Pure, with the time told to it.

use model::{Incarnation, Microseconds, NodeName, endpoint_status::EndpointReport};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Each node beats to the next few on the ring of present nodes.
pub const MONITORS_PER_NODE: usize = 3;

type Nodes = BTreeMap<NodeName, model::Node>;

fn ring_order(nodes: &Nodes) -> Vec<&NodeName> {
    let mut ring: Vec<&NodeName> = nodes
        .iter()
        .filter(|(_, node)| node.present)
        .map(|(name, _)| name)
        .collect();
    ring.sort_by_key(|name| (model::leases::stable_hash(name), *name));
    ring
}

/// The nodes next to `name` on the ring, in one direction or the other.
fn neighbours<'a>(
    ring: impl DoubleEndedIterator<Item = &'a NodeName> + ExactSizeIterator + Clone,
    name: &str,
) -> Vec<NodeName> {
    let others = ring.len().saturating_sub(1);
    let Some(place) = ring.clone().position(|held| held == name) else {
        return Vec::new();
    };
    ring.cycle()
        .skip(place + 1)
        .take(MONITORS_PER_NODE.min(others))
        .cloned()
        .collect()
}

/// The nodes that `name` beats to.
pub fn monitors_of(nodes: &Nodes, name: &str) -> Vec<NodeName> {
    neighbours(ring_order(nodes).into_iter(), name)
}

/// The nodes that beat to `name`.
pub fn monitored_by(nodes: &Nodes, name: &str) -> Vec<(NodeName, Incarnation)> {
    let named = neighbours(ring_order(nodes).into_iter().rev(), name).into_iter();
    named
        .filter_map(|ward| {
            nodes
                .get(&ward)
                .map(|node| (ward.clone(), node.incarnation))
        })
        .collect()
}

pub type MonitoredPeer = (NodeName, Incarnation);

/// Where one node stands on the ring: what follows from the places, made anew only when these are others.
#[derive(Default)]
pub struct RingPosition {
    places: Option<Arc<model::cluster_state::endpoints::NodeRecords>>,
    /// Addresses of those it beats to.
    pub monitor_addresses: BTreeSet<String>,
    /// Those that beat to it.
    pub monitored_peers: BTreeSet<MonitoredPeer>,
    /// How often the ring was made.
    pub rebuild_count: u64,
}

impl RingPosition {
    pub fn update(
        &mut self,
        places: &Arc<model::cluster_state::endpoints::NodeRecords>,
        name: &str,
    ) {
        if self
            .places
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(held, places))
        {
            return;
        }
        (self.places, self.rebuild_count) = (Some(places.clone()), self.rebuild_count + 1);
        let mut ring: Vec<(&NodeName, &model::cluster_state::NodeRecord)> =
            places.iter().filter(|(_, place)| place.present).collect();
        ring.sort_by_cached_key(|(name, _)| (model::leases::stable_hash(name), *name));
        let at = ring.iter().position(|(held, _)| *held == name);
        let beside = |step: usize| at.map(|at| ring[(at + step) % ring.len()]);
        let steps = 1..=MONITORS_PER_NODE.min(ring.len().saturating_sub(1));
        self.monitor_addresses = steps
            .clone()
            .filter_map(beside)
            .map(|(_, place)| place.address.clone())
            .collect();
        self.monitored_peers = steps
            .filter_map(|step| beside(ring.len() - step))
            .map(|(name, place)| (name.clone(), place.incarnation))
            .collect();
    }
}

#[derive(Default)]
pub struct FailureDetector {
    /// Ward and life to when it was last heard, and whether it was reported missing.
    peers: BTreeMap<(NodeName, Incarnation), (Microseconds, bool)>,
    last_tick: Microseconds,
}

impl FailureDetector {
    pub fn heartbeat_received(&mut self, now: Microseconds, node: &str, life: Incarnation) {
        if let Some(held) = self.peers.get_mut(&(node.to_string(), life)) {
            held.0 = now;
        }
    }

    pub fn tick(
        &mut self,
        now: Microseconds,
        nodes: &Nodes,
        name: &str,
        patience: Microseconds,
    ) -> Vec<EndpointReport> {
        self.check(
            now,
            &monitored_by(nodes, name).into_iter().collect(),
            name,
            patience,
        )
    }

    pub fn check(
        &mut self,
        now: Microseconds,
        wards: &BTreeSet<MonitoredPeer>,
        name: &str,
        patience: Microseconds,
    ) -> Vec<EndpointReport> {
        let paused = now.saturating_sub(std::mem::replace(&mut self.last_tick, now)) > patience / 2;
        self.peers.retain(|ward, _| wards.contains(ward));
        wards
            .iter()
            .filter(|ward| !self.peers.contains_key(*ward))
            .cloned()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|ward| {
                self.peers.insert(ward, (now, false));
            });
        if paused {
            // It was this node that stood still.
            self.peers.values_mut().for_each(|held| held.0 = now);
        }
        self.peers
            .iter_mut()
            .filter_map(|((node, incarnation), (heard, missing))| {
                let missed = now > *heard + patience;
                (missed != *missing).then(|| {
                    *missing = missed;
                    EndpointReport::NodeObserved {
                        observer: name.to_string(),
                        node: node.clone(),
                        incarnation: *incarnation,
                        missed,
                    }
                })
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn nodes(count: u64) -> Nodes {
        let node = |at| model::Node {
            zone: "z".into(),
            address: String::new(),
            incarnation: at,
            present: true,
            missed_by: Default::default(),
            changed_at: 0,
        };
        (0..count).map(|at| (format!("n{at}"), node(at))).collect()
    }

    #[test]
    fn every_node_has_watchers_and_no_node_watches_many() {
        let nodes = nodes(64);
        nodes.keys().for_each(|name| {
            assert_eq!(monitors_of(&nodes, name).len(), MONITORS_PER_NODE);
            let wards = monitored_by(&nodes, name);
            assert_eq!(wards.len(), MONITORS_PER_NODE);
            assert!(
                wards
                    .iter()
                    .all(|(ward, _)| monitors_of(&nodes, ward).contains(name)),
                "both sides name each other"
            );
        });
    }

    #[test]
    fn the_ring_is_made_only_for_other_places_and_says_what_both_directions_say() {
        let place = |at: u64| model::cluster_state::NodeRecord {
            zone: "z".into(),
            address: format!("a{at}"),
            incarnation: at,
            present: at % 7 != 3,
            missed_by: Default::default(),
            changed_at: 0,
        };
        [1, 2, 3, 5, 64].into_iter().for_each(|count| {
            let places: model::cluster_state::endpoints::NodeRecords =
                (0..count).map(|at| (format!("n{at}"), place(at))).collect();
            let nodes: Nodes = nodes(count)
                .into_iter()
                .map(|(name, node)| {
                    (
                        name,
                        model::Node {
                            present: node.incarnation % 7 != 3,
                            ..node
                        },
                    )
                })
                .collect();
            let places = std::sync::Arc::new(places);
            places.keys().for_each(|name| {
                let mut stand = RingPosition::default();
                (0..100).for_each(|_| stand.update(&places, name));
                assert_eq!(stand.rebuild_count, 1, "a hundred looks at the same places");
                assert_eq!(
                    stand.monitor_addresses,
                    monitors_of(&nodes, name)
                        .into_iter()
                        .map(|watcher| places[&watcher].address.clone())
                        .collect()
                );
                assert_eq!(
                    stand.monitored_peers,
                    monitored_by(&nodes, name).into_iter().collect()
                );
            });
            let mut stand = RingPosition::default();
            let other =
                std::sync::Arc::new(model::cluster_state::endpoints::NodeRecords::clone(&places));
            [&places, &other, &places]
                .into_iter()
                .for_each(|places| stand.update(places, "n0"));
            assert_eq!(stand.rebuild_count, 3);
        });
    }

    #[test]
    fn silence_is_reported_once_and_taken_back_but_an_own_pause_blames_nobody() {
        let nodes = nodes(2);
        let mut watch = FailureDetector::default();
        let ticks = |watch: &mut FailureDetector, from: u64, to: u64| -> Vec<EndpointReport> {
            (from..to)
                .step_by(100)
                .flat_map(|now| watch.tick(now, &nodes, "n0", 1_000))
                .collect()
        };
        assert_eq!(ticks(&mut watch, 0, 1_000), vec![]);
        assert_eq!(ticks(&mut watch, 1_000, 3_000).len(), 1);
        watch.heartbeat_received(3_000, "n1", 1);
        let back = ticks(&mut watch, 3_000, 3_500);
        assert!(
            matches!(
                back.as_slice(),
                [EndpointReport::NodeObserved { missed: false, .. }]
            ),
            "{back:?}"
        );
        watch.heartbeat_received(3_500, "n1", 1);
        assert_eq!(watch.tick(9_000, &nodes, "n0", 1_000), vec![]);
    }
}
