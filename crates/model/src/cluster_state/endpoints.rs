//! Back ends and nodes as the log knows them, and what changes them (design 11.2).

use crate::{BackendName, BackendPhase, Incarnation, NodeName, Position, ServiceName, ZoneName};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;

/// A back end's name is one life: a new start has a new name.
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
    pub service: ServiceName,
    pub zone: ZoneName,
    pub node: NodeName,
    pub slots: u32,
    pub phase: BackendPhase,
    #[serde(rename = "since")]
    pub changed_at: Position,
}

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
    pub zone: ZoneName,
    pub address: String,
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    pub present: bool,
    pub missed_by: BTreeSet<NodeName>,
    #[serde(rename = "since")]
    pub changed_at: Position,
}

/// What may stand in the log beside changes of items.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ClusterReport {
    NodeRegistered {
        node: NodeName,
        zone: ZoneName,
        address: String,
        incarnation: Incarnation,
        /// The incarnation that the sender found registered, 0 if none: counts only while that one still is.
        replaces: Incarnation,
    },
    /// For good: nothing lives beside it any more.
    NodeLeft {
        node: NodeName,
        incarnation: Incarnation,
    },
    NodeObserved {
        observer: NodeName,
        node: NodeName,
        incarnation: Incarnation,
        missed: bool,
    },
    BackendJoined {
        name: BackendName,
        backend: BackendRecord,
    },
    BackendDraining {
        name: BackendName,
    },
    /// Not heard though its process may live, or heard again: it takes no new work meanwhile.
    BackendSilent {
        name: BackendName,
        silent: bool,
    },
    /// `surely`: its process is gone, so it holds nothing; else it was only not heard.
    BackendEnded {
        name: BackendName,
        process_gone: bool,
    },
    /// Who is to hold which keys; counts only on top of the placement it names (design 11.4).
    ShardsReassigned {
        service: ServiceName,
        base_placement: Position,
        ranges: Vec<(u16, u16, BackendName)>,
    },
    /// An earlier holder has let go, as far as it knew the log, and what it handed over.
    ShardsReleased {
        service: ServiceName,
        name: BackendName,
        known_through: Position,
        ranges: Vec<(u16, u16, String)>,
    },
    /// Whoever held these before this fence can hold them no more: the bound is over.
    ReleasesExpired {
        service: ServiceName,
        ranges: Vec<(u16, u16, Position)>,
    },
}

pub type BackendRecords = BTreeMap<BackendName, BackendRecord>;
pub type NodeRecords = BTreeMap<NodeName, NodeRecord>;

/// Compare-and-set: a registration counts only on top of the incarnation that its sender found in the log.
pub(crate) fn may_register(
    nodes: &NodeRecords,
    node: &str,
    incarnation: Incarnation,
    replaces: Incarnation,
) -> bool {
    nodes
        .get(node)
        .is_none_or(|held| held.incarnation == incarnation || held.incarnation == replaces)
}

/// A node is missed once two of its watchers say so, or the only other node there is.
pub(crate) fn record_observation(
    nodes: &mut NodeRecords,
    observer: NodeName,
    node: &str,
    incarnation: Incarnation,
    missed: bool,
    next: Position,
) -> bool {
    let others = nodes
        .iter()
        .filter(|(name, held)| *name != node && held.present)
        .count();
    let Some(held) = nodes
        .get_mut(node)
        .filter(|held| held.incarnation == incarnation)
    else {
        return false;
    };
    let changed = if missed {
        held.missed_by.insert(observer)
    } else {
        held.missed_by.remove(&observer)
    };
    let present = held.missed_by.len() < others.clamp(1, 2);
    if present != held.present {
        held.present = present;
        held.changed_at = next;
    }
    changed
}

/// An absent node is kept for so many positions.
const ABSENT_KEPT_POSITIONS: Position = 4_096;

type NameSet = BTreeSet<String>;

/// Who was away for long: back ends beside nodes that are, unless a row of keys names them, and such nodes with no
/// back end left (design 11.7).
pub(crate) fn long_absent(
    backends: &BackendRecords,
    nodes: &NodeRecords,
    named_in_shards: &HashSet<&BackendName>,
    next: Position,
) -> (NameSet, NameSet) {
    let long = |since: Position| since + ABSENT_KEPT_POSITIONS < next;
    let gone = |node: &str| {
        nodes
            .get(node)
            .is_none_or(|held| !held.present && long(held.changed_at))
    };
    let (leave, stay): (Vec<_>, Vec<_>) = backends.iter().partition(|(name, player)| {
        long(player.changed_at) && gone(&player.node) && !named_in_shards.contains(name)
    });
    let beside: HashSet<&NodeName> = stay.into_iter().map(|(_, player)| &player.node).collect();
    let nodes = nodes
        .keys()
        .filter(|node| gone(node) && !beside.contains(node))
        .cloned()
        .collect();
    (
        leave.into_iter().map(|(name, _)| name.clone()).collect(),
        nodes,
    )
}
