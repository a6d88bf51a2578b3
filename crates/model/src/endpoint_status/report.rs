//! Reports of nodes, as stored in the log (design 2.4).

use super::{Backend, BackendPhase};
use crate::{BackendName, Incarnation, NodeName, Position, ServiceName, ZoneName};

/// A report of a node, as stored in the log.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum EndpointReport {
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
    /// A node shut down as planned.
    NodeLeft {
        /// The name of the node.
        node: NodeName,
        /// The incarnation of the node.
        incarnation: Incarnation,
        /// Whether all requests beside the node had ended and the node no longer forwards any.
        clean: bool,
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
    /// A backend registers.
    BackendRegistered {
        /// The name of the backend.
        name: BackendName,
        /// The data that the backend announces.
        backend: Backend,
    },
    /// A backend enters a phase.
    PhaseChanged {
        /// The name of the backend.
        name: BackendName,
        /// The incarnation of the registration.
        incarnation: Incarnation,
        /// The phase that the backend enters.
        phase: BackendPhase,
    },
    /// The former holder of moved key slots no longer runs requests on them (design 7.3).
    LeasesReleased {
        /// The service of the keys.
        service: ServiceName,
        /// The backend that held the keys.
        name: BackendName,
        /// The incarnation of the registration.
        incarnation: Incarnation,
        /// The position up to which the backend's node had received the log. Slots that were lost
        /// later are not released.
        known_through: Position,
    },
    /// A heartbeat announced a different number of slots.
    SlotsChanged {
        /// The name of the backend.
        name: BackendName,
        /// The incarnation of the registration.
        incarnation: Incarnation,
        /// The number of requests that the backend runs concurrently.
        slots: u32,
    },
}
