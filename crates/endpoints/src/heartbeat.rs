//! Heartbeats of a backend and the responses to them (design sections 11.2 and 11.5).

use model::cluster_state::ShardKey;
use model::{BackendName, Microseconds, Position, ServiceName, ZoneName};

/// First key, last key and fencing token of a range that a backend reports as held.
pub type HeldRange = (ShardKey, ShardKey, Position);

/// First key and last key of a range that a backend has released, and the handover token for its next holder.
pub type ReleasedRange = (ShardKey, ShardKey, String);

/// First key, last key, fencing token and handover token of a range that a backend is granted. The handover token is
/// empty if there is none or if the backend already holds the range.
pub type LeasedRange = (ShardKey, ShardKey, Position, String);

/// A heartbeat of the backend beside this node.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Name of the backend. Each process of a backend has a new name.
    pub name: BackendName,
    /// Service that the backend belongs to.
    pub service: ServiceName,
    /// Address where the backend accepts requests, as `host:port`.
    pub address: String,
    /// Zone of the backend.
    pub zone: ZoneName,
    /// Number of requests that the backend runs concurrently.
    pub slots: u32,
    /// Whether the backend is shutting down and must get no new requests.
    pub draining: bool,
    /// Sequence number of this heartbeat, greater than that of each earlier heartbeat of the backend.
    pub sequence: u64,
    /// Ranges that the backend holds, with their fencing tokens.
    pub held_ranges: Vec<HeldRange>,
    /// Ranges that the backend has released since the previous heartbeat.
    pub released_ranges: Vec<ReleasedRange>,
}

/// All ranges that the backend is to hold, and the duration of their leases in microseconds, counted from when the
/// heartbeat was sent. `None` renews no lease: the leases that the backend has expire as granted before.
pub type HeartbeatResponse = Option<(Vec<LeasedRange>, Microseconds)>;
