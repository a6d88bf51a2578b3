//! Whole microseconds on a clock that goes on while the machine sleeps (design 6.1).

pub type Micros = u64;

/// CLOCK_BOOTTIME: unlike the usual monotonic clock it counts suspend.
pub fn now() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Wall time only where people read it, and to make incarnations grow over restarts.
pub fn wall() -> Micros {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map(|since| since.as_micros() as Micros).unwrap_or(0)
}
