//! Counts the frames and bytes that this process sent to peers, by zone (docs/measurements.md) and
//! by kind of frame (docs/CAPACITY.md).

use std::array;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::{Frame, Purpose};

/// Counts frames and their bytes on the wire; the counters are shared by all connections.
#[derive(Default)]
pub struct TrafficCounter {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    const fn new() -> TrafficCounter {
        TrafficCounter {
            frames: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        }
    }

    pub(crate) fn count(&self, frames: usize, bytes: usize) {
        self.frames.fetch_add(frames as u64, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    /// Returns the numbers of frames and bytes since the process started.
    pub fn totals(&self) -> (u64, u64) {
        (self.frames.load(Relaxed), self.bytes.load(Relaxed))
    }
}

/// Traffic to peers in the zone of this process, without handshakes.
pub static SAME_ZONE: TrafficCounter = TrafficCounter::new();
/// Traffic to peers in other zones, without handshakes.
pub static CROSS_ZONE: TrafficCounter = TrafficCounter::new();

pub(crate) fn counter_between(zone: &str, peer_zone: &str) -> &'static TrafficCounter {
    if zone == peer_zone {
        &SAME_ZONE
    } else {
        &CROSS_ZONE
    }
}

/// Returns frames and bytes within the zone, then across zones, as status pages show them.
pub fn by_zone() -> [(u64, u64); 2] {
    [SAME_ZONE.totals(), CROSS_ZONE.totals()]
}

/// Names of the kinds of frames, as used in metrics.
///
/// A [`Purpose::Discover`] connection carries nothing but handshakes, so its handshakes are counted
/// as a separate kind.
pub const KINDS: [&str; 11] = [
    "greeting", "acquaint", "core", "forward", "answer", "ask", "proof", "bulletin", "beat",
    "call", "other",
];

static BY_KIND: [TrafficCounter; KINDS.len()] = [const { TrafficCounter::new() }; KINDS.len()];

/// Returns the index of the frame's kind in [`KINDS`].
fn kind_index(frame: &Frame) -> usize {
    match frame {
        Frame::Handshake(handshake) if handshake.purpose == Purpose::Discover => 1,
        Frame::Handshake(_) => 0,
        Frame::Consensus(_) => 2,
        Frame::ForwardEntry { .. } => 3,
        Frame::EntryOutcome { .. } => 4,
        Frame::RequestProof { .. } => 5,
        Frame::Proof { .. } => 6,
        Frame::ClusterStateUpdate { .. } | Frame::FollowClusterState { .. } => 7,
        Frame::Heartbeat => 8,
        Frame::ForwardedRequest(..)
        | Frame::ForwardedResponse(..)
        | Frame::ForwardFailed(..)
        | Frame::BodyFollows(..)
        | Frame::BodyPart(..)
        | Frame::WithdrawRequest(_)
        | Frame::Attempt(_)
        | Frame::AttemptResult { .. }
        | Frame::Watermark(_) => 9,
        _ => 10,
    }
}

/// Counts a frame under its kind, including handshakes. `bytes` includes the prefix.
pub(crate) fn record(frame: &Frame, bytes: usize) {
    BY_KIND[kind_index(frame)].count(1, bytes);
}

/// Returns frames and bytes of each kind, in the order of [`KINDS`].
pub fn by_kind() -> [(u64, u64); KINDS.len()] {
    array::from_fn(|kind| BY_KIND[kind].totals())
}
