//! The snapshots that followers hold: applying deltas gives the same snapshot as the full state, and
//! routes and available backends are looked up in it (design 11.3).

use std::mem;
use std::sync::Arc;

use crate::fixtures::*;
use model::ClusterState;
use model::cluster_state::{ClusterOperation, ClusterReport, Delta, ItemKind, StateSnapshot};

/// Random bytes that determine one step: the kind of the operation, its subject, and two parameters
/// whose meaning depends on the kind.
type StepBytes = (u8, u8, u8, u8);

/// A call to put or drop one item, out of few names so that calls often concern the same item.
fn call_from_bytes(
    kind: u8,
    name: u8,
    version: u64,
    parameter: u8,
) -> model::cluster_state::ItemCall {
    let (name, target) = (
        format!("route-{}", name % 4),
        format!("service-{}", parameter % 3),
    );
    match kind % 6 {
        0 => put(&target, version, service(parameter > 100)),
        1 => drop_of(ItemKind::Service, &target, version),
        2 => drop_of(ItemKind::Route, &name, version),
        3 if parameter > 128 => drop_of(ItemKind::Limits, "", version),
        3 => put("", version, limits(1_000 + version)),
        _ => put(
            &name,
            version,
            route_body(
                &format!("host-{}", parameter % 2),
                &format!("/{}", "long/".repeat(version as usize % 3)),
                &target,
            ),
        ),
    }
}

/// A report about one of few nodes, backends and ranges, so that reports often concern the same one.
fn report_from_bytes(
    state: &ClusterState,
    kind: u8,
    subject: u8,
    byte_a: u8,
    byte_b: u8,
) -> ClusterReport {
    let (name, node, incarnation) = (
        format!("backend-{}", subject % 5),
        format!("node-{}", subject % 3),
        1 + (byte_a / 128) as u64,
    );
    let (from, to) = (
        byte_a.min(byte_b) as u16 * 256,
        byte_a.max(byte_b) as u16 * 256 + 255,
    );
    let (base_placement, fencing_token) = state
        .placements
        .get("service-0")
        .map(|current| (current.0, current.1[0].fencing_token))
        .unwrap_or_default();
    let service = || "service-0".to_string();
    match kind % 12 {
        0 => ClusterReport::NodeRegistered {
            node,
            zone: "z0".into(),
            address: format!("address-{}", byte_b % 2),
            incarnation,
            replaces: 3 - incarnation,
        },
        1 => ClusterReport::NodeLeft { node, incarnation },
        2 => ClusterReport::NodeObserved {
            observer: format!("node-{}", byte_b % 3),
            node,
            incarnation,
            suspected: byte_b < 200,
        },
        3 | 4 => ClusterReport::BackendJoined {
            name,
            backend: model::cluster_state::BackendRecord {
                slots: 1 + (byte_b % 2) as u32,
                ..backend_record("service-0", &node)
            },
        },
        5 => ClusterReport::BackendDraining { name },
        6 => ClusterReport::BackendSilent {
            name,
            silent: byte_b < 128,
        },
        7 if byte_b > 200 => ClusterReport::BackendEnded {
            name,
            process_gone: byte_a < 128,
        },
        8 => ClusterReport::ShardsReleased {
            service: service(),
            name,
            known_through: state.position,
            ranges: vec![(from, to, format!("token-{byte_b}"))],
        },
        9 => ClusterReport::ReleasesExpired {
            service: service(),
            ranges: vec![(0, to, fencing_token)],
        },
        _ => ClusterReport::ShardsReassigned {
            service: service(),
            // For one value of the byte, the report is based on no placement and thus outdated.
            base_placement: base_placement - (byte_b == 7) as u64 * base_placement,
            ranges: vec![(from, to, name)],
        },
    }
}

fn full_snapshot(state: &ClusterState) -> StateSnapshot {
    StateSnapshot::default().updated(true, state.position, state.full_deltas())
}

