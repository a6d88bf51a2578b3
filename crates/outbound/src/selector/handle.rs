//! The selector task and its handle.

use control::SharedVerifiedState;
use model::Microseconds;
use proxy_core::Candidate;
use tokio::sync::{mpsc, oneshot};

use super::{Selector, SelectorConfig};

/// Capacity of the task's command queue.
const COMMAND_QUEUE_CAPACITY: usize = 4_096;
/// Number of commands between two removals of backends that left the cluster state.
const COMMANDS_BETWEEN_REMOVALS: u64 = 4_096;

enum Command {
    Deposit(String),
    Select(Vec<Candidate>, oneshot::Sender<Option<String>>),
    AttemptFinished(String, Option<Microseconds>, bool),
    Withdraw(String, oneshot::Sender<bool>),
}

/// Handle of the task that owns selection and retry budgets. The task ends when the last handle is
/// dropped.
#[derive(Clone)]
pub struct SelectorHandle {
    commands: mpsc::Sender<Command>,
}

impl SelectorHandle {
    /// Starts the task. `verified_state` is used to find backends that left the cluster state.
    pub fn start(config: SelectorConfig, verified_state: SharedVerifiedState) -> SelectorHandle {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        tokio::spawn(run(Selector::new(config), verified_state, receiver));
        SelectorHandle { commands }
    }

    /// Counts a request of the service, which adds a deposit to the service's retry budget.
    pub async fn deposit(&self, service: &str) {
        self.send(Command::Deposit(service.into())).await;
    }

    /// Selects the candidate of least cost and counts an attempt on it as in flight; `None` if
    /// there are no candidates or the task has ended.
    pub(crate) async fn select(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (reply, selected) = oneshot::channel();
        self.send(Command::Select(candidates, reply)).await;
        selected.await.ok().flatten()
    }

    /// Records the end of an attempt on the backend. `reported_wait` is the expected wait that the
    /// backend's node reported, in microseconds, if any; with `start_cooldown` the backend is
    /// avoided for a while.
    pub async fn attempt_finished(
        &self,
        name: &str,
        reported_wait: Option<Microseconds>,
        start_cooldown: bool,
    ) {
        self.send(Command::AttemptFinished(
            name.into(),
            reported_wait,
            start_cooldown,
        ))
        .await;
    }

    /// Withdraws one retry from the service's budget; false if the budget does not suffice or the
    /// task has ended.
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
    let mut command_count = 0u64;
    while let Some(command) = commands.recv().await {
        let now = model::now();
        match command {
            Command::Deposit(service) => selector.deposit(now, &service),
            Command::Select(candidates, reply) => {
                drop(reply.send(selector.select(now, &candidates)))
            }
            Command::AttemptFinished(name, reported_wait, start_cooldown) => {
                selector.attempt_finished(now, &name, reported_wait, start_cooldown);
            }
            Command::Withdraw(service, reply) => drop(reply.send(selector.withdraw(now, &service))),
        }
        command_count += 1;
        if command_count.is_multiple_of(COMMANDS_BETWEEN_REMOVALS) {
            selector.remove_departed(&verified_state.load().snapshot);
        }
    }
}
