//! News of a part of the state, and both state machines after entries that leave something in each part.

use crate::entries::{items, put};
use crate::samples::{
    LIFE, back_end, bodies, edits, grouping, names, node, order, phases, player, reports, text,
};
use model::Selector;
use model::cluster_state::{ClusterOperation, ClusterReport, ItemBody, Service};
use model::endpoint_status::EndpointReport;
use model::leases::Lease;
use model::{
    BackendPhase, Change, ClusterState, Edit, Entry, Grouping, Operation, Outcome,
    ReplicaReplacement, StandingOrder, StateMachine, StatePatch, StateSlice,
};
use std::collections::BTreeMap;

pub(crate) fn slice() -> StateSlice {
    let term = Lease {
        holder: Some((text("b1"), 3)),
        fencing_token: 9,
        pending_releases: vec![((text("b0"), 2), 8)],
    };
    StateSlice {
        services: names(["seat", "web"]),
        position: 51,
        version: 52,
        groupings: [(text("seats"), grouping())].into(),
        orders: [(text("book"), order(true))].into(),
        backends: phases()
            .into_iter()
            .map(|(name, phase)| (text(name), back_end(phase)))
            .collect(),
        nodes: [(text("n1"), node())].into(),
        leases: [(text("seat"), vec![term, Lease::default()])].into(),
        longest_requests: [(text("seat"), 1_500_000)].into(),
    }
}

pub(crate) fn patch() -> StatePatch {
    let next = StateSlice {
        position: 53,
        longest_requests: BTreeMap::new(),
        ..slice()
    };
    let held = StateSlice {
        groupings: BTreeMap::new(),
        nodes: BTreeMap::new(),
        ..slice()
    };
    held.diff_to(&next)
}

/// Items, back ends, nodes and rows, after entries that leave something in each part.
pub(crate) fn bill() -> ClusterState {
    let mut bill = ClusterState::default();
    let mut sequence = 0;
    let mut apply = |origin: &str, act: ClusterOperation| {
        sequence += 1;
        let (outcome, _) = bill.apply(origin, LIFE, sequence, act);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    };
    let seat = || {
        ItemBody::Service(Service {
            health_path: text("/healthz"),
            max_connections: 64,
            keyed: true,
            slow_start_us: 0,
        })
    };
    let services = vec![put("seat", seat()), put("seat-next", seat())];
    apply("operator", items(services, Vec::new()));
    apply(
        "operator",
        items(vec![put("book", bodies()[0].1.clone())], Vec::new()),
    );
    apply(
        "operator",
        items(vec![put("", bodies()[2].1.clone())], Vec::new()),
    );
    let registers = |node: &str| ClusterReport::NodeRegistered {
        node: text(node),
        zone: text("z0"),
        address: format!("{node}:7000"),
        incarnation: LIFE,
        replaces: 0,
    };
    let joins = |name: &str| ClusterReport::BackendJoined {
        name: text(name),
        backend: player(BackendPhase::Registered),
    };
    apply(
        "n1",
        ClusterOperation::Reports(vec![registers("n1"), joins("b0"), joins("b1"), joins("b2")]),
    );
    apply("n2", ClusterOperation::Reports(vec![registers("n2")]));
    let recast = |base: u64, rows: Vec<(u16, u16, String)>| ClusterReport::ShardsReassigned {
        service: text("seat"),
        base_placement: base,
        ranges: rows,
    };
    let halves = vec![(0, 32_767, text("b0")), (32_768, u16::MAX, text("b1"))];
    apply("n1", ClusterOperation::Reports(vec![recast(0, halves)]));
    let moved = vec![
        (0, 9_999, text("b1")),
        (10_000, 32_767, text("b0")),
        (32_768, u16::MAX, text("b1")),
    ];
    apply("n1", ClusterOperation::Reports(vec![recast(6, moved)]));
    let gone = ClusterReport::BackendEnded {
        name: text("b2"),
        process_gone: true,
    };
    apply(
        "n1",
        ClusterOperation::Reports(vec![
            gone,
            ClusterReport::BackendDraining { name: text("b0") },
        ]),
    );
    bill
}

/// Changes, back ends, nodes, keys and a change of a seat's holder.
pub(crate) fn book() -> StateMachine {
    let mut book = StateMachine::default();
    let mut apply = |instance: u64, origin: &str, act: Operation| {
        let entry = Entry {
            origin: text(origin),
            incarnation: LIFE,
            sequence: instance,
            operation: act,
        };
        let outcome = book.apply_at(entry, instance, 1_000_000);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    };
    let callers = ["web", "desk"].map(|service| Edit::PutGrouping {
        name: text(service),
        grouping: Grouping {
            service: text(service),
            ..grouping()
        },
    });
    let keyed = StandingOrder {
        selector: Selector {
            labels: BTreeMap::new(),
            ..order(true).selector
        },
        allow_other_zones: true,
        ..order(true)
    };
    let own = [
        edits()[0].1.clone(),
        Edit::PutOrder {
            name: text("book"),
            order: keyed,
        },
    ];
    let first = callers.into_iter().chain(own).collect();
    apply(
        1,
        "operator",
        Operation::Change(Change {
            id: text("first"),
            base_version: 0,
            edits: first,
        }),
    );
    apply(2, "n1", Operation::EndpointReport(reports()[0].1.clone()));
    for name in ["b1", "b2"] {
        let report = EndpointReport::BackendRegistered {
            name: text(name),
            backend: back_end(BackendPhase::Registered),
        };
        apply(
            if name == "b1" { 3 } else { 4 },
            "n1",
            Operation::EndpointReport(report),
        );
    }
    let leaves = EndpointReport::PhaseChanged {
        name: text("b1"),
        incarnation: back_end(BackendPhase::Registered).incarnation,
        phase: BackendPhase::Draining,
    };
    apply(5, "n1", Operation::EndpointReport(leaves));
    apply(
        6,
        "operator",
        Operation::ReplaceReplica(ReplicaReplacement {
            replica_id: 2,
            old_disk: 71,
            new_disk: 72,
        }),
    );
    book
}
