//! In-order delivery, snapshots, and recovery after a restart (design 3.2, 3.8).

use std::collections::BTreeSet;
use std::iter::once;

use crate::coordinator_log::CoordinatorLog;
use crate::messages::{Effect, Instance, ReplicaId, Value, Write};
use crate::replica::Replica;
use crate::state::{OwnSuggestion, Snapshot};

impl Replica {
    /// Emits, in order, every learned command whose predecessors are all learned (paper 4.3,
    /// commit).
    pub(crate) fn apply_ready(&mut self) {
        loop {
            // All instances up to the next one that is not skipped are no-ops: advance past the
            // whole range at once, as a revoked block can be very large.
            self.applied = self.applied.max(self.first_not_skipped());
            let instance = self.applied;
            let Some(value) = self.log_at(instance).chosen.get(&instance).cloned() else {
                break;
            };
            self.effects.push(Effect::Apply(instance, value));
            self.applied += 1;
        }
        self.complete_reads();
        self.return_deferred();
    }

    /// Returns the first instance from `applied` on, of any coordinator, that is not known to be a
    /// no-op.
    fn first_not_skipped(&self) -> Instance {
        let firsts = self.replica_ids().map(|coordinator| {
            let from = self.first_coordinated_from(coordinator, self.applied);
            self.log_of(coordinator)
                .first_not_skipped(from, self.replica_count)
        });
        firsts.min().unwrap_or(self.applied)
    }

    /// Compacts the log below a snapshot of the driver's state machine.
    pub(crate) fn compact_to_snapshot(&mut self, next_instance: Instance, state: Vec<u8>) {
        if next_instance <= self.compaction_point || next_instance > self.applied {
            return;
        }
        self.record_snapshot(next_instance, state);
    }

    /// Installs a peer's snapshot, which is sent to a replica that is behind the peer's compaction
    /// point.
    pub(crate) fn on_snapshot(&mut self, next_instance: Instance, state: Vec<u8>) {
        if next_instance <= self.applied {
            return;
        }
        self.applied = next_instance;
        self.record_snapshot(next_instance, state.clone());
        self.effects.push(Effect::InstallSnapshot {
            next_instance,
            state,
        });
        self.skip_own_below(next_instance);
        // Own suggestions below the snapshot may have been chosen or lost. If one that was chosen
        // is submitted again, the state machine drops the duplicate.
        let undecided = self
            .own_suggestions
            .range(..next_instance)
            .map(|(instance, _)| *instance);
        let undecided: Vec<Instance> = undecided.collect();
        for instance in undecided {
            self.return_unchosen(instance);
        }
        self.apply_ready();
    }

    fn record_snapshot(&mut self, next_instance: Instance, state: Vec<u8>) {
        self.compact_below(next_instance);
        self.batch.writes.push(Write::Snapshot {
            next_instance,
            state: state.clone(),
        });
        self.batch.replace_journal = true;
        self.snapshot = Some(Snapshot {
            next_instance,
            state,
        });
    }

    fn compact_below(&mut self, end: Instance) {
        self.compaction_point = end;
        for log in &mut self.coordinator_logs {
            log.compact_below(end);
        }
        self.revocations
            .retain(|_, revocation| revocation.block.0 >= end);
    }

    /// Returns the complete state as writes, to replace the journal after a compaction.
    pub(crate) fn full_state_writes(&self) -> Vec<Write> {
        let mut writes = Vec::new();
        if let Some(Snapshot {
            next_instance,
            state,
        }) = self.snapshot.clone()
        {
            writes.push(Write::Snapshot {
                next_instance,
                state,
            });
        }
        writes.push(Write::VotingRangeStart(self.voting_range_start));
        writes.push(Write::Index(self.index));
        writes.push(Write::ProposalCounter(self.proposal_counter));
        for coordinator in self.replica_ids() {
            push_log_writes(&mut writes, coordinator, self.log_of(coordinator));
        }
        writes
    }

