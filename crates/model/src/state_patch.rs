//! The difference between two slices, so that the cost of an update depends on what changed and not
//! on the size of the state (design 5.12).

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint_status::Node;
use crate::leases::Lease;
use crate::state_slice::ServiceSet;
use crate::{Backend, Grouping, Microseconds, Position, StandingOrder, StateSlice};

type Table<V> = BTreeMap<String, V>;
/// Entries to put into a table, and the names to remove from it.
pub type TablePatch<V> = (Table<V>, BTreeSet<String>);

/// The difference from an earlier [`StateSlice`] to a later one. Its fields are those of the slice.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StatePatch {
    /// The local services of the later slice.
    pub services: ServiceSet,
    /// The position of the later slice.
    pub position: Position,
    /// The version of the desired state of the later slice.
    pub version: Position,
    /// Changes of [`StateSlice::groupings`].
    pub groupings: TablePatch<Grouping>,
    /// Changes of [`StateSlice::orders`].
    pub orders: TablePatch<StandingOrder>,
    /// Changes of [`StateSlice::backends`].
    pub backends: TablePatch<Backend>,
    /// Changes of [`StateSlice::nodes`].
    pub nodes: TablePatch<Node>,
    /// Changes of [`StateSlice::leases`]; the leases of a service are replaced as a whole.
    pub leases: TablePatch<Vec<Lease>>,
    /// Changes of [`StateSlice::longest_requests`].
    pub longest_requests: TablePatch<Microseconds>,
}

fn table_patch<V: Clone + PartialEq>(old: &Table<V>, new: &Table<V>) -> TablePatch<V> {
    let changed = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(*value));
    let put = changed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let removed = old
        .keys()
        .filter(|name| !new.contains_key(*name))
        .cloned()
        .collect();
    (put, removed)
}

fn patched_table<V: Clone>(old: &Table<V>, (put, removed): TablePatch<V>) -> Table<V> {
    let kept = old.iter().filter(|(name, _)| !removed.contains(*name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .chain(put)
        .collect()
}

impl StateSlice {
    /// Returns the patch that turns this slice into `next`.
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

    /// Returns this slice with a patch applied.
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
