//! What a back end says of itself in a heartbeat, and what it is answered (design sections 11.2 and 11.5).

use model::cluster_state::ShardKey;
use model::{BackendName, Microseconds, Position, ServiceName, ZoneName};

/// First key, last key and fencing token of a range that a back end says it holds.
pub type HeldRange = (ShardKey, ShardKey, Position);

/// First key and last key of a range that a back end has released, and the handover token for its next holder.
pub type ReleasedRange = (ShardKey, ShardKey, String);

/// First key, last key, fencing token and handover token of a range that a back end is to hold. The handover token is
/// empty if there is none or if the back end holds the range already.
pub type LeasedRange = (ShardKey, ShardKey, Position, String);

/// A heartbeat of the back end beside this node.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The back end's name. Each process of a back end has a new one.
    pub name: BackendName,
    /// The service that the back end belongs to.
    pub service: ServiceName,
    /// Where the back end accepts requests, as `host:port`.
    pub address: String,
    /// The zone that the back end is in.
    pub zone: ZoneName,
    /// How many requests the back end runs at a time.
    pub slots: u32,
    /// Whether the back end is shutting down and is to be given no new requests.
    pub draining: bool,
    /// Number of this heartbeat: greater than that of each earlier one of the same back end.
    pub sequence: u64,
    /// The ranges that the back end holds, with the fencing tokens that it was given.
    pub held_ranges: Vec<HeldRange>,
    /// The ranges that the back end has released since the heartbeat before.
    pub released_ranges: Vec<ReleasedRange>,
}

/// Everything that the back end is to hold from now on, and for how long, counted from when it sent the heartbeat.
/// `None` renews nothing: what the back end holds runs out when it was to run out.
pub type HeartbeatAnswer = Option<(Vec<LeasedRange>, Microseconds)>;
