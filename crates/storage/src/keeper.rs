//! The shelf's one owner: a thread of its own, since a sync blocks (design 3.3, 8.1).

pub enum Job {
    Append {
        ticket: u64,
        writes: Vec<mencius::Write>,
        afresh: bool,
    },
    /// Holders, and with them where this disk begins to vote, if it is new in its seat: both or neither.
    Repin {
        pins: Vec<(u16, crate::Identity)>,
        writes: Vec<mencius::Write>,
        done: Box<dyn FnOnce(bool) + Send>,
    },
    /// Another disk holds this one's seat. Nothing is kept after it: the process is to end.
    Retire {
        done: Box<dyn FnOnce(bool) + Send>,
    },
    Pin {
        seat: u16,
        identity: crate::Identity,
        done: Box<dyn FnOnce(Option<crate::Identity>) + Send>,
    },
}

/// Between two tries of a failed write.
const RETRY_EVERY: std::time::Duration = std::time::Duration::from_millis(200);

/// Works through jobs in order. A failed append is tried again until it holds: until then its
/// ticket is not reported, so nothing that depends on it leaves (design 3.3).
pub fn keep(
    mut shelf: crate::Shelf,
    jobs: std::sync::mpsc::Receiver<Job>,
    synced: impl Fn(u64) + Send + 'static,
    trouble: impl Fn(Option<String>) + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name("vault".into()).spawn(move || {
        for job in jobs {
            match job {
                Job::Append { ticket, writes, afresh } => {
                    append(&mut shelf, &writes, afresh, &trouble);
                    synced(ticket);
                }
                Job::Repin { pins, writes, done } => done(shelf.repin(&pins, &writes).is_ok()),
                Job::Pin { seat, identity, done } => done(shelf.pin(seat, identity).ok()),
                Job::Retire { done } => match shelf.retire() {
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
fn append(shelf: &mut crate::Shelf, writes: &[mencius::Write], afresh: bool, trouble: &impl Fn(Option<String>)) {
    let mut failed = false;
    while let Err(error) = shelf.append(writes, afresh) {
        failed = true;
        trouble(Some(error.to_string()));
        std::thread::sleep(RETRY_EVERY);
    }
    if failed {
        trouble(None);
    }
}
