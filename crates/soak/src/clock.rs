//! The time of a run: one steady clock for everything that is recorded.

use std::time::{Duration, Instant};

/// Microseconds since the run began.
pub type Micros = u64;

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The steady clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Waits until a time of the run; returns at once if it has passed.
    pub async fn sleep_until(&self, at: Micros) {
        let deadline = self.started_at + Duration::from_micros(at);
        tokio::time::sleep_until(deadline.into()).await;
    }
}
