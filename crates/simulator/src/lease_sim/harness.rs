//! The harness: nodes, backends and log of one service, driven by one queue of events in order of virtual time
//! (design 9.1, 11.5).

use super::backend::SimulatedBackend;
use super::log::{Log, ReplicaUpdate};
use super::node::Node;
use model::cluster_state::ClusterReport;
use model::{Microseconds, Outcome, Position};
use std::collections::BTreeMap;

pub(super) const SERVICE: &str = "seat";
const REPLICA_COUNT: usize = 3;

/// Events name a node and its backend by their common index. An event of one process also carries the start number of
/// that node or the incarnation of that backend, and is ignored after a restart.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick(usize, u64),
    RequestProof(usize, u64),
    ProbeAnswered(usize, u64, String),
    /// The flag marks the periodic heartbeat, as opposed to one that reports a change early.
    Heartbeat(usize, u64, bool),
    HeartbeatArrives(usize, u64, Microseconds, Box<endpoints::Heartbeat>),
    HeartbeatResponse(usize, u64, Microseconds, u64, endpoints::HeartbeatResponse),
    AnswerTimeout(usize, u64, u64),
    ReleaseFinished(usize, u64, u64),
    SignOff(usize, u64),
    Follow(usize, u64, Position),
    ProofRequestArrives(usize, u64, u64),
    UpdateArrives(usize, u64, ReplicaUpdate),
    EntryArrives(usize, u64, u64, Vec<ClusterReport>),
    EntryAnswered(usize, u64, u64, Outcome),
    /// The observing node reports that it suspects another one.
    NodeSuspected(usize, u64, Vec<ClusterReport>),
    ResendEntry(usize, u64, u64),
    ReplicaApplies(usize),
    FaultBegins(super::Fault, usize, Microseconds),
    FaultEnds(super::Fault, usize),
}

/// Simulates one service with one backend beside each node.
pub struct LeaseHarness {
    pub plan: super::LeasePlan,
    pub now: Microseconds,
    pub checks: super::checks::LeaseChecks,
    pub(super) log: Log,
    pub(super) nodes: Vec<Node>,
    pub(super) backends: Vec<SimulatedBackend>,
    events: BTreeMap<(Microseconds, u64), Event>,
    last_event_number: u64,
    random: rand::rngs::StdRng,
}

impl LeaseHarness {
    /// A service whose nodes and backends are starting.
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

    pub(super) fn draw(&mut self, range: (Microseconds, Microseconds)) -> Microseconds {
        rand::Rng::random_range(&mut self.random, range.0..=range.1)
    }

    pub(super) fn schedule(&mut self, time: Microseconds, event: Event) {
        self.last_event_number += 1;
        self.events.insert((time, self.last_event_number), event);
    }

    pub(super) fn schedule_within(&mut self, range: (Microseconds, Microseconds), event: Event) {
        let time = self.now + self.draw(range);
        self.schedule(time, event);
    }

    /// Schedules the beginning and the end of a fault.
    pub fn schedule_fault(
        &mut self,
        (time, fault, index, length): (u64, super::Fault, usize, u64),
    ) {
        let index = index % self.plan.node_count;
        self.schedule(time, Event::FaultBegins(fault, index, length));
        self.schedule(time + length, Event::FaultEnds(fault, index));
    }

    /// The time by a node's own clock, which has its own rate and start.
    pub(super) fn clock(&self, index: usize) -> Microseconds {
        (self.now as i64
            + self.now as i64 / 100_000 * self.nodes[index].clock_rate_ppm / 10
            + 77_000_000 * (index as i64 + 1)) as Microseconds
    }

    pub(super) fn start_heartbeats(&mut self, index: usize, incarnation: u64) {
        self.schedule_within(
            (10_000, 400_000),
            Event::Heartbeat(index, incarnation, true),
        );
    }

    /// The node or the backend whose process must run to handle the event: its event is deferred while it is frozen.
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
            | Event::HeartbeatResponse(index, ..)
            | Event::AnswerTimeout(index, ..)
            | Event::ReleaseFinished(index, ..)
            | Event::SignOff(index, _) => (None, Some(*index)),
            _ => (None, None),
        }
    }

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
            Event::HeartbeatArrives(index, start_number, sent, heartbeat) => {
                self.heartbeat_arrives(index, start_number, sent, *heartbeat)
            }
            Event::HeartbeatResponse(index, incarnation, sent, number, answer)
                if self.backends[index].incarnation == incarnation
                    && self.backends[index].alive =>
            {
                self.heartbeat_answered(index, sent, number, answer)
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
                let token = format!("token-{}", self.now);
                if self.backends[index].finish_release(self.now, release_number, token) {
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
            // One heartbeat at a time; a release is reported by a heartbeat soon after.
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
        sent: Microseconds,
        heartbeat: endpoints::Heartbeat,
    ) {
        if !self.nodes[index].is_running(start_number) {
            return;
        }
        let (incarnation, number) = (self.backends[index].incarnation, heartbeat.sequence);
        let is_current = heartbeat.name == self.backends[index].name();
        let now = self.clock(index);
        let answer = self.nodes[index].receive_heartbeat(&self.plan, now, heartbeat);
        self.notify(index);
        if is_current && !self.backends[index].heartbeats_lost {
            self.schedule_within(
                (100, 3_000),
                Event::HeartbeatResponse(index, incarnation, sent, number, answer),
            );
        }
    }

    fn heartbeat_answered(
        &mut self,
        index: usize,
        sent: Microseconds,
        number: u64,
        answer: endpoints::HeartbeatResponse,
    ) {
        let (now, incarnation) = (self.now, self.backends[index].incarnation);
        // An answer after the timeout may still be read, or not.
        let too_late = now > sent + 1_000_000 && self.draw((0, 1)) == 0;
        let backend = &mut self.backends[index];
        if backend.awaiting_answer_to != Some(number) || too_late {
            return;
        }
        backend.awaiting_answer_to = None;
        // Releases since the heartbeat was sent are reported by the next one.
        backend.released.drain(..backend.releases_sent);
        let Some((ranges, lease_duration)) = answer else {
            return;
        };
        self.checks.ranges_taken += ranges.len();
        self.checks.ranges_handed_over += ranges
            .iter()
            .filter(|(.., token)| !token.is_empty())
            .count();
        let (to_release, regressed) = self.backends[index].apply_answer(
            now,
            sent,
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
            let work_time = if self.draw((0, 1)) == 0 {
                (0, 5_000)
            } else {
                (0, 400_000)
            };
            self.schedule_within(
                work_time,
                Event::ReleaseFinished(index, incarnation, release_number),
            );
        });
        self.checks.check_holders(now, &self.backends, index);
    }

    /// Handles all events up to this time.
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
        // By then no report should be pending.
        let recent = self
            .log
            .ordered_at
            .iter()
            .filter(|time| **time + 5_000_000 > self.now)
            .count();
        if recent > 0 {
            let last = self.log.entries.last().map(|entry| format!("{entry:?}"));
            self.checks.violation(
                self.now,
                "restless",
                format!("{recent} entries in the last five seconds, {last:?}"),
            );
        }
        self.checks.violations.clone()
    }
}
