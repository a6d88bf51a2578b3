//! What changed between two slices, so that news costs what changed and not what there is (design 5.12).

use crate::{
    Backend, Grouping, Microseconds, Position, StandingOrder, StateSlice, endpoint_status::Node,
    leases, state_slice::ServiceSet,
};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

type Table<V> = BTreeMap<String, V>;
/// What to put and what to drop.
pub type TablePatch<V> = (Table<V>, BTreeSet<String>);

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StatePatch {
    pub services: ServiceSet,
    pub position: Position,
    pub version: Position,
    pub groupings: TablePatch<Grouping>,
    pub orders: TablePatch<StandingOrder>,
    pub backends: TablePatch<Backend>,
    pub nodes: TablePatch<Node>,
    pub leases: TablePatch<Vec<leases::Lease>>,
    pub longest_requests: TablePatch<Microseconds>,
}

fn table_patch<V: Clone + PartialEq>(old: &Table<V>, new: &Table<V>) -> TablePatch<V> {
    let put = new
        .iter()
        .filter(|(name, held)| old.get(*name) != Some(*held))
        .map(|(name, held)| (name.clone(), held.clone()))
        .collect();
    let gone = old
        .keys()
        .filter(|name| !new.contains_key(*name))
        .cloned()
        .collect();
    (put, gone)
}

fn patched_table<V: Clone>(old: &Table<V>, (put, gone): TablePatch<V>) -> Table<V> {
    let kept = old
        .iter()
        .filter(|(name, _)| !gone.contains(*name))
        .map(|(name, held)| (name.clone(), held.clone()));
    kept.chain(put).collect()
}

impl StateSlice {
    pub fn diff_to(&self, next: &StateSlice) -> StatePatch {
        StatePatch {
            services: next.services.clone(),
            position: next.position,
            version: next.version,
            groupings: table_patch(&self.groupings, &next.groupings),
            orders: table_patch(&self.orders, &next.orders),
            backends: table_patch(&self.backends, &next.backends),
            nodes: table_patch(&self.nodes, &next.nodes),
            leases: table_patch(&self.leases, &next.leases),
            longest_requests: table_patch(&self.longest_requests, &next.longest_requests),
        }
    }

    pub fn with_patch(&self, patch: StatePatch) -> StateSlice {
        StateSlice {
            services: patch.services,
            position: patch.position,
            version: patch.version,
            groupings: patched_table(&self.groupings, patch.groupings),
            orders: patched_table(&self.orders, patch.orders),
            backends: patched_table(&self.backends, patch.backends),
            nodes: patched_table(&self.nodes, patch.nodes),
            leases: patched_table(&self.leases, patch.leases),
            longest_requests: patched_table(&self.longest_requests, patch.longest_requests),
        }
    }
}
