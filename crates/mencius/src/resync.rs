//! A channel's first words. Implicit skips are sound only on an unbroken channel, so each new
//! one starts by sending again whatever the mate may have missed (paper 4.5; design 3.5).

use crate::words::*;

/// What so many bytes take on a narrow link and a slow processor; less is sent again whenever it is asked for.
const PAUSE: Micros = 100_000;
const PAUSE_BYTES: usize = 32 * 1024;
pub(crate) const RUN_LIMIT: usize = 512;

impl crate::Repertory {
    pub(crate) fn opened(&mut self, mate: Seat) {
        self.mates[mate as usize].open = true;
        self.mates[mate as usize].ran = (0, 0);
        self.shares[mate as usize].cursor = None;
        self.hear(mate);
        let know = self.shares[mate as usize].first_unknown(self.owned_from(mate, self.floor), self.seats);
        let applied = self.applied;
        self.send(mate, Message::Hello { know, applied });
        // A read set out while this mate was away: whoever waits for it need not wait for the next asking.
        let asks = self.reads.round.as_ref().filter(|round| !round.answers.contains_key(&mate)).map(|round| round.token);
        asks.into_iter().for_each(|token| self.send(mate, Message::ReadAsk { token }));
    }

    pub(crate) fn closed(&mut self, mate: Seat) {
        self.mates[mate as usize].open = false;
        self.shares[mate as usize].cursor = None;
        self.draft_frames.retain(|(to, _)| *to != mate);
        if let Some((_, frames)) = self.syncing.as_mut() {
            frames.retain(|(to, _)| *to != mate);
        }
        // Nor what is released and not carried out yet: the next channel may lead to a later life of that seat.
        self.ready.retain(|effect| !matches!(effect, Effect::Send(to, _) if *to == mate));
    }

    pub(crate) fn on_hello(&mut self, from: Seat, know: Instance, applied: Instance) {
        self.mates[from as usize].applied = applied;
        if applied < self.applied {
            self.send_run(from, applied);
        }
        // What an earlier holder of this seat said is not this disk's to tell: others do.
        let start = know.max(self.floor).max(self.vote_from);
        self.send_at(from, start, Message::Resync { from: start });
        let spoken: Vec<(Instance, Value)> = self.shares[self.seat as usize].accepted.range(start..).map(|(at, (_, value))| (*at, value.clone())).collect();
        spoken.into_iter().for_each(|(instance, value)| {
            match self.shares[self.seat as usize].outcome(instance).map(|outcome| outcome.is_some()) {
                Some(true) => {
                    let block = (instance, instance + 1);
                    let commands = vec![(instance, value)];
                    self.send_at(from, instance, Message::Chosen { owner: self.seat, block, commands })
                }
                // A lost suggestion is a no-op like the unused instances around it.
                Some(false) => {}
                None => self.send_at(from, instance + self.seats, Message::Suggest { instance, value }),
            }
        });
        self.send(from, Message::Skip);
    }

    pub(crate) fn on_resync(&mut self, from: Seat, start: Instance) {
        // What lies below and is not known here comes by snapshot or run, never from the cursor.
        self.shares[from as usize].cursor = Some(start);
    }

    /// All outcomes from `start` on, as far as they are known without a gap.
    pub(crate) fn send_run(&mut self, to: Seat, start: Instance) {
        // It may still be on its way: a mate on a narrow link asks often, and must not be sent the same each time.
        if to == self.seat || self.mates[to as usize].ran.0 == start + 1 && self.now < self.mates[to as usize].ran.1 {
            return;
        }
        if let Some((through, state)) = self.snapshot.clone().filter(|_| start < self.floor) {
            self.send(to, Message::Snapshot { through, state });
        }
        let asked = start;
        let start = start.max(self.floor);
        let end = self.applied.max(start);
        let mut commands: Commands = self.shares.iter().flat_map(|share| share.commands_in((start, end))).collect();
        commands.sort_by_key(|(at, _)| *at);
        let cut = commands.get(RUN_LIMIT).map(|(at, _)| *at).unwrap_or(end);
        commands.truncate(RUN_LIMIT);
        let mut bytes: usize = commands.iter().map(|(_, value)| value.len()).sum::<usize>()
            + self.snapshot.as_ref().filter(|(through, _)| *through == start).map(|(_, state)| state.len()).unwrap_or(0);
        if start < cut {
            self.send(to, Message::Run { block: (start, cut), commands });
        }
        // Beyond the gap, each owner's known stretch may still be what the asker lacks.
        self.everyone().into_iter().for_each(|owner| {
            let from = self.owned_from(owner, end);
            let known = self.shares[owner as usize].first_unknown(from, self.seats);
            if from < known && cut == end {
                let commands = self.shares[owner as usize].commands_in((from, known));
                bytes += commands.iter().map(|(_, value)| value.len()).sum::<usize>();
                self.send(to, Message::Chosen { owner, block: (from, known), commands });
            }
        });
        self.mates[to as usize].ran = (asked + 1, self.now + PAUSE * (bytes / PAUSE_BYTES) as Micros);
    }
}
