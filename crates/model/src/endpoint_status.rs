//! Backends and nodes as recorded in the log, for groupings and standing orders (design 2.4).
//!
//! The [cluster state](crate::cluster_state) keeps separate records of backends and nodes under
//! different rules: there a backend's name identifies one incarnation, and an absent node keeps its
//! backends.

mod report;

use std::collections::{BTreeMap, BTreeSet};

pub use report::EndpointReport;

use crate::{BackendName, Incarnation, Labels, NodeName, Position, ServiceName, ZoneName};

/// The lifecycle phase of a backend. It never moves backwards.
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
    /// The backend accepts new requests.
    Registered,
    /// The backend finishes its current requests and accepts no new ones.
    Draining,
    /// The backend has deregistered itself.
    #[serde(rename = "signed_off")]
    Deregistered,
    /// The backend sent no heartbeat within the timeout, or its node was lost.
    PresumedGone,
}

/// A registered backend.
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
    /// The service that the backend serves.
    pub service: ServiceName,
    /// The zone of the backend.
    pub zone: ZoneName,
    /// The labels of the backend.
    pub labels: Labels,
    /// The number of requests that the backend runs concurrently.
    pub slots: u32,
    /// The node beside the backend.
    pub node: NodeName,
    /// The incarnation of this registration of the name; later registrations have higher ones.
    pub incarnation: Incarnation,
    /// The lifecycle phase.
    pub phase: BackendPhase,
    /// The position at which the backend entered its phase.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

impl Backend {
    /// Returns whether the backend may receive new requests.
    pub fn accepts_work(&self) -> bool {
        self.phase == BackendPhase::Registered
    }
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
pub struct Node {
    /// The zone of the node.
    pub zone: ZoneName,
    /// The address at which other nodes reach the node: an IP address and port.
    pub address: String,
    /// The registered incarnation.
    pub incarnation: Incarnation,
    /// Whether the node is present: it has neither left nor been presumed gone.
    pub present: bool,
    /// The observers that suspect this incarnation to be gone.
    #[serde(rename = "reporters")]
    pub suspected_by: BTreeSet<NodeName>,
    /// The position at which the node became present or absent.
    #[serde(rename = "since")]
    pub changed_at: Position,
}

impl Node {
    /// Returns a node that registers at position `next` and is suspected by no observer.
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

/// All known backends and nodes.
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
    /// Backends by name. Backends that ended are retained for a number of positions.
    #[serde(rename = "back_ends")]
    pub backends: BTreeMap<BackendName, Backend>,
    /// Nodes by name.
    pub nodes: BTreeMap<NodeName, Node>,
}
