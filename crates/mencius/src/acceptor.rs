//! The acceptor's side of a higher round (paper 4.2, Revoke; design 3.6).

use crate::messages::*;

impl crate::Replica {
    pub(crate) fn on_prepare(
        &mut self,
        from: ReplicaId,
        owner: ReplicaId,
        round: ProposalNumber,
        block: Block,
    ) {
        if from != self.replica_id {
            self.back_off_revocation(owner);
        }
        if block.0 < self.compaction_point {
            return self.send_outcomes(from, block.0);
        }
        if !self.may_vote(block.0) || !self.may_vote(block.1 - 1) {
            return;
        }
        let promised = self.coordinator_logs[owner as usize].highest_promised(block);
        if promised >= round {
            return self.send(
                from,
                Message::Reject {
                    coordinator: owner,
                    proposal_number: promised,
                    block,
                },
            );
        }
        self.coordinator_logs[owner as usize]
            .promised
            .set(block.0, block.1, round);
        self.batch_writes.push(Write::Promise {
            coordinator: owner,
            block,
            proposal_number: round,
        });
        if owner == self.replica_id {
            self.skip_own_block(block);
        }
        let (commands, voids) = self.coordinator_logs[owner as usize].promise_report(block);
        self.send(
            from,
            Message::Promise {
                coordinator: owner,
                proposal_number: round,
                block,
                commands,
                accepted_noops: voids,
            },
        );
    }

    pub(crate) fn on_propose(
        &mut self,
        from: ReplicaId,
        owner: ReplicaId,
        round: ProposalNumber,
        block: Block,
        commands: Commands,
    ) {
        if block.0 < self.compaction_point {
            return self.send_outcomes(from, block.0);
        }
        if !self.may_vote(block.0) || !self.may_vote(block.1 - 1) {
            return;
        }
        let promised = self.coordinator_logs[owner as usize].highest_promised(block);
        if promised > round {
            return self.send(
                from,
                Message::Reject {
                    coordinator: owner,
                    proposal_number: promised,
                    block,
                },
            );
        }
        let share = &mut self.coordinator_logs[owner as usize];
        share.promised.set(block.0, block.1, round);
        share.accepted_noops.set(block.0, block.1, round);
        self.batch_writes.push(Write::Promise {
            coordinator: owner,
            block,
            proposal_number: round,
        });
        self.batch_writes.push(Write::AcceptNoOps {
            coordinator: owner,
            block,
            proposal_number: round,
        });
        commands.into_iter().for_each(|(instance, value)| {
            self.batch_writes.push(Write::Accept {
                instance,
                proposal_number: round,
                value: value.clone(),
            });
            self.coordinator_logs[owner as usize]
                .accepted
                .insert(instance, (round, value));
        });
        if owner == self.replica_id {
            self.skip_own_block(block);
        }
        self.send(
            from,
            Message::AcceptProposal {
                coordinator: owner,
                proposal_number: round,
                block,
            },
        );
    }
}
