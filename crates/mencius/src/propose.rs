//! Rules 1, 2 and 4: suggesting in one's own instances (paper 4.3; design 3.2).

use crate::messages::*;

impl crate::Replica {
    /// Rule 1. The value waits for its sync in the draft before any mate sees it.
    pub(crate) fn suggest(&mut self, value: Value) {
        if self.index < self.voting_range_start || !self.may_vote(self.index) {
            return self.deferred.push_back(value);
        }
        let instance = self.index;
        self.index += self.replica_count;
        self.batch_writes.push(Write::Index(self.index));
        self.batch_writes.push(Write::Accept {
            instance,
            proposal_number: ProposalNumber::INITIAL,
            value: value.clone(),
        });
        self.coordinator_log_mut(instance)
            .accepted
            .insert(instance, (ProposalNumber::INITIAL, value.clone()));
        self.own_suggestions
            .insert(instance, (value.clone(), Default::default()));
        let cursor = self.index;
        self.peer_ids().into_iter().for_each(|mate| {
            self.send_with_cursor(
                mate,
                cursor,
                Message::Suggest {
                    instance,
                    value: value.clone(),
                },
            )
        });
        self.send(self.replica_id, Message::Accept { instance });
    }

    /// Rule 2, the receiver's half. The envelope's cursor is not used: the instance says it all.
    pub(crate) fn on_suggest(&mut self, from: ReplicaId, instance: Instance, value: Value) {
        // Simple consensus, enforced on receipt: only the coordinator may suggest.
        if self.coordinator(instance) != from || instance < self.compaction_point {
            return;
        }
        self.advance_cursor(from, instance, instance + self.replica_count);
        if !self.may_vote(instance) {
            return;
        }
        let known = self.coordinator_logs[from as usize]
            .outcome(instance)
            .map(|outcome| outcome.cloned());
        if let Some(outcome) = known {
            let commands = outcome.into_iter().map(|held| (instance, held)).collect();
            return self.send(
                from,
                Message::Chosen {
                    coordinator: from,
                    block: (instance, instance + 1),
                    commands,
                },
            );
        }
        if let Some((_, to, round)) = self.coordinator_logs[from as usize]
            .promised
            .range_at(instance)
        {
            return self.send(
                from,
                Message::Reject {
                    coordinator: from,
                    proposal_number: round,
                    block: (instance, to),
                },
            );
        }
        self.skip_own_through(instance);
        self.batch_writes.push(Write::Accept {
            instance,
            proposal_number: ProposalNumber::INITIAL,
            value: value.clone(),
        });
        self.coordinator_log_mut(instance)
            .accepted
            .insert(instance, (ProposalNumber::INITIAL, value));
        self.send(from, Message::Accept { instance });
    }

    /// Own unused instances below `past` will never be used.
    pub(crate) fn skip_own_through(&mut self, past: Instance) {
        if past < self.index {
            return;
        }
        let before = self.index;
        self.index = self.first_coordinated_from(self.replica_id, past + 1);
        self.batch_writes.push(Write::Index(self.index));
        let index = self.index;
        self.learn_skip(self.replica_id, before, index);
    }

    pub(crate) fn on_accept(&mut self, from: ReplicaId, instance: Instance) {
        let majority = self.majority();
        let won = self.own_suggestions.get_mut(&instance).map(|(_, seats)| {
            seats.insert(from);
            seats.len() >= majority
        });
        if won != Some(true) {
            return;
        }
        let Some((value, _)) = self.own_suggestions.get(&instance).cloned() else {
            return;
        };
        self.peer_ids()
            .into_iter()
            .for_each(|mate| self.send(mate, Message::Learn { instance }));
        self.learn_command(instance, value);
    }

    /// Optimization 1 to 3 on the receiving side: what the cursor passes over is no-op.
    pub(crate) fn advance_cursor(&mut self, from: ReplicaId, upto: Instance, cursor: Instance) {
        let Some(held) = self.coordinator_logs[from as usize].cursor else {
            return;
        };
        if upto > held {
            self.learn_skip(from, held, upto);
        }
        self.coordinator_logs[from as usize].cursor = Some(held.max(cursor));
    }

    /// A block of own instances went to a higher round: never suggest there (design 3.6).
    pub(crate) fn skip_own_block(&mut self, block: Block) {
        if block.1 > self.index {
            self.skip_own_through(block.1 - 1);
        }
    }

    /// Rule 4, as far as the driver wants it: a suggestion that lost to no-op is suggested again only for a caller that
    /// still waits. One whose caller was told that it was not taken would else take effect long after.
    pub(crate) fn hand_back(&mut self, instance: Instance) {
        self.rejected.remove(&instance);
        if let Some((value, _)) = self.own_suggestions.remove(&instance) {
            self.effects.push(Effect::NotChosen(value));
        }
    }
}
