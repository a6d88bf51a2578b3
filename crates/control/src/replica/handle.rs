//! The interface of a replica to the rest of the process: its settings, its status, and the calls
//! that its event loop answers (design 4).

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

/// Timeout of a caller for an answer that needs a majority. After the timeout it is unknown
/// whether a change took effect.
pub const MAJORITY_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The settings of one replica.
pub struct ReplicaConfig {
    /// The origin of the entries that this process submits itself.
    pub name: String,
    /// The zone in which this process runs.
    pub zone: String,
    /// The number of this replica, counted from 0.
    pub replica_id: ReplicaId,
    /// The number of replicas of the log.
    pub replica_count: u16,
    /// The address, as `host:port`, at which peers connect to this process.
    pub address: String,
    /// The addresses at which discovery of the other replicas begins.
    pub seeds: Vec<String>,
    /// The folder that holds the database.
    pub folder: PathBuf,
    /// Timing and limits of the replicated log.
    pub timing: mencius::Config,
    /// The number of applied entries after which a snapshot is taken.
    pub snapshot_every_entries: u64,
    /// Time for which a member must be unreachable before an empty disk that asks for its replica
    /// may replace it, in microseconds; 0 disables automatic replacement.
    pub replace_after: Microseconds,
    /// The record of how this disk was assigned its replica; `None` if the settings name the
    /// replica (design 12.1).
    pub membership: Option<MembershipRecord>,
}

/// The status of a replica, for readiness checks and status pages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// Whether this replica votes, which requires that the disks of all peers are on record.
    pub voting: bool,
    /// The identity of this disk.
    pub disk_id: DiskId,
    /// The number of peers whose disk is on record here.
    pub pinned_peers: usize,
    /// The number of replicas from which messages arrive, including this one.
    pub connected_replicas: usize,
    /// Whether this process has reached a majority at least once.
    pub had_majority: bool,
    /// The first instance that is not applied; all instances below it are.
    pub applied_below: Instance,
    /// The first instance that is not compacted; all instances below it are kept only as part of a
    /// snapshot.
    pub compacted_below: Instance,
    /// The instance in which this replica proposes next.
    pub next_own_instance: Instance,
    /// The highest instance that this replica knows to carry a command.
    pub highest_seen: Option<Instance>,
    /// The number of reads that wait for a round, the number of reads in the current round, and the
    /// instances that must be applied before confirmed reads are answered.
    pub pending_reads: (usize, usize, Vec<Instance>),
    /// Peers that have been silent for longer than their suspicion timeout.
    pub suspected_replicas: Vec<ReplicaId>,
    /// Replicas whose member has been unreachable for `replace_after`.
    pub vacant_replicas: Vec<ReplicaId>,
    /// The number of batches synced to disk.
    pub disk_syncs: u64,
    /// The number of frames passed to connections to peers.
    pub frames_sent: u64,
    /// The error of the current disk write while the write is being retried.
    pub disk_error: Option<String>,
    /// The reason for which this disk may not take part, as stated by the peer that refused it.
    pub refusal: Option<String>,
}

/// A handle to a running replica. Clones send to the same event loop.
#[derive(Clone)]
pub struct ReplicaHandle {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(super) store_writer: StoreWriter,
    /// The state machine with all entries applied here. It may lag behind other replicas; after
    /// [`Self::read_barrier`] it contains every change accepted before that call.
    pub state_machine: Arc<ArcSwap<StateMachine>>,
    /// The position of the state machine; updated with every applied batch.
    pub position: watch::Receiver<Position>,
    /// The current status.
    pub status: Arc<ArcSwap<ReplicaStatus>>,
    /// The locations of the replicas known to this process.
    pub known_replicas: KnownReplicas,
    pub(crate) config: Arc<ReplicaConfig>,
    pub(super) disk_id: DiskId,
    /// The disk on record for each peer.
    pub pinned_disks: Arc<ArcSwap<PinnedDisks>>,
    /// Whether the disk held no writes when the process started.
    pub(super) started_with_empty_disk: bool,
    /// Distinguishes the entries of this process from those of its earlier runs.
    pub(super) incarnation: Incarnation,
    /// The number of processes started on this disk, including this one.
    pub(super) start_count: u64,
    pub(super) next_sequence: Arc<AtomicU64>,
    pub(crate) logger: Logger,
}

