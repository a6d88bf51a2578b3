//! Attempts that this node accepted, with the errors of those that certainly did not run
//! (design 5.5).

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};

use model::{Error, ErrorKind};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the task's command channel.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of attempts in the table. The table is bounded by count and not by time, so that
/// an attempt is still known to a client that was suspended for an hour.
pub const MAX_ATTEMPTS: usize = 65_536;

/// The attempts that one node accepted. Attempt ids begin with the prefix of their client's
/// registration, so the id alone identifies an attempt.
#[derive(Default)]
pub struct AcceptedAttempts {
    /// The error of an attempt that certainly did not run; `None` for one that is in flight or may
    /// have run.
    table: HashMap<String, Option<Error>>,
    /// Attempt ids, oldest first.
    order: VecDeque<String>,
}

impl AcceptedAttempts {
    /// Accepts an attempt that has not arrived before.
    ///
    /// # Errors
    ///
    /// For a duplicate: the error of the first arrival if that certainly did not run, otherwise
    /// [`ErrorKind::DuplicateAttempt`].
    pub fn accept(&mut self, attempt_id: &str) -> Result<(), Error> {
        match self.table.get(attempt_id) {
            Some(Some(first)) => return Err(first.clone()),
            Some(None) => {
                return Err(Error::new(
                    ErrorKind::DuplicateAttempt,
                    "this node has already accepted this attempt; its first answer stands",
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

    /// Records that the attempt certainly did not run and never will: duplicates get the same
    /// error.
    pub fn record_not_run(&mut self, attempt_id: &str, error: Error) {
        if let Some(outcome) = self.table.get_mut(attempt_id) {
            *outcome = Some(error);
        }
    }
}

enum Command {
    Accept(String, oneshot::Sender<Result<(), Error>>),
    RecordNotRun(String, Error),
}

/// Handle on the task that owns the table. The task ends when its last handle is dropped.
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
                "the table of accepted attempts was lost; whether this attempt ran is unknown",
            ))
        })
    }

    /// Records that an attempt certainly did not run.
    pub async fn record_not_run(&self, attempt_id: &str, error: Error) {
        self.commands
            .send(Command::RecordNotRun(attempt_id.to_string(), error))
            .await
            .unwrap_or_default();
    }
}
