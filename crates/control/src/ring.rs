//! Who beats to whom, and who is missed (design 5.10). Pure, with the time told to it.

use model::{Incarnation, Micros, NodeName, standing::Report};

/// Each node beats to the next few on the ring of present nodes.
pub const WATCHERS: usize = 3;

type Nodes = std::collections::BTreeMap<NodeName, model::Node>;

fn ring(nodes: &Nodes) -> Vec<&NodeName> {
    let mut ring: Vec<&NodeName> = nodes.iter().filter(|(_, node)| node.present).map(|(name, _)| name).collect();
    ring.sort_by_key(|name| (model::terms::hash(name), *name));
    ring
}

/// The nodes next to `name` on the ring, in one direction or the other.
fn beside<'a>(ring: impl DoubleEndedIterator<Item = &'a NodeName> + ExactSizeIterator + Clone, name: &str) -> Vec<NodeName> {
    let others = ring.len().saturating_sub(1);
    let Some(place) = ring.clone().position(|held| held == name) else { return Vec::new() };
    ring.cycle().skip(place + 1).take(WATCHERS.min(others)).cloned().collect()
}

/// The nodes that `name` beats to.
pub fn watchers(nodes: &Nodes, name: &str) -> Vec<NodeName> {
    beside(ring(nodes).into_iter(), name)
}

/// The nodes that beat to `name`.
pub fn wards(nodes: &Nodes, name: &str) -> Vec<(NodeName, Incarnation)> {
    let named = beside(ring(nodes).into_iter().rev(), name).into_iter();
    named.filter_map(|ward| nodes.get(&ward).map(|node| (ward.clone(), node.incarnation))).collect()
}

pub type Ward = (NodeName, Incarnation);

/// Where one node stands on the ring: what follows from the places, made anew only when these are others.
#[derive(Default)]
pub struct Stand {
    places: Option<std::sync::Arc<model::bill::cast::Places>>,
    /// Addresses of those it beats to.
    pub watchers: std::collections::BTreeSet<String>,
    /// Those that beat to it.
    pub wards: std::collections::BTreeSet<Ward>,
    /// How often the ring was made.
    pub made: u64,
}

impl Stand {
    pub fn look(&mut self, places: &std::sync::Arc<model::bill::cast::Places>, name: &str) {
        if self.places.as_ref().is_some_and(|held| std::sync::Arc::ptr_eq(held, places)) {
            return;
        }
        (self.places, self.made) = (Some(places.clone()), self.made + 1);
        let mut ring: Vec<(&NodeName, &model::bill::Place)> = places.iter().filter(|(_, place)| place.present).collect();
        ring.sort_by_cached_key(|(name, _)| (model::terms::hash(name), *name));
        let at = ring.iter().position(|(held, _)| *held == name);
        let beside = |step: usize| at.map(|at| ring[(at + step) % ring.len()]);
        let steps = 1..=WATCHERS.min(ring.len().saturating_sub(1));
        self.watchers = steps.clone().filter_map(beside).map(|(_, place)| place.address.clone()).collect();
        self.wards = steps.filter_map(|step| beside(ring.len() - step)).map(|(name, place)| (name.clone(), place.life)).collect();
    }
}

#[derive(Default)]
pub struct Watch {
    /// Ward and life to when it was last heard, and whether it was reported missing.
    table: std::collections::BTreeMap<(NodeName, Incarnation), (Micros, bool)>,
    ticked: Micros,
}

impl Watch {
    pub fn heard(&mut self, now: Micros, node: &str, life: Incarnation) {
        if let Some(held) = self.table.get_mut(&(node.to_string(), life)) {
            held.0 = now;
        }
    }

    pub fn tick(&mut self, now: Micros, nodes: &Nodes, name: &str, patience: Micros) -> Vec<Report> {
        self.look(now, &wards(nodes, name).into_iter().collect(), name, patience)
    }

