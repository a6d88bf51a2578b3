//! The state machine: repeated entries, concurrent changes, invalid changes and failure detection
//! (design 2).

mod common;

use common::{apply_report, change, grouping, order, registered, sample_state};
use model::{BackendPhase, Edit, Outcome, StateMachine, endpoint_status::EndpointReport};

#[test]
fn a_repeated_change_gets_its_first_outcome_and_has_no_second_effect() {
    let mut state = sample_state();
    let first = change(
        &mut state,
        "more",
        1,
        vec![order("take", "seat", "seat", "/take")],
    );
    let before = state.clone();
    assert_eq!(
        change(
            &mut state,
            "more",
            1,
            vec![order("take", "seat", "seat", "/take")]
        ),
        first
    );
    assert_eq!(
        change(
            &mut state,
            "more",
            1,
            vec![order("take", "seat", "seat", "/other")]
        ),
        Outcome::Reused { version: 2 }
    );
    assert_eq!(
        change(
            &mut state,
            "late",
            1,
            vec![order("x", "seat", "seat", "/x")]
        ),
        Outcome::Stale { version: 2 }
    );
    assert_eq!(state, before);
}

#[test]
fn an_invalid_change_reports_all_faults_and_has_no_effect() {
    let mut state = sample_state();
    let before = state.clone();
    let mut long = order("long", "seat", "seat", "/long");
    if let Edit::PutOrder { order, .. } = &mut long {
        order.wait_us = 90_000_000;
    }
    let edits = vec![
        grouping("fine"),
        long,
        order("Bad Name", "seat", "seat", "/a"),
        order("lost", "seat", "nowhere", "/b"),
        order("twin", "seat", "seat", "/check"),
        Edit::DropOrder {
            name: "absent".into(),
        },
    ];
    let Outcome::Invalid { faults } = change(&mut state, "bad", 1, edits) else {
        panic!("the invalid change was accepted")
    };
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    [
        "edits[1].order.wait_us",
        "edits[2].name",
        "orders.lost.selector.service",
        "orders.twin.selector",
        "edits[5].name",
    ]
    .iter()
    .for_each(|path| assert!(paths.contains(path), "{path} is not among {paths:?}"));
    assert_eq!(state, before);
}

#[test]
fn dropping_a_grouping_that_an_order_needs_is_invalid() {
    let mut state = sample_state();
    let outcome = change(
        &mut state,
        "drop",
        1,
        vec![Edit::DropGrouping {
            name: "seat-z0".into(),
        }],
    );
    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert_eq!(state.desired.version, 1);
}

#[test]
fn repeats_and_earlier_incarnations_change_nothing() {
    let mut state = sample_state();
    let first = apply_report(&mut state, "n0", 1, 2, registered("seat-0", "n0", 10));
    let before = state.clone();
    assert_eq!(
        apply_report(&mut state, "n0", 1, 2, registered("seat-0", "n0", 10)),
        first
    );
    assert!(matches!(
        apply_report(&mut state, "n0", 0, 9, registered("seat-0", "n0", 99)),
        Outcome::Superseded { .. }
    ));
    assert_eq!(state, before);
    let mut unmatched = registered("else-0", "n0", 10);
    if let EndpointReport::BackendRegistered { backend, .. } = &mut unmatched {
        backend.service = "else".into();
    }
    assert!(
        matches!(
            apply_report(&mut state, "n0", 1, 3, unmatched),
            Outcome::Refused { .. }
        ),
        "it matches no grouping"
    );
    // Another node cannot take the name of a live backend, and an incarnation that ended stays
    // ended.
    assert!(matches!(
        apply_report(&mut state, "n1", 1, 2, registered("seat-0", "n1", 20)),
        Outcome::Refused { .. }
    ));
    let phase = |phase| EndpointReport::PhaseChanged {
        name: "seat-0".into(),
        incarnation: 10,
        phase,
    };
    apply_report(&mut state, "n0", 1, 4, phase(BackendPhase::Deregistered));
    apply_report(&mut state, "n0", 1, 5, phase(BackendPhase::Draining));
    assert_eq!(
        state.endpoint_status.backends["seat-0"].phase,
        BackendPhase::Deregistered
    );
}

