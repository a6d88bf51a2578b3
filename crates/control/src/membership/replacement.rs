//! Replacement of the disk that holds a replica: the old disk stops voting, the log advances past
//! the instance after which the new disk votes, and the new disk is admitted (design 4.4).

use mencius::{Input, Instance, Replica, ReplicaId, VOTING_WINDOW, Write};
use model::{Microseconds, Operation, ReplicaReplacement};
use storage::DiskId;

use crate::replica::command::Members;
use crate::replica::event_loop::ReplicaEventLoop;

#[cfg(test)]
mod tests;

/// Interval between two steps that advance the log towards a pending replacement, in microseconds.
const REPLACEMENT_ADVANCE_INTERVAL: Microseconds = 100_000;

/// Minimum interval between two replacements that this replica submits for empty disks, in
/// microseconds.
const REPLACEMENT_REQUEST_INTERVAL: Microseconds = 500_000;

impl ReplicaEventLoop {
    /// Passes the replacements that the log names to the replicated log, and stops this disk from
    /// voting after the instance from which another disk holds its replica.
    pub(crate) fn enforce_voting_range(&mut self) {
        let holders = self.state_machine.replica_holders.values();
        let last_instances: Vec<Instance> = holders.map(|(_, last)| *last).collect();
        for last_instance in last_instances {
            self.step(model::now(), Input::MembersChangeAfter(last_instance));
        }
        let replica_id = self.handle.replica_id();
        let holder = self.state_machine.replica_holders.get(&replica_id);
        if let Some((disk_id, last_instance)) = holder.copied()
            && disk_id != self.handle.disk_id()
        {
            self.step(model::now(), Input::StopVotingAfter(last_instance));
        }
        if let Some(after) = self.replica.as_ref().and_then(Replica::replaced_after) {
            // The text is shown to operators and is part of the interface.
            self.status.refusal = Some(format!(
                "seat {replica_id} is held by another disk after instance {after}"
            ));
        }
    }

    /// Admits this disk, which is empty and replaces another one, with the members reported by a
    /// peer. This disk does not know the votes of the replaced one, and therefore votes only after
    /// `votes_after`.
    pub(crate) fn admit(&mut self, votes_after: Instance, members: Members) {
        if self.replica.is_some() || !self.restored_writes.is_empty() {
            return;
        }
        let own_id = self.handle.replica_id();
        let peers = members
            .into_iter()
            .filter(|(peer_id, _)| *peer_id != own_id);
        slog::info!(self.handle.logger, "admitted as a member"; "votes_after" => votes_after);
        let range_start = votes_after + 1;
        let first_own =
            mencius::first_instance_of(range_start, own_id, self.handle.replica_count());
        // Stored in one write: a disk that held the record of its peers, but not the start of its
        // voting range, would vote from the first instance on after a restart.
        let writes = vec![
            Write::VotingRangeStart(range_start),
            Write::Index(first_own),
        ];
        self.handle.replace_members(peers.collect(), writes);
    }

    /// Submits the replacement of an unreachable member by an empty disk, and returns whether it
    /// was submitted. The state machine decides whether it takes effect, as for a replacement by an
    /// operator. A disk that ever stored anything does not count as empty, so a replaced disk never
    /// returns by itself.
    pub(crate) fn replacement_requested(
        &mut self,
        now: Microseconds,
        replica_id: ReplicaId,
        new_disk: DiskId,
        same_address: bool,
    ) -> bool {
        let pinned_disk = self.pinned_disks.get(&replica_id).copied();
        let Some(old_disk) = pinned_disk.filter(|pinned| *pinned != new_disk) else {
            return false;
        };
        if !self.may_request_replacement(now, replica_id, same_address) {
            return false;
        }
        self.replacement_requested_at = now;
        slog::warn!(self.handle.logger, "submitting an empty disk to replace an unreachable member";
            "replica_id" => replica_id,
            "old_disk" => old_disk,
            "new_disk" => new_disk);
        self.submit_own(
            now,
            Operation::ReplaceReplica(ReplicaReplacement {
                replica_id,
                old_disk,
                new_disk,
            }),
        );
        true
    }