    /// Replays one write from the disk.
    pub(crate) fn replay(&mut self, write: Write) {
        match write {
            Write::Index(index) => self.index = self.index.max(index),
            Write::ProposalCounter(counter) => {
                self.proposal_counter = self.proposal_counter.max(counter)
            }
            Write::Promise {
                coordinator,
                block,
                proposal_number,
            } => self.log_of_mut(coordinator).promise(block, proposal_number),
            Write::Accept {
                instance,
                proposal_number,
                value,
            } => self
                .log_at_mut(instance)
                .accept(instance, proposal_number, value),
            Write::AcceptNoOps {
                coordinator,
                block,
                proposal_number,
            } => self
                .log_of_mut(coordinator)
                .accept_noops(block, proposal_number),
            Write::Chosen { instance, value } => {
                self.log_at_mut(instance).chosen.insert(instance, value);
            }
            Write::Skipped {
                coordinator,
                block: (start, end),
            } => self.log_of_mut(coordinator).skip(start, end),
            Write::Snapshot {
                next_instance,
                state,
            } => self.replay_snapshot(next_instance, state),
            Write::VotingRangeStart(start) => {
                self.voting_range_start = self.voting_range_start.max(start)
            }
        }
    }

    fn replay_snapshot(&mut self, next_instance: Instance, state: Vec<u8>) {
        self.compact_below(next_instance);
        self.applied = next_instance;
        self.snapshot = Some(Snapshot {
            next_instance,
            state,
        });
    }

    /// Completes the recovery after all writes are replayed: skips the own unused instances below
    /// the stored index and resumes suggestions without a known outcome in their instances.
    pub(crate) fn resume(&mut self) {
        let own_log = self.log_of(self.replica_id);
        let undecided = own_log
            .accepted
            .iter()
            .filter(|(instance, _)| own_log.outcome(**instance).is_none());
        let undecided: Vec<(Instance, Value)> = undecided
            .map(|(instance, accepted)| (*instance, accepted.value.clone()))
            .collect();
        self.skip_unused_instances(&undecided);
        let replica_id = self.replica_id;
        let suggested = undecided.into_iter().map(|(instance, value)| {
            let accepted_by = BTreeSet::from([replica_id]);
            (instance, OwnSuggestion { value, accepted_by })
        });
        self.own_suggestions = suggested.collect();
        if let Some(Snapshot {
            next_instance,
            state,
        }) = self.snapshot.clone()
        {
            self.effects.push(Effect::InstallSnapshot {
                next_instance,
                state,
            });
        }
        self.apply_ready();
    }

    /// Skips the own instances below the index that hold no undecided suggestion.
    fn skip_unused_instances(&mut self, undecided: &[(Instance, Value)]) {
        // An earlier disk of this replica may have suggested in its instances, so this disk must
        // not treat them as skipped.
        let first = self.compaction_point.max(self.voting_range_start);
        let starts = once(first).chain(undecided.iter().map(|(instance, _)| instance + 1));
        let ends = undecided
            .iter()
            .map(|(instance, _)| *instance)
            .chain(once(self.index));
        for (start, end) in starts.zip(ends) {
            self.log_of_mut(self.replica_id).skip(start, end);
        }
    }
}

/// Appends the log of one coordinator's instances as writes.
fn push_log_writes(writes: &mut Vec<Write>, coordinator: ReplicaId, log: &CoordinatorLog) {
    writes.extend(log.promised.iter().map(|range| Write::Promise {
        coordinator,
        block: (range.start, range.end),
        proposal_number: range.value,
    }));
    writes.extend(log.accepted_noops.iter().map(|range| Write::AcceptNoOps {
        coordinator,
        block: (range.start, range.end),
        proposal_number: range.value,
    }));
    writes.extend(
        log.accepted
            .iter()
            .map(|(instance, accepted)| Write::Accept {
                instance: *instance,
                proposal_number: accepted.proposal_number,
                value: accepted.value.clone(),
            }),
    );
    writes.extend(log.chosen.iter().map(|(instance, value)| Write::Chosen {
        instance: *instance,
        value: value.clone(),
    }));
    writes.extend(log.skipped.iter().map(|range| Write::Skipped {
        coordinator,
        block: (range.start, range.end),
    }));
}
