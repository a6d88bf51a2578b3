//! One order of entries, and seats that apply it late, tell news and prove (design 11.3).

use model::cluster_state::{ClusterOperation, ClusterReport, Delta};
use model::{ClusterState, Microseconds, Outcome, Position};

/// What a seat says on a conn: news from one position to another, or a proof by number.
#[derive(Clone, Debug)]
pub(super) enum Told {
    News {
        afresh: bool,
        from: Position,
        to: Position,
        deltas: Vec<Delta>,
    },
    Proof {
        number: u64,
        position: Position,
    },
}

pub(super) type Entry = (String, u64, u64, Vec<ClusterReport>);
/// Node and the number of its conn.
pub(super) type Conn = (usize, u64);

#[derive(Default)]
pub(super) struct Seat {
    pub bill: ClusterState,
    pub applied: usize,
    pub lags_until: Microseconds,
    history: Vec<(Position, Position, Vec<Delta>)>,
    followers: Vec<(Conn, Position)>,
    asks: Vec<(Conn, u64, usize)>,
}

pub(super) struct Log {
    pub entries: Vec<Entry>,
    pub bill: ClusterState,
    pub seats: Vec<Seat>,
    /// When each entry was ordered.
    pub times: Vec<Microseconds>,
    /// Nothing is ordered nor proved until then.
    pub out_until: Microseconds,
}

impl Log {
    pub fn new(seats: usize) -> Log {
        Log {
            entries: Vec::new(),
            bill: ClusterState::default(),
            seats: (0..seats).map(|_| Seat::default()).collect(),
            times: Vec::new(),
            out_until: 0,
        }
    }

    pub fn items(&mut self, call: model::cluster_state::ItemCall) {
        // Before anything else: all seats hold the items.
        drop(
            self.bill
                .apply("operator", 1, 0, ClusterOperation::Items(call)),
        );
        let bill = &self.bill;
        self.seats
            .iter_mut()
            .for_each(|seat| seat.bill = bill.clone());
    }

    pub fn order(&mut self, now: Microseconds, entry: Entry) -> Outcome {
        self.times.push(now);
        self.entries.push(entry.clone());
        self.bill
            .apply(
                &entry.0,
                entry.1,
                entry.2,
                ClusterOperation::Reports(entry.3),
            )
            .0
    }
}

impl Seat {
    /// A seat that lags behind a follower tells it nothing until it has caught up.
    fn tell(&mut self) -> Vec<(Conn, Told)> {
        let (bill, history) = (&self.bill, &self.history);
        self.followers
            .iter_mut()
            .filter(|(_, held)| *held < bill.position)
            .flat_map(|(conn, held)| {
                let since = history.iter().position(|(from, ..)| from == held);
                let news = match since {
                    Some(at) => history[at..]
                        .iter()
                        .map(|(from, to, deltas)| (false, *from, *to, deltas.clone()))
                        .collect(),
                    None => vec![(true, 0, bill.position, bill.full_deltas())],
                };
                *held = bill.position;
                let conn = *conn;
                news.into_iter()
                    .map(move |(afresh, from, to, deltas)| {
                        (
                            conn,
                            Told::News {
                                afresh,
                                from,
                                to,
                                deltas,
                            },
                        )
                    })
                    .collect::<Vec<_>>()
            })
            .collect()
    }

    fn prove(&mut self) -> Vec<(Conn, Told)> {
        let (applied, position) = (self.applied, self.bill.position);
        let done = self
            .asks
            .extract_if(.., |(_, _, needed)| *needed <= applied);
        done.map(|(conn, number, _)| (conn, Told::Proof { number, position }))
            .collect()
    }

    /// News goes before the proof that leans on it.
    pub fn apply(&mut self, entry: Entry) -> Vec<(Conn, Told)> {
        let before = self.bill.position;
        let (_, deltas) = self.bill.apply(
            &entry.0,
            entry.1,
            entry.2,
            ClusterOperation::Reports(entry.3),
        );
        self.applied += 1;
        if !deltas.is_empty() {
            self.history.push((before, self.bill.position, deltas));
            self.history.drain(..self.history.len().saturating_sub(12));
        }
        let news = self.tell();
        news.into_iter().chain(self.prove()).collect()
    }

    pub fn follow(&mut self, conn: Conn, held: Position) -> Vec<(Conn, Told)> {
        self.followers.retain(|((node, _), _)| *node != conn.0);
        self.followers.push((conn, held));
        self.tell()
    }

    /// Proved once all that was ordered before the asking is applied here.
    pub fn ask(&mut self, conn: Conn, number: u64, ordered: usize) -> Vec<(Conn, Told)> {
        self.asks.push((conn, number, ordered));
        self.prove()
    }
}
