//! Seats that change hands: the old holder ends, the log moves on, the new one is let in (design 4.4).

use crate::core::Command;
use crate::core_owner::Owner;

/// Between two pushes of the log towards the instance where a seat changes hands.
const PUSH_EVERY: model::Micros = 100_000;

/// Between two askings for a change of holder.
const PAUSE: model::Micros = 500_000;

impl Owner {
    pub(crate) fn pins_changed(&mut self) {
        self.state.met = self.pins.len();
        self.core.pins.store(std::sync::Arc::new(self.pins.clone()));
        self.start_when_met();
    }

    /// This disk no longer holds its seat after the instance the log names.
    pub(crate) fn mind_tenure(&mut self) {
        let (seat, identity) = self.core.identity();
        let lost = self.book.seats.get(&seat).filter(|(holder, _)| *holder != identity).map(|(_, after)| *after);
        if let Some(after) = lost {
            self.step(model::now(), mencius::Input::VoteUntil(after));
        }
        if let Some(after) = self.machine.as_ref().and_then(mencius::Repertory::superseded_after) {
            self.state.refused = Some(format!("seat {seat} is held by another disk after instance {after}"));
        }
    }

    /// A mate lets this empty disk in: it knows nothing of its seat's past and votes only after it.
    pub(crate) fn admit(&mut self, upto: u64, pins: Vec<(u16, u64)>) {
        if self.machine.is_some() || !self.writes.is_empty() {
            return;
        }
        let (own, _) = self.core.identity();
        let pins: Vec<(u16, u64)> = pins.into_iter().filter(|(seat, _)| *seat != own).collect();
        slog::info!(self.core.logger, "let in to the seat"; "after" => upto);
        // A disk that died between knowing its mates and knowing where it begins would vote from the start.
        let first = mencius::first_own(upto + 1, own, self.core.env.seats);
        self.repin(pins, vec![mencius::Write::VoteFrom(upto + 1), mencius::Write::Index(first)]);
    }

    /// An empty disk asks for a seat whose holder this seat has not heard for long: the log decides, as it
    /// would for an operator. A disk that ever kept something is not empty, so none comes back by itself.
    pub(crate) fn knocked(&mut self, now: model::Micros, seat: u16, identity: u64, same_place: bool) {
        let patience = self.core.env.replace_after;
        let pause = patience.min(PAUSE);
        let holder = self.pins.get(&seat).copied().filter(|holder| *holder != identity);
        let away = same_place || self.away.get(&seat).is_some_and(|since| now >= since + patience);
        let pending = self.book.seats.get(&seat).is_some_and(|(held, _)| *held == identity);
        let Some(from) = holder.filter(|_| patience > 0 && away && !pending && self.machine.is_some() && now >= self.asked_for + pause) else { return };
        self.asked_for = now;
        slog::warn!(self.core.logger, "an empty disk asks for a seat whose holder is away"; "seat" => seat, "holder" => from, "disk" => identity);
        let change = model::Act::Seat(model::SeatChange { seat, from, to: identity });
        let entry = model::entry::to_bytes(&self.core.own_entry(change));
        self.step(now, mencius::Input::Submit(entry));
    }

    fn repin(&self, pins: Vec<(u16, u64)>, writes: Vec<mencius::Write>) {
        let (commands, kept) = (self.core.commands.clone(), (pins.clone(), writes.clone()));
        let done = Box::new(move |fine| {
            if fine {
                drop(commands.blocking_send(Command::Repinned(kept.0, kept.1)));
            }
        });
        drop(self.core.jobs.send(storage::Job::Repin { pins, writes, done }));
    }

    /// Pushes the log over a pending change of hands; past it, the new disk is the seat's holder here.
    pub(crate) fn hand_over(&mut self) {
        let now = model::now();
        let Some(applied) = self.machine.as_ref().map(mencius::Repertory::applied) else { return };
        if self.book.seats.is_empty() || now < self.leapt + PUSH_EVERY {
            return;
        }
        self.leapt = now;
        let (own, _) = self.core.identity();
        let pending = self.book.seats.values().map(|(_, after)| *after).filter(|after| *after >= applied).min();
        if let Some(after) = pending {
            self.step(now, mencius::Input::Leap(after.min(applied + mencius::WINDOW / 2)));
            let barrier = model::entry::to_bytes(&self.core.own_entry(model::Act::Barrier));
            self.step(now, mencius::Input::Submit(barrier));
        }
        let moved: Vec<(u16, u64)> = self
            .book
            .seats
            .iter()
            .filter(|(seat, (holder, after))| **seat != own && *after < applied && self.pins.get(seat) != Some(holder))
            .map(|(seat, (holder, _))| (*seat, *holder))
            .collect();
        if !moved.is_empty() {
            moved.iter().for_each(|(seat, _)| {
                // The new holder has a channel to nobody yet: it is given the time that any holder has before it is replaced.
                self.away.insert(*seat, now);
                if self.conns.remove(seat).is_some() {
                    self.step(now, mencius::Input::Closed(*seat));
                }
            });
            slog::info!(self.core.logger, "seats changed hands"; "seats" => ?moved);
            self.repin(moved, Vec::new());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn started(core: &crate::Core) -> bool {
        // The answer to a word comes after all that was said before it.
        (0..50).for_each(|_| drop(core.commands.try_send(Command::Tick)));
        while core.commands.capacity() < core.commands.max_capacity() {
            tokio::task::yield_now().await;
        }
        (0..1_000).for_each(|_| std::hint::spin_loop());
        tokio::task::yield_now().await;
        core.state.load().started
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn an_empty_disk_that_has_met_all_waits_for_their_first_words() {
        let folder = std::env::temp_dir().join(format!("gradeford-first-words-{}", std::process::id()));
        let env = crate::CoreEnv {
            name: "core-0".into(),
            zone: "z0".into(),
            seat: 0,
            seats: 3,
            address: "127.0.0.1:1".into(),
            seeds: vec!["127.0.0.1:1".into()],
            folder: folder.clone(),
            tuning: Default::default(),
            snapshot_every: 100,
            replace_after: 0,
            charter: None,
        };
        let core = crate::Core::start(env, model::log::quiet()).expect("a core seat");
        let say = async |command| core.commands.send(command).await.expect("the owner is there");
        say(Command::Pinned(1, 11)).await;
        say(Command::Pinned(2, 12)).await;
        say(Command::Founder(1)).await;
        assert!(!started(&core).await, "one mate has not said yet whether this disk is the first in its seat");
        // It is not: all it may vote on lies above what the log names.
        say(Command::Admitted(1_000_000, vec![(1, 11), (2, 12)])).await;
        while !core.state.load().started {
            tokio::task::yield_now().await;
        }
        assert!(core.state.load().index > 1_000_000, "{:?}", core.state.load());
        std::fs::remove_dir_all(folder).expect("clean");
    }
}
