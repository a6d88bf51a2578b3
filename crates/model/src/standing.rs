//! The standing of back ends and nodes, as the log knows it (design 2.4).

use crate::{BackEndName, Incarnation, Labels, NodeName, Position, ServiceName, ZoneName};

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Registered,
    Draining,
    SignedOff,
    PresumedGone,
}

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct BackEnd {
    pub service: ServiceName,
    pub zone: ZoneName,
    pub labels: Labels,
    pub slots: u32,
    pub node: NodeName,
    pub incarnation: Incarnation,
    pub phase: Phase,
    pub since: Position,
}

impl BackEnd {
    pub fn takes_work(&self) -> bool {
        self.phase == Phase::Registered
    }
}

/// A node beside back ends. `reporters` are the watchers that miss it in this life.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Node {
    pub zone: ZoneName,
    pub address: String,
    pub incarnation: Incarnation,
    pub present: bool,
    pub reporters: std::collections::BTreeSet<NodeName>,
    pub since: Position,
}

/// What a node saw, in the form the log keeps it.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Report {
    Node {
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
    Watch {
        watcher: NodeName,
        node: NodeName,
        incarnation: Incarnation,
        missed: bool,
    },
    Registered {
        name: BackEndName,
        back_end: BackEnd,
    },
    Phase {
        name: BackEndName,
        incarnation: Incarnation,
        phase: Phase,
    },
    /// The holder of a moved slice has no run left on it (design 7.3).
    Released {
        service: ServiceName,
        name: BackEndName,
        incarnation: Incarnation,
        through: Position,
    },
    /// A beat named another number of slots.
    Slots {
        name: BackEndName,
        incarnation: Incarnation,
        slots: u32,
    },
}

#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Standing {
    pub back_ends: std::collections::BTreeMap<BackEndName, BackEnd>,
    pub nodes: std::collections::BTreeMap<NodeName, Node>,
}
