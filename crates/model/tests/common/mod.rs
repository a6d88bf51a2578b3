//! A small state machine: one service, one order and four nodes.

use model::{
    Backend, BackendPhase, Change, Edit, Entry, Grouping, Operation, Outcome, Selector,
    StandingOrder, StateMachine, endpoint_status::EndpointReport,
};

pub(crate) fn grouping(service: &str) -> Edit {
    let grouping = Grouping {
        service: service.into(),
        zone: "z0".into(),
        labels: Default::default(),
    };
    Edit::PutGrouping {
        name: format!("{service}-z0"),
        grouping,
    }
}

pub(crate) fn order(name: &str, from: &str, service: &str, path: &str) -> Edit {
    let selector = Selector {
        from: vec![from.into()],
        service: service.into(),
        methods: vec![],
        path_prefix: path.into(),
        labels: Default::default(),
    };
    let order = StandingOrder {
        selector,
        wait_us: 1_000_000,
        importance: 5,
        idempotent: false,
        keyed: false,
        allow_other_zones: true,
    };
    Edit::PutOrder {
        name: name.into(),
        order,
    }
}

pub(crate) fn change(state: &mut StateMachine, id: &str, base: u64, edits: Vec<Edit>) -> Outcome {
    let operation = Operation::Change(Change {
        id: id.into(),
        base_version: base,
        edits,
    });
    state.apply(Entry {
        origin: "core-0".into(),
        incarnation: 1,
        sequence: 0,
        operation,
    })
}

pub(crate) fn apply_report(
    state: &mut StateMachine,
    origin: &str,
    incarnation: u64,
    sequence: u64,
    report: EndpointReport,
) -> Outcome {
    state.apply(Entry {
        origin: origin.into(),
        incarnation,
        sequence,
        operation: Operation::EndpointReport(report),
    })
}

pub(crate) fn node(name: &str, incarnation: u64) -> EndpointReport {
    EndpointReport::NodeRegistered {
        node: name.into(),
        zone: "z0".into(),
        address: "127.0.0.1:1".into(),
        incarnation,
        replaces: incarnation.saturating_sub(1),
    }
}

pub(crate) fn registered(name: &str, node: &str, incarnation: u64) -> EndpointReport {
    let backend = Backend {
        service: "seat".into(),
        zone: "z0".into(),
        labels: Default::default(),
        slots: 4,
        node: node.into(),
        incarnation,
        phase: BackendPhase::Registered,
        changed_at: 0,
    };
    EndpointReport::BackendRegistered {
        name: name.into(),
        backend,
    }
}

pub(crate) fn sample_state() -> StateMachine {
    let mut state = StateMachine::default();
    let accepted = change(
        &mut state,
        "site",
        0,
        vec![grouping("seat"), order("check", "seat", "seat", "/check")],
    );
    assert!(
        matches!(accepted, Outcome::Accepted { version: 1, .. }),
        "{accepted:?}"
    );
    (0..4u64).for_each(|at| {
        assert!(matches!(
            apply_report(
                &mut state,
                &format!("n{at}"),
                1,
                1,
                node(&format!("n{at}"), 1)
            ),
            Outcome::Accepted { .. }
        ))
    });
    state
}
