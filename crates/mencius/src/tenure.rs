//! Which instances this disk may vote in, when a seat changes hands (design 4.4).

use crate::words::*;

impl crate::Repertory {
    /// Not for the seat's earlier or later holder, and not so far ahead that a change of holders
    /// could have been missed.
    pub(crate) fn may_vote(&self, instance: Instance) -> bool {
        instance >= self.vote_from && instance <= self.vote_until && instance < self.carried_out + WINDOW
    }

    /// A new disk in an old seat begins after `upto`, with its first own instance there.
    pub(crate) fn vote_from(&mut self, upto: Instance) {
        if self.vote_from > upto {
            return;
        }
        self.vote_from = upto + 1;
        self.draft_writes.push(Write::VoteFrom(self.vote_from));
        if self.index <= upto {
            // Not skipped by this disk: what the earlier holder did there is not its to say.
            self.index = self.owned_from(self.seat, upto + 1);
            self.draft_writes.push(Write::Index(self.index));
        }
    }

    /// Another disk holds this seat after `upto`. A change below where this disk begins is one between holders before it,
    /// which it hears of while it catches up.
    pub(crate) fn vote_until(&mut self, upto: Instance) {
        if upto >= self.vote_from {
            self.vote_until = self.vote_until.min(upto);
        }
    }

    /// After which instance another disk holds this seat, if one does.
    pub fn superseded_after(&self) -> Option<Instance> {
        (self.vote_until < Instance::MAX).then_some(self.vote_until)
    }

    /// What a quorum read or a resync may say of the past is only known once the past is.
    pub(crate) fn knows_its_past(&self) -> bool {
        self.applied >= self.vote_from
    }

    pub(crate) fn let_go_held_back(&mut self) {
        if !self.held_back.is_empty() && self.may_vote(self.index) {
            std::mem::take(&mut self.held_back).into_iter().for_each(|value| self.ready.push(Effect::Overruled(value)));
        }
    }

    /// An own suggestion that lacks a majority is told again to those who have not accepted it:
    /// they may have been too far behind to vote.
    pub(crate) fn tell_again(&mut self, instance: Instance) {
        let Some((value, seats)) = self.mine.get(&instance).cloned() else { return };
        self.others().into_iter().filter(|seat| !seats.contains(seat)).for_each(|seat| {
            self.send_at(seat, instance + self.seats, Message::Suggest { instance, value: value.clone() });
        });
    }
}
