//! A whole site in virtual time: the real log, books, views, houses and courses of tries; only the network,
//! disks, back ends, senders and operators are made up (design 9.8).

use super::site_plan::{Blow, NODES, SitePlan, service, zone};
use model::{Microseconds, endpoint_status::EndpointReport};
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Range;

pub(super) enum Event {
    Blow(Blow),
    Pump(usize),
    Ask(usize),
    /// A node's question reaches a core seat, or its home.
    AtCore(usize, u16, Microseconds),
    AtHome(usize, usize, Microseconds),
    Proved(usize, Microseconds, Box<model::StateSlice>),
    Beat(usize),
    /// An entry reaches a core seat; and the answer its node.
    Report(usize, u64, u16, Box<model::Entry>),
    Reported(usize, u64, u64, model::Outcome),
    Operate,
    Send(usize, u64),
    Arrive(u64, usize, Box<transport::AttemptRequest>, Microseconds),
    Reply(u64, Result<(), model::Error>),
    Late(u64),
    RunEnds(u64),
    Come(usize),
}

pub(super) struct Node {
    pub house: legacy_proxy::SlotOwner,
    pub view: control::View,
    pub taken: legacy_proxy::accepted_attempts::AcceptedAttempts,
    pub picker: legacy_proxy::selector::Selector,
    pub budget: legacy_proxy::retry_budget::RetryBudget,
    pub life: u64,
    pub frozen: bool,
    pub cut: bool,
    pub leaving: bool,
    pub late: Vec<Event>,
    /// Reports that wait, the one on its way, and its turn over the seats.
    pub outbox: VecDeque<EndpointReport>,
    pub sequence: u64,
    pub entry: Option<(model::Entry, Microseconds)>,
    pub seat: u16,
    /// When it was last proved to, whom it passes over, who asked it and when.
    pub proved: Microseconds,
    pub direct: bool,
    pub passed_over: Option<(usize, Microseconds)>,
    pub askers: Vec<(usize, Microseconds, Microseconds)>,
}

/// A back end's process; its number is its address.
pub(super) struct Process {
    pub name: String,
    pub service: &'static str,
    pub node: usize,
    pub alive: bool,
    pub beats: bool,
    pub drained: Option<Microseconds>,
    pub died: Option<Microseconds>,
    pub secret: String,
    pub prefix: String,
}

pub struct Site {
    pub plan: SitePlan,
    pub now: Microseconds,
    pub core: super::site_core::SiteCore,
    pub judge: super::site_judge::Judge,
    pub(super) nodes: Vec<Node>,
    pub(super) processes: Vec<Process>,
    /// Address to the process that has it now.
    pub(super) addresses: BTreeMap<u64, usize>,
    pub(super) courses: BTreeMap<u64, super::site_calls::Trying>,
    pub(super) tries: Vec<super::site_calls::Try>,
    /// Dispatches that wait for a slot.
    pub(super) runs_waiting: BTreeMap<u64, transport::AttemptRequest>,
    pub(super) runs: BTreeMap<u64, super::site_runs::Run>,
    pub(super) numbers: u64,
    /// Read tokens: the node that asked, and when.
    pub(super) reads: BTreeMap<u64, (usize, Microseconds)>,
    pub(super) reports: BTreeMap<(String, u64, u64), usize>,
    pub(super) changes: BTreeMap<(String, u64, u64), String>,
    pub(super) operated: u64,
    pub(super) random: rand::rngs::StdRng,
    events: BTreeMap<(Microseconds, u64), Event>,
    order: u64,
}

impl Site {
    pub fn new(plan: SitePlan) -> Site {
        let core = super::site_core::SiteCore::new(plan.seats, plan.seed, plan.without.syncs);
        let mut site = Site {
            now: 0,
            core,
            judge: Default::default(),
            nodes: Vec::new(),
            processes: Vec::new(),
            addresses: Default::default(),
            courses: Default::default(),
            tries: Vec::new(),
            runs_waiting: Default::default(),
            runs: Default::default(),
            numbers: 0,
            reads: Default::default(),
            reports: Default::default(),
            changes: Default::default(),
            operated: 0,
            random: rand::SeedableRng::seed_from_u64(plan.seed),
            events: Default::default(),
            order: 0,
            plan,
        };
        site.at(300_000, Event::Operate);
        (0..NODES).for_each(|at| {
            let node = site.fresh_node(at);
            site.nodes.push(node);
            let offset = 400_000 + at as Microseconds * 7_000;
            site.present(at);
            [Event::Pump(at), Event::Ask(at), Event::Come(at)]
                .into_iter()
                .for_each(|event| site.at(offset, event));
            site.at(1_000_000 + offset, Event::Send(at, u64::MAX));
        });
        site
    }

