//! What a follower holds: told by changes or told the whole, it is the same (design 11.3).

use crate::making::*;
use model::ClusterState;
use model::cluster_state::{ClusterOperation, ClusterReport, Delta, ItemKind, StateSnapshot};
use std::sync::Arc;

type Drawn = (u8, u8, u8, u8);

fn calls(kind: u8, name: u8, version: u64, other: u8) -> model::cluster_state::ItemCall {
    let (name, target) = (
        format!("lane-{}", name % 4),
        format!("service-{}", other % 3),
    );
    match kind % 6 {
        0 => put(&target, version, service(other > 100)),
        1 => drop_of(ItemKind::Service, &target, version),
        2 => drop_of(ItemKind::Route, &name, version),
        3 if other > 128 => drop_of(ItemKind::Limits, "", version),
        3 => put("", version, limits(1_000 + version)),
        _ => put(
            &name,
            version,
            lane(
                &format!("host-{}", other % 2),
                &format!("/{}", "long/".repeat(version as usize % 3)),
                &target,
            ),
        ),
    }
}

fn report(bill: &ClusterState, kind: u8, who: u8, one: u8, other: u8) -> ClusterReport {
    let (name, node, life) = (
        format!("player-{}", who % 5),
        format!("node-{}", who % 3),
        1 + (one / 128) as u64,
    );
    let (from, to) = (
        one.min(other) as u16 * 256,
        one.max(other) as u16 * 256 + 255,
    );
    let (base, at) = bill
        .placements
        .get("service-0")
        .map(|held| (held.0, held.1[0].fencing_token))
        .unwrap_or_default();
    let service = || "service-0".to_string();
    match kind % 12 {
        0 => ClusterReport::NodeRegistered {
            node,
            zone: "z0".into(),
            address: format!("address-{}", other % 2),
            incarnation: life,
            replaces: 3 - life,
        },
        1 => ClusterReport::NodeLeft {
            node,
            incarnation: life,
        },
        2 => ClusterReport::NodeObserved {
            observer: format!("node-{}", other % 3),
            node,
            incarnation: life,
            missed: other < 200,
        },
        3 | 4 => ClusterReport::BackendJoined {
            name,
            backend: model::cluster_state::BackendRecord {
                slots: 1 + (other % 2) as u32,
                ..player("service-0", &node)
            },
        },
        5 => ClusterReport::BackendDraining { name },
        6 => ClusterReport::BackendSilent {
            name,
            silent: other < 128,
        },
        7 if other > 200 => ClusterReport::BackendEnded {
            name,
            process_gone: one < 128,
        },
        8 => ClusterReport::ShardsReleased {
            service: service(),
            name,
            known_through: bill.position,
            ranges: vec![(from, to, format!("token-{other}"))],
        },
        9 => ClusterReport::ReleasesExpired {
            service: service(),
            ranges: vec![(0, to, at)],
        },
        _ => ClusterReport::ShardsReassigned {
            service: service(),
            base_placement: base - (other == 7) as u64 * base,
            ranges: vec![(from, to, name)],
        },
    }
}

fn whole(bill: &ClusterState) -> StateSnapshot {
    StateSnapshot::default().updated(true, bill.position, bill.full_deltas())
}

#[test]
fn a_follower_told_by_changes_holds_what_one_told_the_whole_holds() {
    test_support::drawn::<[Drawn; 60]>(300, |steps| {
        let mut bill = ClusterState::default();
        // From the start, from somewhere on, and in pieces of several entries.
        let (mut first, mut later, mut seldom) = (
            StateSnapshot::default(),
            StateSnapshot::default(),
            (StateSnapshot::default(), Vec::<Delta>::new()),
        );
        steps
            .iter()
            .zip(1u64..)
            .for_each(|((kind, who, one, other), turn)| {
                let act = match kind % 3 {
                    0 => ClusterOperation::Items(calls(kind / 3, *who, turn, *other)),
                    _ => ClusterOperation::Reports(vec![
                        report(&bill, kind / 3, *who, *one, *other),
                        report(&bill, *other, *one, *who, *kind),
                    ]),
                };
                let before = bill.position;
                let (_, deltas) = bill.apply(&format!("origin-{}", who % 2), 1, turn, act);
                assert_eq!(
                    bill.position > before,
                    !deltas.is_empty(),
                    "who follows hears of every position"
                );
                first = first.updated(false, bill.position, deltas.clone());
                seldom.1.extend(deltas.clone());
                later = if turn % 17 == 5 {
                    later.updated(true, bill.position, bill.full_deltas())
                } else {
                    later.updated(false, bill.position, deltas)
                };
                if turn.is_multiple_of(7) {
                    seldom.0 =
                        seldom
                            .0
                            .updated(false, bill.position, std::mem::take(&mut seldom.1));
                    assert_eq!(seldom.0, whole(&bill));
                }
                assert_eq!(first, whole(&bill), "after {kind} {who} {one} {other}");
                assert!(turn < 5 || later == first);
                let woken = ClusterState::from_bytes(&bill.to_bytes()).expect("a snapshot");
                assert_eq!(woken, bill);
            });
    });
}

