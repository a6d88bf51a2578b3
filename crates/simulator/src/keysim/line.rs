//! How a node follows one seat after the other, as `control::following` does it (design 11.3).

use super::log::Told;
use super::stage::{Event, Stage};
use model::{Microseconds, Position};

#[derive(Default)]
pub(super) struct Line {
    /// The number of the conn, and the seat at its other end; a broken one carries nothing any more.
    pub conn: u64,
    pub seat: usize,
    pub broken: bool,
    /// By the node's clock, like all that follows.
    proved: Microseconds,
    asks: Vec<(u64, Microseconds)>,
    numbers: u64,
    /// What is on its way arrives in order.
    latest: Microseconds,
}

impl Stage {
    pub(super) fn start(&mut self, at: usize) {
        let guard = if self.plan.without.slow_clock {
            0
        } else {
            self.plan.keys.clock_guard
        };
        let env = endpoints::LeaseConfig {
            clock_guard: guard,
            ..self.plan.keys
        };
        let clock = self.clock(at);
        self.nodes[at].begin(at, env, clock);
        let life = self.nodes[at].life;
        self.connect(at);
        self.after((0, 120_000), Event::Tick(at, life));
        self.after((5_000, 100_000), Event::Ask(at, life));
    }

    fn connect(&mut self, at: usize) {
        let (clock, seats) = (self.clock(at), self.log.seats.len());
        let seat = self.draw((0, seats as u64 - 1)) as usize;
        let node = &mut self.nodes[at];
        node.line = super::line::Line {
            conn: node.line.conn + 1,
            seat,
            broken: node.cut,
            proved: clock,
            ..Default::default()
        };
        let (conn, held) = (node.line.conn, node.programme.position);
        self.after((300, 5_000), Event::Follow(at, conn, held));
    }

    fn carries(&self, at: usize, conn: u64) -> bool {
        let node = &self.nodes[at];
        node.up && node.line.conn == conn && !node.line.broken && !node.cut
    }

    pub(super) fn ask(&mut self, at: usize) {
        let clock = self.clock(at);
        if clock > self.nodes[at].line.proved + 2 * self.plan.ask_every {
            self.connect(at);
        }
        let line = &mut self.nodes[at].line;
        line.numbers += 1;
        line.asks.push((line.numbers, clock));
        let (conn, number) = (line.conn, line.numbers);
        // After the word that it follows, on the same conn.
        self.after((5_001, 20_000), Event::Asked(at, conn, number));
    }

    fn say(&mut self, told: Vec<((usize, u64), Told)>) {
        told.into_iter().for_each(|((at, conn), told)| {
            if self.carries(at, conn) {
                let slow = if self.draw((0, 19)) == 0 {
                    700_000
                } else {
                    10_000
                };
                let time = self.now + self.draw((300, slow));
                let latest = &mut self.nodes[at].line.latest;
                *latest = time.max(*latest + 1);
                let time = *latest;
                self.at(time, Event::Hears(at, conn, told));
            }
        });
    }

    pub(super) fn follow(&mut self, at: usize, conn: u64, held: Position) {
        if self.carries(at, conn) {
            let seat = self.nodes[at].line.seat;
            let told = self.log.seats[seat].follow((at, conn), held);
            self.say(told);
        }
    }

    pub(super) fn asked(&mut self, at: usize, conn: u64, number: u64) {
        if self.carries(at, conn) && self.log.out_until <= self.now {
            let (seat, ordered) = (self.nodes[at].line.seat, self.log.entries.len());
            let told = self.log.seats[seat].ask((at, conn), number, ordered);
            self.say(told);
        }
    }

    pub(super) fn seat_applies(&mut self, seat: usize) {
        if self.log.seats[seat].lags_until > self.now {
            let time = self.log.seats[seat].lags_until;
            return self.at(time, Event::SeatApplies(seat));
        }
        if let Some(entry) = self.log.entries.get(self.log.seats[seat].applied).cloned() {
            let told = self.log.seats[seat].apply(entry);
            self.say(told);
        }
    }

    pub(super) fn hears(&mut self, at: usize, conn: u64, told: Told) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        if !node.up || node.line.conn != conn || node.line.broken {
            return;
        }
        match told {
            // Forward only.
            Told::News { to, .. } if to <= node.programme.position => {}
            Told::News {
                afresh,
                from,
                to,
                deltas,
            } if afresh || from == node.programme.position => {
                node.programme = node.programme.updated(afresh, to, deltas);
                node.observe(clock);
                self.tell(at);
            }
            Told::News { .. } => self.connect(at),
            Told::Proof { number, position } => {
                let asked = node
                    .line
                    .asks
                    .iter()
                    .find(|(asked, _)| *asked == number)
                    .map(|(_, at)| *at);
                node.line.asks.retain(|(asked, _)| *asked > number);
                if let Some(asked) = asked.filter(|_| position <= node.programme.position) {
                    node.line.proved = clock;
                    node.proved = node.proved.max(asked);
                    self.tell(at);
                }
            }
        }
    }

    pub(super) fn tick(&mut self, at: usize) {
        let clock = self.clock(at);
        if let Some(name) = self.nodes[at].mind_silence(&self.plan, clock) {
            let life = self.nodes[at].life;
            self.after((200_000, 800_000), Event::Probed(at, life, name));
        }
        self.tell(at);
        self.mind_placement(at);
    }
}
