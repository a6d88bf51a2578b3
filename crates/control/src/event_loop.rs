//! The one owner of log and book: a command queue in, effects out (design 3.2, 8.1).

use crate::replica::{Command, OutcomeSender, ReplicaHandle, ReplicaStatus};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

type PendingSubmissions = HashMap<(String, u64, u64), Vec<OutcomeSender>>;

pub(crate) struct ReplicaEventLoop {
    pub(crate) handle: ReplicaHandle,
    pub(crate) replica: Option<mencius::Replica>,
    pub(crate) restored_writes: Vec<mencius::Write>,
    pub(crate) pinned_disks: storage::PinnedDisks,
    /// What came before all seats had met (design 4.1).
    pub(crate) deferred_commands: Vec<Command>,
    pub(crate) connections: BTreeMap<u16, (u64, transport::FrameSender)>,
    pub(crate) state_machine: model::StateMachine,
    pub(crate) publisher: crate::publisher::UpdatePublisher,
    position: tokio::sync::watch::Sender<model::Position>,
    pub(crate) pending_submissions: PendingSubmissions,
    pub(crate) pending_reads: BTreeMap<u64, tokio::sync::oneshot::Sender<model::Position>>,
    last_read_token: u64,
    pub(crate) entries_since_snapshot: u64,
    /// Where the latest own snapshot ends.
    pub(crate) snapshot_end: u64,
    pub(crate) status: ReplicaStatus,
    pub(crate) handover_pushed_at: model::Microseconds,
    /// Where the log stood when it last moved, and when that was.
    pub(crate) last_progress: (u64, model::Microseconds),
    /// Mates that take this disk for the first in its seat.
    first_holder_confirmed_by: BTreeSet<u16>,
    /// Seats without a channel, since when; and when a change of holder was last asked for.
    pub(crate) unreachable_since: BTreeMap<u16, model::Microseconds>,
    pub(crate) replacement_requested_at: model::Microseconds,
}

impl ReplicaEventLoop {
    pub fn new(
        core: &ReplicaHandle,
        writes: Vec<mencius::Write>,
        pins: storage::PinnedDisks,
        moved: tokio::sync::watch::Sender<model::Position>,
    ) -> Self {
        let state = ReplicaStatus {
            disk_id: core.disk_id,
            pinned_peers: pins.len(),
            ..Default::default()
        };
        core.status.store(Arc::new(state.clone()));
        ReplicaEventLoop {
            handle: core.clone(),
            replica: None,
            restored_writes: writes,
            pinned_disks: pins,
            deferred_commands: Vec::new(),
            connections: Default::default(),
            state_machine: model::StateMachine::default(),
            publisher: Default::default(),
            position: moved,
            pending_submissions: Default::default(),
            pending_reads: Default::default(),
            last_read_token: 0,
            // Not all seats write theirs at the same entry.
            entries_since_snapshot: core.config.snapshot_every_entries
                * core.config.replica_id as u64
                / core.config.replica_count.max(1) as u64,
            snapshot_end: 0,
            status: state,
            handover_pushed_at: 0,
            last_progress: (0, 0),
            first_holder_confirmed_by: Default::default(),
            unreachable_since: (0..core.config.replica_count)
                .map(|seat| (seat, model::now()))
                .collect(),
            replacement_requested_at: 0,
        }
    }

    pub async fn run(mut self, mut buffer: tokio::sync::mpsc::Receiver<Command>) {
        self.start_voting_when_peers_are_known();
        while let Some(first) = buffer.recv().await {
            self.handle_command(first);
            // What has gathered shares one sync.
            std::iter::from_fn(|| buffer.try_recv().ok())
                .take(512)
                .for_each(|command| self.handle_command(command));
            self.advance_replacements();
            self.run_effects();
            self.publish_status();
        }
    }

    /// No vote before every seat has met every other: an emptied disk then finds itself refused. A disk that has
    /// kept nothing also waits for each mate's first word: it may be new in its seat, and know nothing of its past.
    pub(crate) fn start_voting_when_peers_are_known(&mut self) {
        let others = self.handle.config.replica_count as usize - 1;
        let known = !self.restored_writes.is_empty()
            || match self.handle.config.membership {
                // Given with the core itself: all others are named, there is no past.
                Some(charter) if charter.founded => true,
                // Taken over: only the log says where this disk begins; a mate that has just woken may not know yet.
                Some(_) => false,
                None => self.first_holder_confirmed_by.len() >= others,
            };
        if self.replica.is_some() || self.pinned_disks.len() < others || !known {
            return;
        }
        let env = self.handle.config.clone();
        let writes = std::mem::take(&mut self.restored_writes);
        let now = model::now();
        self.replica = Some(mencius::Replica::restore(
            env.replica_id,
            env.replica_count,
            self.handle.disk_id,
            env.timing,
            now,
            writes,
        ));
        slog::info!(self.handle.logger, "all seats are known, voting begins");
        let held = std::mem::take(&mut self.deferred_commands);
        // Whoever gave up meanwhile was told that its entry was not taken.
        let given_up =
            |command: &Command| matches!(command, Command::Submit(_, answer) if answer.is_closed());
        held.into_iter()
            .filter(|command| !given_up(command))
            .for_each(|command| self.handle_command(command));
        self.run_effects();
    }

