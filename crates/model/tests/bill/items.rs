//! Items under versions of their own; a call is taken whole or not at all (design 11.1).

use crate::making::*;
use model::Outcome;
use model::cluster_state::items::ItemPut;
use model::cluster_state::{ItemBody, ItemCall, ItemKind, Route};

fn version(bill: &model::ClusterState, kind: ItemKind, name: &str) -> Option<u64> {
    bill.items
        .get(&(kind, name.to_string()))
        .filter(|item| item.body.is_some())
        .map(|item| item.version)
}

#[test]
fn each_item_goes_by_its_own_version() {
    let mut bill = site();
    amend(&mut bill, put("book", 5, lane("shop", "/five/", "seat")));
    // One of the two is older than what stands, and only that one is passed over.
    let mixed = both(
        put("book", 4, lane("shop", "/four/", "seat")),
        put("sell", 1, lane("shop", "/sell/", "seat")),
    );
    assert!(matches!(amend(&mut bill, mixed), Outcome::Accepted { .. }));
    assert_eq!(
        (
            version(&bill, ItemKind::Route, "book"),
            version(&bill, ItemKind::Route, "sell")
        ),
        (Some(5), Some(1))
    );
    let other = amend(
        &mut bill,
        ItemCall {
            puts: vec![ItemPut {
                text: "other".into(),
                ..put("book", 5, lane("shop", "/again/", "seat")).puts[0].clone()
            }],
            drops: Vec::new(),
        },
    );
    assert!(matches!(other, Outcome::Conflict { .. }), "{other:?}");
    let held = bill.items[&(ItemKind::Route, "book".to_string())].clone();
    assert_eq!(
        (held.body, held.text.as_str()),
        (Some(lane("shop", "/five/", "seat")), "book 5"),
        "the first of a version holds, as it was sent"
    );
}

#[test]
fn a_drop_is_a_version_like_any_other() {
    let mut bill = site();
    amend(&mut bill, drop_of(ItemKind::Route, "book", 7));
    assert_eq!(version(&bill, ItemKind::Route, "book"), None);
    amend(&mut bill, put("book", 6, lane("shop", "/book/", "seat")));
    assert_eq!(
        version(&bill, ItemKind::Route, "book"),
        None,
        "an older call that comes later brings nothing back"
    );
    amend(&mut bill, put("book", 8, lane("shop", "/book/", "seat")));
    amend(&mut bill, drop_of(ItemKind::Route, "book", 7));
    assert_eq!(
        version(&bill, ItemKind::Route, "book"),
        Some(8),
        "nor does an older drop take anything away"
    );
    // What was never put may be dropped before it comes.
    amend(&mut bill, drop_of(ItemKind::Route, "late", 3));
    amend(&mut bill, put("late", 2, lane("shop", "/late/", "seat")));
    assert_eq!(version(&bill, ItemKind::Route, "late"), None);
}

#[test]
fn one_fault_in_a_call_and_none_of_it_holds() {
    let mut bill = site();
    let fine = || put("other", 1, service(false));
    let spoilt = |spoil: fn(&mut Route)| {
        let mut lane = lane_to("shop", "/new/", vec![("seat".into(), 1)]);
        spoil(&mut lane);
        both(fine(), put("new", 1, ItemBody::Route(lane)))
    };
    assert_eq!(
        faults(&mut bill, spoilt(|lane| lane.wait_us = 0)),
        ["lane.new.wait_us"]
    );
    assert_eq!(
        faults(&mut bill, spoilt(|lane| lane.host.clear())),
        ["lane.new.host"]
    );
    assert_eq!(
        faults(&mut bill, spoilt(|lane| lane.prefix = "new".into())),
        ["lane.new.prefix"]
    );
    assert_eq!(
        faults(&mut bill, spoilt(|lane| lane.dispatches = 0)),
        ["lane.new.dispatches"]
    );
    assert_eq!(
        faults(
            &mut bill,
            spoilt(|lane| lane.shares = vec![("seat".into(), 0)])
        ),
        ["lane.new.shares"]
    );
    assert_eq!(
        faults(
            &mut bill,
            both(fine(), put("", 1, lane("shop", "/new/", "seat")))
        ),
        ["lane"]
    );
    assert_eq!(
        faults(&mut bill, both(fine(), put("", 1, limits(1)))),
        ["limits..header_bytes"]
    );
    assert_eq!(version(&bill, ItemKind::Service, "other"), None);
    // Older than what stands, and still not to be called fine.
    amend(&mut bill, put("book", 9, lane("shop", "/book/", "seat")));
    assert_eq!(
        faults(&mut bill, put("book", 2, lane("", "/book/", "seat"))),
        ["lane.book.host"]
    );
}

