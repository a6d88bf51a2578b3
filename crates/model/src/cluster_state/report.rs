//! Reports of nodes, as stored in the log (design 11.2, 11.4).

use super::endpoints::BackendRecord;
use crate::{BackendName, Incarnation, NodeName, Position, ServiceName, ZoneName};

/// A node's report about itself, its backends, its peers or the keys of its services.
///
/// [`EndpointReport`](crate::endpoint_status::EndpointReport) is the counterpart for the other
/// state machine. Both are stored in the log under different rules, so they cannot be merged.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ClusterReport {
    /// A node started or became present again.
    NodeRegistered {
        /// The name of the node.
        node: NodeName,
        /// The zone of the node.
        zone: ZoneName,
        /// The address at which other nodes reach the node.
        address: String,
        /// The incarnation that registers.
        incarnation: Incarnation,
        /// The incarnation that the sender found registered, 0 if none. The registration takes
        /// effect only while that incarnation is still the registered one.
        replaces: Incarnation,
    },
    /// A node left permanently: it no longer has backends.
    NodeLeft {
        /// The name of the node.
        node: NodeName,
        /// The incarnation of the node.
        incarnation: Incarnation,
    },
    /// An observer suspects a node to be gone, or receives its heartbeats again.
    NodeObserved {
        /// The node that observes.
        observer: NodeName,
        /// The node that is observed.
        node: NodeName,
        /// The incarnation of the node.
        incarnation: Incarnation,
        /// Whether the node is suspected; otherwise the observer receives its heartbeats again.
        suspected: bool,
    },
    /// A backend started, or changed the data that it announces.
    BackendJoined {
        /// The name of the backend.
        name: BackendName,
        /// The data that the backend announces.
        backend: BackendRecord,
    },
    /// A backend no longer accepts new requests.
    BackendDraining {
        /// The name of the backend.
        name: BackendName,
    },
    /// A backend sends no heartbeats although its process may still run, or sends heartbeats again.
    /// The backend receives no new requests in between.
    BackendSilent {
        /// The name of the backend.
        name: BackendName,
        /// Whether heartbeats are missing; otherwise they have resumed.
        silent: bool,
    },
    /// A backend ended permanently.
    BackendEnded {
        /// The name of the backend.
        name: BackendName,
        /// Whether the backend's process has ended, so that it holds no keys. Otherwise it only
        /// stopped sending heartbeats.
        process_gone: bool,
    },
    /// A placement: the assignment of keys to holders (design 11.4).
    ShardsReassigned {
        /// The service of the keys.
        service: ServiceName,
        /// The position of the placement that this one is based on. The report takes effect only if
        /// that placement is still the latest.
        base_placement: Position,
        /// First key, last key and holder of each key span that is placed.
        ranges: Vec<(u16, u16, BackendName)>,
    },
    /// An earlier holder has released keys.
    ShardsReleased {
        /// The service of the keys.
        service: ServiceName,
        /// The backend that held the keys.
        name: BackendName,
        /// The position up to which the backend's node had received the log. Keys that were lost
        /// later are not released.
        known_through: Position,
        /// First key, last key and handover token of each key span.
        ranges: Vec<(u16, u16, String)>,
    },
    /// Earlier holders, from before the fencing token, can no longer hold these keys: the longest
    /// time that they may be held has passed.
    ReleasesExpired {
        /// The service of the keys.
        service: ServiceName,
        /// First key, last key and fencing token of each key span.
        ranges: Vec<(u16, u16, Position)>,
    },
}