    fn fresh_node(&self, at: usize) -> Node {
        Node {
            house: legacy_proxy::SlotOwner::new(self.plan.house(at)),
            view: Default::default(),
            taken: Default::default(),
            picker: Default::default(),
            budget: legacy_proxy::retry_budget::RetryBudget::new(if self.plan.without.budget {
                1_000_000
            } else {
                1
            }),
            // Drawn as a process does it: in no order.
            life: model::leases::stable_hash(&format!("{at} {}", self.now)),
            frozen: false,
            cut: false,
            leaving: false,
            late: Vec::new(),
            outbox: Default::default(),
            sequence: 0,
            entry: None,
            seat: at as u16 % self.plan.seats,
            proved: self.now,
            direct: true,
            passed_over: None,
            askers: Vec::new(),
        }
    }

    /// On top of the incarnation that the node's own news has.
    pub(super) fn registration(&self, at: usize) -> EndpointReport {
        let (node, incarnation) = (format!("n{at}"), self.nodes[at].life);
        let replaces = self.nodes[at]
            .view
            .slice
            .nodes
            .get(&node)
            .map_or(0, |held| held.incarnation);
        EndpointReport::NodeRegistered {
            node,
            zone: zone(at),
            address: format!("127.0.0.1:{at}"),
            incarnation,
            replaces,
        }
    }

    /// The node says that it is there.
    fn present(&mut self, at: usize) {
        let report = self.registration(at);
        self.nodes[at].outbox.push_back(report);
    }

    /// The process ends with all it knew; another begins at the same place.
    pub(super) fn restart(&mut self, at: usize) {
        let cut = self.nodes[at].cut;
        self.nodes[at] = Node {
            cut,
            ..self.fresh_node(at)
        };
        self.courses.retain(|_, trying| trying.node != at);
        self.runs
            .values_mut()
            .filter(|run| run.node == at)
            .for_each(|run| run.orphan = true);
        self.present(at);
    }

    pub(super) fn at(&mut self, time: Microseconds, event: Event) {
        self.order += 1;
        self.events.insert((time, self.order), event);
    }

    pub fn strike_at(&mut self, time: Microseconds, blow: Blow) {
        self.at(time, Event::Blow(blow));
    }

    pub(super) fn hop(&mut self) -> Microseconds {
        rand::Rng::random_range(&mut self.random, self.plan.hop.0..=self.plan.hop.1)
    }

    pub(super) fn draw(&mut self, range: Range<u64>) -> u64 {
        rand::Rng::random_range(&mut self.random, range)
    }

    /// Another process comes under the name of `at`'s back end, at an address of its own.
    pub(super) fn new_process(
        &mut self,
        at: usize,
        name: String,
        service: &'static str,
        address: Option<u64>,
    ) {
        let process = self.processes.len();
        let address = address.unwrap_or(1_000 + process as u64);
        self.addresses.insert(address, process);
        let blank = (String::new(), String::new());
        self.processes.push(Process {
            name,
            service,
            node: at,
            alive: true,
            beats: true,
            drained: None,
            died: None,
            secret: blank.0,
            prefix: blank.1,
        });
        self.at(self.now, Event::Beat(process));
    }

    pub(super) fn main_process(&self, at: usize) -> Option<usize> {
        let name = format!("b{at}");
        self.processes
            .iter()
            .rposition(|process| process.name == name && process.alive && process.beats)
    }

    pub(super) fn come(&mut self, at: usize) {
        if self.main_process(at).is_none() {
            self.new_process(at, format!("b{at}"), service(at), None);
        }
    }

    pub fn run_until(&mut self, end: Microseconds) {
        while let Some(((time, order), event)) = self.events.pop_first() {
            if time > end {
                self.events.insert((time, order), event);
                break;
            }
            self.now = self.now.max(time);
            self.hear_core();
            self.happen(event);
        }
        self.now = end;
    }

    /// Faults over, time to recover, and the checks of the whole.
    pub fn close(&mut self, end: Microseconds) -> Vec<String> {
        (0..NODES).for_each(|at| {
            self.strike_at(end, Blow::Wake(at));
            self.strike_at(end, Blow::Mend(at));
        });
        self.core.heal(end);
        self.run_until(end + 12_000_000);
        let (core, story) = (self.core.close(), self.core.story());
        self.judge.close(core, &story, end + 6_000_000, NODES);
        self.judge.broken.clone()
    }
}