#[test]
fn a_lane_goes_only_to_services_there_are() {
    let mut bill = site();
    assert_eq!(
        faults(&mut bill, put("new", 1, lane("shop", "/new/", "nowhere"))),
        ["lane.new.shares"]
    );
    let two = ItemBody::Route(lane_to(
        "shop",
        "/new/",
        vec![("seat".into(), 1), ("nowhere".into(), 1)],
    ));
    assert_eq!(faults(&mut bill, put("new", 1, two)), ["lane.new.shares"]);
    let together = both(
        put("new", 1, lane("shop", "/new/", "nowhere")),
        put("nowhere", 1, service(false)),
    );
    assert_eq!(
        faults(&mut bill, together),
        Vec::<String>::new(),
        "they may come in one call, in any order"
    );
}

#[test]
fn a_service_that_a_lane_names_stays() {
    let mut bill = site();
    assert_eq!(
        faults(&mut bill, drop_of(ItemKind::Service, "seat", 2)),
        ["lane.book.shares"]
    );
    let away = both(
        drop_of(ItemKind::Service, "seat", 2),
        put("book", 0, lane("shop", "/book/", "desk")),
    );
    assert_eq!(
        faults(&mut bill, away),
        ["lane.book.shares"],
        "an older version of the lane takes nothing away from it"
    );
    let moved = both(
        put("book", 2, lane("shop", "/book/", "desk")),
        put("desk", 1, service(false)),
    );
    assert_eq!(
        faults(
            &mut bill,
            both(moved, drop_of(ItemKind::Service, "seat", 2))
        ),
        Vec::<String>::new()
    );
    let last = both(
        drop_of(ItemKind::Service, "desk", 2),
        drop_of(ItemKind::Route, "book", 3),
    );
    assert_eq!(
        faults(&mut bill, last),
        Vec::<String>::new(),
        "gone with the lane that named it"
    );
    // A drop that is too old takes nothing away, so nothing is at fault.
    amend(
        &mut bill,
        both(
            put("seat", 9, service(true)),
            put("book", 9, lane("shop", "/book/", "seat")),
        ),
    );
    assert_eq!(
        faults(&mut bill, drop_of(ItemKind::Service, "seat", 8)),
        Vec::<String>::new()
    );
    assert_eq!(version(&bill, ItemKind::Service, "seat"), Some(9));
}

#[test]
fn two_names_do_not_share_a_host_and_prefix() {
    let mut bill = site();
    assert_eq!(
        faults(&mut bill, put("twin", 1, lane("shop", "/book/", "seat"))).len(),
        1
    );
    let within = both(
        put("one", 1, lane("shop", "/same/", "seat")),
        put("two", 1, lane("shop", "/same/", "seat")),
    );
    assert_eq!(faults(&mut bill, within).len(), 1);
    assert_eq!(
        faults(&mut bill, put("twin", 1, lane("fair", "/book/", "seat"))),
        Vec::<String>::new(),
        "another host is another place"
    );
    let swapped = both(
        put("twin", 2, lane("shop", "/book/", "seat")),
        put("book", 2, lane("fair", "/book/", "seat")),
    );
    assert_eq!(
        faults(&mut bill, swapped),
        Vec::<String>::new(),
        "they may change places in one call"
    );
    let freed = both(
        drop_of(ItemKind::Route, "twin", 3),
        put("third", 1, lane("shop", "/book/", "seat")),
    );
    assert_eq!(
        faults(&mut bill, freed),
        Vec::<String>::new(),
        "what is dropped is free for another"
    );
    amend(&mut bill, put("third", 1, lane("fair", "/book/", "seat")));
    assert_eq!(
        version(&bill, ItemKind::Route, "third"),
        Some(1),
        "a call that is too old does not stand in anyone's way"
    );
}
