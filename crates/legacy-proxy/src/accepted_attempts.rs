//! Attempts that this node accepted, and the errors of those that certainly did not run (design 5.5).

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};

use model::{Error, ErrorKind};
use tokio::sync::{mpsc, oneshot};

/// Commands that may wait for the task.
const QUEUE_CAPACITY: usize = 1_024;
/// So many attempts are remembered. They are counted and not timed: a client that was suspended for
/// an hour finds its attempt still known.
pub const MAX_ATTEMPTS: usize = 65_536;

/// The attempts that one node accepted. An attempt id is unique under its registration, so its text is
/// its identity. Pure.
#[derive(Default)]
pub struct AcceptedAttempts {
    /// `None` while it is in flight, and for ever once it may have run.
    table: HashMap<String, Option<Error>>,
    order: VecDeque<String>,
}

impl AcceptedAttempts {
    /// Accepts an attempt that was not seen before.
    ///
    /// # Errors
    ///
    /// For a second arrival: the error of the first if it certainly did not run, else
    /// [`ErrorKind::DuplicateAttempt`].
    pub fn accept(&mut self, attempt_id: &str) -> Result<(), Error> {
        match self.table.get(attempt_id) {
            Some(Some(first)) => return Err(first.clone()),
            Some(None) => {
                return Err(Error::new(
                    ErrorKind::DuplicateAttempt,
                    "this node has taken this try before; its first answer stands",
                ));
            }
            None => {}
        }
        self.table.insert(attempt_id.to_string(), None);
        self.order.push_back(attempt_id.to_string());
        if self.order.len() > MAX_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.table.remove(&oldest);
        }
        Ok(())
    }

    /// The attempt certainly did not run, and never will: whoever sends it again gets the same error.
    pub fn record_not_run(&mut self, attempt_id: &str, error: Error) {
        if let Some(held) = self.table.get_mut(attempt_id) {
            *held = Some(error);
        }
    }
}

enum Command {
    Accept(String, oneshot::Sender<Result<(), Error>>),
    RecordNotRun(String, Error),
}

/// A handle on the task that owns the table. The task ends with its last handle.
#[derive(Clone)]
pub struct AcceptedAttemptsHandle {
    commands: mpsc::Sender<Command>,
}

impl AcceptedAttemptsHandle {
    /// Starts the task.
    pub fn start() -> Self {
        let (commands, mut receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(async move {
            let mut accepted = AcceptedAttempts::default();
            while let Some(command) = receiver.recv().await {
                match command {
                    Command::Accept(attempt_id, reply) => {
                        drop(reply.send(accepted.accept(&attempt_id)))
                    }
                    Command::RecordNotRun(attempt_id, error) => {
                        accepted.record_not_run(&attempt_id, error)
                    }
                }
            }
        });
        AcceptedAttemptsHandle { commands }
    }

    /// Accepts an attempt; see [`AcceptedAttempts::accept`] for the errors.
    pub async fn accept(&self, attempt_id: &str) -> Result<(), Error> {
        let (reply, accepted) = oneshot::channel();
        self.commands
            .send(Command::Accept(attempt_id.to_string(), reply))
            .await
            .unwrap_or_default();
        accepted.await.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::DuplicateAttempt,
                "the table of tries is gone; whether it ran is not known here",
            ))
        })
    }

    /// The attempt certainly did not run.
    pub async fn record_not_run(&self, attempt_id: &str, error: Error) {
        self.commands
            .send(Command::RecordNotRun(attempt_id.to_string(), error))
            .await
            .unwrap_or_default();
    }
}
