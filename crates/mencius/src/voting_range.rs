//! The range of instances in which a disk may vote when another disk takes over a replica (design
//! 4.4; the paper does not cover membership changes).
//!
//! The replacement of a replica's disk takes effect after an instance E that is so far above the
//! instance of the replacement that every replica voting above E has applied the replacement. The
//! old disk votes up to E, the new one after it, so that no instance is decided by two different
//! memberships.

use std::mem::take;

use crate::config::VOTING_WINDOW;
use crate::messages::{Effect, Instance, Message, Write};
use crate::replica::Replica;

impl Replica {
    /// Returns whether this disk may vote in an instance: not where an earlier or later disk of
    /// this replica votes, and not so far ahead that it could have missed the replacement of a
    /// disk.
    pub(crate) fn may_vote(&self, instance: Instance) -> bool {
        instance >= self.voting_range_start
            && instance <= self.voting_range_end
            && instance < self.executed + VOTING_WINDOW
    }

    /// Makes this disk take over the replica after instance `last`; it suggests from its first own
    /// instance above `last`.
    pub(crate) fn start_voting_after(&mut self, last: Instance) {
        if self.voting_range_start > last {
            return;
        }
        self.voting_range_start = last + 1;
        self.batch
            .writes
            .push(Write::VotingRangeStart(self.voting_range_start));
        if self.index <= last {
            // The instances below are not skipped: the earlier disk may have suggested in them.
            self.index = self.first_coordinated_from(self.replica_id, last + 1);
            self.batch.writes.push(Write::Index(self.index));
        }
    }

    /// Ends the voting range at instance `last`, after which another disk votes for this replica. A
    /// replacement below the start of this disk's range was between earlier disks and is only seen
    /// here while catching up; it is ignored.
    pub(crate) fn stop_voting_after(&mut self, last: Instance) {
        if last >= self.voting_range_start {
            self.voting_range_end = self.voting_range_end.min(last);
        }
    }

    /// Records that the disk of some replica is replaced after instance `last`.
    pub(crate) fn members_change_after(&mut self, last: Instance) {
        self.member_changes = self.member_changes.split_off(&self.applied);
        if last >= self.applied {
            self.member_changes.insert(last);
        }
    }

    /// Returns the instance below which a block that this replica revokes must end.
    ///
    /// A block never extends past a replacement: the replaced disk may not vote above it and the
    /// new one not below it, so that neither could answer for the whole block, and without them
    /// there may be no majority. A replica that has not executed the replacement ends its blocks
    /// far below it, as the replacement takes effect a whole voting window above its entry.
    pub(crate) fn block_limit(&self) -> Instance {
        let voting_limit = self.executed + VOTING_WINDOW / 2;
        let next_change = self.member_changes.range(self.applied..).next();
        next_change.map_or(voting_limit, |last| voting_limit.min(last + 1))
    }

    /// Returns the last instance in which this disk may vote, if another disk takes over after it.
    pub fn replaced_after(&self) -> Option<Instance> {
        (self.voting_range_end < Instance::MAX).then_some(self.voting_range_end)
    }

    /// Returns whether all instances in which an earlier disk of this replica may have accepted a
    /// command are applied here. Until then, this replica must not take part in read-index rounds.
    pub(crate) fn has_caught_up(&self) -> bool {
        self.applied >= self.voting_range_start
    }

    /// Returns the deferred commands to the driver once they can be suggested.
    pub(crate) fn return_deferred(&mut self) {
        if !self.deferred.is_empty() && self.may_vote(self.index) {
            self.effects
                .extend(take(&mut self.deferred).into_iter().map(Effect::NotChosen));
        }
    }

    /// Sends a suggestion again to the peers that have not accepted it: they may have been too far
    /// behind to vote.
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
