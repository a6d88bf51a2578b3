//! The back ends beside a node: beats and ends, keys granted and let go, and who is to hold which (design 11).

mod algorithm;
mod heartbeat;
mod lease_table;
mod leases;
mod monitor;
mod node;
mod placement;
mod registration;
mod reports;
mod restored_backend;

pub use algorithm::{
    BackendCapacity, RangeDemand, ShardPlacement, imbalance, initial_placement, rebalance,
};
pub use lease_table::{Heartbeat, HeartbeatAnswer, LeaseTableConfig, LeaseTableHandle};
pub use leases::{LeaseConfig, LeaseGrant, LeaseGranter};
pub use node::{Node, NodeConfig};
pub use registration::{Registration, RegistrationStatus};
