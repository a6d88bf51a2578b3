//! The simulation of one service: its nodes, their backends and the log, driven by a queue of events that are handled
//! in the order of virtual time (design 9.1, 11.5).

use super::backend::SimulatedBackend;
use super::log::{Log, ReplicaUpdate};
use super::node::Node;
use model::cluster_state::ClusterReport;
use model::{Microseconds, Outcome, Position};
use std::collections::BTreeMap;

/// Name of the simulated service.
pub(super) const SERVICE: &str = "seat";
/// Number of replicas of the simulated log.
const REPLICA_COUNT: usize = 3;

/// An event of the simulation. Its `usize` is the common index of a node and of the backend beside it, unless the variant
/// says otherwise. The number after it identifies the process or the connection to which the event belongs: the start
/// number of the node, the incarnation of the backend, or the number of the node's update connection. An event whose
/// process was restarted or whose connection was replaced is ignored.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The node does its periodic work. Has the start number.
    Tick(usize, u64),
    /// The node requests a freshness proof, which it does periodically. Has the start number.
    RequestProof(usize, u64),
    /// The node's probe of the process of the named backend ends. Has the start number.
    ProbeAnswered(usize, u64, String),
    /// The backend sends a heartbeat. Has the incarnation; the flag marks the periodic heartbeat, as opposed to one that
    /// reports a change early.
    Heartbeat(usize, u64, bool),
    /// A heartbeat arrives at the node. Has the start number and the time when the heartbeat was sent.
    HeartbeatArrives(usize, u64, Microseconds, Box<endpoints::Heartbeat>),
    /// The answer to a heartbeat arrives at the backend. Has the incarnation, and the send time and the sequence number of
    /// the heartbeat.
    HeartbeatAnswer(usize, u64, Microseconds, u64, endpoints::HeartbeatResponse),
    /// The backend stops waiting for an answer. Has the incarnation and the sequence number of the heartbeat.
    AnswerTimeout(usize, u64, u64),
    /// The work on a range that the backend is to release has ended. Has the incarnation and the number of the release.
    ReleaseFinished(usize, u64, u64),
    /// The drained backend deregisters and ends. Has the incarnation.
    SignOff(usize, u64),
    /// The node's request to follow a replica arrives there. Has the connection number and the position of the node.
    Follow(usize, u64, Position),
    /// The node's freshness-proof request arrives at the replica. Has the connection number and the request number.
    ProofRequestArrives(usize, u64, u64),
    /// An update arrives at the node. Has the connection number.
    UpdateArrives(usize, u64, ReplicaUpdate),
    /// An entry of the node arrives at the log, even if the node was restarted meanwhile. Has the start number and the
    /// sequence number of the entry.
    EntryArrives(usize, u64, u64, Vec<ClusterReport>),
    /// The outcome of an entry arrives at the node. Has the start number and the sequence number of the entry.
    EntryAnswered(usize, u64, u64, Outcome),
    /// The report of a monitoring node that suspects another node arrives at the log. Has the index of the monitoring
    /// node and the sequence number of the entry.
    NodeSuspected(usize, u64, Vec<ClusterReport>),
    /// The node sends an entry again if it is still unanswered. Has the start number and the sequence number of the entry.
    ResendEntry(usize, u64, u64),
    /// The replica with this index applies the next entry of the log.
    ReplicaApplies(usize),
    /// A fault begins. Has the duration, in microseconds.
    FaultBegins(super::Fault, usize, Microseconds),
    FaultEnds(super::Fault, usize),
}

/// Simulates one service with one backend beside each node.
pub struct LeaseHarness {
    pub plan: super::LeasePlan,
    /// The virtual time, in microseconds.
    pub now: Microseconds,
    pub checks: super::checks::LeaseChecks,
    pub(super) log: Log,
    pub(super) nodes: Vec<Node>,
    pub(super) backends: Vec<SimulatedBackend>,
    /// The pending events by time. Events of the same time are ordered by their numbers, that is, as they were scheduled.
    events: BTreeMap<(Microseconds, u64), Event>,
    last_event_number: u64,
    random: rand::rngs::StdRng,
}

