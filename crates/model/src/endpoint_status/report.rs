//! Reports of nodes, in the form the log keeps them (design 2.4).

use super::{Backend, BackendPhase};
use crate::{BackendName, Incarnation, NodeName, Position, ServiceName, ZoneName};

/// What a node saw, in the form the log keeps it.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum EndpointReport {
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
    /// A planned end of a node.
    NodeLeft {
        /// The name of the node.
        node: NodeName,
        /// Which process of that name.
        incarnation: Incarnation,
        /// Every run beside it had ended, and it forwards nothing any more.
        clean: bool,
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
    /// A back end registers.
    BackendRegistered {
        /// The name of the back end.
        name: BackendName,
        /// What it announces.
        backend: Backend,
    },
    /// A back end enters a phase.
    PhaseChanged {
        /// The name of the back end.
        name: BackendName,
        /// Which registration of that name.
        incarnation: Incarnation,
        /// The phase it enters.
        phase: BackendPhase,
    },
    /// The holder of moved key slots has no run left on them (design 7.3).
    LeasesReleased {
        /// The service of the keys.
        service: ServiceName,
        /// The back end that held them.
        name: BackendName,
        /// Which registration of that name.
        incarnation: Incarnation,
        /// How far its node knew the log: slots that were lost later are not released.
        known_through: Position,
    },
    /// A heartbeat named another number of slots.
    SlotsChanged {
        /// The name of the back end.
        name: BackendName,
        /// Which registration of that name.
        incarnation: Incarnation,
        /// How many requests it runs at once.
        slots: u32,
    },
}
