//! Simulates a whole site in virtual time: the replicas of the log, and the nodes with their backends and clients. The
//! log, the state machines, and the nodes' views, slots and attempt loops are the product's; only the network, the disks,
//! the backends, the clients and the operators are simulated (design 9.8).

mod attempts;
mod backends;
mod checks;
mod events;
mod faults;
mod plan;
mod replicas;

pub use plan::{DisabledGuards, SiteFault, SitePlan, schedule_site_faults};

use model::{Microseconds, endpoint_status::EndpointReport};
use plan::{NODE_COUNT, service, zone};
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Range;

/// An event of the simulation. Nodes and backend processes are given by their indexes, and forwarded attempts by the
/// numbers of [`Site::pending_attempts`].
enum Event {
    Fault(SiteFault),
    /// The node does its periodic work: it admits queued requests and sends its next report.
    NodeTick(usize),
    /// The node requests a freshness proof, which it does periodically.
    RequestProof(usize),
    /// A node's proof request arrives at a replica: the node, the replica and the time of the request.
    ReplicaProofRequest(usize, u16, Microseconds),
    /// A node's proof request arrives at its zone's relay: the relay, the node and the time of the request.
    RelayProofRequest(usize, usize, Microseconds),
    /// A proof arrives at a node: the node, the time of its request, and the slice of the state that is proved.
    ProofArrives(usize, Microseconds, Box<model::StateSlice>),
    /// A backend process sends a heartbeat: the process.
    Heartbeat(usize),
    /// A node's report arrives at a replica as an entry: the node, its incarnation, the replica and the entry.
    Report(usize, u64, u16, Box<model::Entry>),
    /// The outcome of a report arrives at its node: the node, its incarnation, the sequence number and the outcome.
    ReportAnswered(usize, u64, u64, model::Outcome),
    /// Operators submit changes, which they do periodically.
    OperatorChange,
    /// The client beside a node sends an attempt: the node, and the index in [`Site::attempts`], or `u64::MAX` for a new
    /// attempt.
    SendAttempt(usize, u64),
    /// A forwarded attempt arrives at the node beside the backend: its number, the node, the request and the time when it
    /// was sent.
    RequestArrives(u64, usize, Box<transport::AttemptRequest>, Microseconds),
    /// The response to a forwarded attempt arrives at the client's node.
    ResponseArrives(u64, Result<(), model::Error>),
    /// The deadline of a forwarded attempt passes at the client's node.
    DeadlinePassed(u64),
    /// A backend finishes the run of a forwarded attempt.
    RunEnds(u64),
    /// The backend beside a node starts, unless it is running.
    BackendStarts(usize),
}

/// A process of a node.
struct Node {
    pub slot_owner: legacy_proxy::SlotOwner,
    pub view: control::View,
    pub accepted_attempts: legacy_proxy::accepted_attempts::AcceptedAttempts,
    pub selector: legacy_proxy::selector::Selector,
    pub retry_budget: legacy_proxy::retry_budget::RetryBudget,
    pub incarnation: u64,
    /// Whether the process is suspended. Its events are deferred meanwhile.
    pub frozen: bool,
    /// Whether the node is disconnected from all replicas and all other nodes.
    pub cut_off: bool,
    /// Whether the node has received SIGTERM.
    pub stopping: bool,
    /// The events that arrived while the process was suspended.
    pub deferred: Vec<Event>,
    /// The reports to be sent after the one in `entry`.
    pub outbox: VecDeque<EndpointReport>,
    /// The sequence number of the latest entry.
    pub sequence: u64,
    /// The report that is not answered yet, as an entry, and the time when it was last sent; 0 before that.
    pub entry: Option<(model::Entry, Microseconds)>,
    /// The replica to which reports and proof requests are sent.
    pub replica_id: u16,
    /// The time of the last proof or, if later, the time when the node turned to another replica for lack of proofs.
    pub proved_at: Microseconds,
    /// Whether the node requests proofs from a replica, not from a relay.
    pub follows_replica: bool,
    /// The relay that the node avoids because it sent no proof, and until when.
    pub avoided_relay: Option<(usize, Microseconds)>,
    /// Nodes that requested a proof from this node as their relay, with the times of the request and of its arrival.
    pub waiting_nodes: Vec<(usize, Microseconds, Microseconds)>,
}

