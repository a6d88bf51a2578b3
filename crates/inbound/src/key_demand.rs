//! Request counts by shard key. The counts decay over time and are reported as ranges of roughly
//! equal weight (design 11.4). This module does no I/O; callers pass in the current time.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use model::Microseconds;
use model::cluster_state::ShardKey;

/// Decaying request counts by shard key.
#[derive(Default)]
pub struct KeyDemand {
    counts: BTreeMap<ShardKey, f32>,
    /// The length of the window over which the counts were collected, in seconds. The length decays
    /// at the same rate as the counts, so that their quotient is a request rate.
    window_seconds: f32,
    updated_at: Option<Microseconds>,
}

/// Time constant of the exponential decay of counts, in microseconds.
const DECAY_US: f32 = 2_000_000.0;
/// Keys whose decayed count is not above this value are removed.
const MIN_COUNT: f32 = 0.05;
/// Lower bound of the window length for rate calculations, in seconds.
const MIN_WINDOW_SECONDS: f32 = 0.05;
/// A range is split before a key that would raise its weight above this multiple of the target.
const MAX_TARGET_WEIGHTS_PER_RANGE: f32 = 1.5;
const MICROSECONDS_PER_SECOND: f32 = 1e6;

impl KeyDemand {
    /// Counts a request for the key.
    pub fn record(&mut self, now: Microseconds, key: ShardKey) {
        self.updated_at.get_or_insert(now);
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Splits the held `ranges`, given by first and last key, into approximately `max_ranges` parts
    /// at most. Returns each part with its requests per second, and the decayed number of requests
    /// on which the report is based.
    pub fn report(
        &mut self,
        now: Microseconds,
        ranges: &[(ShardKey, ShardKey)],
        max_ranges: usize,
    ) -> (Vec<(ShardKey, ShardKey, f32)>, f32) {
        let elapsed = now.saturating_sub(self.updated_at.replace(now).unwrap_or(now)) as f32;
        let decay = (-elapsed / DECAY_US).exp();
        self.window_seconds += elapsed / MICROSECONDS_PER_SECOND;
        let total: f32 = self.counts.values().sum();
        let target_weight = (total / max_ranges.max(1) as f32).max(f32::EPSILON);
        let report = ranges
            .iter()
            .flat_map(|(first, last)| self.split_range(*first, *last, target_weight))
            .collect();
        self.window_seconds *= decay;
        for count in self.counts.values_mut() {
            *count *= decay;
        }
        self.counts.retain(|_, count| *count > MIN_COUNT);
        (report, total)
    }

    /// Splits one range into parts of about `target_weight` each. A key whose own weight exceeds
    /// [`MAX_TARGET_WEIGHTS_PER_RANGE`] times the target gets a part of its own.
    fn split_range(
        &self,
        first: ShardKey,
        last: ShardKey,
        target_weight: f32,
    ) -> Vec<(ShardKey, ShardKey, f32)> {
        let rate = |count: f32| count / self.window_seconds.max(MIN_WINDOW_SECONDS);
        // Wider than a key, because the start after the last possible key does not fit into one.
        let (mut start, mut weight) = (u32::from(first), 0.0);
        let mut parts = Vec::new();
        for (key, count) in self.counts.range(first..=last) {
            let key = u32::from(*key);
            if weight + count > target_weight * MAX_TARGET_WEIGHTS_PER_RANGE && key > start {
                parts.push((start as ShardKey, (key - 1) as ShardKey, rate(weight)));
                (start, weight) = (key, 0.0);
            }
            weight += count;
            if weight >= target_weight && key < u32::from(last) {
                parts.push((start as ShardKey, key as ShardKey, rate(weight)));
                (start, weight) = (key + 1, 0.0);
            }
        }
        if start <= u32::from(last) {
            parts.push((start as ShardKey, last, rate(weight)));
        }
        parts
    }
}
