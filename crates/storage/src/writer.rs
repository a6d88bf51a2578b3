//! The thread that owns the open store, as syncs block (design 3.3, 8.1), and the handle to it.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{Builder, sleep};
use std::time::Duration;

use mencius::{PersistTicket, ReplicaId, Write};
use tokio::sync::oneshot;

use crate::error::Error;
use crate::identity::{DiskId, PinnedDisks};
use crate::store::ReplicaStore;

/// The interval between two attempts of a failed append.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// An event that the writer reports from its own thread.
#[derive(Debug)]
pub enum WriterEvent {
    /// The writes with this ticket are synced.
    Persisted(PersistTicket),
    /// An append failed. It is retried until it succeeds. Its ticket is not reported before that,
    /// so no message that depends on the writes is sent (design 3.3, 3.10).
    AppendFailed(Error),
    /// A previously failed append has succeeded.
    Recovered,
}

/// Called on the writer's thread with the result of a change.
type Completion = Box<dyn FnOnce(Result<(), Error>) + Send>;

enum StoreCommand {
    Append {
        ticket: PersistTicket,
        writes: Vec<Write>,
        replace_journal: bool,
    },
    ReplacePinnedDisks {
        pinned_disks: PinnedDisks,
        writes: Vec<Write>,
        on_done: Completion,
    },
    PinDisk {
        replica_id: ReplicaId,
        disk_id: DiskId,
        reply: oneshot::Sender<Result<DiskId, Error>>,
    },
    Retire {
        reply: oneshot::Sender<Result<(), Error>>,
    },
}

/// The handle to the writer thread. Changes are made one at a time, in the order of the calls.
///
/// The thread ends after [`retire`](StoreWriter::retire) or when all handles are dropped.
#[derive(Clone, Debug)]
pub struct StoreWriter {
    commands: Sender<StoreCommand>,
}

impl StoreWriter {
    /// Starts the thread that owns `store`. `on_event` is called on that thread and may block.
    ///
    /// # Errors
    /// [`Error::Thread`] if the operating system cannot start the thread.
    pub fn spawn(
        store: ReplicaStore,
        on_event: impl Fn(WriterEvent) + Send + 'static,
    ) -> Result<StoreWriter, Error> {
        let (commands, received) = channel();
        Builder::new()
            .name("store-writer".into())
            .spawn(move || run(store, received, on_event))
            .map_err(Error::Thread)?;
        Ok(StoreWriter { commands })
    }

    /// Appends a record to the journal; completion is reported by [`WriterEvent::Persisted`].
    pub fn append(&self, ticket: PersistTicket, writes: Vec<Write>, replace_journal: bool) {
        self.send(StoreCommand::Append {
            ticket,
            writes,
            replace_journal,
        });
    }

    /// Pins the disks that took over replicas and appends `writes`, atomically
    /// ([`ReplicaStore::replace_pinned_disks`]). `on_done` is called on the writer's thread, before
    /// any later change; it is not called if the writer has stopped.
    pub fn replace_pinned_disks(
        &self,
        pinned_disks: PinnedDisks,
        writes: Vec<Write>,
        on_done: impl FnOnce(Result<(), Error>) + Send + 'static,
    ) {
        self.send(StoreCommand::ReplacePinnedDisks {
            pinned_disks,
            writes,
            on_done: Box::new(on_done),
        });
    }

    /// Pins a disk for a replica, unless one is already pinned. Returns the disk that is now pinned
    /// for the replica.
    ///
    /// # Errors
    /// [`Error::Store`] or [`Error::WriterStopped`].
    pub async fn pin_disk(&self, replica_id: ReplicaId, disk_id: DiskId) -> Result<DiskId, Error> {
        let (reply, answer) = oneshot::channel();
        self.send(StoreCommand::PinDisk {
            replica_id,
            disk_id,
            reply,
        });
        answer.await.map_err(|_| Error::WriterStopped)?
    }

    /// Retires the disk after another disk has taken over its replica ([`ReplicaStore::retire`])
    /// and stops the writer. The file is closed when this function returns, so that the caller may
    /// open it. The process should exit afterwards, as no further changes are stored.
    ///
    /// # Errors
    /// [`Error::Store`] or [`Error::WriterStopped`]; after the former, the writer continues.
    pub async fn retire(&self) -> Result<(), Error> {
        let (reply, answer) = oneshot::channel();
        self.send(StoreCommand::Retire { reply });
        answer.await.map_err(|_| Error::WriterStopped)?
    }

    /// Sends a command to the writer. If the writer has stopped, the command is dropped together
    /// with its reply channel, which ends the wait of the caller.
    fn send(&self, command: StoreCommand) {
        drop(self.commands.send(command));
    }
}

fn run(mut store: ReplicaStore, commands: Receiver<StoreCommand>, on_event: impl Fn(WriterEvent)) {
    for command in commands {
        match command {
            StoreCommand::Append {
                ticket,
                writes,
                replace_journal,
            } => {
                append_with_retries(&mut store, &writes, replace_journal, &on_event);
                on_event(WriterEvent::Persisted(ticket));
            }
            StoreCommand::ReplacePinnedDisks {
                pinned_disks,
                writes,
                on_done,
            } => {
                on_done(store.replace_pinned_disks(&pinned_disks, &writes));
            }
            StoreCommand::PinDisk {
                replica_id,
                disk_id,
                reply,
            } => {
                answer(reply, store.pin_disk(replica_id, disk_id));
            }
            StoreCommand::Retire { reply } => match store.retire() {
                Ok(()) => {
                    // Close the file before replying, so that the caller may open it.
                    drop(store);
                    answer(reply, Ok(()));
                    return;
                }
                Err(error) => answer(reply, Err(error)),
            },
        }
    }
}

fn append_with_retries(
    store: &mut ReplicaStore,
    writes: &[Write],
    replace_journal: bool,
    on_event: &impl Fn(WriterEvent),
) {
    let mut failed = false;
    while let Err(error) = store.append(writes, replace_journal) {
        failed = true;
        on_event(WriterEvent::AppendFailed(error));
        sleep(RETRY_INTERVAL);
    }
    if failed {
        on_event(WriterEvent::Recovered);
    }
}

/// Sends a reply; the caller may have stopped waiting for it.
fn answer<T>(reply: oneshot::Sender<T>, result: T) {
    drop(reply.send(result));
}
