//! A node of the mesh and the back end beside it: the back end's registration, heartbeats and key leases, the
//! placement of a service's keys on its back ends, and the node's part in failure detection (design section 11).
//!
//! [`Node`] puts the parts together. [`LeaseTableHandle`] is the only way to the state of the local back end. The
//! rules that need no input or output, [`LeaseGranter`], [`Registration`] and the placement functions, get the time
//! and the cluster state from their callers, so that simulators can run them too.
#![deny(missing_docs)]

mod heartbeat;
mod lease_table;
mod monitor;
mod node;
mod placement;
mod registration;
mod restored_backend;

pub use heartbeat::{Heartbeat, HeartbeatAnswer, HeldRange, LeasedRange, ReleasedRange};
pub use lease_table::{
    Error, LeaseConfig, LeaseGrant, LeaseGranter, LeaseTableConfig, LeaseTableHandle,
};
pub use node::{Node, NodeConfig};
pub use placement::{
    BackendCapacity, Imbalance, RangeDemand, ShardPlacement, imbalance, initial_placement,
    rebalance,
};
pub use registration::{Registration, RegistrationStatus};
