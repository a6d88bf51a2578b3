//! Bytes and frames said to mates, told apart by whether they cross a zone (docs/measurements.md).

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
