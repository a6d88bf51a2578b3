//! Applying in order, snapshots, and what a restart finds (design 3.2, 3.8).

use crate::words::*;

impl crate::Repertory {
    pub(crate) fn apply_ready(&mut self) {
        loop {
            let next = self
                .everyone()
                .into_iter()
                .map(|owner| self.shares[owner as usize].first_spoken(self.owned_from(owner, self.applied), self.seats))
                .min()
                .unwrap_or(self.applied);
            // Everything below `next` is no-op: jump, however wide the revoked block was.
            self.applied = self.applied.max(next);
            let owner = self.owner(self.applied);
            match self.shares[owner as usize].chosen.get(&self.applied).cloned() {
                Some(value) => {
                    self.ready.push(Effect::Apply(self.applied, value));
                    self.applied += 1;
                }
                None => break,
            }
        }
        self.finish_reads();
        self.let_go_held_back();
    }

    /// The driver's state through `through` is given: the log below is let go.
    pub(crate) fn keep_snapshot(&mut self, through: Instance, state: Vec<u8>) {
        if through <= self.floor || through > self.applied {
            return;
        }
        self.cut_below(through);
        self.draft_writes.push(Write::Snapshot { through, state: state.clone() });
        self.snapshot = Some((through, state));
        self.afresh = true;
    }

    pub(crate) fn on_snapshot(&mut self, through: Instance, state: Vec<u8>) {
        if through <= self.applied {
            return;
        }
        self.cut_below(through);
        self.applied = through;
        self.draft_writes.push(Write::Snapshot { through, state: state.clone() });
        self.afresh = true;
        self.snapshot = Some((through, state.clone()));
        self.ready.push(Effect::Install { through, state });
        self.leave_own_below(through);
        // Own suggestions below may have been chosen or lost; the state machine drops a repeat.
        let unknown: Vec<Instance> = self.mine.range(..through).map(|(at, _)| *at).collect();
        unknown.into_iter().for_each(|at| self.hand_back(at));
        self.apply_ready();
    }

    fn cut_below(&mut self, through: Instance) {
        self.floor = through;
        self.shares.iter_mut().for_each(|share| share.cut_below(through));
        self.revoking.retain(|_, held| held.block.0 >= through);
    }

    /// The whole state as writes: what a compacted disk holds.
    pub(crate) fn condensed(&self) -> Vec<Write> {
        let head = self.snapshot.iter().map(|(through, state)| Write::Snapshot { through: *through, state: state.clone() });
        let own = [Write::VoteFrom(self.vote_from), Write::Index(self.index), Write::Counter(self.counter)];
        let shares = self.shares.iter().zip(0..).flat_map(|(share, owner): (&crate::Share, Seat)| {
            let promised = share.promised.iter().map(move |(from, to, round)| Write::Promise { owner, block: (from, to), round });
            let void = share.void.iter().map(move |(from, to, round)| Write::Void { owner, block: (from, to), round });
            let accepted = share.accepted.iter().map(|(at, (round, value))| Write::Accept { instance: *at, round: *round, value: value.clone() });
            let chosen = share.chosen.iter().map(|(at, value)| Write::Chosen { instance: *at, value: value.clone() });
            let skipped = share.skipped.iter().map(move |(from, to, ())| Write::Skipped { owner, block: (from, to) });
            promised.chain(void).chain(accepted).chain(chosen).chain(skipped)
        });
        head.chain(own).chain(shares).collect()
    }

    pub(crate) fn absorb(&mut self, write: Write) {
        match write {
            Write::Index(index) => self.index = self.index.max(index),
            Write::VoteFrom(from) => self.vote_from = self.vote_from.max(from),
            Write::Counter(counter) => self.counter = self.counter.max(counter),
            Write::Promise { owner, block, round } => self.shares[owner as usize].promised.set(block.0, block.1, round),
            Write::Accept { instance, round, value } => {
                self.share(instance).accepted.insert(instance, (round, value));
            }
            Write::Void { owner, block, round } => self.shares[owner as usize].void.set(block.0, block.1, round),
            Write::Chosen { instance, value } => {
                self.share(instance).chosen.insert(instance, value);
            }
            Write::Skipped { owner, block } => {
                self.shares[owner as usize].skip(block.0, block.1);
            }
            Write::Snapshot { through, state } => {
                self.cut_below(through);
                self.applied = through;
                self.snapshot = Some((through, state));
            }
        }
    }

    /// After a restart: own unused instances below the kept index are skipped, suggestions
    /// without a known outcome are taken up again under their old instance.
    pub(crate) fn resume(&mut self) {
        let own = self.seat as usize;
        let open: Vec<(Instance, Value)> =
            self.shares[own].accepted.iter().filter(|(at, _)| self.shares[own].outcome(**at).is_none()).map(|(at, (_, value))| (*at, value.clone())).collect();
        // An earlier holder's instances are not this disk's to call skipped.
        let starts = std::iter::once(self.floor.max(self.vote_from)).chain(open.iter().map(|(at, _)| at + 1)).collect::<Vec<_>>();
        let ends = open.iter().map(|(at, _)| *at).chain(std::iter::once(self.index)).collect::<Vec<_>>();
        starts.into_iter().zip(ends).filter(|(from, to)| from < to).for_each(|(from, to)| {
            self.shares[own].skip(from, to);
        });
        let seat = self.seat;
        self.mine = open.into_iter().map(|(at, value)| (at, (value, [seat].into_iter().collect()))).collect();
        if let Some((through, state)) = self.snapshot.clone() {
            self.ready.push(Effect::Install { through, state });
        }
        self.apply_ready();
    }
}
