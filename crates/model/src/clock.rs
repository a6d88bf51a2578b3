//! Time in whole microseconds: a boot clock for decisions, the wall clock for log lines.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A duration, or a point in time on the clock of [`now`], in microseconds.
pub type Microseconds = u64;

/// Returns the time since the machine booted, in microseconds (`CLOCK_BOOTTIME`).
///
/// Unlike `CLOCK_MONOTONIC` it includes the time that the machine is suspended: a lease must not
/// outlive its bound because its holder was suspended (design 6.1).
pub fn now() -> Microseconds {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Returns the time since the Unix epoch, in microseconds, for log lines.
///
/// No decision depends on this clock, because it can be set forward and back.
pub fn wall_clock_now() -> Microseconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|since| since.as_micros() as Microseconds)
        .unwrap_or(0)
}
