//! Time: beats, skip flushing, suspicion, and what is stuck (design 3.6, 3.7).

use crate::messages::*;

impl crate::Replica {
    pub(crate) fn record_contact(&mut self, from: ReplicaId) {
        if from == self.replica_id {
            return;
        }
        let at_most = self.config.max_suspicion_timeout;
        let mate = &mut self.peers[from as usize];
        mate.last_heard = self.now;
        if std::mem::take(&mut mate.suspected) {
            // It was alive after all, or came back: be slower to suspect it next time.
            mate.suspicion_timeout = (mate.suspicion_timeout * 3 / 2).min(at_most);
        }
    }

    pub(crate) fn tick(&mut self) {
        self.excuse_own_pause();
        self.peer_ids().into_iter().for_each(|mate| {
            self.flush_skips(mate);
            self.send_heartbeat(mate);
            self.check_suspicion(mate);
        });
        self.retry_read_round();
        if !self.reads.waiting.is_empty() {
            self.start_read_round();
        }
        self.resolve_stall();
        self.suspected_peers().into_iter().for_each(|mate| {
            // Optimization 3: ahead of need, in blocks.
            let reach = self.config.beta;
            let unknown = self.coordinator_logs[mate as usize].first_unknown(
                self.first_coordinated_from(mate, self.applied),
                self.replica_count,
            );
            if unknown < self.index + reach {
                self.schedule_revocation(mate, self.index + 2 * reach);
            }
        });
        self.revocations
            .retain(|_, held| held.started_at + 4 * 250_000 > self.now);
        self.apply_ready();
    }

    /// A machine that slept must not blame its mates for its own silence.
    fn excuse_own_pause(&mut self) {
        let gap = self.now - self.stalled.2;
        self.stalled.2 = self.now;
        if gap > self.config.initial_suspicion_timeout {
            let now = self.now;
            self.peers.iter_mut().for_each(|mate| {
                mate.last_heard = mate
                    .last_heard
                    .max(now.saturating_sub(self.config.heartbeat_interval))
            });
        }
    }

    /// Accelerator 1.
    fn flush_skips(&mut self, to: ReplicaId) {
        let mate = &self.peers[to as usize];
        let outstanding = self.index.saturating_sub(mate.announced_cursor) / self.replica_count;
        let waited = self.now.saturating_sub(mate.announced_at);
        if outstanding == 0 {
            self.peers[to as usize].announced_at = self.now;
        } else if outstanding > self.config.alpha || waited >= self.config.tau {
            self.send(to, Message::Skip);
            self.peers[to as usize].announced_at = self.now;
        }
    }

    fn send_heartbeat(&mut self, to: ReplicaId) {
        if self.now >= self.peers[to as usize].last_sent + self.config.heartbeat_interval {
            let applied = self.applied;
            self.send(to, Message::Heartbeat { applied });
        }
    }

    fn check_suspicion(&mut self, seat: ReplicaId) {
        let mate = &mut self.peers[seat as usize];
        if !mate.suspected && self.now > mate.last_heard + mate.suspicion_timeout {
            mate.suspected = true;
        }
    }

    /// Something known to exist cannot be applied: first ask, then finish it in a higher round.
    fn resolve_stall(&mut self) {
        let (at, since, _) = self.stalled;
        let waits = self
            .awaited_instance()
            .is_some_and(|wanted| wanted >= self.applied);
        if at != self.applied || !waits {
            self.stalled = (self.applied, self.now, self.stalled.2);
            self.revocation_attempts
                .iter_mut()
                .for_each(|attempts| *attempts = 0);
            return;
        }
        let waited = self.now - since;
        let owner = self.coordinator(self.applied);
        // Ever more slowly: what was asked for may be on its way.
        let every =
            self.config.stall_fetch_after << (waited / (4 * self.config.stall_fetch_after)).min(3);
        if waited >= every && waited % every < 2 * self.config.heartbeat_interval {
            let helpers: Vec<ReplicaId> = self
                .peer_ids()
                .into_iter()
                .filter(|mate| self.peers[*mate as usize].connected)
                .collect();
            let turn = (waited / self.config.stall_fetch_after) as usize;
            let applied = self.applied;
            if let Some(helper) = helpers.get(turn % helpers.len().max(1)) {
                self.send(*helper, Message::FetchOutcomes { from: applied });
            }
        }
        if owner == self.replica_id
            && waited >= every
            && waited % every < self.config.heartbeat_interval
        {
            let at = self.applied;
            self.resend_suggestion(at);
        }
        let hopeless = owner != self.replica_id || self.rejected.contains(&self.applied);
        if waited >= self.config.stall_revoke_after && hopeless {
            self.schedule_revocation(owner, self.index.max(self.applied + 1));
        }
    }

    /// The nearest live seat after the owner goes first; the others leave it time and jitter.
    fn schedule_revocation(&mut self, owner: ReplicaId, to: Instance) {
        if self.revocations.contains_key(&owner)
            || self.now < self.revoke_not_before[owner as usize]
        {
            return;
        }
        let before_me = (1..self.replica_count as ReplicaId)
            .map(|step| (owner + step) % self.replica_count as ReplicaId)
            .take_while(|seat| *seat != self.replica_id)
            .filter(|seat| !self.peers[*seat as usize].suspected)
            .count() as u64;
        if before_me > 0 && self.revoke_not_before[owner as usize] == 0 && owner != self.replica_id
        {
            let pause = rand::Rng::random_range(&mut self.rng, 0..self.config.heartbeat_interval);
            self.revoke_not_before[owner as usize] =
                self.now + before_me * self.config.heartbeat_interval + pause;
            return;
        }
        self.revoke_not_before[owner as usize] = 0;
        self.start_revocation(owner, to);
    }
}
