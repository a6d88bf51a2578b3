//! The core of a simulated site: ordering machines and disks, and a book at each seat (design 9.8).

use model::{Entry, Outcome, Position, StateMachine};
use std::collections::BTreeMap;

/// What a seat has made of its log.
#[derive(Default)]
struct FoldedLog {
    state_machine: StateMachine,
    folded: usize,
    last: u64,
    incarnation: u64,
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
pub(super) type AppliedEntry = (u16, (String, u64, u64), Outcome);

pub struct SiteReplicas {
    pub world: crate::sim::World,
    folded_logs: Vec<FoldedLog>,
}

impl SiteReplicas {
    pub fn new(seats: u16, seed: u64, acknowledges_unwritten: bool) -> Self {
        let snapshot_every = if acknowledges_unwritten { 0 } else { 60 };
        let world = crate::sim::World::new(crate::sim::WorldPlan {
            acknowledges_unwritten,
            snapshot_every,
            ..crate::sim::WorldPlan::new(seats, seed)
        });
        SiteReplicas {
            world,
            folded_logs: (0..seats).map(|_| FoldedLog::default()).collect(),
        }
    }

    pub fn is_running(&self, seat: u16) -> bool {
        let node = &self.world.replicas[seat as usize];
        node.running.is_some() && !node.frozen
    }

    pub fn state_machine(&self, seat: u16) -> &StateMachine {
        &self.folded_logs[seat as usize].state_machine
    }

    pub fn submit(&mut self, seat: u16, entry: &Entry) {
        self.world.submit(seat, entry.to_bytes());
    }

    /// Lets the core come as far as `now`; what its seats applied meanwhile, and which reads were proved.
    pub fn advance(&mut self, now: model::Microseconds) -> (Vec<AppliedEntry>, Vec<(u64, u16)>) {
        self.world.run_until(now);
        let answered = (0..self.folded_logs.len())
            .flat_map(|seat| self.fold(seat))
            .collect();
        (answered, std::mem::take(&mut self.world.proved_reads))
    }

    fn fold(&mut self, seat: usize) -> Vec<AppliedEntry> {
        let (node, fold) = (&self.world.replicas[seat], &mut self.folded_logs[seat]);
        let follows = node.incarnation == fold.incarnation
            && (fold.folded == 0
                || node
                    .applied
                    .get(fold.folded - 1)
                    .is_some_and(|(at, _)| *at == fold.last));
        if !follows {
            *fold = FoldedLog {
                incarnation: node.incarnation,
                ..FoldedLog::default()
            };
        }
        let new = entries(&node.applied[fold.folded..]);
        let answered: Vec<AppliedEntry> = new
            .map(|(instance, entry)| {
                let key = (entry.origin.clone(), entry.incarnation, entry.sequence);
                (
                    seat as u16,
                    key,
                    fold.state_machine
                        .apply_at(entry, instance, mencius::VOTING_WINDOW),
                )
            })
            .collect();
        fold.folded = node.applied.len();
        fold.last = node.applied.last().map(|(at, _)| *at).unwrap_or(0);
        answered
    }

    /// At the end: every accepted change of the longest copy, by version.
    pub fn accepted_changes(&self) -> BTreeMap<Position, (String, Position)> {
        let longest = self
            .world
            .replicas
            .iter()
            .map(|node| &node.applied)
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
        self.world
            .schedule_fault(time, crate::sim::Fault::HealLinks);
        (0..self.folded_logs.len() as u16).for_each(|seat| {
            self.world
                .schedule_fault(time, crate::sim::Fault::Unfreeze(seat));
            self.world
                .schedule_fault(time, crate::sim::Fault::SlowDisk(seat, 0));
            self.world
                .schedule_fault(time, crate::sim::Fault::Start(seat));
            self.world.schedule_fault(
                time + 2_500_000,
                crate::sim::Fault::Submit(seat, format!("last {seat}").into_bytes()),
            );
        });
    }

    pub fn close(&mut self) -> Vec<String> {
        let nodes = std::mem::take(&mut self.world.replicas);
        self.world.findings.check_final_state(&nodes);
        self.world.replicas = nodes;
        self.world.findings.violations.clone()
    }
}
