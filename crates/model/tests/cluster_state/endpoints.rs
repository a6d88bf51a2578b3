//! Backends and nodes: late reports do not undo later ones (design 11.2).

use crate::fixtures::*;
use model::cluster_state::{ClusterOperation, ClusterReport, shard_map};
use model::{BackendPhase, ClusterState, Outcome};

#[test]
fn late_reports_do_not_restore_an_ended_backend() {
    [true, false].into_iter().for_each(|process_gone| {
        let mut state = sample_state();
        apply_reports(&mut state, vec![joined("a"), joined("b")]);
        apply_reports(&mut state, vec![ended("a", process_gone)]);
        let late_reports = [
            joined("a"),
            ClusterReport::BackendSilent {
                name: "a".into(),
                silent: false,
            },
            ClusterReport::BackendDraining { name: "a".into() },
            joined("a"),
        ];
        late_reports
            .into_iter()
            .for_each(|report| assert_eq!(apply_reports(&mut state, vec![report]), Vec::new()));
        assert!(!state.backends.contains_key("a") && state.backends.contains_key("b"));
    });
    let mut state = sample_state();
    apply_reports(&mut state, vec![ended("early", false)]);
    assert_eq!(
        apply_reports(&mut state, vec![joined("early")]),
        Vec::new(),
        "the backend ended before the report that it joined"
    );
    // The ended backend is also remembered in a snapshot and over many other changes.
    (0..2_000).for_each(|turn| {
        drop(apply_reports(
            &mut state,
            vec![
                ClusterReport::BackendSilent {
                    name: "x".into(),
                    silent: turn % 2 == 0,
                },
                joined(&format!("x-{turn}")),
            ],
        ))
    });
    let mut restored = ClusterState::from_bytes(&state.to_bytes()).expect("a snapshot");
    assert_eq!(restored, state);
    assert_eq!(
        apply_reports(&mut restored, vec![joined("early")]),
        Vec::new()
    );
}

#[test]
fn late_reports_do_not_move_a_backend_phase_back() {
    let mut state = sample_state();
    let phase = |state: &ClusterState| state.backends["a"].phase;
    let silent = |silent: bool| ClusterReport::BackendSilent {
        name: "a".into(),
        silent,
    };
    apply_reports(&mut state, vec![joined("a"), silent(true)]);
    assert_eq!(phase(&state), BackendPhase::PresumedGone);
    assert_eq!(
        apply_reports(&mut state, vec![joined("a")]),
        Vec::new(),
        "an earlier report does not end the unresponsive phase"
    );
    apply_reports(&mut state, vec![silent(false)]);
    assert_eq!(phase(&state), BackendPhase::Registered);
    apply_reports(
        &mut state,
        vec![ClusterReport::BackendDraining { name: "a".into() }],
    );
    [joined("a"), silent(false), silent(true), joined("a")]
        .into_iter()
        .for_each(|report| drop(apply_reports(&mut state, vec![report])));
    assert_eq!(
        phase(&state),
        BackendPhase::Draining,
        "a draining backend stays draining"
    );
}

#[test]
fn reports_of_an_origin_are_applied_once_and_in_order() {
    let mut state = sample_state();
    let mut report = |incarnation: u64, sequence: u64, name: &str| {
        let operation = ClusterOperation::Reports(vec![joined(name)]);
        matches!(
            state.apply("n0", incarnation, sequence, operation).0,
            Outcome::Accepted { .. }
        )
    };
    assert!(report(2, 5, "a"));
    assert!(!report(2, 5, "b"), "a repeat");
    assert!(!report(2, 4, "c"), "an earlier report of this incarnation");
    assert!(
        !report(1, 9, "d") && !report(3, 1, "e"),
        "reports of another incarnation before it is registered"
    );
    assert!(matches!(
        state
            .apply(
                "n0",
                1,
                1,
                ClusterOperation::Reports(vec![node("n0", 1), joined("f")])
            )
            .0,
        Outcome::Accepted { .. }
    ));
    let mut report = |incarnation: u64, sequence: u64, name: &str| {
        state
            .apply(
                "n0",
                incarnation,
                sequence,
                ClusterOperation::Reports(vec![joined(name)]),
            )
            .0
    };
    assert!(
        matches!(report(1, 2, "g"), Outcome::Accepted { .. }),
        "a new incarnation starts a new sequence"
    );
    assert!(
        matches!(report(2, 6, "h"), Outcome::Superseded { .. }),
        "the previous incarnation is superseded"
    );
}