    pub fn look(&mut self, now: Micros, wards: &std::collections::BTreeSet<Ward>, name: &str, patience: Micros) -> Vec<Report> {
        let paused = now.saturating_sub(std::mem::replace(&mut self.ticked, now)) > patience / 2;
        self.table.retain(|ward, _| wards.contains(ward));
        wards.iter().filter(|ward| !self.table.contains_key(*ward)).cloned().collect::<Vec<_>>().into_iter().for_each(|ward| {
            self.table.insert(ward, (now, false));
        });
        if paused {
            // It was this node that stood still.
            self.table.values_mut().for_each(|held| held.0 = now);
        }
        self.table
            .iter_mut()
            .filter_map(|((node, incarnation), (heard, missing))| {
                let missed = now > *heard + patience;
                (missed != *missing).then(|| {
                    *missing = missed;
                    Report::Watch { watcher: name.to_string(), node: node.clone(), incarnation: *incarnation, missed }
                })
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn nodes(count: u64) -> Nodes {
        let node = |at| model::Node { zone: "z".into(), address: String::new(), incarnation: at, present: true, reporters: Default::default(), since: 0 };
        (0..count).map(|at| (format!("n{at}"), node(at))).collect()
    }

    #[test]
    fn every_node_has_watchers_and_no_node_watches_many() {
        let nodes = nodes(64);
        nodes.keys().for_each(|name| {
            assert_eq!(watchers(&nodes, name).len(), WATCHERS);
            let wards = wards(&nodes, name);
            assert_eq!(wards.len(), WATCHERS);
            assert!(wards.iter().all(|(ward, _)| watchers(&nodes, ward).contains(name)), "both sides name each other");
        });
    }

    #[test]
    fn the_ring_is_made_only_for_other_places_and_says_what_both_directions_say() {
        let place = |at: u64| model::bill::Place {
            zone: "z".into(),
            address: format!("a{at}"),
            life: at,
            present: at % 7 != 3,
            missed_by: Default::default(),
            since: 0,
        };
        [1, 2, 3, 5, 64].into_iter().for_each(|count| {
            let places: model::bill::cast::Places = (0..count).map(|at| (format!("n{at}"), place(at))).collect();
            let nodes: Nodes = nodes(count).into_iter().map(|(name, node)| (name, model::Node { present: node.incarnation % 7 != 3, ..node })).collect();
            let places = std::sync::Arc::new(places);
            places.keys().for_each(|name| {
                let mut stand = Stand::default();
                (0..100).for_each(|_| stand.look(&places, name));
                assert_eq!(stand.made, 1, "a hundred looks at the same places");
                assert_eq!(stand.watchers, watchers(&nodes, name).into_iter().map(|watcher| places[&watcher].address.clone()).collect());
                assert_eq!(stand.wards, wards(&nodes, name).into_iter().collect());
            });
            let mut stand = Stand::default();
            let other = std::sync::Arc::new(model::bill::cast::Places::clone(&places));
            [&places, &other, &places].into_iter().for_each(|places| stand.look(places, "n0"));
            assert_eq!(stand.made, 3);
        });
    }

    #[test]
    fn silence_is_reported_once_and_taken_back_but_an_own_pause_blames_nobody() {
        let nodes = nodes(2);
        let mut watch = Watch::default();
        let ticks =
            |watch: &mut Watch, from: u64, to: u64| -> Vec<Report> { (from..to).step_by(100).flat_map(|now| watch.tick(now, &nodes, "n0", 1_000)).collect() };
        assert_eq!(ticks(&mut watch, 0, 1_000), vec![]);
        assert_eq!(ticks(&mut watch, 1_000, 3_000).len(), 1);
        watch.heard(3_000, "n1", 1);
        let back = ticks(&mut watch, 3_000, 3_500);
        assert!(matches!(back.as_slice(), [Report::Watch { missed: false, .. }]), "{back:?}");
        watch.heard(3_500, "n1", 1);
        assert_eq!(watch.tick(9_000, &nodes, "n0", 1_000), vec![]);
    }
}
