//! Placements of all keys: everyone's share, and no key moved without need (design 11.4).

use model::cluster_state::shard_map::{self, ShardMap};

fn count(rows: &ShardMap, name: &str, keep: impl Fn(&shard_map::ShardRange) -> bool) -> u32 {
    rows.iter()
        .filter(|row| row.holder.as_deref() == Some(name) && keep(row))
        .map(|row| (row.last_key - row.first_key) as u32 + 1)
        .sum()
}

#[test]
fn a_placement_gives_all_keys_in_proportion_and_moves_as_few_as_it_can() {
    test_support::drawn::<([u8; 8], [u16; 8], [(u16, u16, u8); 12])>(
        400,
        |(shares, weights, before)| {
            let name = |number: u8| format!("player-{}", number % 8);
            // Whatever stood before: rows of any cut, some of them nobody's or of someone who is gone.
            let held = before.iter().zip(1u64..).fold(
                shard_map::unassigned(),
                |rows, ((one, other, who), position)| {
                    let row = (*one.min(other), *one.max(other), name(*who));
                    if who % 5 == 0 {
                        shard_map::remove_backend(rows, &row.2)
                    } else {
                        shard_map::reassign(rows, &[row], position)
                    }
                },
            );
            let on_their_way = held.clone();
            let held: ShardMap = held
                .into_iter()
                .map(|row| shard_map::ShardRange {
                    pending_releases: Vec::new(),
                    ..row
                })
                .collect();
            let there = (0..8u8).filter(|number| shares[*number as usize] > 100);
            let parts: Vec<endpoints::BackendCapacity> = there
                .map(|number| (name(number), 0.5 + weights[number as usize] as f64 / 9.0))
                .collect();
            let cast = endpoints::rebalance(&held, &[], &parts, 0.0);
            if parts.is_empty() {
                return assert!(cast.is_empty());
            }
            assert_eq!(
                (cast.first().map(|row| row.0), cast.last().map(|row| row.1)),
                (Some(0), Some(65_535))
            );
            assert!(
                cast.windows(2)
                    .all(|pair| pair[0].1 as u32 + 1 == pair[1].0 as u32),
                "every key once: {cast:?}"
            );
            let moved = shard_map::reassign(held.clone(), &cast, 100);
            let whole: f64 = parts.iter().map(|(_, share)| share).sum();
            parts.iter().for_each(|(name, share)| {
                let (has, wanted, had) = (
                    count(&moved, name, |_| true),
                    share / whole * 65_536.0,
                    count(&held, name, |_| true),
                );
                assert!(
                    (has as f64 - wanted).abs() <= 1.0,
                    "{name} has {has}, its share is {wanted}"
                );
                let kept = count(&moved, name, |row| row.fencing_token < 100);
                assert_eq!(kept, had.min(has), "{name} keeps what fits its share");
            });
            // Nothing owed any more, and neighbours alike joined.
            let rest = shard_map::reassign(
                moved
                    .iter()
                    .cloned()
                    .map(|row| shard_map::ShardRange {
                        pending_releases: Vec::new(),
                        ..row
                    })
                    .collect(),
                &[],
                0,
            );
            assert_eq!(
                shard_map::reassign(
                    rest.clone(),
                    &endpoints::rebalance(&rest, &[], &parts, 0.0),
                    101
                ),
                rest,
                "nothing moves without a reason"
            );
            // A row that has not reached its holder is not sent elsewhere, as long as that one is there.
            let next = shard_map::reassign(
                on_their_way.clone(),
                &endpoints::rebalance(&on_their_way, &[], &parts, 0.0),
                102,
            );
            let stays = |row: &&shard_map::ShardRange| {
                !row.pending_releases.is_empty()
                    && parts
                        .iter()
                        .any(|(name, _)| row.holder.as_ref() == Some(name))
            };
            on_their_way.iter().filter(stays).for_each(|row| {
                let held = shard_map::range_of(&next, row.first_key).expect("a row");
                assert_eq!(
                    (&held.holder, held.fencing_token),
                    (&row.holder, row.fencing_token),
                    "{row:?}"
                );
            });
        },
    );
}

#[test]
fn what_is_on_its_way_is_told_by_its_weight() {
    let parts: Vec<endpoints::BackendCapacity> =
        ["a", "b"].map(|name| (name.to_string(), 1.0)).into();
    let held = shard_map::reassign(
        shard_map::unassigned(),
        &[(0, 32_767, "a".into()), (32_768, 65_535, "b".into())],
        3,
    );
    let asks = [(0, 99, 50.0), (100, 32_767, 10.0), (32_768, 65_535, 40.0)];
    let moving = |rows: &ShardMap| endpoints::imbalance(rows, &asks, &parts).2;
    assert_eq!(moving(&held), 0.0);
    let moved = shard_map::reassign(held, &[(0, 99, "b".into())], 5);
    assert!(
        (0.45..0.55).contains(&moving(&moved)),
        "few keys, and half of all that is asked for: {}",
        moving(&moved)
    );
    assert_eq!(
        moving(&shard_map::release(
            moved,
            "a",
            5,
            &[(0, 99, String::new())]
        )),
        0.0,
        "it has come to its holder"
    );
}
