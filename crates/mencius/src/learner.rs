//! Learning outcomes, whoever brings them, and applying them in order (design 3.2).

use crate::messages::*;

impl crate::Replica {
    pub(crate) fn on_frame(&mut self, from: ReplicaId, frame: Frame) {
        self.record_contact(from);
        let cursor = match &frame.message {
            // These two speak of the channel itself and move the cursor on their own.
            Message::Suggest { .. } | Message::Resync { .. } => None,
            _ => Some(frame.cursor),
        };
        self.handle_message(from, frame.message);
        if let Some(cursor) = cursor {
            self.advance_cursor(from, cursor, cursor);
        }
        self.apply_ready();
    }

    pub(crate) fn handle_message(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::Hello {
                learned_below: know,
                applied,
            } => self.on_hello(from, know, applied),
            Message::Resync { from: start } => self.on_resync(from, start),
            Message::Suggest { instance, value } => self.on_suggest(from, instance, value),
            Message::Accept { instance } => self.on_accept(from, instance),
            Message::Learn { instance } => self.on_learn(from, instance),
            Message::Skip => {}
            Message::Heartbeat { applied } => self.peers[from as usize].applied = applied,
            Message::Prepare {
                coordinator: owner,
                proposal_number: round,
                block,
            } => self.on_prepare(from, owner, round, block),
            Message::Promise {
                coordinator: owner,
                proposal_number: round,
                block,
                commands,
                accepted_noops: voids,
            } => self.on_promise(from, owner, round, block, (commands, voids)),
            Message::Propose {
                coordinator: owner,
                proposal_number: round,
                block,
                commands,
            } => self.on_propose(from, owner, round, block, commands),
            Message::AcceptProposal {
                coordinator: owner,
                proposal_number: round,
                block,
            } => self.on_accept_proposal(from, owner, round, block),
            Message::Reject {
                coordinator: owner,
                proposal_number: round,
                block,
            } => self.on_reject(owner, round, block),
            Message::Chosen {
                coordinator: owner,
                block,
                commands,
            } => self.on_chosen(owner, block, commands),
            Message::FetchOutcomes { from: start } => self.send_outcomes(from, start),
            Message::Outcomes { block, commands } => self.on_outcomes(from, block, commands),
            Message::Snapshot {
                next_instance: through,
                state,
            } => self.on_snapshot(through, state),
            Message::ReadIndexRequest { token } => self.on_read_index_request(from, token),
            Message::ReadIndexResponse {
                token,
                highest_accepted: highest,
            } => self.on_read_index_response(from, token, highest),
        }
        self.apply_ready();
    }

    /// At most one command can ever be proposed in an instance, so any held copy is the one.
    fn on_learn(&mut self, from: ReplicaId, instance: Instance) {
        if instance < self.compaction_point
            || self.coordinator_logs[self.coordinator(instance) as usize]
                .outcome(instance)
                .is_some()
        {
            return;
        }
        match self
            .coordinator_log_mut(instance)
            .accepted
            .get(&instance)
            .cloned()
        {
            Some((_, value)) => self.learn_command(instance, value),
            None => {
                let applied = self.applied;
                self.send(from, Message::FetchOutcomes { from: applied })
            }
        }
    }

    pub(crate) fn learn_command(&mut self, instance: Instance, value: Value) {
        if instance < self.compaction_point
            || self
                .coordinator_log_mut(instance)
                .outcome(instance)
                .is_some()
        {
            return;
        }
        self.batch_outcomes.push(Write::Chosen {
            instance,
            value: value.clone(),
        });
        self.coordinator_log_mut(instance).choose(instance, value);
        self.own_suggestions.remove(&instance);
        self.rejected.remove(&instance);
    }

    pub(crate) fn learn_skip(&mut self, owner: ReplicaId, from: Instance, to: Instance) {
        let from = from.max(self.compaction_point);
        self.coordinator_logs[owner as usize].skip(from, to);
        if owner == self.replica_id {
            let lost: Vec<Instance> = self
                .own_suggestions
                .range(from..to.max(from))
                .map(|(at, _)| *at)
                .filter(|at| {
                    self.coordinator_logs[owner as usize]
                        .skipped
                        .get(*at)
                        .is_some()
                })
                .collect();
            lost.into_iter().for_each(|at| self.hand_back(at));
        }
    }

    /// A block of one owner whose outcome somebody knows in full.
    pub(crate) fn on_chosen(&mut self, owner: ReplicaId, block: Block, commands: Commands) {
        let seats = self.replica_count;
        commands
            .into_iter()
            .filter(|(at, _)| *at >= block.0 && *at < block.1 && at % seats == owner as u64)
            .for_each(|(at, value)| self.learn_command(at, value));
        if owner == self.replica_id {
            self.skip_own_block(block);
        }
        self.batch_outcomes.push(Write::Skipped {
            coordinator: owner,
            block,
        });
        self.learn_skip(owner, block.0, block.1);
    }

    fn on_outcomes(&mut self, from: ReplicaId, block: Block, commands: Commands) {
        let more = commands.len() >= crate::catch_up::MAX_OUTCOMES_PER_MESSAGE;
        commands
            .into_iter()
            .for_each(|(at, value)| self.learn_command(at, value));
        self.skip_own_below(block.1);
        self.replica_ids()
            .into_iter()
            .for_each(|owner| self.learn_skip(owner, block.0, block.1));
        self.apply_ready();
        if more {
            let applied = self.applied;
            self.send(from, Message::FetchOutcomes { from: applied });
        }
    }

    /// Others already know the outcome of everything below: none of it is left to suggest in.
    pub(crate) fn skip_own_below(&mut self, end: Instance) {
        if end > self.index {
            self.skip_own_through(end - 1);
        }
    }
}
