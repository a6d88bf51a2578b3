//! The lease table's task: processes commands in order and, after each, sends the reports that are due and updates the
//! concurrency limiter's view of the backend.

use std::time::Duration;

use inbound::{HeldKeys, LocalBackend};
use model::cluster_state::StateSnapshot;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::command::Command;
use super::state::{LeaseTableTask, MAX_MISSED_HEARTBEATS, is_keyed};
use crate::restored_backend::restored_backend;

/// Interval between two [`Command::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(250);

pub(super) async fn run(mut task: LeaseTableTask, mut commands: mpsc::Receiver<Command>) {
    while let Some(command) = commands.recv().await {
        task.handle(command).await;
    }
}

/// Sends a command for each change of the verified state and for each tick.
pub(super) async fn forward_wakeups(
    commands: mpsc::Sender<Command>,
    mut changes: watch::Receiver<u64>,
) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let command = tokio::select! {
            changed = changes.changed() => match changed {
                Ok(()) => Command::StateChanged,
                Err(_) => return,
            },
            _ = ticks.tick() => Command::Tick,
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}

impl LeaseTableTask {
    async fn handle(&mut self, command: Command) {
        match command {
            Command::Heartbeat {
                heartbeat,
                response,
            } => self.receive_heartbeat(*heartbeat, response),
            Command::ResponseDue { name, sequence } => self.send_due_response(&name, sequence),
            Command::Deregister { name, done } => self.deregister(name, done),
            Command::StateChanged => self.state_changed(),
            Command::Tick => self.check_silence(),
            Command::Reported { reports, outcome } => self.handle_report_outcome(&reports, outcome),
            Command::Probed { name, refused } => self.handle_probe_outcome(&name, refused),
        }
        self.send_reports();
        self.limiter.set_backend(self.backend_for_limiter()).await;
    }

    /// Sends the delayed response if `sequence` is the latest heartbeat; earlier heartbeats are already answered.
    fn send_due_response(&mut self, name: &str, sequence: u64) {
        let is_latest = self.backend.as_ref().is_some_and(|backend| {
            backend.heartbeat.name == name && backend.heartbeat.sequence == sequence
        });
        if is_latest {
            self.answer_heartbeat(true);
        }
    }

    fn deregister(&mut self, name: String, done: oneshot::Sender<()>) {
        self.pending_ends.entry(name.clone()).or_insert(false);
        if let Some(backend) = self
            .backend
            .as_mut()
            .filter(|own| own.heartbeat.name == name)
        {
            backend.draining_since.get_or_insert(model::now());
            backend.silent = true;
        }
        // Fails if the caller no longer waits.
        let _ = done.send(());
    }

    fn state_changed(&mut self) {
        let snapshot = self.snapshot();
        if let Some(backend) = &self.backend {
            let heartbeat = &backend.heartbeat;
            if let Some(placement) = snapshot.placements.get(&heartbeat.service) {
                self.lease_granter
                    .observe(model::now(), &placement.1, &heartbeat.name);
            }
        }
        self.answer_heartbeat(false);
    }

    /// Returns the backend for the concurrency limiter; `None` if there is no backend.
    fn backend_for_limiter(&self) -> Option<LocalBackend> {
        let verified = self.verified_state.load();
        let Some(backend) = self.backend.as_ref() else {
            return self.backend_from_log(&verified.snapshot);
        };
        let heartbeat = &backend.heartbeat;
        // Before the first freshness proof it is unknown which keys the backend may hold, so none is served (design
        // section 11.6).
        let keyed = verified.verified_at == 0 || is_keyed(&verified.snapshot, &heartbeat.service);
        let margin = self.config.heartbeat_interval / 8;
        let held_keys = keyed.then(|| HeldKeys {
            ranges: heartbeat
                .held_ranges
                .iter()
                .map(|(from, to, _)| (*from, *to))
                .collect(),
            held_until: backend.lease_expires.saturating_sub(margin),
            pending: Vec::new(),
        });
        // In-flight requests to the backend have to end before the drain timeout.
        let drain_notice = self.config.drain_timeout * 3 / 4;
        Some(LocalBackend {
            name: heartbeat.name.clone(),
            address: heartbeat.address.clone(),
            slots: heartbeat.slots,
            drains_at: backend.draining_since.map(|since| since + drain_notice),
            held_keys,
        })
    }

    /// Returns the backend that the log records beside this node. Returns `None` once a heartbeat of a running backend
    /// would have arrived.
    fn backend_from_log(&self, snapshot: &StateSnapshot) -> Option<LocalBackend> {
        let until = self.started_at + self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let address = self
            .config
            .backend_address
            .as_deref()
            .filter(|_| model::now() < until)?;
        restored_backend(snapshot, &self.config.node, address, until)
            .filter(|backend| !self.has_ended(&backend.name))
    }
}