#[test]
fn applying_deltas_gives_the_same_snapshot_as_the_full_state() {
    test_support::check_generated::<[StepBytes; 60]>(300, |steps| {
        let mut state = ClusterState::default();
        // The snapshots of three followers: one that gets the deltas of each entry, one that gets
        // the full state at times instead, and one that gets the deltas of several entries at once.
        let (mut incremental, mut resynced, mut batched) = (
            StateSnapshot::default(),
            StateSnapshot::default(),
            (StateSnapshot::default(), Vec::<Delta>::new()),
        );
        steps
            .iter()
            .zip(1u64..)
            .for_each(|((kind, subject, byte_a, byte_b), step_number)| {
                let operation = match kind % 3 {
                    0 => ClusterOperation::Items(call_from_bytes(
                        kind / 3,
                        *subject,
                        step_number,
                        *byte_b,
                    )),
                    _ => ClusterOperation::Reports(vec![
                        report_from_bytes(&state, kind / 3, *subject, *byte_a, *byte_b),
                        report_from_bytes(&state, *byte_b, *byte_a, *subject, *kind),
                    ]),
                };
                let before = state.position;
                let (_, deltas) = state.apply(
                    &format!("origin-{}", subject % 2),
                    1,
                    step_number,
                    operation,
                );
                assert_eq!(
                    state.position > before,
                    !deltas.is_empty(),
                    "the position advances exactly when there are deltas"
                );
                incremental = incremental.updated(false, state.position, deltas.clone());
                batched.1.extend(deltas.clone());
                resynced = if step_number % 17 == 5 {
                    resynced.updated(true, state.position, state.full_deltas())
                } else {
                    resynced.updated(false, state.position, deltas)
                };
                if step_number.is_multiple_of(7) {
                    batched.0 = batched
                        .0
                        .updated(false, state.position, mem::take(&mut batched.1));
                    assert_eq!(batched.0, full_snapshot(&state));
                }
                assert_eq!(
                    incremental,
                    full_snapshot(&state),
                    "after the step ({kind}, {subject}, {byte_a}, {byte_b})"
                );
                assert!(step_number < 5 || resynced == incremental);
                let restored = ClusterState::from_bytes(&state.to_bytes())
                    .expect("the archive of a state is valid");
                assert_eq!(restored, state);
            });
    });
}

#[test]
fn the_longest_prefix_wins_and_the_next_longest_after_its_route_is_dropped() {
    let mut state = sample_state();
    apply_call(
        &mut state,
        combined(
            put("wide", 1, route_body("shop", "/", "seat")),
            put("narrow", 1, route_body("shop", "/book/now/", "seat")),
        ),
    );
    let route_name = |state: &ClusterState, path: &str| {
        full_snapshot(state)
            .route("shop", path)
            .map(|item| item.name.clone())
    };
    assert_eq!(route_name(&state, "/book/now/1").as_deref(), Some("narrow"));
    assert_eq!(route_name(&state, "/book/never").as_deref(), Some("book"));
    assert_eq!(route_name(&state, "/else").as_deref(), Some("wide"));
    apply_call(&mut state, drop_of(ItemKind::Route, "narrow", 2));
    assert_eq!(route_name(&state, "/book/now/1").as_deref(), Some("book"));
    assert_eq!(
        full_snapshot(&state)
            .route("fair", "/book/")
            .map(|item| item.name.clone()),
        None
    );
}

/// A new snapshot shares the lists of available backends of all services that an update does not
/// affect. Backend `i` runs beside node `i` and serves service `i % service_count`.
#[test]
fn available_backends_are_rebuilt_only_for_changed_services() {
    let service_count = 20;
    let name = |index: usize| format!("backend-{index}");
    let node = |index: usize, incarnation: u64| ClusterReport::NodeRegistered {
        node: format!("node-{index}"),
        zone: "z0".into(),
        address: format!("address-{index}"),
        incarnation,
        replaces: incarnation - 1,
    };
    let joined = |index: usize| ClusterReport::BackendJoined {
        name: name(index),
        backend: backend_record(
            &format!("service-{}", index % service_count),
            &format!("node-{index}"),
        ),
    };
    let mut state = ClusterState::default();
    (0..100).for_each(|index| {
        drop(apply_reports(
            &mut state,
            vec![node(index, 1), joined(index)],
        ))
    });
    let mut current = full_snapshot(&state);
    let mut rebuilt_by = |report: ClusterReport| {
        let deltas = apply_reports(&mut state, vec![report]);
        let next = current.updated(false, state.position, deltas);
        let before = mem::replace(&mut current, next);
        assert_eq!(current, full_snapshot(&state));
        let is_rebuilt = |index: &usize| {
            !Arc::ptr_eq(
                &before.available_backends(&format!("service-{index}")),
                &current.available_backends(&format!("service-{index}")),
            )
        };
        (0..service_count).filter(is_rebuilt).collect::<Vec<_>>()
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
            .map(|backend| backend.name.clone())
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
