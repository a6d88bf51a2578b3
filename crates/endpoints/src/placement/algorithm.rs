//! Assigns the keys of a service to its backends by the demand for each key and the capacity of each backend, and moves
//! as few keys as possible (design section 11.4). Performs no I/O.

use std::collections::HashMap;

use model::BackendName;
use model::cluster_state::{ShardKey, ShardMap, ShardRange};

/// A backend and its capacity, in any unit that is the same for all backends.
pub type BackendCapacity = (BackendName, f64);

/// First key, last key and demand of a range, in any unit that is the same for all ranges.
pub type RangeDemand = (ShardKey, ShardKey, f64);

/// First key, last key and holder of each range, in key order and without gaps.
pub type ShardPlacement = Vec<(ShardKey, ShardKey, BackendName)>;

/// The distance of a placement from a balanced one.
#[derive(Clone, Debug, PartialEq)]
pub struct Imbalance {
    /// Excess of the busiest backend over its share, as a fraction of the share: 0.5 at one and a half times the share.
    pub excess: f64,
    /// Load of each backend, in the order of the capacities and the unit of the demand.
    pub loads: Vec<f64>,
    /// Fraction of all load that is on ranges whose earlier holders have not released them, from 0 to 1.
    pub in_transit: f64,
}

/// Fraction of all demand that is spread evenly over all keys, so that keys without requests are distributed too.
const BASELINE_SHARE: f64 = 0.04;
/// Number of keys of a service.
const KEY_COUNT: f64 = 65_536.0;
/// Upper bound of [`Balancer::minimum_move`], as a fraction of a range's weight; the tolerance may require a lower one.
const MAX_MINIMUM_MOVE: f64 = 0.05;

#[derive(Clone, Debug)]
struct WeightedRange {
    first_key: u32,
    last_key: u32,
    weight: f64,
    /// Index of the holder in the list of capacities.
    holder: Option<usize>,
    /// Whether some earlier holder has not released the range yet; such a range is not moved again.
    in_transit: bool,
}

impl WeightedRange {
    fn key_count(&self) -> u32 {
        self.last_key - self.first_key + 1
    }

    /// Splits off a lower part of about this weight and returns it with the rest. Single keys are not split.
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

/// Demand of each range, and the baseline that is spread over all keys.
struct Demand<'a> {
    /// In key order and without overlaps.
    ranges: &'a [RangeDemand],
    total: f64,
}