impl LeaseHarness {
    /// Creates a service whose nodes and backends are about to start.
    pub fn new(plan: super::LeasePlan) -> LeaseHarness {
        let mut log = Log::new(REPLICA_COUNT);
        let service = model::cluster_state::Service {
            health_path: String::new(),
            max_connections: 0,
            keyed: true,
            slow_start_us: 0,
        };
        let service_put = model::cluster_state::items::ItemPut {
            name: SERVICE.into(),
            version: 1,
            body: model::cluster_state::ItemBody::Service(service),
            text: String::new(),
        };
        log.define_items(model::cluster_state::ItemCall {
            puts: vec![service_put],
            drops: Vec::new(),
        });
        let random = rand::SeedableRng::seed_from_u64(plan.seed);
        let (nodes, backends, events) = (Vec::new(), Vec::new(), Default::default());
        let mut harness = LeaseHarness {
            now: 0,
            checks: Default::default(),
            log,
            nodes,
            backends,
            events,
            last_event_number: 0,
            random,
            plan,
        };
        (0..harness.plan.node_count).for_each(|index| {
            let (clock_rate_ppm, clock_lag_per_mille) = (
                harness.draw((0, 4_000)) as i64 - 2_000,
                harness.draw((0, 20)),
            );
            harness
                .nodes
                .push(Node::new(index, clock_rate_ppm, harness.plan.leases));
            harness
                .backends
                .push(SimulatedBackend::new(index, 0, clock_lag_per_mille));
            harness.start_node(index);
            harness.start_heartbeats(index, 0);
        });
        harness
    }

    /// Draws a number from a range that includes both ends.
    pub(super) fn draw(&mut self, range: (Microseconds, Microseconds)) -> Microseconds {
        rand::Rng::random_range(&mut self.random, range.0..=range.1)
    }

    pub(super) fn schedule(&mut self, time: Microseconds, event: Event) {
        self.last_event_number += 1;
        self.events.insert((time, self.last_event_number), event);
    }

    /// Schedules an event after a delay that is drawn from a range, in microseconds.
    pub(super) fn schedule_within(&mut self, range: (Microseconds, Microseconds), event: Event) {
        let time = self.now + self.draw(range);
        self.schedule(time, event);
    }

    /// Schedules the beginning and the end of a fault. The index is taken modulo the number of nodes.
    pub fn schedule_fault(
        &mut self,
        (time, fault, index, length): (u64, super::Fault, usize, u64),
    ) {
        let index = index % self.plan.node_count;
        self.schedule(time, Event::FaultBegins(fault, index, length));
        self.schedule(time + length, Event::FaultEnds(fault, index));
    }

    /// The time by a node's own clock, which drifts from virtual time at the node's own rate and starts at the node's own
    /// offset. The drift advances in steps of 100 ms of virtual time.
    pub(super) fn clock(&self, index: usize) -> Microseconds {
        (self.now as i64
            + self.now as i64 / 100_000 * self.nodes[index].clock_rate_ppm / 10
            + 77_000_000 * (index as i64 + 1)) as Microseconds
    }

    /// Schedules the first heartbeat of a backend's incarnation, from which the others follow periodically.
    pub(super) fn start_heartbeats(&mut self, index: usize, incarnation: u64) {
        self.schedule_within(
            (10_000, 400_000),
            Event::Heartbeat(index, incarnation, true),
        );
    }

    /// The index of the node, or else of the backend, whose process handles the event. While that process is frozen, the
    /// event is deferred.
    fn required_process(event: &Event) -> (Option<usize>, Option<usize>) {
        match event {
            Event::Tick(index, _)
            | Event::RequestProof(index, _)
            | Event::ProbeAnswered(index, ..)
            | Event::HeartbeatArrives(index, ..) => (Some(*index), None),
            Event::UpdateArrives(index, ..)
            | Event::EntryAnswered(index, ..)
            | Event::ResendEntry(index, ..) => (Some(*index), None),
            Event::Heartbeat(index, ..)
            | Event::HeartbeatAnswer(index, ..)
            | Event::AnswerTimeout(index, ..)
            | Event::ReleaseFinished(index, ..)
            | Event::SignOff(index, _) => (None, Some(*index)),
            _ => (None, None),
        }
    }

