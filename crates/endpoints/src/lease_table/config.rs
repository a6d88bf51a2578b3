//! Settings of the lease table.

use model::{Incarnation, Microseconds, NodeName, ZoneName};

use super::granter::LeaseConfig;

/// Settings of a node's [`LeaseTableHandle`](crate::LeaseTableHandle).
#[derive(Clone)]
pub struct LeaseTableConfig {
    /// Name of this node.
    pub node: NodeName,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Address where peers reach this node, as `host:port`.
    pub address: String,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Durations of leases.
    pub leases: LeaseConfig,
    /// Interval between two heartbeats of the backend, in microseconds.
    pub heartbeat_interval: Microseconds,
    /// Time for which a draining backend still accepts requests that were already sent, in microseconds.
    pub drain_timeout: Microseconds,
    /// Address of the one backend of this machine, as `host:port`, if the settings contain it. With this address, a
    /// restarted node forwards requests to the backend that is registered in the log, and probes that backend.
    pub backend_address: Option<String>,
}
