//! A core seat as the rest of the process sees it (design 4).

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

pub struct ReplicaConfig {
    pub name: String,
    pub zone: String,
    pub replica_id: u16,
    pub replica_count: u16,
    /// Where mates reach this process.
    pub address: String,
    pub seeds: Vec<String>,
    pub folder: PathBuf,
    pub timing: mencius::Config,
    pub snapshot_every_entries: u64,
    /// How long a seat's holder must be away before an empty disk that asks for the seat gets it; 0 is never.
    pub replace_after: model::Microseconds,
    /// What the seat was given with, where settings do not name it (design 12.1).
    pub membership: Option<storage::MembershipRecord>,
}

/// What `/ready` and status pages say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    pub voting: bool,
    pub disk_id: u64,
    pub pinned_peers: usize,
    /// Seats that are heard, this one included.
    pub connected_replicas: usize,
    /// This process was in touch with a majority once.
    pub had_majority: bool,
    pub applied_below: u64,
    pub compacted_below: u64,
    /// Where this seat would suggest next, how far it knows the log to reach, and reads that wait.
    pub next_own_instance: u64,
    pub highest_seen: Option<u64>,
    pub pending_reads: (usize, usize, Vec<u64>),
    pub suspected_replicas: Vec<u16>,
    /// Seats nobody was heard in for `replace_after`.
    pub vacant_replicas: Vec<u16>,
    pub disk_syncs: u64,
    pub frames_sent: u64,
    pub disk_error: Option<String>,
    pub refusal: Option<String>,
}

pub(crate) type OutcomeSender = tokio::sync::oneshot::Sender<model::Outcome>;

pub(crate) enum Command {
    Submit(model::Entry, OutcomeSender),
    ReadBarrier(tokio::sync::oneshot::Sender<model::Position>),
    /// A follower holds the bill up to here; news goes to it from now on (design 11.3).
    Follow(model::Position, transport::FrameSender),
    /// A follower wants a proof, by number, on the channel its news takes.
    RequestProof(u64, transport::FrameSender),
    ReadItems(tokio::sync::oneshot::Sender<model::cluster_state::items::Items>),
    PeerConnected(u16, u64, transport::FrameSender),
    PeerFrame(u16, u64, mencius::Frame),
    PeerDisconnected(u16, u64),
    Synced(u64),
    DiskStatus(Option<String>),
    PeerPinned(u16, u64),
    /// This disk took its seat over: after which instance, and who holds the others.
    Admitted(u64, Vec<(u16, u64)>),
    /// The holders are on disk.
    MembersReplaced(Vec<(u16, u64)>, Vec<mencius::Write>),
    RefusedByPeer(String),
    /// This mate takes our disk for the first in its seat.
    FirstHolderConfirmed(u16),
    /// An empty disk asks for a seat that another disk holds, or held at the very same address.
    ReplacementRequested(u16, u64, bool),
    Tick,
}

#[derive(Clone)]
pub struct ReplicaHandle {
    pub(crate) commands: tokio::sync::mpsc::Sender<Command>,
    pub(crate) store_writer: storage::StoreWriter,
    pub state_machine: Arc<arc_swap::ArcSwap<model::StateMachine>>,
    pub position: tokio::sync::watch::Receiver<model::Position>,
    pub status: Arc<arc_swap::ArcSwap<ReplicaStatus>>,
    pub known_replicas: crate::KnownReplicas,
    pub(crate) config: Arc<ReplicaConfig>,
    pub(crate) disk_id: u64,
    /// Which disk holds each other seat.
    pub pinned_disks: Arc<arc_swap::ArcSwap<storage::PinnedDisks>>,
    /// This disk had kept nothing when the process began.
    pub(crate) started_blank: bool,
    /// Tells this process's entries from those of an earlier one.
    pub(crate) incarnation: model::Incarnation,
    pub(crate) start_count: u64,
    pub(crate) next_sequence: Arc<AtomicU64>,
    pub(crate) logger: slog::Logger,
}

const COMMAND_QUEUE_CAPACITY: usize = 4_096;
/// A majority that has not answered by then is not there: the truth about a change is then unknown.
pub const MAJORITY_TIMEOUT: Duration = Duration::from_millis(4_000);

impl ReplicaHandle {
    pub fn start(
        env: ReplicaConfig,
        logger: slog::Logger,
    ) -> Result<ReplicaHandle, storage::Error> {
        let recovered = storage::ReplicaStore::open(&env.folder)?;
        ReplicaHandle::start_on(env, recovered.store, recovered.writes, logger)
    }

