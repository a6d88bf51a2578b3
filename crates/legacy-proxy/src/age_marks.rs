//! How old a request can be at most, without comparing two machines' clocks (design 5.11). Pure, with
//! the time passed in.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use model::Microseconds;

/// Between two marks on one connection: 100 ms.
pub const WATERMARK_INTERVAL: Microseconds = 100_000;
/// A request that was not held up names a mark this young: one interval, and the way there and back.
const MAX_HONEST_AGE: Microseconds = 3 * WATERMARK_INTERVAL;
/// A request that names an older mark has no time left.
const MARKS_KEPT: usize = 64;

/// The marks sent on one connection. The inbound side sends numbered marks; a request names the last
/// one that its sender had received, so it cannot have been sent before that mark was.
pub struct AgeWatermarks {
    sent: VecDeque<(u64, Microseconds)>,
}

impl AgeWatermarks {
    /// Marks of a connection that was opened now; the first is number 0.
    pub fn new(now: Microseconds) -> Self {
        AgeWatermarks {
            sent: [(0, now)].into_iter().collect(),
        }
    }

    /// The number of the next mark, which is to be sent now.
    pub fn issue(&mut self, now: Microseconds) -> u64 {
        let number = self.sent.back().map(|(number, _)| number + 1).unwrap_or(1);
        self.sent.push_back((number, now));
        if self.sent.len() > MARKS_KEPT {
            self.sent.pop_front();
        }
        number
    }

    /// What is left, in microseconds, of the time that a request said it had, whatever part of it was
    /// spent on the way.
    pub fn time_left(&self, now: Microseconds, mark: u64, left: Microseconds) -> Microseconds {
        let sent = self
            .sent
            .iter()
            .find(|(number, _)| *number >= mark)
            .map(|(_, at)| *at)
            .unwrap_or(now);
        let known = self.sent.front().is_some_and(|(first, _)| mark >= *first);
        let age = now.saturating_sub(sent).saturating_sub(MAX_HONEST_AGE);
        if known { left.saturating_sub(age) } else { 0 }
    }
}
