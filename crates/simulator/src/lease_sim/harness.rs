//! One queue of events ordered by virtual time (design 9.1, 11.5).

use super::backend::SimulatedBackend;
use super::log::{Log, ReplicaUpdate};
use super::node::Node;
use model::cluster_state::ClusterReport;
use model::{Microseconds, Outcome, Position};
use std::collections::BTreeMap;

pub(super) const SERVICE: &str = "seat";
const REPLICA_COUNT: usize = 3;

#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick(usize, u64),
    AskForProof(usize, u64),
    ProbeAnswered(usize, u64, String),
    Heartbeat(usize, u64, bool),
    HeartbeatArrives(usize, u64, Microseconds, Box<endpoints::Heartbeat>),
    HeartbeatAnswer(usize, u64, Microseconds, u64, endpoints::HeartbeatAnswer),
    AnswerTimeout(usize, u64, u64),
    ReleaseFinished(usize, u64, u64),
    SignOff(usize, u64),
    Follow(usize, u64, Position),
    AskArrives(usize, u64, u64),
    UpdateArrives(usize, u64, ReplicaUpdate),
    EntryArrives(usize, u64, u64, Vec<ClusterReport>),
    EntryAnswered(usize, u64, u64, Outcome),
    NodeMissed(usize, u64, Vec<ClusterReport>),
    ResendEntry(usize, u64, u64),
    ReplicaApplies(usize),
    FaultBegins(super::Fault, usize, Microseconds),
    FaultEnds(super::Fault, usize),
}

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
    pub fn new(plan: super::LeasePlan) -> LeaseHarness {
        let mut log = Log::new(REPLICA_COUNT);
        let service = model::cluster_state::Service {
            health_path: String::new(),
            max_connections: 0,
            keyed: true,
            slow_start_us: 0,
        };
        let put = model::cluster_state::items::ItemPut {
            name: SERVICE.into(),
            version: 1,
            body: model::cluster_state::ItemBody::Service(service),
            text: String::new(),
        };
        log.define_items(model::cluster_state::ItemCall {
            puts: vec![put],
            drops: Vec::new(),
        });
        let random = rand::SeedableRng::seed_from_u64(plan.seed);
        let (nodes, players, events) = (Vec::new(), Vec::new(), Default::default());
        let mut stage = LeaseHarness {
            now: 0,
            checks: Default::default(),
            log,
            nodes,
            backends: players,
            events,
            last_event_number: 0,
            random,
            plan,
        };
        (0..stage.plan.node_count).for_each(|at| {
            let (rate, slow) = (stage.draw((0, 4_000)) as i64 - 2_000, stage.draw((0, 20)));
            stage.nodes.push(Node::new(at, rate, stage.plan.leases));
            stage.backends.push(SimulatedBackend::new(at, 0, slow));
            stage.start_node(at);
            stage.start_heartbeats(at, 0);
        });
        stage
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

    pub fn schedule_fault(&mut self, (time, blow, at, length): (u64, super::Fault, usize, u64)) {
        let at = at % self.plan.node_count;
        self.schedule(time, Event::FaultBegins(blow, at, length));
        self.schedule(time + length, Event::FaultEnds(blow, at));
    }

    /// The node's clock: its own rate, and a start of its own.
    pub(super) fn clock(&self, at: usize) -> Microseconds {
        (self.now as i64
            + self.now as i64 / 100_000 * self.nodes[at].clock_rate_ppm / 10
            + 77_000_000 * (at as i64 + 1)) as Microseconds
    }

    pub(super) fn start_heartbeats(&mut self, at: usize, life: u64) {
        self.schedule_within((10_000, 400_000), Event::Heartbeat(at, life, true));
    }

    /// Whose event it is, when that process has to run for it: a node's or a back end's.
    fn paused_by(event: &Event) -> (Option<usize>, Option<usize>) {
        match event {
            Event::Tick(at, _)
            | Event::AskForProof(at, _)
            | Event::ProbeAnswered(at, ..)
            | Event::HeartbeatArrives(at, ..) => (Some(*at), None),
            Event::UpdateArrives(at, ..)
            | Event::EntryAnswered(at, ..)
            | Event::ResendEntry(at, ..) => (Some(*at), None),
            Event::Heartbeat(at, ..)
            | Event::HeartbeatAnswer(at, ..)
            | Event::AnswerTimeout(at, ..)
            | Event::ReleaseFinished(at, ..)
            | Event::SignOff(at, _) => (None, Some(*at)),
            _ => (None, None),
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        match LeaseHarness::paused_by(&event) {
            (Some(at), _) if self.nodes[at].frozen => return self.nodes[at].deferred.push(event),
            (_, Some(at)) if self.backends[at].frozen => {
                return self.backends[at].deferred.push(event);
            }
            _ => {}
        }
        match event {
            Event::Tick(at, life) if self.nodes[at].is_running(life) => {
                self.tick_node(at);
                self.schedule_within((120_000, 130_000), Event::Tick(at, life));
            }
            Event::AskForProof(at, life) if self.nodes[at].is_running(life) => {
                self.ask_for_proof(at);
                let every = self.plan.proof_interval;
                self.schedule_within((every, every), Event::AskForProof(at, life));
            }
            Event::ProbeAnswered(at, life, name) if self.nodes[at].is_running(life) => {
                let refused = !self.backends[at].alive;
                self.nodes[at].probe_answered(&name, refused);
            }
            Event::Heartbeat(at, life, again)
                if self.backends[at].incarnation == life && self.backends[at].alive =>
            {
                self.send_heartbeat(at, life, again)
            }
            Event::HeartbeatArrives(at, life, sent, beat) => {
                self.heartbeat_arrives(at, life, sent, *beat)
            }
            Event::HeartbeatAnswer(at, life, sent, number, answer)
                if self.backends[at].incarnation == life && self.backends[at].alive =>
            {
                self.heartbeat_answered(at, sent, number, answer)
            }
            Event::AnswerTimeout(at, life, number) if self.backends[at].incarnation == life => {
                self.backends[at]
                    .awaiting_answer_to
                    .take_if(|waits| *waits == number);
            }
            Event::ReleaseFinished(at, life, piece)
                if self.backends[at].incarnation == life && self.backends[at].alive =>
            {
                let token = format!("token-{}", self.now);
                if self.backends[at].finish_release(self.now, piece, token) {
                    self.schedule_within((0, 100_000), Event::Heartbeat(at, life, false));
                }
            }
            Event::SignOff(at, life) => self.sign_off(at, life),
            Event::Follow(at, conn, held) => self.follow(at, conn, held),
            Event::AskArrives(at, conn, number) => self.receive_ask(at, conn, number),
            Event::UpdateArrives(at, conn, told) => self.receive_update(at, conn, told),
            Event::EntryArrives(at, life, sequence, reports) => {
                self.entry_arrives(at, life, sequence, reports)
            }
            Event::NodeMissed(by, sequence, reports) => self
                .append((format!("watch-{by}"), 1, sequence, reports))
                .map(drop)
                .unwrap_or_default(),
            Event::EntryAnswered(at, life, sequence, outcome)
                if self.nodes[at].is_running(life) =>
            {
                self.entry_answered(at, sequence, outcome)
            }
            Event::ResendEntry(at, life, sequence) if self.nodes[at].is_running(life) => {
                self.send_entry(at, sequence)
            }
            Event::ReplicaApplies(seat) => self.apply_next_entry(seat),
            Event::FaultBegins(blow, at, length) => self.begin_fault(blow, at, length),
            Event::FaultEnds(blow, at) => self.end_fault(blow, at),
            _ => {}
        }
    }

    fn send_heartbeat(&mut self, at: usize, life: u64, again: bool) {
        if again {
            let every = self.plan.heartbeat_interval;
            self.schedule_within(
                (every - 20_000, every + 20_000),
                Event::Heartbeat(at, life, true),
            );
        }
        if self.backends[at].awaiting_answer_to.is_some() {
            // One at a time; what was let go is told soon after.
            (!again)
                .then(|| self.schedule_within((20_000, 40_000), Event::Heartbeat(at, life, false)));
            return;
        }
        let now = self.now;
        let beat = self.backends[at].heartbeat(now);
        let (number, node_life) = (beat.sequence, self.nodes[at].start_number);
        self.schedule(now + 1_000_000, Event::AnswerTimeout(at, life, number));
        if !self.backends[at].heartbeats_lost && self.nodes[at].up {
            self.schedule_within(
                (100, 3_000),
                Event::HeartbeatArrives(at, node_life, now, Box::new(beat)),
            );
        }
    }

    fn heartbeat_arrives(
        &mut self,
        at: usize,
        life: u64,
        sent: Microseconds,
        beat: endpoints::Heartbeat,
    ) {
        if !self.nodes[at].is_running(life) {
            return;
        }
        let (player, number) = (self.backends[at].incarnation, beat.sequence);
        let own = beat.name == self.backends[at].name();
        let now = self.clock(at);
        let answer = self.nodes[at].receive_heartbeat(&self.plan, now, beat);
        self.notify(at);
        if own && !self.backends[at].heartbeats_lost {
            self.schedule_within(
                (100, 3_000),
                Event::HeartbeatAnswer(at, player, sent, number, answer),
            );
        }
    }

    fn heartbeat_answered(
        &mut self,
        at: usize,
        sent: Microseconds,
        number: u64,
        answer: endpoints::HeartbeatAnswer,
    ) {
        let (now, life) = (self.now, self.backends[at].incarnation);
        // One that comes too late may still be read, or not.
        let late = now > sent + 1_000_000 && self.draw((0, 1)) == 0;
        let player = &mut self.backends[at];
        if player.awaiting_answer_to != Some(number) || late {
            return;
        }
        player.awaiting_answer_to = None;
        // What was let go since the beat was sent is told in the next.
        player.released.drain(..player.releases_sent);
        let Some((rows, hold)) = answer else { return };
        self.checks.ranges_taken += rows.len();
        self.checks.ranges_handed_over +=
            rows.iter().filter(|(.., token)| !token.is_empty()).count();
        let (let_go, back) = self.backends[at].apply_answer(
            now,
            sent,
            rows.into_iter()
                .map(|(from, to, fence, _)| (from, to, fence))
                .collect(),
            hold,
        );
        back.into_iter().for_each(|row| {
            self.checks.violation(
                now,
                "fence",
                format!(
                    "{} was told {row:?} after a higher one",
                    self.backends[at].name()
                ),
            )
        });
        let_go.into_iter().for_each(|piece| {
            let work = if self.draw((0, 1)) == 0 {
                (0, 5_000)
            } else {
                (0, 400_000)
            };
            self.schedule_within(work, Event::ReleaseFinished(at, life, piece));
        });
        self.checks.check_holders(now, &self.backends, at);
    }

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

    pub fn finish(&mut self) -> Vec<String> {
        self.checks.check_final_state(self.now, &self.backends);
        // All is said by then.
        let late = self
            .log
            .ordered_at
            .iter()
            .filter(|time| **time + 5_000_000 > self.now)
            .count();
        if late > 0 {
            let last = self.log.entries.last().map(|entry| format!("{entry:?}"));
            self.checks.violation(
                self.now,
                "restless",
                format!("{late} entries in the last five seconds, {last:?}"),
            );
        }
        self.checks.violations.clone()
    }
}
