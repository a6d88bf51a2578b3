//! Which instances this disk may vote in, when another disk takes over a replica (design 4.4; the
//! paper leaves membership open).
//!
//! A change of a replica's disk takes effect after an instance E far enough above the change that
//! whoever votes above E has applied it. The old disk votes up to E, the new one after it, so no
//! instance is decided by two sets of members.

use std::mem::take;

use crate::config::VOTING_WINDOW;
use crate::messages::{Effect, Instance, Message, Write};
use crate::replica::Replica;

impl Replica {
    /// Not where an earlier or later disk of this replica votes, and not so far ahead that a change
    /// of disks could have been missed.
    pub(crate) fn may_vote(&self, instance: Instance) -> bool {
        instance >= self.voting_range_start
            && instance <= self.voting_range_end
            && instance < self.executed + VOTING_WINDOW
    }

    /// This disk takes over the replica after instance `last`, with its first own instance there.
    pub(crate) fn start_voting_after(&mut self, last: Instance) {
        if self.voting_range_start > last {
            return;
        }
        self.voting_range_start = last + 1;
        self.batch
            .writes
            .push(Write::VotingRangeStart(self.voting_range_start));
        if self.index <= last {
            // Not skipped: what the earlier disk did there is not this one's to say.
            self.index = self.first_coordinated_from(self.replica_id, last + 1);
            self.batch.writes.push(Write::Index(self.index));
        }
    }

    /// Another disk votes for this replica after instance `last`. A change below where this disk
    /// begins is one between disks before it, which it hears of while it catches up.
    pub(crate) fn stop_voting_after(&mut self, last: Instance) {
        if last >= self.voting_range_start {
            self.voting_range_end = self.voting_range_end.min(last);
        }
    }

    /// The last instance that this disk may vote in, if another disk takes over after it.
    pub fn replaced_after(&self) -> Option<Instance> {
        (self.voting_range_end < Instance::MAX).then_some(self.voting_range_end)
    }

    /// Whether all that an earlier disk of this replica may have accepted is applied here. Before
    /// that this replica cannot speak for the past in a read.
    pub(crate) fn has_caught_up(&self) -> bool {
        self.applied >= self.voting_range_start
    }

    /// Gives the deferred commands back to the driver once they can be suggested.
    pub(crate) fn hand_back_deferred(&mut self) {
        if !self.deferred.is_empty() && self.may_vote(self.index) {
            self.effects
                .extend(take(&mut self.deferred).into_iter().map(Effect::NotChosen));
        }
    }

    /// Suggests again to those that have not accepted: they may have been too far behind to vote.
    pub(crate) fn resend_suggestion(&mut self, instance: Instance) {
        let Some(suggestion) = self.own_suggestions.get(&instance).cloned() else {
            return;
        };
        let cursor = instance + self.replica_count;
        for peer in self
            .peer_ids()
            .filter(|peer| !suggestion.accepted_by.contains(peer))
        {
            let message = Message::Suggest {
                instance,
                value: suggestion.value.clone(),
            };
            self.send_with_cursor(peer, cursor, message);
        }
    }
}
