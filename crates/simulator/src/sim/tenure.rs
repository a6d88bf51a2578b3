//! Seats that change hands in the simulator, as the daemon's driver does it (design 4.4, 9.1).

use super::world::Event;

type Seat = mencius::ReplicaId;

/// Between two askings of an empty disk for its seat.
const KNOCK_EVERY: u64 = 500_000;

impl super::World {
    pub(super) fn replace(&mut self, seat: Seat) {
        self.crash(seat);
        let identity = 1_000 + self.now;
        let node = &mut self.nodes[seat as usize];
        (node.identity, node.outside) = (identity, true);
        node.disk.clear();
        node.history.clear();
        node.pins = (1..=self.plan.seats as u64).collect();
        node.book = Default::default();
        self.knock(seat, identity, (seat + 1) % self.plan.seats);
    }

    /// The empty disk asks one mate after the other for its seat, until it is let in; the log decides.
    pub(super) fn knock(&mut self, seat: Seat, identity: u64, helper: Seat) {
        let node = &self.nodes[seat as usize];
        if !node.outside || node.identity != identity {
            return;
        }
        let (now, next) = (self.now, (helper + 1) % self.plan.seats);
        self.at(
            now + KNOCK_EVERY,
            Event::Knock {
                seat,
                identity,
                helper: next,
            },
        );
        let from = self.nodes[helper as usize].pins[seat as usize];
        let known = self.nodes[helper as usize]
            .book
            .replica_holders
            .get(&seat)
            .is_some_and(|(holder, _)| *holder == identity);
        if helper == seat || known || from == identity || !self.runs(helper as usize) {
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

    pub(super) fn mind_replacement(&mut self, at_seat: Seat, instance: u64, value: &[u8]) {
        let Some(entry) = model::Entry::from_bytes(value)
            .ok()
            .filter(|entry| matches!(entry.operation, model::Operation::ReplaceReplica(_)))
        else {
            return;
        };
        let node = &mut self.nodes[at_seat as usize];
        node.book.apply_at(entry, instance, mencius::VOTING_WINDOW);
        let lost = node
            .book
            .replica_holders
            .get(&at_seat)
            .filter(|(holder, _)| *holder != node.identity)
            .map(|(_, after)| *after);
        if let (Some(after), Some(machine)) = (lost, node.machine.as_mut()) {
            machine.step(self.now, mencius::Input::StopVotingAfter(after));
        }
    }

    /// Pushes the log over a pending change, and takes the new disk for the holder once past it.
    pub(super) fn hand_over(&mut self, seat: Seat) {
        let node = &mut self.nodes[seat as usize];
        let Some(applied) = node.machine.as_ref().map(mencius::Replica::applied) else {
            return;
        };
        if node.book.replica_holders.is_empty() || self.now < node.leapt + 100_000 {
            return;
        }
        node.leapt = self.now;
        let moved: Vec<(Seat, u64)> = node
            .book
            .replica_holders
            .iter()
            .filter(|(other, (holder, after))| {
                **other != seat && *after < applied && node.pins[**other as usize] != *holder
            })
            .map(|(other, (holder, _))| (*other, *holder))
            .collect();
        let pending = node
            .book
            .replica_holders
            .values()
            .map(|(_, after)| *after)
            .filter(|after| *after >= applied)
            .min();
        moved.into_iter().for_each(|(other, holder)| {
            self.nodes[seat as usize].pins[other as usize] = holder;
            self.close(seat, other);
        });
        if let Some(after) = pending {
            let leap = after.min(applied + mencius::VOTING_WINDOW / 2);
            self.feed(seat, mencius::Input::SkipThrough(leap));
            self.submit(seat, format!("barrier {seat} {}", self.now).into_bytes());
        }
    }

    /// An empty disk starts when a mate knows it for the holder and says after which instance.
    pub(super) fn let_in(&mut self, mate: Seat, seat: Seat) {
        let (helper, node) = (&self.nodes[mate as usize], &self.nodes[seat as usize]);
        let known = helper.machine.is_some() && helper.pins[seat as usize] == node.identity;
        let Some((_, after)) = helper
            .book
            .replica_holders
            .get(&seat)
            .copied()
            .filter(|_| node.outside && known)
        else {
            return;
        };
        let mut pins = helper.pins.clone();
        pins[mate as usize] = helper.identity;
        let first = mencius::first_instance_of(after + 1, seat, self.plan.seats);
        let node = &mut self.nodes[seat as usize];
        (node.outside, node.pins) = (false, pins);
        // Kept together with the holders, before it says anything.
        node.disk.extend([
            mencius::Write::VotingRangeStart(after + 1),
            mencius::Write::Index(first),
        ]);
        self.start(seat);
    }

    pub(super) fn know_each_other(&self, a: Seat, b: Seat) -> bool {
        let (one, two) = (&self.nodes[a as usize], &self.nodes[b as usize]);
        one.pins[b as usize] == two.identity && two.pins[a as usize] == one.identity
    }
}
