//! Snapshots of followers: deltas and the full state give the same result (design 11.3).

use std::mem;
use std::sync::Arc;

use crate::fixtures::*;
use model::ClusterState;
use model::cluster_state::{ClusterOperation, ClusterReport, Delta, ItemKind, StateSnapshot};

type Drawn = (u8, u8, u8, u8);

fn drawn_call(kind: u8, name: u8, version: u64, other: u8) -> model::cluster_state::ItemCall {
    let (name, target) = (
        format!("route-{}", name % 4),
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
            route_body(
                &format!("host-{}", other % 2),
                &format!("/{}", "long/".repeat(version as usize % 3)),
                &target,
            ),
        ),
    }
}

fn drawn_report(state: &ClusterState, kind: u8, who: u8, one: u8, other: u8) -> ClusterReport {
    let (name, node, incarnation) = (
        format!("backend-{}", who % 5),
        format!("node-{}", who % 3),
        1 + (one / 128) as u64,
    );
    let (from, to) = (
        one.min(other) as u16 * 256,
        one.max(other) as u16 * 256 + 255,
    );
    let (base, at) = state
        .placements
        .get("service-0")
        .map(|current| (current.0, current.1[0].fencing_token))
        .unwrap_or_default();
    let service = || "service-0".to_string();
    match kind % 12 {
        0 => ClusterReport::NodeRegistered {
            node,
            zone: "z0".into(),
            address: format!("address-{}", other % 2),
            incarnation,
            replaces: 3 - incarnation,
        },
        1 => ClusterReport::NodeLeft { node, incarnation },
        2 => ClusterReport::NodeObserved {
            observer: format!("node-{}", other % 3),
            node,
            incarnation,
            suspected: other < 200,
        },
        3 | 4 => ClusterReport::BackendJoined {
            name,
            backend: model::cluster_state::BackendRecord {
                slots: 1 + (other % 2) as u32,
                ..backend_record("service-0", &node)
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
            known_through: state.position,
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

fn full_snapshot(state: &ClusterState) -> StateSnapshot {
    StateSnapshot::default().updated(true, state.position, state.full_deltas())
}

#[test]
fn applying_deltas_gives_the_same_snapshot_as_the_full_state() {
    test_support::check_generated::<[Drawn; 60]>(300, |steps| {
        let mut state = ClusterState::default();
        // Three followers: one from the start, one that is resent the full state at times, and one
        // that gets the deltas of several entries at once.
        let (mut first, mut later, mut batched) = (
            StateSnapshot::default(),
            StateSnapshot::default(),
            (StateSnapshot::default(), Vec::<Delta>::new()),
        );
        steps
            .iter()
            .zip(1u64..)
            .for_each(|((kind, who, one, other), turn)| {
                let operation = match kind % 3 {
                    0 => ClusterOperation::Items(drawn_call(kind / 3, *who, turn, *other)),
                    _ => ClusterOperation::Reports(vec![
                        drawn_report(&state, kind / 3, *who, *one, *other),
                        drawn_report(&state, *other, *one, *who, *kind),
                    ]),
                };
                let before = state.position;
                let (_, deltas) = state.apply(&format!("origin-{}", who % 2), 1, turn, operation);
                assert_eq!(
                    state.position > before,
                    !deltas.is_empty(),
                    "every new position has deltas"
                );
                first = first.updated(false, state.position, deltas.clone());
                batched.1.extend(deltas.clone());
                later = if turn % 17 == 5 {
                    later.updated(true, state.position, state.full_deltas())
                } else {
                    later.updated(false, state.position, deltas)
                };
                if turn.is_multiple_of(7) {
                    batched.0 = batched
                        .0
                        .updated(false, state.position, mem::take(&mut batched.1));
                    assert_eq!(batched.0, full_snapshot(&state));
                }
                assert_eq!(
                    first,
                    full_snapshot(&state),
                    "after {kind} {who} {one} {other}"
                );
                assert!(turn < 5 || later == first);
                let restored = ClusterState::from_bytes(&state.to_bytes()).expect("a snapshot");
                assert_eq!(restored, state);
            });
    });
}

#[test]
fn the_longest_prefix_wins_and_dropping_its_route_exposes_the_next() {
    let mut state = sample_state();
    apply_call(
        &mut state,
        combined(
            put("wide", 1, route_body("shop", "/", "seat")),
            put("narrow", 1, route_body("shop", "/book/now/", "seat")),
        ),
    );
    let finds = |state: &ClusterState, path: &str| {
        full_snapshot(state)
            .route("shop", path)
            .map(|item| item.name.clone())
    };
    assert_eq!(finds(&state, "/book/now/1").as_deref(), Some("narrow"));
    assert_eq!(finds(&state, "/book/never").as_deref(), Some("book"));
    assert_eq!(finds(&state, "/else").as_deref(), Some("wide"));
    apply_call(&mut state, drop_of(ItemKind::Route, "narrow", 2));
    assert_eq!(finds(&state, "/book/now/1").as_deref(), Some("book"));
    assert_eq!(
        full_snapshot(&state)
            .route("fair", "/book/")
            .map(|item| item.name.clone()),
        None
    );
}

#[test]
fn available_backends_are_rebuilt_only_for_changed_services() {
    let services = 20;
    let name = |at: usize| format!("backend-{at}");
    let node = |at: usize, incarnation: u64| ClusterReport::NodeRegistered {
        node: format!("node-{at}"),
        zone: "z0".into(),
        address: format!("address-{at}"),
        incarnation,
        replaces: incarnation - 1,
    };
    let joined = |at: usize| ClusterReport::BackendJoined {
        name: name(at),
        backend: backend_record(&format!("service-{}", at % services), &format!("node-{at}")),
    };
    let mut state = ClusterState::default();
    (0..100).for_each(|at| drop(apply_reports(&mut state, vec![node(at, 1), joined(at)])));
    let mut current = full_snapshot(&state);
    let mut rebuilt_by = |report: ClusterReport| {
        let deltas = apply_reports(&mut state, vec![report]);
        let next = current.updated(false, state.position, deltas);
        let before = mem::replace(&mut current, next);
        assert_eq!(current, full_snapshot(&state));
        let is_rebuilt = |at: &usize| {
            !Arc::ptr_eq(
                &before.available_backends(&format!("service-{at}")),
                &current.available_backends(&format!("service-{at}")),
            )
        };
        (0..services).filter(is_rebuilt).collect::<Vec<_>>()
    };
    assert_eq!(rebuilt_by(node(7, 2)), [7], "a node that registered again");
    assert_eq!(
        rebuilt_by(ClusterReport::BackendDraining { name: name(48) }),
        [8]
    );
    assert_eq!(
        rebuilt_by(ClusterReport::BackendEnded {
            name: name(48),
            process_gone: true
        }),
        [8]
    );
    let moved = ClusterReport::BackendJoined {
        name: name(11),
        backend: backend_record("service-2", "node-11"),
    };
    assert_eq!(
        rebuilt_by(moved),
        [2, 11],
        "the old and the new service of the backend"
    );
    assert_eq!(
        rebuilt_by(ClusterReport::NodeRegistered {
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
fn only_registered_backends_of_present_nodes_are_available() {
    let mut state = sample_state();
    let node = |name: &str| ClusterReport::NodeRegistered {
        node: name.into(),
        zone: "z0".into(),
        address: format!("{name}:1"),
        incarnation: 1,
        replaces: 0,
    };
    let available = |state: &ClusterState| {
        full_snapshot(state)
            .available_backends("seat")
            .iter()
            .map(|one| one.name.clone())
            .collect::<Vec<_>>()
    };
    apply_reports(
        &mut state,
        vec![
            joined("a"),
            joined("b"),
            joined("c"),
            node("node-a"),
            node("node-b"),
        ],
    );
    assert_eq!(
        available(&state),
        ["a", "b"],
        "the node of the third backend is not registered yet"
    );
    apply_reports(
        &mut state,
        vec![
            node("node-c"),
            ClusterReport::BackendDraining { name: "a".into() },
            ClusterReport::BackendSilent {
                name: "b".into(),
                silent: true,
            },
        ],
    );
    assert_eq!(available(&state), ["c"]);
    assert!(
        full_snapshot(&state).find_backend("a").is_some(),
        "a request on its way to a draining backend still reaches it"
    );
    let suspected = |observer: &str| ClusterReport::NodeObserved {
        observer: observer.into(),
        node: "node-c".into(),
        incarnation: 1,
        suspected: true,
    };
    apply_reports(
        &mut state,
        vec![
            suspected("node-a"),
            suspected("node-b"),
            ClusterReport::BackendSilent {
                name: "b".into(),
                silent: false,
            },
        ],
    );
    assert_eq!(available(&state), ["b"]);
}
