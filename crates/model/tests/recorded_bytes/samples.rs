//! Samples of the parts of log entries, state slices and snapshots, one of each variant.

use crate::recorded_variants::every_variant;
use model::Selector;
use model::cluster_state::{
    BackendRecord, ClusterReport, ItemBody, ItemKind, Limits, NodeRecord, Route, Service,
    ShardRange,
};
use model::endpoint_status::EndpointReport;
use model::{Backend, BackendPhase, Edit, Grouping, Node, StandingOrder};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const INCARNATION: u64 = 0x1122_3344_5566_7788;

pub(crate) fn text(text: &str) -> String {
    text.to_string()
}

pub(crate) fn name_set<const N: usize>(name_set: [&str; N]) -> BTreeSet<String> {
    name_set.map(text).into()
}

pub(crate) fn labels() -> BTreeMap<String, String> {
    [(text("tier"), text("fast"))].into()
}

pub(crate) fn grouping() -> Grouping {
    Grouping {
        service: text("seat"),
        zone: text("z0"),
        labels: labels(),
    }
}

pub(crate) fn order(keyed: bool) -> StandingOrder {
    StandingOrder {
        selector: Selector {
            from: vec![text("web"), text("desk")],
            service: text("seat"),
            methods: vec![text("GET"), text("POST")],
            path_prefix: text("/seats"),
            labels: labels(),
        },
        wait_us: 1_500_000,
        importance: 7,
        idempotent: true,
        keyed,
        allow_other_zones: false,
    }
}

pub(crate) fn backend(phase: BackendPhase) -> Backend {
    Backend {
        service: text("seat"),
        zone: text("z0"),
        labels: labels(),
        slots: 6,
        node: text("n1"),
        incarnation: (3 << 32) | 0x0bad_cafe,
        phase,
        changed_at: 5,
    }
}

pub(crate) fn node() -> Node {
    Node {
        zone: text("z0"),
        address: text("10.0.0.1:7000"),
        incarnation: INCARNATION,
        present: true,
        suspected_by: name_set(["n2", "n3"]),
        changed_at: 4,
    }
}

pub(crate) fn backend_record(phase: BackendPhase) -> BackendRecord {
    BackendRecord {
        service: text("seat"),
        zone: text("z0"),
        node: text("n1"),
        slots: 6,
        phase,
        changed_at: 5,
    }
}

pub(crate) fn node_record() -> NodeRecord {
    NodeRecord {
        zone: text("z0"),
        address: text("10.0.0.1:7000"),
        incarnation: INCARNATION,
        present: true,
        suspected_by: name_set(["n2"]),
        changed_at: 4,
    }
}

pub(crate) fn shard_range() -> ShardRange {
    ShardRange {
        first_key: 100,
        last_key: 4_000,
        holder: Some(text("b1")),
        fencing_token: 9,
        pending_releases: vec![(text("b0"), 8)],
        handover_token: text("handed over"),
    }
}

pub(crate) fn edits() -> Vec<(&'static str, Edit)> {
    every_variant!(Edit {
        "put-grouping": Edit::PutGrouping { .. } => {
            Edit::PutGrouping { name: text("seats"), grouping: grouping() }
        },
        "drop-grouping": Edit::DropGrouping { .. } => Edit::DropGrouping { name: text("seats") },
        "put-order": Edit::PutOrder { .. } => {
            Edit::PutOrder { name: text("book"), order: order(true) }
        },
        "drop-order": Edit::DropOrder { .. } => Edit::DropOrder { name: text("book") },
    })
}

pub(crate) fn endpoint_reports() -> Vec<(&'static str, EndpointReport)> {
    every_variant!(EndpointReport {
        "node": EndpointReport::NodeRegistered { .. } => EndpointReport::NodeRegistered {
            node: text("n1"),
            zone: text("z0"),
            address: text("10.0.0.1:7000"),
            incarnation: INCARNATION,
            replaces: 0,
        },
        "node-left": EndpointReport::NodeLeft { .. } => {
            EndpointReport::NodeLeft { node: text("n1"), incarnation: INCARNATION, clean: true }
        },
        "watch": EndpointReport::NodeObserved { .. } => EndpointReport::NodeObserved {
            observer: text("n2"),
            node: text("n1"),
            incarnation: INCARNATION,
            suspected: true,
        },
        "registered": EndpointReport::BackendRegistered { .. } => {
            EndpointReport::BackendRegistered { name: text("b1"), backend: backend(BackendPhase::Registered) }
        },
        "phase": EndpointReport::PhaseChanged { .. } => EndpointReport::PhaseChanged {
            name: text("b1"),
            incarnation: (3 << 32) | 0x0bad_cafe,
            phase: BackendPhase::Draining,
        },
        "released": EndpointReport::LeasesReleased { .. } => EndpointReport::LeasesReleased {
            service: text("seat"),
            name: text("b1"),
            incarnation: (3 << 32) | 0x0bad_cafe,
            known_through: 12,
        },
        "slots": EndpointReport::SlotsChanged { .. } => EndpointReport::SlotsChanged {
            name: text("b1"),
            incarnation: (3 << 32) | 0x0bad_cafe,
            slots: 9,
        },
    })
}

