//! Two operators using one version number, and repeated calls: exactly one content of a version is
//! ever confirmed, and a confirmed content is never rejected (design 11.1).

use std::collections::BTreeMap;
use std::ops::Range;

use crate::fixtures::*;
use model::cluster_state::{ClusterOperation, ClusterReport, ItemCall, ItemKind};
use model::{ClusterState, Outcome};

/// Returns a route call whose content depends on the prefix, as different operators write it.
fn route_call(name: &str, version: u64, prefix: &str) -> ItemCall {
    let mut call = put(name, version, route_body("shop", prefix, "seat"));
    call.puts[0].text = format!(r#"{{"path_prefix":"{prefix}","timeout":"1s"}}"#);
    call
}

fn confirmed(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Accepted { .. } | Outcome::Unchanged { .. }
    )
}

fn conflicts_of(outcome: Outcome) -> Vec<(ItemKind, String, u64, u64)> {
    let Outcome::Conflict { conflicts } = outcome else {
        panic!("expected a conflict: {outcome:?}")
    };
    conflicts
        .into_iter()
        .map(|conflict| {
            (
                conflict.kind,
                conflict.name,
                conflict.sent_version,
                conflict.current_version,
            )
        })
        .collect()
}

#[test]
fn only_the_first_of_two_contents_under_one_version_is_confirmed() {
    let mut state = sample_state();
    assert!(confirmed(&apply_call(
        &mut state,
        route_call("sell", 7, "/one/")
    )));
    let before = state.clone();
    // Nothing of the call takes effect, although its other item is new.
    let second = combined(
        route_call("sell", 7, "/two/"),
        route_call("buy", 7, "/buy/"),
    );
    assert_eq!(
        conflicts_of(apply_call(&mut state, second)),
        [(ItemKind::Route, "sell".to_string(), 7, 7)]
    );
    assert_eq!(state, before);
    assert!(
        state.items[&(ItemKind::Route, "sell".to_string())]
            .text
            .contains("/one/")
    );
}

#[test]
fn a_drop_and_a_put_under_one_version_conflict() {
    let mut state = sample_state();
    assert!(confirmed(&apply_call(
        &mut state,
        route_call("sell", 7, "/one/")
    )));
    assert_eq!(
        conflicts_of(apply_call(&mut state, drop_of(ItemKind::Route, "sell", 7))),
        [(ItemKind::Route, "sell".to_string(), 7, 7)]
    );
    assert!(confirmed(&apply_call(
        &mut state,
        drop_of(ItemKind::Route, "sell", 9)
    )));
    assert!(
        confirmed(&apply_call(&mut state, drop_of(ItemKind::Route, "sell", 9))),
        "the same drop again"
    );
    assert_eq!(
        conflicts_of(apply_call(&mut state, route_call("sell", 9, "/one/"))),
        [(ItemKind::Route, "sell".to_string(), 9, 9)]
    );
}

#[test]
fn one_item_with_two_contents_under_one_version_in_one_call_is_a_conflict() {
    let mut state = sample_state();
    let before = state.clone();
    let call = combined(
        route_call("sell", 7, "/one/"),
        route_call("sell", 7, "/two/"),
    );
    assert_eq!(
        conflicts_of(apply_call(&mut state, call)),
        [(ItemKind::Route, "sell".to_string(), 7, 7)]
    );
    assert_eq!(state, before);
    assert!(confirmed(&apply_call(
        &mut state,
        combined(
            route_call("sell", 7, "/one/"),
            route_call("sell", 7, "/one/")
        )
    )));
}

#[test]
fn content_that_differs_only_in_white_space_or_order_is_a_repeat() {
    let mut state = sample_state();
    assert!(confirmed(&apply_call(
        &mut state,
        route_call("sell", 7, "/one/")
    )));
    let mut again = route_call("sell", 7, "/one/");
    again.puts[0].text = r#"{ "timeout": "1s", "path_prefix": "/one/" }"#.into();
    assert!(confirmed(&apply_call(&mut state, again)));
}

