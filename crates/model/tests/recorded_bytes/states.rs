//! News of a part of the state, and both state machines after entries that leave something in each part.

use crate::entries::{items, put};
use crate::samples::{LIFE, back_end, bodies, edits, grouping, names, node, order, phases, player, reports, text};
use model::bill::{Act as BillAct, Body, Report as BillReport, Service};
use model::desired::Selector;
use model::standing::Report;
use model::terms::Term;
use model::{Act, Bill, Book, Change, Edit, Entry, Grouping, Order, Outcome, Patch, Phase, SeatChange, Slice};
use std::collections::BTreeMap;

pub fn slice() -> Slice {
    let term = Term { holder: Some((text("b1"), 3)), fence: 9, owed: vec![((text("b0"), 2), 8)] };
    Slice {
        services: names(["seat", "web"]),
        position: 51,
        version: 52,
        groupings: [(text("seats"), grouping())].into(),
        orders: [(text("book"), order(true))].into(),
        back_ends: phases().into_iter().map(|(name, phase)| (text(name), back_end(phase))).collect(),
        nodes: [(text("n1"), node())].into(),
        terms: [(text("seat"), vec![term, Term::default()])].into(),
        longest: [(text("seat"), 1_500_000)].into(),
    }
}

pub fn patch() -> Patch {
    let next = Slice { position: 53, longest: BTreeMap::new(), ..slice() };
    let held = Slice { groupings: BTreeMap::new(), nodes: BTreeMap::new(), ..slice() };
    held.patch_to(&next)
}

/// Items, back ends, nodes and rows, after entries that leave something in each part.
pub fn bill() -> Bill {
    let mut bill = Bill::default();
    let mut sequence = 0;
    let mut apply = |origin: &str, act: BillAct| {
        sequence += 1;
        let (outcome, _) = bill.apply(origin, LIFE, sequence, act);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    };
    let seat = || Body::Service(Service { health_path: text("/healthz"), conns: 64, keyed: true, warm_us: 0 });
    let services = vec![put("seat", seat()), put("seat-next", seat())];
    apply("operator", items(services, Vec::new()));
    apply("operator", items(vec![put("book", bodies()[0].1.clone())], Vec::new()));
    apply("operator", items(vec![put("", bodies()[2].1.clone())], Vec::new()));
    let registers = |node: &str| BillReport::Node { node: text(node), zone: text("z0"), address: format!("{node}:7000"), life: LIFE, replaces: 0 };
    let joins = |name: &str| BillReport::Joined { name: text(name), player: player(Phase::Registered) };
    apply("n1", BillAct::Reports(vec![registers("n1"), joins("b0"), joins("b1"), joins("b2")]));
    apply("n2", BillAct::Reports(vec![registers("n2")]));
    let recast = |base: u64, rows: Vec<(u16, u16, String)>| BillReport::Recast { service: text("seat"), base, rows };
    let halves = vec![(0, 32_767, text("b0")), (32_768, u16::MAX, text("b1"))];
    apply("n1", BillAct::Reports(vec![recast(0, halves)]));
    let moved = vec![(0, 9_999, text("b1")), (10_000, 32_767, text("b0")), (32_768, u16::MAX, text("b1"))];
    apply("n1", BillAct::Reports(vec![recast(6, moved)]));
    let gone = BillReport::Ended { name: text("b2"), surely: true };
    apply("n1", BillAct::Reports(vec![gone, BillReport::Draining { name: text("b0") }]));
    bill
}

/// Changes, back ends, nodes, keys and a change of a seat's holder.
pub fn book() -> Book {
    let mut book = Book::default();
    let mut apply = |instance: u64, origin: &str, act: Act| {
        let entry = Entry { origin: text(origin), life: LIFE, sequence: instance, act };
        let outcome = book.apply_at(entry, instance, 1_000_000);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    };
    let callers = ["web", "desk"].map(|service| Edit::PutGrouping { name: text(service), grouping: Grouping { service: text(service), ..grouping() } });
    let keyed = Order { selector: Selector { labels: BTreeMap::new(), ..order(true).selector }, leave_zone: true, ..order(true) };
    let own = [edits()[0].1.clone(), Edit::PutOrder { name: text("book"), order: keyed }];
    let first = callers.into_iter().chain(own).collect();
    apply(1, "operator", Act::Change(Change { id: text("first"), base: 0, edits: first }));
    apply(2, "n1", Act::Standing(reports()[0].1.clone()));
    for name in ["b1", "b2"] {
        let report = Report::Registered { name: text(name), back_end: back_end(Phase::Registered) };
        apply(if name == "b1" { 3 } else { 4 }, "n1", Act::Standing(report));
    }
    let leaves = Report::Phase { name: text("b1"), incarnation: back_end(Phase::Registered).incarnation, phase: Phase::Draining };
    apply(5, "n1", Act::Standing(leaves));
    apply(6, "operator", Act::Seat(SeatChange { seat: 2, from: 71, to: 72 }));
    book
}
