//! What the rest of the process holds of a replica: its settings, what it shows of itself, and
//! the calls it answers (design 4).

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use mencius::{Frame, Instance, ReplicaId, Write};
use model::cluster_state::items::Items;
use model::cluster_state::{ClusterOperation, ItemCall};
use model::{
    Change, Entry, Incarnation, Microseconds, Operation, Outcome, Position, ReplicaReplacement,
    StateMachine,
};
use slog::Logger;
use storage::{DiskId, MembershipRecord, PinnedDisks, StoreWriter};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;
use transport::{FrameSender, Handshake, KnownReplica, Purpose};

use super::command::{Command, ConnectionToken, Members};
use crate::membership::discovery::{self, KnownReplicas};

/// A caller waits so long for a majority. An answer that did not come by then leaves open whether
/// a change took effect.
pub const MAJORITY_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The settings of one replica.
pub struct ReplicaConfig {
    /// The origin of the entries that this process submits itself.
    pub name: String,
    /// The zone that this process stands in.
    pub zone: String,
    /// Which replica this is, from 0.
    pub replica_id: ReplicaId,
    /// How many replicas share the log.
    pub replica_count: u16,
    /// Where peers reach this process.
    pub address: String,
    /// Addresses that are asked first for where the other replicas are.
    pub seeds: Vec<String>,
    /// The folder that holds the database.
    pub folder: PathBuf,
    /// Timing and limits of the replicated log.
    pub timing: mencius::Config,
    /// A snapshot is taken after so many applied entries.
    pub snapshot_every_entries: u64,
    /// How long a member must be unreachable before an empty disk that asks for its replica gets
    /// it, in microseconds; 0 is never.
    pub replace_after: Microseconds,
    /// The record of how this disk came to its replica, where settings do not name the replica
    /// (design 12.1).
    pub membership: Option<MembershipRecord>,
}

/// What readiness and status pages show of a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// All peers are known and this replica votes.
    pub voting: bool,
    /// The identity of this disk.
    pub disk_id: DiskId,
    /// Peers whose disk is on record here.
    pub pinned_peers: usize,
    /// Replicas that are heard, this one included.
    pub connected_replicas: usize,
    /// This process reached a majority at least once.
    pub had_majority: bool,
    /// All instances below this one are applied.
    pub applied_below: Instance,
    /// All instances below this one exist only as part of a snapshot.
    pub compacted_below: Instance,
    /// The instance in which this replica would propose next.
    pub next_own_instance: Instance,
    /// The highest instance that this replica knows to carry a command.
    pub highest_seen: Option<Instance>,
    /// Reads that wait for a round, reads in the present round, and the instances that confirmed
    /// reads wait to see applied.
    pub pending_reads: (usize, usize, Vec<Instance>),
    /// Peers that were silent for longer than their suspicion timeout.
    pub suspected_replicas: Vec<ReplicaId>,
    /// Replicas whose member was unreachable for `replace_after`.
    pub vacant_replicas: Vec<ReplicaId>,
    /// Batches that were synced to disk.
    pub disk_syncs: u64,
    /// Frames handed to connections to peers.
    pub frames_sent: u64,
    /// The error of the present write, while it is being retried.
    pub disk_error: Option<String>,
    /// Why this disk may not take part, in the words of the peer that refused it.
    pub refusal: Option<String>,
}

/// A running replica. Clones reach the same event loop.
#[derive(Clone)]
pub struct ReplicaHandle {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(super) store_writer: StoreWriter,
    /// The state machine as last applied here. It may lag; [`Self::read_barrier`] first makes it
    /// as new as every change accepted before the call.
    pub state_machine: Arc<ArcSwap<StateMachine>>,
    /// The position of the state machine; changes with every applied batch.
    pub position: watch::Receiver<Position>,
    /// The present status.
    pub status: Arc<ArcSwap<ReplicaStatus>>,
    /// Where the replicas are, as far as this process has heard.
    pub known_replicas: KnownReplicas,
    pub(crate) config: Arc<ReplicaConfig>,
    pub(super) disk_id: DiskId,
    /// Which disk holds each other replica.
    pub pinned_disks: Arc<ArcSwap<PinnedDisks>>,
    /// The disk had kept nothing when the process began.
    pub(super) started_blank: bool,
    /// Tells the entries of this process from those of an earlier one.
    pub(super) incarnation: Incarnation,
    /// How often this disk was started, this time included.
    pub(super) start_count: u64,
    pub(super) next_sequence: Arc<AtomicU64>,
    pub(crate) logger: Logger,
}

