//! Dispatch of incoming frames, and learning of outcomes (design 3.2).

use crate::catch_up::is_full;
use crate::messages::{Block, Commands, Frame, Instance, Message, ReplicaId, Value, Write};
use crate::replica::Replica;

impl Replica {
    pub(crate) fn on_frame(&mut self, from: ReplicaId, frame: Frame) {
        self.record_contact(from);
        let cursor = match &frame.message {
            // The handlers of these messages move the cursor themselves.
            Message::Suggest { .. } | Message::Resync { .. } => None,
            _ => Some(frame.cursor),
        };
        self.handle_message(from, frame.message);
        if let Some(cursor) = cursor {
            self.advance_cursor(from, cursor, cursor);
        }
        self.apply_ready();
    }

    /// Handles a message from a peer or from this replica to itself.
    pub(crate) fn handle_message(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::Suggest { instance, value } => self.on_suggest(from, instance, value),
            Message::Accept { instance } => self.on_accept(from, instance),
            Message::Learn { instance } => self.on_learn(from, instance),
            Message::Chosen {
                coordinator,
                block,
                commands,
            } => self.on_chosen(coordinator, block, commands),
            Message::Skip => {}
            Message::Heartbeat { applied } => self.peer_mut(from).applied = applied,
            Message::Prepare { .. } | Message::Propose { .. } => {
                self.handle_acceptor_message(from, message)
            }
            Message::Promise { .. } | Message::AcceptProposal { .. } | Message::Reject { .. } => {
                self.handle_proposer_message(from, message)
            }
            Message::Hello { .. }
            | Message::Resync { .. }
            | Message::FetchOutcomes { .. }
            | Message::Outcomes { .. }
            | Message::Snapshot { .. } => self.handle_catch_up_message(from, message),
            Message::ReadIndexRequest { token } => self.on_read_index_request(from, token),
            Message::ReadIndexResponse {
                token,
                highest_accepted,
            } => self.on_read_index_response(from, token, highest_accepted),
        }
        self.apply_ready();
    }

    /// Learns the command accepted here as the chosen one: at most one command can ever be proposed
    /// in an instance (paper 4.2). If none was accepted here, the outcome is fetched.
    fn on_learn(&mut self, from: ReplicaId, instance: Instance) {
        if self.is_learned(instance) {
            return;
        }
        match self.log_at(instance).accepted.get(&instance) {
            Some(accepted) => self.learn_command(instance, accepted.value.clone()),
            None => self.send(from, Message::FetchOutcomes { from: self.applied }),
        }
    }

    fn is_learned(&self, instance: Instance) -> bool {
        instance < self.compaction_point || self.log_at(instance).outcome(instance).is_some()
    }

    pub(crate) fn learn_command(&mut self, instance: Instance, value: Value) {
        if self.is_learned(instance) {
            return;
        }
        self.batch.outcomes.push(Write::Chosen {
            instance,
            value: value.clone(),
        });
        self.log_at_mut(instance).choose(instance, value);
        self.own_suggestions.remove(&instance);
        self.rejected.remove(&instance);
    }

    /// Learns that a coordinator's instances are no-ops, except those with a chosen command.
    pub(crate) fn learn_skip(&mut self, coordinator: ReplicaId, start: Instance, end: Instance) {
        let start = start.max(self.compaction_point);
        self.log_of_mut(coordinator).skip(start, end);
        if coordinator == self.replica_id {
            let skipped = &self.log_of(coordinator).skipped;
            let suggested = self.own_suggestions.range(start..end.max(start));
            let suggested = suggested.map(|(instance, _)| *instance);
            let skipped_suggestions: Vec<Instance> = suggested
                .filter(|instance| skipped.contains(*instance))
                .collect();
            for instance in skipped_suggestions {
                self.return_unchosen(instance);
            }
        }
    }

    /// Learns the outcome of all of one coordinator's instances in a block.
    pub(crate) fn on_chosen(&mut self, coordinator: ReplicaId, block: Block, commands: Commands) {
        let (start, end) = block;
        for (instance, value) in commands {
            if (start..end).contains(&instance) && self.coordinator(instance) == coordinator {
                self.learn_command(instance, value);
            }
        }
        if coordinator == self.replica_id {
            self.skip_own_below(end);
        }
        self.batch
            .outcomes
            .push(Write::Skipped { coordinator, block });
        self.learn_skip(coordinator, start, end);
    }

    /// Learns the outcome of all instances in a block, of all coordinators.
    pub(crate) fn on_outcomes(&mut self, from: ReplicaId, (start, end): Block, commands: Commands) {
        let more_to_fetch = is_full(&commands);
        for (instance, value) in commands {
            self.learn_command(instance, value);
        }
        self.skip_own_below(end);
        for coordinator in self.replica_ids() {
            self.learn_skip(coordinator, start, end);
        }
        self.apply_ready();
        if more_to_fetch {
            self.send(from, Message::FetchOutcomes { from: self.applied });
        }
    }
}
