//! An upper bound on the age of a request, without comparing the clocks of two machines
//! (design 5.11). The module performs no I/O and reads no clock: the caller passes the time in.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use model::Microseconds;

/// Interval between two watermarks on one connection, in microseconds.
pub const WATERMARK_INTERVAL: Microseconds = 100_000;
/// Greatest age of the watermark that a request names if it was not delayed: one interval, and the
/// round trip.
const MAX_UNDELAYED_AGE: Microseconds = 3 * WATERMARK_INTERVAL;
/// Number of watermarks kept per connection. A request that names an older one has no time left.
const MAX_WATERMARKS: usize = 64;

/// The watermarks sent on one connection. The inbound side sends numbered watermarks; a request
/// names the last one that its sender had received, so it cannot have been sent before that
/// watermark was.
pub struct AgeWatermarks {
    /// Number and time of sending of each watermark, oldest first.
    sent: VecDeque<(u64, Microseconds)>,
}

impl AgeWatermarks {
    /// Creates the watermarks of a connection that opens at `now`; the first has the number 0.
    pub fn new(now: Microseconds) -> Self {
        AgeWatermarks {
            sent: [(0, now)].into_iter().collect(),
        }
    }

    /// Returns the number of the next watermark, which the caller has to send at once.
    pub fn issue(&mut self, now: Microseconds) -> u64 {
        let number = self.sent.back().map(|(number, _)| number + 1).unwrap_or(1);
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_WATERMARKS {
            self.sent.pop_front();
        }
        number
    }

    /// Returns the time left for a request that stated `time_left` and named `watermark`, less the
    /// time that it may have spent in transit; in microseconds.
    pub fn time_left(
        &self,
        now: Microseconds,
        watermark: u64,
        time_left: Microseconds,
    ) -> Microseconds {
        let sent_at = self
            .sent
            .iter()
            .find(|(number, _)| *number >= watermark)
            .map(|(_, sent_at)| *sent_at)
            .unwrap_or(now);
        let is_stored = self
            .sent
            .front()
            .is_some_and(|(first, _)| watermark >= *first);
        let age = now
            .saturating_sub(sent_at)
            .saturating_sub(MAX_UNDELAYED_AGE);
        if is_stored {
            time_left.saturating_sub(age)
        } else {
            0
        }
    }
}
