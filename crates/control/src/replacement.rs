//! Seats that change hands: the old holder ends, the log moves on, the new one is let in (design 4.4).

use crate::event_loop::ReplicaEventLoop;
use crate::replica::Command;
use std::sync::Arc;

/// Between two pushes of the log towards the instance where a seat changes hands.
const HANDOVER_PUSH_INTERVAL: model::Microseconds = 100_000;

/// Between two askings for a change of holder.
const REPLACEMENT_REQUEST_INTERVAL: model::Microseconds = 500_000;

impl ReplicaEventLoop {
    pub(crate) fn pinned_disks_changed(&mut self) {
        self.status.pinned_peers = self.pinned_disks.len();
        self.handle
            .pinned_disks
            .store(Arc::new(self.pinned_disks.clone()));
        self.start_voting_when_peers_are_known();
    }

    /// This disk no longer holds its seat after the instance the log names.
    pub(crate) fn enforce_voting_range(&mut self) {
        let (seat, identity) = self.handle.identity();
        let lost = self
            .state_machine
            .replica_holders
            .get(&seat)
            .filter(|(holder, _)| *holder != identity)
            .map(|(_, after)| *after);
        if let Some(after) = lost {
            self.step(model::now(), mencius::Input::StopVotingAfter(after));
        }
        if let Some(after) = self
            .replica
            .as_ref()
            .and_then(mencius::Replica::replaced_after)
        {
            self.status.refusal = Some(format!(
                "seat {seat} is held by another disk after instance {after}"
            ));
        }
    }

    /// A mate lets this empty disk in: it knows nothing of its seat's past and votes only after it.
    pub(crate) fn admit(&mut self, upto: u64, pins: Vec<(u16, u64)>) {
        if self.replica.is_some() || !self.restored_writes.is_empty() {
            return;
        }
        let (own, _) = self.handle.identity();
        let pins: Vec<(u16, u64)> = pins.into_iter().filter(|(seat, _)| *seat != own).collect();
        slog::info!(self.handle.logger, "let in to the seat"; "after" => upto);
        // A disk that died between knowing its mates and knowing where it begins would vote from the start.
        let first = mencius::first_instance_of(upto + 1, own, self.handle.config.replica_count);
        self.persist_members(
            pins,
            vec![
                mencius::Write::VotingRangeStart(upto + 1),
                mencius::Write::Index(first),
            ],
        );
    }

    /// An empty disk asks for a seat whose holder this seat has not heard for long: the log decides, as it
    /// would for an operator. A disk that ever kept something is not empty, so none comes back by itself.
    pub(crate) fn replacement_requested(
        &mut self,
        now: model::Microseconds,
        seat: u16,
        identity: u64,
        same_place: bool,
    ) {
        let patience = self.handle.config.replace_after;
        let pause = patience.min(REPLACEMENT_REQUEST_INTERVAL);
        let holder = self
            .pinned_disks
            .get(&seat)
            .copied()
            .filter(|holder| *holder != identity);
        let away = same_place
            || self
                .unreachable_since
                .get(&seat)
                .is_some_and(|since| now >= since + patience);
        let pending = self
            .state_machine
            .replica_holders
            .get(&seat)
            .is_some_and(|(held, _)| *held == identity);
        let Some(from) = holder.filter(|_| {
            patience > 0
                && away
                && !pending
                && self.replica.is_some()
                && now >= self.replacement_requested_at + pause
        }) else {
            return;
        };
        self.replacement_requested_at = now;
        slog::warn!(self.handle.logger, "an empty disk asks for a seat whose holder is away"; "seat" => seat, "holder" => from, "disk" => identity);
        let change = model::Operation::ReplaceReplica(model::ReplicaReplacement {
            replica_id: seat,
            old_disk: from,
            new_disk: identity,
        });
        let entry = self.handle.new_entry(change).to_bytes();
        self.step(now, mencius::Input::Submit(entry));
    }

