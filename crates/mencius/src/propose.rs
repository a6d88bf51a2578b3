//! Rules 1, 2 and 4: suggesting and skipping in one's own instances (paper 4.3; design 3.2).

use std::collections::BTreeSet;

use crate::coordinator_log::Outcome;
use crate::messages::{Effect, Instance, Message, ProposalNumber, ReplicaId, Value, Write};
use crate::replica::Replica;
use crate::state::OwnSuggestion;

impl Replica {
    /// Rule 1: suggests a command in the instance that the index stands at. The suggestion is in
    /// the batch, so it is synced before any peer sees it.
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

    /// Rule 2, the receiver's half. The cursor of the frame is not needed: by Optimization 2 the
    /// suggestion itself says that the coordinator's earlier instances are no-ops.
    pub(crate) fn on_suggest(&mut self, from: ReplicaId, instance: Instance, value: Value) {
        // Simple consensus, enforced on receipt: only the coordinator may suggest (paper 4.2).
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

    /// A replica accepted an own suggestion; with a majority the command is chosen.
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

    /// Rule 2: the own unused instances up to and including `last` will never be used.
    pub(crate) fn skip_own_through(&mut self, last: Instance) {
        if last < self.index {
            return;
        }
        let start = self.index;
        self.index = self.first_coordinated_from(self.replica_id, last + 1);
        self.batch.writes.push(Write::Index(self.index));
        self.learn_skip(self.replica_id, start, self.index);
    }

    /// The own instances below `end` are decided or promised away to a higher proposal: none is left
    /// to suggest in (design 3.6).
    pub(crate) fn skip_own_below(&mut self, end: Instance) {
        if end > self.index {
            self.skip_own_through(end - 1);
        }
    }

    /// Optimizations 1 to 3 on the receiving side: what a coordinator's cursor passes over is
    /// no-op. `skipped_below` bounds what becomes no-op, `cursor` is the new cursor.
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

    /// Rule 4 as far as the driver wants it: a command that lost to no-op is suggested again only
    /// for a caller that still waits. One whose caller was answered that it was not taken would
    /// otherwise take effect long after (design 3.2).
    pub(crate) fn hand_back(&mut self, instance: Instance) {
        self.rejected.remove(&instance);
        if let Some(suggestion) = self.own_suggestions.remove(&instance) {
            self.effects.push(Effect::NotChosen(suggestion.value));
        }
    }
}
