//! Short ways to items, calls and reports.

use model::bill::items::Put;
use model::bill::{Act, Body, Call, Delta, Kind, Lane, Limits, Player, Report, Service};
use model::{Bill, Outcome, Phase};

pub fn service(keyed: bool) -> Body {
    Body::Service(Service { health_path: "/healthz".into(), conns: 0, keyed, warm_us: 0 })
}

pub fn lane(host: &str, prefix: &str, service: &str) -> Body {
    Body::Lane(lane_to(host, prefix, vec![(service.to_string(), 1)]))
}

pub fn lane_to(host: &str, prefix: &str, shares: Vec<(String, u32)>) -> Lane {
    Lane { host: host.into(), prefix: prefix.into(), repeatable: false, wait_us: 1_000_000, aim_us: 0, rank: 0, dispatches: 3, shares }
}

pub fn limits(header_bytes: u64) -> Body {
    Body::Limits(Limits { header_bytes, body_bytes: 1_000, header_wait_us: 1_000_000, idle_us: 1_000_000 })
}

pub fn put(name: &str, version: u64, body: Body) -> Call {
    Call { puts: vec![Put { name: name.into(), version, body, text: format!("{name} {version}") }], drops: Vec::new() }
}

pub fn drop_of(kind: Kind, name: &str, version: u64) -> Call {
    Call { puts: Vec::new(), drops: vec![(kind, name.into(), version)] }
}

pub fn both(one: Call, other: Call) -> Call {
    Call { puts: [one.puts, other.puts].concat(), drops: [one.drops, other.drops].concat() }
}

pub fn amend(bill: &mut Bill, call: Call) -> Outcome {
    bill.apply("operator", 1, 0, Act::Items(call)).0
}

/// Where the call is at fault; empty when it was taken, or changed nothing.
pub fn faults(bill: &mut Bill, call: Call) -> Vec<String> {
    let before = bill.clone();
    match amend(bill, call) {
        Outcome::Invalid { faults } => {
            assert_eq!(*bill, before, "what is invalid changes nothing");
            faults.into_iter().map(|fault| fault.path).collect()
        }
        _ => Vec::new(),
    }
}

static SEQUENCE: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

/// Reports that no earlier one of their origin stands in the way of.
pub fn tell(bill: &mut Bill, reports: Vec<Report>) -> Vec<Delta> {
    let sequence = SEQUENCE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    bill.apply("node", 1, sequence, Act::Reports(reports)).1
}

pub fn player(service: &str, node: &str) -> Player {
    Player { service: service.into(), zone: "z0".into(), node: node.into(), slots: 4, phase: Phase::Registered, since: 0 }
}

pub fn joined(name: &str) -> Report {
    Report::Joined { name: name.into(), player: player("seat", &format!("node-{name}")) }
}

pub fn ended(name: &str, surely: bool) -> Report {
    Report::Ended { name: name.into(), surely }
}

pub fn recast(base: u64, rows: &[(u16, u16, &str)]) -> Report {
    Report::Recast { service: "seat".into(), base, rows: rows.iter().map(|(from, to, name)| (*from, *to, name.to_string())).collect() }
}

/// One keyed service, one lane to it.
pub fn site() -> Bill {
    let mut bill = Bill::default();
    let call = both(put("seat", 1, service(true)), put("book", 1, lane("shop", "/book/", "seat")));
    assert!(matches!(amend(&mut bill, call), Outcome::Accepted { .. }));
    bill
}
