//! Which shard keys are asked for, and how often: decaying counts, reported as ranges of about equal
//! weight (design 11.4). Pure, with the time passed in.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use model::Microseconds;
use model::cluster_state::ShardKey;

/// Counts requests by shard key.
#[derive(Default)]
pub struct KeyDemand {
    counts: BTreeMap<ShardKey, f32>,
    /// Over how many seconds the counts were gathered, older ones counting as little as what they
    /// hold.
    window_seconds: f32,
    updated_at: Option<Microseconds>,
}

/// Counts fall to a third (1/e) in 2 s.
const DECAY_US: f32 = 2_000_000.0;
/// A key that weighs less is forgotten.
const MIN_COUNT: f32 = 0.05;
/// A window counts as no shorter than 50 ms.
const MIN_WINDOW_SECONDS: f32 = 0.05;
/// A range is cut before a key that would make it heavier than so many shares.
const MAX_SHARES_OF_RANGE: f32 = 1.5;
const MICROSECONDS_PER_SECOND: f32 = 1e6;

impl KeyDemand {
    /// Counts a request for this key.
    pub fn record(&mut self, now: Microseconds, key: ShardKey) {
        self.updated_at.get_or_insert(now);
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Divides the held `ranges` (first and last key) into at most about `max_ranges`, each with the
    /// requests a second on it; and says how many requests that is gathered from.
    pub fn report(
        &mut self,
        now: Microseconds,
        ranges: &[(ShardKey, ShardKey)],
        max_ranges: usize,
    ) -> (Vec<(ShardKey, ShardKey, f32)>, f32) {
        let passed = now.saturating_sub(self.updated_at.replace(now).unwrap_or(now)) as f32;
        let kept = (-passed / DECAY_US).exp();
        self.window_seconds += passed / MICROSECONDS_PER_SECOND;
        let total: f32 = self.counts.values().sum();
        let share = (total / max_ranges.max(1) as f32).max(f32::EPSILON);
        let report = ranges
            .iter()
            .flat_map(|(first, last)| self.split_range(*first, *last, share))
            .collect();
        self.window_seconds *= kept;
        for count in self.counts.values_mut() {
            *count *= kept;
        }
        self.counts.retain(|_, count| *count > MIN_COUNT);
        (report, total)
    }

    /// One range, cut wherever about a share has gathered, and around a key that weighs as much by
    /// itself.
    fn split_range(
        &self,
        first: ShardKey,
        last: ShardKey,
        share: f32,
    ) -> Vec<(ShardKey, ShardKey, f32)> {
        let rate = |count: f32| count / self.window_seconds.max(MIN_WINDOW_SECONDS);
        // One wider than a key, as the start after the last key is beyond it.
        let (mut start, mut gathered) = (u32::from(first), 0.0);
        let mut parts = Vec::new();
        for (key, count) in self.counts.range(first..=last) {
            let key = u32::from(*key);
            if gathered + count > share * MAX_SHARES_OF_RANGE && key > start {
                parts.push((start as ShardKey, (key - 1) as ShardKey, rate(gathered)));
                (start, gathered) = (key, 0.0);
            }
            gathered += count;
            if gathered >= share && key < u32::from(last) {
                parts.push((start as ShardKey, key as ShardKey, rate(gathered)));
                (start, gathered) = (key + 1, 0.0);
            }
        }
        if start <= u32::from(last) {
            parts.push((start as ShardKey, last, rate(gathered)));
        }
        parts
    }
}
