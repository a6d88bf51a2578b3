//! Who is to hold which keys: by what is requested of each key and how much each back end can do, with as few moves
//! as that allows (design section 11.4). Without input or output.

use std::collections::HashMap;

use model::BackendName;
use model::cluster_state::{ShardKey, ShardMap, ShardRange};

/// A back end and how much it can do, in any unit that is the same for all back ends.
pub type BackendCapacity = (BackendName, f64);

/// First key and last key of a range and how much is requested of it, in any unit that is the same for all ranges.
pub type RangeDemand = (ShardKey, ShardKey, f64);

/// First key, last key and holder of each range, in the order of the keys and without gaps.
pub type ShardPlacement = Vec<(ShardKey, ShardKey, BackendName)>;

/// How far a placement is from an even one.
#[derive(Clone, Debug, PartialEq)]
pub struct Imbalance {
    /// How far the busiest back end is above its share: 0.5 if it has one and a half times its share.
    pub excess: f64,
    /// What each back end is asked for, in the order of the capacities and the unit of the demand.
    pub loads: Vec<f64>,
    /// The part of all load that is on ranges which have not reached their holder yet, from 0 to 1.
    pub in_transit: f64,
}

/// The part of all demand that is spread over all keys alike: keys that nobody has requested yet have to be somewhere
/// too.
const BASELINE_SHARE: f64 = 0.04;
/// The keys of a service.
const KEY_COUNT: f64 = 65_536.0;
/// Where tolerance allows it, ranges smaller than this part of what is to be moved stay whole.
const MAX_MINIMUM_MOVE: f64 = 0.05;

#[derive(Clone, Debug)]
struct WeightedRange {
    first_key: u32,
    last_key: u32,
    weight: f64,
    /// The position of its holder in the list of capacities.
    holder: Option<usize>,
    /// On its way to its holder: it is not moved again before it is there.
    in_transit: bool,
}

impl WeightedRange {
    fn key_count(&self) -> u32 {
        self.last_key - self.first_key + 1
    }

    /// The part of about this weight, from the first key on, and the rest. A key is not divided.
    fn split(self, weight: f64) -> (Option<WeightedRange>, Option<WeightedRange>) {
        let keys = self.key_count() as f64;
        let low_count = (keys * (weight / self.weight).clamp(0.0, 1.0)).round() as u32;
        let weight_of = |count: u32| self.weight * count as f64 / keys;
        let low = (low_count > 0).then(|| WeightedRange {
            last_key: self.first_key + low_count - 1,
            weight: weight_of(low_count),
            ..self.clone()
        });
        let high = (low_count < keys as u32).then(|| WeightedRange {
            first_key: self.first_key + low_count,
            weight: weight_of(keys as u32 - low_count),
            ..self.clone()
        });
        (low, high)
    }
}

/// Demand per range and the baseline that is spread over all keys.
struct Demand<'a> {
    /// In the order of the keys, none overlapping another.
    ranges: &'a [RangeDemand],
    total: f64,
}

