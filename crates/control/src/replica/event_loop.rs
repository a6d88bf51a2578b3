//! The event loop of a replica, which alone owns the log and the state: it handles commands and
//! carries out the effects of the replicated log (design 3.2, 8.1).
//!
//! Commands that concern only the membership are handled at once. All others are deferred until
//! this replica votes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::iter;
use std::mem;
use std::sync::Arc;

use mencius::{Input, Instance, PersistTicket, ReadToken, Replica, ReplicaId, Write};
use model::{Entry, Microseconds, Position, StateMachine};
use storage::{DiskId, PinnedDisks};
use tokio::sync::{mpsc, oneshot, watch};
use transport::FrameSender;

use super::command::{Command, ConnectionToken, Members, OutcomeSender};
use super::handle::{ReplicaHandle, ReplicaStatus};
use crate::updates::publisher::{EntryId, UpdatePublisher};

/// The maximum number of commands, beside the first, that are handled before their effects are
/// carried out. Commands of one batch share one sync of the disk.
const MAX_COMMANDS_PER_BATCH: usize = 512;

/// An open connection to a peer.
pub(crate) struct PeerConnection {
    pub(super) token: ConnectionToken,
    pub(super) sender: FrameSender,
}

/// The progress of the log: the first instance that was not applied, and the time of its last
/// change.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) applied_below: Instance,
    pub(super) at: Microseconds,
}

/// The state of the event loop of a replica.
pub(crate) struct ReplicaEventLoop {
    pub(crate) handle: ReplicaHandle,
    /// `None` until this replica votes.
    pub(crate) replica: Option<Replica>,
    /// The writes recovered from the disk, until `replica` is restored from them.
    pub(crate) restored_writes: Vec<Write>,
    pub(crate) pinned_disks: PinnedDisks,
    /// Commands received before this replica votes (design 4.1).
    deferred_commands: Vec<Command>,
    pub(crate) connections: BTreeMap<ReplicaId, PeerConnection>,
    pub(crate) state_machine: StateMachine,
    pub(super) publisher: UpdatePublisher,
    position: watch::Sender<Position>,
    pub(super) pending_submissions: HashMap<EntryId, Vec<OutcomeSender>>,
    pub(super) pending_reads: BTreeMap<ReadToken, oneshot::Sender<Position>>,
    last_read_token: ReadToken,
    pub(super) entries_since_snapshot: u64,
    pub(super) bytes_since_snapshot: usize,
    /// The first instance that the latest snapshot of this replica does not cover.
    pub(super) snapshot_end: Instance,
    pub(crate) status: ReplicaStatus,
    /// Time at which the log was last advanced towards a pending replacement.
    pub(crate) replacement_advanced_at: Microseconds,
    pub(super) last_progress: Progress,
    /// Peers that confirmed that no other disk held this replica before.
    first_holder_confirmed_by: BTreeSet<ReplicaId>,
    /// Time at which the connection to each unreachable replica was lost, or of the process start
    /// if there was none.
    pub(crate) unreachable_since: BTreeMap<ReplicaId, Microseconds>,
    /// Time since which this replica has been connected to a majority; `None` if it is not.
    pub(crate) majority_since: Option<Microseconds>,
    /// Time at which a replacement was last submitted for an empty disk.
    pub(crate) replacement_requested_at: Microseconds,
}

impl ReplicaEventLoop {
    pub(super) fn new(
        handle: &ReplicaHandle,
        restored_writes: Vec<Write>,
        pinned_disks: PinnedDisks,
        position: watch::Sender<Position>,
    ) -> Self {
        let status = ReplicaStatus {
            disk_id: handle.disk_id(),
            pinned_peers: pinned_disks.len(),
            ..Default::default()
        };
        handle.status.store(Arc::new(status.clone()));
        let config = &handle.config;
        // The initial counts are staggered so that the replicas take their snapshots at different
        // entries.
        let entries_since_snapshot = config.snapshot_every_entries * u64::from(config.replica_id)
            / u64::from(config.replica_count.max(1));
        let now = model::now();
        ReplicaEventLoop {
            handle: handle.clone(),
            replica: None,
            restored_writes,
            pinned_disks,
            deferred_commands: Vec::new(),
            connections: BTreeMap::new(),
            state_machine: StateMachine::default(),
            publisher: UpdatePublisher::default(),
            position,
            pending_submissions: HashMap::new(),
            pending_reads: BTreeMap::new(),
            last_read_token: 0,
            entries_since_snapshot,
            bytes_since_snapshot: 0,
            snapshot_end: 0,
            status,
            replacement_advanced_at: 0,
            last_progress: Progress::default(),
            first_holder_confirmed_by: BTreeSet::new(),
            unreachable_since: (0..config.replica_count).map(|id| (id, now)).collect(),
            majority_since: None,
            replacement_requested_at: 0,
        }
    }

