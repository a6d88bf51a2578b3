//! A state slice, a patch, and both state machines after entries that change each of their parts.

use crate::entries::{items, put};
use crate::samples::{
    INCARNATION, backend, backend_record, edits, endpoint_reports, grouping, item_bodies, name_set,
    node, order, phases, text,
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

pub(crate) fn state_slice() -> StateSlice {
    let lease = Lease {
        holder: Some((text("b1"), 3)),
        fencing_token: 9,
        pending_releases: vec![((text("b0"), 2), 8)],
    };
    StateSlice {
        services: name_set(["seat", "web"]),
        position: 51,
        version: 52,
        groupings: [(text("seats"), grouping())].into(),
        orders: [(text("book"), order(true))].into(),
        backends: phases()
            .into_iter()
            .map(|(name, phase)| (text(name), backend(phase)))
            .collect(),
        nodes: [(text("n1"), node())].into(),
        leases: [(text("seat"), vec![lease, Lease::default()])].into(),
        longest_requests: [(text("seat"), 1_500_000)].into(),
    }
}

pub(crate) fn state_patch() -> StatePatch {
    let next = StateSlice {
        position: 53,
        longest_requests: BTreeMap::new(),
        ..state_slice()
    };
    let previous = StateSlice {
        groupings: BTreeMap::new(),
        nodes: BTreeMap::new(),
        ..state_slice()
    };
    previous.diff_to(&next)
}

/// Returns a cluster state after entries that change its items, backends, nodes and shard ranges.
pub(crate) fn cluster_state() -> ClusterState {
    let mut cluster_state = ClusterState::default();
    let mut sequence = 0;
    let mut apply = |origin: &str, operation: ClusterOperation| {
        sequence += 1;
        let (outcome, _) = cluster_state.apply(origin, INCARNATION, sequence, operation);
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
        items(vec![put("book", item_bodies()[0].1.clone())], Vec::new()),
    );
    apply(
        "operator",
        items(vec![put("", item_bodies()[2].1.clone())], Vec::new()),
    );
    let registered = |node: &str| ClusterReport::NodeRegistered {
        node: text(node),
        zone: text("z0"),
        address: format!("{node}:7000"),
        incarnation: INCARNATION,
        replaces: 0,
    };
    let joined = |name: &str| ClusterReport::BackendJoined {
        name: text(name),
        backend: backend_record(BackendPhase::Registered),
    };
    apply(
        "n1",
        ClusterOperation::Reports(vec![
            registered("n1"),
            joined("b0"),
            joined("b1"),
            joined("b2"),
        ]),
    );
    apply("n2", ClusterOperation::Reports(vec![registered("n2")]));
    let reassigned =
        |base: u64, shard_ranges: Vec<(u16, u16, String)>| ClusterReport::ShardsReassigned {
            service: text("seat"),
            base_placement: base,
            ranges: shard_ranges,
        };
    let halves = vec![(0, 32_767, text("b0")), (32_768, u16::MAX, text("b1"))];
    apply("n1", ClusterOperation::Reports(vec![reassigned(0, halves)]));
    let moved = vec![
        (0, 9_999, text("b1")),
        (10_000, 32_767, text("b0")),
        (32_768, u16::MAX, text("b1")),
    ];
    apply("n1", ClusterOperation::Reports(vec![reassigned(6, moved)]));
    let removed = ClusterReport::BackendEnded {
        name: text("b2"),
        process_gone: true,
    };
    apply(
        "n1",
        ClusterOperation::Reports(vec![
            removed,
            ClusterReport::BackendDraining { name: text("b0") },
        ]),
    );
    cluster_state
}

/// Returns a state machine after entries that change its desired state, backends, nodes, leases and
/// a replica's disk.
pub(crate) fn state_machine() -> StateMachine {
    let mut state_machine = StateMachine::default();
    let mut apply = |instance: u64, origin: &str, operation: Operation| {
        let entry = Entry {
            origin: text(origin),
            incarnation: INCARNATION,
            sequence: instance,
            operation,
        };
        let outcome = state_machine.apply_at(entry, instance, 1_000_000);
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
    let target_edits = [
        edits()[0].1.clone(),
        Edit::PutOrder {
            name: text("book"),
            order: keyed,
        },
    ];
    let first = callers.into_iter().chain(target_edits).collect();
    apply(
        1,
        "operator",
        Operation::Change(Change {
            id: text("first"),
            base_version: 0,
            edits: first,
        }),
    );
    apply(
        2,
        "n1",
        Operation::EndpointReport(endpoint_reports()[0].1.clone()),
    );
    for name in ["b1", "b2"] {
        let report = EndpointReport::BackendRegistered {
            name: text(name),
            backend: backend(BackendPhase::Registered),
        };
        apply(
            if name == "b1" { 3 } else { 4 },
            "n1",
            Operation::EndpointReport(report),
        );
    }
    let draining = EndpointReport::PhaseChanged {
        name: text("b1"),
        incarnation: backend(BackendPhase::Registered).incarnation,
        phase: BackendPhase::Draining,
    };
    apply(5, "n1", Operation::EndpointReport(draining));
    apply(
        6,
        "operator",
        Operation::ReplaceReplica(ReplicaReplacement {
            replica_id: 2,
            old_disk: 71,
            new_disk: 72,
        }),
    );
    state_machine
}
