//! The same calls in any order end in the same items (design 11.1).

use crate::fixtures::*;
use model::ClusterState;
use model::cluster_state::{ItemBody, ItemCall, ItemKind};

/// What version `version` of an item says is the same whoever sends it. None of it is ever at fault.
fn one(kind: u8, name: u8, version: u8) -> ItemCall {
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

fn played(calls: &[ItemCall]) -> ClusterState {
    let mut state = ClusterState::default();
    apply_call(
        &mut state,
        both(
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
fn any_order_of_the_same_calls_ends_in_the_same_items() {
    test_support::drawn::<[([(u8, u8, u8); 3], u32, u32); 12]>(300, |drawn| {
        let call = |parts: &[(u8, u8, u8); 3]| {
            parts
                .iter()
                .map(|(kind, name, version)| one(*kind, *name, *version))
                .fold(ItemCall::default(), both)
        };
        let ordered = |key: fn(&(u32, u32)) -> u32| {
            let mut calls: Vec<_> = drawn
                .iter()
                .map(|(parts, x, y)| (key(&(*x, *y)), call(parts)))
                .collect();
            calls.sort_by_key(|(key, _)| *key);
            played(&calls.into_iter().map(|(_, call)| call).collect::<Vec<_>>())
        };
        let (forth, other) = (ordered(|(x, _)| *x), ordered(|(_, y)| *y));
        assert_eq!(forth.items, other.items);
        let snapshot = |state: &ClusterState| {
            model::cluster_state::StateSnapshot::default().updated(true, 1, state.full_deltas())
        };
        assert_eq!(
            snapshot(&forth),
            snapshot(&other),
            "and followers hold the same"
        );
        // Sent once more, whole or in part, they change nothing.
        let mut again = forth.clone();
        drawn
            .iter()
            .for_each(|(parts, ..)| drop(apply_call(&mut again, call(parts))));
        assert_eq!(again, forth);
        let highest = forth.items.iter().all(|((kind, name), item)| {
            let said = drawn.iter().flat_map(|(parts, ..)| {
                parts
                    .iter()
                    .map(|(kind, name, version)| one(*kind, *name, *version))
            });
            let of = said.flat_map(|call| {
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
            let most = of
                .filter(|(of, named, ..)| of == kind && named == name)
                .max_by_key(|(_, _, version, _)| *version);
            most.is_none_or(|(_, _, version, body)| (version, &body) == (item.version, &item.body))
        });
        assert!(highest, "the highest version of each holds");
    });
}
