//! Which keys are asked for, and how often: decaying counts, told as ranges of about equal weight (design 11.4).
//! Pure.

use model::Microseconds;
use model::cluster_state::ShardKey;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct KeyDemand {
    counts: BTreeMap<ShardKey, f32>,
    /// Over how many seconds the counts were gathered, older ones counting as little as what they hold.
    window_seconds: f32,
    updated_at: Option<Microseconds>,
}

/// Counts fall to a third in so long.
const DECAY_US: f32 = 2_000_000.0;
/// A key that weighs less is forgotten.
const MIN_COUNT: f32 = 0.05;

impl KeyDemand {
    pub fn record(&mut self, now: Microseconds, key: ShardKey) {
        self.updated_at.get_or_insert(now);
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Ranges over these rows, at most about so many, with the requests a second on each; and how many requests say so.
    pub fn report(
        &mut self,
        now: Microseconds,
        rows: &[(ShardKey, ShardKey)],
        most: usize,
    ) -> (Vec<(ShardKey, ShardKey, f32)>, f32) {
        let passed = now.saturating_sub(self.updated_at.replace(now).unwrap_or(now)) as f32;
        let kept = (-passed / DECAY_US).exp();
        self.window_seconds += passed / 1e6;
        let whole: f32 = self.counts.values().sum();
        let share = (whole / most.max(1) as f32).max(f32::EPSILON);
        let told = rows
            .iter()
            .flat_map(|(from, to)| self.split_range(*from, *to, share))
            .collect();
        self.window_seconds *= kept;
        self.counts.values_mut().for_each(|count| *count *= kept);
        self.counts.retain(|_, count| *count > MIN_COUNT);
        (told, whole)
    }

    /// One row, cut wherever about a share has gathered, and around a key that weighs as much by itself.
    fn split_range(
        &self,
        from: ShardKey,
        to: ShardKey,
        share: f32,
    ) -> Vec<(ShardKey, ShardKey, f32)> {
        let (mut out, mut start, mut sum) = (Vec::new(), from as u32, 0.0);
        let scaled = |weight: f32| weight / self.window_seconds.max(0.05);
        self.counts.range(from..=to).for_each(|(key, count)| {
            let key = *key as u32;
            if sum + count > share * 1.5 && key > start {
                out.push((start as ShardKey, (key - 1) as ShardKey, scaled(sum)));
                (start, sum) = (key, 0.0);
            }
            sum += count;
            if sum >= share && key < to as u32 {
                out.push((start as ShardKey, key as ShardKey, scaled(sum)));
                (start, sum) = (key + 1, 0.0);
            }
        });
        if start <= to as u32 {
            out.push((start as ShardKey, to, scaled(sum)));
        }
        out
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn busy_keys_are_cut_finely_and_ranges_cover_the_rows() {
        let mut demand = super::KeyDemand::default();
        (0..1_000u32).for_each(|at| {
            demand.record(
                0,
                if at % 2 == 0 {
                    500 + (at % 100) as u16
                } else {
                    (at * 61 % 8_000) as u16
                },
            )
        });
        let (told, seen) = demand.report(1_000_000, &[(0, 4_095), (6_000, 7_999)], 16);
        assert_eq!(seen, 1_000.0);
        let keys: u32 = told
            .iter()
            .map(|(from, to, _)| (to - from) as u32 + 1)
            .sum();
        assert_eq!(keys, 4_096 + 2_000);
        assert!(
            told.windows(2).all(|pair| pair[0].1 < pair[1].0),
            "{told:?}"
        );
        let fine = told
            .iter()
            .filter(|(from, to, _)| *from >= 499 && *to <= 600)
            .count();
        assert!(
            fine >= 5 && told.len() <= 40,
            "{} ranges, {fine} among the busy keys",
            told.len()
        );
        let heaviest = told.iter().map(|(.., weight)| *weight).fold(0.0, f32::max);
        assert!(heaviest <= 2.0 * 1_000.0 / 16.0, "{heaviest}");
    }

    #[test]
    fn what_is_told_is_a_rate_however_often_it_is_told() {
        let mut demand = super::KeyDemand::default();
        let rates: Vec<f32> = (1..60u64)
            .map(|at| {
                (0..10).for_each(|key| demand.record((at - 1) * 100_000, key * 100));
                demand
                    .report(at * 100_000, &[(0, 65_535)], 4)
                    .0
                    .iter()
                    .map(|(.., rate)| rate)
                    .sum()
            })
            .collect();
        assert!(
            rates.iter().all(|rate| (95.0..105.0).contains(rate)),
            "{rates:?}"
        );
    }
}
