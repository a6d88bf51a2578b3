//! The monotonic clock of a run, used for everything that is recorded.

use std::time::{Duration, Instant};

/// A time since the start of the run, or a duration, in microseconds.
pub type Micros = u64;

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The monotonic clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Sleeps until a time of the run; returns at once if it has passed.
    pub async fn sleep_until(&self, at: Micros) {
        let deadline = self.started_at + Duration::from_micros(at);
        tokio::time::sleep_until(deadline.into()).await;
    }
}
