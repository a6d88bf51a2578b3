//! A small book: one service, one order, four nodes.

use model::{Act, BackEnd, Book, Change, Edit, Entry, Grouping, Order, Outcome, Phase, Selector, standing::Report};

pub fn grouping(service: &str) -> Edit {
    let grouping = Grouping { service: service.into(), zone: "z0".into(), labels: Default::default() };
    Edit::PutGrouping { name: format!("{service}-z0"), grouping }
}

pub fn order(name: &str, from: &str, service: &str, path: &str) -> Edit {
    let selector = Selector { from: vec![from.into()], service: service.into(), methods: vec![], path_prefix: path.into(), labels: Default::default() };
    let order = Order { selector, wait_us: 1_000_000, importance: 5, repeatable: false, keyed: false, leave_zone: true };
    Edit::PutOrder { name: name.into(), order }
}

pub fn change(book: &mut Book, id: &str, base: u64, edits: Vec<Edit>) -> Outcome {
    let act = Act::Change(Change { id: id.into(), base, edits });
    book.apply(Entry { origin: "core-0".into(), life: 1, sequence: 0, act })
}

pub fn tell(book: &mut Book, origin: &str, life: u64, sequence: u64, report: Report) -> Outcome {
    book.apply(Entry { origin: origin.into(), life, sequence, act: Act::Standing(report) })
}

pub fn node(name: &str, incarnation: u64) -> Report {
    Report::Node { node: name.into(), zone: "z0".into(), address: "127.0.0.1:1".into(), incarnation, replaces: incarnation.saturating_sub(1) }
}

pub fn registered(name: &str, node: &str, incarnation: u64) -> Report {
    let back_end = BackEnd {
        service: "seat".into(),
        zone: "z0".into(),
        labels: Default::default(),
        slots: 4,
        node: node.into(),
        incarnation,
        phase: Phase::Registered,
        since: 0,
    };
    Report::Registered { name: name.into(), back_end }
}

pub fn site() -> Book {
    let mut book = Book::default();
    let accepted = change(&mut book, "site", 0, vec![grouping("seat"), order("check", "seat", "seat", "/check")]);
    assert!(matches!(accepted, Outcome::Accepted { version: 1, .. }), "{accepted:?}");
    (0..4u64).for_each(|at| assert!(matches!(tell(&mut book, &format!("n{at}"), 1, 1, node(&format!("n{at}"), 1)), Outcome::Accepted { .. })));
    book
}
