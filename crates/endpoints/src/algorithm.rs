//! Who is to hold which keys: by what is asked of each key and how fast each back end is, with as few moves as
//! that allows (design 11.4). Pure.

use model::BackendName;
use model::cluster_state::{ShardKey, ShardMap};
use std::collections::HashMap;

/// A back end and how much it can do, in any unit.
pub type BackendCapacity = (BackendName, f64);
/// What a range of keys is asked for, in any unit.
pub type RangeDemand = (ShardKey, ShardKey, f64);
pub type ShardPlacement = Vec<(ShardKey, ShardKey, BackendName)>;

/// So much of the whole weight is spread over all keys alike: what nobody asked for yet has to be somewhere too.
const BASELINE_SHARE: f64 = 0.04;
const KEY_COUNT: f64 = 65_536.0;

#[derive(Clone, Debug)]
struct WeightedRange {
    from: u32,
    to: u32,
    weight: f64,
    holder: Option<usize>,
    /// On its way to its holder: it is not moved again before it is there.
    in_transit: bool,
}

impl WeightedRange {
    /// The part that weighs about so much, from the low end, and the rest. Whole keys only.
    fn split(self, weight: f64) -> (Option<WeightedRange>, Option<WeightedRange>) {
        let keys = (self.to - self.from + 1) as f64;
        let first = (keys * (weight / self.weight).clamp(0.0, 1.0)).round() as u32;
        let share = |count: u32| self.weight * count as f64 / keys;
        let low = (first > 0).then(|| WeightedRange {
            to: self.from + first - 1,
            weight: share(first),
            ..self.clone()
        });
        let high = (first < keys as u32).then(|| WeightedRange {
            from: self.from + first,
            weight: share(keys as u32 - first),
            ..self.clone()
        });
        (low, high)
    }
}

/// Pieces of the rows, none across two ranges that are asked for differently.
fn weighted_ranges(
    rows: &ShardMap,
    asks: &[RangeDemand],
    parts: &[BackendCapacity],
) -> Vec<WeightedRange> {
    let whole: f64 = asks.iter().map(|(.., weight)| weight).sum();
    // Where nothing is known of what is asked, a key weighs one.
    let whole = if whole > 0.0 {
        whole
    } else {
        KEY_COUNT / BASELINE_SHARE
    };
    let spread = |from: u32, to: u32| whole * BASELINE_SHARE * (to - from + 1) as f64 / KEY_COUNT;
    let places: HashMap<&str, usize> = parts
        .iter()
        .enumerate()
        .map(|(at, (name, _))| (name.as_str(), at))
        .collect();
    rows.iter()
        .flat_map(|row| {
            let holder = row
                .holder
                .as_deref()
                .and_then(|name| places.get(name).copied());
            let (from, to, moving) = (
                row.first_key as u32,
                row.last_key as u32,
                !row.pending_releases.is_empty(),
            );
            // Both are ordered: the first ask that reaches the row, and on from there.
            let first = asks.partition_point(|(_, end, _)| (*end as u32) < from);
            let within = asks[first..]
                .iter()
                .take_while(|(start, ..)| (*start as u32) <= to);
            let mut next = from;
            let mut out: Vec<WeightedRange> = Vec::new();
            within.for_each(|(start, end, weight)| {
                let (start, end, keys) = (
                    (*start as u32).max(from),
                    (*end as u32).min(to),
                    (*end - *start) as f64 + 1.0,
                );
                if next < start {
                    out.push(WeightedRange {
                        from: next,
                        to: start - 1,
                        weight: spread(next, start - 1),
                        holder,
                        in_transit: moving,
                    });
                }
                if next <= end {
                    let start = start.max(next);
                    out.push(WeightedRange {
                        from: start,
                        to: end,
                        weight: weight * (end - start + 1) as f64 / keys + spread(start, end),
                        holder,
                        in_transit: moving,
                    });
                    next = end + 1;
                }
            });
            if next <= to {
                out.push(WeightedRange {
                    from: next,
                    to,
                    weight: spread(next, to),
                    holder,
                    in_transit: moving,
                });
            }
            out
        })
        .collect()
}

/// How far above its share the busiest back end is, as the placement stands, what each is asked for, and how much of
/// all that is on its way.
pub fn imbalance(
    rows: &ShardMap,
    asks: &[RangeDemand],
    parts: &[BackendCapacity],
) -> (f64, Vec<f64>, f64) {
    let pieces = weighted_ranges(rows, asks, parts);
    let loads = loads(&pieces, parts.len());
    let mean = loads.iter().sum::<f64>() / parts.iter().map(|(_, can)| can).sum::<f64>();
    let most = loads
        .iter()
        .zip(parts)
        .map(|(load, (_, can))| load / can)
        .fold(0.0, f64::max);
    let moving: f64 = pieces
        .iter()
        .filter(|piece| piece.in_transit)
        .map(|piece| piece.weight)
        .sum();
    let whole = loads.iter().sum::<f64>().max(f64::EPSILON);
    (most / mean.max(f64::EPSILON) - 1.0, loads, moving / whole)
}