pub(crate) fn item_bodies() -> Vec<(&'static str, ItemBody)> {
    every_variant!(ItemBody {
        "lane": ItemBody::Route(_) => ItemBody::Route(Route {
            host: text("seats.example"),
            prefix: text("/book/"),
            idempotent: true,
            wait_us: 2_000_000,
            latency_target_us: 150_000,
            rank: 3,
            dispatches: 2,
            shares: vec![(text("seat"), 900), (text("seat-next"), 100)],
        }),
        "service": ItemBody::Service(_) => ItemBody::Service(Service {
            health_path: text("/healthz"),
            max_connections: 64,
            keyed: true,
            slow_start_us: 3_000_000,
        }),
        "limits": ItemBody::Limits(_) => ItemBody::Limits(Limits {
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_wait_us: 5_000_000,
            idle_us: 60_000_000,
        }),
    })
}

pub(crate) fn cluster_reports() -> Vec<(&'static str, ClusterReport)> {
    every_variant!(ClusterReport {
        "node": ClusterReport::NodeRegistered { .. } => ClusterReport::NodeRegistered {
            node: text("n1"),
            zone: text("z0"),
            address: text("10.0.0.1:7000"),
            incarnation: INCARNATION,
            replaces: 0,
        },
        "node-left": ClusterReport::NodeLeft { .. } => {
            ClusterReport::NodeLeft { node: text("n1"), incarnation: INCARNATION }
        },
        "watch": ClusterReport::NodeObserved { .. } => ClusterReport::NodeObserved {
            observer: text("n2"),
            node: text("n1"),
            incarnation: INCARNATION,
            suspected: true,
        },
        "joined": ClusterReport::BackendJoined { .. } => {
            ClusterReport::BackendJoined { name: text("b1"), backend: backend_record(BackendPhase::Registered) }
        },
        "draining": ClusterReport::BackendDraining { .. } => ClusterReport::BackendDraining { name: text("b1") },
        "silent": ClusterReport::BackendSilent { .. } => {
            ClusterReport::BackendSilent { name: text("b1"), silent: true }
        },
        "ended": ClusterReport::BackendEnded { .. } => ClusterReport::BackendEnded { name: text("b1"), process_gone: true },
        "recast": ClusterReport::ShardsReassigned { .. } => ClusterReport::ShardsReassigned {
            service: text("seat"),
            base_placement: 7,
            ranges: vec![(0, 99, text("b0")), (100, 4_000, text("b1"))],
        },
        "released": ClusterReport::ShardsReleased { .. } => ClusterReport::ShardsReleased {
            service: text("seat"),
            name: text("b0"),
            known_through: 9,
            ranges: vec![(100, 4_000, text("handed over"))],
        },
        "settled": ClusterReport::ReleasesExpired { .. } => {
            ClusterReport::ReleasesExpired { service: text("seat"), ranges: vec![(100, 4_000, 9)] }
        },
    })
}

pub(crate) fn phases() -> Vec<(&'static str, BackendPhase)> {
    every_variant!(BackendPhase {
        "registered": BackendPhase::Registered => BackendPhase::Registered,
        "draining": BackendPhase::Draining => BackendPhase::Draining,
        "signed-off": BackendPhase::Deregistered => BackendPhase::Deregistered,
        "presumed-gone": BackendPhase::PresumedGone => BackendPhase::PresumedGone,
    })
}

pub(crate) fn item_kinds() -> Vec<(&'static str, ItemKind)> {
    every_variant!(ItemKind {
        "lane": ItemKind::Route => ItemKind::Route,
        "service": ItemKind::Service => ItemKind::Service,
        "limits": ItemKind::Limits => ItemKind::Limits,
    })
}
