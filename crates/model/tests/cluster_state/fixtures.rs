//! Helpers to build items, calls and reports.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use model::cluster_state::items::ItemPut;
use model::cluster_state::{
    BackendRecord, ClusterOperation, ClusterReport, Delta, ItemBody, ItemCall, ItemKind, Limits,
    Route, Service,
};
use model::{BackendPhase, ClusterState, Outcome};

pub(crate) fn service(keyed: bool) -> ItemBody {
    ItemBody::Service(Service {
        health_path: "/healthz".into(),
        max_connections: 0,
        keyed,
        slow_start_us: 0,
    })
}

pub(crate) fn route_body(host: &str, prefix: &str, service: &str) -> ItemBody {
    ItemBody::Route(route_to(host, prefix, vec![(service.to_string(), 1)]))
}

pub(crate) fn route_to(host: &str, prefix: &str, shares: Vec<(String, u32)>) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        idempotent: false,
        wait_us: 1_000_000,
        latency_target_us: 0,
        rank: 0,
        dispatches: 3,
        shares,
    }
}

pub(crate) fn limits(header_bytes: u64) -> ItemBody {
    ItemBody::Limits(Limits {
        header_bytes,
        body_bytes: 1_000,
        header_wait_us: 1_000_000,
        idle_us: 1_000_000,
    })
}

pub(crate) fn put(name: &str, version: u64, body: ItemBody) -> ItemCall {
    ItemCall {
        puts: vec![ItemPut {
            name: name.into(),
            version,
            body,
            text: format!("{name} {version}"),
        }],
        drops: Vec::new(),
    }
}

pub(crate) fn drop_of(kind: ItemKind, name: &str, version: u64) -> ItemCall {
    ItemCall {
        puts: Vec::new(),
        drops: vec![(kind, name.into(), version)],
    }
}

pub(crate) fn combined(one: ItemCall, other: ItemCall) -> ItemCall {
    ItemCall {
        puts: [one.puts, other.puts].concat(),
        drops: [one.drops, other.drops].concat(),
    }
}

pub(crate) fn apply_call(state: &mut ClusterState, call: ItemCall) -> Outcome {
    state
        .apply("operator", 1, 0, ClusterOperation::Items(call))
        .0
}

/// Returns the fault paths of the call; empty if it was accepted or changed nothing.
pub(crate) fn faults(state: &mut ClusterState, call: ItemCall) -> Vec<String> {
    let before = state.clone();
    match apply_call(state, call) {
        Outcome::Invalid { faults } => {
            assert_eq!(*state, before, "an invalid call changes nothing");
            faults.into_iter().map(|fault| fault.path).collect()
        }
        _ => Vec::new(),
    }
}

static SEQUENCE: AtomicU64 = AtomicU64::new(1);

/// Applies reports with a sequence number that is higher than all earlier ones.
pub(crate) fn apply_reports(state: &mut ClusterState, reports: Vec<ClusterReport>) -> Vec<Delta> {
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    state
        .apply("node", 1, sequence, ClusterOperation::Reports(reports))
        .1
}

pub(crate) fn backend_record(service: &str, node: &str) -> BackendRecord {
    BackendRecord {
        service: service.into(),
        zone: "z0".into(),
        node: node.into(),
        slots: 4,
        phase: BackendPhase::Registered,
        changed_at: 0,
    }
}

pub(crate) fn joined(name: &str) -> ClusterReport {
    ClusterReport::BackendJoined {
        name: name.into(),
        backend: backend_record("seat", &format!("node-{name}")),
    }
}

pub(crate) fn ended(name: &str, process_gone: bool) -> ClusterReport {
    ClusterReport::BackendEnded {
        name: name.into(),
        process_gone,
    }
}

pub(crate) fn reassigned(base: u64, ranges: &[(u16, u16, &str)]) -> ClusterReport {
    ClusterReport::ShardsReassigned {
        service: "seat".into(),
        base_placement: base,
        ranges: ranges
            .iter()
            .map(|(first_key, last_key, name)| (*first_key, *last_key, name.to_string()))
            .collect(),
    }
}

/// Returns a state with one keyed service and one route to it.
pub(crate) fn sample_state() -> ClusterState {
    let mut state = ClusterState::default();
    let call = combined(
        put("seat", 1, service(true)),
        put("book", 1, route_body("shop", "/book/", "seat")),
    );
    assert!(matches!(
        apply_call(&mut state, call),
        Outcome::Accepted { .. }
    ));
    state
}
