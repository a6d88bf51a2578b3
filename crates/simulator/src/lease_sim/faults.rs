//! Simulated faults and other events that the lease protocol has to handle: killed and frozen processes, lost messages,
//! outages, drains and changed shares (design 11.5).

use super::backend::SimulatedBackend;
use super::harness::{Event, LeaseHarness};
use model::Microseconds;
use model::cluster_state::ClusterReport;

/// A fault or another event that the protocol has to handle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The node's process is killed and later restarted without its state.
    KillNode,
    FreezeNode,
    /// The node loses its connection to the log in both directions.
    CutFromLog,
    /// Only the node's reports to the log are lost.
    LoseReports,
    /// The backend's process ends; a successor starts under another name.
    CrashBackend,
    FreezeBackend,
    /// The backend's heartbeats are lost, although its process is running.
    LoseHeartbeats,
    /// The backend drains, deregisters and ends; a successor starts.
    DrainBackend,
    /// Node and backend are killed at the same time.
    PowerLoss,
    /// The log orders no entries, and replicas send no freshness proofs.
    LogOutage,
    /// One replica applies no entries for a while and sends outdated state.
    LagReplica,
    /// The placement is computed again with other shares.
    ChangeShares,
}

/// All kinds of faults.
pub const FAULTS: [Fault; 12] = [
    Fault::KillNode,
    Fault::FreezeNode,
    Fault::CutFromLog,
    Fault::LoseReports,
    Fault::CrashBackend,
    Fault::FreezeBackend,
    Fault::LoseHeartbeats,
    Fault::DrainBackend,
    Fault::PowerLoss,
    Fault::LogOutage,
    Fault::LagReplica,
    Fault::ChangeShares,
];

/// Start time, fault, index of the node, and duration. Times are in microseconds.
pub type ScheduledFault = (Microseconds, Fault, usize, Microseconds);

/// Decodes faults from `bytes`, three bytes for each.
pub fn decode_faults(kinds: &[Fault], bytes: &[u8]) -> Vec<ScheduledFault> {
    bytes
        .chunks_exact(3)
        .zip(0u64..)
        .map(|(chunk, position)| {
            let time = 4_000_000 + position * 1_300_000 + chunk[0] as u64 * 4_000;
            // Most faults are short; some last longer than every lease.
            let length = if chunk[2] < 160 {
                50_000 + chunk[2] as u64 * 20_000
            } else {
                chunk[2] as u64 * 60_000
            };
            (
                time,
                kinds[chunk[0] as usize % kinds.len()],
                chunk[1] as usize,
                length,
            )
        })
        .collect()
}

/// Draws `count` faults from a seed.
pub fn draw_faults(kinds: &[Fault], seed: u64, count: usize) -> Vec<ScheduledFault> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed + 1_000);
    let bytes: Vec<u8> = (0..count * 3)
        .map(|_| rand::Rng::random_range(&mut random, 0..=255u8))
        .collect();
    decode_faults(kinds, &bytes)
}

