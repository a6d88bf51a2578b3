//! The same calls in any order produce the same items (design 11.1).

use crate::fixtures::*;
use model::ClusterState;
use model::cluster_state::{ItemBody, ItemCall, ItemKind};

/// Returns a call with one item. Each version of an item always has the same content, and no call
/// is invalid.
fn drawn_call(kind: u8, name: u8, version: u8) -> ItemCall {
    let (name, number, version) = (
        format!("item-{}", name % 3),
        version % 6,
        (version % 6) as u64 + 2,
    );
    let target = format!("service-{}", number % 2);
    match (kind % 4, number) {
        (0 | 1, 1 | 4) => drop_of(ItemKind::Route, &name, version),
        (0 | 1, _) => put(
            &name,
            version,
            route_body(&name, &format!("/{number}/"), &target),
        ),
        (2, _) => put(&target, version, service(number.is_multiple_of(3))),
        _ if number == 3 => drop_of(ItemKind::Limits, "", version),
        _ => put("", version, limits(1_000 + number as u64)),
    }
}

fn state_after(calls: &[ItemCall]) -> ClusterState {
    let mut state = ClusterState::default();
    apply_call(
        &mut state,
        combined(
            put("service-0", 1, service(false)),
            put("service-1", 1, service(true)),
        ),
    );
    calls.iter().for_each(|call| {
        assert_eq!(
            faults(&mut state, call.clone()),
            Vec::<String>::new(),
            "{call:?}"
        )
    });
    state
}

#[test]
fn calls_in_any_order_produce_the_same_items() {
    test_support::check_generated::<[([(u8, u8, u8); 3], u32, u32); 12]>(300, |drawn| {
        let call = |parts: &[(u8, u8, u8); 3]| {
            parts
                .iter()
                .map(|(kind, name, version)| drawn_call(*kind, *name, *version))
                .fold(ItemCall::default(), combined)
        };
        let ordered = |key: fn(&(u32, u32)) -> u32| {
            let mut calls: Vec<_> = drawn
                .iter()
                .map(|(parts, x, y)| (key(&(*x, *y)), call(parts)))
                .collect();
            calls.sort_by_key(|(key, _)| *key);
            state_after(&calls.into_iter().map(|(_, call)| call).collect::<Vec<_>>())
        };
        let (first, second) = (ordered(|(x, _)| *x), ordered(|(_, y)| *y));
        assert_eq!(first.items, second.items);
        let snapshot = |state: &ClusterState| {
            model::cluster_state::StateSnapshot::default().updated(true, 1, state.full_deltas())
        };
        assert_eq!(
            snapshot(&first),
            snapshot(&second),
            "followers have the same state"
        );
        // Repeating the calls as a whole or in part changes nothing.
        let mut again = first.clone();
        drawn
            .iter()
            .for_each(|(parts, ..)| drop(apply_call(&mut again, call(parts))));
        assert_eq!(again, first);
        let highest = first.items.iter().all(|((kind, name), item)| {
            let drawn_calls = drawn.iter().flat_map(|(parts, ..)| {
                parts
                    .iter()
                    .map(|(kind, name, version)| drawn_call(*kind, *name, *version))
            });
            let versions = drawn_calls.flat_map(|call| {
                let puts = call
                    .puts
                    .into_iter()
                    .map(|put| (put.body.kind(), put.name, put.version, Some(put.body)));
                puts.chain(
                    call.drops
                        .into_iter()
                        .map(|(kind, name, version)| (kind, name, version, None::<ItemBody>)),
                )
                .collect::<Vec<_>>()
            });
            let highest_version = versions
                .filter(|(item_kind, item_name, ..)| item_kind == kind && item_name == name)
                .max_by_key(|(_, _, version, _)| *version);
            highest_version
                .is_none_or(|(_, _, version, body)| (version, &body) == (item.version, &item.body))
        });
        assert!(highest, "the highest version of each item wins");
    });
}
