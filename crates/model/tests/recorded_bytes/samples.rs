//! Samples of what entries, news and snapshots are made of, one of each variant.

use crate::recorded_variants::every_variant;
use model::bill::{Body, Kind, Lane, Limits, Place, Player, Report as BillReport, Row, Service};
use model::desired::Selector;
use model::standing::Report;
use model::{BackEnd, Edit, Grouping, Node, Order, Phase};
use std::collections::{BTreeMap, BTreeSet};

pub const LIFE: u64 = 0x1122_3344_5566_7788;

pub fn text(text: &str) -> String {
    text.to_string()
}

pub fn names<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(text).into()
}

pub fn labels() -> BTreeMap<String, String> {
    [(text("tier"), text("fast"))].into()
}

pub fn grouping() -> Grouping {
    Grouping { service: text("seat"), zone: text("z0"), labels: labels() }
}

pub fn order(keyed: bool) -> Order {
    Order {
        selector: Selector {
            from: vec![text("web"), text("desk")],
            service: text("seat"),
            methods: vec![text("GET"), text("POST")],
            path_prefix: text("/seats"),
            labels: labels(),
        },
        wait_us: 1_500_000,
        importance: 7,
        repeatable: true,
        keyed,
        leave_zone: false,
    }
}

pub fn back_end(phase: Phase) -> BackEnd {
    BackEnd { service: text("seat"), zone: text("z0"), labels: labels(), slots: 6, node: text("n1"), incarnation: (3 << 32) | 0x0bad_cafe, phase, since: 5 }
}

pub fn node() -> Node {
    Node { zone: text("z0"), address: text("10.0.0.1:7000"), incarnation: LIFE, present: true, reporters: names(["n2", "n3"]), since: 4 }
}

pub fn player(phase: Phase) -> Player {
    Player { service: text("seat"), zone: text("z0"), node: text("n1"), slots: 6, phase, since: 5 }
}

pub fn place() -> Place {
    Place { zone: text("z0"), address: text("10.0.0.1:7000"), life: LIFE, present: true, missed_by: names(["n2"]), since: 4 }
}

pub fn row() -> Row {
    Row { from: 100, to: 4_000, holder: Some(text("b1")), fence: 9, owed: vec![(text("b0"), 8)], token: text("handed over") }
}

pub fn edits() -> Vec<(&'static str, Edit)> {
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

pub fn reports() -> Vec<(&'static str, Report)> {
    every_variant!(Report {
        "node": Report::Node { .. } => Report::Node {
            node: text("n1"),
            zone: text("z0"),
            address: text("10.0.0.1:7000"),
            incarnation: LIFE,
            replaces: 0,
        },
        "node-left": Report::NodeLeft { .. } => {
            Report::NodeLeft { node: text("n1"), incarnation: LIFE, clean: true }
        },
        "watch": Report::Watch { .. } => Report::Watch {
            watcher: text("n2"),
            node: text("n1"),
            incarnation: LIFE,
            missed: true,
        },
        "registered": Report::Registered { .. } => {
            Report::Registered { name: text("b1"), back_end: back_end(Phase::Registered) }
        },
        "phase": Report::Phase { .. } => Report::Phase {
            name: text("b1"),
            incarnation: (3 << 32) | 0x0bad_cafe,
            phase: Phase::Draining,
        },
        "released": Report::Released { .. } => Report::Released {
            service: text("seat"),
            name: text("b1"),
            incarnation: (3 << 32) | 0x0bad_cafe,
            through: 12,
        },
        "slots": Report::Slots { .. } => Report::Slots {
            name: text("b1"),
            incarnation: (3 << 32) | 0x0bad_cafe,
            slots: 9,
        },
    })
}

pub fn bodies() -> Vec<(&'static str, Body)> {
    every_variant!(Body {
        "lane": Body::Lane(_) => Body::Lane(Lane {
            host: text("seats.example"),
            prefix: text("/book/"),
            repeatable: true,
            wait_us: 2_000_000,
            aim_us: 150_000,
            rank: 3,
            dispatches: 2,
            shares: vec![(text("seat"), 900), (text("seat-next"), 100)],
        }),
        "service": Body::Service(_) => Body::Service(Service {
            health_path: text("/healthz"),
            conns: 64,
            keyed: true,
            warm_us: 3_000_000,
        }),
        "limits": Body::Limits(_) => Body::Limits(Limits {
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_wait_us: 5_000_000,
            idle_us: 60_000_000,
        }),
    })
}

pub fn bill_reports() -> Vec<(&'static str, BillReport)> {
    every_variant!(BillReport {
        "node": BillReport::Node { .. } => BillReport::Node {
            node: text("n1"),
            zone: text("z0"),
            address: text("10.0.0.1:7000"),
            life: LIFE,
            replaces: 0,
        },
        "node-left": BillReport::NodeLeft { .. } => {
            BillReport::NodeLeft { node: text("n1"), life: LIFE }
        },
        "watch": BillReport::Watch { .. } => BillReport::Watch {
            watcher: text("n2"),
            node: text("n1"),
            life: LIFE,
            missed: true,
        },
        "joined": BillReport::Joined { .. } => {
            BillReport::Joined { name: text("b1"), player: player(Phase::Registered) }
        },
        "draining": BillReport::Draining { .. } => BillReport::Draining { name: text("b1") },
        "silent": BillReport::Silent { .. } => {
            BillReport::Silent { name: text("b1"), silent: true }
        },
        "ended": BillReport::Ended { .. } => BillReport::Ended { name: text("b1"), surely: true },
        "recast": BillReport::Recast { .. } => BillReport::Recast {
            service: text("seat"),
            base: 7,
            rows: vec![(0, 99, text("b0")), (100, 4_000, text("b1"))],
        },
        "released": BillReport::Released { .. } => BillReport::Released {
            service: text("seat"),
            name: text("b0"),
            through: 9,
            rows: vec![(100, 4_000, text("handed over"))],
        },
        "settled": BillReport::Settled { .. } => {
            BillReport::Settled { service: text("seat"), rows: vec![(100, 4_000, 9)] }
        },
    })
}

pub fn phases() -> Vec<(&'static str, Phase)> {
    every_variant!(Phase {
        "registered": Phase::Registered => Phase::Registered,
        "draining": Phase::Draining => Phase::Draining,
        "signed-off": Phase::SignedOff => Phase::SignedOff,
        "presumed-gone": Phase::PresumedGone => Phase::PresumedGone,
    })
}

pub fn kinds() -> Vec<(&'static str, Kind)> {
    every_variant!(Kind {
        "lane": Kind::Lane => Kind::Lane,
        "service": Kind::Service => Kind::Service,
        "limits": Kind::Limits => Kind::Limits,
    })
}
