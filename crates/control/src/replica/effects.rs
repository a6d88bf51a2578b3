//! Carries out the effects that the replicated log requests, and publishes the resulting status
//! (design 3.2, 3.8).

use std::sync::Arc;

use mencius::{Effect, Input, Instance, ReadToken, Replica, ReplicaId, VOTING_WINDOW, Value};
use model::{Entry, Microseconds, Operation, Outcome};

use super::event_loop::{Progress, ReplicaEventLoop};
use crate::updates::publisher::{self, EntryId};

/// Time without an applied entry, while callers wait, after which a warning is logged, in
/// microseconds. The warning repeats at the same interval.
const STALL_WARNING_INTERVAL: Microseconds = 2_000_000;

/// The number of bytes of applied entries after which a snapshot is taken.
const SNAPSHOT_EVERY_BYTES: usize = 16 * 1024 * 1024;

impl ReplicaEventLoop {
    pub(super) fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send(peer_id, frame) => self.send_to_peer(peer_id, frame),
            Effect::Persist {
                ticket,
                writes,
                replace_journal,
            } => {
                let writer = &self.handle.store_writer;
                writer.append(ticket, writes, replace_journal);
            }
            Effect::Apply(instance, value) => self.apply(instance, &value),
            Effect::NotChosen(value) => self.resubmit(value),
            Effect::InstallSnapshot {
                state,
                next_instance,
            } => self.install_snapshot(&state, next_instance),
            Effect::ReadReady(token) => self.answer_read(token),
        }
    }

    fn send_to_peer(&mut self, peer_id: ReplicaId, frame: mencius::Frame) {
        self.status.frames_sent += 1;
        let Some(connection) = self.connections.get(&peer_id) else {
            return;
        };
        let frame = transport::Frame::Consensus(frame);
        if connection.sender.try_send(frame).is_err() {
            // The queue is full because the peer does not keep up. The connection is closed; the
            // next connection begins with a catch-up.
            self.close_connection(model::now(), peer_id);
        }
    }

    /// Proposes a value again after a no-op was chosen in its instance, if a caller still waits for
    /// it. A caller that was already answered that the outcome is unknown retries by itself.
    fn resubmit(&mut self, value: Value) {
        let Ok(entry) = Entry::from_bytes(&value) else {
            return;
        };
        let callers = self.pending_submissions.get(&EntryId::from(entry));
        if callers.is_some_and(|callers| callers.iter().any(|caller| !caller.is_closed())) {
            self.step(model::now(), Input::Submit(value));
        }
    }

    fn apply(&mut self, instance: Instance, value: &[u8]) {
        let entry = match Entry::from_bytes(value) {
            Ok(entry) => entry,
            Err(error) => {
                slog::error!(self.handle.logger, "could not decode a log entry; it is skipped";
                    "instance" => instance,
                    "error" => %error);
                return;
            }
        };
        let entry_id = EntryId::of(&entry);
        let outcome = match entry.operation {
            Operation::ClusterState(operation) => self.publisher.apply(&entry_id, operation),
            _ => {
                let outcome = self.state_machine.apply_at(entry, instance, VOTING_WINDOW);
                self.enforce_voting_range();
                outcome
            }
        };
        slog::debug!(self.handle.logger, "applied";
            "instance" => instance,
            "position" => self.state_machine.position,
            "origin" => &entry_id.origin,
            "outcome" => ?outcome);
        self.answer_callers(&entry_id, &outcome);
        self.bytes_since_snapshot += value.len();
        self.snapshot_when_due(instance);
    }

    fn answer_callers(&mut self, entry_id: &EntryId, outcome: &Outcome) {
        let callers = self.pending_submissions.remove(entry_id);
        for caller in callers.into_iter().flatten() {
            // The send fails if the caller has stopped waiting.
            drop(caller.send(outcome.clone()));
        }
    }

    /// Takes a snapshot after every `snapshot_every_entries` entries or [`SNAPSHOT_EVERY_BYTES`],
    /// so that neither the log nor what a peer has to catch up grows with the size of the entries, and also once the log has
    /// passed the last instance in which a replaced disk may vote. Only disks that may vote in the
    /// instances up to there can finish them, and the replaced disk is gone (design 4.4).
    fn snapshot_when_due(&mut self, instance: Instance) {
        self.entries_since_snapshot += 1;
        let since_snapshot = self.snapshot_end..=instance;
        let mut replacements = self.state_machine.replica_holders.values();
        let replaced = replacements.any(|(_, votes_after)| since_snapshot.contains(votes_after));
        let is_due = self.entries_since_snapshot >= self.handle.config.snapshot_every_entries
            || self.bytes_since_snapshot >= SNAPSHOT_EVERY_BYTES;
        if !is_due && !replaced {
            return;
        }
        let next_instance = instance + 1;
        self.entries_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        self.snapshot_end = next_instance;
        let state = publisher::encode_state(&self.state_machine, &self.publisher.cluster_state);
        let input = Input::Snapshot {
            next_instance,
            state,
        };
        self.step(model::now(), input);
    }

    fn install_snapshot(&mut self, state: &[u8], next_instance: Instance) {
        match publisher::decode_state(state) {
            Some((state_machine, cluster_state)) => {
                self.state_machine = state_machine;
                self.publisher.install(cluster_state);
                self.enforce_voting_range();
            }
            None => slog::error!(self.handle.logger, "could not decode a snapshot; it is ignored";
                "next_instance" => next_instance),
        }
        self.publish_state_machine();
    }

    fn answer_read(&mut self, token: ReadToken) {
        // Followers must receive the updates before the freshness proof that covers them.
        self.publisher.publish();
        self.publisher.send_proofs(token);
        // Published before the answer, so that the reader finds the state machine at the returned
        // position or a later one.
        self.publish_state_machine();
        if let Some(answer) = self.pending_reads.remove(&token) {
            // The send fails if the caller has stopped waiting.
            let _ = answer.send(self.state_machine.position);
        }
    }

    pub(super) fn publish_status(&mut self) {
        self.refresh_status();
        self.warn_when_stalled();
        self.drop_abandoned_calls();
        if **self.handle.status.load() != self.status {
            self.handle.status.store(Arc::new(self.status.clone()));
        }
    }

    fn refresh_status(&mut self) {
        self.observe_majority(model::now());
        let Some(replica) = self.replica.as_ref() else {
            return;
        };
        let half_of_replicas = usize::from(self.handle.replica_count()) / 2;
        let status = &mut self.status;
        status.voting = true;
        status.connected_replicas = replica.reachable_replica_count();
        status.had_majority |= status.connected_replicas > half_of_replicas;
        status.applied_below = replica.applied();
        status.compacted_below = replica.compaction_point();
        status.next_own_instance = replica.index();
        status.highest_seen = replica.highest_command_instance();
        let reads = replica.pending_reads();
        status.pending_reads = (reads.waiting, reads.in_round, reads.awaited_instances);
        status.suspected_replicas = replica.suspected_peers();
        self.status.vacant_replicas = self.vacant_replicas();
    }

    fn vacant_replicas(&self) -> Vec<ReplicaId> {
        let now = model::now();
        let unreachable = self.unreachable_since.keys().copied();
        unreachable
            .filter(|peer_id| self.is_vacant(now, *peer_id))
            .collect()
    }

    /// Logs a warning with the status of the log if callers wait while no entry is applied.
    fn warn_when_stalled(&mut self) {
        let now = model::now();
        let applied_below = self.status.applied_below;
        let waiting = !self.pending_submissions.is_empty() || self.publisher.has_open_rounds();
        if self.last_progress.applied_below != applied_below || !waiting {
            self.last_progress = Progress {
                applied_below,
                at: now,
            };
        }
        if now > self.last_progress.at + STALL_WARNING_INTERVAL {
            self.last_progress.at = now;
            let peers = self.replica.as_ref().map(Replica::diagnostics);
            slog::warn!(self.handle.logger, "no entry was applied for a while; callers are waiting";
                "status" => ?self.status,
                "peers" => peers.unwrap_or_default());
        }
    }

    fn drop_abandoned_calls(&mut self) {
        self.pending_reads.retain(|_, answer| !answer.is_closed());
        self.pending_submissions
            .retain(|_, callers| callers.iter().any(|caller| !caller.is_closed()));
    }
}
