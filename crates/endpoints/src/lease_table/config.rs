//! Settings of the lease table.

use model::{Incarnation, Microseconds, NodeName, ZoneName};

use super::granter::LeaseConfig;

/// Settings of a node's [`LeaseTableHandle`](crate::LeaseTableHandle).
#[derive(Clone)]
pub struct LeaseTableConfig {
    /// The name of this node.
    pub node: NodeName,
    /// The zone that this node is in.
    pub zone: ZoneName,
    /// Where peers reach this node, as `host:port`.
    pub address: String,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// How long leases last.
    pub leases: LeaseConfig,
    /// Between two heartbeats of the back end, in microseconds.
    pub heartbeat_interval: Microseconds,
    /// How long a draining back end still takes requests that are under way to it, in microseconds.
    pub drain_timeout: Microseconds,
    /// Where the one back end of this machine is found, as `host:port`, if the settings say so. With it, a node that
    /// starts again gives requests to the back end that the log has, and probes it.
    pub backend_address: Option<String>,
}
