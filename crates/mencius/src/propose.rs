//! Rules 1, 2 and 4: suggesting commands and skipping in a replica's own instances (paper 4.3;
//! design 3.2).

use std::collections::BTreeSet;

use crate::coordinator_log::Outcome;
use crate::messages::{Effect, Instance, Message, ProposalNumber, ReplicaId, Value, Write};
use crate::replica::Replica;
use crate::state::OwnSuggestion;

impl Replica {
    /// Rule 1: suggests a command in the instance at the index. The suggestion is part of the
    /// batch, so it is synced before it is sent to any peer.
    pub(crate) fn suggest(&mut self, value: Value) {
        if !self.may_vote(self.index) {
            self.deferred.push_back(value);
            return;
        }
        let instance = self.index;
        self.index += self.replica_count;
        self.batch.writes.push(Write::Index(self.index));
        self.accept_suggestion(instance, value.clone());
        let suggestion = OwnSuggestion {
            value: value.clone(),
            accepted_by: BTreeSet::new(),
        };
        self.own_suggestions.insert(instance, suggestion);
        self.send_to_peers(&Message::Suggest { instance, value });
        self.send(self.replica_id, Message::Accept { instance });
    }

    fn accept_suggestion(&mut self, instance: Instance, value: Value) {
        let proposal_number = ProposalNumber::INITIAL;
        let write = Write::Accept {
            instance,
            proposal_number,
            value: value.clone(),
        };
        self.batch.writes.push(write);
        self.log_at_mut(instance)
            .accept(instance, proposal_number, value);
    }

    /// Rule 2, the receiver's side. The cursor of the frame is not needed: by Optimization 2 the
    /// suggestion itself implies that the coordinator's earlier instances without a suggestion are
    /// no-ops.
    pub(crate) fn on_suggest(&mut self, from: ReplicaId, instance: Instance, value: Value) {
        // Simple consensus: only the coordinator may suggest a command (paper 4.2).
        if self.coordinator(instance) != from || instance < self.compaction_point {
            return;
        }
        self.advance_cursor(from, instance, instance + self.replica_count);
        if !self.may_vote(instance) {
            return;
        }
        if let Some(outcome) = self.log_of(from).outcome(instance) {
            let commands = match outcome {
                Outcome::Command(value) => vec![(instance, value.clone())],
                Outcome::NoOp => Vec::new(),
            };
            let block = (instance, instance + 1);
            self.send(
                from,
                Message::Chosen {
                    coordinator: from,
                    block,
                    commands,
                },
            );
            return;
        }
        if let Some(promised) = self.log_of(from).promised.range_at(instance) {
            self.send(
                from,
                Message::Reject {
                    coordinator: from,
                    proposal_number: promised.value,
                    block: (instance, promised.end),
                },
            );
            return;
        }
        self.skip_own_through(instance);
        self.accept_suggestion(instance, value);
        self.send(from, Message::Accept { instance });
    }

    /// Records that a replica accepted an own suggestion; the command is chosen once a majority has
    /// accepted.
    pub(crate) fn on_accept(&mut self, from: ReplicaId, instance: Instance) {
        let majority = self.majority();
        let Some(suggestion) = self.own_suggestions.get_mut(&instance) else {
            return;
        };
        suggestion.accepted_by.insert(from);
        if suggestion.accepted_by.len() < majority {
            return;
        }
        let value = suggestion.value.clone();
        self.send_to_peers(&Message::Learn { instance });
        self.learn_command(instance, value);
    }

    /// Rule 2: skips the own unused instances up to and including `last`.
    pub(crate) fn skip_own_through(&mut self, last: Instance) {
        if last < self.index {
            return;
        }
        let start = self.index;
        self.index = self.first_coordinated_from(self.replica_id, last + 1);
        self.batch.writes.push(Write::Index(self.index));
        self.learn_skip(self.replica_id, start, self.index);
    }

    /// Skips the own instances below `end`. They are decided or promised to a higher proposal, so
    /// that this replica can no longer suggest in them (design 3.6).
    pub(crate) fn skip_own_below(&mut self, end: Instance) {
        if end > self.index {
            self.skip_own_through(end - 1);
        }
    }

    /// Optimizations 1 to 3, the receiver's side: learns no-ops for the instances that a
    /// coordinator's cursor passes, up to below `skipped_below`, and sets the new `cursor`.
    pub(crate) fn advance_cursor(
        &mut self,
        coordinator: ReplicaId,
        skipped_below: Instance,
        cursor: Instance,
    ) {
        let Some(known) = self.log_of(coordinator).cursor else {
            return;
        };
        if skipped_below > known {
            self.learn_skip(coordinator, known, skipped_below);
        }
        self.log_of_mut(coordinator).cursor = Some(known.max(cursor));
    }

    /// Rule 4, left to the driver: returns a command that lost to no-op, which the driver submits
    /// again only if a caller still waits. Without a waiting caller, the command could take effect
    /// long after its caller was informed that it was not accepted (design 3.2).
    pub(crate) fn return_unchosen(&mut self, instance: Instance) {
        self.rejected.remove(&instance);
        if let Some(suggestion) = self.own_suggestions.remove(&instance) {
            self.effects.push(Effect::NotChosen(suggestion.value));
        }
    }
}