#[test]
fn a_node_becomes_absent_when_two_observers_suspect_it() {
    let mut state = sample_state();
    let node = |name: &str, incarnation: u64| ClusterReport::NodeRegistered {
        node: name.into(),
        zone: "z0".into(),
        address: format!("{name}:1"),
        incarnation,
        replaces: incarnation - 1,
    };
    let suspected = |by: &str, incarnation: u64, suspected: bool| ClusterReport::NodeObserved {
        observer: by.into(),
        node: "n0".into(),
        incarnation,
        suspected,
    };
    apply_reports(
        &mut state,
        (0..4)
            .map(|number| node(&format!("n{number}"), 1))
            .collect(),
    );
    let is_present = |state: &ClusterState| state.nodes["n0"].present;
    apply_reports(
        &mut state,
        vec![suspected("n1", 1, true), suspected("n1", 1, true)],
    );
    assert!(
        is_present(&state),
        "repeated suspicions of one observer count once"
    );
    apply_reports(&mut state, vec![suspected("n2", 1, true)]);
    assert!(!is_present(&state));
    apply_reports(
        &mut state,
        vec![
            node("n0", 2),
            suspected("n3", 1, true),
            suspected("n1", 1, true),
        ],
    );
    assert!(
        is_present(&state),
        "the suspected incarnation is an earlier one"
    );
    assert_eq!(apply_reports(&mut state, vec![node("n0", 1)]), Vec::new());
}

#[test]
fn placements_need_known_backends_and_the_latest_base_placement() {
    let mut state = sample_state();
    apply_reports(&mut state, vec![joined("a"), joined("b")]);
    let all = |name: &'static str| [(0, u16::MAX, name)];
    apply_reports(&mut state, vec![reassigned(0, &all("a"))]);
    let base = state.placements["seat"].0;
    assert_eq!(
        apply_reports(&mut state, vec![reassigned(0, &all("b"))]),
        Vec::new(),
        "its base placement is not the latest"
    );
    assert_eq!(
        apply_reports(&mut state, vec![reassigned(base, &all("nobody"))]),
        Vec::new()
    );
    assert_eq!(
        apply_reports(
            &mut state,
            vec![reassigned(base, &[(0, 9, "b"), (10, 20, "nobody")])]
        ),
        Vec::new(),
        "a placement is applied as a whole or not at all"
    );
    assert_eq!(
        apply_reports(&mut state, vec![reassigned(base, &[(9, 8, "b")])]),
        Vec::new(),
        "the last key must not precede the first key"
    );
    apply_reports(&mut state, vec![reassigned(base, &all("b"))]);
    let range = |state: &ClusterState| {
        shard_map::range_of(&state.placements["seat"].1, 77)
            .cloned()
            .expect("a range")
    };
    let fencing_token = range(&state).fencing_token;
    assert_eq!(
        range(&state).pending_releases,
        [("a".to_string(), fencing_token)]
    );
    apply_reports(&mut state, vec![ended("a", false)]);
    assert_eq!(
        range(&state).pending_releases.len(),
        1,
        "its process may still run"
    );
    apply_reports(&mut state, vec![ended("a", true)]);
    assert_eq!(
        (range(&state).pending_releases.len(), range(&state).holder),
        (0, Some("b".to_string())),
        "its process has ended"
    );
    apply_reports(&mut state, vec![ended("b", false)]);
    assert_eq!(
        range(&state).holder,
        Some("b".to_string()),
        "the next holder has to wait for it"
    );
    let base = state.placements["seat"].0;
    apply_reports(&mut state, vec![joined("c"), reassigned(base, &all("c"))]);
    assert_eq!(range(&state).pending_releases.len(), 1);
}

fn node(name: &str, incarnation: u64) -> ClusterReport {
    ClusterReport::NodeRegistered {
        node: name.into(),
        zone: "z0".into(),
        address: format!("{name}:1"),
        incarnation,
        replaces: incarnation - 1,
    }
}

fn suspected(node: &str) -> [ClusterReport; 2] {
    ["holder-0", "holder-1"].map(|observer| ClusterReport::NodeObserved {
        observer: observer.into(),
        node: node.into(),
        incarnation: 1,
        suspected: true,
    })
}