    fn handle_command(&mut self, command: Command) {
        let now = model::now();
        match command {
            Command::PeerPinned(seat, identity) => {
                self.pinned_disks.insert(seat, identity);
                self.pinned_disks_changed();
            }
            Command::Admitted(upto, pins) => self.admit(upto, pins),
            Command::MembersReplaced(pins, writes) => {
                self.pinned_disks.extend(pins);
                self.restored_writes.extend(writes);
                self.pinned_disks_changed();
            }
            Command::RefusedByPeer(reason) => {
                if self.status.refusal.as_ref() != Some(&reason) {
                    slog::error!(self.handle.logger, "a mate refuses this disk"; "reason" => &reason);
                }
                self.status.refusal = Some(reason);
            }
            Command::DiskStatus(trouble) => {
                slog::warn!(self.handle.logger, "disk"; "trouble" => trouble.as_deref().unwrap_or("over"));
                self.status.disk_error = trouble;
            }
            Command::FirstHolderConfirmed(seat) => {
                self.first_holder_confirmed_by.insert(seat);
                self.start_voting_when_peers_are_known();
            }
            Command::ReplacementRequested(seat, identity, same_place) => {
                self.replacement_requested(now, seat, identity, same_place)
            }
            Command::Tick if self.replica.is_none() => {}
            command if self.replica.is_none() => self.deferred_commands.push(command),
            Command::PeerConnected(seat, token, sender) => {
                self.status.refusal = None;
                self.unreachable_since.remove(&seat);
                if self.connections.insert(seat, (token, sender)).is_some() {
                    self.step(now, mencius::Input::ConnectionClosed(seat));
                }
                self.step(now, mencius::Input::ConnectionOpened(seat));
            }
            Command::PeerFrame(seat, token, frame) => {
                if self
                    .connections
                    .get(&seat)
                    .is_some_and(|(current, _)| *current == token)
                {
                    self.step(now, mencius::Input::Frame(seat, frame));
                }
            }
            Command::PeerDisconnected(seat, token) => {
                if self
                    .connections
                    .get(&seat)
                    .is_some_and(|(current, _)| *current == token)
                {
                    self.connections.remove(&seat);
                    self.unreachable_since.insert(seat, now);
                    self.step(now, mencius::Input::ConnectionClosed(seat));
                }
            }
            Command::Synced(ticket) => {
                self.status.disk_syncs += 1;
                self.step(now, mencius::Input::Persisted(ticket));
            }
            Command::Submit(entry, answer) => {
                let value = entry.to_bytes();
                self.pending_submissions
                    .entry((entry.origin, entry.incarnation, entry.sequence))
                    .or_default()
                    .push(answer);
                self.step(now, mencius::Input::Submit(value));
            }
            Command::ReadBarrier(answer) => {
                self.last_read_token += 1;
                self.pending_reads.insert(self.last_read_token, answer);
                self.step(now, mencius::Input::ReadIndex(self.last_read_token));
            }
            Command::Follow(held, sender) => self.publisher.add_follower(held, sender),
            Command::RequestProof(number, sender) => {
                self.publisher.request_proof(number, sender);
                self.start_proof_round(now);
            }
            Command::ReadItems(answer) => drop(answer.send(self.publisher.items())),
            Command::Tick => {
                self.start_proof_round(now);
                self.step(now, mencius::Input::Tick);
            }
        }
    }

    fn start_proof_round(&mut self, now: model::Microseconds) {
        if self
            .publisher
            .begin_proof_round(now, self.last_read_token + 1)
        {
            self.last_read_token += 1;
            self.step(now, mencius::Input::ReadIndex(self.last_read_token));
        }
    }

    pub(crate) fn step(&mut self, now: model::Microseconds, input: mencius::Input) {
        if let Some(machine) = self.replica.as_mut() {
            machine.step(now, input);
        }
    }

    fn run_effects(&mut self) {
        let before = self.state_machine.position;
        loop {
            let effects = self
                .replica
                .as_mut()
                .map(mencius::Replica::take_effects)
                .unwrap_or_default();
            if effects.is_empty() {
                break;
            }
            effects
                .into_iter()
                .for_each(|effect| self.run_effect(effect));
        }
        self.publisher.publish();
        if self.state_machine.position != before {
            self.handle
                .state_machine
                .store(Arc::new(self.state_machine.clone()));
            self.position.send_replace(self.state_machine.position);
        }
    }
}