/// Why the disk of a peer could not be put on record.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PinError {
    /// The thread that writes the disk has ended. Peers read this text: it is part of the protocol.
    #[error("the disk's owner is gone")]
    WriterStopped,
    /// The write failed. Peers read this text: it is part of the protocol.
    #[error("the disk cannot keep who holds the seat")]
    NotStored,
}

/// The event loop has ended: the process is stopping.
#[derive(Debug, thiserror::Error)]
#[error("stopping")]
pub(crate) struct Stopped;

impl ReplicaHandle {
    /// How many replicas share the log.
    pub fn replica_count(&self) -> u16 {
        self.config.replica_count
    }

    /// Which replica this is.
    pub fn replica_id(&self) -> ReplicaId {
        self.config.replica_id
    }

    /// The identity of the disk of this replica.
    pub fn disk_id(&self) -> DiskId {
        self.disk_id
    }

    /// Every replica whose disk is on record here, and last this one itself.
    pub fn members(&self) -> Vec<(ReplicaId, DiskId)> {
        let mut members: Members = Vec::new();
        for (peer_id, disk_id) in self.pinned_disks.load().iter() {
            members.push((*peer_id, *disk_id));
        }
        members.push((self.replica_id(), self.disk_id));
        members
    }

    /// Where this replica is reached, as discovery passes it on.
    pub(crate) fn own_location(&self) -> KnownReplica {
        KnownReplica {
            replica_id: self.config.replica_id,
            disk_id: self.disk_id,
            address: self.config.address.clone(),
            zone: self.config.zone.clone(),
            start_count: self.start_count,
        }
    }

    /// What this replica says of itself when a connection opens.
    pub fn handshake(&self, purpose: Purpose) -> Handshake {
        Handshake {
            purpose,
            node_name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            address: self.config.address.clone(),
            incarnation: self.incarnation,
            replica: Some((
                self.config.replica_id,
                self.config.replica_count,
                self.disk_id,
            )),
            has_empty_disk: self.started_blank && !self.status.load().voting,
            expected_disk: None,
            known_replicas: discovery::list(&self.known_replicas),
        }
    }

    /// This replica votes and hears a majority now.
    pub fn reaches_majority(&self) -> bool {
        let status = self.status.load();
        status.voting && status.connected_replicas > usize::from(self.replica_count()) / 2
    }

    /// It reached a majority once and does not now: it can neither confirm a change nor read, so
    /// callers are sent elsewhere at once. A process that has just started is given the time to
    /// connect.
    pub fn lost_majority(&self) -> bool {
        self.status.load().had_majority && !self.reaches_majority()
    }

    /// Puts an entry in the log. `None`: not known to be there within [`MAJORITY_TIMEOUT`]; it may
    /// yet take effect.
    pub async fn submit(&self, entry: Entry) -> Option<Outcome> {
        self.ask(|answer| Command::Submit { entry, answer }).await
    }

    /// Submits an operator's change with this process as its origin; the state machine tells
    /// repeats by the change's own id.
    pub async fn change(&self, change: Change) -> Option<Outcome> {
        self.submit(self.new_entry(Operation::Change(change))).await
    }

    /// Submits an operator's items; all take effect or none (design 11.1).
    pub async fn change_items(&self, call: ItemCall) -> Option<Outcome> {
        let operation = Operation::ClusterState(ClusterOperation::Items(call));
        self.submit(self.new_entry(operation)).await
    }

    /// All items, at least as new as every change accepted before this call. `None`: no majority
    /// answered in time.
    pub async fn items(&self) -> Option<Items> {
        self.read_barrier().await?;
        self.ask(|answer| Command::ReadItems { answer }).await
    }

    /// Submits that another disk is to hold a replica (design 4.4).
    pub async fn replace_member(&self, change: ReplicaReplacement) -> Option<Outcome> {
        self.submit(self.new_entry(Operation::ReplaceReplica(change)))
            .await
    }

    /// Everything accepted before this call is in `state_machine` once it answers (design 3.9).
    /// `None`: no majority answered in time.
    pub async fn read_barrier(&self) -> Option<Position> {
        self.ask(|answer| Command::ReadBarrier { answer }).await
    }

    pub(crate) fn new_entry(&self, operation: Operation) -> Entry {
        Entry {
            origin: self.config.name.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            operation,
        }
    }

