//! Backends and nodes as recorded in the log, and the rules that change them (design 11.2).

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::registration::required_observers;
use crate::{BackendName, BackendPhase, Incarnation, NodeName, Position, ServiceName, ZoneName};

/// A backend. Its name identifies one incarnation: a restarted backend gets a new name.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct BackendRecord {
    /// The service that the backend serves.
    pub service: ServiceName,
    /// The zone of the backend.
    pub zone: ZoneName,
    /// The node beside the backend.
    pub node: NodeName,
    /// The number of requests that the backend runs concurrently.
    pub slots: u32,
    /// The lifecycle phase.
    pub phase: BackendPhase,
    /// The position at which the backend entered its phase.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

/// A proxy node beside backends.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct NodeRecord {
    /// The zone of the node.
    pub zone: ZoneName,
    /// The address at which other nodes reach it: an IP address and port.
    pub address: String,
    /// The registered incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Whether the node is present: fewer observers suspect it than are required to presume it
    /// gone.
    pub present: bool,
    /// The observers that suspect this incarnation to be gone.
    #[serde(rename = "missed_by")]
    pub suspected_by: BTreeSet<NodeName>,
    /// The position at which it became present or absent.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

impl NodeRecord {
    /// Returns a node that registers at position `next` and is suspected by no observer.
    pub(crate) fn present(
        zone: ZoneName,
        address: String,
        incarnation: Incarnation,
        next: Position,
    ) -> NodeRecord {
        NodeRecord {
            zone,
            address,
            incarnation,
            present: true,
            suspected_by: BTreeSet::new(),
            changed_at: next,
        }
    }
}

/// Backends by name.
pub type BackendRecords = BTreeMap<BackendName, BackendRecord>;
/// Nodes by name.
pub type NodeRecords = BTreeMap<NodeName, NodeRecord>;

/// Records an observation. A node becomes absent once enough observers suspect it, and present
/// again once fewer do.
pub(crate) fn record_observation(
    nodes: &mut NodeRecords,
    observer: NodeName,
    node: &str,
    incarnation: Incarnation,
    suspected: bool,
    next: Position,
) {
    let others = nodes
        .iter()
        .filter(|(name, other)| *name != node && other.present)
        .count();
    let current = nodes
        .get_mut(node)
        .filter(|current| current.incarnation == incarnation);
    let Some(current) = current else { return };
    if suspected {
        current.suspected_by.insert(observer);
    } else {
        current.suspected_by.remove(&observer);
    }
    let present = current.suspected_by.len() < required_observers(others);
    if present != current.present {
        current.present = present;
        current.changed_at = next;
    }
}

/// Number of positions for which an absent node is retained.
const ABSENT_RETENTION_POSITIONS: Position = 4_096;

/// The names of backends and nodes that were absent for long.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct LongAbsent {
    /// Backends beside such nodes, except those named in a shard range.
    pub(crate) backends: BTreeSet<BackendName>,
    /// Such nodes that have no backends left.
    pub(crate) nodes: BTreeSet<NodeName>,
}

/// Returns the backends and nodes that were absent long enough to be removed (design 11.7).
pub(crate) fn long_absent(
    backends: &BackendRecords,
    nodes: &NodeRecords,
    backends_in_shard_maps: &HashSet<&BackendName>,
    next: Position,
) -> LongAbsent {
    let is_long_ago = |position: Position| position + ABSENT_RETENTION_POSITIONS < next;
    let is_long_absent = |name: &str| {
        nodes
            .get(name)
            .is_none_or(|node| !node.present && is_long_ago(node.changed_at))
    };
    let mut absent = LongAbsent::default();
    let mut nodes_in_use: HashSet<&NodeName> = HashSet::new();
    for (name, backend) in backends {
        if is_long_ago(backend.changed_at)
            && is_long_absent(&backend.node)
            && !backends_in_shard_maps.contains(name)
        {
            absent.backends.insert(name.clone());
        } else {
            nodes_in_use.insert(&backend.node);
        }
    }
    let unused = nodes
        .keys()
        .filter(|name| is_long_absent(name) && !nodes_in_use.contains(name));
    absent.nodes = unused.cloned().collect();
    absent
}
