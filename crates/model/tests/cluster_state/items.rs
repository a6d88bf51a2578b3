//! Items with their own versions; a call is accepted as a whole or not at all (design 11.1).

use crate::fixtures::*;
use model::Outcome;
use model::cluster_state::items::ItemPut;
use model::cluster_state::{ItemBody, ItemCall, ItemKind, Route};

fn version(state: &model::ClusterState, kind: ItemKind, name: &str) -> Option<u64> {
    state
        .items
        .get(&(kind, name.to_string()))
        .filter(|item| item.body.is_some())
        .map(|item| item.version)
}

#[test]
fn each_item_has_its_own_version() {
    let mut state = sample_state();
    apply_call(
        &mut state,
        put("book", 5, route_body("shop", "/five/", "seat")),
    );
    // One of the two items is older than the stored one, and only that item is skipped.
    let mixed = combined(
        put("book", 4, route_body("shop", "/four/", "seat")),
        put("sell", 1, route_body("shop", "/sell/", "seat")),
    );
    assert!(matches!(
        apply_call(&mut state, mixed),
        Outcome::Accepted { .. }
    ));
    assert_eq!(
        (
            version(&state, ItemKind::Route, "book"),
            version(&state, ItemKind::Route, "sell")
        ),
        (Some(5), Some(1))
    );
    let other = apply_call(
        &mut state,
        ItemCall {
            puts: vec![ItemPut {
                text: "other".into(),
                ..put("book", 5, route_body("shop", "/again/", "seat")).puts[0].clone()
            }],
            drops: Vec::new(),
        },
    );
    assert!(matches!(other, Outcome::Conflict { .. }), "{other:?}");
    let held = state.items[&(ItemKind::Route, "book".to_string())].clone();
    assert_eq!(
        (held.body, held.text.as_str()),
        (Some(route_body("shop", "/five/", "seat")), "book 5"),
        "the first content of a version is kept as it was sent"
    );
}

#[test]
fn a_drop_is_a_version_like_any_other() {
    let mut state = sample_state();
    apply_call(&mut state, drop_of(ItemKind::Route, "book", 7));
    assert_eq!(version(&state, ItemKind::Route, "book"), None);
    apply_call(
        &mut state,
        put("book", 6, route_body("shop", "/book/", "seat")),
    );
    assert_eq!(
        version(&state, ItemKind::Route, "book"),
        None,
        "an older put that arrives later restores nothing"
    );
    apply_call(
        &mut state,
        put("book", 8, route_body("shop", "/book/", "seat")),
    );
    apply_call(&mut state, drop_of(ItemKind::Route, "book", 7));
    assert_eq!(
        version(&state, ItemKind::Route, "book"),
        Some(8),
        "an older drop that arrives later removes nothing"
    );
    // An item may be dropped before it was ever put.
    apply_call(&mut state, drop_of(ItemKind::Route, "late", 3));
    apply_call(
        &mut state,
        put("late", 2, route_body("shop", "/late/", "seat")),
    );
    assert_eq!(version(&state, ItemKind::Route, "late"), None);
}

#[test]
fn a_call_with_one_fault_has_no_effect() {
    let mut state = sample_state();
    let valid_put = || put("other", 1, service(false));
    let modified = |modify: fn(&mut Route)| {
        let mut route = route_to("shop", "/new/", vec![("seat".into(), 1)]);
        modify(&mut route);
        combined(valid_put(), put("new", 1, ItemBody::Route(route)))
    };
    assert_eq!(
        faults(&mut state, modified(|route| route.wait_us = 0)),
        ["lane.new.wait_us"]
    );
    assert_eq!(
        faults(&mut state, modified(|route| route.host.clear())),
        ["lane.new.host"]
    );
    assert_eq!(
        faults(&mut state, modified(|route| route.prefix = "new".into())),
        ["lane.new.prefix"]
    );
    assert_eq!(
        faults(&mut state, modified(|route| route.dispatches = 0)),
        ["lane.new.dispatches"]
    );
    assert_eq!(
        faults(
            &mut state,
            modified(|route| route.shares = vec![("seat".into(), 0)])
        ),
        ["lane.new.shares"]
    );
    assert_eq!(
        faults(
            &mut state,
            combined(valid_put(), put("", 1, route_body("shop", "/new/", "seat")))
        ),
        ["lane"]
    );
    assert_eq!(
        faults(&mut state, combined(valid_put(), put("", 1, limits(1)))),
        ["limits..header_bytes"]
    );
    assert_eq!(version(&state, ItemKind::Service, "other"), None);
    // Items older than the stored ones are validated too.
    apply_call(
        &mut state,
        put("book", 9, route_body("shop", "/book/", "seat")),
    );
    assert_eq!(
        faults(&mut state, put("book", 2, route_body("", "/book/", "seat"))),
        ["lane.book.host"]
    );
}

