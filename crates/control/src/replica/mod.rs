//! One replica of the replicated log: its event loop, its connections to peers, and the handle
//! through which the rest of the process uses it.
//!
//! The event loop alone owns the log and the state. `command` defines its inputs and `handle` sends
//! them; neither module depends on the event loop (design 8.1).

pub(crate) mod command;
mod effects;
pub(crate) mod event_loop;
mod handle;
pub(crate) mod peer_link;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use mencius::Write;
use slog::Logger;
use storage::{ReplicaStore, StoreWriter, WriterEvent};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::membership::discovery;
use command::Command;
use event_loop::ReplicaEventLoop;

pub use handle::{MAJORITY_TIMEOUT, ReplicaConfig, ReplicaHandle, ReplicaStatus};

/// Capacity of the queue of the event loop, in commands; a sender that finds it full waits.
const COMMAND_QUEUE_CAPACITY: usize = 4_096;

/// Interval between two ticks of the event loop.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

impl ReplicaHandle {
    /// Opens the database in the configured folder and starts the replica.
    pub fn start(config: ReplicaConfig, logger: Logger) -> Result<ReplicaHandle, storage::Error> {
        let recovered = ReplicaStore::open(&config.folder)?;
        ReplicaHandle::start_on(config, recovered.store, recovered.writes, logger)
    }

    /// Starts the replica on a database that is already open, with the writes recovered from it.
    /// Tests pass databases on simulated disks that fail (design 9.4).
    pub fn start_on(
        config: ReplicaConfig,
        store: ReplicaStore,
        writes: Vec<Write>,
        logger: Logger,
    ) -> Result<ReplicaHandle, storage::Error> {
        let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (position_sender, position) = watch::channel(0);
        let pinned_disks = store.pinned_disks.clone();
        let (disk_id, start_count) = (store.disk_id, store.start_count);
        let store_writer = start_writer(store, commands.clone())?;
        let handle = ReplicaHandle {
            commands: commands.clone(),
            store_writer,
            state_machine: Arc::default(),
            position,
            status: Arc::default(),
            known_replicas: discovery::empty(),
            disk_id,
            started_with_empty_disk: writes.is_empty(),
            pinned_disks: Arc::new(ArcSwap::from_pointee(pinned_disks.clone())),
            incarnation: model::incarnation::draw(),
            start_count,
            next_sequence: Arc::default(),
            logger,
            config: Arc::new(config),
        };
        discovery::merge(&handle.known_replicas, vec![handle.own_location()]);
        slog::info!(handle.logger, "replica started";
            "replica_id" => handle.replica_id(),
            "disk_id" => handle.disk_id,
            "writes" => writes.len(),
            "pinned_peers" => pinned_disks.len());
        let event_loop = ReplicaEventLoop::new(&handle, writes, pinned_disks, position_sender);
        tokio::spawn(event_loop.run(command_queue));
        tokio::spawn(send_ticks(commands));
        peer_link::start(&handle);
        Ok(handle)
    }
}

/// Starts the thread that owns the database and reports its events as commands to the event loop.
fn start_writer(
    store: ReplicaStore,
    commands: mpsc::Sender<Command>,
) -> Result<StoreWriter, storage::Error> {
    StoreWriter::spawn(store, move |event| {
        let command = match event {
            WriterEvent::Persisted(ticket) => Command::Synced { ticket },
            WriterEvent::AppendFailed(error) => Command::DiskStatus {
                error: Some(error.to_string()),
            },
            WriterEvent::Recovered => Command::DiskStatus { error: None },
        };
        // The send fails only after the event loop has ended, when nothing waits for the disk.
        drop(commands.blocking_send(command));
    })
}

async fn send_ticks(commands: mpsc::Sender<Command>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if commands.send(Command::Tick).await.is_err() {
            return;
        }
    }
}