impl<'a> Demand<'a> {
    fn new(ranges: &'a [RangeDemand]) -> Demand<'a> {
        let total: f64 = ranges.iter().map(|(.., weight)| weight).sum();
        // Where no demand is known, each key weighs one.
        Demand {
            ranges,
            total: if total > 0.0 {
                total
            } else {
                KEY_COUNT / BASELINE_SHARE
            },
        }
    }

    fn baseline(&self, first_key: u32, last_key: u32) -> f64 {
        self.total * BASELINE_SHARE * (last_key - first_key + 1) as f64 / KEY_COUNT
    }

    /// The range of a shard map, cut where the demand changes.
    fn weigh(&self, range: &ShardRange, holder: Option<usize>) -> Vec<WeightedRange> {
        let in_transit = !range.pending_releases.is_empty();
        let (first_key, last_key) = (range.first_key as u32, range.last_key as u32);
        let weighted = |first_key, last_key, weight| WeightedRange {
            first_key,
            last_key,
            weight,
            holder,
            in_transit,
        };
        // Both are ordered: the first demand that reaches the range, and on from there.
        let reached = self
            .ranges
            .partition_point(|(_, end, _)| (*end as u32) < first_key);
        let within = self.ranges[reached..]
            .iter()
            .take_while(|(start, ..)| (*start as u32) <= last_key);
        let mut next = first_key;
        let mut pieces = Vec::new();
        for (start, end, weight) in within {
            let keys = (*end - *start) as f64 + 1.0;
            let (start, end) = ((*start as u32).max(first_key), (*end as u32).min(last_key));
            if next < start {
                pieces.push(weighted(next, start - 1, self.baseline(next, start - 1)));
            }
            if next <= end {
                let start = start.max(next);
                let share = weight * (end - start + 1) as f64 / keys;
                pieces.push(weighted(start, end, share + self.baseline(start, end)));
                next = end + 1;
            }
        }
        if next <= last_key {
            pieces.push(weighted(next, last_key, self.baseline(next, last_key)));
        }
        pieces
    }
}

/// The ranges of the shard map, in its order, none across two ranges of different demand.
fn weighted_ranges(
    shard_map: &ShardMap,
    demand: &[RangeDemand],
    capacities: &[BackendCapacity],
) -> Vec<WeightedRange> {
    let demand = Demand::new(demand);
    let positions: HashMap<&str, usize> = capacities
        .iter()
        .enumerate()
        .map(|(at, (name, _))| (name.as_str(), at))
        .collect();
    let mut ranges = Vec::new();
    for range in shard_map {
        let holder = range
            .holder
            .as_deref()
            .and_then(|name| positions.get(name).copied());
        ranges.extend(demand.weigh(range, holder));
    }
    ranges
}

fn loads(ranges: &[WeightedRange], backend_count: usize) -> Vec<f64> {
    let mut loads = vec![0.0; backend_count];
    for range in ranges {
        if let Some(holder) = range.holder {
            loads[holder] += range.weight;
        }
    }
    loads
}

fn total_capacity(capacities: &[BackendCapacity]) -> f64 {
    capacities.iter().map(|(_, capacity)| capacity).sum()
}

/// How even the placement is as it stands. `demand` is in the order of the keys and does not overlap.
pub fn imbalance(
    shard_map: &ShardMap,
    demand: &[RangeDemand],
    capacities: &[BackendCapacity],
) -> Imbalance {
    let ranges = weighted_ranges(shard_map, demand, capacities);
    let loads = loads(&ranges, capacities.len());
    let mean = loads.iter().sum::<f64>() / total_capacity(capacities);
    let busiest = loads
        .iter()
        .zip(capacities)
        .map(|(load, (_, own))| load / own)
        .fold(0.0, f64::max);
    let moving: f64 = ranges
        .iter()
        .filter(|range| range.in_transit)
        .map(|range| range.weight)
        .sum();
    let total = loads.iter().sum::<f64>().max(f64::EPSILON);
    Imbalance {
        excess: busiest / mean.max(f64::EPSILON) - 1.0,
        loads,
        in_transit: moving / total,
    }
}

/// Whole keys in proportion to the capacities, all of them given.
fn key_quotas(capacities: &[BackendCapacity], total_capacity: f64) -> Vec<f64> {
    let keys_up_to = |capacity: f64| (capacity / total_capacity * KEY_COUNT).round();
    let mut sum = 0.0;
    let mut quotas = Vec::with_capacity(capacities.len());
    for (_, capacity) in capacities {
        let before = sum;
        sum += capacity;
        quotas.push(keys_up_to(sum) - keys_up_to(before));
    }
    quotas
}

/// A placement of all keys. A back end that is no more than `tolerance` (0.1: a tenth) above its share keeps what it
/// holds; what is above it, and what nobody holds, goes to those furthest below their shares. Empty if no back end
/// can do anything.
///
/// `demand` is in the order of the keys and does not overlap; if it is empty, all keys count alike.
pub fn rebalance(
    shard_map: &ShardMap,
    demand: &[RangeDemand],
    capacities: &[BackendCapacity],
    tolerance: f64,
) -> ShardPlacement {
    let total_capacity = total_capacity(capacities);
    if total_capacity <= 0.0 {
        return Vec::new();
    }
    let mut ranges = weighted_ranges(shard_map, demand, capacities);
    let total_weight: f64 = ranges.iter().map(|range| range.weight).sum();
    let shares = match demand.is_empty() {
        false => capacities
            .iter()
            .map(|(_, own)| total_weight * own / total_capacity)
            .collect(),
        true => key_quotas(capacities, total_capacity),
    };
    let mut balancer = Balancer {
        shares,
        held: loads(&ranges, capacities.len()),
        tolerance,
        minimum_move: tolerance.min(MAX_MINIMUM_MOVE),
    };
    ranges.sort_by_key(|range| range.first_key);
    let (kept, free) = balancer.free_excess(ranges);
    let given = balancer.assign(free);
    let mut placed: Vec<WeightedRange> = kept.into_iter().chain(given).collect();
    placed.sort_by_key(|range| range.first_key);
    merge_neighbours(&placed, capacities)
}

/// What each back end should hold and holds while keys are moved.
struct Balancer {
    /// The weight that each back end should hold.
    shares: Vec<f64>,
    /// The weight that each back end holds.
    held: Vec<f64>,
    /// How far above its share a back end may be, as a part of its share.
    tolerance: f64,
    /// What is moved at least, as a part of a range. With a tolerance of 0 keys are moved one by one.
    minimum_move: f64,
}

impl Balancer {
    /// The ranges that stay where they are, and those that are free for another back end.
    fn free_excess(
        &mut self,
        ranges: Vec<WeightedRange>,
    ) -> (Vec<WeightedRange>, Vec<WeightedRange>) {
        let (mut kept, mut free) = (Vec::new(), Vec::new());
        for range in ranges {
            let Some(holder) = range.holder else {
                free.push(range);
                continue;
            };
            let above = self.held[holder] - self.shares[holder];
            // Moving next to nothing is not worth the pause in which nobody holds the range.
            let is_small = above <= self.shares[holder] * self.tolerance
                || above < range.weight * self.minimum_move;
            if range.in_transit || is_small {
                kept.push(range);
                continue;
            }
            let (low, high) = range.split(above);
            if let Some(low) = low {
                self.held[holder] -= low.weight;
                free.push(low);
            }
            kept.extend(high);
        }
        (kept, free)
    }

