//! Whole microseconds on a clock that goes on while the machine sleeps (design 6.1).

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub type Microseconds = u64;

/// CLOCK_BOOTTIME: unlike the usual monotonic clock it counts suspend.
pub fn now() -> Microseconds {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// The time of day, for log lines that people read. Nothing is decided by it: it jumps.
pub fn wall_clock_now() -> Microseconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|since| since.as_micros() as Microseconds)
        .unwrap_or(0)
}