/// A process of a backend. [`Site::addresses`] maps its address to it.
struct BackendProcess {
    pub name: String,
    pub service: &'static str,
    /// The index of the node beside it.
    pub node: usize,
    pub alive: bool,
    pub sends_heartbeats: bool,
    /// The time when it announced that it is draining.
    pub drained_at: Option<Microseconds>,
    pub died_at: Option<Microseconds>,
    /// The secret of its registration; empty before that.
    pub secret: String,
    /// The prefix of the attempt ids that it creates as a client; empty before its registration.
    pub attempt_prefix: String,
}

/// A simulated site.
pub struct Site {
    pub plan: SitePlan,
    /// The virtual time, in microseconds.
    pub now: Microseconds,
    pub replicas: replicas::SiteReplicas,
    pub checks: checks::SiteChecks,
    nodes: Vec<Node>,
    processes: Vec<BackendProcess>,
    /// Maps each address to the process that uses it now.
    addresses: BTreeMap<u64, usize>,
    /// The forwarded attempts without a response, by number.
    pending_attempts: BTreeMap<u64, attempts::PendingAttempt>,
    /// All attempts that clients have created.
    attempts: Vec<attempts::ClientAttempt>,
    /// Forwarded attempts that wait for a slot of the backend, by number.
    queued_attempts: BTreeMap<u64, transport::AttemptRequest>,
    runs: BTreeMap<u64, backends::Run>,
    /// The last number assigned to a forwarded attempt, a read, or an entry with an operator's change.
    last_number: u64,
    /// Maps the token of each read at a replica to the node that requested the proof and the time of its request.
    pending_reads: BTreeMap<u64, (usize, Microseconds)>,
    /// Maps the key of each entry with a report (origin, incarnation and sequence number) to the node that sent it.
    reports: BTreeMap<(String, u64, u64), usize>,
    /// Maps the key of each entry with an operator's change that is not accepted yet to the id of the change.
    changes: BTreeMap<(String, u64, u64), String>,
    operator_change_count: u64,
    rng: rand::rngs::StdRng,
    /// The pending events by time. Events of the same time are ordered by their numbers, that is, as they were scheduled.
    events: BTreeMap<(Microseconds, u64), Event>,
    last_event_number: u64,
}

impl Site {
    /// Creates a site whose nodes, backends, clients and operators are about to start.
    pub fn new(plan: SitePlan) -> Site {
        let replicas =
            replicas::SiteReplicas::new(plan.replica_count, plan.seed, plan.disabled.disk_sync);
        let mut site = Site {
            now: 0,
            replicas,
            checks: Default::default(),
            nodes: Vec::new(),
            processes: Vec::new(),
            addresses: Default::default(),
            pending_attempts: Default::default(),
            attempts: Vec::new(),
            queued_attempts: Default::default(),
            runs: Default::default(),
            last_number: 0,
            pending_reads: Default::default(),
            reports: Default::default(),
            changes: Default::default(),
            operator_change_count: 0,
            rng: rand::SeedableRng::seed_from_u64(plan.seed),
            events: Default::default(),
            last_event_number: 0,
            plan,
        };
        site.schedule(300_000, Event::OperatorChange);
        (0..NODE_COUNT).for_each(|node_index| {
            let node = site.new_node(node_index);
            site.nodes.push(node);
            let offset = 400_000 + node_index as Microseconds * 7_000;
            site.register_node(node_index);
            [
                Event::NodeTick(node_index),
                Event::RequestProof(node_index),
                Event::BackendStarts(node_index),
            ]
            .into_iter()
            .for_each(|event| site.schedule(offset, event));
            site.schedule(1_000_000 + offset, Event::SendAttempt(node_index, u64::MAX));
        });
        site
    }

    /// A new process of a node, without any state.
    fn new_node(&self, node_index: usize) -> Node {
        Node {
            slot_owner: legacy_proxy::SlotOwner::new(self.plan.slot_owner_config(node_index)),
            view: Default::default(),
            accepted_attempts: Default::default(),
            selector: Default::default(),
            retry_budget: legacy_proxy::retry_budget::RetryBudget::new(
                if self.plan.disabled.retry_budget {
                    1_000_000
                } else {
                    1
                },
            ),
            // As in the product, the incarnations of a node have no order.
            incarnation: model::leases::stable_hash(&format!("{node_index} {}", self.now)),
            frozen: false,
            cut_off: false,
            stopping: false,
            deferred: Vec::new(),
            outbox: Default::default(),
            sequence: 0,
            entry: None,
            replica_id: node_index as u16 % self.plan.replica_count,
            proved_at: self.now,
            follows_replica: true,
            avoided_relay: None,
            waiting_nodes: Vec::new(),
        }
    }

