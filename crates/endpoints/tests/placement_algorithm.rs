//! Tests that placements give each backend its share of the keys and move no key unnecessarily (design section 11.4).

use endpoints::{BackendCapacity, RangeDemand, imbalance, initial_placement, rebalance};
use model::cluster_state::shard_map::{self, ShardMap, ShardRange};

fn count(ranges: &ShardMap, name: &str, keep: impl Fn(&ShardRange) -> bool) -> u32 {
    ranges
        .iter()
        .filter(|range| range.holder.as_deref() == Some(name) && keep(range))
        .map(|range| (range.last_key - range.first_key) as u32 + 1)
        .sum()
}

#[test]
fn a_placement_gives_all_keys_in_proportion_and_moves_as_few_as_it_can() {
    test_support::check_generated::<([u8; 8], [u16; 8], [(u16, u16, u8); 12])>(
        400,
        |(shares, weights, before)| {
            let name = |number: u8| format!("backend-{}", number % 8);
            // A random earlier placement, with ranges that have no holder or whose holder is gone.
            let held = before.iter().zip(1u64..).fold(
                shard_map::unassigned(),
                |ranges, ((one, other, who), position)| {
                    let range = (*one.min(other), *one.max(other), name(*who));
                    if who % 5 == 0 {
                        shard_map::remove_backend(ranges, &range.2)
                    } else {
                        shard_map::reassign(ranges, &[range], position)
                    }
                },
            );
            let in_transit = held.clone();
            let held: ShardMap = held
                .into_iter()
                .map(|range| ShardRange {
                    pending_releases: Vec::new(),
                    ..range
                })
                .collect();
            let available = (0..8u8).filter(|number| shares[*number as usize] > 100);
            let capacities: Vec<BackendCapacity> = available
                .map(|number| (name(number), 0.5 + weights[number as usize] as f64 / 9.0))
                .collect();
            let placement = rebalance(&held, &[], &capacities, 0.0);
            if capacities.is_empty() {
                return assert!(placement.is_empty());
            }
            assert_eq!(
                (
                    placement.first().map(|range| range.0),
                    placement.last().map(|range| range.1)
                ),
                (Some(0), Some(65_535))
            );
            assert!(
                placement
                    .windows(2)
                    .all(|pair| pair[0].1 as u32 + 1 == pair[1].0 as u32),
                "each key has exactly one range: {placement:?}"
            );
            let moved = shard_map::reassign(held.clone(), &placement, 100);
            let total: f64 = capacities.iter().map(|(_, share)| share).sum();
            capacities.iter().for_each(|(name, share)| {
                let (has, wanted, had) = (
                    count(&moved, name, |_| true),
                    share / total * 65_536.0,
                    count(&held, name, |_| true),
                );
                assert!(
                    (has as f64 - wanted).abs() <= 1.0,
                    "{name} has {has} keys, its share is {wanted}"
                );
                let kept = count(&moved, name, |range| range.fencing_token < 100);
                assert_eq!(kept, had.min(has), "{name} keeps the keys within its share");
            });
            // Without pending releases, and with adjacent ranges of one holder merged.
            let settled = shard_map::reassign(
                moved
                    .iter()
                    .cloned()
                    .map(|range| ShardRange {
                        pending_releases: Vec::new(),
                        ..range
                    })
                    .collect(),
                &[],
                0,
            );
            assert_eq!(
                shard_map::reassign(
                    settled.clone(),
                    &rebalance(&settled, &[], &capacities, 0.0),
                    101
                ),
                settled,
                "no keys move without a reason"
            );
            // A range in transit to an available backend is not moved again.
            let next = shard_map::reassign(
                in_transit.clone(),
                &rebalance(&in_transit, &[], &capacities, 0.0),
                102,
            );
            let stays = |range: &&ShardRange| {
                !range.pending_releases.is_empty()
                    && capacities
                        .iter()
                        .any(|(name, _)| range.holder.as_ref() == Some(name))
            };
            in_transit.iter().filter(stays).for_each(|range| {
                let held = shard_map::range_of(&next, range.first_key).expect("a range");
                assert_eq!(
                    (&held.holder, held.fencing_token),
                    (&range.holder, range.fencing_token),
                    "{range:?}"
                );
            });
        },
    );
}

#[test]
fn load_in_transit_is_counted_by_its_weight() {
    let capacities: Vec<BackendCapacity> = ["a", "b"].map(|name| (name.to_string(), 1.0)).into();
    let held = shard_map::reassign(
        shard_map::unassigned(),
        &[(0, 32_767, "a".into()), (32_768, 65_535, "b".into())],
        3,
    );
    let demand = [(0, 99, 50.0), (100, 32_767, 10.0), (32_768, 65_535, 40.0)];
    let in_transit_share = |ranges: &ShardMap| imbalance(ranges, &demand, &capacities).in_transit;
    assert_eq!(in_transit_share(&held), 0.0);
    let moved = shard_map::reassign(held, &[(0, 99, "b".into())], 5);
    assert!(
        (0.45..0.55).contains(&in_transit_share(&moved)),
        "the range has few keys but half of all demand: {}",
        in_transit_share(&moved)
    );
    assert_eq!(
        in_transit_share(&shard_map::release(
            moved,
            "a",
            5,
            &[(0, 99, String::new())]
        )),
        0.0,
        "the range is released"
    );
}

