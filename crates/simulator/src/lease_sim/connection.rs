//! How a node follows one seat after the other, as `control::following` does it (design 11.3).

use super::harness::{Event, LeaseHarness};
use super::log::ReplicaUpdate;
use model::{Microseconds, Position};

#[derive(Default)]
pub(super) struct UpdateConnection {
    /// The number of the conn, and the seat at its other end; a broken one carries nothing any more.
    pub number: u64,
    pub replica: usize,
    pub broken: bool,
    /// By the node's clock, like all that follows.
    proved_at: Microseconds,
    pending_asks: Vec<(u64, Microseconds)>,
    last_ask: u64,
    /// What is on its way arrives in order.
    last_arrival: Microseconds,
}

impl LeaseHarness {
    pub(super) fn start_node(&mut self, at: usize) {
        let guard = if self.plan.disabled.slow_clock {
            0
        } else {
            self.plan.leases.clock_guard
        };
        let env = endpoints::LeaseConfig {
            clock_guard: guard,
            ..self.plan.leases
        };
        let clock = self.clock(at);
        self.nodes[at].restart(at, env, clock);
        let life = self.nodes[at].start_number;
        self.connect(at);
        self.schedule_within((0, 120_000), Event::Tick(at, life));
        self.schedule_within((5_000, 100_000), Event::AskForProof(at, life));
    }

    fn connect(&mut self, at: usize) {
        let (clock, seats) = (self.clock(at), self.log.replicas.len());
        let seat = self.draw((0, seats as u64 - 1)) as usize;
        let node = &mut self.nodes[at];
        node.connection = super::connection::UpdateConnection {
            number: node.connection.number + 1,
            replica: seat,
            broken: node.cut_from_log,
            proved_at: clock,
            ..Default::default()
        };
        let (conn, held) = (node.connection.number, node.state.position);
        self.schedule_within((300, 5_000), Event::Follow(at, conn, held));
    }

    fn connection_carries(&self, at: usize, conn: u64) -> bool {
        let node = &self.nodes[at];
        node.up && node.connection.number == conn && !node.connection.broken && !node.cut_from_log
    }

    pub(super) fn ask_for_proof(&mut self, at: usize) {
        let clock = self.clock(at);
        if clock > self.nodes[at].connection.proved_at + 2 * self.plan.proof_interval {
            self.connect(at);
        }
        let line = &mut self.nodes[at].connection;
        line.last_ask += 1;
        line.pending_asks.push((line.last_ask, clock));
        let (conn, number) = (line.number, line.last_ask);
        // After the word that it follows, on the same conn.
        self.schedule_within((5_001, 20_000), Event::AskArrives(at, conn, number));
    }

    fn send_updates(&mut self, told: Vec<((usize, u64), ReplicaUpdate)>) {
        told.into_iter().for_each(|((at, conn), told)| {
            if self.connection_carries(at, conn) {
                let slow = if self.draw((0, 19)) == 0 {
                    700_000
                } else {
                    10_000
                };
                let time = self.now + self.draw((300, slow));
                let latest = &mut self.nodes[at].connection.last_arrival;
                *latest = time.max(*latest + 1);
                let time = *latest;
                self.schedule(time, Event::UpdateArrives(at, conn, told));
            }
        });
    }

    pub(super) fn follow(&mut self, at: usize, conn: u64, held: Position) {
        if self.connection_carries(at, conn) {
            let seat = self.nodes[at].connection.replica;
            let told = self.log.replicas[seat].follow((at, conn), held);
            self.send_updates(told);
        }
    }

    pub(super) fn receive_ask(&mut self, at: usize, conn: u64, number: u64) {
        if self.connection_carries(at, conn) && self.log.unavailable_until <= self.now {
            let (seat, ordered) = (self.nodes[at].connection.replica, self.log.entries.len());
            let told = self.log.replicas[seat].ask((at, conn), number, ordered);
            self.send_updates(told);
        }
    }

    pub(super) fn apply_next_entry(&mut self, seat: usize) {
        if self.log.replicas[seat].lagging_until > self.now {
            let time = self.log.replicas[seat].lagging_until;
            return self.schedule(time, Event::ReplicaApplies(seat));
        }
        if let Some(entry) = self
            .log
            .entries
            .get(self.log.replicas[seat].applied)
            .cloned()
        {
            let told = self.log.replicas[seat].apply(entry);
            self.send_updates(told);
        }
    }

    pub(super) fn receive_update(&mut self, at: usize, conn: u64, told: ReplicaUpdate) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        if !node.up || node.connection.number != conn || node.connection.broken {
            return;
        }
        match told {
            // Forward only.
            ReplicaUpdate::StateChanged { to, .. } if to <= node.state.position => {}
            ReplicaUpdate::StateChanged {
                complete: afresh,
                from,
                to,
                deltas,
            } if afresh || from == node.state.position => {
                node.state = node.state.updated(afresh, to, deltas);
                node.observe(clock);
                self.notify(at);
            }
            ReplicaUpdate::StateChanged { .. } => self.connect(at),
            ReplicaUpdate::Proof { number, position } => {
                let asked = node
                    .connection
                    .pending_asks
                    .iter()
                    .find(|(asked, _)| *asked == number)
                    .map(|(_, at)| *at);
                node.connection
                    .pending_asks
                    .retain(|(asked, _)| *asked > number);
                if let Some(asked) = asked.filter(|_| position <= node.state.position) {
                    node.connection.proved_at = clock;
                    node.proved_at = node.proved_at.max(asked);
                    self.notify(at);
                }
            }
        }
    }

    pub(super) fn tick_node(&mut self, at: usize) {
        let clock = self.clock(at);
        if let Some(name) = self.nodes[at].check_silence(&self.plan, clock) {
            let life = self.nodes[at].start_number;
            self.schedule_within((200_000, 800_000), Event::ProbeAnswered(at, life, name));
        }
        self.notify(at);
        self.consider_placement(at);
    }
}
