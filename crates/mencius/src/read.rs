//! The quorum read: ask a majority for the highest accepted command, commit through it (design 3.9).

use crate::words::*;

#[derive(Clone, Debug, Default)]
pub(crate) struct Reads {
    pub tokens: ReadToken,
    /// Asked since the round under way set out; they need a round of their own.
    pub waiting: Vec<ReadToken>,
    pub round: Option<crate::machine::ReadRound>,
    /// A majority has answered; what remains is to apply through the instance named.
    pub settled: Vec<(Option<Instance>, Vec<ReadToken>)>,
}

impl crate::Repertory {
    pub(crate) fn read(&mut self, token: ReadToken) {
        self.reads.waiting.push(token);
        self.start_read();
    }

    pub(crate) fn start_read(&mut self) {
        if self.reads.round.is_some() || self.reads.waiting.is_empty() || !self.knows_its_past() {
            return;
        }
        self.reads.tokens += 1;
        let token = self.reads.tokens;
        let asked_by = std::mem::take(&mut self.reads.waiting);
        self.reads.round = Some(crate::machine::ReadRound { token, asked_by, answers: Default::default(), started: self.now });
        self.others().into_iter().for_each(|mate| self.send(mate, Message::ReadAsk { token }));
        let highest = self.highest();
        self.on_read_answer(self.seat, token, highest);
    }

    /// Asked again on a fresh channel, or when the answers were lost with one.
    pub(crate) fn repeat_read(&mut self) {
        let stale = self.reads.round.as_ref().is_some_and(|round| self.now >= round.started + self.tuning.stuck_fetch);
        if !stale {
            return;
        }
        if let Some(round) = self.reads.round.as_mut() {
            round.started = self.now;
        }
        let round = self.reads.round.as_ref().map(|round| (round.token, round.answers.keys().copied().collect::<Vec<_>>()));
        if let Some((token, answered)) = round {
            self.others().into_iter().filter(|mate| !answered.contains(mate)).for_each(|mate| self.send(mate, Message::ReadAsk { token }));
        }
    }

    pub(crate) fn on_read_ask(&mut self, from: Seat, token: ReadToken) {
        if !self.knows_its_past() {
            return;
        }
        let highest = self.highest();
        self.send(from, Message::ReadAnswer { token, highest });
    }

    pub(crate) fn on_read_answer(&mut self, from: Seat, token: ReadToken, highest: Option<Instance>) {
        let majority = self.majority();
        let answered = self.reads.round.as_mut().filter(|round| round.token == token).map(|round| {
            round.answers.insert(from, highest);
            round.answers.len() >= majority
        });
        if answered != Some(true) {
            return;
        }
        if let Some(round) = self.reads.round.take() {
            let through = round.answers.values().copied().max().flatten();
            self.reads.settled.push((through, round.asked_by));
        }
        self.finish_reads();
        self.start_read();
    }

    pub(crate) fn finish_reads(&mut self) {
        let applied = self.applied;
        let (done, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reads.settled).into_iter().partition(|(through, _)| through.is_none_or(|through| through < applied));
        self.reads.settled = open;
        self.ready.extend(done.into_iter().flat_map(|(_, tokens)| tokens).map(Effect::ReadReady));
    }

    /// Reads of this seat that are not proved yet: waiting for a round, in one, and for instances to be applied.
    pub fn open_reads(&self) -> (usize, usize, Vec<Instance>) {
        let round = self.reads.round.as_ref().map(|round| round.asked_by.len()).unwrap_or(0);
        (self.reads.waiting.len(), round, self.reads.settled.iter().filter_map(|(through, _)| *through).collect())
    }

    /// The furthest instance somebody waits for here; nothing waits when this is not above `applied`.
    pub(crate) fn wanted(&self) -> Option<Instance> {
        self.reads.settled.iter().filter_map(|(through, _)| *through).max().max(self.highest())
    }
}
