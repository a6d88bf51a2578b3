//! The thread that owns the open store, since a sync blocks (design 3.3, 8.1), and the handle
//! through which others reach it.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{Builder, sleep};
use std::time::Duration;

use mencius::{PersistTicket, ReplicaId, Write};
use tokio::sync::oneshot;

use crate::error::Error;
use crate::identity::{DiskId, PinnedDisks};
use crate::store::ReplicaStore;

/// Between two tries of a failed append.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// What the writer reports by itself, from its own thread.
#[derive(Debug)]
pub enum WriterEvent {
    /// The writes of this ticket are synced.
    Persisted(PersistTicket),
    /// An append failed. It is tried again until it holds; until then its ticket is not reported,
    /// so nothing that depends on it leaves (design 3.3, 3.10).
    AppendFailed(Error),
    /// The append that failed holds now.
    Recovered,
}

/// Called on the writer's thread with what came of a change.
type Completion = Box<dyn FnOnce(Result<(), Error>) + Send>;

enum StoreCommand {
    Append {
        ticket: PersistTicket,
        writes: Vec<Write>,
        replace_journal: bool,
    },
    ReplacePins {
        pins: PinnedDisks,
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

/// The handle to the writer. Changes are made one after the other, in the order of the calls.
///
/// The thread ends after [`retire`](StoreWriter::retire) or once all handles are dropped.
#[derive(Clone, Debug)]
pub struct StoreWriter {
    commands: Sender<StoreCommand>,
}

impl StoreWriter {
    /// Starts the thread that owns `store`. `on_event` is called on that thread and may block.
    ///
    /// # Errors
    /// [`Error::Thread`] if the system has no thread to give.
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

    /// Appends to the journal; answered by [`WriterEvent::Persisted`].
    pub fn append(&self, ticket: PersistTicket, writes: Vec<Write>, replace_journal: bool) {
        self.send(StoreCommand::Append {
            ticket,
            writes,
            replace_journal,
        });
    }

    /// Binds replicas to the disks that took them over, and keeps `writes` with it: both or neither
    /// ([`ReplicaStore::replace_pinned_disks`]). `on_done` is called on the writer's thread, before any
    /// later change, and not at all if the writer has stopped.
    pub fn replace_pinned_disks(
        &self,
        pins: PinnedDisks,
        writes: Vec<Write>,
        on_done: impl FnOnce(Result<(), Error>) + Send + 'static,
    ) {
        self.send(StoreCommand::ReplacePins {
            pins,
            writes,
            on_done: Box::new(on_done),
        });
    }

    /// Binds a replica to the disk first met for it. Returns the disk that it is bound to now.
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

    /// Another disk holds this one's replica: forgets all that was kept for it
    /// ([`ReplicaStore::retire`]) and ends the writer. The file is closed when this returns, so
    /// that whoever waits may open it. The process is to end: nothing is kept any more.
    ///
    /// # Errors
    /// [`Error::Store`] or [`Error::WriterStopped`]; the writer goes on after the former.
    pub async fn retire(&self) -> Result<(), Error> {
        let (reply, answer) = oneshot::channel();
        self.send(StoreCommand::Retire { reply });
        answer.await.map_err(|_| Error::WriterStopped)?
    }

    /// A writer that has stopped takes nothing; whoever waits for an answer sees that the reply is
    /// dropped.
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
                append_until_it_holds(&mut store, &writes, replace_journal, &on_event);
                on_event(WriterEvent::Persisted(ticket));
            }
            StoreCommand::ReplacePins {
                pins,
                writes,
                on_done,
            } => {
                on_done(store.replace_pinned_disks(&pins, &writes));
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
                    // Closed before it is reported, so that whoever waits may open the file.
                    drop(store);
                    answer(reply, Ok(()));
                    return;
                }
                Err(error) => answer(reply, Err(error)),
            },
        }
    }
}

fn append_until_it_holds(
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

/// Whoever asked may have stopped waiting.
fn answer<T>(reply: oneshot::Sender<T>, result: T) {
    drop(reply.send(result));
}
