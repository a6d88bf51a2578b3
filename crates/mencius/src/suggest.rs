//! Rules 1, 2 and 4: suggesting in one's own instances (paper 4.3; design 3.2).

use crate::words::*;

impl crate::Repertory {
    /// Rule 1. The value waits for its sync in the draft before any mate sees it.
    pub(crate) fn suggest(&mut self, value: Value) {
        if self.index < self.vote_from || !self.may_vote(self.index) {
            return self.held_back.push_back(value);
        }
        let instance = self.index;
        self.index += self.seats;
        self.draft_writes.push(Write::Index(self.index));
        self.draft_writes.push(Write::Accept { instance, round: Round::FIRST, value: value.clone() });
        self.share(instance).accepted.insert(instance, (Round::FIRST, value.clone()));
        self.mine.insert(instance, (value.clone(), Default::default()));
        let cursor = self.index;
        self.others().into_iter().for_each(|mate| self.send_at(mate, cursor, Message::Suggest { instance, value: value.clone() }));
        self.send(self.seat, Message::Accept { instance });
    }

    /// Rule 2, the receiver's half. The envelope's cursor is not used: the instance says it all.
    pub(crate) fn on_suggest(&mut self, from: Seat, instance: Instance, value: Value) {
        // Simple consensus, enforced on receipt: only the coordinator may suggest.
        if self.owner(instance) != from || instance < self.floor {
            return;
        }
        self.advance_cursor(from, instance, instance + self.seats);
        if !self.may_vote(instance) {
            return;
        }
        let known = self.shares[from as usize].outcome(instance).map(|outcome| outcome.cloned());
        if let Some(outcome) = known {
            let commands = outcome.into_iter().map(|held| (instance, held)).collect();
            return self.send(from, Message::Chosen { owner: from, block: (instance, instance + 1), commands });
        }
        if let Some((_, to, round)) = self.shares[from as usize].promised.span_at(instance) {
            return self.send(from, Message::Refuse { owner: from, round, block: (instance, to) });
        }
        self.skip_own_to(instance);
        self.draft_writes.push(Write::Accept { instance, round: Round::FIRST, value: value.clone() });
        self.share(instance).accepted.insert(instance, (Round::FIRST, value));
        self.send(from, Message::Accept { instance });
    }

    /// Own unused instances below `past` will never be used.
    pub(crate) fn skip_own_to(&mut self, past: Instance) {
        if past < self.index {
            return;
        }
        let before = self.index;
        self.index = self.owned_from(self.seat, past + 1);
        self.draft_writes.push(Write::Index(self.index));
        let index = self.index;
        self.learn_skip(self.seat, before, index);
    }

    pub(crate) fn on_accept(&mut self, from: Seat, instance: Instance) {
        let majority = self.majority();
        let won = self.mine.get_mut(&instance).map(|(_, seats)| {
            seats.insert(from);
            seats.len() >= majority
        });
        if won != Some(true) {
            return;
        }
        let Some((value, _)) = self.mine.get(&instance).cloned() else { return };
        self.others().into_iter().for_each(|mate| self.send(mate, Message::Learn { instance }));
        self.learn_command(instance, value);
    }

    /// Optimization 1 to 3 on the receiving side: what the cursor passes over is no-op.
    pub(crate) fn advance_cursor(&mut self, from: Seat, upto: Instance, cursor: Instance) {
        let Some(held) = self.shares[from as usize].cursor else { return };
        if upto > held {
            self.learn_skip(from, held, upto);
        }
        self.shares[from as usize].cursor = Some(held.max(cursor));
    }

    /// A block of own instances went to a higher round: never suggest there (design 3.6).
    pub(crate) fn leave_block(&mut self, block: Block) {
        if block.1 > self.index {
            self.skip_own_to(block.1 - 1);
        }
    }

    /// Rule 4, as far as the driver wants it: a suggestion that lost to no-op is suggested again only for a caller that
    /// still waits. One whose caller was told that it was not taken would else take effect long after.
    pub(crate) fn hand_back(&mut self, instance: Instance) {
        self.refused.remove(&instance);
        if let Some((value, _)) = self.mine.remove(&instance) {
            self.ready.push(Effect::Overruled(value));
        }
    }
}
