//! One queue of events ordered by virtual time (design 9.1, 11.5).

use super::log::{Log, Told};
use super::node::Node;
use super::player::Player;
use model::cluster_state::ClusterReport;
use model::{Microseconds, Outcome, Position};
use std::collections::BTreeMap;

pub(super) const SERVICE: &str = "seat";
const SEATS: usize = 3;

#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick(usize, u64),
    Ask(usize, u64),
    Probed(usize, u64, String),
    Beat(usize, u64, bool),
    BeatComes(usize, u64, Microseconds, Box<endpoints::Heartbeat>),
    Answer(usize, u64, Microseconds, u64, endpoints::HeartbeatAnswer),
    Unanswered(usize, u64, u64),
    LetsGo(usize, u64, u64),
    SignsOff(usize, u64),
    Follow(usize, u64, Position),
    Asked(usize, u64, u64),
    Hears(usize, u64, Told),
    Ordered(usize, u64, u64, Vec<ClusterReport>),
    Logged(usize, u64, u64, Outcome),
    Missed(usize, u64, Vec<ClusterReport>),
    Again(usize, u64, u64),
    SeatApplies(usize),
    Blow(super::Blow, usize, Microseconds),
    Over(super::Blow, usize),
}

pub struct Stage {
    pub plan: super::KeyPlan,
    pub now: Microseconds,
    pub judge: super::judge::Judge,
    pub(super) log: Log,
    pub(super) nodes: Vec<Node>,
    pub(super) players: Vec<Player>,
    events: BTreeMap<(Microseconds, u64), Event>,
    order: u64,
    random: rand::rngs::StdRng,
}

impl Stage {
    pub fn new(plan: super::KeyPlan) -> Stage {
        let mut log = Log::new(SEATS);
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
        log.items(model::cluster_state::ItemCall {
            puts: vec![put],
            drops: Vec::new(),
        });
        let random = rand::SeedableRng::seed_from_u64(plan.seed);
        let (nodes, players, events) = (Vec::new(), Vec::new(), Default::default());
        let mut stage = Stage {
            now: 0,
            judge: Default::default(),
            log,
            nodes,
            players,
            events,
            order: 0,
            random,
            plan,
        };
        (0..stage.plan.nodes).for_each(|at| {
            let (rate, slow) = (stage.draw((0, 4_000)) as i64 - 2_000, stage.draw((0, 20)));
            stage.nodes.push(Node::new(at, rate, stage.plan.keys));
            stage.players.push(Player::new(at, 0, slow));
            stage.start(at);
            stage.comes(at, 0);
        });
        stage
    }

    pub(super) fn draw(&mut self, range: (Microseconds, Microseconds)) -> Microseconds {
        rand::Rng::random_range(&mut self.random, range.0..=range.1)
    }

    pub(super) fn at(&mut self, time: Microseconds, event: Event) {
        self.order += 1;
        self.events.insert((time, self.order), event);
    }

    pub(super) fn after(&mut self, range: (Microseconds, Microseconds), event: Event) {
        let time = self.now + self.draw(range);
        self.at(time, event);
    }

    pub fn strikes(&mut self, (time, blow, at, length): (u64, super::Blow, usize, u64)) {
        let at = at % self.plan.nodes;
        self.at(time, Event::Blow(blow, at, length));
        self.at(time + length, Event::Over(blow, at));
    }

    /// The node's clock: its own rate, and a start of its own.
    pub(super) fn clock(&self, at: usize) -> Microseconds {
        (self.now as i64
            + self.now as i64 / 100_000 * self.nodes[at].rate / 10
            + 77_000_000 * (at as i64 + 1)) as Microseconds
    }

    pub(super) fn comes(&mut self, at: usize, life: u64) {
        self.after((10_000, 400_000), Event::Beat(at, life, true));
    }

    /// Whose event it is, when that process has to run for it: a node's or a back end's.
    fn waits(event: &Event) -> (Option<usize>, Option<usize>) {
        match event {
            Event::Tick(at, _)
            | Event::Ask(at, _)
            | Event::Probed(at, ..)
            | Event::BeatComes(at, ..) => (Some(*at), None),
            Event::Hears(at, ..) | Event::Logged(at, ..) | Event::Again(at, ..) => {
                (Some(*at), None)
            }
            Event::Beat(at, ..)
            | Event::Answer(at, ..)
            | Event::Unanswered(at, ..)
            | Event::LetsGo(at, ..)
            | Event::SignsOff(at, _) => (None, Some(*at)),
            _ => (None, None),
        }
    }