    /// Returns whether this replica may submit a replacement. Without a majority the entry would
    /// wait in the log and could take effect long after the member is reachable again.
    fn may_request_replacement(
        &self,
        now: Microseconds,
        replica_id: ReplicaId,
        same_address: bool,
    ) -> bool {
        let replace_after = self.handle.config.replace_after;
        let request_interval = replace_after.min(REPLACEMENT_REQUEST_INTERVAL);
        replace_after > 0
            && self.replica.is_some()
            && self.majority_since.is_some()
            && !self.is_being_replaced(replica_id)
            && (same_address || self.is_vacant(now, replica_id))
            && now >= self.replacement_requested_at + request_interval
    }

    /// Returns whether the member that holds a replica has been unreachable for `replace_after`,
    /// and the log names no other disk for the replica yet.
    ///
    /// Only the time in which this replica was connected to a majority counts: before, it may have
    /// been this replica that was unreachable, and members that are only down for a moment could
    /// not be told from the lost one.
    pub(crate) fn is_vacant(&self, now: Microseconds, replica_id: ReplicaId) -> bool {
        let unreachable_since = self.unreachable_since.get(&replica_id);
        let (Some(unreachable_since), Some(majority_since)) =
            (unreachable_since, self.majority_since)
        else {
            return false;
        };
        replica_id != self.handle.replica_id()
            && !self.is_being_replaced(replica_id)
            && now >= majority_since.max(*unreachable_since) + self.handle.config.replace_after
    }

    /// Returns whether the log names a disk for a replica that is not a member yet.
    fn is_being_replaced(&self, replica_id: ReplicaId) -> bool {
        let holder = self.state_machine.replica_holders.get(&replica_id);
        let pinned_disk = self.pinned_disks.get(&replica_id);
        holder.is_some_and(|(disk_id, _)| pinned_disk != Some(disk_id))
    }

    /// Updates the time since which this replica has been connected to a majority.
    pub(crate) fn observe_majority(&mut self, now: Microseconds) {
        let connected = self.connections.len() + 1;
        if connected <= usize::from(self.handle.replica_count() / 2) {
            self.majority_since = None;
        } else if self.majority_since.is_none() {
            self.majority_since = Some(now);
        }
    }

    /// Advances the log towards the next pending replacement, and records the new disks of the
    /// replacements that the log has passed as members.
    pub(crate) fn advance_replacements(&mut self) {
        let now = model::now();
        let Some(applied_below) = self.replica.as_ref().map(Replica::applied) else {
            return;
        };
        if self.state_machine.replica_holders.is_empty()
            || now < self.replacement_advanced_at + REPLACEMENT_ADVANCE_INTERVAL
        {
            return;
        }
        self.replacement_advanced_at = now;
        self.advance_log_towards_replacement(now, applied_below);
        self.record_new_members(now, applied_below);
    }

    /// Skips instances of this replica, at most half a voting window ahead, and submits a barrier,
    /// which makes the other replicas skip their instances below it.
    fn advance_log_towards_replacement(&mut self, now: Microseconds, applied_below: Instance) {
        let holders = self.state_machine.replica_holders.values();
        let last_instances = holders.map(|(_, last_instance)| *last_instance);
        let pending = last_instances.filter(|last_instance| *last_instance >= applied_below);
        if let Some(last_instance) = pending.min() {
            let limit = applied_below + VOTING_WINDOW / 2;
            self.step(now, Input::SkipThrough(last_instance.min(limit)));
            self.submit_own(now, Operation::Barrier);
        }
    }

    fn record_new_members(&mut self, now: Microseconds, applied_below: Instance) {
        let own_id = self.handle.replica_id();
        let mut new_members: Members = Vec::new();
        for (replica_id, (disk_id, last_instance)) in &self.state_machine.replica_holders {
            if *replica_id != own_id
                && *last_instance < applied_below
                && self.pinned_disks.get(replica_id) != Some(disk_id)
            {
                new_members.push((*replica_id, *disk_id));
            }
        }
        if new_members.is_empty() {
            return;
        }
        for (replica_id, _) in &new_members {
            // The new disk has no connection yet. It counts as unreachable from now on, and so has
            // the full time to connect before it may be replaced itself.
            self.unreachable_since.insert(*replica_id, now);
            if self.connections.remove(replica_id).is_some() {
                self.step(now, Input::ConnectionClosed(*replica_id));
            }
        }
        slog::info!(self.handle.logger, "members replaced"; "members" => ?new_members);
        self.handle.replace_members(new_members, Vec::new());
    }

    fn submit_own(&mut self, now: Microseconds, operation: Operation) {
        let entry = self.handle.new_entry(operation).to_bytes();
        self.step(now, Input::Submit(entry));
    }
}
