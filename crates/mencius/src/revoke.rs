//! Rule 3 and Optimization 3: finishing instances on behalf of a silent coordinator (design 3.6).

use crate::words::*;

impl crate::Repertory {
    pub(crate) fn yield_to_revoker(&mut self, owner: Seat) {
        // Seats that outbid each other on slow machines finish nothing: each waits ever longer, by chance.
        let pause = self.tuning.stuck_revoke << self.attempts[owner as usize].min(3);
        let pause = pause + rand::Rng::random_range(&mut self.jitter, 0..pause);
        self.hold[owner as usize] = self.now + pause;
    }

    /// Phase 1 over one block. The round is unique to this disk and never used twice.
    pub(crate) fn start_revocation(&mut self, owner: Seat, to: Instance) {
        let from = self.shares[owner as usize].first_unknown(self.owned_from(owner, self.applied), self.seats);
        // No further than anybody may vote: after a restart the own index can be far above what is applied.
        let to = to.min(self.applied + WINDOW / 2);
        if from >= to {
            return;
        }
        let block = (from, to);
        self.attempts[owner as usize] += 1;
        self.counter = self.counter.max(self.shares[owner as usize].promised_over(block).counter) + 1;
        self.draft_writes.push(Write::Counter(self.counter));
        let round = Round { counter: self.counter, identity: self.identity };
        let revocation =
            crate::machine::Revocation { round, block, reports: Default::default(), proposal: None, accepts: Default::default(), started: self.now };
        self.revoking.insert(owner, revocation);
        self.others().into_iter().for_each(|mate| self.send(mate, Message::Prepare { owner, round, block }));
        self.on_prepare(self.seat, owner, round, block);
    }

    pub(crate) fn on_promise(&mut self, from: Seat, owner: Seat, round: Round, block: Block, report: crate::machine::Report) {
        let majority = self.majority();
        let Some(revocation) = self.revoking.get_mut(&owner) else { return };
        if revocation.round != round || revocation.block != block || revocation.proposal.is_some() {
            return;
        }
        revocation.reports.insert(from, report);
        if revocation.reports.len() < majority {
            return;
        }
        let commands = carried(&revocation.reports);
        revocation.proposal = Some(commands.clone());
        self.others().into_iter().for_each(|mate| self.send(mate, Message::Propose { owner, round, block, commands: commands.clone() }));
        self.on_propose(self.seat, owner, round, block, commands);
    }

    pub(crate) fn on_accepted(&mut self, from: Seat, owner: Seat, round: Round, block: Block) {
        let majority = self.majority();
        let Some(revocation) = self.revoking.get_mut(&owner) else { return };
        if revocation.round != round || revocation.block != block {
            return;
        }
        revocation.accepts.insert(from);
        if revocation.accepts.len() < majority {
            return;
        }
        let commands = self.revoking.remove(&owner).and_then(|held| held.proposal).unwrap_or_default();
        self.others().into_iter().for_each(|mate| self.send(mate, Message::Chosen { owner, block, commands: commands.clone() }));
        self.on_chosen(owner, block, commands);
    }

    /// Either a mate holds a higher promise than our revocation, or than our suggestion.
    pub(crate) fn on_refuse(&mut self, owner: Seat, round: Round, block: Block) {
        self.counter = self.counter.max(round.counter);
        let outdone = self.revoking.get(&owner).is_some_and(|held| held.round < round && held.block.0 < block.1);
        if outdone {
            self.revoking.remove(&owner);
            self.yield_to_revoker(owner);
        }
        if owner == self.seat {
            self.refused.extend(self.mine.range(block.0..block.1).map(|(at, _)| *at).collect::<Vec<_>>());
            self.leave_block(block);
        }
    }
}

/// A value that may have been accepted is carried on; the highest round decides (paper 4.2).
fn carried(reports: &std::collections::BTreeMap<Seat, crate::machine::Report>) -> Commands {
    let best = reports.values().flat_map(|(commands, _)| commands.iter()).fold(
        std::collections::BTreeMap::<Instance, (Round, &Value)>::new(),
        |mut best, (at, round, value)| {
            let held = best.entry(*at).or_insert((*round, value));
            if held.0 < *round {
                *held = (*round, value);
            }
            best
        },
    );
    let voided = |at: Instance| {
        reports.values().flat_map(|(_, voids)| voids.iter()).filter(|(from, to, _)| (*from..*to).contains(&at)).map(|(_, _, round)| *round).max()
    };
    best.into_iter()
        // In one round a command and a void never meet: the proposal lists its commands.
        .filter(|(at, (round, _))| voided(*at).is_none_or(|void| void <= *round))
        .map(|(at, (_, value))| (at, value.clone()))
        .collect()
}
