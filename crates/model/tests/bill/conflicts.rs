//! Two operators under one number, and one order sent again: exactly one content of a version is ever confirmed, and
//! what was confirmed once is never refused (design 11.1).

use crate::making::*;
use model::cluster_state::{ClusterOperation, ClusterReport, ItemCall, ItemKind};
use model::{ClusterState, Outcome};
use std::collections::BTreeMap;
use std::ops::Range;

/// Contents of one route that differ, as two operators write them.
fn route(name: &str, version: u64, prefix: &str) -> ItemCall {
    let mut call = put(name, version, lane("shop", prefix, "seat"));
    call.puts[0].text = format!(r#"{{"path_prefix":"{prefix}","timeout":"1s"}}"#);
    call
}

fn confirmed(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Accepted { .. } | Outcome::Unchanged { .. }
    )
}

fn refused_by(outcome: Outcome) -> Vec<(ItemKind, String, u64, u64)> {
    let Outcome::Conflict { conflicts } = outcome else {
        panic!("it is no conflict: {outcome:?}")
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
fn of_two_contents_under_one_version_exactly_one_is_confirmed_and_is_read_back() {
    let mut bill = site();
    assert!(confirmed(&amend(&mut bill, route("sell", 7, "/one/"))));
    let before = bill.clone();
    // Nothing of the call takes effect, though its other item is new.
    let second = both(route("sell", 7, "/two/"), route("buy", 7, "/buy/"));
    assert_eq!(
        refused_by(amend(&mut bill, second)),
        [(ItemKind::Route, "sell".to_string(), 7, 7)]
    );
    assert_eq!(bill, before);
    assert!(
        bill.items[&(ItemKind::Route, "sell".to_string())]
            .text
            .contains("/one/")
    );
}

#[test]
fn a_drop_and_a_put_under_one_version_are_two_contents() {
    let mut bill = site();
    assert!(confirmed(&amend(&mut bill, route("sell", 7, "/one/"))));
    assert_eq!(
        refused_by(amend(&mut bill, drop_of(ItemKind::Route, "sell", 7))),
        [(ItemKind::Route, "sell".to_string(), 7, 7)]
    );
    assert!(confirmed(&amend(
        &mut bill,
        drop_of(ItemKind::Route, "sell", 9)
    )));
    assert!(
        confirmed(&amend(&mut bill, drop_of(ItemKind::Route, "sell", 9))),
        "the same drop again"
    );
    assert_eq!(
        refused_by(amend(&mut bill, route("sell", 9, "/one/"))),
        [(ItemKind::Route, "sell".to_string(), 9, 9)]
    );
}

#[test]
fn one_item_with_two_contents_under_one_version_in_one_call_is_a_conflict() {
    let mut bill = site();
    let before = bill.clone();
    let call = both(route("sell", 7, "/one/"), route("sell", 7, "/two/"));
    assert_eq!(
        refused_by(amend(&mut bill, call)),
        [(ItemKind::Route, "sell".to_string(), 7, 7)]
    );
    assert_eq!(bill, before);
    assert!(confirmed(&amend(
        &mut bill,
        both(route("sell", 7, "/one/"), route("sell", 7, "/one/"))
    )));
}

#[test]
fn content_that_differs_only_in_white_space_or_order_is_a_repeat() {
    let mut bill = site();
    assert!(confirmed(&amend(&mut bill, route("sell", 7, "/one/"))));
    let mut again = route("sell", 7, "/one/");
    again.puts[0].text = r#"{ "timeout": "1s", "path_prefix": "/one/" }"#.into();
    assert!(confirmed(&amend(&mut bill, again)));
}

#[test]
fn an_order_that_was_taken_is_confirmed_again_after_newer_versions_a_snapshot_and_many_others() {
    let mut bill = site();
    let first = both(route("sell", 7, "/one/"), route("buy", 7, "/buy/"));
    assert!(confirmed(&amend(&mut bill, first.clone())));
    for version in 8..200 {
        assert!(confirmed(&amend(
            &mut bill,
            route("sell", version, &format!("/{version}/"))
        )));
        bill = ClusterState::from_bytes(&bill.to_bytes()).expect("a snapshot");
        assert!(
            confirmed(&amend(&mut bill, first.clone())),
            "the first order again, under version {version}"
        );
    }
    // A recent version that was overtaken still tells a second content from a repeat.
    assert!(confirmed(&amend(&mut bill, route("sell", 195, "/195/"))));
    assert_eq!(
        refused_by(amend(&mut bill, route("sell", 195, "/else/"))),
        [(ItemKind::Route, "sell".to_string(), 195, 199)]
    );
}

#[test]
fn hundreds_of_versions_of_an_item_keep_a_bounded_record() {
    let mut bill = site();
    let grown = |bill: &mut ClusterState, versions: Range<u64>| {
        versions.for_each(|version| drop(amend(bill, route("sell", version, "/one/"))));
        bill.to_bytes().len()
    };
    let after_a_hundred = grown(&mut bill, 7..107);
    assert!(
        grown(&mut bill, 107..5_000) <= after_a_hundred + 64,
        "{after_a_hundred} bytes after a hundred"
    );
}

/// Drawn orders of two operators, each sent to any of three seats' turns in any order and any number of times: all
/// seats answer alike, as they apply the same log, and of two contents of a version at most one is ever confirmed.
#[test]
fn drawn_races_and_repeats_confirm_one_content_of_each_version_and_refuse_nothing_confirmed() {
    test_support::drawn::<[(u8, u8, u8); 80]>(300, |steps| {
        let mut bill = site();
        let mut confirmed_content: BTreeMap<(String, u64), u8> = Default::default();
        for (name, version, content) in steps {
            let (name, version, content) = (
                format!("route-{}", name % 3),
                2 + u64::from(version % 8),
                content % 2,
            );
            let outcome = amend(
                &mut bill,
                route(&name, version, &format!("/{name}/{content}/")),
            );
            let earlier = confirmed_content.get(&(name.clone(), version)).copied();
            match (&outcome, earlier) {
                (Outcome::Conflict { .. }, Some(earlier)) => {
                    assert_ne!(earlier, content, "what was confirmed is refused")
                }
                (Outcome::Conflict { .. }, None) => panic!("a conflict with nothing"),
                (_, Some(earlier)) => assert_eq!(earlier, content, "two contents were confirmed"),
                (Outcome::Accepted { .. }, None) => {
                    let _ = confirmed_content.insert((name, version), content);
                }
                (outcome, None) => assert!(confirmed(outcome), "{outcome:?}"),
            }
        }
    });
}

#[test]
fn a_late_registration_of_an_earlier_process_replaces_nothing() {
    let mut bill = site();
    let node = |life: u64, replaces: u64| ClusterReport::NodeRegistered {
        node: "n0".into(),
        zone: "z0".into(),
        address: "n0:1".into(),
        incarnation: life,
        replaces,
    };
    let mut register = |life: u64, replaces: u64| {
        bill.apply(
            "n0",
            life,
            1,
            ClusterOperation::Reports(vec![node(life, replaces)]),
        )
        .0
    };
    // Drawn incarnations fall as well as rise.
    assert!(matches!(register(900, 0), Outcome::Accepted { .. }));
    assert!(matches!(register(20, 900), Outcome::Accepted { .. }));
    assert!(
        matches!(register(500, 900), Outcome::Superseded { .. }),
        "made on top of what stands no more"
    );
    assert!(matches!(register(900, 0), Outcome::Superseded { .. }));
    assert!(matches!(register(7, 20), Outcome::Accepted { .. }));
    assert_eq!(bill.nodes["n0"].incarnation, 7);
}
