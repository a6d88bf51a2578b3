//! The core of a simulated site: ordering machines and disks, and a book at each seat (design 9.8).

use model::{Entry, Outcome, Position, StateMachine};
use std::collections::BTreeMap;

/// What a seat has made of its log.
#[derive(Default)]
struct Fold {
    book: StateMachine,
    folded: usize,
    last: u64,
    life: u64,
}

fn entries(
    history: &[(mencius::Instance, mencius::Value)],
) -> impl Iterator<Item = (mencius::Instance, Entry)> + '_ {
    history.iter().filter_map(|(instance, value)| {
        model::Entry::from_bytes(value)
            .ok()
            .map(|entry| (*instance, entry))
    })
}

/// An entry that its own seat has applied, with the answer.
pub type Answered = (u16, (String, u64, u64), Outcome);

pub struct SiteCore {
    pub world: super::World,
    folds: Vec<Fold>,
}

impl SiteCore {
    pub fn new(seats: u16, seed: u64, lying_disk: bool) -> Self {
        let snapshot_every = if lying_disk { 0 } else { 60 };
        let world = super::World::new(super::Plan {
            lying_disk,
            snapshot_every,
            ..super::Plan::new(seats, seed)
        });
        SiteCore {
            world,
            folds: (0..seats).map(|_| Fold::default()).collect(),
        }
    }

    pub fn up(&self, seat: u16) -> bool {
        let node = &self.world.nodes[seat as usize];
        node.machine.is_some() && !node.frozen
    }

    pub fn book(&self, seat: u16) -> &StateMachine {
        &self.folds[seat as usize].book
    }

    pub fn submit(&mut self, seat: u16, entry: &Entry) {
        self.world.submit(seat, entry.to_bytes());
    }

    /// Lets the core come as far as `now`; what its seats applied meanwhile, and which reads were proved.
    pub fn advance(&mut self, now: model::Microseconds) -> (Vec<Answered>, Vec<(u64, u16)>) {
        self.world.run_until(now);
        let answered = (0..self.folds.len())
            .flat_map(|seat| self.fold(seat))
            .collect();
        (answered, std::mem::take(&mut self.world.done))
    }

    fn fold(&mut self, seat: usize) -> Vec<Answered> {
        let (node, fold) = (&self.world.nodes[seat], &mut self.folds[seat]);
        let follows = node.life == fold.life
            && (fold.folded == 0
                || node
                    .history
                    .get(fold.folded - 1)
                    .is_some_and(|(at, _)| *at == fold.last));
        if !follows {
            *fold = Fold {
                life: node.life,
                ..Fold::default()
            };
        }
        let new = entries(&node.history[fold.folded..]);
        let answered: Vec<Answered> = new
            .map(|(instance, entry)| {
                let key = (entry.origin.clone(), entry.incarnation, entry.sequence);
                (
                    seat as u16,
                    key,
                    fold.book.apply_at(entry, instance, mencius::VOTING_WINDOW),
                )
            })
            .collect();
        fold.folded = node.history.len();
        fold.last = node.history.last().map(|(at, _)| *at).unwrap_or(0);
        answered
    }

    /// At the end: every accepted change of the longest copy, by version.
    pub fn story(&self) -> BTreeMap<Position, (String, Position)> {
        let longest = self
            .world
            .nodes
            .iter()
            .map(|node| &node.history)
            .max_by_key(|history| history.len());
        let mut book = StateMachine::default();
        entries(longest.map(Vec::as_slice).unwrap_or_default())
            .filter_map(|(instance, entry)| {
                let id = if let model::Operation::Change(change) = &entry.operation {
                    Some(change.id.clone())
                } else {
                    None
                };
                let before = book.desired.version;
                let outcome = book.apply_at(entry, instance, mencius::VOTING_WINDOW);
                match (id, outcome) {
                    (Some(id), Outcome::Accepted { position, version }) if version > before => {
                        Some((version, (id, position)))
                    }
                    _ => None,
                }
            })
            .collect()
    }

    /// Everything mended, as the core's own checks want it.
    pub fn heal(&mut self, time: model::Microseconds) {
        self.world.at_fault(time, super::Fault::Mend);
        (0..self.folds.len() as u16).for_each(|seat| {
            self.world.at_fault(time, super::Fault::Wake(seat));
            self.world.at_fault(time, super::Fault::SlowDisk(seat, 0));
            self.world.at_fault(time, super::Fault::Start(seat));
            self.world.at_fault(
                time + 2_500_000,
                super::Fault::Submit(seat, format!("last {seat}").into_bytes()),
            );
        });
    }

    pub fn close(&mut self) -> Vec<String> {
        let nodes = std::mem::take(&mut self.world.nodes);
        self.world.findings.close(&nodes);
        self.world.nodes = nodes;
        self.world.findings.broken.clone()
    }
}