#[test]
fn the_longest_prefix_goes_first_and_a_dropped_lane_leaves_the_next() {
    let mut bill = site();
    amend(
        &mut bill,
        both(
            put("wide", 1, lane("shop", "/", "seat")),
            put("narrow", 1, lane("shop", "/book/now/", "seat")),
        ),
    );
    let finds = |bill: &ClusterState, path: &str| {
        whole(bill).route("shop", path).map(|item| item.0.clone())
    };
    assert_eq!(finds(&bill, "/book/now/1").as_deref(), Some("narrow"));
    assert_eq!(finds(&bill, "/book/never").as_deref(), Some("book"));
    assert_eq!(finds(&bill, "/else").as_deref(), Some("wide"));
    amend(&mut bill, drop_of(ItemKind::Route, "narrow", 2));
    assert_eq!(finds(&bill, "/book/now/1").as_deref(), Some("book"));
    assert_eq!(
        whole(&bill)
            .route("fair", "/book/")
            .map(|item| item.0.clone()),
        None
    );
}

#[test]
fn the_cast_of_a_service_is_made_anew_only_when_one_of_its_back_ends_is_told_of() {
    let services = 20;
    let name = |at: usize| format!("player-{at}");
    let node = |at: usize, life: u64| ClusterReport::NodeRegistered {
        node: format!("node-{at}"),
        zone: "z0".into(),
        address: format!("address-{at}"),
        incarnation: life,
        replaces: life - 1,
    };
    let joined = |at: usize| ClusterReport::BackendJoined {
        name: name(at),
        backend: player(&format!("service-{}", at % services), &format!("node-{at}")),
    };
    let mut bill = ClusterState::default();
    (0..100).for_each(|at| drop(tell(&mut bill, vec![node(at, 1), joined(at)])));
    let mut held = whole(&bill);
    let mut made_by = |report: ClusterReport| {
        let deltas = tell(&mut bill, vec![report]);
        let next = held.updated(false, bill.position, deltas);
        let before = std::mem::replace(&mut held, next);
        assert_eq!(held, whole(&bill));
        let made = |at: &usize| {
            !Arc::ptr_eq(
                &before.available_backends(&format!("service-{at}")),
                &held.available_backends(&format!("service-{at}")),
            )
        };
        (0..services).filter(made).collect::<Vec<_>>()
    };
    assert_eq!(made_by(node(7, 2)), [7], "a node that came again");
    assert_eq!(
        made_by(ClusterReport::BackendDraining { name: name(48) }),
        [8]
    );
    assert_eq!(
        made_by(ClusterReport::BackendEnded {
            name: name(48),
            process_gone: true
        }),
        [8]
    );
    let moved = ClusterReport::BackendJoined {
        name: name(11),
        backend: player("service-2", "node-11"),
    };
    assert_eq!(
        made_by(moved),
        [2, 11],
        "the one it left and the one it came to"
    );
    assert_eq!(
        made_by(ClusterReport::NodeRegistered {
            node: "node-new".into(),
            zone: "z0".into(),
            address: "new".into(),
            incarnation: 1,
            replaces: 0
        }),
        [0; 0]
    );
}

#[test]
fn only_back_ends_that_take_work_beside_nodes_that_are_there_are_offered() {
    let mut bill = site();
    let node = |name: &str| ClusterReport::NodeRegistered {
        node: name.into(),
        zone: "z0".into(),
        address: format!("{name}:1"),
        incarnation: 1,
        replaces: 0,
    };
    let offered = |bill: &ClusterState| {
        whole(bill)
            .available_backends("seat")
            .iter()
            .map(|one| one.name.clone())
            .collect::<Vec<_>>()
    };
    tell(
        &mut bill,
        vec![
            joined("a"),
            joined("b"),
            joined("c"),
            node("node-a"),
            node("node-b"),
        ],
    );
    assert_eq!(
        offered(&bill),
        ["a", "b"],
        "nobody knows yet where the third one is"
    );
    tell(
        &mut bill,
        vec![
            node("node-c"),
            ClusterReport::BackendDraining { name: "a".into() },
            ClusterReport::BackendSilent {
                name: "b".into(),
                silent: true,
            },
        ],
    );
    assert_eq!(offered(&bill), ["c"]);
    assert!(
        whole(&bill).find_backend("a").is_some(),
        "what is on its way to one that drains still gets there"
    );
    let missed = |watcher: &str| ClusterReport::NodeObserved {
        observer: watcher.into(),
        node: "node-c".into(),
        incarnation: 1,
        missed: true,
    };
    tell(
        &mut bill,
        vec![
            missed("node-a"),
            missed("node-b"),
            ClusterReport::BackendSilent {
                name: "b".into(),
                silent: false,
            },
        ],
    );
    assert_eq!(offered(&bill), ["b"]);
}
