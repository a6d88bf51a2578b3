//! Key leases as backends register, end and change (design 7).

mod common;

use common::{apply_report, change, order, registered, sample_state};
use model::{
    Edit, Grouping, Outcome, StandingOrder, StateMachine, endpoint_status::EndpointReport,
};

#[test]
fn only_an_unclean_node_exit_leaves_releases_pending() {
    let pending_after = |report: EndpointReport| {
        let mut state = keyed_sample_state();
        apply_report(&mut state, "n0", 1, 3, report);
        let leases = &state.leases["seat"];
        assert!(leases.iter().all(|lease| {
            lease
                .holder
                .as_ref()
                .is_some_and(|(name, _)| name == "seat-1")
        }));
        assert!(
            leases
                .iter()
                .all(|lease| lease.fencing_token <= state.position)
        );
        leases
            .iter()
            .filter(|lease| !lease.pending_releases.is_empty())
            .count()
    };
    assert_eq!(
        pending_after(EndpointReport::NodeLeft {
            node: "n0".into(),
            incarnation: 1,
            clean: true
        }),
        0
    );
    assert!(
        pending_after(EndpointReport::NodeLeft {
            node: "n0".into(),
            incarnation: 1,
            clean: false
        }) > 0
    );
}

#[test]
fn a_keyed_order_for_part_of_a_service_is_invalid() {
    let fault_paths = |modify: fn(&mut StandingOrder)| {
        let mut state = sample_state();
        let mut edit = order("take", "seat", "seat", "/take");
        if let Edit::PutOrder { order, .. } = &mut edit {
            order.keyed = true;
            modify(order);
        }
        match change(&mut state, "keyed", 1, vec![edit]) {
            Outcome::Invalid { faults } => faults.into_iter().map(|fault| fault.path).collect(),
            _ => Vec::new(),
        }
    };
    assert_eq!(
        fault_paths(|order| drop(order.selector.labels.insert("kind".into(), "large".into()))),
        ["edits[0].order.selector.labels"]
    );
    assert_eq!(
        fault_paths(|order| order.allow_other_zones = false),
        ["edits[0].order.leave_zone"]
    );
    assert_eq!(fault_paths(|_| ()), Vec::<String>::new());
}

fn keyed_sample_state() -> StateMachine {
    let mut state = sample_state();
    let mut keyed = order("take", "seat", "seat", "/take");
    if let Edit::PutOrder { order, .. } = &mut keyed {
        order.keyed = true;
    }
    change(&mut state, "keyed", 1, vec![keyed]);
    apply_report(&mut state, "n0", 1, 2, registered("seat-0", "n0", 10));
    apply_report(&mut state, "n1", 1, 2, registered("seat-1", "n1", 10));
    state
}

fn slots_held(state: &StateMachine, name: &str) -> usize {
    state.leases["seat"]
        .iter()
        .filter(|lease| {
            lease
                .holder
                .as_ref()
                .is_some_and(|(holder, _)| holder == name)
        })
        .count()
}

#[test]
fn slot_changes_move_keys_in_proportion() {
    let mut state = keyed_sample_state();
    assert_eq!(
        (slots_held(&state, "seat-0"), slots_held(&state, "seat-1")),
        (32, 32)
    );
    let slots = |incarnation, slots| EndpointReport::SlotsChanged {
        name: "seat-0".into(),
        incarnation,
        slots,
    };
    assert!(
        matches!(
            apply_report(&mut state, "n0", 1, 3, slots(9, 12)),
            Outcome::Unchanged { .. }
        ),
        "a report of an earlier incarnation is ignored"
    );
    apply_report(&mut state, "n0", 1, 4, slots(10, 12));
    assert_eq!(
        (slots_held(&state, "seat-0"), slots_held(&state, "seat-1")),
        (48, 16)
    );
    apply_report(&mut state, "n0", 1, 5, slots(10, 0));
    assert_eq!(
        (slots_held(&state, "seat-0"), slots_held(&state, "seat-1")),
        (0, 64)
    );
}

#[test]
fn backends_that_match_no_grouping_lose_their_keys() {
    let mut state = keyed_sample_state();
    let labelled = |value: &str| {
        let labels = [("rack".to_string(), value.to_string())]
            .into_iter()
            .collect();
        Edit::PutGrouping {
            name: "seat-z0".into(),
            grouping: Grouping {
                service: "seat".into(),
                zone: "z0".into(),
                labels,
            },
        }
    };
    let accepted = change(&mut state, "relabel", 2, vec![labelled("b")]);
    assert!(matches!(accepted, Outcome::Accepted { .. }), "{accepted:?}");
    let services: model::state_slice::ServiceSet = ["seat".to_string()].into_iter().collect();
    let slice = model::StateSlice::for_services(&state, &services);
    assert!(
        slice.backends.is_empty(),
        "a backend without a grouping is not offered"
    );
    assert!(
        state.leases["seat"]
            .iter()
            .all(|lease| lease.holder.is_none() && !lease.pending_releases.is_empty()),
        "the release of their slots is pending"
    );
    assert!(matches!(
        apply_report(&mut state, "n2", 1, 2, registered("seat-2", "n2", 10)),
        Outcome::Refused { .. }
    ));
    let restored = Edit::PutGrouping {
        name: "seat-z0".into(),
        grouping: Grouping {
            service: "seat".into(),
            zone: "z0".into(),
            labels: Default::default(),
        },
    };
    change(&mut state, "back", 3, vec![restored]);
    assert_eq!(
        slots_held(&state, "seat-0") + slots_held(&state, "seat-1"),
        64
    );
}