#[test]
fn a_node_becomes_absent_when_two_observers_suspect_it() {
    let mut state = sample_state();
    apply_report(&mut state, "n0", 1, 2, registered("seat-0", "n0", 10));
    let suspected = |observer: &str, suspected| EndpointReport::NodeObserved {
        observer: observer.into(),
        node: "n0".into(),
        incarnation: 1,
        suspected,
    };
    apply_report(&mut state, "n1", 1, 2, suspected("n1", true));
    assert!(state.endpoint_status.nodes["n0"].present);
    apply_report(&mut state, "n1", 1, 3, suspected("n1", false));
    apply_report(&mut state, "n2", 1, 2, suspected("n2", true));
    assert!(
        state.endpoint_status.nodes["n0"].present,
        "a withdrawn suspicion does not count"
    );
    apply_report(&mut state, "n3", 1, 2, suspected("n3", true));
    assert!(!state.endpoint_status.nodes["n0"].present);
    assert_eq!(
        state.endpoint_status.backends["seat-0"].phase,
        BackendPhase::PresumedGone
    );
}

#[test]
fn repeat_detection_tables_are_bounded_and_old_repeats_are_stale() {
    let mut state = sample_state();
    (1..1_500u64).for_each(|version| {
        let path = if version % 2 == 0 { "/take" } else { "/give" };
        let outcome = change(
            &mut state,
            &format!("c{version}"),
            version,
            vec![order("take", "seat", "seat", path)],
        );
        assert!(matches!(outcome, Outcome::Accepted { .. }));
    });
    let size = state.to_bytes().len();
    assert!(size < 400_000, "the state grew to {size} bytes");
    assert_eq!(
        change(
            &mut state,
            "c1",
            1,
            vec![order("take", "seat", "seat", "/give")]
        ),
        Outcome::Stale { version: 1_500 }
    );
    let restored = StateMachine::from_bytes(&state.to_bytes()).expect("a snapshot");
    assert_eq!(restored, state);
}

#[test]
fn a_patch_turns_the_earlier_slice_into_the_later_one() {
    test_support::check_generated::<[(u8, u8); 24]>(200, |steps| {
        let mut state = sample_state();
        let services: model::state_slice::ServiceSet = ["seat".to_string()].into_iter().collect();
        let mut slice = model::StateSlice::for_services(&state, &services);
        steps.iter().zip(10u64..).for_each(|((kind, index), turn)| {
            let name = format!("seat-{}", index % 4);
            match kind % 5 {
                0 => drop(apply_report(
                    &mut state,
                    "n0",
                    1,
                    turn,
                    registered(&name, "n0", turn),
                )),
                1 => drop(apply_report(
                    &mut state,
                    "n0",
                    1,
                    turn,
                    EndpointReport::PhaseChanged {
                        name,
                        incarnation: *index as u64,
                        phase: BackendPhase::Draining,
                    },
                )),
                2 => drop(apply_report(
                    &mut state,
                    "n0",
                    1,
                    turn,
                    EndpointReport::NodeLeft {
                        node: format!("n{}", index % 4),
                        incarnation: 1,
                        clean: true,
                    },
                )),
                3 => {
                    let version = state.desired.version;
                    drop(change(
                        &mut state,
                        &format!("c{turn}"),
                        version,
                        vec![order(
                            "take",
                            "seat",
                            "seat",
                            &format!("/take{}", index % 3),
                        )],
                    ))
                }
                _ => {
                    let version = state.desired.version;
                    drop(change(
                        &mut state,
                        &format!("c{turn}"),
                        version,
                        vec![Edit::DropOrder {
                            name: "take".into(),
                        }],
                    ))
                }
            }
            let next = model::StateSlice::for_services(&state, &services);
            let patched = slice.with_patch(slice.diff_to(&next));
            assert_eq!(patched, next);
            slice = patched;
        });
    });
}
