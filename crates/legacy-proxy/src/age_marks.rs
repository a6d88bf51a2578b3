//! How old a dispatch can be at most, without comparing two machines' clocks (design 5.11).

use model::Microseconds;
use std::collections::VecDeque;

pub const MARK_INTERVAL: Microseconds = 100_000;
/// An honest dispatch names a mark this young: one turn, and the way there and back.
const MAX_HONEST_AGE: Microseconds = 3 * MARK_INTERVAL;
const MARKS_KEPT: usize = 64;

/// The far side tells numbered marks; a dispatch names the last one its sender had seen, so it
/// cannot have been sent before that mark was.
pub struct AgeMarks {
    sent: VecDeque<(u64, Microseconds)>,
}

impl AgeMarks {
    pub fn new(now: Microseconds) -> Self {
        AgeMarks {
            sent: [(0, now)].into_iter().collect(),
        }
    }

    pub fn issue(&mut self, now: Microseconds) -> u64 {
        let number = self.sent.back().map(|(number, _)| number + 1).unwrap_or(1);
        self.sent.push_back((number, now));
        if self.sent.len() > MARKS_KEPT {
            self.sent.pop_front();
        }
        number
    }

    /// What is left of the wait, whatever time the dispatch spent in buffers on the way.
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

#[cfg(test)]
mod tests {
    #[test]
    fn a_dispatch_that_lay_in_a_frozen_process_has_no_time_left() {
        let mut marks = super::AgeMarks::new(0);
        let mark = marks.issue(100_000);
        assert_eq!(
            marks.time_left(200_000, mark, 3_000_000),
            3_000_000,
            "an honest one loses nothing"
        );
        assert_eq!(marks.time_left(2_400_000, mark, 3_000_000), 1_000_000);
        assert_eq!(marks.time_left(60_000_000, mark, 3_000_000), 0);
        (0..100u64).for_each(|turn| assert!(marks.issue(200_000 + turn) > mark));
        assert_eq!(
            marks.time_left(300_000, mark, 3_000_000),
            0,
            "a mark long forgotten"
        );
    }
}