    pub(super) fn happen(&mut self, event: Event) {
        match Stage::waits(&event) {
            (Some(at), _) if self.nodes[at].frozen => return self.nodes[at].late.push(event),
            (_, Some(at)) if self.players[at].frozen => return self.players[at].late.push(event),
            _ => {}
        }
        match event {
            Event::Tick(at, life) if self.nodes[at].lives(life) => {
                self.tick(at);
                self.after((120_000, 130_000), Event::Tick(at, life));
            }
            Event::Ask(at, life) if self.nodes[at].lives(life) => {
                self.ask(at);
                let every = self.plan.ask_every;
                self.after((every, every), Event::Ask(at, life));
            }
            Event::Probed(at, life, name) if self.nodes[at].lives(life) => {
                let refused = !self.players[at].alive;
                self.nodes[at].probed(&name, refused);
            }
            Event::Beat(at, life, again)
                if self.players[at].life == life && self.players[at].alive =>
            {
                self.beats(at, life, again)
            }
            Event::BeatComes(at, life, sent, beat) => self.beat_comes(at, life, sent, *beat),
            Event::Answer(at, life, sent, number, answer)
                if self.players[at].life == life && self.players[at].alive =>
            {
                self.answered(at, sent, number, answer)
            }
            Event::Unanswered(at, life, number) if self.players[at].life == life => {
                self.players[at].waits_for.take_if(|waits| *waits == number);
            }
            Event::LetsGo(at, life, piece)
                if self.players[at].life == life && self.players[at].alive =>
            {
                let token = format!("token-{}", self.now);
                if self.players[at].lets_go(self.now, piece, token) {
                    self.after((0, 100_000), Event::Beat(at, life, false));
                }
            }
            Event::SignsOff(at, life) => self.signs_off(at, life),
            Event::Follow(at, conn, held) => self.follow(at, conn, held),
            Event::Asked(at, conn, number) => self.asked(at, conn, number),
            Event::Hears(at, conn, told) => self.hears(at, conn, told),
            Event::Ordered(at, life, sequence, reports) => {
                self.ordered(at, life, sequence, reports)
            }
            Event::Missed(by, sequence, reports) => self
                .order((format!("watch-{by}"), 1, sequence, reports))
                .map(drop)
                .unwrap_or_default(),
            Event::Logged(at, life, sequence, outcome) if self.nodes[at].lives(life) => {
                self.logged(at, sequence, outcome)
            }
            Event::Again(at, life, sequence) if self.nodes[at].lives(life) => {
                self.again(at, sequence)
            }
            Event::SeatApplies(seat) => self.seat_applies(seat),
            Event::Blow(blow, at, length) => self.blow(blow, at, length),
            Event::Over(blow, at) => self.over(blow, at),
            _ => {}
        }
    }

    fn beats(&mut self, at: usize, life: u64, again: bool) {
        if again {
            let every = self.plan.beat_every;
            self.after(
                (every - 20_000, every + 20_000),
                Event::Beat(at, life, true),
            );
        }
        if self.players[at].waits_for.is_some() {
            // One at a time; what was let go is told soon after.
            (!again).then(|| self.after((20_000, 40_000), Event::Beat(at, life, false)));
            return;
        }
        let now = self.now;
        let beat = self.players[at].beat(now);
        let (number, node_life) = (beat.sequence, self.nodes[at].life);
        self.at(now + 1_000_000, Event::Unanswered(at, life, number));
        if !self.players[at].muted && self.nodes[at].up {
            self.after(
                (100, 3_000),
                Event::BeatComes(at, node_life, now, Box::new(beat)),
            );
        }
    }

    fn beat_comes(&mut self, at: usize, life: u64, sent: Microseconds, beat: endpoints::Heartbeat) {
        if !self.nodes[at].lives(life) {
            return;
        }
        let (player, number) = (self.players[at].life, beat.sequence);
        let own = beat.name == self.players[at].name();
        let now = self.clock(at);
        let answer = self.nodes[at].beat(&self.plan, now, beat);
        self.tell(at);
        if own && !self.players[at].muted {
            self.after(
                (100, 3_000),
                Event::Answer(at, player, sent, number, answer),
            );
        }
    }

    fn answered(
        &mut self,
        at: usize,
        sent: Microseconds,
        number: u64,
        answer: endpoints::HeartbeatAnswer,
    ) {
        let (now, life) = (self.now, self.players[at].life);
        // One that comes too late may still be read, or not.
        let late = now > sent + 1_000_000 && self.draw((0, 1)) == 0;
        let player = &mut self.players[at];
        if player.waits_for != Some(number) || late {
            return;
        }
        player.waits_for = None;
        // What was let go since the beat was sent is told in the next.
        player.released.drain(..player.told);
        let Some((rows, hold)) = answer else { return };
        self.judge.taken += rows.len();
        self.judge.handed_over += rows.iter().filter(|(.., token)| !token.is_empty()).count();
        let (let_go, back) = self.players[at].takes(
            now,
            sent,
            rows.into_iter()
                .map(|(from, to, fence, _)| (from, to, fence))
                .collect(),
            hold,
        );
        back.into_iter().for_each(|row| {
            self.judge.breaks(
                now,
                "fence",
                format!(
                    "{} was told {row:?} after a higher one",
                    self.players[at].name()
                ),
            )
        });
        let_go.into_iter().for_each(|piece| {
            let work = if self.draw((0, 1)) == 0 {
                (0, 5_000)
            } else {
                (0, 400_000)
            };
            self.after(work, Event::LetsGo(at, life, piece));
        });
        self.judge.taken(now, &self.players, at);
    }

    pub fn run_until(&mut self, end: Microseconds) {
        while let Some(((time, order), event)) = self.events.pop_first() {
            if time > end {
                self.events.insert((time, order), event);
                break;
            }
            self.now = time;
            self.happen(event);
        }
        self.now = end;
    }

    pub fn close(&mut self) -> Vec<String> {
        self.judge.close(self.now, &self.players);
        // All is said by then.
        let late = self
            .log
            .times
            .iter()
            .filter(|time| **time + 5_000_000 > self.now)
            .count();
        if late > 0 {
            let last = self.log.entries.last().map(|entry| format!("{entry:?}"));
            self.judge.breaks(
                self.now,
                "restless",
                format!("{late} entries in the last five seconds, {last:?}"),
            );
        }
        self.judge.broken.clone()
    }
}