#[test]
fn an_accepted_call_is_confirmed_again_after_newer_versions_and_snapshots() {
    let mut state = sample_state();
    let first = combined(
        route_call("sell", 7, "/one/"),
        route_call("buy", 7, "/buy/"),
    );
    assert!(confirmed(&apply_call(&mut state, first.clone())));
    for version in 8..200 {
        assert!(confirmed(&apply_call(
            &mut state,
            route_call("sell", version, &format!("/{version}/"))
        )));
        state = ClusterState::from_bytes(&state.to_bytes()).expect("a snapshot");
        assert!(
            confirmed(&apply_call(&mut state, first.clone())),
            "the first call repeated after version {version}"
        );
    }
    // A repeat of a recent superseded version is still distinguished from different content.
    assert!(confirmed(&apply_call(
        &mut state,
        route_call("sell", 195, "/195/")
    )));
    assert_eq!(
        conflicts_of(apply_call(&mut state, route_call("sell", 195, "/else/"))),
        [(ItemKind::Route, "sell".to_string(), 195, 199)]
    );
}

#[test]
fn the_version_history_of_an_item_is_bounded() {
    let mut state = sample_state();
    let size_after = |state: &mut ClusterState, versions: Range<u64>| {
        versions.for_each(|version| drop(apply_call(state, route_call("sell", version, "/one/"))));
        state.to_bytes().len()
    };
    let after_a_hundred = size_after(&mut state, 7..107);
    assert!(
        size_after(&mut state, 107..5_000) <= after_a_hundred + 64,
        "{after_a_hundred} bytes after a hundred"
    );
}

/// Random calls of two operators, each sent to any of three replicas in any order and any number of
/// times. All replicas give the same outcome because they apply the same log, and of two contents
/// of a version at most one is ever confirmed.
#[test]
fn random_races_and_repeats_confirm_one_content_per_version() {
    test_support::check_generated::<[(u8, u8, u8); 80]>(300, |steps| {
        let mut state = sample_state();
        let mut confirmed_content: BTreeMap<(String, u64), u8> = Default::default();
        for (name, version, content) in steps {
            let (name, version, content) = (
                format!("route-{}", name % 3),
                2 + u64::from(version % 8),
                content % 2,
            );
            let outcome = apply_call(
                &mut state,
                route_call(&name, version, &format!("/{name}/{content}/")),
            );
            let earlier = confirmed_content.get(&(name.clone(), version)).copied();
            match (&outcome, earlier) {
                (Outcome::Conflict { .. }, Some(earlier)) => {
                    assert_ne!(earlier, content, "a confirmed content is rejected")
                }
                (Outcome::Conflict { .. }, None) => panic!("a conflict without an earlier content"),
                (_, Some(earlier)) => assert_eq!(earlier, content, "two contents were confirmed"),
                (Outcome::Accepted { .. }, None) => {
                    confirmed_content.insert((name, version), content);
                }
                (outcome, None) => assert!(confirmed(outcome), "{outcome:?}"),
            }
        }
    });
}

#[test]
fn a_late_registration_of_an_earlier_process_replaces_nothing() {
    let mut state = sample_state();
    let node = |incarnation: u64, replaces: u64| ClusterReport::NodeRegistered {
        node: "n0".into(),
        zone: "z0".into(),
        address: "n0:1".into(),
        incarnation,
        replaces,
    };
    let mut register = |incarnation: u64, replaces: u64| {
        state
            .apply(
                "n0",
                incarnation,
                1,
                ClusterOperation::Reports(vec![node(incarnation, replaces)]),
            )
            .0
    };
    // Random incarnations are not ordered by time.
    assert!(matches!(register(900, 0), Outcome::Accepted { .. }));
    assert!(matches!(register(20, 900), Outcome::Accepted { .. }));
    assert!(
        matches!(register(500, 900), Outcome::Superseded { .. }),
        "it replaces an incarnation that is no longer registered"
    );
    assert!(matches!(register(900, 0), Outcome::Superseded { .. }));
    assert!(matches!(register(7, 20), Outcome::Accepted { .. }));
    assert_eq!(state.nodes["n0"].incarnation, 7);
}
