//! The connection over which a node follows one replica at a time, as `control::updates` does (design 11.3).

use super::harness::{Event, LeaseHarness};
use super::log::ReplicaUpdate;
use model::{Microseconds, Position};

#[derive(Default)]
pub(super) struct UpdateConnection {
    /// Number of the connection among those that the node has opened.
    pub number: u64,
    /// The replica at the other end.
    pub replica: usize,
    /// Whether the connection is broken and carries no more messages.
    pub broken: bool,
    /// Arrival time of the latest freshness proof, by the node's clock.
    proved_at: Microseconds,
    pending_proof_requests: Vec<(u64, Microseconds)>,
    last_proof_request: u64,
    /// Arrival time of the latest update. Later updates arrive after it, because updates arrive in the order in which they
    /// were sent.
    last_arrival: Microseconds,
}

impl LeaseHarness {
    pub(super) fn start_node(&mut self, index: usize) {
        let guard = if self.plan.disabled.slow_clock {
            0
        } else {
            self.plan.leases.clock_margin
        };
        let config = endpoints::LeaseConfig {
            clock_margin: guard,
            ..self.plan.leases
        };
        let clock = self.clock(index);
        self.nodes[index].restart(index, config, clock);
        let start_number = self.nodes[index].start_number;
        self.connect(index);
        self.schedule_within((0, 120_000), Event::Tick(index, start_number));
        self.schedule_within((5_000, 100_000), Event::RequestProof(index, start_number));
    }

    fn connect(&mut self, index: usize) {
        let (clock, replica_count) = (self.clock(index), self.log.replicas.len());
        let replica = self.draw((0, replica_count as u64 - 1)) as usize;
        let node = &mut self.nodes[index];
        node.connection = super::connection::UpdateConnection {
            number: node.connection.number + 1,
            replica,
            broken: node.cut_from_log,
            proved_at: clock,
            ..Default::default()
        };
        let (connection_number, held) = (node.connection.number, node.state.position);
        self.schedule_within((300, 5_000), Event::Follow(index, connection_number, held));
    }

    fn is_connected(&self, index: usize, connection_number: u64) -> bool {
        let node = &self.nodes[index];
        node.up
            && node.connection.number == connection_number
            && !node.connection.broken
            && !node.cut_from_log
    }

    pub(super) fn request_proof(&mut self, index: usize) {
        let clock = self.clock(index);
        if clock > self.nodes[index].connection.proved_at + 2 * self.plan.proof_interval {
            self.connect(index);
        }
        let connection = &mut self.nodes[index].connection;
        connection.last_proof_request += 1;
        connection
            .pending_proof_requests
            .push((connection.last_proof_request, clock));
        let (connection_number, request_number) =
            (connection.number, connection.last_proof_request);
        // Arrives after the `Follow` message of the same connection.
        self.schedule_within(
            (5_001, 20_000),
            Event::ProofRequestArrives(index, connection_number, request_number),
        );
    }

    fn send_updates(&mut self, updates: Vec<((usize, u64), ReplicaUpdate)>) {
        updates
            .into_iter()
            .for_each(|((index, connection_number), update)| {
                if self.is_connected(index, connection_number) {
                    let longest_delay = if self.draw((0, 19)) == 0 {
                        700_000
                    } else {
                        10_000
                    };
                    let time = self.now + self.draw((300, longest_delay));
                    let latest = &mut self.nodes[index].connection.last_arrival;
                    *latest = time.max(*latest + 1);
                    let time = *latest;
                    self.schedule(time, Event::UpdateArrives(index, connection_number, update));
                }
            });
    }

    pub(super) fn follow(&mut self, index: usize, connection_number: u64, held: Position) {
        if self.is_connected(index, connection_number) {
            let replica = self.nodes[index].connection.replica;
            let updates = self.log.replicas[replica].follow((index, connection_number), held);
            self.send_updates(updates);
        }
    }

    pub(super) fn receive_proof_request(
        &mut self,
        index: usize,
        connection_number: u64,
        request_number: u64,
    ) {
        if self.is_connected(index, connection_number) && self.log.unavailable_until <= self.now {
            let (replica, ordered_count) =
                (self.nodes[index].connection.replica, self.log.entries.len());
            let updates = self.log.replicas[replica].request_proof(
                (index, connection_number),
                request_number,
                ordered_count,
            );
            self.send_updates(updates);
        }
    }

    pub(super) fn apply_next_entry(&mut self, replica: usize) {
        if self.log.replicas[replica].lagging_until > self.now {
            let time = self.log.replicas[replica].lagging_until;
            return self.schedule(time, Event::ReplicaApplies(replica));
        }
        if let Some(entry) = self
            .log
            .entries
            .get(self.log.replicas[replica].applied)
            .cloned()
        {
            let updates = self.log.replicas[replica].apply(entry);
            self.send_updates(updates);
        }
    }

    pub(super) fn receive_update(
        &mut self,
        index: usize,
        connection_number: u64,
        update: ReplicaUpdate,
    ) {
        let clock = self.clock(index);
        let node = &mut self.nodes[index];
        if !node.up || node.connection.number != connection_number || node.connection.broken {
            return;
        }
        match update {
            // A state at or before the node's position is ignored.
            ReplicaUpdate::StateChanged { to, .. } if to <= node.state.position => {}
            ReplicaUpdate::StateChanged {
                complete,
                from,
                to,
                deltas,
            } if complete || from == node.state.position => {
                node.state = node.state.updated(complete, to, deltas);
                node.observe(clock);
                self.notify(index);
            }
            ReplicaUpdate::StateChanged { .. } => self.connect(index),
            ReplicaUpdate::Proof {
                request_number,
                position,
            } => {
                let requested_at = node
                    .connection
                    .pending_proof_requests
                    .iter()
                    .find(|(number, _)| *number == request_number)
                    .map(|(_, requested_at)| *requested_at);
                node.connection
                    .pending_proof_requests
                    .retain(|(number, _)| *number > request_number);
                if let Some(requested_at) = requested_at.filter(|_| position <= node.state.position)
                {
                    node.connection.proved_at = clock;
                    node.proved_at = node.proved_at.max(requested_at);
                    self.notify(index);
                }
            }
        }
    }

    pub(super) fn tick_node(&mut self, index: usize) {
        let clock = self.clock(index);
        if let Some(name) = self.nodes[index].check_silence(&self.plan, clock) {
            let start_number = self.nodes[index].start_number;
            self.schedule_within(
                (200_000, 800_000),
                Event::ProbeAnswered(index, start_number, name),
            );
        }
        self.notify(index);
        self.consider_placement(index);
    }
}