fn loads(pieces: &[WeightedRange], count: usize) -> Vec<f64> {
    pieces.iter().fold(vec![0.0; count], |mut loads, piece| {
        piece
            .holder
            .into_iter()
            .for_each(|holder| loads[holder] += piece.weight);
        loads
    })
}

/// Whole keys in proportion to shares, all of them given.
fn quotas(parts: &[BackendCapacity], can: f64) -> Vec<f64> {
    let upto = |share: f64| (share / can * KEY_COUNT).round();
    let sums = parts.iter().scan(0.0, |sum, (_, own)| {
        let before = *sum;
        *sum += own;
        Some(upto(*sum) - upto(before))
    });
    sums.collect()
}

/// Rows for all keys. Whoever is no more than `slack` above a fair share keeps what it has; what is above it, and what
/// nobody holds, goes to those furthest below theirs.
pub fn rebalance(
    rows: &ShardMap,
    asks: &[RangeDemand],
    parts: &[BackendCapacity],
    slack: f64,
) -> ShardPlacement {
    let can: f64 = parts.iter().map(|(_, can)| can).sum();
    if can <= 0.0 {
        return Vec::new();
    }
    // Without slack to the key; else small pieces stay whole.
    let crumb = slack.min(0.05);
    let mut pieces = weighted_ranges(rows, asks, parts);
    let whole: f64 = pieces.iter().map(|piece| piece.weight).sum();
    let fair: Vec<f64> = match asks.is_empty() {
        false => parts.iter().map(|(_, own)| whole * own / can).collect(),
        true => quotas(parts, can),
    };
    let mut held = loads(&pieces, parts.len());
    let mut free: Vec<WeightedRange> = Vec::new();
    let mut kept: Vec<WeightedRange> = Vec::new();
    pieces.sort_by_key(|piece| piece.from);
    pieces.into_iter().for_each(|piece| {
        let Some(holder) = piece.holder else {
            return free.push(piece);
        };
        if piece.in_transit {
            return kept.push(piece);
        }
        let above = held[holder] - fair[holder];
        // A move of next to nothing is not worth its gap.
        if above <= fair[holder] * slack || above < piece.weight * crumb {
            return kept.push(piece);
        }
        let (low, high) = piece.split(above);
        low.into_iter().for_each(|piece| {
            held[holder] -= piece.weight;
            free.push(piece);
        });
        kept.extend(high);
    });
    // The heaviest first, each to whoever has most room; what does not fit whole is cut.
    free.sort_by(|one, other| one.weight.total_cmp(&other.weight));
    let mut given: Vec<WeightedRange> = Vec::new();
    while let Some(piece) = free.pop_if(|_| true) {
        let room = |at: usize| (fair[at] - held[at]) / fair[at].max(f64::EPSILON);
        let Some(taker) = (0..parts.len()).max_by(|one, other| room(*one).total_cmp(&room(*other)))
        else {
            break;
        };
        let left = (fair[taker] - held[taker]).max(0.0);
        let whole_fits =
            piece.weight <= left * (1.0 + 4.0 * crumb) || left < piece.weight * 2.0 * crumb;
        let (low, high) = if whole_fits {
            (Some(piece), None)
        } else {
            piece.split(left)
        };
        // One key is never cut: if nothing fits, it goes whole.
        let (given_now, rest) = if low.is_some() {
            (low, high)
        } else {
            (high, None)
        };
        given_now.into_iter().for_each(|piece| {
            held[taker] += piece.weight;
            given.push(WeightedRange {
                holder: Some(taker),
                ..piece
            });
        });
        free.extend(rest);
    }
    let mut all: Vec<WeightedRange> = kept.into_iter().chain(given).collect();
    all.sort_by_key(|piece| piece.from);
    all.into_iter()
        .filter_map(|piece| {
            piece.holder.map(|holder| {
                (
                    piece.from as ShardKey,
                    piece.to as ShardKey,
                    parts[holder].0.clone(),
                )
            })
        })
        .fold(ShardPlacement::new(), |mut cast, (from, to, name)| {
            match cast.last_mut() {
                Some(last) if last.2 == name && last.1 as u32 + 1 == from as u32 => last.1 = to,
                _ => cast.push((from, to, name)),
            }
            cast
        })
}

/// Before anything is known of what is asked: stripes over all keys, each cut by the shares, as busy keys lie together.
pub fn initial_placement(parts: &[BackendCapacity], count: u32) -> ShardPlacement {
    let can: f64 = parts.iter().map(|(_, can)| can).sum();
    let edge = |stripe: u32, share: f64| {
        ((stripe as f64 + share) * KEY_COUNT / count as f64).round() as u32
    };
    let cuts = (0..count).flat_map(|stripe| {
        let upto = parts.iter().scan(0.0, move |sum, (name, own)| {
            let from = *sum;
            *sum += own / can;
            Some((edge(stripe, from), edge(stripe, *sum), name.clone()))
        });
        upto.collect::<Vec<_>>()
    });
    cuts.filter(|(from, end, _)| from < end)
        .map(|(from, end, name)| (from as ShardKey, (end - 1) as ShardKey, name))
        .collect()
}

