//! The shelf's one owner: a thread of its own, since a sync blocks (design 3.3, 8.1).

use std::sync::mpsc::Receiver;
use std::thread::Builder;
use std::thread::JoinHandle;
use std::time::Duration;

pub enum StoreCommand {
    Append {
        ticket: u64,
        writes: Vec<mencius::Write>,
        replace_journal: bool,
    },
    /// Holders, and with them where this disk begins to vote, if it is new in its seat: both or neither.
    ReplacePins {
        pins: Vec<(u16, crate::DiskId)>,
        writes: Vec<mencius::Write>,
        done: Box<dyn FnOnce(bool) + Send>,
    },
    /// Another disk holds this one's seat. Nothing is kept after it: the process is to end.
    Retire { done: Box<dyn FnOnce(bool) + Send> },
    Pin {
        replica_id: u16,
        disk_id: crate::DiskId,
        done: Box<dyn FnOnce(Option<crate::DiskId>) + Send>,
    },
}

/// Between two tries of a failed write.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Works through jobs in order. A failed append is tried again until it holds: until then its
/// ticket is not reported, so nothing that depends on it leaves (design 3.3).
pub fn spawn_writer(
    mut shelf: crate::ReplicaStore,
    jobs: Receiver<StoreCommand>,
    synced: impl Fn(u64) + Send + 'static,
    trouble: impl Fn(Option<String>) + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    Builder::new().name("vault".into()).spawn(move || {
        for job in jobs {
            match job {
                StoreCommand::Append {
                    ticket,
                    writes,
                    replace_journal: afresh,
                } => {
                    append(&mut shelf, &writes, afresh, &trouble);
                    synced(ticket);
                }
                StoreCommand::ReplacePins { pins, writes, done } => {
                    done(shelf.replace_pins(&pins, &writes).is_ok())
                }
                StoreCommand::Pin {
                    replica_id: seat,
                    disk_id: identity,
                    done,
                } => done(shelf.pin_disk(seat, identity).ok()),
                StoreCommand::Retire { done } => match shelf.retire() {
                    Ok(()) => {
                        // Closed before it is told, so that whoever waits may open it.
                        drop(shelf);
                        return done(true);
                    }
                    Err(_) => done(false),
                },
            }
        }
    })
}

/// Until it holds.
fn append(
    shelf: &mut crate::ReplicaStore,
    writes: &[mencius::Write],
    afresh: bool,
    trouble: &impl Fn(Option<String>),
) {
    let mut failed = false;
    while let Err(error) = shelf.append(writes, afresh) {
        failed = true;
        trouble(Some(error.to_string()));
        std::thread::sleep(RETRY_INTERVAL);
    }
    if failed {
        trouble(None);
    }
}
