//! Load balancing: selects the backend for the next attempt (design 5.2).
//!
//! The selector of `outbound` weighs waiting times against the cost of leaving the zone. This one
//! always prefers backends in the zone of this node, and among those the ones with the smaller
//! share of their slots in use by attempts from this node.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use model::Microseconds;
use proxy_core::{FAILURE_COOLDOWN, least_cost};
use tokio::sync::{mpsc, oneshot};

pub use proxy_core::Candidate;

/// Capacity of the task's command channel.
const QUEUE_CAPACITY: usize = 1_024;
/// Scale of the shares of slots in use, which are compared in thousandths.
const SHARE_SCALE: u64 = 1_000;

/// The load that this node puts on a backend, and its cooldown.
#[derive(Default)]
struct BackendLoad {
    /// Number of attempts from this node that are in flight.
    in_flight: u32,
    /// End of the cooldown; until then the backend is selected only if all others are avoided too.
    avoid_until: Microseconds,
}

/// The state of selection. Performs no I/O and reads no clock: the caller passes the time in.
#[derive(Default)]
pub struct Selector {
    backends: HashMap<String, BackendLoad>,
}

impl Selector {
    /// Selects the candidate with the least load and counts the attempt as in flight. Candidates of
    /// equal load take turns: the caller increments `rotation` with each call.
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
            let share = in_flight * SHARE_SCALE / u64::from(candidate.slots.max(1));
            (avoided, !candidate.same_zone, share)
        })?;
        let name = selected.name.clone();
        self.backends.entry(name.clone()).or_default().in_flight += 1;
        Some(name)
    }

    /// Records that an attempt ended; `start_cooldown` starts a cooldown of the backend.
    pub fn attempt_finished(&mut self, now: Microseconds, name: &str, start_cooldown: bool) {
        let Some(load) = self.backends.get_mut(name) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if start_cooldown {
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

/// Handle on the task that owns the selector. The task ends when its last handle is dropped.
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

    /// Selects the candidate with the least load and counts an attempt on it as in flight; `None`
    /// if there are no candidates or the task has ended.
    pub async fn select(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (reply, selected) = oneshot::channel();
        self.commands
            .send(Command::Select(candidates, reply))
            .await
            .ok()?;
        selected.await.ok().flatten()
    }

    /// Records that an attempt on the backend ended; `start_cooldown` starts a cooldown of the
    /// backend.
    pub async fn attempt_finished(&self, name: &str, start_cooldown: bool) {
        self.commands
            .send(Command::AttemptFinished(name.to_string(), start_cooldown))
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
            Command::AttemptFinished(name, start_cooldown) => {
                selector.attempt_finished(model::now(), &name, start_cooldown)
            }
        }
    }
}
