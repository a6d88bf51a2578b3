//! Learning outcomes, whoever brings them, and applying them in order (design 3.2).

use crate::words::*;

impl crate::Repertory {
    pub(crate) fn receive(&mut self, from: Seat, frame: Frame) {
        self.hear(from);
        let cursor = match &frame.message {
            // These two speak of the channel itself and move the cursor on their own.
            Message::Suggest { .. } | Message::Resync { .. } => None,
            _ => Some(frame.cursor),
        };
        self.handle(from, frame.message);
        if let Some(cursor) = cursor {
            self.advance_cursor(from, cursor, cursor);
        }
        self.apply_ready();
    }

    pub(crate) fn handle(&mut self, from: Seat, message: Message) {
        match message {
            Message::Hello { know, applied } => self.on_hello(from, know, applied),
            Message::Resync { from: start } => self.on_resync(from, start),
            Message::Suggest { instance, value } => self.on_suggest(from, instance, value),
            Message::Accept { instance } => self.on_accept(from, instance),
            Message::Learn { instance } => self.on_learn(from, instance),
            Message::Skip => {}
            Message::Beat { applied } => self.mates[from as usize].applied = applied,
            Message::Prepare { owner, round, block } => self.on_prepare(from, owner, round, block),
            Message::Promise { owner, round, block, commands, voids } => self.on_promise(from, owner, round, block, (commands, voids)),
            Message::Propose { owner, round, block, commands } => self.on_propose(from, owner, round, block, commands),
            Message::Accepted { owner, round, block } => self.on_accepted(from, owner, round, block),
            Message::Refuse { owner, round, block } => self.on_refuse(owner, round, block),
            Message::Chosen { owner, block, commands } => self.on_chosen(owner, block, commands),
            Message::Fetch { from: start } => self.send_run(from, start),
            Message::Run { block, commands } => self.on_run(from, block, commands),
            Message::Snapshot { through, state } => self.on_snapshot(through, state),
            Message::ReadAsk { token } => self.on_read_ask(from, token),
            Message::ReadAnswer { token, highest } => self.on_read_answer(from, token, highest),
        }
        self.apply_ready();
    }

    /// At most one command can ever be proposed in an instance, so any held copy is the one.
    fn on_learn(&mut self, from: Seat, instance: Instance) {
        if instance < self.floor || self.shares[self.owner(instance) as usize].outcome(instance).is_some() {
            return;
        }
        match self.share(instance).accepted.get(&instance).cloned() {
            Some((_, value)) => self.learn_command(instance, value),
            None => {
                let applied = self.applied;
                self.send(from, Message::Fetch { from: applied })
            }
        }
    }

    pub(crate) fn learn_command(&mut self, instance: Instance, value: Value) {
        if instance < self.floor || self.share(instance).outcome(instance).is_some() {
            return;
        }
        self.draft_outcomes.push(Write::Chosen { instance, value: value.clone() });
        self.share(instance).choose(instance, value);
        self.mine.remove(&instance);
        self.refused.remove(&instance);
    }

    pub(crate) fn learn_skip(&mut self, owner: Seat, from: Instance, to: Instance) {
        let from = from.max(self.floor);
        self.shares[owner as usize].skip(from, to);
        if owner == self.seat {
            let lost: Vec<Instance> =
                self.mine.range(from..to.max(from)).map(|(at, _)| *at).filter(|at| self.shares[owner as usize].skipped.get(*at).is_some()).collect();
            lost.into_iter().for_each(|at| self.hand_back(at));
        }
    }

    /// A block of one owner whose outcome somebody knows in full.
    pub(crate) fn on_chosen(&mut self, owner: Seat, block: Block, commands: Commands) {
        let seats = self.seats;
        commands
            .into_iter()
            .filter(|(at, _)| *at >= block.0 && *at < block.1 && at % seats == owner as u64)
            .for_each(|(at, value)| self.learn_command(at, value));
        if owner == self.seat {
            self.leave_block(block);
        }
        self.draft_outcomes.push(Write::Skipped { owner, block });
        self.learn_skip(owner, block.0, block.1);
    }

    fn on_run(&mut self, from: Seat, block: Block, commands: Commands) {
        let more = commands.len() >= crate::resync::RUN_LIMIT;
        commands.into_iter().for_each(|(at, value)| self.learn_command(at, value));
        self.leave_own_below(block.1);
        self.everyone().into_iter().for_each(|owner| self.learn_skip(owner, block.0, block.1));
        self.apply_ready();
        if more {
            let applied = self.applied;
            self.send(from, Message::Fetch { from: applied });
        }
    }

    /// Others already know the outcome of everything below: none of it is left to suggest in.
    pub(crate) fn leave_own_below(&mut self, end: Instance) {
        if end > self.index {
            self.skip_own_to(end - 1);
        }
    }
}
