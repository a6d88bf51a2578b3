//! Time: beats, skip flushing, suspicion, and what is stuck (design 3.6, 3.7).

use crate::words::*;

impl crate::Repertory {
    pub(crate) fn hear(&mut self, from: Seat) {
        if from == self.seat {
            return;
        }
        let at_most = self.tuning.suspect_at_most;
        let mate = &mut self.mates[from as usize];
        mate.heard = self.now;
        if std::mem::take(&mut mate.suspected) {
            // It was alive after all, or came back: be slower to suspect it next time.
            mate.patience = (mate.patience * 3 / 2).min(at_most);
        }
    }

    pub(crate) fn tick(&mut self) {
        self.notice_own_pause();
        self.others().into_iter().for_each(|mate| {
            self.flush_skips(mate);
            self.beat(mate);
            self.suspect(mate);
        });
        self.repeat_read();
        if !self.reads.waiting.is_empty() {
            self.start_read();
        }
        self.unstick();
        self.suspects().into_iter().for_each(|mate| {
            // Optimization 3: ahead of need, in blocks.
            let reach = self.tuning.beta;
            let unknown = self.shares[mate as usize].first_unknown(self.owned_from(mate, self.applied), self.seats);
            if unknown < self.index + reach {
                self.revoke(mate, self.index + 2 * reach);
            }
        });
        self.revoking.retain(|_, held| held.started + 4 * 250_000 > self.now);
        self.apply_ready();
    }

    /// A machine that slept must not blame its mates for its own silence.
    fn notice_own_pause(&mut self) {
        let gap = self.now - self.stuck.2;
        self.stuck.2 = self.now;
        if gap > self.tuning.suspect_after {
            let now = self.now;
            self.mates.iter_mut().for_each(|mate| mate.heard = mate.heard.max(now.saturating_sub(self.tuning.beat_every)));
        }
    }

    /// Accelerator 1.
    fn flush_skips(&mut self, to: Seat) {
        let mate = &self.mates[to as usize];
        let outstanding = self.index.saturating_sub(mate.told) / self.seats;
        let waited = self.now.saturating_sub(mate.told_at);
        if outstanding == 0 {
            self.mates[to as usize].told_at = self.now;
        } else if outstanding > self.tuning.alpha || waited >= self.tuning.tau {
            self.send(to, Message::Skip);
            self.mates[to as usize].told_at = self.now;
        }
    }

    fn beat(&mut self, to: Seat) {
        if self.now >= self.mates[to as usize].sent_at + self.tuning.beat_every {
            let applied = self.applied;
            self.send(to, Message::Beat { applied });
        }
    }

    fn suspect(&mut self, seat: Seat) {
        let mate = &mut self.mates[seat as usize];
        if !mate.suspected && self.now > mate.heard + mate.patience {
            mate.suspected = true;
        }
    }

    /// Something known to exist cannot be applied: first ask, then finish it in a higher round.
    fn unstick(&mut self) {
        let (at, since, _) = self.stuck;
        let waits = self.wanted().is_some_and(|wanted| wanted >= self.applied);
        if at != self.applied || !waits {
            self.stuck = (self.applied, self.now, self.stuck.2);
            self.attempts.iter_mut().for_each(|attempts| *attempts = 0);
            return;
        }
        let waited = self.now - since;
        let owner = self.owner(self.applied);
        // Ever more slowly: what was asked for may be on its way.
        let every = self.tuning.stuck_fetch << (waited / (4 * self.tuning.stuck_fetch)).min(3);
        if waited >= every && waited % every < 2 * self.tuning.beat_every {
            let helpers: Vec<Seat> = self.others().into_iter().filter(|mate| self.mates[*mate as usize].open).collect();
            let turn = (waited / self.tuning.stuck_fetch) as usize;
            let applied = self.applied;
            if let Some(helper) = helpers.get(turn % helpers.len().max(1)) {
                self.send(*helper, Message::Fetch { from: applied });
            }
        }
        if owner == self.seat && waited >= every && waited % every < self.tuning.beat_every {
            let at = self.applied;
            self.tell_again(at);
        }
        let hopeless = owner != self.seat || self.refused.contains(&self.applied);
        if waited >= self.tuning.stuck_revoke && hopeless {
            self.revoke(owner, self.index.max(self.applied + 1));
        }
    }

    /// The nearest live seat after the owner goes first; the others leave it time and jitter.
    fn revoke(&mut self, owner: Seat, to: Instance) {
        if self.revoking.contains_key(&owner) || self.now < self.hold[owner as usize] {
            return;
        }
        let before_me = (1..self.seats as Seat)
            .map(|step| (owner + step) % self.seats as Seat)
            .take_while(|seat| *seat != self.seat)
            .filter(|seat| !self.mates[*seat as usize].suspected)
            .count() as u64;
        if before_me > 0 && self.hold[owner as usize] == 0 && owner != self.seat {
            let pause = rand::Rng::random_range(&mut self.jitter, 0..self.tuning.beat_every);
            self.hold[owner as usize] = self.now + before_me * self.tuning.beat_every + pause;
            return;
        }
        self.hold[owner as usize] = 0;
        self.start_revocation(owner, to);
    }
}
