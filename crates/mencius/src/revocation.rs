//! Rule 3 and Optimization 3: finishing instances on behalf of a silent coordinator (design 3.6).

use crate::messages::*;
use std::collections::BTreeMap;

impl crate::Replica {
    pub(crate) fn back_off_revocation(&mut self, owner: ReplicaId) {
        // Seats that outbid each other on slow machines finish nothing: each waits ever longer, by chance.
        let pause =
            self.config.stall_revoke_after << self.revocation_attempts[owner as usize].min(3);
        let pause = pause + rand::Rng::random_range(&mut self.rng, 0..pause);
        self.revoke_not_before[owner as usize] = self.now + pause;
    }

    /// Phase 1 over one block. The round is unique to this disk and never used twice.
    pub(crate) fn start_revocation(&mut self, owner: ReplicaId, to: Instance) {
        let from = self.coordinator_logs[owner as usize].first_unknown(
            self.first_coordinated_from(owner, self.applied),
            self.replica_count,
        );
        // No further than anybody may vote: after a restart the own index can be far above what is applied.
        let to = to.min(self.applied + VOTING_WINDOW / 2);
        if from >= to {
            return;
        }
        let block = (from, to);
        self.revocation_attempts[owner as usize] += 1;
        self.proposal_counter = self.proposal_counter.max(
            self.coordinator_logs[owner as usize]
                .highest_promised(block)
                .counter,
        ) + 1;
        self.batch_writes
            .push(Write::ProposalCounter(self.proposal_counter));
        let round = ProposalNumber {
            counter: self.proposal_counter,
            disk_id: self.disk_id,
        };
        let revocation = crate::replica::Revocation {
            proposal_number: round,
            block,
            promises: Default::default(),
            proposal: None,
            accepted_by: Default::default(),
            started_at: self.now,
        };
        self.revocations.insert(owner, revocation);
        self.peer_ids().into_iter().for_each(|mate| {
            self.send(
                mate,
                Message::Prepare {
                    coordinator: owner,
                    proposal_number: round,
                    block,
                },
            )
        });
        self.on_prepare(self.replica_id, owner, round, block);
    }

    pub(crate) fn on_promise(
        &mut self,
        from: ReplicaId,
        owner: ReplicaId,
        round: ProposalNumber,
        block: Block,
        report: crate::replica::PromiseReport,
    ) {
        let majority = self.majority();
        let Some(revocation) = self.revocations.get_mut(&owner) else {
            return;
        };
        if revocation.proposal_number != round
            || revocation.block != block
            || revocation.proposal.is_some()
        {
            return;
        }
        revocation.promises.insert(from, report);
        if revocation.promises.len() < majority {
            return;
        }
        let commands = values_to_propose(&revocation.promises);
        revocation.proposal = Some(commands.clone());
        self.peer_ids().into_iter().for_each(|mate| {
            self.send(
                mate,
                Message::Propose {
                    coordinator: owner,
                    proposal_number: round,
                    block,
                    commands: commands.clone(),
                },
            )
        });
        self.on_propose(self.replica_id, owner, round, block, commands);
    }

    pub(crate) fn on_accept_proposal(
        &mut self,
        from: ReplicaId,
        owner: ReplicaId,
        round: ProposalNumber,
        block: Block,
    ) {
        let majority = self.majority();
        let Some(revocation) = self.revocations.get_mut(&owner) else {
            return;
        };
        if revocation.proposal_number != round || revocation.block != block {
            return;
        }
        revocation.accepted_by.insert(from);
        if revocation.accepted_by.len() < majority {
            return;
        }
        let commands = self
            .revocations
            .remove(&owner)
            .and_then(|held| held.proposal)
            .unwrap_or_default();
        self.peer_ids().into_iter().for_each(|mate| {
            self.send(
                mate,
                Message::Chosen {
                    coordinator: owner,
                    block,
                    commands: commands.clone(),
                },
            )
        });
        self.on_chosen(owner, block, commands);
    }

    /// Either a mate holds a higher promise than our revocation, or than our suggestion.
    pub(crate) fn on_reject(&mut self, owner: ReplicaId, round: ProposalNumber, block: Block) {
        self.proposal_counter = self.proposal_counter.max(round.counter);
        let outdone = self
            .revocations
            .get(&owner)
            .is_some_and(|held| held.proposal_number < round && held.block.0 < block.1);
        if outdone {
            self.revocations.remove(&owner);
            self.back_off_revocation(owner);
        }
        if owner == self.replica_id {
            self.rejected.extend(
                self.own_suggestions
                    .range(block.0..block.1)
                    .map(|(at, _)| *at)
                    .collect::<Vec<_>>(),
            );
            self.skip_own_block(block);
        }
    }
}

/// A value that may have been accepted is carried on; the highest round decides (paper 4.2).
fn values_to_propose(reports: &BTreeMap<ReplicaId, crate::replica::PromiseReport>) -> Commands {
    let best = reports
        .values()
        .flat_map(|(commands, _)| commands.iter())
        .fold(
            BTreeMap::<Instance, (ProposalNumber, &Value)>::new(),
            |mut best, (at, round, value)| {
                let held = best.entry(*at).or_insert((*round, value));
                if held.0 < *round {
                    *held = (*round, value);
                }
                best
            },
        );
    let voided = |at: Instance| {
        reports
            .values()
            .flat_map(|(_, voids)| voids.iter())
            .filter(|(from, to, _)| (*from..*to).contains(&at))
            .map(|(_, _, round)| *round)
            .max()
    };
    best.into_iter()
        // In one round a command and a void never meet: the proposal lists its commands.
        .filter(|(at, (round, _))| voided(*at).is_none_or(|void| void <= *round))
        .map(|(at, (_, value))| (at, value.clone()))
        .collect()
}
