//! Tries this node has taken, and the answers of those that certainly did not run (design 5.5).

use model::{Error, ErrorKind};
use std::collections::HashMap;
use std::collections::VecDeque;

/// Counted, not timed: a sender that slept for an hour finds its try still known when it wakes.
pub const MAX_ATTEMPTS: usize = 65_536;

/// Pure: one table per usher. A try is named under a registration, so its identity is its text.
#[derive(Default)]
pub struct AcceptedAttempts {
    /// `None` while it is under way, and for ever once it may have run.
    table: HashMap<String, Option<Error>>,
    order: VecDeque<String>,
}

impl AcceptedAttempts {
    /// A second arrival gets the first one's certain answer, or hears that there was a first.
    pub fn accept(&mut self, try_id: &str) -> Result<(), Error> {
        match self.table.get(try_id) {
            Some(Some(first)) => return Err(first.clone()),
            Some(None) => {
                return Err(Error::new(
                    ErrorKind::DuplicateAttempt,
                    "this node has taken this try before; its first answer stands",
                ));
            }
            None => {}
        }
        self.table.insert(try_id.to_string(), None);
        self.order.push_back(try_id.to_string());
        if self.order.len() > MAX_ATTEMPTS {
            self.order
                .pop_front()
                .into_iter()
                .for_each(|oldest| drop(self.table.remove(&oldest)));
        }
        Ok(())
    }

    /// It certainly did not run, and never will: whoever sends it again is told the same.
    pub fn did_not_run(&mut self, try_id: &str, trouble: Error) {
        if let Some(held) = self.table.get_mut(try_id) {
            *held = Some(trouble);
        }
    }
}

enum Command {
    Accept(String, tokio::sync::oneshot::Sender<Result<(), Error>>),
    DidNotRun(String, Error),
}

#[derive(Clone)]
pub struct AcceptedAttemptsHandle(tokio::sync::mpsc::Sender<Command>);

impl AcceptedAttemptsHandle {
    pub fn start() -> Self {
        let (sender, mut commands) = tokio::sync::mpsc::channel(1_024);
        tokio::spawn(async move {
            let mut taken = AcceptedAttempts::default();
            while let Some(command) = commands.recv().await {
                match command {
                    Command::Accept(try_id, answer) => drop(answer.send(taken.accept(&try_id))),
                    Command::DidNotRun(try_id, trouble) => taken.did_not_run(&try_id, trouble),
                }
            }
        });
        AcceptedAttemptsHandle(sender)
    }

    pub async fn accept(&self, try_id: &str) -> Result<(), Error> {
        let (answer, taken) = tokio::sync::oneshot::channel();
        self.0
            .send(Command::Accept(try_id.to_string(), answer))
            .await
            .unwrap_or_default();
        taken.await.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::DuplicateAttempt,
                "the table of tries is gone; whether it ran is not known here",
            ))
        })
    }

    pub async fn did_not_run(&self, try_id: &str, trouble: Error) {
        self.0
            .send(Command::DidNotRun(try_id.to_string(), trouble))
            .await
            .unwrap_or_default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_second_arrival_never_runs_and_hears_what_is_true_of_the_try() {
        let mut taken = AcceptedAttempts::default();
        assert_eq!(taken.accept("seat-0.7.a"), Ok(()));
        let again = taken.accept("seat-0.7.a").expect_err("under way");
        assert_eq!(
            (again.kind, again.execution_status),
            (
                ErrorKind::DuplicateAttempt,
                model::ExecutionStatus::MayHaveRun
            )
        );
        let first = Error::new(ErrorKind::StaleState, "no proof");
        assert_eq!(taken.accept("seat-0.7.b"), Ok(()));
        taken.did_not_run("seat-0.7.b", first.clone());
        assert_eq!(
            taken.accept("seat-0.7.b"),
            Err(first),
            "what was told not to run does not run later"
        );
    }

    #[test]
    fn the_table_is_bounded_by_count() {
        let mut taken = AcceptedAttempts::default();
        (0..MAX_ATTEMPTS + 10)
            .for_each(|number| assert_eq!(taken.accept(&format!("a.1.{number}")), Ok(())));
        assert_eq!(
            (taken.table.len(), taken.order.len()),
            (MAX_ATTEMPTS, MAX_ATTEMPTS)
        );
        assert!(taken.accept(&format!("a.1.{}", MAX_ATTEMPTS + 9)).is_err());
    }
}
