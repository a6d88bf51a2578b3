//! Items under versions of their own; a call is taken whole or not at all (design 11.1).

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
fn each_item_goes_by_its_own_version() {
    let mut state = site();
    apply_call(
        &mut state,
        put("book", 5, route_body("shop", "/five/", "seat")),
    );
    // One of the two is older than what stands, and only that one is passed over.
    let mixed = both(
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
        "the first of a version holds, as it was sent"
    );
}

#[test]
fn a_drop_is_a_version_like_any_other() {
    let mut state = site();
    apply_call(&mut state, drop_of(ItemKind::Route, "book", 7));
    assert_eq!(version(&state, ItemKind::Route, "book"), None);
    apply_call(
        &mut state,
        put("book", 6, route_body("shop", "/book/", "seat")),
    );
    assert_eq!(
        version(&state, ItemKind::Route, "book"),
        None,
        "an older call that comes later brings nothing back"
    );
    apply_call(
        &mut state,
        put("book", 8, route_body("shop", "/book/", "seat")),
    );
    apply_call(&mut state, drop_of(ItemKind::Route, "book", 7));
    assert_eq!(
        version(&state, ItemKind::Route, "book"),
        Some(8),
        "nor does an older drop take anything away"
    );
    // What was never put may be dropped before it comes.
    apply_call(&mut state, drop_of(ItemKind::Route, "late", 3));
    apply_call(
        &mut state,
        put("late", 2, route_body("shop", "/late/", "seat")),
    );
    assert_eq!(version(&state, ItemKind::Route, "late"), None);
}

#[test]
fn one_fault_in_a_call_and_none_of_it_holds() {
    let mut state = site();
    let fine = || put("other", 1, service(false));
    let spoilt = |spoil: fn(&mut Route)| {
        let mut route = route_to("shop", "/new/", vec![("seat".into(), 1)]);
        spoil(&mut route);
        both(fine(), put("new", 1, ItemBody::Route(route)))
    };
    assert_eq!(
        faults(&mut state, spoilt(|route| route.wait_us = 0)),
        ["lane.new.wait_us"]
    );
    assert_eq!(
        faults(&mut state, spoilt(|route| route.host.clear())),
        ["lane.new.host"]
    );
    assert_eq!(
        faults(&mut state, spoilt(|route| route.prefix = "new".into())),
        ["lane.new.prefix"]
    );
    assert_eq!(
        faults(&mut state, spoilt(|route| route.dispatches = 0)),
        ["lane.new.dispatches"]
    );
    assert_eq!(
        faults(
            &mut state,
            spoilt(|route| route.shares = vec![("seat".into(), 0)])
        ),
        ["lane.new.shares"]
    );
    assert_eq!(
        faults(
            &mut state,
            both(fine(), put("", 1, route_body("shop", "/new/", "seat")))
        ),
        ["lane"]
    );
    assert_eq!(
        faults(&mut state, both(fine(), put("", 1, limits(1)))),
        ["limits..header_bytes"]
    );
    assert_eq!(version(&state, ItemKind::Service, "other"), None);
    // Older than what stands, and still not to be called fine.
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
fn a_route_goes_only_to_services_there_are() {
    let mut state = site();
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
    let together = both(
        put("new", 1, route_body("shop", "/new/", "nowhere")),
        put("nowhere", 1, service(false)),
    );
    assert_eq!(
        faults(&mut state, together),
        Vec::<String>::new(),
        "they may come in one call, in any order"
    );
}

#[test]
fn a_service_that_a_route_names_stays() {
    let mut state = site();
    assert_eq!(
        faults(&mut state, drop_of(ItemKind::Service, "seat", 2)),
        ["lane.book.shares"]
    );
    let away = both(
        drop_of(ItemKind::Service, "seat", 2),
        put("book", 0, route_body("shop", "/book/", "desk")),
    );
    assert_eq!(
        faults(&mut state, away),
        ["lane.book.shares"],
        "an older version of the route takes nothing away from it"
    );
    let moved = both(
        put("book", 2, route_body("shop", "/book/", "desk")),
        put("desk", 1, service(false)),
    );
    assert_eq!(
        faults(
            &mut state,
            both(moved, drop_of(ItemKind::Service, "seat", 2))
        ),
        Vec::<String>::new()
    );
    let last = both(
        drop_of(ItemKind::Service, "desk", 2),
        drop_of(ItemKind::Route, "book", 3),
    );
    assert_eq!(
        faults(&mut state, last),
        Vec::<String>::new(),
        "gone with the route that named it"
    );
    // A drop that is too old takes nothing away, so nothing is at fault.
    apply_call(
        &mut state,
        both(
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
fn two_names_do_not_share_a_host_and_prefix() {
    let mut state = site();
    assert_eq!(
        faults(
            &mut state,
            put("twin", 1, route_body("shop", "/book/", "seat"))
        )
        .len(),
        1
    );
    let within = both(
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
        "another host is another place"
    );
    let swapped = both(
        put("twin", 2, route_body("shop", "/book/", "seat")),
        put("book", 2, route_body("fair", "/book/", "seat")),
    );
    assert_eq!(
        faults(&mut state, swapped),
        Vec::<String>::new(),
        "they may change places in one call"
    );
    let freed = both(
        drop_of(ItemKind::Route, "twin", 3),
        put("third", 1, route_body("shop", "/book/", "seat")),
    );
    assert_eq!(
        faults(&mut state, freed),
        Vec::<String>::new(),
        "what is dropped is free for another"
    );
    apply_call(
        &mut state,
        put("third", 1, route_body("fair", "/book/", "seat")),
    );
    assert_eq!(
        version(&state, ItemKind::Route, "third"),
        Some(1),
        "a call that is too old does not stand in anyone's way"
    );
}