impl<'a> Demand<'a> {
    fn new(ranges: &'a [RangeDemand]) -> Demand<'a> {
        let total: f64 = ranges.iter().map(|(.., weight)| weight).sum();
        // Without any demand, each key has the weight 1.
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

    /// Splits a range of a shard map where the demand changes.
    fn split_by_demand(&self, range: &ShardRange, holder: Option<usize>) -> Vec<WeightedRange> {
        let in_transit = !range.pending_releases.is_empty();
        let (first_key, last_key) = (range.first_key as u32, range.last_key as u32);
        let weighted = |first_key, last_key, weight| WeightedRange {
            first_key,
            last_key,
            weight,
            holder,
            in_transit,
        };
        // The demand is in key order: starts at the first one that overlaps the range.
        let first_overlap = self
            .ranges
            .partition_point(|(_, end, _)| (*end as u32) < first_key);
        let overlapping = self.ranges[first_overlap..]
            .iter()
            .take_while(|(start, ..)| (*start as u32) <= last_key);
        let mut next = first_key;
        let mut pieces = Vec::new();
        for (start, end, weight) in overlapping {
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

/// Returns the ranges of the shard map in its order, split where the demand changes.
fn weighted_ranges(
    shard_map: &ShardMap,
    demand: &[RangeDemand],
    capacities: &[BackendCapacity],
) -> Vec<WeightedRange> {
    let demand = Demand::new(demand);
    let indices: HashMap<&str, usize> = capacities
        .iter()
        .enumerate()
        .map(|(index, (name, _))| (name.as_str(), index))
        .collect();
    let mut ranges = Vec::new();
    for range in shard_map {
        let holder = range
            .holder
            .as_deref()
            .and_then(|name| indices.get(name).copied());
        ranges.extend(demand.split_by_demand(range, holder));
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

/// Returns the imbalance of the current placement. `demand` is in key order and has no overlaps.
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
    let in_transit_weight: f64 = ranges
        .iter()
        .filter(|range| range.in_transit)
        .map(|range| range.weight)
        .sum();
    let total = loads.iter().sum::<f64>().max(f64::EPSILON);
    Imbalance {
        excess: busiest / mean.max(f64::EPSILON) - 1.0,
        loads,
        in_transit: in_transit_weight / total,
    }
}

/// Distributes all keys in proportion to the capacities, in whole keys.
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

/// Returns a placement of all keys. A backend that exceeds its share by no more than the fraction `tolerance` keeps its
/// ranges. Any greater excess and ranges without a holder are assigned to the backends that are furthest below their
/// shares. The placement is empty if no backend has any capacity.
///
/// `demand` is in key order and has no overlaps; if it is empty, all keys have the same weight.
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
    let assigned = balancer.assign(free);
    let mut placed: Vec<WeightedRange> = kept.into_iter().chain(assigned).collect();
    placed.sort_by_key(|range| range.first_key);
    merge_adjacent(&placed, capacities)
}

/// The weights that each backend should hold and holds while keys are moved.
struct Balancer {
    /// Weight that each backend should hold.
    shares: Vec<f64>,
    /// Weight that each backend holds.
    held: Vec<f64>,
    /// Excess over its share that a backend may keep, as a fraction of the share.
    tolerance: f64,
    /// Minimum weight that is moved, as a fraction of a range's weight, so that ranges are not split for small
    /// differences. It is 0 if the tolerance is 0: then keys are moved one by one.
    minimum_move: f64,
}

impl Balancer {
    /// Returns the ranges that stay with their holders, and those that are free for another backend.
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
            let excess = self.held[holder] - self.shares[holder];
            // Moving very little load is not worth the pause in which no backend holds the range.
            let is_small = excess <= self.shares[holder] * self.tolerance
                || excess < range.weight * self.minimum_move;
            if range.in_transit || is_small {
                kept.push(range);
                continue;
            }
            let (low, high) = range.split(excess);
            if let Some(low) = low {
                self.held[holder] -= low.weight;
                free.push(low);
            }
            kept.extend(high);
        }
        (kept, free)
    }

    /// Assigns the free ranges, the heaviest first, each to the backend that is furthest below its share. A range that
    /// does not fit is split.
    fn assign(&mut self, mut free: Vec<WeightedRange>) -> Vec<WeightedRange> {
        free.sort_by(|one, other| one.weight.total_cmp(&other.weight));
        let mut assigned = Vec::new();
        while let Some(range) = free.pop() {
            let Some(receiver) = self.furthest_below_share() else {
                break;
            };
            let deficit = (self.shares[receiver] - self.held[receiver]).max(0.0);
            let fits = range.weight <= deficit * (1.0 + 4.0 * self.minimum_move)
                || deficit < range.weight * 2.0 * self.minimum_move;
            let (low, high) = if fits {
                (Some(range), None)
            } else {
                range.split(deficit)
            };
            // A single key is never split; if it does not fit, it is assigned as a whole.
            let (assigned_part, rest) = if low.is_some() {
                (low, high)
            } else {
                (high, None)
            };
            if let Some(range) = assigned_part {
                self.held[receiver] += range.weight;
                assigned.push(WeightedRange {
                    holder: Some(receiver),
                    ..range
                });
            }
            free.extend(rest);
        }
        assigned
    }

    /// Returns the backend that is furthest below its share, relative to the share.
    fn furthest_below_share(&self) -> Option<usize> {
        let deficit = |index: usize| {
            (self.shares[index] - self.held[index]) / self.shares[index].max(f64::EPSILON)
        };
        (0..self.shares.len()).max_by(|one, other| deficit(*one).total_cmp(&deficit(*other)))
    }
}

/// Merges adjacent ranges with the same holder.
fn merge_adjacent(ranges: &[WeightedRange], capacities: &[BackendCapacity]) -> ShardPlacement {
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

/// Returns the placement to use before any demand is known: `stripe_count` stripes over all keys, each divided in
/// proportion to the capacities. Stripes spread busy keys over the backends, because busy keys are often adjacent.
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