    /// Sends updates of the cluster state to `sender` from the position `held` on.
    pub(crate) async fn follow(&self, held: Position, sender: FrameSender) -> Result<(), Stopped> {
        self.tell(Command::Follow { held, sender }).await
    }

    /// Sends a proof to a follower once a majority has confirmed the position.
    pub(crate) async fn request_proof(
        &self,
        request_id: u64,
        sender: FrameSender,
    ) -> Result<(), Stopped> {
        self.tell(Command::RequestProof { request_id, sender })
            .await
    }

    pub(crate) async fn peer_connected(
        &self,
        peer_id: ReplicaId,
        token: ConnectionToken,
        sender: FrameSender,
    ) -> Result<(), Stopped> {
        let command = Command::PeerConnected {
            peer_id,
            token,
            sender,
        };
        self.tell(command).await
    }

    pub(crate) async fn peer_frame(
        &self,
        peer_id: ReplicaId,
        token: ConnectionToken,
        frame: Frame,
    ) -> Result<(), Stopped> {
        let command = Command::PeerFrame {
            peer_id,
            token,
            frame,
        };
        self.tell(command).await
    }

    pub(crate) async fn peer_disconnected(
        &self,
        peer_id: ReplicaId,
        token: ConnectionToken,
    ) -> Result<(), Stopped> {
        self.tell(Command::PeerDisconnected { peer_id, token })
            .await
    }

    pub(crate) async fn peer_pinned(
        &self,
        peer_id: ReplicaId,
        disk_id: DiskId,
    ) -> Result<(), Stopped> {
        self.tell(Command::PeerPinned { peer_id, disk_id }).await
    }

    pub(crate) async fn admitted(
        &self,
        votes_after: Instance,
        members: Members,
    ) -> Result<(), Stopped> {
        let command = Command::Admitted {
            votes_after,
            members,
        };
        self.tell(command).await
    }

    pub(crate) async fn refused_by_peer(&self, reason: String) -> Result<(), Stopped> {
        self.tell(Command::RefusedByPeer { reason }).await
    }

    pub(crate) async fn first_holder_confirmed(&self, peer_id: ReplicaId) -> Result<(), Stopped> {
        self.tell(Command::FirstHolderConfirmed { peer_id }).await
    }

    pub(crate) async fn replacement_requested(
        &self,
        replica_id: ReplicaId,
        disk_id: DiskId,
        same_address: bool,
    ) -> Result<(), Stopped> {
        let command = Command::ReplacementRequested {
            replica_id,
            disk_id,
            same_address,
        };
        self.tell(command).await
    }

    /// Writes down the first disk that is met as this replica, and answers with the disk that is
    /// on record then: another one if there was one before.
    pub(crate) async fn pin_disk(
        &self,
        replica_id: ReplicaId,
        disk_id: DiskId,
    ) -> Result<DiskId, PinError> {
        let pinned = self.store_writer.pin_disk(replica_id, disk_id).await;
        // The cause stays here: the texts of a refusal are part of the protocol.
        pinned.map_err(|error| {
            slog::error!(self.logger, "the disk of a peer could not be recorded";
                "peer_id" => replica_id,
                "error" => %error);
            match error {
                storage::Error::WriterStopped => PinError::WriterStopped,
                _ => PinError::NotStored,
            }
        })
    }

    /// Empties this disk, as another holds its replica. Whether that is done and the database
    /// closed.
    pub(crate) async fn retire_disk(&self) -> bool {
        self.store_writer.retire().await.is_ok()
    }

    /// Writes down new members, and with them `writes`; both come back to the event loop once they
    /// are on disk. If that fails nothing comes back, and the next push of the log or the next
    /// admission asks for it again.
    pub(crate) fn replace_members(&self, members: Members, writes: Vec<Write>) {
        let commands = self.commands.clone();
        let stored = Command::MembersReplaced {
            members: members.clone(),
            writes: writes.clone(),
        };
        let replaced = move |written: Result<(), storage::Error>| {
            if written.is_ok() {
                drop(commands.blocking_send(stored));
            }
        };
        let pinned_disks = members.into_iter().collect();
        self.store_writer
            .replace_pinned_disks(pinned_disks, writes, replaced);
    }

    async fn tell(&self, command: Command) -> Result<(), Stopped> {
        self.commands.send(command).await.map_err(|_| Stopped)
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.tell(command(answer)).await.ok()?;
        timeout(MAJORITY_TIMEOUT, answered).await.ok()?.ok()
    }
}
