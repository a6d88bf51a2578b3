//! Revocation, the proposer's side (Rule 3 and Optimization 3): finishing instances on behalf of a
//! coordinator that does not finish them itself (paper 4.2 to 4.4; design 3.6).
//!
//! A revocation runs both phases of Coordinated Paxos over a block of one coordinator's instances,
//! with a proposal number above every promise. Only the coordinator may suggest a command in an
//! instance, so at most one command can have been accepted there; phase 2 proposes this command
//! again.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::coordinator_log::PromiseReport;
use crate::messages::{
    Block, Commands, Instance, Message, ProposalNumber, ReplicaId, Value, Write,
};
use crate::replica::Replica;
use crate::state::{Proposal, Revocation};

/// The maximum number of times that the revocation back-off doubles.
const MAX_BACK_OFF_DOUBLINGS: u32 = 3;

impl Replica {
    /// Handles the responses of the acceptors.
    pub(crate) fn handle_proposer_message(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::Promise {
                coordinator,
                proposal_number,
                block,
                commands,
                accepted_noops,
            } => {
                let proposal = Proposal {
                    coordinator,
                    proposal_number,
                    block,
                };
                self.on_promise(
                    from,
                    proposal,
                    PromiseReport {
                        commands,
                        accepted_noops,
                    },
                )
            }
            Message::AcceptProposal {
                coordinator,
                proposal_number,
                block,
            } => self.on_accept_proposal(
                from,
                Proposal {
                    coordinator,
                    proposal_number,
                    block,
                },
            ),
            Message::Reject {
                coordinator,
                proposal_number,
                block,
            } => self.on_reject(Proposal {
                coordinator,
                proposal_number,
                block,
            }),
            other => debug_assert!(false, "unexpected message for a proposer: {other:?}"),
        }
    }

    /// Delays the next revocation of a coordinator, so that another proposer can finish its own.
    /// Replicas on slow machines that preempt each other make no progress, so the delay is random
    /// and grows exponentially.
    pub(crate) fn back_off_revocation(&mut self, coordinator: ReplicaId) {
        let attempts = self.revocation_attempts[usize::from(coordinator)];
        let pause = self.config.stall_revoke_after << attempts.min(MAX_BACK_OFF_DOUBLINGS);
        let pause = pause + self.rng.random_range(0..pause);
        self.revoke_not_before[usize::from(coordinator)] = self.now + pause;
    }

    /// Starts phase 1 for the coordinator's instances from the first unknown one to below `end`.
    pub(crate) fn start_revocation(&mut self, coordinator: ReplicaId, end: Instance) {
        let start = self.first_unknown_of(coordinator, self.applied);
        // After a restart the own index can be far above the applied instances.
        let end = end.min(self.block_limit());
        if start >= end {
            return;
        }
        let block = (start, end);
        self.revocation_attempts[usize::from(coordinator)] += 1;
        let proposal_number = self.next_proposal_number(coordinator, block);
        let revocation = Revocation {
            proposal_number,
            block,
            promises: BTreeMap::new(),
            proposed_commands: None,
            accepted_by: BTreeSet::new(),
            started_at: self.now,
        };
        self.revocations.insert(coordinator, revocation);
        self.send_to_peers(&Message::Prepare {
            coordinator,
            proposal_number,
            block,
        });
        self.on_prepare(
            self.replica_id,
            Proposal {
                coordinator,
                proposal_number,
                block,
            },
        );
    }

    /// Returns a number above every known promise, unique to this disk and never used twice.
    fn next_proposal_number(&mut self, coordinator: ReplicaId, block: Block) -> ProposalNumber {
        let promised = self.log_of(coordinator).highest_promised(block);
        self.proposal_counter = self.proposal_counter.max(promised.counter) + 1;
        self.batch
            .writes
            .push(Write::ProposalCounter(self.proposal_counter));
        ProposalNumber {
            counter: self.proposal_counter,
            disk_id: self.disk_id,
        }
    }

    /// Records a promise; starts phase 2 once a majority has promised.
    fn on_promise(&mut self, from: ReplicaId, proposal: Proposal, report: PromiseReport) {
        let Proposal {
            coordinator,
            proposal_number,
            block,
        } = proposal;
        let majority = self.majority();
        let Some(revocation) = self.revocations.get_mut(&coordinator) else {
            return;
        };
        if !revocation.matches(proposal) || revocation.proposed_commands.is_some() {
            return;
        }
        revocation.promises.insert(from, report);
        if revocation.promises.len() < majority {
            return;
        }
        let commands = commands_to_propose(&revocation.promises);
        revocation.proposed_commands = Some(commands.clone());
        self.send_to_peers(&Message::Propose {
            coordinator,
            proposal_number,
            block,
            commands: commands.clone(),
        });
        self.on_propose(self.replica_id, proposal, commands);
    }

    /// Records an acceptance; the block is chosen once a majority has accepted.
    fn on_accept_proposal(&mut self, from: ReplicaId, proposal: Proposal) {
        let Proposal {
            coordinator, block, ..
        } = proposal;
        let majority = self.majority();
        let Some(revocation) = self.revocations.get_mut(&coordinator) else {
            return;
        };
        if !revocation.matches(proposal) {
            return;
        }
        revocation.accepted_by.insert(from);
        if revocation.accepted_by.len() < majority {
            return;
        }
        let revocation = self.revocations.remove(&coordinator);
        let commands = revocation
            .and_then(|revocation| revocation.proposed_commands)
            .unwrap_or_default();
        self.send_to_peers(&Message::Chosen {
            coordinator,
            block,
            commands: commands.clone(),
        });
        self.on_chosen(coordinator, block, commands);
    }

    /// Handles a rejection: a peer has promised the number in `proposal`, which is higher than that
    /// of this replica's revocation or suggestion.
    fn on_reject(&mut self, proposal: Proposal) {
        let Proposal {
            coordinator,
            proposal_number,
            block: (start, end),
        } = proposal;
        self.proposal_counter = self.proposal_counter.max(proposal_number.counter);
        let preempted = self
            .revocations
            .get(&coordinator)
            .is_some_and(|revocation| {
                let (revoked_start, _) = revocation.block;
                revocation.proposal_number < proposal_number && revoked_start < end
            });
        if preempted {
            self.revocations.remove(&coordinator);
            self.back_off_revocation(coordinator);
        }
        if coordinator == self.replica_id {
            let suggested = self
                .own_suggestions
                .range(start..end)
                .map(|(instance, _)| *instance);
            self.rejected.extend(suggested);
            self.skip_own_below(end);
        }
    }
}

