//! Time in whole microseconds: a boot clock for decisions, the time of day for log lines.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A duration, or a point in time on the clock of [`now`], in microseconds.
pub type Microseconds = u64;

/// Microseconds since the machine started (`CLOCK_BOOTTIME`).
///
/// Unlike the usual monotonic clock it counts the time the machine is suspended: a lease must not
/// outlive its bound because its holder slept (design 6.1).
pub fn now() -> Microseconds {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Microseconds since the Unix epoch, for log lines that people read.
///
/// No decision is made by it, as it may be set forward and back.
pub fn wall_clock_now() -> Microseconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|since| since.as_micros() as Microseconds)
        .unwrap_or(0)
}
