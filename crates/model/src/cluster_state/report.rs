//! Reports of nodes, in the form the log keeps them (design 11.2, 11.4).

use super::endpoints::BackendRecord;
use crate::{BackendName, Incarnation, NodeName, Position, ServiceName, ZoneName};

/// What a node tells of itself, its back ends, its peers and the keys of its services.
///
/// It stands beside [`EndpointReport`](crate::endpoint_status::EndpointReport), which speaks of the
/// other state machine: both are stored in the log, under other rules, and cannot become one.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ClusterReport {
    /// A node started, or is present again.
    NodeRegistered {
        /// The name of the node.
        node: NodeName,
        /// The zone it stands in.
        zone: ZoneName,
        /// Where other nodes reach it.
        address: String,
        /// The incarnation that registers.
        incarnation: Incarnation,
        /// The incarnation that the sender found registered, 0 if none. The registration counts
        /// only while that one still is.
        replaces: Incarnation,
    },
    /// A node left for good: no back end is beside it any more.
    NodeLeft {
        /// The name of the node.
        node: NodeName,
        /// Which process of that name.
        incarnation: Incarnation,
    },
    /// An observer misses a node, or hears it again.
    NodeObserved {
        /// The node that observes.
        observer: NodeName,
        /// The node that is observed.
        node: NodeName,
        /// Which process of that name.
        incarnation: Incarnation,
        /// It is missed; else it is heard again.
        suspected: bool,
    },
    /// A back end started, or changed what it announces.
    BackendJoined {
        /// The name of the back end.
        name: BackendName,
        /// What it announces.
        backend: BackendRecord,
    },
    /// A back end takes no new work any more.
    BackendDraining {
        /// The name of the back end.
        name: BackendName,
    },
    /// A back end is not heard though its process may live, or is heard again. It takes no new
    /// work meanwhile.
    BackendSilent {
        /// The name of the back end.
        name: BackendName,
        /// It is not heard; else it is heard again.
        silent: bool,
    },
    /// A back end is gone for good.
    BackendEnded {
        /// The name of the back end.
        name: BackendName,
        /// Its process is gone, so it holds no keys; else it was only not heard.
        process_gone: bool,
    },
    /// A placement: who is to hold which keys (design 11.4).
    ShardsReassigned {
        /// The service of the keys.
        service: ServiceName,
        /// The position of the placement it was made on top of. It counts only while that one is
        /// the latest.
        base_placement: Position,
        /// First key, last key, and holder of each span that is placed.
        ranges: Vec<(u16, u16, BackendName)>,
    },
    /// An earlier holder has released keys.
    ShardsReleased {
        /// The service of the keys.
        service: ServiceName,
        /// The back end that held them.
        name: BackendName,
        /// How far its node knew the log: what it lost later is not released.
        known_through: Position,
        /// First key, last key, and what it hands over, of each span.
        ranges: Vec<(u16, u16, String)>,
    },
    /// Whoever held these keys before the fencing token can hold them no more: the longest hold
    /// has passed.
    ReleasesExpired {
        /// The service of the keys.
        service: ServiceName,
        /// First key, last key, and fencing token of each span.
        ranges: Vec<(u16, u16, Position)>,
    },
}
