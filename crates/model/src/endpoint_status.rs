//! The standing of back ends and nodes, as the log knows it (design 2.4).

use crate::{BackendName, Incarnation, Labels, NodeName, Position, ServiceName, ZoneName};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
    Registered,
    Draining,
    #[serde(rename = "signed_off")]
    Deregistered,
    PresumedGone,
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
pub struct Backend {
    pub service: ServiceName,
    pub zone: ZoneName,
    pub labels: Labels,
    pub slots: u32,
    pub node: NodeName,
    pub incarnation: Incarnation,
    pub phase: BackendPhase,
    #[serde(rename = "since")]
    pub changed_at: Position,
}

impl Backend {
    pub fn accepts_work(&self) -> bool {
        self.phase == BackendPhase::Registered
    }
}

/// A node beside back ends. `reporters` are the watchers that miss it in this life.
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
    pub zone: ZoneName,
    pub address: String,
    pub incarnation: Incarnation,
    pub present: bool,
    #[serde(rename = "reporters")]
    pub missed_by: BTreeSet<NodeName>,
    #[serde(rename = "since")]
    pub changed_at: Position,
}

/// What a node saw, in the form the log keeps it.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum EndpointReport {
    NodeRegistered {
        node: NodeName,
        zone: ZoneName,
        address: String,
        incarnation: Incarnation,
        /// The incarnation that the sender found registered, 0 if none: counts only while that one still is.
        replaces: Incarnation,
    },
    /// A planned end. `clean`: every run beside it had ended, and it passes nothing on any more.
    NodeLeft {
        node: NodeName,
        incarnation: Incarnation,
        clean: bool,
    },
    /// A watcher misses a node, or (`missed: false`) hears it again.
    NodeObserved {
        observer: NodeName,
        node: NodeName,
        incarnation: Incarnation,
        missed: bool,
    },
    BackendRegistered {
        name: BackendName,
        backend: Backend,
    },
    PhaseChanged {
        name: BackendName,
        incarnation: Incarnation,
        phase: BackendPhase,
    },
    /// The holder of a moved slice has no run left on it (design 7.3).
    LeasesReleased {
        service: ServiceName,
        name: BackendName,
        incarnation: Incarnation,
        known_through: Position,
    },
    /// A beat named another number of slots.
    SlotsChanged {
        name: BackendName,
        incarnation: Incarnation,
        slots: u32,
    },
}

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
    #[serde(rename = "back_ends")]
    pub backends: BTreeMap<BackendName, Backend>,
    pub nodes: BTreeMap<NodeName, Node>,
}
