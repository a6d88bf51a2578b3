//! Back ends and nodes as the log knows them, for groupings and standing orders (design 2.4).
//!
//! The [cluster state](crate::cluster_state) keeps its own records of back ends and nodes, with
//! other rules: there a back end's name is one incarnation, and an absent node keeps its back ends.

mod report;

use std::collections::{BTreeMap, BTreeSet};

pub use report::EndpointReport;

use crate::{BackendName, Incarnation, Labels, NodeName, Position, ServiceName, ZoneName};

/// How far the life of a back end has come. It only ever moves on.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum BackendPhase {
    /// Takes work.
    Registered,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Said itself that it is done.
    #[serde(rename = "signed_off")]
    Deregistered,
    /// Was not heard of for too long, or its node was lost.
    PresumedGone,
}

/// A registered back end.
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
pub struct Backend {
    /// The service it serves.
    pub service: ServiceName,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// The labels it carries.
    pub labels: Labels,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The node beside it.
    pub node: NodeName,
    /// Which registration of the name this is; later ones are higher.
    pub incarnation: Incarnation,
    /// How far its life has come.
    pub phase: BackendPhase,
    /// The position that brought it into its phase.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

impl Backend {
    /// Whether it may be given new requests.
    pub fn accepts_work(&self) -> bool {
        self.phase == BackendPhase::Registered
    }
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
pub struct Node {
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Where other nodes reach it: an IP number and port.
    pub address: String,
    /// Which process of the name is registered.
    pub incarnation: Incarnation,
    /// Neither left nor presumed gone.
    pub present: bool,
    /// The observers that miss this incarnation.
    #[serde(rename = "reporters")]
    pub suspected_by: BTreeSet<NodeName>,
    /// The position that made it present or absent.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

impl Node {
    /// A node that registers at position `next`, and that nobody misses.
    pub(crate) fn present(
        zone: ZoneName,
        address: String,
        incarnation: Incarnation,
        next: Position,
    ) -> Node {
        Node {
            zone,
            address,
            incarnation,
            present: true,
            suspected_by: BTreeSet::new(),
            changed_at: next,
        }
    }
}

/// All back ends and nodes that are known.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct EndpointStatus {
    /// Back ends by name; those that ended are remembered for a while.
    #[serde(rename = "back_ends")]
    pub backends: BTreeMap<BackendName, Backend>,
    /// Nodes by name.
    pub nodes: BTreeMap<NodeName, Node>,
}
