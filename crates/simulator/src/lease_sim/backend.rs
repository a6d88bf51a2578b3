//! A back end as its contract says: it beats, holds for so long from when the beat was sent by a clock that may be
//! slow, lets go of what an answer leaves out and says so within 100 ms (design 11.5).

use model::cluster_state::ShardKey;
use model::{Microseconds, Position};

pub(super) type LeasedRange = (ShardKey, ShardKey, Position);

#[derive(Clone, Debug)]
pub(super) struct HeldRange {
    pub range: LeasedRange,
    pub until: Microseconds,
    /// Left out by an answer; work on it may still be under way.
    pub releasing: Option<u64>,
}

pub(super) struct SimulatedBackend {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) alive: bool,
    pub(super) frozen: bool,
    pub(super) deferred: Vec<super::harness::Event>,
    /// Its beats get lost, though it lives.
    pub(super) heartbeats_lost: bool,
    pub(super) draining: bool,
    /// How much of a hold's time its clock misses, in thousandths.
    pub(super) clock_lag_per_mille: u64,
    pub(super) sequence: u64,
    pub(super) awaiting_answer_to: Option<u64>,
    pub(super) held: Vec<HeldRange>,
    pub(super) latest_fences: Vec<LeasedRange>,
    pub(super) released: Vec<(ShardKey, ShardKey, String)>,
    /// How many of these the latest beat carried.
    pub(super) releases_sent: usize,
    pub(super) last_release: u64,
}

/// What of a row lies outside all of `others`.
fn outside(row: LeasedRange, others: &[(ShardKey, ShardKey)]) -> Vec<LeasedRange> {
    others.iter().fold(vec![row], |rows, (from, to)| {
        let cut = rows.into_iter().flat_map(|(start, end, fence)| {
            let before = (start < *from).then(|| (start, end.min(from.saturating_sub(1)), fence));
            let after = (end > *to).then(|| (start.max(to.saturating_add(1)), end, fence));
            let apart = end < *from || start > *to;
            if apart {
                vec![(start, end, fence)]
            } else {
                before.into_iter().chain(after).collect()
            }
        });
        cut.collect()
    })
}

impl SimulatedBackend {
    pub(super) fn new(node: usize, life: u64, slow: u64) -> SimulatedBackend {
        SimulatedBackend {
            node,
            incarnation: life,
            alive: true,
            frozen: false,
            deferred: Vec::new(),
            heartbeats_lost: false,
            draining: false,
            clock_lag_per_mille: slow,
            sequence: 0,
            awaiting_answer_to: None,
            held: Vec::new(),
            latest_fences: Vec::new(),
            released: Vec::new(),
            releases_sent: 0,
            last_release: 0,
        }
    }

    /// One life, one name.
    pub(super) fn name(&self) -> String {
        format!("player-{}-{}", self.node, self.incarnation)
    }

    /// What it may begin requests on; what it only still works on counts, too.
    pub(super) fn held(&self, now: Microseconds) -> Vec<LeasedRange> {
        self.held
            .iter()
            .filter(|held| held.until > now)
            .map(|held| held.range)
            .collect()
    }

    pub(super) fn heartbeat(&mut self, now: Microseconds) -> endpoints::Heartbeat {
        self.sequence += 1;
        self.awaiting_answer_to = Some(self.sequence);
        self.releases_sent = self.released.len();
        // A hold that ran out is not told as released.
        self.held.retain(|held| held.until > now);
        endpoints::Heartbeat {
            name: self.name(),
            service: super::harness::SERVICE.into(),
            address: format!("player-{}", self.node),
            zone: "z0".into(),
            slots: 4,
            draining: self.draining,
            sequence: self.sequence,
            held_ranges: self.held(now),
            released_ranges: self.released.clone(),
        }
    }

    /// Takes what an answer tells it to hold. What it has to let go by number, and fences that went back.
    pub(super) fn apply_answer(
        &mut self,
        now: Microseconds,
        sent: Microseconds,
        rows: Vec<LeasedRange>,
        hold: Microseconds,
    ) -> (Vec<u64>, Vec<LeasedRange>) {
        let until = sent + hold + hold * self.clock_lag_per_mille / 1_000;
        let newer = |row: &LeasedRange| {
            self.latest_fences
                .iter()
                .any(|seen| seen.0 <= row.1 && row.0 <= seen.1 && seen.2 > row.2)
        };
        let (back, rows): (Vec<LeasedRange>, Vec<LeasedRange>) = rows.into_iter().partition(newer);
        let taken: Vec<(ShardKey, ShardKey)> =
            rows.iter().map(|(from, to, _)| (*from, *to)).collect();
        let before = std::mem::take(&mut self.held);
        let mut let_go = Vec::new();
        let pieces = &mut self.last_release;
        let left = before
            .into_iter()
            .filter(|held| held.until > now)
            .flat_map(|held| {
                let cut = outside(held.range, &taken).into_iter().map(|row| {
                    *pieces += 1;
                    let whole = held.releasing.filter(|_| row == held.range);
                    let going = whole.unwrap_or(*pieces);
                    if whole.is_none() {
                        let_go.push(going);
                    }
                    HeldRange {
                        range: row,
                        until: held.until,
                        releasing: Some(going),
                    }
                });
                cut.collect::<Vec<_>>()
            });
        self.held = left.collect();
        self.held.extend(rows.iter().map(|row| HeldRange {
            range: *row,
            until,
            releasing: None,
        }));
        self.latest_fences = self
            .latest_fences
            .iter()
            .flat_map(|seen| outside(*seen, &taken))
            .chain(rows)
            .collect();
        (let_go, back)
    }

    /// Work on what it was to let go is over.
    pub(super) fn finish_release(&mut self, now: Microseconds, piece: u64, token: String) -> bool {
        let Some(at) = self
            .held
            .iter()
            .position(|held| held.releasing == Some(piece))
        else {
            return false;
        };
        let held = self.held.remove(at);
        let in_time = held.until > now;
        if in_time {
            self.released.push((held.range.0, held.range.1, token));
        }
        in_time
    }
}
