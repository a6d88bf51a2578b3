//! The quorum read: ask a majority for the highest accepted command, commit through it (design 3.9).

use crate::messages::*;

#[derive(Clone, Debug, Default)]
pub(crate) struct ReadIndexState {
    pub last_token: ReadToken,
    /// Asked since the round under way set out; they need a round of their own.
    pub waiting: Vec<ReadToken>,
    pub current_round: Option<crate::replica::ReadIndexRound>,
    /// A majority has answered; what remains is to apply through the instance named.
    pub confirmed: Vec<(Option<Instance>, Vec<ReadToken>)>,
}

impl crate::Replica {
    pub(crate) fn request_read(&mut self, token: ReadToken) {
        self.reads.waiting.push(token);
        self.start_read_round();
    }

    pub(crate) fn start_read_round(&mut self) {
        if self.reads.current_round.is_some()
            || self.reads.waiting.is_empty()
            || !self.has_caught_up()
        {
            return;
        }
        self.reads.last_token += 1;
        let token = self.reads.last_token;
        let asked_by = std::mem::take(&mut self.reads.waiting);
        self.reads.current_round = Some(crate::replica::ReadIndexRound {
            token,
            requested_by: asked_by,
            responses: Default::default(),
            started_at: self.now,
        });
        self.peer_ids()
            .into_iter()
            .for_each(|mate| self.send(mate, Message::ReadIndexRequest { token }));
        let highest = self.highest_instance();
        self.on_read_index_response(self.replica_id, token, highest);
    }

    /// Asked again on a fresh channel, or when the answers were lost with one.
    pub(crate) fn retry_read_round(&mut self) {
        let stale = self
            .reads
            .current_round
            .as_ref()
            .is_some_and(|round| self.now >= round.started_at + self.config.stall_fetch_after);
        if !stale {
            return;
        }
        if let Some(round) = self.reads.current_round.as_mut() {
            round.started_at = self.now;
        }
        let round = self.reads.current_round.as_ref().map(|round| {
            (
                round.token,
                round.responses.keys().copied().collect::<Vec<_>>(),
            )
        });
        if let Some((token, answered)) = round {
            self.peer_ids()
                .into_iter()
                .filter(|mate| !answered.contains(mate))
                .for_each(|mate| self.send(mate, Message::ReadIndexRequest { token }));
        }
    }

    pub(crate) fn on_read_index_request(&mut self, from: ReplicaId, token: ReadToken) {
        if !self.has_caught_up() {
            return;
        }
        let highest = self.highest_instance();
        self.send(
            from,
            Message::ReadIndexResponse {
                token,
                highest_accepted: highest,
            },
        );
    }

    pub(crate) fn on_read_index_response(
        &mut self,
        from: ReplicaId,
        token: ReadToken,
        highest: Option<Instance>,
    ) {
        let majority = self.majority();
        let answered = self
            .reads
            .current_round
            .as_mut()
            .filter(|round| round.token == token)
            .map(|round| {
                round.responses.insert(from, highest);
                round.responses.len() >= majority
            });
        if answered != Some(true) {
            return;
        }
        if let Some(round) = self.reads.current_round.take() {
            let through = round.responses.values().copied().max().flatten();
            self.reads.confirmed.push((through, round.requested_by));
        }
        self.complete_reads();
        self.start_read_round();
    }

    pub(crate) fn complete_reads(&mut self) {
        let applied = self.applied;
        let (done, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reads.confirmed)
            .into_iter()
            .partition(|(through, _)| through.is_none_or(|through| through < applied));
        self.reads.confirmed = open;
        self.effects.extend(
            done.into_iter()
                .flat_map(|(_, tokens)| tokens)
                .map(Effect::ReadReady),
        );
    }

    /// Reads of this seat that are not proved yet: waiting for a round, in one, and for instances to be applied.
    pub fn pending_reads(&self) -> (usize, usize, Vec<Instance>) {
        let round = self
            .reads
            .current_round
            .as_ref()
            .map(|round| round.requested_by.len())
            .unwrap_or(0);
        (
            self.reads.waiting.len(),
            round,
            self.reads
                .confirmed
                .iter()
                .filter_map(|(through, _)| *through)
                .collect(),
        )
    }

    /// The furthest instance somebody waits for here; nothing waits when this is not above `applied`.
    pub(crate) fn awaited_instance(&self) -> Option<Instance> {
        self.reads
            .confirmed
            .iter()
            .filter_map(|(through, _)| *through)
            .max()
            .max(self.highest_instance())
    }
}