fn capacity(name: &str, amount: f64) -> BackendCapacity {
    (name.to_string(), amount)
}

fn keys_of(ranges: &ShardMap, name: &str) -> u32 {
    ranges
        .iter()
        .filter(|range| range.holder.as_deref() == Some(name))
        .map(|held| (held.last_key - held.first_key) as u32 + 1)
        .sum()
}

#[test]
fn every_backend_gets_its_share_and_only_necessary_keys_move() {
    let one = shard_map::reassign(
        shard_map::unassigned(),
        &rebalance(
            &shard_map::unassigned(),
            &[],
            &[capacity("a", 2.0), capacity("b", 1.0), capacity("c", 1.0)],
            0.0,
        ),
        5,
    );
    assert_eq!(
        (keys_of(&one, "a"), keys_of(&one, "b"), keys_of(&one, "c")),
        (32_768, 16_384, 16_384)
    );
    let two = shard_map::reassign(
        one.clone(),
        &rebalance(&one, &[], &[capacity("a", 2.0), capacity("c", 1.0)], 0.0),
        9,
    );
    assert_eq!(keys_of(&two, "a") + keys_of(&two, "c"), 65_536);
    let moved: u32 = two
        .iter()
        .filter(|range| range.fencing_token == 9)
        .map(|range| (range.last_key - range.first_key) as u32 + 1)
        .sum();
    assert!(
        (16_384..=16_400).contains(&moved),
        "{moved} keys moved, b held 16384"
    );
    let three = rebalance(&two, &[], &[capacity("a", 2.0), capacity("c", 1.0)], 0.05);
    assert_eq!(
        shard_map::reassign(two.clone(), &three, 11),
        two,
        "no keys move without a reason"
    );
}

#[test]
fn an_initial_placement_covers_all_keys_by_shares() {
    let ranges = shard_map::reassign(
        shard_map::unassigned(),
        &initial_placement(
            &[capacity("a", 2.0), capacity("b", 1.0), capacity("c", 1.0)],
            7,
        ),
        5,
    );
    assert_eq!(ranges.len(), 21);
    let [first, second, third] = ["a", "b", "c"].map(|name| keys_of(&ranges, name));
    assert!(
        (first as i64 - 32_768).abs() < 8,
        "a has half of the capacity: {first}"
    );
    assert_eq!(first + second + third, 65_536);
}

#[test]
fn a_busy_range_is_spread_and_slow_backends_get_less() {
    let capacities = [capacity("a", 1.0), capacity("b", 1.0), capacity("c", 0.5)];
    let even = shard_map::reassign(
        shard_map::unassigned(),
        &rebalance(&shard_map::unassigned(), &[], &capacities, 0.0),
        5,
    );
    // Half of all demand is for 200 keys, in ranges of ten.
    let busy = (0..20u16).map(|at| (100 + at * 10, 109 + at * 10, 5.0));
    let demand: Vec<RangeDemand> = [(0, 99, 0.2)]
        .into_iter()
        .chain(busy)
        .chain([(300, 65_535, 100.0)])
        .collect();
    assert!(imbalance(&even, &demand, &capacities).excess > 0.3);
    let next = shard_map::reassign(
        even.clone(),
        &rebalance(&even, &demand, &capacities, 0.1),
        9,
    );
    assert!(
        imbalance(&next, &demand, &capacities).excess < 0.12,
        "{:?}",
        imbalance(&next, &demand, &capacities)
    );
    let again = rebalance(&next, &demand, &capacities, 0.15);
    assert_eq!(
        shard_map::reassign(next.clone(), &again, 12),
        next,
        "a balanced placement does not change"
    );
}

#[test]
fn a_rebalance_covers_all_keys_whatever_the_demand() {
    test_support::check_generated::<(u8, Vec<(u16, u8, u8)>)>(200, |(count, demand)| {
        let capacities: Vec<BackendCapacity> = (0..count % 7 + 1)
            .map(|at| capacity(&format!("b{at}"), 1.0 + at as f64))
            .collect();
        let mut demand: Vec<RangeDemand> = demand
            .iter()
            .map(|(from, size, weight)| (*from, from.saturating_add(*size as u16), *weight as f64))
            .collect();
        demand.sort_by_key(|(from, ..)| *from);
        let all = demand
            .into_iter()
            .fold(Vec::new(), |mut all: Vec<RangeDemand>, range| {
                if all.last().is_none_or(|last| last.1 < range.0) {
                    all.push(range);
                }
                all
            });
        let first = shard_map::reassign(
            shard_map::unassigned(),
            &rebalance(&shard_map::unassigned(), &[], &capacities, 0.0),
            3,
        );
        let second = rebalance(
            &first,
            &all,
            &capacities[..capacities.len().div_ceil(2)],
            0.1,
        );
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