    /// Gives the free ranges away: the heaviest first, each to whoever has most room; what does not fit is split.
    fn assign(&mut self, mut free: Vec<WeightedRange>) -> Vec<WeightedRange> {
        free.sort_by(|one, other| one.weight.total_cmp(&other.weight));
        let mut given = Vec::new();
        while let Some(range) = free.pop() {
            let Some(taker) = self.most_room() else { break };
            let room = (self.shares[taker] - self.held[taker]).max(0.0);
            let fits = range.weight <= room * (1.0 + 4.0 * self.minimum_move)
                || room < range.weight * 2.0 * self.minimum_move;
            let (low, high) = if fits {
                (Some(range), None)
            } else {
                range.split(room)
            };
            // A single key is never split: if it does not fit, it goes whole.
            let (taken, rest) = if low.is_some() {
                (low, high)
            } else {
                (high, None)
            };
            if let Some(range) = taken {
                self.held[taker] += range.weight;
                given.push(WeightedRange {
                    holder: Some(taker),
                    ..range
                });
            }
            free.extend(rest);
        }
        given
    }

    /// The back end that is furthest below its share, as a part of it.
    fn most_room(&self) -> Option<usize> {
        let room =
            |at: usize| (self.shares[at] - self.held[at]) / self.shares[at].max(f64::EPSILON);
        (0..self.shares.len()).max_by(|one, other| room(*one).total_cmp(&room(*other)))
    }
}

/// One range in place of neighbours with the same holder.
fn merge_neighbours(ranges: &[WeightedRange], capacities: &[BackendCapacity]) -> ShardPlacement {
    let mut placement = ShardPlacement::new();
    for range in ranges {
        let Some(holder) = range.holder else { continue };
        let name = &capacities[holder].0;
        match placement.last_mut() {
            Some((_, last_key, last_holder))
                if last_holder == name && *last_key as u32 + 1 == range.first_key =>
            {
                *last_key = range.last_key as ShardKey;
            }
            _ => placement.push((
                range.first_key as ShardKey,
                range.last_key as ShardKey,
                name.clone(),
            )),
        }
    }
    placement
}

/// The placement before any demand is known: `stripe_count` stripes over all keys, each cut in proportion to the
/// capacities, as busy keys lie together.
pub fn initial_placement(capacities: &[BackendCapacity], stripe_count: u32) -> ShardPlacement {
    let total_capacity = total_capacity(capacities);
    let boundary = |stripe: u32, share: f64| {
        ((stripe as f64 + share) * KEY_COUNT / stripe_count as f64).round() as u32
    };
    let mut placement = ShardPlacement::new();
    for stripe in 0..stripe_count {
        let mut share = 0.0;
        for (name, capacity) in capacities {
            let start = boundary(stripe, share);
            share += capacity / total_capacity;
            let end = boundary(stripe, share);
            if start < end {
                placement.push((start as ShardKey, (end - 1) as ShardKey, name.clone()));
            }
        }
    }
    placement
}
