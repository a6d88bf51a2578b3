//! Frames and bytes that this process sent to peers, by whether they cross a zone
//! (docs/measurements.md) and by what they are for (docs/CAPACITY.md).

use std::array;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::{Frame, Purpose};

/// Counts frames and their bytes on the wire; shared by all connections of the process.
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

    /// Frames and bytes since the process began.
    pub fn totals(&self) -> (u64, u64) {
        (self.frames.load(Relaxed), self.bytes.load(Relaxed))
    }
}

/// What was sent to peers in the zone of this process, handshakes left out.
pub static SAME_ZONE: TrafficCounter = TrafficCounter::new();
/// What was sent to peers in other zones, handshakes left out.
pub static CROSS_ZONE: TrafficCounter = TrafficCounter::new();

pub(crate) fn counter_between(zone: &str, peer_zone: &str) -> &'static TrafficCounter {
    if zone == peer_zone {
        &SAME_ZONE
    } else {
        &CROSS_ZONE
    }
}

/// Frames and bytes within the zone, then across zones, as status pages show them.
pub fn by_zone() -> [(u64, u64); 2] {
    [SAME_ZONE.totals(), CROSS_ZONE.totals()]
}

/// What a frame is for, in the words of the measurements.
///
/// A connection that only asks which replicas are known carries nothing but handshakes, which is
/// why these are a kind of their own.
pub const KINDS: [&str; 11] = [
    "greeting", "acquaint", "core", "forward", "answer", "ask", "proof", "bulletin", "beat",
    "call", "other",
];

static BY_KIND: [TrafficCounter; KINDS.len()] = [const { TrafficCounter::new() }; KINDS.len()];

/// Where the frame's kind stands in [`KINDS`].
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
        | Frame::Attempt(_)
        | Frame::AttemptResult { .. }
        | Frame::Watermark(_) => 9,
        _ => 10,
    }
}

/// Counts a frame by its kind, handshakes too. `bytes` includes the prefix.
pub(crate) fn record(frame: &Frame, bytes: usize) {
    BY_KIND[kind_index(frame)].count(1, bytes);
}

/// Frames and bytes of each kind, in the order of [`KINDS`].
pub fn by_kind() -> [(u64, u64); KINDS.len()] {
    array::from_fn(|kind| BY_KIND[kind].totals())
}
