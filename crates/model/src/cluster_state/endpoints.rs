//! Back ends and nodes as the log knows them, and what changes them (design 11.2).

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::registration::observers_needed;
use crate::{BackendName, BackendPhase, Incarnation, NodeName, Position, ServiceName, ZoneName};

/// A back end. Its name is one incarnation: a new start has a new name.
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
    /// The service it serves.
    pub service: ServiceName,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// The node beside it.
    pub node: NodeName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How far its life has come.
    pub phase: BackendPhase,
    /// The position that brought it into its phase.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

/// A node beside back ends.
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
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Where other nodes reach it: an IP number and port.
    pub address: String,
    /// Which process of the name is registered.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Fewer observers miss it than it takes to presume it gone.
    pub present: bool,
    /// The observers that miss this incarnation.
    #[serde(rename = "missed_by")]
    pub suspected_by: BTreeSet<NodeName>,
    /// The position that made it present or absent.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

impl NodeRecord {
    /// A node that registers at position `next`, and that nobody misses.
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

/// Back ends by name.
pub type BackendRecords = BTreeMap<BackendName, BackendRecord>;
/// Nodes by name.
pub type NodeRecords = BTreeMap<NodeName, NodeRecord>;

/// Counts a word of an observer. A node is absent once enough observers miss it, and present again
/// once fewer do.
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
    let present = current.suspected_by.len() < observers_needed(others);
    if present != current.present {
        current.present = present;
        current.changed_at = next;
    }
}

/// For how many positions an absent node is kept.
const ABSENT_KEPT_POSITIONS: Position = 4_096;

/// The names of back ends and of nodes that were absent for long.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct LongAbsent {
    /// Back ends beside such nodes, unless a range of keys names them.
    pub(crate) backends: BTreeSet<BackendName>,
    /// Such nodes with no back end left.
    pub(crate) nodes: BTreeSet<NodeName>,
}

/// Who was absent for so long that it is forgotten (design 11.7).
pub(crate) fn long_absent(
    backends: &BackendRecords,
    nodes: &NodeRecords,
    named_in_shards: &HashSet<&BackendName>,
    next: Position,
) -> LongAbsent {
    let long_ago = |position: Position| position + ABSENT_KEPT_POSITIONS < next;
    let is_gone = |name: &str| {
        nodes
            .get(name)
            .is_none_or(|node| !node.present && long_ago(node.changed_at))
    };
    let mut absent = LongAbsent::default();
    let mut nodes_in_use: HashSet<&NodeName> = HashSet::new();
    for (name, backend) in backends {
        if long_ago(backend.changed_at) && is_gone(&backend.node) && !named_in_shards.contains(name)
        {
            absent.backends.insert(name.clone());
        } else {
            nodes_in_use.insert(&backend.node);
        }
    }
    let unused = nodes
        .keys()
        .filter(|name| is_gone(name) && !nodes_in_use.contains(name));
    absent.nodes = unused.cloned().collect();
    absent
}