    /// Over a shelf that is open already: rehearsals bring disks that fail (design 9.4).
    pub fn start_on(
        env: ReplicaConfig,
        shelf: storage::ReplicaStore,
        writes: Vec<mencius::Write>,
        logger: slog::Logger,
    ) -> Result<ReplicaHandle, storage::Error> {
        let (commands, buffer) = tokio::sync::mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (moved, changed) = tokio::sync::watch::channel(0);
        let (identity, pins) = (shelf.disk_id, shelf.pinned_disks.clone());
        let start_count = shelf.start_count;
        let reports = commands.clone();
        let store_writer = storage::StoreWriter::spawn(shelf, move |event| {
            let command = match event {
                storage::WriterEvent::Persisted(ticket) => Command::Synced(ticket),
                storage::WriterEvent::AppendFailed(error) => {
                    Command::DiskStatus(Some(error.to_string()))
                }
                storage::WriterEvent::Recovered => Command::DiskStatus(None),
            };
            drop(reports.blocking_send(command));
        })?;
        let core = ReplicaHandle {
            commands: commands.clone(),
            store_writer,
            state_machine: Default::default(),
            position: changed,
            status: Default::default(),
            known_replicas: crate::discovery::empty(),
            disk_id: identity,
            started_blank: writes.is_empty(),
            pinned_disks: Arc::new(arc_swap::ArcSwap::from_pointee(pins.clone())),
            incarnation: model::incarnation::draw(),
            start_count,
            next_sequence: Default::default(),
            logger,
            config: Arc::new(env),
        };
        crate::discovery::merge(&core.known_replicas, vec![core.own_location()]);
        slog::info!(core.logger, "core seat starts"; "seat" => core.config.replica_id, "identity" => identity, "writes" => writes.len(), "met" => pins.len());
        tokio::spawn(
            crate::event_loop::ReplicaEventLoop::new(&core, writes, pins, moved).run(buffer),
        );
        tokio::spawn(send_ticks(commands));
        crate::peer_link::start(&core);
        Ok(core)
    }

    pub(crate) fn own_location(&self) -> transport::KnownReplica {
        transport::KnownReplica {
            replica_id: self.config.replica_id,
            disk_id: self.disk_id,
            address: self.config.address.clone(),
            zone: self.config.zone.clone(),
            start_count: self.start_count,
        }
    }

    pub fn replica_count(&self) -> u16 {
        self.config.replica_count
    }

    pub fn handshake(&self, purpose: transport::Purpose) -> transport::Handshake {
        transport::Handshake {
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
            known_replicas: crate::discovery::list(&self.known_replicas),
        }
    }

    pub fn reaches_majority(&self) -> bool {
        let state = self.status.load();
        state.voting && state.connected_replicas > self.replica_count() as usize / 2
    }

    /// It reached a majority and does not any more: what it is asked now it can neither confirm nor read, so callers
    /// are sent elsewhere at once. A process that has just started is given the time to come that far.
    pub fn lost_majority(&self) -> bool {
        self.status.load().had_majority && !self.reaches_majority()
    }

    /// Puts an entry in the log. `None`: not known to be there in time; it may yet take effect.
    pub async fn submit(&self, entry: model::Entry) -> Option<model::Outcome> {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        self.commands
            .send(Command::Submit(entry, answer))
            .await
            .ok()?;
        tokio::time::timeout(MAJORITY_TIMEOUT, outcome)
            .await
            .ok()?
            .ok()
    }

    /// An operator's change under this seat's own origin; the book tells repeats by change id.
    pub async fn change(&self, change: model::Change) -> Option<model::Outcome> {
        self.submit(self.new_entry(model::Operation::Change(change)))
            .await
    }

    /// Items of an operator: whole or not at all (design 11.1).
    pub async fn change_items(
        &self,
        call: model::cluster_state::ItemCall,
    ) -> Option<model::Outcome> {
        self.submit(self.new_entry(model::Operation::ClusterState(
            model::cluster_state::ClusterOperation::Items(call),
        )))
        .await
    }

    /// All items as they stand now, proved by a majority.
    pub async fn items(&self) -> Option<model::cluster_state::items::Items> {
        self.read_barrier().await?;
        let (answer, items) = tokio::sync::oneshot::channel();
        self.commands.send(Command::ReadItems(answer)).await.ok()?;
        tokio::time::timeout(MAJORITY_TIMEOUT, items)
            .await
            .ok()?
            .ok()
    }

    /// Another disk is to hold a seat (design 4.4).
    pub async fn replace_member(
        &self,
        change: model::ReplicaReplacement,
    ) -> Option<model::Outcome> {
        self.submit(self.new_entry(model::Operation::ReplaceReplica(change)))
            .await
    }

    pub(crate) fn new_entry(&self, act: model::Operation) -> model::Entry {
        let sequence = self
            .next_sequence
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        model::Entry {
            origin: self.config.name.clone(),
            incarnation: self.incarnation,
            sequence,
            operation: act,
        }
    }

    pub fn identity(&self) -> (u16, u64) {
        (self.config.replica_id, self.disk_id)
    }

    /// Everything accepted before this call is in `book` once it answers (design 3.9).
    pub async fn read_barrier(&self) -> Option<model::Position> {
        let (answer, position) = tokio::sync::oneshot::channel();
        self.commands
            .send(Command::ReadBarrier(answer))
            .await
            .ok()?;
        tokio::time::timeout(MAJORITY_TIMEOUT, position)
            .await
            .ok()?
            .ok()
    }
}

async fn send_ticks(commands: tokio::sync::mpsc::Sender<Command>) {
    let mut every = tokio::time::interval(Duration::from_millis(10));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        if commands.send(Command::Tick).await.is_err() {
            return;
        }
    }
}