    /// Handles commands until all their senders are dropped.
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        self.start_voting_when_peers_are_known();
        while let Some(first) = queue.recv().await {
            self.handle_command(first);
            let queued = iter::from_fn(|| queue.try_recv().ok());
            for command in queued.take(MAX_COMMANDS_PER_BATCH) {
                self.handle_command(command);
            }
            self.advance_replacements();
            self.run_effects();
            self.publish_status();
        }
    }

    /// Starts to vote once the disks of all peers are on record here and this disk is on record at
    /// all peers, so that a disk that lost its contents is refused before it can vote. An empty
    /// disk also waits for the first frame of each peer, because it may replace another disk whose
    /// votes it does not know (design 4.1, 4.4).
    pub(crate) fn start_voting_when_peers_are_known(&mut self) {
        let peer_count = usize::from(self.handle.config.replica_count) - 1;
        if self.replica.is_some()
            || self.pinned_disks.len() < peer_count
            || !self.knows_voting_range(peer_count)
        {
            return;
        }
        let config = self.handle.config.clone();
        self.replica = Some(Replica::restore(
            config.replica_id,
            config.replica_count,
            self.handle.disk_id(),
            config.timing,
            model::now(),
            mem::take(&mut self.restored_writes),
        ));
        slog::info!(
            self.handle.logger,
            "the disks of all peers are on record; this replica votes"
        );
        self.handle_deferred_commands();
        self.run_effects();
    }

    /// Returns whether the instance from which this disk may vote is known.
    fn knows_voting_range(&self, peer_count: usize) -> bool {
        if !self.restored_writes.is_empty() {
            return true;
        }
        match self.handle.config.membership {
            // The disk is a founding member, so no other disk held this replica before.
            Some(membership) if membership.founded => true,
            // The disk replaces another one. Only the log says from which instance it votes, and a
            // peer that has just started may not have applied that entry yet.
            Some(_) => false,
            None => self.first_holder_confirmed_by.len() >= peer_count,
        }
    }

    fn handle_deferred_commands(&mut self) {
        for command in mem::take(&mut self.deferred_commands) {
            // A caller that timed out was already answered that the outcome is unknown.
            let abandoned =
                matches!(&command, Command::Submit { answer, .. } if answer.is_closed());
            if !abandoned {
                self.handle_command(command);
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = model::now();
        match command {
            Command::PeerPinned { peer_id, disk_id } => self.on_peer_pinned(peer_id, disk_id),
            Command::Admitted {
                votes_after,
                members,
            } => self.admit(votes_after, members),
            Command::MembersReplaced { members, writes } => {
                self.on_members_replaced(members, writes)
            }
            Command::RefusedByPeer { reason } => self.on_refused_by_peer(reason),
            Command::DiskStatus { error } => self.on_disk_status(error),
            Command::FirstHolderConfirmed { peer_id } => self.on_first_holder_confirmed(peer_id),
            Command::ReplacementRequested {
                replica_id,
                disk_id,
                same_address,
                submitted,
            } => {
                let is_submitted =
                    self.replacement_requested(now, replica_id, disk_id, same_address);
                // The send fails if the caller has stopped waiting.
                let _ = submitted.send(is_submitted);
            }
            Command::Tick if self.replica.is_none() => {}
            command if self.replica.is_none() => self.deferred_commands.push(command),
            Command::PeerConnected {
                peer_id,
                token,
                sender,
            } => self.on_peer_connected(now, peer_id, PeerConnection { token, sender }),
            Command::PeerFrame {
                peer_id,
                token,
                frame,
            } => self.on_peer_frame(now, peer_id, token, frame),
            Command::PeerDisconnected { peer_id, token } => {
                self.on_peer_disconnected(now, peer_id, token)
            }
            Command::Synced { ticket } => self.on_synced(now, ticket),
            Command::Submit { entry, answer } => self.on_submit(now, entry, answer),
            Command::ReadBarrier { answer } => self.on_read_barrier(now, answer),
            Command::Follow { held, sender } => self.publisher.add_follower(held, sender),
            Command::RequestProof { request_id, sender } => {
                self.on_request_proof(now, request_id, sender)
            }
            // The send fails if the caller has stopped waiting.
            Command::ReadItems { answer } => drop(answer.send(self.publisher.items())),
            Command::Tick => self.on_tick(now),
        }
    }

    fn on_peer_pinned(&mut self, peer_id: ReplicaId, disk_id: DiskId) {
        self.pinned_disks.insert(peer_id, disk_id);
        self.pinned_disks_changed();
    }

    fn on_members_replaced(&mut self, members: Members, writes: Vec<Write>) {
        self.pinned_disks.extend(members);
        self.restored_writes.extend(writes);
        self.pinned_disks_changed();
    }

    fn pinned_disks_changed(&mut self) {
        self.status.pinned_peers = self.pinned_disks.len();
        let pinned_disks = Arc::new(self.pinned_disks.clone());
        self.handle.pinned_disks.store(pinned_disks);
        self.start_voting_when_peers_are_known();
    }

    fn on_refused_by_peer(&mut self, reason: String) {
        if self.status.refusal.as_ref() != Some(&reason) {
            slog::error!(self.handle.logger, "a peer refused this disk; the disk cannot take part";
                "reason" => &reason);
        }
        self.status.refusal = Some(reason);
    }

    fn on_disk_status(&mut self, error: Option<String>) {
        match &error {
            Some(error) => slog::warn!(self.handle.logger, "disk write failed; retrying";
                "error" => error),
            None => slog::warn!(self.handle.logger, "disk write succeeded after a retry"),
        }
        self.status.disk_error = error;
    }

    fn on_first_holder_confirmed(&mut self, peer_id: ReplicaId) {
        self.first_holder_confirmed_by.insert(peer_id);
        self.start_voting_when_peers_are_known();
    }

    fn on_peer_connected(
        &mut self,
        now: Microseconds,
        peer_id: ReplicaId,
        connection: PeerConnection,
    ) {
        self.status.refusal = None;
        self.unreachable_since.remove(&peer_id);
        if self.connections.insert(peer_id, connection).is_some() {
            self.step(now, Input::ConnectionClosed(peer_id));
        }
        self.step(now, Input::ConnectionOpened(peer_id));
    }

    fn on_peer_frame(
        &mut self,
        now: Microseconds,
        peer_id: ReplicaId,
        token: ConnectionToken,
        frame: mencius::Frame,
    ) {
        if self.is_current(peer_id, token) {
            self.step(now, Input::Frame(peer_id, frame));
        }
    }

    fn on_peer_disconnected(
        &mut self,
        now: Microseconds,
        peer_id: ReplicaId,
        token: ConnectionToken,
    ) {
        if self.is_current(peer_id, token) {
            self.close_connection(now, peer_id);
        }
    }

    fn is_current(&self, peer_id: ReplicaId, token: ConnectionToken) -> bool {
        let connection = self.connections.get(&peer_id);
        connection.is_some_and(|current| current.token == token)
    }

    /// Drops the connection to a peer and marks the peer as unreachable.
    pub(super) fn close_connection(&mut self, now: Microseconds, peer_id: ReplicaId) {
        self.connections.remove(&peer_id);
        self.unreachable_since.insert(peer_id, now);
        self.step(now, Input::ConnectionClosed(peer_id));
    }

    fn on_synced(&mut self, now: Microseconds, ticket: PersistTicket) {
        self.status.disk_syncs += 1;
        self.step(now, Input::Persisted(ticket));
    }

    fn on_submit(&mut self, now: Microseconds, entry: Entry, answer: OutcomeSender) {
        let value = entry.to_bytes();
        self.pending_submissions
            .entry(EntryId::from(entry))
            .or_default()
            .push(answer);
        self.step(now, Input::Submit(value));
    }

    fn on_read_barrier(&mut self, now: Microseconds, answer: oneshot::Sender<Position>) {
        self.last_read_token += 1;
        self.pending_reads.insert(self.last_read_token, answer);
        self.step(now, Input::ReadIndex(self.last_read_token));
    }

    fn on_request_proof(&mut self, now: Microseconds, request_id: u64, sender: FrameSender) {
        self.publisher.request_proof(request_id, sender);
        self.start_proof_round(now);
    }

    fn on_tick(&mut self, now: Microseconds) {
        self.start_proof_round(now);
        self.step(now, Input::Tick);
    }

    fn start_proof_round(&mut self, now: Microseconds) {
        let token = self.last_read_token + 1;
        if self.publisher.begin_proof_round(now, token) {
            self.last_read_token = token;
            self.step(now, Input::ReadIndex(token));
        }
    }

    /// Passes an input to the replicated log. Inputs are ignored until this replica votes.
    pub(crate) fn step(&mut self, now: Microseconds, input: Input) {
        if let Some(replica) = self.replica.as_mut() {
            replica.step(now, input);
        }
    }

    fn run_effects(&mut self) {
        let position_before = self.state_machine.position;
        loop {
            let effects = self.replica.as_mut().map(Replica::take_effects);
            let effects = effects.unwrap_or_default();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.run_effect(effect);
            }
        }
        self.publisher.publish();
        if self.state_machine.position != position_before {
            self.publish_state_machine();
            self.position.send_replace(self.state_machine.position);
        }
    }

    /// Publishes the current state machine to readers in other tasks.
    pub(super) fn publish_state_machine(&self) {
        let state_machine = Arc::new(self.state_machine.clone());
        self.handle.state_machine.store(state_machine);
    }
}
