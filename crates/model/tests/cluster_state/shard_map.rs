//! Compares shard ranges with a model that tracks sample keys one by one (design 11.4).

use std::collections::BTreeMap;

use model::cluster_state::shard_map::{self, ShardMap, ShardRange};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

type PendingReleases = Vec<(String, u64)>;
/// The expected state of one key: holder, fencing token, pending releases and handover token.
type KeyState = (Option<String>, u64, PendingReleases, String);

fn edges(one: u8, other: u8) -> (u16, u16) {
    // There are few possible edges, so that spans meet often; the first and the last key are among
    // them.
    let edge = |at: u8| (at % 9) as u32 * 8_192;
    let (from, to) = (edge(one).min(edge(other)), edge(one).max(edge(other)));
    (
        from.min(65_535) as u16,
        to.saturating_sub((to > from) as u32).min(65_535) as u16,
    )
}

fn keys() -> Vec<u16> {
    (0..=8u32)
        .flat_map(|edge| {
            [
                edge * 8_192,
                edge * 8_192 + 1,
                (edge * 8_192).saturating_sub(1),
            ]
        })
        .filter(|key| *key <= 65_535)
        .map(|key| key as u16)
        .collect()
}

fn key_state(range: &ShardRange) -> KeyState {
    (
        range.holder.clone(),
        range.fencing_token,
        range.pending_releases.clone(),
        range.handover_token.clone(),
    )
}

fn assert_well_formed(ranges: &ShardMap) {
    assert_eq!(
        (
            ranges.first().map(|range| range.first_key),
            ranges.last().map(|range| range.last_key)
        ),
        (Some(0), Some(65_535))
    );
    assert!(ranges.iter().all(|range| range.first_key <= range.last_key));
    assert!(
        ranges
            .windows(2)
            .all(|pair| pair[0].last_key as u32 + 1 == pair[1].first_key as u32),
        "the ranges have gaps or overlap: {ranges:?}"
    );
    assert!(
        ranges
            .windows(2)
            .all(|pair| key_state(&pair[0]) != key_state(&pair[1])),
        "equal neighbours are not merged: {ranges:?}"
    );
}

/// Applies one change to a shard map and the same change to the model of each key.
fn step(
    position: u64,
    held: ShardMap,
    keys: &mut BTreeMap<u16, KeyState>,
    (kind, who, one, other): (u8, u8, u8, u8),
) -> ShardMap {
    let (name, (from, to)) = (NAMES[who as usize % 4], edges(one, other));
    let (known_through, token) = (
        position.saturating_sub((who / 4 % 6) as u64),
        format!("token-{position}"),
    );
    let fencing_token = shard_map::range_of(&held, from)
        .map(|range| range.fencing_token - (who > 200) as u64 * range.fencing_token.min(1))
        .unwrap_or(0);
    keys.iter_mut()
        .for_each(|(key, (holder, at, pending, handed_over))| {
            let inside = (from..=to).contains(key);
            match kind % 6 {
                0..=2 if inside && holder.as_deref() != Some(name) => {
                    pending.extend(holder.replace(name.into()).map(|old| (old, position)));
                    pending.retain(|(earlier, _)| earlier != name);
                    *at = position;
                }
                3 if inside => {
                    if pending
                        .iter()
                        .any(|(earlier, lost_at)| earlier == name && *lost_at <= known_through)
                    {
                        *handed_over = token.clone();
                    }
                    pending
                        .retain(|(earlier, lost_at)| earlier != name || *lost_at > known_through);
                }
                4 if inside && *at == fencing_token => pending.clear(),
                5 => {
                    if holder.as_deref() == Some(name)
                        || pending.iter().any(|(earlier, _)| earlier == name)
                    {
                        handed_over.clear();
                    }
                    holder.take_if(|held| held == name);
                    pending.retain(|(earlier, _)| earlier != name);
                }
                _ => {}
            }
        });
    match kind % 6 {
        0..=2 => shard_map::reassign(held, &[(from, to, name.into())], position),
        3 => shard_map::release(held, name, known_through, &[(from, to, token)]),
        4 => shard_map::expire_releases(held, &[(from, to, fencing_token)]),
        _ => shard_map::remove_backend(held, name),
    }
}

#[test]
fn ranges_match_a_per_key_model_and_fencing_tokens_only_grow() {
    test_support::check_generated::<[(u8, u8, u8, u8); 48]>(400, |steps| {
        let mut held = shard_map::unassigned();
        let mut key_states: BTreeMap<u16, KeyState> = keys()
            .into_iter()
            .map(|key| (key, (None, 0, Vec::new(), String::new())))
            .collect();
        steps.iter().zip(1u64..).for_each(|(drawn, position)| {
            let next = step(position, held.clone(), &mut key_states, *drawn);
            assert_well_formed(&next);
            key_states.iter().for_each(|(key, expected)| {
                let range = |ranges| {
                    shard_map::range_of(ranges, *key)
                        .expect("every key has a range")
                        .clone()
                };
                assert_eq!(
                    &key_state(&range(&next)),
                    expected,
                    "key {key} after {drawn:?} at {position}"
                );
                assert!(
                    range(&next).fencing_token >= range(&held).fencing_token,
                    "a fencing token decreased"
                );
                let moved = range(&next)
                    .holder
                    .is_some_and(|holder| range(&held).holder != Some(holder));
                assert!(
                    !moved
                        || range(&next).fencing_token == position
                            && range(&next).fencing_token > range(&held).fencing_token,
                    "a new holder has a new fencing token"
                );
            });
            let changes = shard_map::diff(&held, &next);
            assert_eq!(
                shard_map::apply_diff(held.clone(), changes),
                next,
                "applying the diff to the old ranges gives the new ones"
            );
            held = next;
        });
    });
}

#[test]
fn a_release_counts_only_up_to_its_known_position() {
    let all = |name: &str| [(0, u16::MAX, name.to_string())];
    let moved = |ranges: ShardMap, name: &str, at: u64| shard_map::reassign(ranges, &all(name), at);
    // Backend `a` lost the keys at 5, regained them, and lost them again at 9.
    let back = moved(
        moved(moved(shard_map::unassigned(), "a", 3), "b", 5),
        "a",
        7,
    );
    assert_eq!(
        back[0].pending_releases,
        [("b".to_string(), 7)],
        "the backend holds the keys that it lost at 5 again"
    );
    let held = moved(back, "c", 9);
    let late = shard_map::release(held, "a", 8, &[(0, u16::MAX, "old".into())]);
    assert_eq!(
        late[0].pending_releases,
        [("b".to_string(), 7), ("a".to_string(), 9)],
        "a release known through 8 does not cover the loss at 9"
    );
    let now = shard_map::release(late, "a", 9, &[(0, u16::MAX, "new".into())]);
    assert_eq!(
        (
            now[0].pending_releases.len(),
            now[0].handover_token.as_str()
        ),
        (1, "new")
    );
    assert_eq!(
        shard_map::expire_releases(now.clone(), &[(0, u16::MAX, 7)]),
        now,
        "the expiry is for another fencing token"
    );
}