impl LeaseHarness {
    pub(super) fn begin_fault(&mut self, fault: Fault, index: usize, length: Microseconds) {
        let now = self.now;
        match fault {
            Fault::KillNode => self.kill_node(index, length),
            Fault::FreezeNode => self.nodes[index].frozen = self.nodes[index].up,
            Fault::CutFromLog => {
                (
                    self.nodes[index].cut_from_log,
                    self.nodes[index].connection.broken,
                ) = (true, true)
            }
            Fault::LoseReports => self.nodes[index].reports_lost = true,
            Fault::CrashBackend => self.backends[index].alive = false,
            Fault::FreezeBackend => self.backends[index].frozen = self.backends[index].alive,
            Fault::LoseHeartbeats => self.backends[index].heartbeats_lost = true,
            Fault::DrainBackend => self.drain_backend(index),
            Fault::PowerLoss => {
                self.backends[index].alive = false;
                self.kill_node(index, length);
            }
            Fault::LogOutage => {
                self.log.unavailable_until = self.log.unavailable_until.max(now + length)
            }
            Fault::LagReplica => {
                let replica = index % self.log.replicas.len();
                self.log.replicas[replica].lagging_until = now + length;
            }
            Fault::ChangeShares => self.change_shares(index),
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault, index: usize) {
        match fault {
            Fault::KillNode => self.restart_node(index),
            Fault::FreezeNode => {
                self.nodes[index].frozen = false;
                let deferred = std::mem::take(&mut self.nodes[index].deferred);
                // Messages that arrived on several connections are read in any order.
                let (mut heartbeats, rest): (Vec<Event>, Vec<Event>) = deferred
                    .into_iter()
                    .partition(|event| matches!(event, Event::HeartbeatArrives(..)));
                if self.draw((0, 1)) == 0 {
                    heartbeats.reverse();
                }
                let (first_batch, second_batch) = if self.draw((0, 1)) == 0 {
                    (heartbeats, rest)
                } else {
                    (rest, heartbeats)
                };
                first_batch
                    .into_iter()
                    .chain(second_batch)
                    .for_each(|event| self.handle(event));
            }
            Fault::CutFromLog => self.nodes[index].cut_from_log = false,
            Fault::LoseReports => self.nodes[index].reports_lost = false,
            Fault::FreezeBackend => self.unfreeze_backend(index),
            Fault::LoseHeartbeats => self.backends[index].heartbeats_lost = false,
            Fault::CrashBackend => self.start_successor(index),
            Fault::PowerLoss => {
                self.restart_node(index);
                self.start_successor(index);
            }
            Fault::DrainBackend | Fault::LogOutage | Fault::LagReplica | Fault::ChangeShares => {}
        }
    }

    fn unfreeze_backend(&mut self, index: usize) {
        self.backends[index].frozen = false;
        let deferred = std::mem::take(&mut self.backends[index].deferred);
        deferred.into_iter().for_each(|event| self.handle(event));
    }

    fn kill_node(&mut self, index: usize, length: Microseconds) {
        let node = &mut self.nodes[index];
        (node.up, node.frozen) = (false, false);
        node.deferred.clear();
        let incarnation = node.incarnation();
        // Two monitoring nodes report the node as suspected, as in the ring of the failure detector.
        if length > 3_000_000 && self.log.unavailable_until <= self.now {
            let suspicion = |observer: usize| ClusterReport::NodeObserved {
                observer: format!("node-{observer}"),
                node: format!("node-{index}"),
                incarnation,
                suspected: true,
            };
            let observers = [
                (index + 1) % self.plan.node_count,
                (index + 2) % self.plan.node_count,
            ];
            let now = self.now;
            observers
                .into_iter()
                .zip(0u64..)
                .for_each(|(observer, position)| {
                    self.schedule(
                        now + 2_600_000 + position * 100_000,
                        Event::NodeSuspected(observer, now + position, vec![suspicion(observer)]),
                    );
                });
        }
    }

    fn restart_node(&mut self, index: usize) {
        if !self.nodes[index].up {
            self.start_node(index);
        }
    }

    /// Starts the next incarnation of a backend under a new name, unless the earlier process is still running.
    fn start_successor(&mut self, index: usize) {
        if self.backends[index].alive {
            return;
        }
        let (incarnation, clock_lag_per_mille) =
            (self.backends[index].incarnation + 1, self.draw((0, 20)));
        self.backends[index] = SimulatedBackend::new(index, incarnation, clock_lag_per_mille);
        self.start_heartbeats(index, incarnation);
    }

    /// Announces the drain in a heartbeat and schedules the deregistration, after which the process ends and a successor
    /// starts.
    fn drain_backend(&mut self, index: usize) {
        let (now, drain_time) = (self.now, self.plan.drain_time);
        self.backends[index].draining = true;
        let incarnation = self.backends[index].incarnation;
        self.schedule_within((0, 50_000), Event::Heartbeat(index, incarnation, false));
        self.schedule(
            now + drain_time + 300_000,
            Event::SignOff(index, incarnation),
        );
    }

    pub(super) fn sign_off(&mut self, index: usize, incarnation: u64) {
        if self.backends[index].incarnation != incarnation || !self.backends[index].alive {
            return;
        }
        let name = self.backends[index].name();
        if self.nodes[index].up
            && !self.nodes[index].frozen
            && !self.backends[index].heartbeats_lost
        {
            self.nodes[index].record_sign_off(&name);
            self.notify(index);
        }
        self.backends[index].alive = false;
        self.schedule_within(
            (300_000, 1_500_000),
            Event::FaultEnds(Fault::CrashBackend, index),
        );
    }
}
