//! Bytes and frames said to mates, told apart by whether they cross a zone (docs/measurements.md) and by what
//! they are for (docs/CAPACITY.md).

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Default)]
pub struct Traffic {
    pub frames: AtomicU64,
    pub bytes: AtomicU64,
}

impl Traffic {
    pub(crate) fn count(&self, frames: usize, bytes: usize) {
        self.frames.fetch_add(frames as u64, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub fn read(&self) -> (u64, u64) {
        (self.frames.load(Relaxed), self.bytes.load(Relaxed))
    }
}

pub static WITHIN: Traffic = Traffic { frames: AtomicU64::new(0), bytes: AtomicU64::new(0) };
pub static ACROSS: Traffic = Traffic { frames: AtomicU64::new(0), bytes: AtomicU64::new(0) };

pub(crate) fn between(one: &str, two: &str) -> &'static Traffic {
    if one == two { &WITHIN } else { &ACROSS }
}

/// For status pages: frames and bytes within the zone and across zones.
pub fn told() -> [(u64, u64); 2] {
    [WITHIN.read(), ACROSS.read()]
}

/// What a frame is for. A conn that only asks which core seats are known carries nothing but greetings.
pub const KINDS: [&str; 11] = ["greeting", "acquaint", "core", "forward", "answer", "ask", "proof", "bulletin", "beat", "call", "other"];

static BY_KIND: [Traffic; KINDS.len()] = [const { Traffic { frames: AtomicU64::new(0), bytes: AtomicU64::new(0) } }; KINDS.len()];

fn kind(frame: &crate::Frame) -> usize {
    match frame {
        crate::Frame::Greeting(greeting) if greeting.purpose == crate::Purpose::Acquaint => 1,
        crate::Frame::Greeting(_) => 0,
        crate::Frame::Core(_) => 2,
        crate::Frame::Forward { .. } => 3,
        crate::Frame::Answer { .. } => 4,
        crate::Frame::Ask { .. } => 5,
        crate::Frame::Proof { .. } => 6,
        crate::Frame::Bulletin { .. } | crate::Frame::Follow { .. } => 7,
        crate::Frame::Beat => 8,
        crate::Frame::Cue(..)
        | crate::Frame::Taken(..)
        | crate::Frame::Untaken(..)
        | crate::Frame::Dispatch(_)
        | crate::Frame::Reply { .. }
        | crate::Frame::Mark(_) => 9,
        _ => 10,
    }
}

/// Every frame of this process, greetings too.
pub(crate) fn said(frame: &crate::Frame, bytes: usize) {
    BY_KIND[kind(frame)].count(1, bytes);
}

/// Frames and bytes, in the order of `KINDS`.
pub fn by_kind() -> [(u64, u64); KINDS.len()] {
    std::array::from_fn(|kind| BY_KIND[kind].read())
}
