//! What strikes: processes killed and frozen, cuts, outages, drains, other shares (design 11.5).

use super::player::Player;
use super::stage::{Event, Stage};
use model::Microseconds;
use model::cluster_state::ClusterReport;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blow {
    /// The node's process dies, and starts again without its memory.
    Kill,
    Freeze,
    /// From the log, both ways.
    Cut,
    /// Only what it reports gets lost.
    Dumb,
    /// The back end's process dies; another comes with another name.
    Crash,
    FreezePlayer,
    /// Beats get lost, though the back end lives and works.
    Mute,
    Drain,
    /// Node and back end at once.
    Power,
    /// Nothing is ordered nor proved.
    Outage,
    /// One seat applies nothing for a while, and tells old news.
    Lag,
    /// Other shares.
    Shares,
}

pub const BLOWS: [Blow; 12] = [
    Blow::Kill,
    Blow::Freeze,
    Blow::Cut,
    Blow::Dumb,
    Blow::Crash,
    Blow::FreezePlayer,
    Blow::Mute,
    Blow::Drain,
    Blow::Power,
    Blow::Outage,
    Blow::Lag,
    Blow::Shares,
];

/// When, what, at which node, for how long.
pub type Struck = (Microseconds, Blow, usize, Microseconds);

/// `bytes` decide what strikes, three a blow.
pub fn blows(kinds: &[Blow], bytes: &[u8]) -> Vec<Struck> {
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
pub fn draw(kinds: &[Blow], seed: u64, count: usize) -> Vec<Struck> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed + 1_000);
    let bytes: Vec<u8> = (0..count * 3)
        .map(|_| rand::Rng::random_range(&mut random, 0..=255u8))
        .collect();
    blows(kinds, &bytes)
}

impl Stage {
    pub(super) fn blow(&mut self, blow: Blow, at: usize, length: Microseconds) {
        let now = self.now;
        match blow {
            Blow::Kill => self.kill(at, length),
            Blow::Freeze => self.nodes[at].frozen = self.nodes[at].up,
            Blow::Cut => (self.nodes[at].cut, self.nodes[at].line.broken) = (true, true),
            Blow::Dumb => self.nodes[at].dumb = true,
            Blow::Crash => self.players[at].alive = false,
            Blow::FreezePlayer => self.players[at].frozen = self.players[at].alive,
            Blow::Mute => self.players[at].muted = true,
            Blow::Drain => self.drain(at),
            Blow::Power => {
                self.players[at].alive = false;
                self.kill(at, length);
            }
            Blow::Outage => self.log.out_until = self.log.out_until.max(now + length),
            Blow::Lag => {
                let seat = at % self.log.seats.len();
                self.log.seats[seat].lags_until = now + length;
            }
            Blow::Shares => self.replace(at),
        }
    }

    pub(super) fn over(&mut self, blow: Blow, at: usize) {
        match blow {
            Blow::Kill => self.revive(at),
            Blow::Freeze => {
                self.nodes[at].frozen = false;
                let late = std::mem::take(&mut self.nodes[at].late);
                // What waits on several conns is read in any order.
                let (mut beats, rest): (Vec<Event>, Vec<Event>) = late
                    .into_iter()
                    .partition(|event| matches!(event, Event::BeatComes(..)));
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
                    .for_each(|event| self.happen(event));
            }
            Blow::Cut => self.nodes[at].cut = false,
            Blow::Dumb => self.nodes[at].dumb = false,
            Blow::FreezePlayer => self.thaw_player(at),
            Blow::Mute => self.players[at].muted = false,
            Blow::Crash => self.another(at),
            Blow::Power => {
                self.revive(at);
                self.another(at);
            }
            Blow::Drain | Blow::Outage | Blow::Lag | Blow::Shares => {}
        }
    }

    fn thaw_player(&mut self, at: usize) {
        self.players[at].frozen = false;
        let late = std::mem::take(&mut self.players[at].late);
        late.into_iter().for_each(|event| self.happen(event));
    }

    fn kill(&mut self, at: usize, length: Microseconds) {
        let node = &mut self.nodes[at];
        (node.up, node.frozen) = (false, false);
        node.late.clear();
        let life = node.incarnation();
        // Two watchers miss it in time, as the ring of nodes has them do.
        if length > 3_000_000 && self.log.out_until <= self.now {
            let missed = |by: usize| ClusterReport::NodeObserved {
                observer: format!("node-{by}"),
                node: format!("node-{at}"),
                incarnation: life,
                missed: true,
            };
            let watchers = [(at + 1) % self.plan.nodes, (at + 2) % self.plan.nodes];
            let now = self.now;
            watchers.into_iter().zip(0u64..).for_each(|(by, turn)| {
                self.at(
                    now + 2_600_000 + turn * 100_000,
                    Event::Missed(by, now + turn, vec![missed(by)]),
                );
            });
        }
    }

    fn revive(&mut self, at: usize) {
        if !self.nodes[at].up {
            self.start(at);
        }
    }

    /// A new life with a new name, once the earlier process is gone.
    fn another(&mut self, at: usize) {
        if self.players[at].alive {
            return;
        }
        let (life, slow) = (self.players[at].life + 1, self.draw((0, 20)));
        self.players[at] = Player::new(at, life, slow);
        self.comes(at, life);
    }

    /// Says so in its beats, signs off after a while, ends, and another comes.
    fn drain(&mut self, at: usize) {
        let (now, drain) = (self.now, self.plan.drain);
        self.players[at].draining = true;
        let life = self.players[at].life;
        self.after((0, 50_000), Event::Beat(at, life, false));
        self.at(now + drain + 300_000, Event::SignsOff(at, life));
    }

    pub(super) fn signs_off(&mut self, at: usize, life: u64) {
        if self.players[at].life != life || !self.players[at].alive {
            return;
        }
        let name = self.players[at].name();
        if self.nodes[at].up && !self.nodes[at].frozen && !self.players[at].muted {
            self.nodes[at].signed_off(&name);
            self.tell(at);
        }
        self.players[at].alive = false;
        self.after((300_000, 1_500_000), Event::Over(Blow::Crash, at));
    }
}