#[cfg(test)]
mod tests {
    use model::cluster_state::shard_map;

    fn part(name: &str, can: f64) -> super::BackendCapacity {
        (name.to_string(), can)
    }

    fn of(rows: &shard_map::ShardMap, name: &str) -> u32 {
        rows.iter()
            .filter(|row| row.holder.as_deref() == Some(name))
            .map(|held| (held.last_key - held.first_key) as u32 + 1)
            .sum()
    }

    #[test]
    fn every_backend_gets_its_share_and_only_what_must_moves() {
        let one = shard_map::reassign(
            shard_map::unassigned(),
            &super::rebalance(
                &shard_map::unassigned(),
                &[],
                &[part("a", 2.0), part("b", 1.0), part("c", 1.0)],
                0.0,
            ),
            5,
        );
        assert_eq!(
            (of(&one, "a"), of(&one, "b"), of(&one, "c")),
            (32_768, 16_384, 16_384)
        );
        let two = shard_map::reassign(
            one.clone(),
            &super::rebalance(&one, &[], &[part("a", 2.0), part("c", 1.0)], 0.0),
            9,
        );
        assert_eq!(of(&two, "a") + of(&two, "c"), 65_536);
        let moved: u32 = two
            .iter()
            .filter(|row| row.fencing_token == 9)
            .map(|row| (row.last_key - row.first_key) as u32 + 1)
            .sum();
        assert!(
            (16_384..=16_400).contains(&moved),
            "{moved} keys moved, b held 16384"
        );
        let three = super::rebalance(&two, &[], &[part("a", 2.0), part("c", 1.0)], 0.05);
        assert_eq!(
            shard_map::reassign(two.clone(), &three, 11),
            two,
            "nothing moves without a reason"
        );
    }

    #[test]
    fn an_initial_placement_covers_all_keys_by_shares() {
        let rows = shard_map::reassign(
            shard_map::unassigned(),
            &super::initial_placement(&[part("a", 2.0), part("b", 1.0), part("c", 1.0)], 7),
            5,
        );
        assert_eq!(rows.len(), 21);
        assert_eq!(
            (of(&rows, "a") as i64 - 32_768).abs() < 8,
            of(&rows, "a") + of(&rows, "b") + of(&rows, "c") == 65_536
        );
    }

    #[test]
    fn a_busy_range_is_spread_and_the_slow_get_less() {
        let parts = [part("a", 1.0), part("b", 1.0), part("c", 0.5)];
        let even = shard_map::reassign(
            shard_map::unassigned(),
            &super::rebalance(&shard_map::unassigned(), &[], &parts, 0.0),
            5,
        );
        // Half of all that is asked for lies within 200 keys, in ranges of ten.
        let busy = (0..20u16).map(|at| (100 + at * 10, 109 + at * 10, 5.0));
        let asks: Vec<super::RangeDemand> = [(0, 99, 0.2)]
            .into_iter()
            .chain(busy)
            .chain([(300, 65_535, 100.0)])
            .collect();
        assert!(crate::algorithm::imbalance(&even, &asks, &parts).0 > 0.3);
        let next = shard_map::reassign(
            even.clone(),
            &super::rebalance(&even, &asks, &parts, 0.1),
            9,
        );
        assert!(
            crate::algorithm::imbalance(&next, &asks, &parts).0 < 0.12,
            "{:?}",
            crate::algorithm::imbalance(&next, &asks, &parts)
        );
        let again = super::rebalance(&next, &asks, &parts, 0.15);
        assert_eq!(
            shard_map::reassign(next.clone(), &again, 12),
            next,
            "what is balanced stays"
        );
    }

    #[test]
    fn a_rebalance_covers_all_keys_whatever_the_demand() {
        test_support::drawn::<(u8, Vec<(u16, u8, u8)>)>(200, |(count, asks)| {
            let parts: Vec<super::BackendCapacity> = (0..count % 7 + 1)
                .map(|at| part(&format!("b{at}"), 1.0 + at as f64))
                .collect();
            let mut asks: Vec<super::RangeDemand> = asks
                .iter()
                .map(|(from, size, weight)| {
                    (*from, from.saturating_add(*size as u16), *weight as f64)
                })
                .collect();
            asks.sort_by_key(|(from, ..)| *from);
            let all = asks
                .into_iter()
                .fold(Vec::new(), |mut all: Vec<super::RangeDemand>, ask| {
                    if all.last().is_none_or(|last| last.1 < ask.0) {
                        all.push(ask);
                    }
                    all
                });
            let first = shard_map::reassign(
                shard_map::unassigned(),
                &super::rebalance(&shard_map::unassigned(), &[], &parts, 0.0),
                3,
            );
            let second = super::rebalance(&first, &all, &parts[..parts.len().div_ceil(2)], 0.1);
            let covered: u32 = second
                .iter()
                .map(|(from, to, _)| (to - from) as u32 + 1)
                .sum();
            assert_eq!(covered, 65_536, "{second:?}");
            assert!(
                second
                    .windows(2)
                    .all(|pair| pair[0].1 as u32 + 1 == pair[1].0 as u32)
            );
        });
    }
}