/// Returns the commands that may have been chosen: for each instance, the command accepted in the
/// highest proposal, unless a higher proposal had no-op there (paper 4.2).
fn commands_to_propose(promises: &BTreeMap<ReplicaId, PromiseReport>) -> Commands {
    let mut highest = BTreeMap::<Instance, (ProposalNumber, &Value)>::new();
    for (instance, proposal_number, value) in promises.values().flat_map(|report| &report.commands)
    {
        let known = highest
            .entry(*instance)
            .or_insert((*proposal_number, value));
        if known.0 < *proposal_number {
            *known = (*proposal_number, value);
        }
    }
    highest
        .into_iter()
        // With equal numbers the command wins: a proposal lists its commands, and only its other
        // instances are no-ops.
        .filter(|(instance, (proposal_number, _))| {
            highest_noop(promises, *instance).is_none_or(|noop| noop <= *proposal_number)
        })
        .map(|(instance, (_, value))| (instance, value.clone()))
        .collect()
}

/// Returns the number of the highest proposal in which no-op is reported as accepted in an
/// instance.
fn highest_noop(
    promises: &BTreeMap<ReplicaId, PromiseReport>,
    instance: Instance,
) -> Option<ProposalNumber> {
    promises
        .values()
        .flat_map(|report| &report.accepted_noops)
        .filter(|(start, end, _)| (*start..*end).contains(&instance))
        .map(|(_, _, proposal_number)| *proposal_number)
        .max()
}
