//! What the ordering asks of its driver, and what the owner shows of itself (design 3.2, 3.8).

use crate::event_loop::ReplicaEventLoop;
use std::sync::Arc;

impl ReplicaEventLoop {
    pub(crate) fn run_effect(&mut self, effect: mencius::Effect) {
        match effect {
            mencius::Effect::Send(seat, frame) => {
                self.status.frames_sent += 1;
                let sent = self
                    .connections
                    .get(&seat)
                    .map(|(_, sender)| sender.try_send(transport::Frame::Consensus(frame)).is_ok());
                if sent == Some(false) {
                    // A mate that does not keep up loses the channel; the next one begins with a resync.
                    self.connections.remove(&seat);
                    self.unreachable_since.insert(seat, model::now());
                    self.step(model::now(), mencius::Input::ConnectionClosed(seat));
                }
            }
            mencius::Effect::Persist {
                ticket,
                writes,
                replace_journal: afresh,
            } => {
                self.handle.store_writer.append(ticket, writes, afresh);
            }
            mencius::Effect::Apply(instance, value) => self.apply(instance, &value),
            mencius::Effect::NotChosen(value) => self.resubmit(value),
            mencius::Effect::InstallSnapshot {
                state,
                next_instance: through,
            } => {
                match crate::publisher::decode_state(&state) {
                    Some((book, bill)) => {
                        self.state_machine = book;
                        self.publisher.install(bill);
                        self.enforce_voting_range();
                    }
                    None => {
                        slog::error!(self.handle.logger, "a snapshot does not hold together"; "through" => through)
                    }
                }
                self.handle
                    .state_machine
                    .store(Arc::new(self.state_machine.clone()));
            }
            mencius::Effect::ReadReady(token) => {
                // Followers hear what was applied before the proof that speaks of it.
                self.publisher.publish();
                self.publisher.send_proofs(token);
                // The reader finds the book at least as new as what it is told.
                self.handle
                    .state_machine
                    .store(Arc::new(self.state_machine.clone()));
                if let Some(answer) = self.pending_reads.remove(&token) {
                    answer
                        .send(self.state_machine.position)
                        .map(|()| 0)
                        .unwrap_or_default();
                }
            }
        }
    }

    /// For a caller that still waits. One that was answered, that it is not known to be taken, sends it again itself.
    fn resubmit(&mut self, value: mencius::Value) {
        let Some(entry) = model::Entry::from_bytes(&value).ok() else {
            return;
        };
        let awaited =
            self.pending_submissions
                .get(&(entry.origin, entry.incarnation, entry.sequence));
        if awaited.is_some_and(|answers| answers.iter().any(|answer| !answer.is_closed())) {
            self.step(model::now(), mencius::Input::Submit(value));
        }
    }

    fn apply(&mut self, instance: u64, value: &[u8]) {
        let Some(entry) = model::Entry::from_bytes(value).ok() else {
            return slog::error!(self.handle.logger, "an entry does not hold together"; "instance" => instance);
        };
        let asked = (entry.origin.clone(), entry.incarnation, entry.sequence);
        let outcome = match entry.operation {
            model::Operation::ClusterState(act) => self.publisher.apply(&asked, act),
            _ => {
                let outcome = self
                    .state_machine
                    .apply_at(entry, instance, mencius::VOTING_WINDOW);
                self.enforce_voting_range();
                outcome
            }
        };
        slog::debug!(self.handle.logger, "applied"; "instance" => instance, "position" => self.state_machine.position, "origin" => &asked.0, "outcome" => ?outcome);
        self.pending_submissions
            .remove(&asked)
            .into_iter()
            .flatten()
            .for_each(|answer| drop(answer.send(outcome.clone())));
        self.entries_since_snapshot += 1;
        // Past a change of holders all below it is kept as a state: its instances could be finished only by the disks
        // that may vote there, and one of them is gone (design 4.4).
        let handed_over = self
            .state_machine
            .replica_holders
            .values()
            .any(|(_, after)| (self.snapshot_end..=instance).contains(after));
        if self.entries_since_snapshot >= self.handle.config.snapshot_every_entries || handed_over {
            self.entries_since_snapshot = 0;
            self.snapshot_end = instance + 1;
            let state =
                crate::publisher::encode_state(&self.state_machine, &self.publisher.cluster_state);
            self.step(
                model::now(),
                mencius::Input::Snapshot {
                    next_instance: instance + 1,
                    state,
                },
            );
        }
    }

    pub(crate) fn publish_status(&mut self) {
        if let Some(machine) = self.replica.as_ref() {
            self.status.voting = true;
            self.status.connected_replicas = machine.reachable_replicas();
            self.status.had_majority |=
                self.status.connected_replicas > self.handle.replica_count() as usize / 2;
            self.status.applied_below = machine.applied();
            self.status.compacted_below = machine.compaction_point();
            (self.status.next_own_instance, self.status.highest_seen) =
                (machine.index(), machine.highest_instance());
            let reads = machine.pending_reads();
            self.status.pending_reads = (reads.waiting, reads.in_round, reads.awaited_instances);
            self.status.suspected_replicas = machine.suspected_peers();
            let (now, patience) = (model::now(), self.handle.config.replace_after);
            let vacant = self.unreachable_since.iter().filter(|(seat, since)| {
                **seat != self.handle.config.replica_id && now >= **since + patience
            });
            self.status.vacant_replicas = vacant.map(|(seat, _)| *seat).collect();
        }
        self.warn_when_stalled();
        // Askers that gave up are let go.
        self.pending_reads.retain(|_, answer| !answer.is_closed());
        self.pending_submissions
            .retain(|_, answers| answers.iter().any(|answer| !answer.is_closed()));
        if **self.handle.status.load() != self.status {
            self.handle.status.store(Arc::new(self.status.clone()));
        }
    }

    /// Someone waits, and the log does not move: told now and then, with all that shows why.
    fn warn_when_stalled(&mut self) {
        let now = model::now();
        let waits = !self.pending_submissions.is_empty() || self.publisher.has_open_rounds();
        if self.last_progress.0 != self.status.applied_below || !waits {
            self.last_progress = (self.status.applied_below, now);
        }
        if now > self.last_progress.1 + STALL_WARNING_AFTER {
            self.last_progress.1 = now;
            slog::warn!(self.handle.logger, "the log stands"; "state" => ?self.status, "mates" => self.replica.as_ref().map(mencius::Replica::diagnostics).unwrap_or_default());
        }
    }
}

const STALL_WARNING_AFTER: model::Microseconds = 2_000_000;