    fn persist_members(&self, pins: Vec<(u16, u64)>, writes: Vec<mencius::Write>) {
        let (commands, kept) = (self.handle.commands.clone(), (pins.clone(), writes.clone()));
        let replaced = move |result: Result<(), storage::Error>| {
            if result.is_ok() {
                drop(commands.blocking_send(Command::MembersReplaced(kept.0, kept.1)));
            }
        };
        self.handle
            .store_writer
            .replace_pins(pins.into_iter().collect(), writes, replaced);
    }

    /// Pushes the log over a pending change of hands; past it, the new disk is the seat's holder here.
    pub(crate) fn advance_replacements(&mut self) {
        let now = model::now();
        let Some(applied) = self.replica.as_ref().map(mencius::Replica::applied) else {
            return;
        };
        if self.state_machine.replica_holders.is_empty()
            || now < self.handover_pushed_at + HANDOVER_PUSH_INTERVAL
        {
            return;
        }
        self.handover_pushed_at = now;
        let (own, _) = self.handle.identity();
        let pending = self
            .state_machine
            .replica_holders
            .values()
            .map(|(_, after)| *after)
            .filter(|after| *after >= applied)
            .min();
        if let Some(after) = pending {
            self.step(
                now,
                mencius::Input::SkipThrough(after.min(applied + mencius::VOTING_WINDOW / 2)),
            );
            let barrier = self.handle.new_entry(model::Operation::Barrier).to_bytes();
            self.step(now, mencius::Input::Submit(barrier));
        }
        let moved: Vec<(u16, u64)> = self
            .state_machine
            .replica_holders
            .iter()
            .filter(|(seat, (holder, after))| {
                **seat != own && *after < applied && self.pinned_disks.get(seat) != Some(holder)
            })
            .map(|(seat, (holder, _))| (*seat, *holder))
            .collect();
        if !moved.is_empty() {
            moved.iter().for_each(|(seat, _)| {
                // The new holder has a channel to nobody yet: it is given the time that any holder has before it is replaced.
                self.unreachable_since.insert(*seat, now);
                if self.connections.remove(seat).is_some() {
                    self.step(now, mencius::Input::ConnectionClosed(*seat));
                }
            });
            slog::info!(self.handle.logger, "seats changed hands"; "seats" => ?moved);
            self.persist_members(moved, Vec::new());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn started(core: &crate::ReplicaHandle) -> bool {
        // The answer to a word comes after all that was said before it.
        (0..50).for_each(|_| drop(core.commands.try_send(Command::Tick)));
        while core.commands.capacity() < core.commands.max_capacity() {
            tokio::task::yield_now().await;
        }
        (0..1_000).for_each(|_| std::hint::spin_loop());
        tokio::task::yield_now().await;
        core.status.load().voting
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn an_empty_disk_that_has_met_all_waits_for_their_first_words() {
        let folder =
            std::env::temp_dir().join(format!("gradeford-first-words-{}", std::process::id()));
        let env = crate::ReplicaConfig {
            name: "core-0".into(),
            zone: "z0".into(),
            replica_id: 0,
            replica_count: 3,
            address: "127.0.0.1:1".into(),
            seeds: vec!["127.0.0.1:1".into()],
            folder: folder.clone(),
            timing: Default::default(),
            snapshot_every_entries: 100,
            replace_after: 0,
            membership: None,
        };
        let core = crate::ReplicaHandle::start(env, model::logging::discard_logger())
            .expect("a core seat");
        let say = async |command| {
            core.commands
                .send(command)
                .await
                .expect("the owner is there")
        };
        say(Command::PeerPinned(1, 11)).await;
        say(Command::PeerPinned(2, 12)).await;
        say(Command::FirstHolderConfirmed(1)).await;
        assert!(
            !started(&core).await,
            "one mate has not said yet whether this disk is the first in its seat"
        );
        // It is not: all it may vote on lies above what the log names.
        say(Command::Admitted(1_000_000, vec![(1, 11), (2, 12)])).await;
        while !core.status.load().voting {
            tokio::task::yield_now().await;
        }
        assert!(
            core.status.load().next_own_instance > 1_000_000,
            "{:?}",
            core.status.load()
        );
        std::fs::remove_dir_all(folder).expect("clean");
    }
}