#[test]
fn a_route_may_name_only_existing_services() {
    let mut state = sample_state();
    assert_eq!(
        faults(
            &mut state,
            put("new", 1, route_body("shop", "/new/", "nowhere"))
        ),
        ["lane.new.shares"]
    );
    let two = ItemBody::Route(route_to(
        "shop",
        "/new/",
        vec![("seat".into(), 1), ("nowhere".into(), 1)],
    ));
    assert_eq!(faults(&mut state, put("new", 1, two)), ["lane.new.shares"]);
    let together = combined(
        put("new", 1, route_body("shop", "/new/", "nowhere")),
        put("nowhere", 1, service(false)),
    );
    assert_eq!(
        faults(&mut state, together),
        Vec::<String>::new(),
        "one call may contain both, in any order"
    );
}

#[test]
fn a_service_named_by_a_route_cannot_be_dropped() {
    let mut state = sample_state();
    assert_eq!(
        faults(&mut state, drop_of(ItemKind::Service, "seat", 2)),
        ["lane.book.shares"]
    );
    let with_old_route = combined(
        drop_of(ItemKind::Service, "seat", 2),
        put("book", 0, route_body("shop", "/book/", "desk")),
    );
    assert_eq!(
        faults(&mut state, with_old_route),
        ["lane.book.shares"],
        "an older version of the route does not replace it"
    );
    let moved = combined(
        put("book", 2, route_body("shop", "/book/", "desk")),
        put("desk", 1, service(false)),
    );
    assert_eq!(
        faults(
            &mut state,
            combined(moved, drop_of(ItemKind::Service, "seat", 2))
        ),
        Vec::<String>::new()
    );
    let last = combined(
        drop_of(ItemKind::Service, "desk", 2),
        drop_of(ItemKind::Route, "book", 3),
    );
    assert_eq!(
        faults(&mut state, last),
        Vec::<String>::new(),
        "the service is dropped together with the route that named it"
    );
    // A drop with an old version removes nothing, so the call has no faults.
    apply_call(
        &mut state,
        combined(
            put("seat", 9, service(true)),
            put("book", 9, route_body("shop", "/book/", "seat")),
        ),
    );
    assert_eq!(
        faults(&mut state, drop_of(ItemKind::Service, "seat", 8)),
        Vec::<String>::new()
    );
    assert_eq!(version(&state, ItemKind::Service, "seat"), Some(9));
}

#[test]
fn two_routes_cannot_share_a_host_and_prefix() {
    let mut state = sample_state();
    assert_eq!(
        faults(
            &mut state,
            put("twin", 1, route_body("shop", "/book/", "seat"))
        )
        .len(),
        1
    );
    let within = combined(
        put("one", 1, route_body("shop", "/same/", "seat")),
        put("two", 1, route_body("shop", "/same/", "seat")),
    );
    assert_eq!(faults(&mut state, within).len(), 1);
    assert_eq!(
        faults(
            &mut state,
            put("twin", 1, route_body("fair", "/book/", "seat"))
        ),
        Vec::<String>::new(),
        "the same prefix on another host is allowed"
    );
    let swapped = combined(
        put("twin", 2, route_body("shop", "/book/", "seat")),
        put("book", 2, route_body("fair", "/book/", "seat")),
    );
    assert_eq!(
        faults(&mut state, swapped),
        Vec::<String>::new(),
        "one call may swap the two"
    );
    let freed = combined(
        drop_of(ItemKind::Route, "twin", 3),
        put("third", 1, route_body("shop", "/book/", "seat")),
    );
    assert_eq!(
        faults(&mut state, freed),
        Vec::<String>::new(),
        "a dropped route frees its host and prefix"
    );
    apply_call(
        &mut state,
        put("third", 1, route_body("fair", "/book/", "seat")),
    );
    assert_eq!(
        version(&state, ItemKind::Route, "third"),
        Some(1),
        "a call with an old version does not block others"
    );
}