    /// The report that registers a node. It names the incarnation that the node replaces, which is the one in its view.
    fn registration(&self, node_index: usize) -> EndpointReport {
        let (node, incarnation) = (format!("n{node_index}"), self.nodes[node_index].incarnation);
        let replaces = self.nodes[node_index]
            .view
            .slice
            .nodes
            .get(&node)
            .map_or(0, |registered| registered.incarnation);
        EndpointReport::NodeRegistered {
            node,
            zone: zone(node_index),
            address: format!("127.0.0.1:{node_index}"),
            incarnation,
            replaces,
        }
    }

    /// Queues the registration of a node.
    fn register_node(&mut self, node_index: usize) {
        let report = self.registration(node_index);
        self.nodes[node_index].outbox.push_back(report);
    }

    /// Replaces a node's process by a new one without any state. The network faults of the node remain.
    fn restart(&mut self, node_index: usize) {
        let cut_off = self.nodes[node_index].cut_off;
        self.nodes[node_index] = Node {
            cut_off,
            ..self.new_node(node_index)
        };
        self.pending_attempts
            .retain(|_, pending| pending.node != node_index);
        self.runs
            .values_mut()
            .filter(|run| run.node == node_index)
            .for_each(|run| run.orphaned = true);
        self.register_node(node_index);
    }

    fn schedule(&mut self, time: Microseconds, event: Event) {
        self.last_event_number += 1;
        self.events.insert((time, self.last_event_number), event);
    }

    pub fn schedule_fault(&mut self, time: Microseconds, fault: SiteFault) {
        self.schedule(time, Event::Fault(fault));
    }

    /// Draws a network delay, in microseconds.
    fn draw_delay(&mut self) -> Microseconds {
        rand::Rng::random_range(
            &mut self.rng,
            self.plan.network_delay.0..=self.plan.network_delay.1,
        )
    }

    fn draw(&mut self, range: Range<u64>) -> u64 {
        rand::Rng::random_range(&mut self.rng, range)
    }

    /// Starts a backend process beside a node, at the given address or at a new one.
    fn new_process(
        &mut self,
        node_index: usize,
        name: String,
        service: &'static str,
        address: Option<u64>,
    ) {
        let process = self.processes.len();
        let address = address.unwrap_or(1_000 + process as u64);
        self.addresses.insert(address, process);
        let empty = (String::new(), String::new());
        self.processes.push(BackendProcess {
            name,
            service,
            node: node_index,
            alive: true,
            sends_heartbeats: true,
            drained_at: None,
            died_at: None,
            secret: empty.0,
            attempt_prefix: empty.1,
        });
        self.schedule(self.now, Event::Heartbeat(process));
    }

    /// The index of the live process of the node's own backend that sends heartbeats. Backends that were started at the
    /// address of another one have other names.
    fn main_process(&self, node_index: usize) -> Option<usize> {
        let name = format!("b{node_index}");
        self.processes
            .iter()
            .rposition(|process| process.name == name && process.alive && process.sends_heartbeats)
    }

    /// Starts the node's own backend unless it is running.
    fn start_backend(&mut self, node_index: usize) {
        if self.main_process(node_index).is_none() {
            self.new_process(
                node_index,
                format!("b{node_index}"),
                service(node_index),
                None,
            );
        }
    }

    /// Handles all events up to the time `end`, in microseconds.
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

    /// Heals all faults at the time `end`, runs the site for the time of recovery, and returns all violations. Every
    /// service must be served again in the second half of that time.
    pub fn finish(&mut self, end: Microseconds) -> Vec<String> {
        (0..NODE_COUNT).for_each(|node_index| {
            self.schedule_fault(end, SiteFault::Unfreeze(node_index));
            self.schedule_fault(end, SiteFault::Heal(node_index));
        });
        self.replicas.heal(end);
        self.run_until(end + 12_000_000);
        let (log_violations, accepted_changes) =
            (self.replicas.close(), self.replicas.accepted_changes());
        self.checks.check_final_state(
            log_violations,
            &accepted_changes,
            end + 6_000_000,
            NODE_COUNT,
        );
        self.checks.violations.clone()
    }
}
