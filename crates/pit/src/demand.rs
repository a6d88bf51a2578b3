//! Which keys are asked for, and how often: decaying counts, told as ranges of about equal weight (design 11.4).
//! Pure.

use playbill::Micros;
use playbill::bill::Key;

#[derive(Default)]
pub struct Demand {
    counts: std::collections::BTreeMap<Key, f32>,
    /// Over how many seconds the counts were gathered, older ones counting as little as what they hold.
    window: f32,
    at: Option<Micros>,
    /// Rows as they were told of last, and since when each is held: what came just now was asked for elsewhere before.
    gained: Vec<(Key, Key, Micros)>,
}

/// Counts fall to a third in so long.
const REMEMBERED: f32 = 2_000_000.0;
/// Rows held for longer are all alike.
const LONG: Micros = 8_000_000;
/// A shorter time shows no rate.
const SHORTEST: f32 = 0.1;
/// A key that weighs less is forgotten.
const LEAST: f32 = 0.05;

impl Demand {
    pub fn asked(&mut self, now: Micros, key: Key) {
        self.at.get_or_insert(now);
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Ranges over these rows, at most about so many, with the requests a second on each; and how many requests say so.
    pub fn tell(&mut self, now: Micros, rows: &[(Key, Key)], most: usize) -> (Vec<(Key, Key, f32)>, f32) {
        let before = self.at.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(before) as f32;
        let kept = (-passed / REMEMBERED).exp();
        self.window += passed / 1e6;
        let whole: f32 = self.counts.values().sum();
        let share = (whole / most.max(1) as f32).max(f32::EPSILON);
        // What is told of for the first time was there since the counting began.
        self.gained = gained(&self.gained, if self.gained.is_empty() { before } else { now }, rows);
        let told = self.gained.iter().flat_map(|(from, to, since)| self.ranges(*from, *to, share, self.window(now, *since))).collect();
        self.window *= kept;
        self.counts.values_mut().for_each(|count| *count *= kept);
        self.counts.retain(|_, count| *count > LEAST);
        (told, whole)
    }

    /// Over how many seconds the counts of a row held since then were gathered.
    fn window(&self, now: Micros, since: Micros) -> f32 {
        let held = now.saturating_sub(since) as f32 / REMEMBERED;
        (REMEMBERED / 1e6 * (1.0 - (-held).exp())).min(self.window).max(SHORTEST)
    }

    /// One row, cut wherever about a share has gathered, and around a key that weighs as much by itself.
    fn ranges(&self, from: Key, to: Key, share: f32, window: f32) -> Vec<(Key, Key, f32)> {
        let (mut out, mut start, mut sum) = (Vec::new(), from as u32, 0.0);
        let scaled = |weight: f32| weight / window;
        self.counts.range(from..=to).for_each(|(key, count)| {
            let key = *key as u32;
            if sum + count > share * 1.5 && key > start {
                out.push((start as Key, (key - 1) as Key, scaled(sum)));
                (start, sum) = (key, 0.0);
            }
            sum += count;
            if sum >= share && key < to as u32 {
                out.push((start as Key, key as Key, scaled(sum)));
                (start, sum) = (key + 1, 0.0);
            }
        });
        if start <= to as u32 {
            out.push((start as Key, to, scaled(sum)));
        }
        out
    }
}

/// The rows, each part with when it came. Both are ordered.
fn gained(before: &[(Key, Key, Micros)], now: Micros, rows: &[(Key, Key)]) -> Vec<(Key, Key, Micros)> {
    let oldest = now.saturating_sub(LONG);
    let parts = rows.iter().flat_map(|(from, to)| {
        let first = before.partition_point(|(_, end, _)| end < from);
        let known = before[first..].iter().take_while(|(start, ..)| start <= to);
        let mut next = *from as u32;
        let mut parts: Vec<(Key, Key, Micros)> = Vec::new();
        known.for_each(|(start, end, since)| {
            let (start, end) = (*start.max(from), *end.min(to));
            if next < start as u32 {
                parts.push((next as Key, start - 1, now));
            }
            parts.push((start, end, (*since).max(oldest)));
            next = end as u32 + 1;
        });
        if next <= *to as u32 {
            parts.push((next as Key, *to, now));
        }
        parts
    });
    parts.fold(Vec::new(), |mut parts: Vec<(Key, Key, Micros)>, part| {
        match parts.last_mut() {
            Some(last) if last.2 == part.2 && last.1 as u32 + 1 == part.0 as u32 => last.1 = part.1,
            _ => parts.push(part),
        }
        parts
    })
}

#[cfg(test)]
mod tests {
    #[test]
    fn busy_keys_are_cut_finely_and_ranges_cover_the_rows() {
        let mut demand = super::Demand::default();
        (0..1_000u32).for_each(|at| demand.asked(0, if at % 2 == 0 { 500 + (at % 100) as u16 } else { (at * 61 % 8_000) as u16 }));
        let (told, seen) = demand.tell(1_000_000, &[(0, 4_095), (6_000, 7_999)], 16);
        assert_eq!(seen, 1_000.0);
        let keys: u32 = told.iter().map(|(from, to, _)| (to - from) as u32 + 1).sum();
        assert_eq!(keys, 4_096 + 2_000);
        assert!(told.windows(2).all(|pair| pair[0].1 < pair[1].0), "{told:?}");
        let fine = told.iter().filter(|(from, to, _)| *from >= 499 && *to <= 600).count();
        assert!(fine >= 5 && told.len() <= 40, "{} ranges, {fine} among the busy keys", told.len());
        let heaviest = told.iter().map(|(.., weight)| *weight).fold(0.0, f32::max);
        assert!(heaviest <= 2.0 * 1_000.0 / 16.0, "{heaviest}");
    }

    #[test]
    fn what_is_told_is_a_rate_however_often_it_is_told() {
        let mut demand = super::Demand::default();
        let rates: Vec<f32> = (1..60u64)
            .map(|at| {
                (0..10).for_each(|key| demand.asked((at - 1) * 100_000, key * 100));
                demand.tell(at * 100_000, &[(0, 65_535)], 4).0.iter().map(|(.., rate)| rate).sum()
            })
            .collect();
        assert!(rates.iter().all(|rate| (95.0..105.0).contains(rate)), "{rates:?}");
    }

    #[test]
    fn keys_that_came_just_now_are_told_at_the_rate_they_are_asked_for() {
        let mut demand = super::Demand::default();
        let rate = |demand: &mut super::Demand, at: u64, rows: &[(u16, u16)]| -> f32 {
            // Whatever is held is asked for a hundred times a second on each thousand keys.
            rows.iter().for_each(|(from, to)| (0..(to - from) as u64 / 100).for_each(|key| demand.asked(at * 100_000, from + key as u16 * 100)));
            demand.tell((at + 1) * 100_000, rows, 8).0.iter().filter(|(from, ..)| *from >= 1_000).map(|(.., rate)| rate).sum()
        };
        (0..40).for_each(|at| drop(rate(&mut demand, at, &[(0, 999)])));
        let told: Vec<f32> = (40..80).map(|at| rate(&mut demand, at, &[(0, 1_999)])).collect();
        assert!(told[4..].iter().all(|rate| (80.0..135.0).contains(rate)), "{told:?}");
    }
}