/// The reason for which the disk of a peer could not be recorded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PinError {
    /// The thread that writes the disk has ended. The text is sent to peers and is part of the
    /// protocol.
    #[error("the disk's owner is gone")]
    WriterStopped,
    /// The write failed. The text is sent to peers and is part of the protocol.
    #[error("the disk cannot keep who holds the seat")]
    NotStored,
}

/// The event loop has ended because the process is stopping.
#[derive(Debug, thiserror::Error)]
#[error("stopping")]
pub(crate) struct Stopped;

impl ReplicaHandle {
    /// Returns the number of replicas of the log.
    pub fn replica_count(&self) -> u16 {
        self.config.replica_count
    }

    /// Returns the number of this replica.
    pub fn replica_id(&self) -> ReplicaId {
        self.config.replica_id
    }

    /// Returns the identity of the disk of this replica.
    pub fn disk_id(&self) -> DiskId {
        self.disk_id
    }

    /// Returns every replica whose disk is on record here, followed by this replica.
    pub fn members(&self) -> Vec<(ReplicaId, DiskId)> {
        let mut members: Members = Vec::new();
        for (peer_id, disk_id) in self.pinned_disks.load().iter() {
            members.push((*peer_id, *disk_id));
        }
        members.push((self.replica_id(), self.disk_id));
        members
    }

    /// Returns the location of this replica, as discovery distributes it.
    pub(crate) fn own_location(&self) -> KnownReplica {
        KnownReplica {
            replica_id: self.config.replica_id,
            disk_id: self.disk_id,
            address: self.config.address.clone(),
            zone: self.config.zone.clone(),
            start_count: self.start_count,
        }
    }

