//! A back end as its contract says: it beats, holds for so long from when the beat was sent by a clock that may be
//! slow, lets go of what an answer leaves out and says so within 100 ms (design 11.5).

use model::cluster_state::ShardKey;
use model::{Microseconds, Position};

pub(super) type Row = (ShardKey, ShardKey, Position);

#[derive(Clone, Debug)]
pub(super) struct Held {
    pub row: Row,
    pub until: Microseconds,
    /// Left out by an answer; work on it may still be under way.
    pub going: Option<u64>,
}

pub struct Player {
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) alive: bool,
    pub(super) frozen: bool,
    pub(super) late: Vec<super::stage::Event>,
    /// Its beats get lost, though it lives.
    pub(super) muted: bool,
    pub(super) draining: bool,
    /// How much of a hold's time its clock misses, in thousandths.
    pub(super) slow: u64,
    pub(super) sequence: u64,
    pub(super) waits_for: Option<u64>,
    pub(super) held: Vec<Held>,
    pub(super) seen: Vec<Row>,
    pub(super) released: Vec<(ShardKey, ShardKey, String)>,
    /// How many of these the latest beat carried.
    pub(super) told: usize,
    pub(super) pieces: u64,
}

/// What of a row lies outside all of `others`.
fn outside(row: Row, others: &[(ShardKey, ShardKey)]) -> Vec<Row> {
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

impl Player {
    pub(super) fn new(node: usize, life: u64, slow: u64) -> Player {
        Player {
            node,
            life,
            alive: true,
            frozen: false,
            late: Vec::new(),
            muted: false,
            draining: false,
            slow,
            sequence: 0,
            waits_for: None,
            held: Vec::new(),
            seen: Vec::new(),
            released: Vec::new(),
            told: 0,
            pieces: 0,
        }
    }

    /// One life, one name.
    pub fn name(&self) -> String {
        format!("player-{}-{}", self.node, self.life)
    }

    /// What it may begin requests on; what it only still works on counts, too.
    pub(super) fn held(&self, now: Microseconds) -> Vec<Row> {
        self.held
            .iter()
            .filter(|held| held.until > now)
            .map(|held| held.row)
            .collect()
    }

    pub(super) fn beat(&mut self, now: Microseconds) -> endpoints::Heartbeat {
        self.sequence += 1;
        self.waits_for = Some(self.sequence);
        self.told = self.released.len();
        // A hold that ran out is not told as released.
        self.held.retain(|held| held.until > now);
        endpoints::Heartbeat {
            name: self.name(),
            service: super::stage::SERVICE.into(),
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
    pub(super) fn takes(
        &mut self,
        now: Microseconds,
        sent: Microseconds,
        rows: Vec<Row>,
        hold: Microseconds,
    ) -> (Vec<u64>, Vec<Row>) {
        let until = sent + hold + hold * self.slow / 1_000;
        let newer = |row: &Row| {
            self.seen
                .iter()
                .any(|seen| seen.0 <= row.1 && row.0 <= seen.1 && seen.2 > row.2)
        };
        let (back, rows): (Vec<Row>, Vec<Row>) = rows.into_iter().partition(newer);
        let taken: Vec<(ShardKey, ShardKey)> =
            rows.iter().map(|(from, to, _)| (*from, *to)).collect();
        let before = std::mem::take(&mut self.held);
        let mut let_go = Vec::new();
        let pieces = &mut self.pieces;
        let left = before
            .into_iter()
            .filter(|held| held.until > now)
            .flat_map(|held| {
                let cut = outside(held.row, &taken).into_iter().map(|row| {
                    *pieces += 1;
                    let whole = held.going.filter(|_| row == held.row);
                    let going = whole.unwrap_or(*pieces);
                    if whole.is_none() {
                        let_go.push(going);
                    }
                    Held {
                        row,
                        until: held.until,
                        going: Some(going),
                    }
                });
                cut.collect::<Vec<_>>()
            });
        self.held = left.collect();
        self.held.extend(rows.iter().map(|row| Held {
            row: *row,
            until,
            going: None,
        }));
        self.seen = self
            .seen
            .iter()
            .flat_map(|seen| outside(*seen, &taken))
            .chain(rows)
            .collect();
        (let_go, back)
    }

    /// Work on what it was to let go is over.
    pub(super) fn lets_go(&mut self, now: Microseconds, piece: u64, token: String) -> bool {
        let Some(at) = self.held.iter().position(|held| held.going == Some(piece)) else {
            return false;
        };
        let held = self.held.remove(at);
        let in_time = held.until > now;
        if in_time {
            self.released.push((held.row.0, held.row.1, token));
        }
        in_time
    }
}
