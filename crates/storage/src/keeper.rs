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
    Pin {
        seat: u16,
        identity: crate::Identity,
        done: Box<dyn FnOnce(Option<crate::Identity>) + Send>,
    },
}

/// Works through jobs in order. A failed append is tried again until it holds: until then its
/// ticket is not reported, so nothing that depends on it leaves (design 3.3).
pub fn keep(
    mut shelf: crate::Shelf,
    jobs: std::sync::mpsc::Receiver<Job>,
    synced: impl Fn(u64) + Send + 'static,
    trouble: impl Fn(Option<String>) + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name("vault".into()).spawn(move || {
        jobs.into_iter().for_each(|job| match job {
            Job::Append { ticket, writes, afresh } => {
                let mut failed = false;
                while let Err(error) = shelf.append(&writes, afresh) {
                    failed = true;
                    trouble(Some(error.to_string()));
                    std::thread::sleep(std::time::Duration::from_millis(200));
                }
                if failed {
                    trouble(None);
                }
                synced(ticket);
            }
            Job::Repin { pins, writes, done } => done(shelf.repin(&pins, &writes).is_ok()),
            Job::Pin { seat, identity, done } => done(shelf.pin(seat, identity).ok()),
        });
    })
}
