//! The entries that the recorded disks hold.

use model::Selector;
use model::cluster_state::items::ItemPut;
use model::cluster_state::{
    BackendRecord, ClusterOperation, ClusterReport, ItemBody, ItemCall, ItemKind, Limits, Route,
    Service,
};
use model::endpoint_status::EndpointReport;
use model::{Backend, BackendPhase, Change, Edit, Entry, Grouping, Operation, StandingOrder};

const NODE_INCARNATION: u64 = 0x0a0b_0c0d;

fn text(text: &str) -> String {
    text.to_string()
}

fn order(keyed: bool) -> StandingOrder {
    StandingOrder {
        selector: Selector {
            from: vec![text("web")],
            service: text("seat"),
            methods: vec![text("GET")],
            path_prefix: text("/seats"),
            labels: Default::default(),
        },
        wait_us: 1_500_000,
        importance: 7,
        idempotent: true,
        keyed,
        allow_other_zones: true,
    }
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Entry {
    let operation = Operation::Change(Change {
        id: text(id),
        base_version: base,
        edits,
    });
    Entry {
        origin: text("operator"),
        incarnation: 1,
        sequence: base + 1,
        operation,
    }
}

/// Returns a change that the recorded disks do not contain.
pub(crate) fn next_change(base: u64) -> Change {
    let grouping = Grouping {
        service: text("web"),
        zone: text("z1"),
        labels: Default::default(),
    };
    Change {
        id: text("next"),
        base_version: base,
        edits: vec![Edit::PutGrouping {
            name: text("next"),
            grouping,
        }],
    }
}

fn endpoint_report(sequence: u64, report: EndpointReport) -> Entry {
    Entry {
        origin: text("n1"),
        incarnation: NODE_INCARNATION,
        sequence,
        operation: Operation::EndpointReport(report),
    }
}

fn backend_registered(name: &str) -> EndpointReport {
    let backend = Backend {
        service: text("seat"),
        zone: text("z0"),
        labels: Default::default(),
        slots: 6,
        node: text("n1"),
        incarnation: (1 << 32) | 7,
        phase: BackendPhase::Registered,
        changed_at: 0,
    };
    EndpointReport::BackendRegistered {
        name: text(name),
        backend,
    }
}

fn items(sequence: u64, puts: Vec<(&str, ItemBody)>, drops: Vec<(ItemKind, &str)>) -> Entry {
    let put = |(name, body): (&str, ItemBody)| {
        let text = format!("{{\"sent\": {sequence}}}");
        ItemPut {
            name: name.to_string(),
            version: sequence,
            body,
            text,
        }
    };
    let puts = puts.into_iter().map(put).collect();
    let drops = drops
        .into_iter()
        .map(|(kind, name)| (kind, name.to_string(), sequence))
        .collect();
    let operation = Operation::ClusterState(ClusterOperation::Items(ItemCall { puts, drops }));
    Entry {
        origin: text("operator"),
        incarnation: 1,
        sequence,
        operation,
    }
}

fn service(keyed: bool) -> ItemBody {
    ItemBody::Service(Service {
        health_path: text("/healthz"),
        max_connections: 64,
        keyed,
        slow_start_us: 1_000,
    })
}

fn route() -> ItemBody {
    ItemBody::Route(Route {
        host: text("seats.example"),
        prefix: text("/book/"),
        idempotent: true,
        wait_us: 2_000_000,
        latency_target_us: 150_000,
        rank: 3,
        dispatches: 2,
        shares: vec![(text("seat"), 900), (text("web"), 100)],
    })
}

fn limits() -> ItemBody {
    ItemBody::Limits(Limits {
        header_bytes: 16_384,
        body_bytes: 1_048_576,
        header_wait_us: 5_000_000,
        idle_us: 60_000_000,
    })
}

fn cluster_reports(sequence: u64, reports: Vec<ClusterReport>) -> Entry {
    let operation = Operation::ClusterState(ClusterOperation::Reports(reports));
    Entry {
        origin: text("n1"),
        incarnation: NODE_INCARNATION,
        sequence,
        operation,
    }
}

fn backend_joined(name: &str) -> ClusterReport {
    let backend = BackendRecord {
        service: text("seat"),
        zone: text("z0"),
        node: text("n1"),
        slots: 6,
        phase: BackendPhase::Registered,
        changed_at: 0,
    };
    ClusterReport::BackendJoined {
        name: text(name),
        backend,
    }
}

pub(crate) fn before_the_replacement() -> Vec<Entry> {
    let grouping = Grouping {
        service: text("seat"),
        zone: text("z0"),
        labels: Default::default(),
    };
    let first = vec![
        Edit::PutGrouping {
            name: text("seats"),
            grouping: grouping.clone(),
        },
        Edit::PutGrouping {
            name: text("callers"),
            grouping: Grouping {
                service: text("web"),
                ..grouping.clone()
            },
        },
        Edit::PutOrder {
            name: text("book"),
            order: order(true),
        },
    ];
    let endpoint_node = EndpointReport::NodeRegistered {
        node: text("n1"),
        zone: text("z0"),
        address: text("10.0.0.1:7000"),
        incarnation: NODE_INCARNATION,
        replaces: 0,
    };
    let cluster_node = ClusterReport::NodeRegistered {
        node: text("n1"),
        zone: text("z0"),
        address: text("10.0.0.1:7000"),
        incarnation: NODE_INCARNATION,
        replaces: 0,
    };
    vec![
        change("first", 0, first),
        endpoint_report(1, endpoint_node),
        endpoint_report(2, backend_registered("b1")),
        endpoint_report(3, backend_registered("b2")),
        items(
            1,
            vec![("seat", service(true)), ("web", service(false))],
            Vec::new(),
        ),
        items(2, vec![("book", route()), ("", limits())], Vec::new()),
        cluster_reports(
            4,
            vec![cluster_node, backend_joined("b1"), backend_joined("b2")],
        ),
        change(
            "second",
            1,
            vec![Edit::PutGrouping {
                name: text("more"),
                grouping: Grouping {
                    zone: text("z1"),
                    ..grouping
                },
            }],
        ),
        items(3, vec![("spare", service(false))], Vec::new()),
        change("third", 2, vec![Edit::DropGrouping { name: text("more") }]),
        items(4, Vec::new(), vec![(ItemKind::Service, "spare")]),
        endpoint_report(
            5,
            EndpointReport::SlotsChanged {
                name: text("b1"),
                incarnation: (1 << 32) | 7,
                slots: 9,
            },
        ),
    ]
}

pub(crate) fn while_one_replica_is_unreachable() -> Vec<Entry> {
    let ranges = vec![(0, 9_999, text("b1")), (10_000, u16::MAX, text("b2"))];
    vec![
        cluster_reports(
            6,
            vec![ClusterReport::ShardsReassigned {
                service: text("seat"),
                base_placement: 0,
                ranges,
            }],
        ),
        items(5, vec![("web", service(true))], Vec::new()),
        change(
            "fourth",
            3,
            vec![Edit::PutOrder {
                name: text("book"),
                order: order(false),
            }],
        ),
    ]
}

pub(crate) fn after_the_replacement() -> Vec<Entry> {
    let draining = EndpointReport::PhaseChanged {
        name: text("b2"),
        incarnation: (1 << 32) | 7,
        phase: BackendPhase::Draining,
    };
    vec![
        items(6, vec![("web", service(false))], Vec::new()),
        cluster_reports(7, vec![ClusterReport::BackendDraining { name: text("b2") }]),
        change(
            "fifth",
            4,
            vec![Edit::PutOrder {
                name: text("book"),
                order: order(true),
            }],
        ),
        endpoint_report(8, draining),
        items(7, vec![("last", service(false))], Vec::new()),
        items(8, vec![("last", service(true))], Vec::new()),
    ]
}
