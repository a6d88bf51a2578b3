//! Which instances this disk may vote in, when a seat changes hands (design 4.4).

use crate::messages::*;

impl crate::Replica {
    /// Not for the seat's earlier or later holder, and not so far ahead that a change of holders
    /// could have been missed.
    pub(crate) fn may_vote(&self, instance: Instance) -> bool {
        instance >= self.voting_range_start
            && instance <= self.voting_range_end
            && instance < self.executed + VOTING_WINDOW
    }

    /// A new disk in an old seat begins after `upto`, with its first own instance there.
    pub(crate) fn start_voting_after(&mut self, upto: Instance) {
        if self.voting_range_start > upto {
            return;
        }
        self.voting_range_start = upto + 1;
        self.batch_writes
            .push(Write::VotingRangeStart(self.voting_range_start));
        if self.index <= upto {
            // Not skipped by this disk: what the earlier holder did there is not its to say.
            self.index = self.first_coordinated_from(self.replica_id, upto + 1);
            self.batch_writes.push(Write::Index(self.index));
        }
    }

    /// Another disk holds this seat after `upto`. A change below where this disk begins is one between holders before it,
    /// which it hears of while it catches up.
    pub(crate) fn stop_voting_after(&mut self, upto: Instance) {
        if upto >= self.voting_range_start {
            self.voting_range_end = self.voting_range_end.min(upto);
        }
    }

    /// After which instance another disk holds this seat, if one does.
    pub fn replaced_after(&self) -> Option<Instance> {
        (self.voting_range_end < Instance::MAX).then_some(self.voting_range_end)
    }

    /// What a quorum read or a resync may say of the past is only known once the past is.
    pub(crate) fn has_caught_up(&self) -> bool {
        self.applied >= self.voting_range_start
    }

    pub(crate) fn hand_back_deferred(&mut self) {
        if !self.deferred.is_empty() && self.may_vote(self.index) {
            std::mem::take(&mut self.deferred)
                .into_iter()
                .for_each(|value| self.effects.push(Effect::NotChosen(value)));
        }
    }

    /// An own suggestion that lacks a majority is told again to those who have not accepted it:
    /// they may have been too far behind to vote.
    pub(crate) fn resend_suggestion(&mut self, instance: Instance) {
        let Some((value, seats)) = self.own_suggestions.get(&instance).cloned() else {
            return;
        };
        self.peer_ids()
            .into_iter()
            .filter(|seat| !seats.contains(seat))
            .for_each(|seat| {
                self.send_with_cursor(
                    seat,
                    instance + self.replica_count,
                    Message::Suggest {
                        instance,
                        value: value.clone(),
                    },
                );
            });
    }
}
