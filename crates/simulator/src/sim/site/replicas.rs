//! Replicas of a simulated site: the simulated log, and the state machine of each replica (design 9.8).

use model::{Entry, Outcome, Position, StateMachine};
use std::collections::BTreeMap;

/// The state that a replica has built from its log.
#[derive(Default)]
struct ReplicaState {
    state_machine: StateMachine,
    entry_count: usize,
    last_instance: u64,
    incarnation: u64,
}

/// Decodes the log entries of a history of applied values, and skips other values.
fn entries(
    history: &[(mencius::Instance, mencius::Value)],
) -> impl Iterator<Item = (mencius::Instance, Entry)> + '_ {
    history.iter().filter_map(|(instance, value)| {
        model::Entry::from_bytes(value)
            .ok()
            .map(|entry| (*instance, entry))
    })
}

/// An entry that a replica has applied: the replica, the key of the entry (origin, incarnation and sequence number) and
/// the outcome.
pub(super) type AppliedEntry = (u16, (String, u64, u64), Outcome);

/// The simulated log with the state machines of its replicas.
pub struct SiteReplicas {
    pub world: crate::sim::World,
    states: Vec<ReplicaState>,
}

impl SiteReplicas {
    pub fn new(replica_count: u16, seed: u64, acknowledges_unwritten: bool) -> Self {
        let snapshot_every = if acknowledges_unwritten { 0 } else { 60 };
        let world = crate::sim::World::new(crate::sim::WorldPlan {
            acknowledges_unwritten,
            snapshot_every,
            ..crate::sim::WorldPlan::new(replica_count, seed)
        });
        SiteReplicas {
            world,
            states: (0..replica_count)
                .map(|_| ReplicaState::default())
                .collect(),
        }
    }

    pub fn is_running(&self, replica_id: u16) -> bool {
        let replica = &self.world.replicas[replica_id as usize];
        replica.running.is_some() && !replica.frozen
    }

    pub fn state_machine(&self, replica_id: u16) -> &StateMachine {
        &self.states[replica_id as usize].state_machine
    }

    pub fn submit(&mut self, replica_id: u16, entry: &Entry) {
        self.world.submit(replica_id, entry.to_bytes());
    }

    /// Runs the replicas until `now`. Returns the entries that they applied and the reads that they proved meanwhile.
    pub fn advance(&mut self, now: model::Microseconds) -> (Vec<AppliedEntry>, Vec<(u64, u16)>) {
        self.world.run_until(now);
        let applied = (0..self.states.len())
            .flat_map(|replica_id| self.apply_new_entries(replica_id))
            .collect();
        (applied, std::mem::take(&mut self.world.proved_reads))
    }

    fn apply_new_entries(&mut self, replica_id: usize) -> Vec<AppliedEntry> {
        let (replica, state) = (
            &self.world.replicas[replica_id],
            &mut self.states[replica_id],
        );
        let continues = replica.incarnation == state.incarnation
            && (state.entry_count == 0
                || replica
                    .applied
                    .get(state.entry_count - 1)
                    .is_some_and(|(instance, _)| *instance == state.last_instance));
        if !continues {
            *state = ReplicaState {
                incarnation: replica.incarnation,
                ..ReplicaState::default()
            };
        }
        let new_entries = entries(&replica.applied[state.entry_count..]);
        let applied: Vec<AppliedEntry> = new_entries
            .map(|(instance, entry)| {
                let key = (entry.origin.clone(), entry.incarnation, entry.sequence);
                (
                    replica_id as u16,
                    key,
                    state
                        .state_machine
                        .apply_at(entry, instance, mencius::VOTING_WINDOW),
                )
            })
            .collect();
        state.entry_count = replica.applied.len();
        state.last_instance = replica
            .applied
            .last()
            .map(|(instance, _)| *instance)
            .unwrap_or(0);
        applied
    }

    /// Returns the accepted changes in the longest log: the id and the position of each, by version.
    pub fn accepted_changes(&self) -> BTreeMap<Position, (String, Position)> {
        let longest = self
            .world
            .replicas
            .iter()
            .map(|replica| &replica.applied)
            .max_by_key(|history| history.len());
        let mut state_machine = StateMachine::default();
        entries(longest.map(Vec::as_slice).unwrap_or_default())
            .filter_map(|(instance, entry)| {
                let id = if let model::Operation::Change(change) = &entry.operation {
                    Some(change.id.clone())
                } else {
                    None
                };
                let before = state_machine.desired.version;
                let outcome = state_machine.apply_at(entry, instance, mencius::VOTING_WINDOW);
                match (id, outcome) {
                    (Some(id), Outcome::Accepted { position, version }) if version > before => {
                        Some((version, (id, position)))
                    }
                    _ => None,
                }
            })
            .collect()
    }

    /// Heals all faults and submits the last entries that the checks of the log expect.
    pub fn heal(&mut self, time: model::Microseconds) {
        self.world
            .schedule_fault(time, crate::sim::Fault::HealLinks);
        (0..self.states.len() as u16).for_each(|replica_id| {
            self.world
                .schedule_fault(time, crate::sim::Fault::Unfreeze(replica_id));
            self.world
                .schedule_fault(time, crate::sim::Fault::SlowDisk(replica_id, 0));
            self.world
                .schedule_fault(time, crate::sim::Fault::Start(replica_id));
            self.world.schedule_fault(
                time + 2_500_000,
                crate::sim::Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
            );
        });
    }

    /// Checks the log at the end of the run and returns all its violations.
    pub fn close(&mut self) -> Vec<String> {
        let replicas = std::mem::take(&mut self.world.replicas);
        self.world.findings.check_final_state(&replicas);
        self.world.replicas = replicas;
        self.world.findings.violations.clone()
    }
}
