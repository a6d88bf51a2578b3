//! A node of the mesh and the backend beside the node: the backend's registration, heartbeats and shard leases, the
//! placement of a service's keys on its backends, and the node's part in failure detection (design section 11).
//!
//! [`Node`] assembles the parts. All access to the state of the local backend goes through [`LeaseTableHandle`]. The
//! logic without I/O, [`LeaseGranter`], [`Registration`] and the placement functions, gets the time and the cluster
//! state from its callers, so that simulators can run it too.
#![deny(missing_docs)]

mod heartbeat;
mod lease_table;
mod monitor;
mod node;
mod placement;
mod registration;
mod restored_backend;

pub use heartbeat::{Heartbeat, HeartbeatResponse, HeldRange, LeasedRange, ReleasedRange};
pub use lease_table::{
    Error, LeaseConfig, LeaseGrant, LeaseGranter, LeaseTableConfig, LeaseTableHandle,
};
pub use node::{Node, NodeConfig};
pub use placement::{
    BackendCapacity, Imbalance, RangeDemand, ShardPlacement, imbalance, initial_placement,
    rebalance,
};
pub use registration::{Registration, RegistrationStatus};