    /// Handles an event, or defers it while its process is frozen.
    pub(super) fn handle(&mut self, event: Event) {
        match LeaseHarness::required_process(&event) {
            (Some(index), _) if self.nodes[index].frozen => {
                return self.nodes[index].deferred.push(event);
            }
            (_, Some(index)) if self.backends[index].frozen => {
                return self.backends[index].deferred.push(event);
            }
            _ => {}
        }
        match event {
            Event::Tick(index, start_number) if self.nodes[index].is_running(start_number) => {
                self.tick_node(index);
                self.schedule_within((120_000, 130_000), Event::Tick(index, start_number));
            }
            Event::RequestProof(index, start_number)
                if self.nodes[index].is_running(start_number) =>
            {
                self.request_proof(index);
                let interval = self.plan.proof_interval;
                self.schedule_within(
                    (interval, interval),
                    Event::RequestProof(index, start_number),
                );
            }
            Event::ProbeAnswered(index, start_number, name)
                if self.nodes[index].is_running(start_number) =>
            {
                let refused = !self.backends[index].alive;
                self.nodes[index].probe_answered(&name, refused);
            }
            Event::Heartbeat(index, incarnation, periodic)
                if self.backends[index].incarnation == incarnation
                    && self.backends[index].alive =>
            {
                self.send_heartbeat(index, incarnation, periodic)
            }
            Event::HeartbeatArrives(index, start_number, sent_at, heartbeat) => {
                self.heartbeat_arrives(index, start_number, sent_at, *heartbeat)
            }
            Event::HeartbeatAnswer(index, incarnation, sent_at, number, answer)
                if self.backends[index].incarnation == incarnation
                    && self.backends[index].alive =>
            {
                self.heartbeat_answered(index, sent_at, number, answer)
            }
            Event::AnswerTimeout(index, incarnation, number)
                if self.backends[index].incarnation == incarnation =>
            {
                self.backends[index]
                    .awaiting_answer_to
                    .take_if(|awaited| *awaited == number);
            }
            Event::ReleaseFinished(index, incarnation, release_number)
                if self.backends[index].incarnation == incarnation
                    && self.backends[index].alive =>
            {
                let handover_token = format!("token-{}", self.now);
                if self.backends[index].finish_release(self.now, release_number, handover_token) {
                    self.schedule_within((0, 100_000), Event::Heartbeat(index, incarnation, false));
                }
            }
            Event::SignOff(index, incarnation) => self.sign_off(index, incarnation),
            Event::Follow(index, connection_number, held_position) => {
                self.follow(index, connection_number, held_position)
            }
            Event::ProofRequestArrives(index, connection_number, number) => {
                self.receive_proof_request(index, connection_number, number)
            }
            Event::UpdateArrives(index, connection_number, update) => {
                self.receive_update(index, connection_number, update)
            }
            Event::EntryArrives(index, start_number, sequence, reports) => {
                self.entry_arrives(index, start_number, sequence, reports)
            }
            // An origin apart from the node's own, because the sequence numbers of these entries are not the node's.
            Event::NodeSuspected(observer, sequence, reports) => self
                .append((format!("watch-{observer}"), 1, sequence, reports))
                .map(drop)
                .unwrap_or_default(),
            Event::EntryAnswered(index, start_number, sequence, outcome)
                if self.nodes[index].is_running(start_number) =>
            {
                self.entry_answered(index, sequence, outcome)
            }
            Event::ResendEntry(index, start_number, sequence)
                if self.nodes[index].is_running(start_number) =>
            {
                self.send_entry(index, sequence)
            }
            Event::ReplicaApplies(replica) => self.apply_next_entry(replica),
            Event::FaultBegins(fault, index, length) => self.begin_fault(fault, index, length),
            Event::FaultEnds(fault, index) => self.end_fault(fault, index),
            // The process to which the event belongs has ended.
            _ => {}
        }
    }

