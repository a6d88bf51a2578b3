//! What strikes: processes killed and frozen, cuts, outages, drains, other shares (design 11.5).

use super::backend::SimulatedBackend;
use super::harness::{Event, LeaseHarness};
use model::Microseconds;
use model::cluster_state::ClusterReport;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The node's process dies, and starts again without its memory.
    KillNode,
    FreezeNode,
    /// From the log, both ways.
    CutFromLog,
    /// Only what it reports gets lost.
    LoseReports,
    /// The back end's process dies; another comes with another name.
    CrashBackend,
    FreezeBackend,
    /// Beats get lost, though the back end lives and works.
    LoseHeartbeats,
    DrainBackend,
    /// Node and back end at once.
    PowerLoss,
    /// Nothing is ordered nor proved.
    LogOutage,
    /// One seat applies nothing for a while, and tells old news.
    LagReplica,
    /// Other shares.
    ChangeShares,
}

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

/// When, what, at which node, for how long.
pub type ScheduledFault = (Microseconds, Fault, usize, Microseconds);

/// `bytes` decide what strikes, three a blow.
pub fn decode_faults(kinds: &[Fault], bytes: &[u8]) -> Vec<ScheduledFault> {
    bytes
        .chunks_exact(3)
        .zip(0u64..)
        .map(|(chunk, turn)| {
            let time = 4_000_000 + turn * 1_300_000 + chunk[0] as u64 * 4_000;
            // Most are short; some outlast every hold.
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

/// The blows that a seed draws, `count` of them.
pub fn draw_faults(kinds: &[Fault], seed: u64, count: usize) -> Vec<ScheduledFault> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed + 1_000);
    let bytes: Vec<u8> = (0..count * 3)
        .map(|_| rand::Rng::random_range(&mut random, 0..=255u8))
        .collect();
    decode_faults(kinds, &bytes)
}

impl LeaseHarness {
    pub(super) fn begin_fault(&mut self, blow: Fault, at: usize, length: Microseconds) {
        let now = self.now;
        match blow {
            Fault::KillNode => self.kill_node(at, length),
            Fault::FreezeNode => self.nodes[at].frozen = self.nodes[at].up,
            Fault::CutFromLog => {
                (
                    self.nodes[at].cut_from_log,
                    self.nodes[at].connection.broken,
                ) = (true, true)
            }
            Fault::LoseReports => self.nodes[at].reports_lost = true,
            Fault::CrashBackend => self.backends[at].alive = false,
            Fault::FreezeBackend => self.backends[at].frozen = self.backends[at].alive,
            Fault::LoseHeartbeats => self.backends[at].heartbeats_lost = true,
            Fault::DrainBackend => self.drain_backend(at),
            Fault::PowerLoss => {
                self.backends[at].alive = false;
                self.kill_node(at, length);
            }
            Fault::LogOutage => {
                self.log.unavailable_until = self.log.unavailable_until.max(now + length)
            }
            Fault::LagReplica => {
                let seat = at % self.log.replicas.len();
                self.log.replicas[seat].lagging_until = now + length;
            }
            Fault::ChangeShares => self.change_shares(at),
        }
    }

    pub(super) fn end_fault(&mut self, blow: Fault, at: usize) {
        match blow {
            Fault::KillNode => self.restart_node(at),
            Fault::FreezeNode => {
                self.nodes[at].frozen = false;
                let late = std::mem::take(&mut self.nodes[at].deferred);
                // What waits on several conns is read in any order.
                let (mut beats, rest): (Vec<Event>, Vec<Event>) = late
                    .into_iter()
                    .partition(|event| matches!(event, Event::HeartbeatArrives(..)));
                if self.draw((0, 1)) == 0 {
                    beats.reverse();
                }
                let (first, second) = if self.draw((0, 1)) == 0 {
                    (beats, rest)
                } else {
                    (rest, beats)
                };
                first
                    .into_iter()
                    .chain(second)
                    .for_each(|event| self.handle(event));
            }
            Fault::CutFromLog => self.nodes[at].cut_from_log = false,
            Fault::LoseReports => self.nodes[at].reports_lost = false,
            Fault::FreezeBackend => self.unfreeze_backend(at),
            Fault::LoseHeartbeats => self.backends[at].heartbeats_lost = false,
            Fault::CrashBackend => self.start_successor(at),
            Fault::PowerLoss => {
                self.restart_node(at);
                self.start_successor(at);
            }
            Fault::DrainBackend | Fault::LogOutage | Fault::LagReplica | Fault::ChangeShares => {}
        }
    }

    fn unfreeze_backend(&mut self, at: usize) {
        self.backends[at].frozen = false;
        let late = std::mem::take(&mut self.backends[at].deferred);
        late.into_iter().for_each(|event| self.handle(event));
    }

    fn kill_node(&mut self, at: usize, length: Microseconds) {
        let node = &mut self.nodes[at];
        (node.up, node.frozen) = (false, false);
        node.deferred.clear();
        let life = node.incarnation();
        // Two watchers miss it in time, as the ring of nodes has them do.
        if length > 3_000_000 && self.log.unavailable_until <= self.now {
            let suspected = |by: usize| ClusterReport::NodeObserved {
                observer: format!("node-{by}"),
                node: format!("node-{at}"),
                incarnation: life,
                suspected: true,
            };
            let watchers = [
                (at + 1) % self.plan.node_count,
                (at + 2) % self.plan.node_count,
            ];
            let now = self.now;
            watchers.into_iter().zip(0u64..).for_each(|(by, turn)| {
                self.schedule(
                    now + 2_600_000 + turn * 100_000,
                    Event::NodeMissed(by, now + turn, vec![suspected(by)]),
                );
            });
        }
    }

    fn restart_node(&mut self, at: usize) {
        if !self.nodes[at].up {
            self.start_node(at);
        }
    }

    /// A new life with a new name, once the earlier process is gone.
    fn start_successor(&mut self, at: usize) {
        if self.backends[at].alive {
            return;
        }
        let (life, slow) = (self.backends[at].incarnation + 1, self.draw((0, 20)));
        self.backends[at] = SimulatedBackend::new(at, life, slow);
        self.start_heartbeats(at, life);
    }

    /// Says so in its beats, signs off after a while, ends, and another comes.
    fn drain_backend(&mut self, at: usize) {
        let (now, drain) = (self.now, self.plan.drain_time);
        self.backends[at].draining = true;
        let life = self.backends[at].incarnation;
        self.schedule_within((0, 50_000), Event::Heartbeat(at, life, false));
        self.schedule(now + drain + 300_000, Event::SignOff(at, life));
    }

    pub(super) fn sign_off(&mut self, at: usize, life: u64) {
        if self.backends[at].incarnation != life || !self.backends[at].alive {
            return;
        }
        let name = self.backends[at].name();
        if self.nodes[at].up && !self.nodes[at].frozen && !self.backends[at].heartbeats_lost {
            self.nodes[at].signed_off(&name);
            self.notify(at);
        }
        self.backends[at].alive = false;
        self.schedule_within(
            (300_000, 1_500_000),
            Event::FaultEnds(Fault::CrashBackend, at),
        );
    }
}
