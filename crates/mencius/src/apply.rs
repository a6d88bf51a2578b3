//! Applying in order, snapshots, and what a restart finds (design 3.2, 3.8).

use crate::messages::*;

impl crate::Replica {
    pub(crate) fn apply_ready(&mut self) {
        loop {
            let next = self
                .replica_ids()
                .into_iter()
                .map(|owner| {
                    self.coordinator_logs[owner as usize].first_not_skipped(
                        self.first_coordinated_from(owner, self.applied),
                        self.replica_count,
                    )
                })
                .min()
                .unwrap_or(self.applied);
            // Everything below `next` is no-op: jump, however wide the revoked block was.
            self.applied = self.applied.max(next);
            let owner = self.coordinator(self.applied);
            match self.coordinator_logs[owner as usize]
                .chosen
                .get(&self.applied)
                .cloned()
            {
                Some(value) => {
                    self.effects.push(Effect::Apply(self.applied, value));
                    self.applied += 1;
                }
                None => break,
            }
        }
        self.complete_reads();
        self.hand_back_deferred();
    }

    /// The driver's state through `through` is given: the log below is let go.
    pub(crate) fn compact_to_snapshot(&mut self, through: Instance, state: Vec<u8>) {
        if through <= self.compaction_point || through > self.applied {
            return;
        }
        self.compact_below(through);
        self.batch_writes.push(Write::Snapshot {
            next_instance: through,
            state: state.clone(),
        });
        self.snapshot = Some((through, state));
        self.replace_journal = true;
    }

    pub(crate) fn on_snapshot(&mut self, through: Instance, state: Vec<u8>) {
        if through <= self.applied {
            return;
        }
        self.compact_below(through);
        self.applied = through;
        self.batch_writes.push(Write::Snapshot {
            next_instance: through,
            state: state.clone(),
        });
        self.replace_journal = true;
        self.snapshot = Some((through, state.clone()));
        self.effects.push(Effect::InstallSnapshot {
            next_instance: through,
            state,
        });
        self.skip_own_below(through);
        // Own suggestions below may have been chosen or lost; the state machine drops a repeat.
        let unknown: Vec<Instance> = self
            .own_suggestions
            .range(..through)
            .map(|(at, _)| *at)
            .collect();
        unknown.into_iter().for_each(|at| self.hand_back(at));
        self.apply_ready();
    }

    fn compact_below(&mut self, through: Instance) {
        self.compaction_point = through;
        self.coordinator_logs
            .iter_mut()
            .for_each(|share| share.compact_below(through));
        self.revocations.retain(|_, held| held.block.0 >= through);
    }

    /// The whole state as writes: what a compacted disk holds.
    pub(crate) fn full_state_writes(&self) -> Vec<Write> {
        let head = self
            .snapshot
            .iter()
            .map(|(through, state)| Write::Snapshot {
                next_instance: *through,
                state: state.clone(),
            });
        let own = [
            Write::VotingRangeStart(self.voting_range_start),
            Write::Index(self.index),
            Write::ProposalCounter(self.proposal_counter),
        ];
        let shares = self.coordinator_logs.iter().zip(0..).flat_map(
            |(share, owner): (&crate::CoordinatorLog, ReplicaId)| {
                let promised = share
                    .promised
                    .iter()
                    .map(move |(from, to, round)| Write::Promise {
                        coordinator: owner,
                        block: (from, to),
                        proposal_number: round,
                    });
                let void =
                    share
                        .accepted_noops
                        .iter()
                        .map(move |(from, to, round)| Write::AcceptNoOps {
                            coordinator: owner,
                            block: (from, to),
                            proposal_number: round,
                        });
                let accepted = share
                    .accepted
                    .iter()
                    .map(|(at, (round, value))| Write::Accept {
                        instance: *at,
                        proposal_number: *round,
                        value: value.clone(),
                    });
                let chosen = share.chosen.iter().map(|(at, value)| Write::Chosen {
                    instance: *at,
                    value: value.clone(),
                });
                let skipped = share
                    .skipped
                    .iter()
                    .map(move |(from, to, ())| Write::Skipped {
                        coordinator: owner,
                        block: (from, to),
                    });
                promised
                    .chain(void)
                    .chain(accepted)
                    .chain(chosen)
                    .chain(skipped)
            },
        );
        head.chain(own).chain(shares).collect()
    }

    pub(crate) fn replay(&mut self, write: Write) {
        match write {
            Write::Index(index) => self.index = self.index.max(index),
            Write::VotingRangeStart(from) => {
                self.voting_range_start = self.voting_range_start.max(from)
            }
            Write::ProposalCounter(counter) => {
                self.proposal_counter = self.proposal_counter.max(counter)
            }
            Write::Promise {
                coordinator: owner,
                block,
                proposal_number: round,
            } => self.coordinator_logs[owner as usize]
                .promised
                .set(block.0, block.1, round),
            Write::Accept {
                instance,
                proposal_number: round,
                value,
            } => {
                self.coordinator_log_mut(instance)
                    .accepted
                    .insert(instance, (round, value));
            }
            Write::AcceptNoOps {
                coordinator: owner,
                block,
                proposal_number: round,
            } => self.coordinator_logs[owner as usize]
                .accepted_noops
                .set(block.0, block.1, round),
            Write::Chosen { instance, value } => {
                self.coordinator_log_mut(instance)
                    .chosen
                    .insert(instance, value);
            }
            Write::Skipped {
                coordinator: owner,
                block,
            } => {
                self.coordinator_logs[owner as usize].skip(block.0, block.1);
            }
            Write::Snapshot {
                next_instance: through,
                state,
            } => {
                self.compact_below(through);
                self.applied = through;
                self.snapshot = Some((through, state));
            }
        }
    }

    /// After a restart: own unused instances below the kept index are skipped, suggestions
    /// without a known outcome are taken up again under their old instance.
    pub(crate) fn resume(&mut self) {
        let own = self.replica_id as usize;
        let open: Vec<(Instance, Value)> = self.coordinator_logs[own]
            .accepted
            .iter()
            .filter(|(at, _)| self.coordinator_logs[own].outcome(**at).is_none())
            .map(|(at, (_, value))| (*at, value.clone()))
            .collect();
        // An earlier holder's instances are not this disk's to call skipped.
        let starts = std::iter::once(self.compaction_point.max(self.voting_range_start))
            .chain(open.iter().map(|(at, _)| at + 1))
            .collect::<Vec<_>>();
        let ends = open
            .iter()
            .map(|(at, _)| *at)
            .chain(std::iter::once(self.index))
            .collect::<Vec<_>>();
        starts
            .into_iter()
            .zip(ends)
            .filter(|(from, to)| from < to)
            .for_each(|(from, to)| {
                self.coordinator_logs[own].skip(from, to);
            });
        let seat = self.replica_id;
        self.own_suggestions = open
            .into_iter()
            .map(|(at, value)| (at, (value, [seat].into_iter().collect())))
            .collect();
        if let Some((through, state)) = self.snapshot.clone() {
            self.effects.push(Effect::InstallSnapshot {
                next_instance: through,
                state,
            });
        }
        self.apply_ready();
    }
}