    fn send_heartbeat(&mut self, index: usize, incarnation: u64, periodic: bool) {
        if periodic {
            let interval = self.plan.heartbeat_interval;
            self.schedule_within(
                (interval - 20_000, interval + 20_000),
                Event::Heartbeat(index, incarnation, true),
            );
        }
        if self.backends[index].awaiting_answer_to.is_some() {
            // Only one heartbeat may be unanswered. An early heartbeat is postponed, a periodic one is skipped.
            (!periodic).then(|| {
                self.schedule_within(
                    (20_000, 40_000),
                    Event::Heartbeat(index, incarnation, false),
                )
            });
            return;
        }
        let now = self.now;
        let heartbeat = self.backends[index].heartbeat(now);
        let (number, start_number) = (heartbeat.sequence, self.nodes[index].start_number);
        self.schedule(
            now + 1_000_000,
            Event::AnswerTimeout(index, incarnation, number),
        );
        if !self.backends[index].heartbeats_lost && self.nodes[index].up {
            self.schedule_within(
                (100, 3_000),
                Event::HeartbeatArrives(index, start_number, now, Box::new(heartbeat)),
            );
        }
    }

    fn heartbeat_arrives(
        &mut self,
        index: usize,
        start_number: u64,
        sent_at: Microseconds,
        heartbeat: endpoints::Heartbeat,
    ) {
        if !self.nodes[index].is_running(start_number) {
            return;
        }
        let (incarnation, number) = (self.backends[index].incarnation, heartbeat.sequence);
        let is_current_incarnation = heartbeat.name == self.backends[index].name();
        let now = self.clock(index);
        let answer = self.nodes[index].receive_heartbeat(&self.plan, now, heartbeat);
        self.notify(index);
        if is_current_incarnation && !self.backends[index].heartbeats_lost {
            self.schedule_within(
                (100, 3_000),
                Event::HeartbeatAnswer(index, incarnation, sent_at, number, answer),
            );
        }
    }

    fn heartbeat_answered(
        &mut self,
        index: usize,
        sent_at: Microseconds,
        number: u64,
        answer: endpoints::HeartbeatResponse,
    ) {
        let (now, incarnation) = (self.now, self.backends[index].incarnation);
        // An answer that is handled after its timeout is either used or discarded, at random.
        let is_discarded = now > sent_at + 1_000_000 && self.draw((0, 1)) == 0;
        let backend = &mut self.backends[index];
        if backend.awaiting_answer_to != Some(number) || is_discarded {
            return;
        }
        backend.awaiting_answer_to = None;
        // Only the releases that the answered heartbeat carried are removed; the next one reports the later ones.
        backend.released.drain(..backend.releases_sent);
        let Some((ranges, lease_duration)) = answer else {
            return;
        };
        self.checks.ranges_taken += ranges.len();
        self.checks.ranges_handed_over += ranges
            .iter()
            .filter(|(.., handover_token)| !handover_token.is_empty())
            .count();
        let (to_release, regressed) = self.backends[index].apply_answer(
            now,
            sent_at,
            ranges
                .into_iter()
                .map(|(from, to, fencing_token, _)| (from, to, fencing_token))
                .collect(),
            lease_duration,
        );
        regressed.into_iter().for_each(|range| {
            self.checks.violation(
                now,
                "fence",
                format!(
                    "{} was granted {range:?} after a higher fencing token",
                    self.backends[index].name()
                ),
            )
        });
        to_release.into_iter().for_each(|release_number| {
            let work_duration = if self.draw((0, 1)) == 0 {
                (0, 5_000)
            } else {
                (0, 400_000)
            };
            self.schedule_within(
                work_duration,
                Event::ReleaseFinished(index, incarnation, release_number),
            );
        });
        self.checks.check_holders(now, &self.backends, index);
    }

    /// Handles all events up to the time `end`, in microseconds.
    pub fn run_until(&mut self, end: Microseconds) {
        while let Some(((time, order), event)) = self.events.pop_first() {
            if time > end {
                self.events.insert((time, order), event);
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    /// Checks the final state and returns all violations.
    pub fn finish(&mut self) -> Vec<String> {
        self.checks.check_final_state(self.now, &self.backends);
        // After the time for recovery the nodes should have nothing left to report.
        let recent_entry_count = self
            .log
            .ordered_at
            .iter()
            .filter(|time| **time + 5_000_000 > self.now)
            .count();
        if recent_entry_count > 0 {
            let last_entry = self.log.entries.last().map(|entry| format!("{entry:?}"));
            self.checks.violation(
                self.now,
                "continued-reports",
                format!("{recent_entry_count} entries in the last five seconds, the last: {last_entry:?}"),
            );
        }
        self.checks.violations.clone()
    }
}
