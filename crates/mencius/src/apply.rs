//! Delivery in order, snapshots, and what a restart finds (design 3.2, 3.8).

use std::collections::BTreeSet;
use std::iter::once;

use crate::coordinator_log::CoordinatorLog;
use crate::messages::{Effect, Instance, ReplicaId, Value, Write};
use crate::replica::Replica;
use crate::state::{OwnSuggestion, Snapshot};

impl Replica {
    /// Gives out, in order, every command whose predecessors are all learned (paper 4.3, commit).
    pub(crate) fn apply_ready(&mut self) {
        loop {
            // Everything below is no-op: jump, however wide the revoked block was.
            self.applied = self.applied.max(self.first_not_skipped());
            let instance = self.applied;
            let Some(value) = self.log_at(instance).chosen.get(&instance).cloned() else {
                break;
            };
            self.effects.push(Effect::Apply(instance, value));
            self.applied += 1;
        }
        self.complete_reads();
        self.hand_back_deferred();
    }

    /// The first instance from `applied` on that is not a known no-op, of any coordinator.
    fn first_not_skipped(&self) -> Instance {
        let firsts = self.replica_ids().map(|coordinator| {
            let from = self.first_coordinated_from(coordinator, self.applied);
            self.log_of(coordinator)
                .first_not_skipped(from, self.replica_count)
        });
        firsts.min().unwrap_or(self.applied)
    }

    /// The driver's state is given: the log below is let go.
    pub(crate) fn compact_to_snapshot(&mut self, next_instance: Instance, state: Vec<u8>) {
        if next_instance <= self.compaction_point || next_instance > self.applied {
            return;
        }
        self.keep_snapshot(next_instance, state);
    }

    /// A peer's snapshot, for a replica that is behind that peer's compaction point.
    pub(crate) fn on_snapshot(&mut self, next_instance: Instance, state: Vec<u8>) {
        if next_instance <= self.applied {
            return;
        }
        self.applied = next_instance;
        self.keep_snapshot(next_instance, state.clone());
        self.effects.push(Effect::InstallSnapshot {
            next_instance,
            state,
        });
        self.skip_own_below(next_instance);
        // Own suggestions below may have been chosen or lost; the state machine drops a repeat.
        let passed = self
            .own_suggestions
            .range(..next_instance)
            .map(|(instance, _)| *instance);
        let passed: Vec<Instance> = passed.collect();
        for instance in passed {
            self.hand_back(instance);
        }
        self.apply_ready();
    }

    fn keep_snapshot(&mut self, next_instance: Instance, state: Vec<u8>) {
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

    /// The whole state as writes: what a compacted disk holds.
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

    /// Takes a write back from the disk.
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

    /// After a restart: own unused instances below the kept index are skipped, suggestions without
    /// a known outcome are taken up again under their old instance.
    pub(crate) fn resume(&mut self) {
        let own = self.log_of(self.replica_id);
        let open = own
            .accepted
            .iter()
            .filter(|(instance, _)| own.outcome(**instance).is_none());
        let open: Vec<(Instance, Value)> = open
            .map(|(instance, accepted)| (*instance, accepted.value.clone()))
            .collect();
        self.skip_unused_between(&open);
        let replica_id = self.replica_id;
        let suggested = open.into_iter().map(|(instance, value)| {
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

    /// Skips the own instances below the index that hold no open suggestion.
    fn skip_unused_between(&mut self, open: &[(Instance, Value)]) {
        // The instances of an earlier disk of this replica are not this disk's to call skipped.
        let first = self.compaction_point.max(self.voting_range_start);
        let starts = once(first).chain(open.iter().map(|(instance, _)| instance + 1));
        let ends = open
            .iter()
            .map(|(instance, _)| *instance)
            .chain(once(self.index));
        for (start, end) in starts.zip(ends) {
            self.log_of_mut(self.replica_id).skip(start, end);
        }
    }
}

/// What is known of one coordinator's instances, as writes.
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
