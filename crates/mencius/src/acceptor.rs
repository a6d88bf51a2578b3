//! The acceptor's side of a higher round (paper 4.2, Revoke; design 3.6).

use crate::words::*;

impl crate::Repertory {
    pub(crate) fn on_prepare(&mut self, from: Seat, owner: Seat, round: Round, block: Block) {
        if from != self.seat {
            self.yield_to_revoker(owner);
        }
        if block.0 < self.floor {
            return self.send_run(from, block.0);
        }
        if !self.may_vote(block.0) || !self.may_vote(block.1 - 1) {
            return;
        }
        let promised = self.shares[owner as usize].promised_over(block);
        if promised >= round {
            return self.send(from, Message::Refuse { owner, round: promised, block });
        }
        self.shares[owner as usize].promised.set(block.0, block.1, round);
        self.draft_writes.push(Write::Promise { owner, block, round });
        if owner == self.seat {
            self.leave_block(block);
        }
        let (commands, voids) = self.shares[owner as usize].report(block);
        self.send(from, Message::Promise { owner, round, block, commands, voids });
    }

    pub(crate) fn on_propose(&mut self, from: Seat, owner: Seat, round: Round, block: Block, commands: Commands) {
        if block.0 < self.floor {
            return self.send_run(from, block.0);
        }
        if !self.may_vote(block.0) || !self.may_vote(block.1 - 1) {
            return;
        }
        let promised = self.shares[owner as usize].promised_over(block);
        if promised > round {
            return self.send(from, Message::Refuse { owner, round: promised, block });
        }
        let share = &mut self.shares[owner as usize];
        share.promised.set(block.0, block.1, round);
        share.void.set(block.0, block.1, round);
        self.draft_writes.push(Write::Promise { owner, block, round });
        self.draft_writes.push(Write::Void { owner, block, round });
        commands.into_iter().for_each(|(instance, value)| {
            self.draft_writes.push(Write::Accept { instance, round, value: value.clone() });
            self.shares[owner as usize].accepted.insert(instance, (round, value));
        });
        if owner == self.seat {
            self.leave_block(block);
        }
        self.send(from, Message::Accepted { owner, round, block });
    }
}
