//! The selector's task and the handle on it.

use control::SharedVerifiedState;
use model::Microseconds;
use proxy_core::Candidate;
use tokio::sync::{mpsc, oneshot};

use super::{Selector, SelectorConfig};

/// Commands that may wait for the task.
const QUEUE_CAPACITY: usize = 4_096;
/// After so many commands, backends that left the cluster state are forgotten.
const COMMANDS_BETWEEN_REMOVALS: u64 = 4_096;

enum Command {
    Deposit(String),
    Select(Vec<Candidate>, oneshot::Sender<Option<String>>),
    AttemptFinished(String, Option<Microseconds>, bool),
    Withdraw(String, oneshot::Sender<bool>),
}

/// A handle on the task that owns selection and retry budgets. The task ends with its last handle.
#[derive(Clone)]
pub struct SelectorHandle {
    commands: mpsc::Sender<Command>,
}

impl SelectorHandle {
    /// Starts the task. `verified_state` says which backends there still are.
    pub fn start(config: SelectorConfig, verified_state: SharedVerifiedState) -> SelectorHandle {
        let (commands, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(Selector::new(config), verified_state, receiver));
        SelectorHandle { commands }
    }

    /// Counts a request of the service, which earns it part of a retry.
    pub async fn deposit(&self, service: &str) {
        self.send(Command::Deposit(service.into())).await;
    }

    /// Selects the candidate of least cost and counts an attempt on it as in flight; `None` without
    /// candidates or once the task is gone.
    pub(crate) async fn select(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (reply, selected) = oneshot::channel();
        self.send(Command::Select(candidates, reply)).await;
        selected.await.ok().flatten()
    }

    /// An attempt on the backend ended. `reported_wait` is how long a request would wait there, in
    /// microseconds, if its node said so; with `avoid` the backend is avoided for a while.
    pub async fn attempt_finished(
        &self,
        name: &str,
        reported_wait: Option<Microseconds>,
        avoid: bool,
    ) {
        self.send(Command::AttemptFinished(name.into(), reported_wait, avoid))
            .await;
    }

    /// Pays for a retry; false if the service has not earned one, or once the task is gone.
    pub async fn withdraw(&self, service: &str) -> bool {
        let (reply, granted) = oneshot::channel();
        self.send(Command::Withdraw(service.into(), reply)).await;
        granted.await.unwrap_or(false)
    }

    async fn send(&self, command: Command) {
        self.commands.send(command).await.unwrap_or_default();
    }
}

async fn run(
    mut selector: Selector,
    verified_state: SharedVerifiedState,
    mut commands: mpsc::Receiver<Command>,
) {
    let mut handled = 0u64;
    while let Some(command) = commands.recv().await {
        let now = model::now();
        match command {
            Command::Deposit(service) => selector.deposit(now, &service),
            Command::Select(candidates, reply) => {
                drop(reply.send(selector.select(now, &candidates)))
            }
            Command::AttemptFinished(name, reported_wait, avoid) => {
                selector.attempt_finished(now, &name, reported_wait, avoid);
            }
            Command::Withdraw(service, reply) => drop(reply.send(selector.withdraw(now, &service))),
        }
        handled += 1;
        if handled.is_multiple_of(COMMANDS_BETWEEN_REMOVALS) {
            selector.remove_departed(&verified_state.load().snapshot);
        }
    }
}
