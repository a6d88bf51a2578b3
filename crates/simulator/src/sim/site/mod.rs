//! A whole site in virtual time: the real log, books, views, houses and courses of tries; only the network,
//! disks, back ends, senders and operators are made up (design 9.8).

mod attempts;
mod backends;
mod checks;
mod events;
mod faults;
mod plan;
mod replicas;

pub use plan::{DisabledGuards, SiteFault, SitePlan, schedule_site_faults};

use model::{Microseconds, endpoint_status::EndpointReport};
use plan::{NODES, service, zone};
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Range;

enum Event {
    Fault(SiteFault),
    PumpSlots(usize),
    AskForProof(usize),
    /// A node's question reaches a core seat, or its home.
    ReplicaAsked(usize, u16, Microseconds),
    RelayAsked(usize, usize, Microseconds),
    Proved(usize, Microseconds, Box<model::StateSlice>),
    Heartbeat(usize),
    /// An entry reaches a core seat; and the answer its node.
    Report(usize, u64, u16, Box<model::Entry>),
    ReportAnswered(usize, u64, u64, model::Outcome),
    OperatorTurn,
    Send(usize, u64),
    Arrive(u64, usize, Box<transport::AttemptRequest>, Microseconds),
    Reply(u64, Result<(), model::Error>),
    DeadlinePassed(u64),
    RunEnds(u64),
    BackendStarts(usize),
}

struct Node {
    pub slot_owner: legacy_proxy::SlotOwner,
    pub view: control::View,
    pub accepted_attempts: legacy_proxy::accepted_attempts::AcceptedAttempts,
    pub selector: legacy_proxy::selector::Selector,
    pub retry_budget: legacy_proxy::retry_budget::RetryBudget,
    pub incarnation: u64,
    pub frozen: bool,
    pub cut: bool,
    pub leaving: bool,
    pub deferred: Vec<Event>,
    /// Reports that wait, the one on its way, and its turn over the seats.
    pub outbox: VecDeque<EndpointReport>,
    pub sequence: u64,
    pub entry: Option<(model::Entry, Microseconds)>,
    pub replica_id: u16,
    /// When it was last proved to, whom it passes over, who asked it and when.
    pub proved: Microseconds,
    pub asks_replicas: bool,
    pub passed_over: Option<(usize, Microseconds)>,
    pub askers: Vec<(usize, Microseconds, Microseconds)>,
}

/// A back end's process; its number is its address.
struct Process {
    pub name: String,
    pub service: &'static str,
    pub node: usize,
    pub alive: bool,
    pub heartbeats: bool,
    pub drained: Option<Microseconds>,
    pub died: Option<Microseconds>,
    pub secret: String,
    pub prefix: String,
}

pub struct Site {
    pub plan: SitePlan,
    pub now: Microseconds,
    pub replicas: replicas::SiteReplicas,
    pub checks: checks::SiteChecks,
    nodes: Vec<Node>,
    processes: Vec<Process>,
    /// Address to the process that has it now.
    addresses: BTreeMap<u64, usize>,
    attempt_loops: BTreeMap<u64, attempts::PendingAttempt>,
    attempts: Vec<attempts::ClientAttempt>,
    /// Dispatches that wait for a slot.
    queued_attempts: BTreeMap<u64, transport::AttemptRequest>,
    runs: BTreeMap<u64, backends::Run>,
    last_number: u64,
    /// Read tokens: the node that asked, and when.
    reads: BTreeMap<u64, (usize, Microseconds)>,
    reports: BTreeMap<(String, u64, u64), usize>,
    changes: BTreeMap<(String, u64, u64), String>,
    operator_turns: u64,
    random: rand::rngs::StdRng,
    events: BTreeMap<(Microseconds, u64), Event>,
    last_event_number: u64,
}

