//! The entries that the recorded disks hold.

use model::bill::items::Put;
use model::bill::{Act as BillAct, Body, Call, Kind, Lane, Limits, Player, Report as BillReport, Service};
use model::desired::Selector;
use model::standing::Report;
use model::{Act, BackEnd, Change, Edit, Entry, Grouping, Order, Phase};

const NODE_LIFE: u64 = 0x0a0b_0c0d;

fn text(text: &str) -> String {
    text.to_string()
}

fn order(keyed: bool) -> Order {
    Order {
        selector: Selector {
            from: vec![text("web")],
            service: text("seat"),
            methods: vec![text("GET")],
            path_prefix: text("/seats"),
            labels: Default::default(),
        },
        wait_us: 1_500_000,
        importance: 7,
        repeatable: true,
        keyed,
        leave_zone: true,
    }
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Entry {
    let act = Act::Change(Change { id: text(id), base, edits });
    Entry { origin: text("operator"), life: 1, sequence: base + 1, act }
}

/// One that is still to come for the recorded state.
pub fn next_change(base: u64) -> Change {
    let grouping = Grouping { service: text("web"), zone: text("z1"), labels: Default::default() };
    Change { id: text("next"), base, edits: vec![Edit::PutGrouping { name: text("next"), grouping }] }
}

fn standing(sequence: u64, report: Report) -> Entry {
    Entry { origin: text("n1"), life: NODE_LIFE, sequence, act: Act::Standing(report) }
}

fn registered(name: &str) -> Report {
    let back_end = BackEnd {
        service: text("seat"),
        zone: text("z0"),
        labels: Default::default(),
        slots: 6,
        node: text("n1"),
        incarnation: (1 << 32) | 7,
        phase: Phase::Registered,
        since: 0,
    };
    Report::Registered { name: text(name), back_end }
}

fn items(sequence: u64, puts: Vec<(&str, Body)>, drops: Vec<(Kind, &str)>) -> Entry {
    let put = |(name, body): (&str, Body)| {
        let text = format!("{{\"sent\": {sequence}}}");
        Put { name: name.to_string(), version: sequence, body, text }
    };
    let puts = puts.into_iter().map(put).collect();
    let drops = drops.into_iter().map(|(kind, name)| (kind, name.to_string(), sequence)).collect();
    let act = Act::Bill(BillAct::Items(Call { puts, drops }));
    Entry { origin: text("operator"), life: 1, sequence, act }
}

fn service(keyed: bool) -> Body {
    Body::Service(Service { health_path: text("/healthz"), conns: 64, keyed, warm_us: 1_000 })
}

fn lane() -> Body {
    Body::Lane(Lane {
        host: text("seats.example"),
        prefix: text("/book/"),
        repeatable: true,
        wait_us: 2_000_000,
        aim_us: 150_000,
        rank: 3,
        dispatches: 2,
        shares: vec![(text("seat"), 900), (text("web"), 100)],
    })
}

fn limits() -> Body {
    Body::Limits(Limits { header_bytes: 16_384, body_bytes: 1_048_576, header_wait_us: 5_000_000, idle_us: 60_000_000 })
}

fn told(sequence: u64, reports: Vec<BillReport>) -> Entry {
    let act = Act::Bill(BillAct::Reports(reports));
    Entry { origin: text("n1"), life: NODE_LIFE, sequence, act }
}

fn joined(name: &str) -> BillReport {
    let player = Player { service: text("seat"), zone: text("z0"), node: text("n1"), slots: 6, phase: Phase::Registered, since: 0 };
    BillReport::Joined { name: text(name), player }
}

pub fn before_the_replacement() -> Vec<Entry> {
    let grouping = Grouping { service: text("seat"), zone: text("z0"), labels: Default::default() };
    let first = vec![
        Edit::PutGrouping { name: text("seats"), grouping: grouping.clone() },
        Edit::PutGrouping { name: text("callers"), grouping: Grouping { service: text("web"), ..grouping.clone() } },
        Edit::PutOrder { name: text("book"), order: order(true) },
    ];
    let node = Report::Node { node: text("n1"), zone: text("z0"), address: text("10.0.0.1:7000"), incarnation: NODE_LIFE, replaces: 0 };
    let place = BillReport::Node { node: text("n1"), zone: text("z0"), address: text("10.0.0.1:7000"), life: NODE_LIFE, replaces: 0 };
    vec![
        change("first", 0, first),
        standing(1, node),
        standing(2, registered("b1")),
        standing(3, registered("b2")),
        items(1, vec![("seat", service(true)), ("web", service(false))], Vec::new()),
        items(2, vec![("book", lane()), ("", limits())], Vec::new()),
        told(4, vec![place, joined("b1"), joined("b2")]),
        change("second", 1, vec![Edit::PutGrouping { name: text("more"), grouping: Grouping { zone: text("z1"), ..grouping } }]),
        items(3, vec![("spare", service(false))], Vec::new()),
        change("third", 2, vec![Edit::DropGrouping { name: text("more") }]),
        items(4, Vec::new(), vec![(Kind::Service, "spare")]),
        standing(5, Report::Slots { name: text("b1"), incarnation: (1 << 32) | 7, slots: 9 }),
    ]
}

pub fn while_one_is_away() -> Vec<Entry> {
    let rows = vec![(0, 9_999, text("b1")), (10_000, u16::MAX, text("b2"))];
    vec![
        told(6, vec![BillReport::Recast { service: text("seat"), base: 0, rows }]),
        items(5, vec![("web", service(true))], Vec::new()),
        change("fourth", 3, vec![Edit::PutOrder { name: text("book"), order: order(false) }]),
    ]
}

pub fn after_the_replacement() -> Vec<Entry> {
    let draining = Report::Phase { name: text("b2"), incarnation: (1 << 32) | 7, phase: Phase::Draining };
    vec![
        items(6, vec![("web", service(false))], Vec::new()),
        told(7, vec![BillReport::Draining { name: text("b2") }]),
        change("fifth", 4, vec![Edit::PutOrder { name: text("book"), order: order(true) }]),
        standing(8, draining),
        items(7, vec![("last", service(false))], Vec::new()),
        items(8, vec![("last", service(true))], Vec::new()),
    ]
}
