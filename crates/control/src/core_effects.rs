//! What the ordering asks of its driver, and what the owner shows of itself (design 3.2, 3.8).

use crate::core_owner::Owner;

impl Owner {
    pub(crate) fn carry_out_one(&mut self, effect: mencius::Effect) {
        match effect {
            mencius::Effect::Send(seat, frame) => {
                self.state.frames += 1;
                let sent = self.conns.get(&seat).map(|(_, sender)| sender.try_send(transport::Frame::Core(frame)).is_ok());
                if sent == Some(false) {
                    // A mate that does not keep up loses the channel; the next one begins with a resync.
                    self.conns.remove(&seat);
                    self.away.insert(seat, model::now());
                    self.step(model::now(), mencius::Input::Closed(seat));
                }
            }
            mencius::Effect::Persist { ticket, writes, afresh } => {
                drop(self.core.jobs.send(storage::Job::Append { ticket, writes, afresh }));
            }
            mencius::Effect::Apply(instance, value) => self.apply(instance, &value),
            mencius::Effect::Overruled(value) => self.submit_again(value),
            mencius::Effect::Install { state, through } => {
                match crate::bulletin::unpacked(&state) {
                    Some((book, bill)) => {
                        self.book = book;
                        self.bill.install(bill);
                        self.mind_tenure();
                    }
                    None => slog::error!(self.core.logger, "a snapshot does not hold together"; "through" => through),
                }
                self.core.book.store(std::sync::Arc::new(self.book.clone()));
            }
            mencius::Effect::ReadReady(token) => {
                // Followers hear what was applied before the proof that speaks of it.
                self.bill.publish();
                self.bill.proved(token);
                // The reader finds the book at least as new as what it is told.
                self.core.book.store(std::sync::Arc::new(self.book.clone()));
                if let Some(answer) = self.reads.remove(&token) {
                    answer.send(self.book.position).map(|()| 0).unwrap_or_default();
                }
            }
        }
    }

    /// For a caller that still waits. One that was answered, that it is not known to be taken, sends it again itself.
    fn submit_again(&mut self, value: mencius::Value) {
        let Some(entry) = model::entry::from_bytes(&value) else { return };
        let awaited = self.waiting.get(&(entry.origin, entry.life, entry.sequence));
        if awaited.is_some_and(|answers| answers.iter().any(|answer| !answer.is_closed())) {
            self.step(model::now(), mencius::Input::Submit(value));
        }
    }

    fn apply(&mut self, instance: u64, value: &[u8]) {
        let Some(entry) = model::entry::from_bytes(value) else {
            return slog::error!(self.core.logger, "an entry does not hold together"; "instance" => instance);
        };
        let asked = (entry.origin.clone(), entry.life, entry.sequence);
        let outcome = match entry.act {
            model::Act::Bill(act) => self.bill.apply(&asked, act),
            _ => {
                let outcome = self.book.apply_at(entry, instance, mencius::WINDOW);
                self.mind_tenure();
                outcome
            }
        };
        slog::debug!(self.core.logger, "applied"; "instance" => instance, "position" => self.book.position, "origin" => &asked.0, "outcome" => ?outcome);
        self.waiting.remove(&asked).into_iter().flatten().for_each(|answer| drop(answer.send(outcome.clone())));
        self.since_snapshot += 1;
        // Past a change of holders all below it is kept as a state: its instances could be finished only by the disks
        // that may vote there, and one of them is gone (design 4.4).
        let handed_over = self.book.seats.values().any(|(_, after)| (self.snapshot_at..=instance).contains(after));
        if self.since_snapshot >= self.core.env.snapshot_every || handed_over {
            self.since_snapshot = 0;
            self.snapshot_at = instance + 1;
            let state = crate::bulletin::packed(&self.book, &self.bill.bill);
            self.step(model::now(), mencius::Input::Snapshot { through: instance + 1, state });
        }
    }

    pub(crate) fn publish(&mut self) {
        if let Some(machine) = self.machine.as_ref() {
            self.state.started = true;
            self.state.in_touch = machine.in_touch();
            self.state.had_majority |= self.state.in_touch > self.core.seats() as usize / 2;
            self.state.applied = machine.applied();
            self.state.floor = machine.floor();
            (self.state.index, self.state.highest, self.state.open_reads) = (machine.index(), machine.highest(), machine.open_reads());
            self.state.suspects = machine.suspects();
            let (now, patience) = (model::now(), self.core.env.replace_after);
            let vacant = self.away.iter().filter(|(seat, since)| **seat != self.core.env.seat && now >= **since + patience);
            self.state.vacant = vacant.map(|(seat, _)| *seat).collect();
        }
        self.mind_standstill();
        // Askers that gave up are let go.
        self.reads.retain(|_, answer| !answer.is_closed());
        self.waiting.retain(|_, answers| answers.iter().any(|answer| !answer.is_closed()));
        if **self.core.state.load() != self.state {
            self.core.state.store(std::sync::Arc::new(self.state.clone()));
        }
    }

    /// Someone waits, and the log does not move: told now and then, with all that shows why.
    fn mind_standstill(&mut self) {
        let now = model::now();
        let waits = !self.waiting.is_empty() || self.bill.waits();
        if self.stood.0 != self.state.applied || !waits {
            self.stood = (self.state.applied, now);
        }
        if now > self.stood.1 + STANDSTILL {
            self.stood.1 = now;
            slog::warn!(self.core.logger, "the log stands"; "state" => ?self.state, "mates" => self.machine.as_ref().map(mencius::Repertory::mates_told).unwrap_or_default());
        }
    }
}

const STANDSTILL: model::Micros = 2_000_000;