/// Advances the state by `count` entries about an unrelated backend.
fn advance(state: &mut ClusterState, count: u64) {
    (0..count).for_each(|turn| {
        drop(apply_reports(
            state,
            vec![ClusterReport::BackendSilent {
                name: "holder".into(),
                silent: turn % 2 == 0,
            }],
        ))
    });
}

fn state_with_holder() -> ClusterState {
    let mut state = sample_state();
    let holder = ClusterReport::BackendJoined {
        name: "holder".into(),
        backend: backend_record("seat", "holder-0"),
    };
    apply_reports(
        &mut state,
        vec![
            node("holder-0", 1),
            node("holder-1", 1),
            node("holder-2", 1),
            holder,
        ],
    );
    state
}

#[test]
fn machines_replaced_under_new_names_do_not_grow_the_state() {
    let mut state = state_with_holder();
    let mut follower = model::cluster_state::StateSnapshot::default().updated(
        true,
        state.position,
        state.full_deltas(),
    );
    let sizes = (0..3_000).map(|turn| {
        let (name, before) = (format!("{turn}"), turn - 1);
        let joined = ClusterReport::BackendJoined {
            name: name.clone(),
            backend: backend_record("seat", &name),
        };
        let deltas = [
            vec![node(&name, 1), joined],
            suspected(&format!("{before}")).to_vec(),
        ]
        .map(|reports| apply_reports(&mut state, reports));
        follower = follower.updated(false, state.position, deltas.concat());
        state.nodes.len().max(state.backends.len())
    });
    // Each replacement takes two entries, and an absent node is retained for about 4,096 entries.
    let largest = sizes.max();
    assert!(
        largest.is_some_and(|largest| largest < 2_200),
        "{largest:?} names"
    );
    assert_eq!(
        follower,
        model::cluster_state::StateSnapshot::default().updated(
            true,
            state.position,
            state.full_deltas()
        ),
        "followers remove the same names"
    );
    assert!(state.to_bytes().len() < 1_000_000);
}

#[test]
fn backends_that_hold_or_may_hold_keys_are_kept_until_their_releases_expire() {
    let mut state = state_with_holder();
    apply_reports(
        &mut state,
        vec![
            node("node-a", 1),
            node("node-b", 1),
            joined("a"),
            joined("b"),
            reassigned(0, &[(0, u16::MAX, "a")]),
        ],
    );
    apply_reports(&mut state, suspected("node-a").to_vec());
    advance(&mut state, 10_000);
    assert!(
        state.backends.contains_key("a") && state.nodes.contains_key("node-a"),
        "it holds keys"
    );
    let base = state.placements["seat"].0;
    apply_reports(&mut state, vec![reassigned(base, &[(0, u16::MAX, "b")])]);
    advance(&mut state, 10_000);
    let range = state.placements["seat"].1[0].clone();
    assert_eq!(
        range
            .pending_releases
            .iter()
            .map(|(name, _)| name.as_str())
            .collect::<Vec<_>>(),
        ["a"]
    );
    assert!(
        state.backends.contains_key("a") && state.nodes.contains_key("node-a"),
        "it may still hold the keys that it has not released"
    );
    apply_reports(
        &mut state,
        vec![ClusterReport::ReleasesExpired {
            service: "seat".into(),
            ranges: vec![(0, u16::MAX, range.fencing_token)],
        }],
    );
    advance(&mut state, 600);
    assert!(
        !state.backends.contains_key("a") && !state.nodes.contains_key("node-a"),
        "no release is pending any more"
    );
}

#[test]
fn a_node_removed_during_a_partition_registers_again() {
    let mut state = state_with_holder();
    apply_reports(&mut state, vec![node("node-a", 1), joined("a")]);
    apply_reports(&mut state, suspected("node-a").to_vec());
    advance(&mut state, 4_000);
    assert!(
        state.nodes.contains_key("node-a"),
        "the node was not absent for long enough"
    );
    advance(&mut state, 1_000);
    assert!(!state.nodes.contains_key("node-a") && !state.backends.contains_key("a"));
    apply_reports(&mut state, vec![node("node-a", 1), joined("a")]);
    assert!(state.nodes["node-a"].present && state.backends["a"].phase == BackendPhase::Registered);
    assert!(state.nodes["node-a"].suspected_by.is_empty());
    // Present nodes are retained, even without any reports about them.
    advance(&mut state, 10_000);
    assert!(state.nodes.contains_key("node-a") && state.backends.contains_key("a"));
}
