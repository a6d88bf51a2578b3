//! Nodes beside back ends under virtual time: the real book, views and houses; a made-up network (design 9.8).

use super::mesh_plan::{MeshPlan, Strike};
use playbill::{Act, Book, Entry, Micros, standing::Report};

pub(super) enum Event {
    Strike(Strike),
    Pump(usize),
    Ask(usize),
    Proved(usize, Micros, Box<playbill::Slice>),
    Beat(usize),
    Report(usize, u64, Report),
    Request,
    Arrive(Box<wings::Dispatch>, usize),
    Done(usize, u64, Box<stage::house::Permit>),
}

pub(super) struct Node {
    pub house: stage::House,
    pub view: gallery::View,
    pub life: u64,
    pub frozen: bool,
    pub cut: bool,
    pub late: Vec<Event>,
    pub outbox: std::collections::VecDeque<Report>,
    pub sequence: u64,
    pub reporting: bool,
    /// The process now behind the back end here, and whether it beats.
    pub process: u64,
    pub beats: bool,
    pub secret: String,
}

/// From, to, key, process.
type Span = (Micros, Micros, String, u64);

pub struct Mesh {
    pub plan: MeshPlan,
    pub now: Micros,
    pub book: Book,
    pub broken: Vec<String>,
    pub runs: usize,
    pub(super) nodes: Vec<Node>,
    pub(super) spans: Vec<Span>,
    pub(super) forbidden: Option<Micros>,
    pub(super) drained: std::collections::BTreeMap<u64, Micros>,
    pub(super) changes: u64,
    pub(super) tries: u64,
    pub(super) ran: std::collections::BTreeSet<String>,
    pub(super) processes: u64,
    pub(super) random: rand::rngs::StdRng,
    events: std::collections::BTreeMap<(Micros, u64), Event>,
    order: u64,
}

pub const WAIT: Micros = 800_000;

impl Mesh {
    pub fn new(plan: MeshPlan) -> Mesh {
        let mut mesh = Mesh {
            now: 0,
            book: Book::default(),
            broken: Vec::new(),
            runs: 0,
            nodes: Vec::new(),
            spans: Vec::new(),
            forbidden: None,
            drained: Default::default(),
            changes: 0,
            tries: 0,
            ran: Default::default(),
            processes: 0,
            random: rand::SeedableRng::seed_from_u64(plan.seed),
            events: Default::default(),
            order: 0,
            plan,
        };
        mesh.change(true);
        (0..mesh.plan.nodes).for_each(|at| {
            let node = mesh.fresh_node(at);
            mesh.nodes.push(node);
            mesh.begin(at);
            let offset = at as Micros * 7_000;
            [Event::Pump(at), Event::Ask(at), Event::Beat(at)].into_iter().for_each(|event| mesh.at(offset, event));
        });
        mesh.at(500_000, Event::Request);
        mesh
    }

    fn fresh_node(&mut self, at: usize) -> Node {
        let env =
            stage::HouseEnv { node: format!("n{at}"), zone: "z0".into(), beat_patience: 1_200_000, bound: self.plan.believed_bound, guard: self.plan.guard };
        Node {
            house: stage::House::new(env),
            view: Default::default(),
            life: self.now + 1,
            frozen: false,
            cut: false,
            late: Vec::new(),
            outbox: Default::default(),
            sequence: 0,
            reporting: false,
            process: 0,
            beats: true,
            secret: String::new(),
        }
    }

    /// The node says it is there, and its back end registers.
    fn begin(&mut self, at: usize) {
        let (node, zone, address, incarnation) = (format!("n{at}"), "z0".to_string(), format!("127.0.0.1:{at}"), self.nodes[at].life);
        self.nodes[at].outbox.push_back(Report::Node { node, zone, address, incarnation });
        self.register(at);
    }

    fn register(&mut self, at: usize) {
        self.processes += 1;
        let (process, now) = (self.processes, self.now);
        let node = &mut self.nodes[at];
        let registration = stage::house::Registration {
            name: format!("b{at}"),
            service: "seat".into(),
            zone: "z0".into(),
            labels: Default::default(),
            slots: 4,
            address: format!("127.0.0.1:{}", 1_000 + process),
        };
        if node.house.reserve(now, now + 1, registration, format!("secret {process}")).is_err() {
            return;
        }
        (node.process, node.beats, node.secret) = (process, true, format!("secret {process}"));
        if let Some(back_end) = node.house.back_end(&format!("b{at}")) {
            node.outbox.push_back(Report::Registered { name: format!("b{at}"), back_end });
        }
    }