impl Site {
    pub fn new(plan: SitePlan) -> Site {
        let core = replicas::SiteReplicas::new(plan.replica_count, plan.seed, plan.disabled.syncs);
        let mut site = Site {
            now: 0,
            replicas: core,
            checks: Default::default(),
            nodes: Vec::new(),
            processes: Vec::new(),
            addresses: Default::default(),
            attempt_loops: Default::default(),
            attempts: Vec::new(),
            queued_attempts: Default::default(),
            runs: Default::default(),
            last_number: 0,
            reads: Default::default(),
            reports: Default::default(),
            changes: Default::default(),
            operator_turns: 0,
            random: rand::SeedableRng::seed_from_u64(plan.seed),
            events: Default::default(),
            last_event_number: 0,
            plan,
        };
        site.schedule(300_000, Event::OperatorTurn);
        (0..NODES).for_each(|at| {
            let node = site.fresh_node(at);
            site.nodes.push(node);
            let offset = 400_000 + at as Microseconds * 7_000;
            site.announce(at);
            [
                Event::PumpSlots(at),
                Event::AskForProof(at),
                Event::BackendStarts(at),
            ]
            .into_iter()
            .for_each(|event| site.schedule(offset, event));
            site.schedule(1_000_000 + offset, Event::Send(at, u64::MAX));
        });
        site
    }

    fn fresh_node(&self, at: usize) -> Node {
        Node {
            slot_owner: legacy_proxy::SlotOwner::new(self.plan.slot_owner_config(at)),
            view: Default::default(),
            accepted_attempts: Default::default(),
            selector: Default::default(),
            retry_budget: legacy_proxy::retry_budget::RetryBudget::new(
                if self.plan.disabled.budget {
                    1_000_000
                } else {
                    1
                },
            ),
            // Drawn as a process does it: in no order.
            incarnation: model::leases::stable_hash(&format!("{at} {}", self.now)),
            frozen: false,
            cut: false,
            leaving: false,
            deferred: Vec::new(),
            outbox: Default::default(),
            sequence: 0,
            entry: None,
            replica_id: at as u16 % self.plan.replica_count,
            proved: self.now,
            asks_replicas: true,
            passed_over: None,
            askers: Vec::new(),
        }
    }

    /// On top of the incarnation that the node's own news has.
    fn registration(&self, at: usize) -> EndpointReport {
        let (node, incarnation) = (format!("n{at}"), self.nodes[at].incarnation);
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
    fn announce(&mut self, at: usize) {
        let report = self.registration(at);
        self.nodes[at].outbox.push_back(report);
    }

    /// The process ends with all it knew; another begins at the same place.
    fn restart(&mut self, at: usize) {
        let cut = self.nodes[at].cut;
        self.nodes[at] = Node {
            cut,
            ..self.fresh_node(at)
        };
        self.attempt_loops.retain(|_, trying| trying.node != at);
        self.runs
            .values_mut()
            .filter(|run| run.node == at)
            .for_each(|run| run.orphan = true);
        self.announce(at);
    }

    fn schedule(&mut self, time: Microseconds, event: Event) {
        self.last_event_number += 1;
        self.events.insert((time, self.last_event_number), event);
    }

    pub fn schedule_fault(&mut self, time: Microseconds, blow: SiteFault) {
        self.schedule(time, Event::Fault(blow));
    }

    fn draw_delay(&mut self) -> Microseconds {
        rand::Rng::random_range(
            &mut self.random,
            self.plan.network_delay.0..=self.plan.network_delay.1,
        )
    }

    fn draw(&mut self, range: Range<u64>) -> u64 {
        rand::Rng::random_range(&mut self.random, range)
    }

    /// Another process comes under the name of `at`'s back end, at an address of its own.
    fn new_process(
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
            heartbeats: true,
            drained: None,
            died: None,
            secret: blank.0,
            prefix: blank.1,
        });
        self.schedule(self.now, Event::Heartbeat(process));
    }

    fn main_process(&self, at: usize) -> Option<usize> {
        let name = format!("b{at}");
        self.processes
            .iter()
            .rposition(|process| process.name == name && process.alive && process.heartbeats)
    }

    fn start_backend(&mut self, at: usize) {
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
            self.collect_replica_events();
            self.handle(event);
        }
        self.now = end;
    }

    /// Faults over, time to recover, and the checks of the whole.
    pub fn finish(&mut self, end: Microseconds) -> Vec<String> {
        (0..NODES).for_each(|at| {
            self.schedule_fault(end, SiteFault::Unfreeze(at));
            self.schedule_fault(end, SiteFault::Heal(at));
        });
        self.replicas.heal(end);
        self.run_until(end + 12_000_000);
        let (core, story) = (self.replicas.close(), self.replicas.accepted_changes());
        self.checks
            .check_final_state(core, &story, end + 6_000_000, NODES);
        self.checks.violations.clone()
    }
}
