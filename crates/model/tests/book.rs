//! The state machine: repeats, races, faults, and who is presumed gone (design 2).

mod site;

use model::{BackendPhase, Edit, Outcome, StateMachine, endpoint_status::EndpointReport};
use site::{change, grouping, order, registered, site, tell};

#[test]
fn a_change_sent_again_has_its_first_answer_and_no_second_effect() {
    let mut book = site();
    let first = change(
        &mut book,
        "more",
        1,
        vec![order("take", "seat", "seat", "/take")],
    );
    let before = book.clone();
    assert_eq!(
        change(
            &mut book,
            "more",
            1,
            vec![order("take", "seat", "seat", "/take")]
        ),
        first
    );
    assert_eq!(
        change(
            &mut book,
            "more",
            1,
            vec![order("take", "seat", "seat", "/other")]
        ),
        Outcome::Reused { version: 2 }
    );
    assert_eq!(
        change(&mut book, "late", 1, vec![order("x", "seat", "seat", "/x")]),
        Outcome::Stale { version: 2 }
    );
    assert_eq!(book, before);
}

#[test]
fn an_invalid_change_has_all_its_faults_named_and_no_part_in_effect() {
    let mut book = site();
    let before = book.clone();
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
    let Outcome::Invalid { faults } = change(&mut book, "bad", 1, edits) else {
        panic!("it was accepted")
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
    assert_eq!(book, before);
}

#[test]
fn taking_away_what_an_order_needs_is_refused() {
    let mut book = site();
    let outcome = change(
        &mut book,
        "drop",
        1,
        vec![Edit::DropGrouping {
            name: "seat-z0".into(),
        }],
    );
    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert_eq!(book.desired.version, 1);
}

#[test]
fn repeats_and_earlier_lives_change_nothing() {
    let mut book = site();
    let first = tell(&mut book, "n0", 1, 2, registered("seat-0", "n0", 10));
    let before = book.clone();
    assert_eq!(
        tell(&mut book, "n0", 1, 2, registered("seat-0", "n0", 10)),
        first
    );
    assert!(matches!(
        tell(&mut book, "n0", 0, 9, registered("seat-0", "n0", 99)),
        Outcome::Superseded { .. }
    ));
    assert_eq!(book, before);
    let mut stranger = registered("else-0", "n0", 10);
    if let EndpointReport::BackendRegistered {
        backend: back_end, ..
    } = &mut stranger
    {
        back_end.service = "else".into();
    }
    assert!(
        matches!(
            tell(&mut book, "n0", 1, 3, stranger),
            Outcome::Refused { .. }
        ),
        "it fits no grouping"
    );
    // A live name is not taken by another node, and a life that ended does not come back.
    assert!(matches!(
        tell(&mut book, "n1", 1, 2, registered("seat-0", "n1", 20)),
        Outcome::Refused { .. }
    ));
    let phase = |phase| EndpointReport::PhaseChanged {
        name: "seat-0".into(),
        incarnation: 10,
        phase,
    };
    tell(&mut book, "n0", 1, 4, phase(BackendPhase::Deregistered));
    tell(&mut book, "n0", 1, 5, phase(BackendPhase::Draining));
    assert_eq!(
        book.endpoint_status.backends["seat-0"].phase,
        BackendPhase::Deregistered
    );
}

#[test]
fn one_watcher_is_not_believed_two_are() {
    let mut book = site();
    tell(&mut book, "n0", 1, 2, registered("seat-0", "n0", 10));
    let missed = |watcher: &str, missed| EndpointReport::NodeObserved {
        observer: watcher.into(),
        node: "n0".into(),
        incarnation: 1,
        missed,
    };
    tell(&mut book, "n1", 1, 2, missed("n1", true));
    assert!(book.endpoint_status.nodes["n0"].present);
    tell(&mut book, "n1", 1, 3, missed("n1", false));
    tell(&mut book, "n2", 1, 2, missed("n2", true));
    assert!(
        book.endpoint_status.nodes["n0"].present,
        "a word taken back does not count"
    );
    tell(&mut book, "n3", 1, 2, missed("n3", true));
    assert!(!book.endpoint_status.nodes["n0"].present);
    assert_eq!(
        book.endpoint_status.backends["seat-0"].phase,
        BackendPhase::PresumedGone
    );
}

#[test]
fn tables_of_repeats_stay_bounded_and_old_repeats_are_stale() {
    let mut book = site();
    (1..1_500u64).for_each(|version| {
        let path = if version % 2 == 0 { "/take" } else { "/give" };
        let outcome = change(
            &mut book,
            &format!("c{version}"),
            version,
            vec![order("take", "seat", "seat", path)],
        );
        assert!(matches!(outcome, Outcome::Accepted { .. }));
    });
    let size = book.to_bytes().len();
    assert!(size < 400_000, "the book grew to {size} bytes");
    assert_eq!(
        change(
            &mut book,
            "c1",
            1,
            vec![order("take", "seat", "seat", "/give")]
        ),
        Outcome::Stale { version: 1_500 }
    );
    assert_eq!(StateMachine::from_bytes(&book.to_bytes()), Some(book));
}

#[test]
fn a_patch_makes_the_later_slice_of_the_earlier_one() {
    test_support::drawn::<[(u8, u8); 24]>(200, |steps| {
        let mut book = site();
        let services: model::state_slice::ServiceSet = ["seat".to_string()].into_iter().collect();
        let mut held = model::StateSlice::for_services(&book, &services);
        steps.iter().zip(10u64..).for_each(|((what, which), turn)| {
            let name = format!("seat-{}", which % 4);
            match what % 5 {
                0 => drop(tell(
                    &mut book,
                    "n0",
                    1,
                    turn,
                    registered(&name, "n0", turn),
                )),
                1 => drop(tell(
                    &mut book,
                    "n0",
                    1,
                    turn,
                    EndpointReport::PhaseChanged {
                        name,
                        incarnation: *which as u64,
                        phase: BackendPhase::Draining,
                    },
                )),
                2 => drop(tell(
                    &mut book,
                    "n0",
                    1,
                    turn,
                    EndpointReport::NodeLeft {
                        node: format!("n{}", which % 4),
                        incarnation: 1,
                        clean: true,
                    },
                )),
                3 => {
                    let version = book.desired.version;
                    drop(change(
                        &mut book,
                        &format!("c{turn}"),
                        version,
                        vec![order(
                            "take",
                            "seat",
                            "seat",
                            &format!("/take{}", which % 3),
                        )],
                    ))
                }
                _ => {
                    let version = book.desired.version;
                    drop(change(
                        &mut book,
                        &format!("c{turn}"),
                        version,
                        vec![Edit::DropOrder {
                            name: "take".into(),
                        }],
                    ))
                }
            }
            let next = model::StateSlice::for_services(&book, &services);
            let patched = held.with_patch(held.diff_to(&next));
            assert_eq!(patched, next);
            held = patched;
        });
    });
}
