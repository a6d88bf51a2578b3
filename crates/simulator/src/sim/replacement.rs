//! Seats that change hands in the simulator, as the daemon's driver does it (design 4.4, 9.1).

use super::world::Event;

type Seat = mencius::ReplicaId;

/// Between two askings of an empty disk for its seat.
const ADMISSION_RETRY_US: u64 = 500_000;

impl super::World {
    pub(super) fn replace(&mut self, seat: Seat) {
        self.crash(seat);
        let identity = 1_000 + self.now;
        let node = &mut self.replicas[seat as usize];
        (node.disk_id, node.awaiting_admission) = (identity, true);
        node.disk.clear();
        node.applied.clear();
        node.pinned_disks = (1..=self.plan.replica_count as u64).collect();
        node.state_machine = Default::default();
        self.request_admission(seat, identity, (seat + 1) % self.plan.replica_count);
    }

    /// The empty disk asks one mate after the other for its seat, until it is let in; the log decides.
    pub(super) fn request_admission(&mut self, seat: Seat, identity: u64, helper: Seat) {
        let node = &self.replicas[seat as usize];
        if !node.awaiting_admission || node.disk_id != identity {
            return;
        }
        let (now, next) = (self.now, (helper + 1) % self.plan.replica_count);
        self.schedule(
            now + ADMISSION_RETRY_US,
            Event::RequestAdmission {
                seat,
                identity,
                helper: next,
            },
        );
        let from = self.replicas[helper as usize].pinned_disks[seat as usize];
        let known = self.replicas[helper as usize]
            .state_machine
            .replica_holders
            .get(&seat)
            .is_some_and(|(holder, _)| *holder == identity);
        if helper == seat || known || from == identity || !self.is_running(helper as usize) {
            return;
        }
        let act = model::Operation::ReplaceReplica(model::ReplicaReplacement {
            replica_id: seat,
            old_disk: from,
            new_disk: identity,
        });
        let entry = model::Entry {
            origin: format!("core-{helper}"),
            incarnation: 1,
            sequence: now,
            operation: act,
        };
        self.submit(helper, entry.to_bytes());
    }

    pub(super) fn observe_replacement(&mut self, at_seat: Seat, instance: u64, value: &[u8]) {
        let Some(entry) = model::Entry::from_bytes(value)
            .ok()
            .filter(|entry| matches!(entry.operation, model::Operation::ReplaceReplica(_)))
        else {
            return;
        };
        let node = &mut self.replicas[at_seat as usize];
        node.state_machine
            .apply_at(entry, instance, mencius::VOTING_WINDOW);
        let lost = node
            .state_machine
            .replica_holders
            .get(&at_seat)
            .filter(|(holder, _)| *holder != node.disk_id)
            .map(|(_, after)| *after);
        if let (Some(after), Some(machine)) = (lost, node.replica.as_mut()) {
            machine.step(self.now, mencius::Input::StopVotingAfter(after));
        }
    }

    /// Pushes the log over a pending change, and takes the new disk for the holder once past it.
    pub(super) fn complete_replacement(&mut self, seat: Seat) {
        let node = &mut self.replicas[seat as usize];
        let Some(applied) = node.replica.as_ref().map(mencius::Replica::applied) else {
            return;
        };
        if node.state_machine.replica_holders.is_empty() || self.now < node.last_advance + 100_000 {
            return;
        }
        node.last_advance = self.now;
        let moved: Vec<(Seat, u64)> = node
            .state_machine
            .replica_holders
            .iter()
            .filter(|(other, (holder, after))| {
                **other != seat
                    && *after < applied
                    && node.pinned_disks[**other as usize] != *holder
            })
            .map(|(other, (holder, _))| (*other, *holder))
            .collect();
        let pending = node
            .state_machine
            .replica_holders
            .values()
            .map(|(_, after)| *after)
            .filter(|after| *after >= applied)
            .min();
        moved.into_iter().for_each(|(other, holder)| {
            self.replicas[seat as usize].pinned_disks[other as usize] = holder;
            self.close(seat, other);
        });
        if let Some(after) = pending {
            let leap = after.min(applied + mencius::VOTING_WINDOW / 2);
            self.step_replica(seat, mencius::Input::SkipThrough(leap));
            self.submit(seat, format!("barrier {seat} {}", self.now).into_bytes());
        }
    }

    /// An empty disk starts when a mate knows it for the holder and says after which instance.
    pub(super) fn admit(&mut self, mate: Seat, seat: Seat) {
        let (helper, node) = (&self.replicas[mate as usize], &self.replicas[seat as usize]);
        let known = helper.replica.is_some() && helper.pinned_disks[seat as usize] == node.disk_id;
        let Some((_, after)) = helper
            .state_machine
            .replica_holders
            .get(&seat)
            .copied()
            .filter(|_| node.awaiting_admission && known)
        else {
            return;
        };
        let mut pins = helper.pinned_disks.clone();
        pins[mate as usize] = helper.disk_id;
        let first = mencius::first_instance_of(after + 1, seat, self.plan.replica_count);
        let node = &mut self.replicas[seat as usize];
        (node.awaiting_admission, node.pinned_disks) = (false, pins);
        // Kept together with the holders, before it says anything.
        node.disk.extend([
            mencius::Write::VotingRangeStart(after + 1),
            mencius::Write::Index(first),
        ]);
        self.start(seat);
    }

    pub(super) fn know_each_other(&self, a: Seat, b: Seat) -> bool {
        let (one, two) = (&self.replicas[a as usize], &self.replicas[b as usize]);
        one.pinned_disks[b as usize] == two.disk_id && two.pinned_disks[a as usize] == one.disk_id
    }
}
