//! Rule 3 and Optimization 3: finishing instances on behalf of a coordinator that does not (paper
//! 4.2 to 4.4; design 3.6).
//!
//! A revocation runs both phases of Coordinated Paxos over a block of one coordinator's instances,
//! with a number above every promise. Only the coordinator ever proposes a command in an instance,
//! so at most one command can have been accepted there, and it is carried on.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::config::VOTING_WINDOW;
use crate::coordinator_log::PromiseReport;
use crate::messages::{
    Block, Commands, Instance, Message, ProposalNumber, ReplicaId, Value, Write,
};
use crate::replica::Replica;
use crate::state::{Proposal, Revocation};

/// A back-off doubles with each attempt, this many times.
const MAX_BACK_OFF_DOUBLINGS: u32 = 3;

impl Replica {
    /// Takes the answers of the acceptors.
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
            other => debug_assert!(false, "not for a proposer: {other:?}"),
        }
    }

    /// Leaves a coordinator to another revoker for a while. Replicas that outbid each other on slow
    /// machines finish nothing, so each waits ever longer, by chance.
    pub(crate) fn back_off_revocation(&mut self, coordinator: ReplicaId) {
        let attempts = self.revocation_attempts[usize::from(coordinator)];
        let pause = self.config.stall_revoke_after << attempts.min(MAX_BACK_OFF_DOUBLINGS);
        let pause = pause + self.rng.random_range(0..pause);
        self.revoke_not_before[usize::from(coordinator)] = self.now + pause;
    }

    /// Phase 1 over the coordinator's instances from the first unknown one to below `end`.
    pub(crate) fn start_revocation(&mut self, coordinator: ReplicaId, end: Instance) {
        let start = self.first_unknown_of(coordinator, self.applied);
        // No further than anybody may vote: after a restart the own index can be far above what is
        // applied.
        let end = end.min(self.applied + VOTING_WINDOW / 2);
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

    /// A number above every promise known here, unique to this disk and never used twice.
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

    /// With promises of a majority, phase 2 begins.
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
        if !revocation.is_of(proposal) || revocation.proposed_commands.is_some() {
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

    /// With acceptances of a majority, the block is chosen.
    fn on_accept_proposal(&mut self, from: ReplicaId, proposal: Proposal) {
        let Proposal {
            coordinator, block, ..
        } = proposal;
        let majority = self.majority();
        let Some(revocation) = self.revocations.get_mut(&coordinator) else {
            return;
        };
        if !revocation.is_of(proposal) {
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

    /// A peer has promised the number in `proposal`, which is higher than that of this replica's
    /// revocation or suggestion.
    fn on_reject(&mut self, proposal: Proposal) {
        let Proposal {
            coordinator,
            proposal_number,
            block: (start, end),
        } = proposal;
        self.proposal_counter = self.proposal_counter.max(proposal_number.counter);
        let outbid = self
            .revocations
            .get(&coordinator)
            .is_some_and(|revocation| {
                let (revoked_from, _) = revocation.block;
                revocation.proposal_number < proposal_number && revoked_from < end
            });
        if outbid {
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

/// The commands that may have been chosen: in each instance the one accepted in the highest
/// proposal, unless a higher one had no-op there (paper 4.2).
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
        // In one proposal a command and a no-op never meet: it lists its commands.
        .filter(|(instance, (proposal_number, _))| {
            highest_noop(promises, *instance).is_none_or(|noop| noop <= *proposal_number)
        })
        .map(|(instance, (_, value))| (instance, value.clone()))
        .collect()
}

/// The highest proposal in which no-op is reported as accepted in an instance.
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