    /// Returns the handshake with which this replica identifies itself on a new connection.
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
            has_empty_disk: self.started_with_empty_disk && !self.status.load().voting,
            expected_disk: None,
            known_replicas: discovery::list(&self.known_replicas),
        }
    }

    /// Returns whether this replica votes and currently receives messages from a majority.
    pub fn reaches_majority(&self) -> bool {
        let status = self.status.load();
        status.voting && status.connected_replicas > usize::from(self.replica_count()) / 2
    }

    /// Returns whether this replica reached a majority before and does not now. It can then neither
    /// confirm a change nor read, so callers are referred to another replica at once. A process
    /// that has just started does not count, since its connections are still being opened.
    pub fn lost_majority(&self) -> bool {
        self.status.load().had_majority && !self.reaches_majority()
    }

    /// Appends an entry to the log and returns its outcome. Returns `None` if the outcome is not
    /// known within [`MAJORITY_TIMEOUT`]; the entry may still take effect later.
    pub async fn submit(&self, entry: Entry) -> Option<Outcome> {
        self.request(|answer| Command::Submit { entry, answer })
            .await
    }

    /// Submits an operator's change with this process as its origin. The state machine recognizes a
    /// repeated change by the id of the change.
    pub async fn change(&self, change: Change) -> Option<Outcome> {
        self.submit(self.new_entry(Operation::Change(change))).await
    }

    /// Submits an operator's items, which take effect together or not at all (design 11.1).
    pub async fn change_items(&self, call: ItemCall) -> Option<Outcome> {
        let operation = Operation::ClusterState(ClusterOperation::Items(call));
        self.submit(self.new_entry(operation)).await
    }

    /// Reads all items, including every change accepted before this call. Returns `None` if no
    /// majority answered in time.
    pub async fn items(&self) -> Option<Items> {
        self.read_barrier().await?;
        self.request(|answer| Command::ReadItems { answer }).await
    }

    /// Submits the replacement of the disk that holds a replica (design 4.4).
    pub async fn replace_member(&self, change: ReplicaReplacement) -> Option<Outcome> {
        self.submit(self.new_entry(Operation::ReplaceReplica(change)))
            .await
    }

    /// Waits until everything accepted before this call is applied to `state_machine`, and returns
    /// the position of `state_machine` (design 3.9). Returns `None` if no majority answered in
    /// time.
    pub async fn read_barrier(&self) -> Option<Position> {
        self.request(|answer| Command::ReadBarrier { answer }).await
    }

    pub(crate) fn new_entry(&self, operation: Operation) -> Entry {
        Entry {
            origin: self.config.name.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            operation,
        }
    }

    /// Starts to send `sender` the updates of the cluster state after the position `held`.
    pub(crate) async fn follow(&self, held: Position, sender: FrameSender) -> Result<(), Stopped> {
        self.send(Command::Follow { held, sender }).await
    }

    /// Requests a freshness proof, which is sent to `sender` once a majority has confirmed the
    /// position.
    pub(crate) async fn request_proof(
        &self,
        request_id: u64,
        sender: FrameSender,
    ) -> Result<(), Stopped> {
        self.send(Command::RequestProof { request_id, sender })
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
        self.send(command).await
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
        self.send(command).await
    }

    pub(crate) async fn peer_disconnected(
        &self,
        peer_id: ReplicaId,
        token: ConnectionToken,
    ) -> Result<(), Stopped> {
        self.send(Command::PeerDisconnected { peer_id, token })
            .await
    }

    pub(crate) async fn peer_pinned(
        &self,
        peer_id: ReplicaId,
        disk_id: DiskId,
    ) -> Result<(), Stopped> {
        self.send(Command::PeerPinned { peer_id, disk_id }).await
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
        self.send(command).await
    }

    pub(crate) async fn refused_by_peer(&self, reason: String) -> Result<(), Stopped> {
        self.send(Command::RefusedByPeer { reason }).await
    }

    pub(crate) async fn first_holder_confirmed(&self, peer_id: ReplicaId) -> Result<(), Stopped> {
        self.send(Command::FirstHolderConfirmed { peer_id }).await
    }

    /// Requests the replacement of the disk that holds a replica by an empty disk, and returns
    /// whether it was submitted to the log.
    pub(crate) async fn replacement_requested(
        &self,
        replica_id: ReplicaId,
        disk_id: DiskId,
        same_address: bool,
    ) -> Result<bool, Stopped> {
        let (submitted, answer) = oneshot::channel();
        let command = Command::ReplacementRequested {
            replica_id,
            disk_id,
            same_address,
            submitted,
        };
        self.send(command).await?;
        answer.await.map_err(|_| Stopped)
    }

    /// Records `disk_id` as the disk of this replica unless a disk is on record already, and
    /// returns the disk that is on record afterwards.
    pub(crate) async fn pin_disk(
        &self,
        replica_id: ReplicaId,
        disk_id: DiskId,
    ) -> Result<DiskId, PinError> {
        let pinned = self.store_writer.pin_disk(replica_id, disk_id).await;
        // The cause is only logged here, because the texts of a refusal are part of the protocol.
        pinned.map_err(|error| {
            slog::error!(self.logger, "could not record the disk of a peer; refusing the peer";
                "peer_id" => replica_id,
                "error" => %error);
            match error {
                storage::Error::WriterStopped => PinError::WriterStopped,
                _ => PinError::NotStored,
            }
        })
    }

    /// Empties this disk, because another disk holds its replica. Returns whether the disk was
    /// emptied and the database closed.
    pub(crate) async fn retire_disk(&self) -> bool {
        self.store_writer.retire().await.is_ok()
    }

    /// Stores new members together with `writes`, and reports both to the event loop once they are
    /// on disk. If the write fails nothing is reported, and the next
    /// `ReplicaEventLoop::advance_replacements` or the next admission requests it again.
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

    async fn send(&self, command: Command) -> Result<(), Stopped> {
        self.commands.send(command).await.map_err(|_| Stopped)
    }

    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.send(command(answer)).await.ok()?;
        timeout(MAJORITY_TIMEOUT, answered).await.ok()?.ok()
    }
}
