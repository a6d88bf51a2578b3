//! Replaces replicas in the simulator in the same way as the daemon's driver (design 4.4, 9.1).

use super::world::Event;

type ReplicaId = mencius::ReplicaId;

/// Interval between two requests of a replica with an empty disk for its admission, in microseconds.
const ADMISSION_RETRY_US: u64 = 500_000;

impl super::World {
    /// Destroys the disk of a replica and requests the admission of an empty one.
    pub(super) fn replace(&mut self, replica_id: ReplicaId) {
        self.crash(replica_id);
        let disk_id = 1_000 + self.now;
        self.empty_disk(replica_id, disk_id);
        self.request_admission(
            replica_id,
            disk_id,
            (replica_id + 1) % self.plan.replica_count,
        );
    }

    /// Submits the replacement of a replica's disk while that disk may still be in use, as for a machine that is only down
    /// for a moment. The disk votes up to the end of its range, when `install_successor` puts the new one in its place.
    pub(super) fn supersede(&mut self, replica_id: ReplicaId, helper: ReplicaId) {
        let replica = &mut self.replicas[replica_id as usize];
        let new_disk = 1_000 + self.now;
        replica.successor = Some(new_disk);
        let operation = model::Operation::ReplaceReplica(model::ReplicaReplacement {
            replica_id,
            old_disk: replica.disk_id,
            new_disk,
        });
        self.submit_replacement(helper, operation);
    }

    /// Ends the process of a superseded replica and starts the empty disk that the log names for it.
    pub(super) fn install_successor(&mut self, replica_id: ReplicaId) {
        let Some(disk_id) = self.replicas[replica_id as usize].successor.take() else {
            return;
        };
        self.crash(replica_id);
        self.empty_disk(replica_id, disk_id);
    }

    fn empty_disk(&mut self, replica_id: ReplicaId, disk_id: u64) {
        let replica = &mut self.replicas[replica_id as usize];
        (replica.disk_id, replica.awaiting_admission) = (disk_id, true);
        replica.disk.clear();
        replica.applied.clear();
        replica.pinned_disks = (1..=self.plan.replica_count as u64).collect();
        replica.state_machine = Default::default();
    }

    fn submit_replacement(&mut self, helper: ReplicaId, operation: model::Operation) {
        let entry = model::Entry {
            origin: format!("core-{helper}"),
            incarnation: 1,
            sequence: self.now,
            operation,
        };
        self.submit(helper, entry.to_bytes());
    }

    /// Requests the admission of a replica with an empty disk: asks one peer after the other to submit the replacement, until
    /// the replica is admitted. Of several submitted replacements the log selects one.
    pub(super) fn request_admission(
        &mut self,
        replica_id: ReplicaId,
        disk_id: u64,
        helper: ReplicaId,
    ) {
        let replica = &self.replicas[replica_id as usize];
        if !replica.awaiting_admission || replica.disk_id != disk_id {
            return;
        }
        let (now, next) = (self.now, (helper + 1) % self.plan.replica_count);
        self.schedule(
            now + ADMISSION_RETRY_US,
            Event::RequestAdmission {
                replica_id,
                disk_id,
                helper: next,
            },
        );
        let from = self.replicas[helper as usize].pinned_disks[replica_id as usize];
        let is_admitted = self.replicas[helper as usize]
            .state_machine
            .replica_holders
            .get(&replica_id)
            .is_some_and(|(holder, _)| *holder == disk_id);
        if helper == replica_id
            || is_admitted
            || from == disk_id
            || !self.is_running(helper as usize)
        {
            return;
        }
        let operation = model::Operation::ReplaceReplica(model::ReplicaReplacement {
            replica_id,
            old_disk: from,
            new_disk: disk_id,
        });
        self.submit_replacement(helper, operation);
    }

