//! Load balancing: which backend gets the next request (design 5.2).
//!
//! Unlike the selector of `outbound`, which weighs waiting times against the cost of leaving the
//! zone, backends of the own zone always come first here, then those with the lower share of their
//! slots in flight from this node.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use model::Microseconds;
use proxy_core::{FAILURE_COOLDOWN, least_cost};
use tokio::sync::{mpsc, oneshot};

pub use proxy_core::Candidate;

/// Commands that may wait for the selector's task.
const QUEUE_CAPACITY: usize = 1_024;
/// Shares of slots are compared in thousandths.
const WHOLE_SHARE: u64 = 1_000;

/// What is known here of a backend.
#[derive(Default)]
struct BackendLoad {
    /// Attempts from this node that began and did not finish.
    in_flight: u32,
    /// Until then it is selected only if all others are avoided too.
    avoid_until: Microseconds,
}

/// The state of selection. Pure, with the time passed in.
#[derive(Default)]
pub struct Selector {
    backends: HashMap<String, BackendLoad>,
}

impl Selector {
    /// Selects the candidate of least load and counts the attempt as in flight. Among equals they
    /// take turns: `rotation` is to be one more each time.
    pub fn select(
        &mut self,
        now: Microseconds,
        candidates: &[Candidate],
        rotation: u64,
    ) -> Option<String> {
        let selected = least_cost(candidates, rotation, |candidate| {
            let load = self.backends.get(&candidate.name);
            let avoided = load.is_some_and(|load| now < load.avoid_until);
            let in_flight = u64::from(load.map(|load| load.in_flight).unwrap_or(0));
            let share = in_flight * WHOLE_SHARE / u64::from(candidate.slots.max(1));
            (avoided, !candidate.same_zone, share)
        })?;
        let name = selected.name.clone();
        self.backends.entry(name.clone()).or_default().in_flight += 1;
        Some(name)
    }

    /// An attempt ended; with `avoid` the backend is avoided for a while.
    pub fn attempt_finished(&mut self, now: Microseconds, name: &str, avoid: bool) {
        let Some(load) = self.backends.get_mut(name) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if avoid {
            load.avoid_until = now + FAILURE_COOLDOWN;
        }
        if load.in_flight == 0 && now >= load.avoid_until {
            self.backends.remove(name);
        }
    }
}

enum Command {
    Select(Vec<Candidate>, oneshot::Sender<Option<String>>),
    AttemptFinished(String, bool),
}

/// A handle on the task that owns selection. The task ends with its last handle.
#[derive(Clone)]
pub struct SelectorHandle {
    commands: mpsc::Sender<Command>,
}

impl SelectorHandle {
    /// Starts the task.
    pub fn start() -> Self {
        let (commands, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(receiver));
        SelectorHandle { commands }
    }

    /// Selects the candidate of least load and counts an attempt on it as in flight; `None` without
    /// candidates or once the task is gone.
    pub async fn select(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (reply, selected) = oneshot::channel();
        self.commands
            .send(Command::Select(candidates, reply))
            .await
            .ok()?;
        selected.await.ok().flatten()
    }

    /// An attempt on the backend ended; with `avoid` the backend is avoided for a while.
    pub async fn attempt_finished(&self, name: &str, avoid: bool) {
        self.commands
            .send(Command::AttemptFinished(name.to_string(), avoid))
            .await
            .unwrap_or_default();
    }
}

async fn run(mut commands: mpsc::Receiver<Command>) {
    let mut selector = Selector::default();
    let mut rotation = 0;
    while let Some(command) = commands.recv().await {
        match command {
            Command::Select(candidates, reply) => {
                rotation += 1;
                drop(reply.send(selector.select(model::now(), &candidates, rotation)));
            }
            Command::AttemptFinished(name, avoid) => {
                selector.attempt_finished(model::now(), &name, avoid)
            }
        }
    }
}
