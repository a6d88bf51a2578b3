//! Bytes and frames said to mates, told apart by whether they cross a zone (docs/measurements.md) and by what
//! they are for (docs/CAPACITY.md).

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Default)]
pub struct TrafficCounter {
    pub frames: AtomicU64,
    pub bytes: AtomicU64,
}

impl TrafficCounter {
    pub(crate) fn count(&self, frames: usize, bytes: usize) {
        self.frames.fetch_add(frames as u64, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub fn totals(&self) -> (u64, u64) {
        (self.frames.load(Relaxed), self.bytes.load(Relaxed))
    }
}

pub static SAME_ZONE: TrafficCounter = TrafficCounter {
    frames: AtomicU64::new(0),
    bytes: AtomicU64::new(0),
};
pub static CROSS_ZONE: TrafficCounter = TrafficCounter {
    frames: AtomicU64::new(0),
    bytes: AtomicU64::new(0),
};

pub(crate) fn counter_between(one: &str, two: &str) -> &'static TrafficCounter {
    if one == two { &SAME_ZONE } else { &CROSS_ZONE }
}

/// For status pages: frames and bytes within the zone and across zones.
pub fn by_zone() -> [(u64, u64); 2] {
    [SAME_ZONE.totals(), CROSS_ZONE.totals()]
}

/// What a frame is for. A conn that only asks which core seats are known carries nothing but greetings.
pub const KINDS: [&str; 11] = [
    "greeting", "acquaint", "core", "forward", "answer", "ask", "proof", "bulletin", "beat",
    "call", "other",
];

static BY_KIND: [TrafficCounter; KINDS.len()] = [const {
    TrafficCounter {
        frames: AtomicU64::new(0),
        bytes: AtomicU64::new(0),
    }
}; KINDS.len()];

fn kind_index(frame: &crate::Frame) -> usize {
    match frame {
        crate::Frame::Handshake(greeting) if greeting.purpose == crate::Purpose::Discover => 1,
        crate::Frame::Handshake(_) => 0,
        crate::Frame::Consensus(_) => 2,
        crate::Frame::ForwardEntry { .. } => 3,
        crate::Frame::EntryOutcome { .. } => 4,
        crate::Frame::RequestProof { .. } => 5,
        crate::Frame::Proof { .. } => 6,
        crate::Frame::ClusterStateUpdate { .. } | crate::Frame::FollowClusterState { .. } => 7,
        crate::Frame::Heartbeat => 8,
        crate::Frame::ForwardedRequest(..)
        | crate::Frame::ForwardedResponse(..)
        | crate::Frame::ForwardFailed(..)
        | crate::Frame::Attempt(_)
        | crate::Frame::AttemptResult { .. }
        | crate::Frame::Watermark(_) => 9,
        _ => 10,
    }
}

/// Every frame of this process, greetings too.
pub(crate) fn record(frame: &crate::Frame, bytes: usize) {
    BY_KIND[kind_index(frame)].count(1, bytes);
}

/// Frames and bytes, in the order of `KINDS`.
pub fn by_kind() -> [(u64, u64); KINDS.len()] {
    std::array::from_fn(|kind| BY_KIND[kind].totals())
}