    pub(super) fn at(&mut self, time: Micros, event: Event) {
        self.order += 1;
        self.events.insert((time, self.order), event);
    }

    pub fn strike_at(&mut self, time: Micros, strike: Strike) {
        self.at(time, Event::Strike(strike));
    }

    pub(super) fn hop(&mut self) -> Micros {
        rand::Rng::random_range(&mut self.random, self.plan.hop.0..=self.plan.hop.1)
    }

    pub(super) fn change(&mut self, allow: bool) {
        let grouping = playbill::Grouping { service: "seat".into(), zone: "z0".into(), labels: Default::default() };
        let selector =
            playbill::Selector { from: vec!["seat".into()], service: "seat".into(), methods: vec![], path_prefix: "/take".into(), labels: Default::default() };
        let order = playbill::Order { selector, wait_us: WAIT, importance: 5, repeatable: false, keyed: true, leave_zone: true };
        let site = playbill::Edit::PutGrouping { name: "seat".into(), grouping };
        let edit = match allow {
            true => playbill::Edit::PutOrder { name: "take".into(), order },
            false => playbill::Edit::DropOrder { name: "take".into() },
        };
        self.changes += 1;
        let change = playbill::Change { id: format!("c{}", self.changes), base: self.book.desired.version, edits: vec![site, edit] };
        let accepted = self.book.apply(Entry { origin: "core".into(), life: 1, sequence: self.changes, act: Act::Change(change) });
        if matches!(accepted, playbill::Outcome::Accepted { .. }) {
            self.forbidden = (!allow).then_some(self.now);
        }
    }

    pub(super) fn strike(&mut self, strike: Strike) {
        match strike {
            Strike::Freeze(at) => self.nodes[at].frozen = true,
            Strike::Wake(at) => {
                self.nodes[at].frozen = false;
                std::mem::take(&mut self.nodes[at].late).into_iter().for_each(|event| self.happen(event));
            }
            Strike::Cut(at) => self.nodes[at].cut = true,
            Strike::Mend(at) => self.nodes[at].cut = false,
            Strike::Replace(at) => {
                // Nobody can register while the old life counts as live.
                self.nodes[at].beats = false;
            }
            Strike::Silence(at) => self.nodes[at].beats = false,
            Strike::Drain(at) => {
                let (now, secret) = (self.now, self.nodes[at].secret.clone());
                if !self.nodes[at].frozen && self.nodes[at].house.beat(now, &secret, true, None).is_some() {
                    let process = self.nodes[at].process;
                    self.drained.insert(process, now);
                }
            }
            Strike::RestartNode(at) => {
                let cut = self.nodes[at].cut;
                self.nodes[at] = Node { cut, ..self.fresh_node(at) };
                self.begin(at);
            }
            Strike::Forbid => self.change(false),
            Strike::Allow => self.change(true),
        }
    }

    /// A back end whose registration has ended comes again as another process.
    pub(super) fn come_again(&mut self, at: usize) {
        if !self.nodes[at].beats || self.drained.contains_key(&self.nodes[at].process) {
            self.register(at);
        }
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > end {
                break;
            }
            self.now = time;
            self.happen(event);
        }
    }

    /// Two processes at work on one key at the same time.
    pub fn close(&mut self) {
        self.spans.sort();
        let mut latest: std::collections::BTreeMap<&str, (Micros, u64)> = Default::default();
        let clashes: Vec<String> = self
            .spans
            .iter()
            .filter_map(|(from, to, key, process)| {
                let held = latest.entry(key).or_insert((0, *process));
                let clash = *from < held.0 && held.1 != *process;
                if *to > held.0 {
                    *held = (*to, *process);
                }
                clash.then(|| format!("key {key} at {from}: processes {process} and another"))
            })
            .collect();
        self.broken.extend(clashes);
    }
}