    /// Applies an entry that replaces a replica. A replica whose disk was replaced stops voting after the instance that the
    /// entry determines.
    pub(super) fn observe_replacement(
        &mut self,
        replica_id: ReplicaId,
        instance: u64,
        value: &[u8],
    ) {
        let Some(entry) = model::Entry::from_bytes(value)
            .ok()
            .filter(|entry| matches!(entry.operation, model::Operation::ReplaceReplica(_)))
        else {
            return;
        };
        let replica = &mut self.replicas[replica_id as usize];
        replica
            .state_machine
            .apply_at(entry, instance, mencius::VOTING_WINDOW);
        let last_instances: Vec<_> = replica
            .state_machine
            .replica_holders
            .values()
            .map(|(_, after)| *after)
            .collect();
        if let Some(running) = replica.running.as_mut() {
            for last in last_instances {
                running.step(self.now, mencius::Input::MembersChangeAfter(last));
            }
        }
        let last_vote = replica
            .state_machine
            .replica_holders
            .get(&replica_id)
            .filter(|(holder, _)| *holder != replica.disk_id)
            .map(|(_, after)| *after);
        if let (Some(after), Some(running)) = (last_vote, replica.running.as_mut()) {
            running.step(self.now, mencius::Input::StopVotingAfter(after));
        }
    }

    /// Advances the log past pending replacements. Accepts the new disk of a replica once the log is past its replacement.
    pub(super) fn complete_replacement(&mut self, replica_id: ReplicaId) {
        let replica = &mut self.replicas[replica_id as usize];
        let Some(applied) = replica.running.as_ref().map(mencius::Replica::applied) else {
            return;
        };
        if replica.state_machine.replica_holders.is_empty()
            || self.now < replica.last_advance + 100_000
        {
            return;
        }
        replica.last_advance = self.now;
        let replaced: Vec<(ReplicaId, u64)> = replica
            .state_machine
            .replica_holders
            .iter()
            .filter(|(other, (holder, after))| {
                **other != replica_id
                    && *after < applied
                    && replica.pinned_disks[**other as usize] != *holder
            })
            .map(|(other, (holder, _))| (*other, *holder))
            .collect();
        let pending = replica
            .state_machine
            .replica_holders
            .values()
            .map(|(_, after)| *after)
            .filter(|after| *after >= applied)
            .min();
        replaced.into_iter().for_each(|(other, holder)| {
            self.replicas[replica_id as usize].pinned_disks[other as usize] = holder;
            self.close(replica_id, other);
        });
        if let Some(after) = pending {
            let target = after.min(applied + mencius::VOTING_WINDOW / 2);
            self.step_replica(replica_id, mencius::Input::SkipThrough(target));
            self.submit(
                replica_id,
                format!("barrier {replica_id} {}", self.now).into_bytes(),
            );
        }
    }

    /// Starts a replica with an empty disk, if the peer accepts that disk and knows after which instance the disk may vote.
    pub(super) fn admit(&mut self, peer: ReplicaId, replica_id: ReplicaId) {
        let (helper, replica) = (
            &self.replicas[peer as usize],
            &self.replicas[replica_id as usize],
        );
        let is_admitted =
            helper.running.is_some() && helper.pinned_disks[replica_id as usize] == replica.disk_id;
        let Some((_, after)) = helper
            .state_machine
            .replica_holders
            .get(&replica_id)
            .copied()
            .filter(|_| replica.awaiting_admission && is_admitted)
        else {
            return;
        };
        let mut pinned_disks = helper.pinned_disks.clone();
        pinned_disks[peer as usize] = helper.disk_id;
        let first = mencius::first_instance_of(after + 1, replica_id, self.plan.replica_count);
        let replica = &mut self.replicas[replica_id as usize];
        (replica.awaiting_admission, replica.pinned_disks) = (false, pinned_disks);
        // Written together with the accepted disks, before the replica sends anything.
        replica.disk.extend([
            mencius::Write::VotingRangeStart(after + 1),
            mencius::Write::Index(first),
        ]);
        self.start(replica_id);
    }

    /// Returns whether each of two replicas accepts the disk of the other one.
    pub(super) fn accept_each_other(&self, a: ReplicaId, b: ReplicaId) -> bool {
        let (one, two) = (&self.replicas[a as usize], &self.replicas[b as usize]);
        one.pinned_disks[b as usize] == two.disk_id && two.pinned_disks[a as usize] == one.disk_id
    }
}
