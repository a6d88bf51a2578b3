//! The acceptor's side of a revocation (paper 4.2, Revoke; design 3.6).

use crate::catch_up::MAX_OUTCOME_BYTES;
use crate::messages::{Block, Commands, Message, ProposalNumber, ReplicaId, Write};
use crate::replica::Replica;
use crate::state::Proposal;

impl Replica {
    /// Handles the messages that a proposer sends to acceptors.
    pub(crate) fn handle_acceptor_message(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::Prepare {
                coordinator,
                proposal_number,
                block,
            } => self.on_prepare(
                from,
                Proposal {
                    coordinator,
                    proposal_number,
                    block,
                },
            ),
            Message::Propose {
                coordinator,
                proposal_number,
                block,
                commands,
            } => self.on_propose(
                from,
                Proposal {
                    coordinator,
                    proposal_number,
                    block,
                },
                commands,
            ),
            other => debug_assert!(false, "unexpected message for an acceptor: {other:?}"),
        }
    }

    /// Phase 1: promises to accept no proposal with a lower number, and reports what was accepted.
    pub(crate) fn on_prepare(&mut self, from: ReplicaId, proposal: Proposal) {
        let Proposal {
            coordinator,
            proposal_number,
            block,
        } = proposal;
        if from != self.replica_id {
            self.back_off_revocation(coordinator);
        }
        if !self.may_answer(from, block) {
            return;
        }
        let promised = self.log_of(coordinator).highest_promised(block);
        if promised >= proposal_number {
            self.reject(from, proposal, promised);
            return;
        }
        if self.is_behind(from, coordinator, block) {
            self.send_outcomes(from, block.0);
            return;
        }
        self.promise(proposal);
        if coordinator == self.replica_id {
            self.skip_own_below(block.1);
        }
        let report = self.log_of(coordinator).promise_report(block);
        self.send(
            from,
            Message::Promise {
                coordinator,
                proposal_number,
                block,
                commands: report.commands,
                accepted_noops: report.accepted_noops,
            },
        );
    }

    /// Phase 2: accepts no-op for the whole block, except for the commands listed.
    pub(crate) fn on_propose(&mut self, from: ReplicaId, proposal: Proposal, commands: Commands) {
        let Proposal {
            coordinator,
            proposal_number,
            block,
        } = proposal;
        if !self.may_answer(from, block) {
            return;
        }
        let promised = self.log_of(coordinator).highest_promised(block);
        if promised > proposal_number {
            self.reject(from, proposal, promised);
            return;
        }
        self.promise(proposal);
        self.accept_proposal(proposal, commands);
        if coordinator == self.replica_id {
            self.skip_own_below(block.1);
        }
        self.send(
            from,
            Message::AcceptProposal {
                coordinator,
                proposal_number,
                block,
            },
        );
    }

    /// Returns whether this replica may vote in the whole block. A proposer whose block starts
    /// below the compaction point is sent the outcomes instead.
    fn may_answer(&mut self, from: ReplicaId, (start, end): Block) -> bool {
        if start < self.compaction_point {
            self.send_outcomes(from, start);
            return false;
        }
        self.may_vote(start) && self.may_vote(end - 1)
    }

    /// Returns whether a proposer is so far behind that the report of a promise would be too long. It
    /// is sent the outcomes, which are bounded, in place of the promise.
    fn is_behind(&self, from: ReplicaId, coordinator: ReplicaId, block: Block) -> bool {
        from != self.replica_id
            && block.0 < self.applied
            && self.log_of(coordinator).chosen_bytes(block) > MAX_OUTCOME_BYTES
    }

    fn reject(&mut self, to: ReplicaId, proposal: Proposal, promised: ProposalNumber) {
        let Proposal {
            coordinator, block, ..
        } = proposal;
        self.send(
            to,
            Message::Reject {
                coordinator,
                proposal_number: promised,
                block,
            },
        );
    }

    fn promise(&mut self, proposal: Proposal) {
        let Proposal {
            coordinator,
            proposal_number,
            block,
        } = proposal;
        self.log_of_mut(coordinator).promise(block, proposal_number);
        self.batch.writes.push(Write::Promise {
            coordinator,
            block,
            proposal_number,
        });
    }

    fn accept_proposal(&mut self, proposal: Proposal, commands: Commands) {
        let Proposal {
            coordinator,
            proposal_number,
            block,
        } = proposal;
        self.log_of_mut(coordinator)
            .accept_noops(block, proposal_number);
        self.batch.writes.push(Write::AcceptNoOps {
            coordinator,
            block,
            proposal_number,
        });
        for (instance, value) in commands {
            let write = Write::Accept {
                instance,
                proposal_number,
                value: value.clone(),
            };
            self.batch.writes.push(write);
            self.log_of_mut(coordinator)
                .accept(instance, proposal_number, value);
        }
    }
}
