//! Reports differences between the local state and the log, repeated until the log has them (design section 11.2).

use std::time::Duration;

use control::{SharedVerifiedState, StatusReporter};
use model::cluster_state::{BackendRecord, ClusterReport, StateSnapshot};
use model::{BackendPhase, Outcome, Position};
use tokio::sync::mpsc;

use super::command::Command;
use super::state::{LeaseTableTask, LocalBackend, MAX_MISSED_HEARTBEATS};
use crate::registration::{RegistrationStatus, is_registered};

/// Delay before the next reports if the last ones changed nothing or were not accepted.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout for an accepted report to become visible in the local state.
const VISIBLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the local state is checked during that wait.
const VISIBLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl LeaseTableTask {
    /// Sends all reports that are due as one entry, unless the previous entry is not answered yet. Changes in the
    /// meantime are sent with the next entry.
    pub(super) fn send_reports(&mut self) {
        // Before the first freshness proof the local state may lack entries of the log.
        if self.report_in_flight || self.verified_state.load().verified_at == 0 {
            return;
        }
        let snapshot = self.snapshot();
        let status = self
            .registration
            .observe(snapshot.nodes.get(&self.config.node));
        if status == RegistrationStatus::Superseded {
            self.mark_superseded();
            return;
        }
        let reports = self.missing_reports(&snapshot, status);
        if reports.is_empty() {
            return;
        }
        self.report_in_flight = true;
        for report in &reports {
            if let ClusterReport::BackendEnded { name, .. } = report {
                self.ended_names.insert(name.clone());
            }
        }
        let (reporter, commands) = (self.reporter.clone(), self.commands.clone());
        tokio::spawn(submit(
            reporter,
            commands,
            self.verified_state.clone(),
            reports,
        ));
    }

    /// Returns all differences between the local state and the log.
    fn missing_reports(
        &self,
        snapshot: &StateSnapshot,
        status: RegistrationStatus,
    ) -> Vec<ClusterReport> {
        let mut reports = Vec::new();
        reports.extend(self.node_report(snapshot, status));
        reports.extend(self.pending_reports.iter().cloned());
        if let Some(backend) = &self.backend
            && !self.pending_ends.contains_key(&backend.heartbeat.name)
        {
            reports.extend(self.backend_reports(snapshot, backend));
        }
        reports.extend(self.end_reports(snapshot));
        reports.extend(self.other_backend_reports(snapshot));
        reports
    }

    /// Returns the registration of this node, unless the log has the current one.
    fn node_report(
        &self,
        snapshot: &StateSnapshot,
        status: RegistrationStatus,
    ) -> Option<ClusterReport> {
        let config = &self.config;
        let node = snapshot.nodes.get(&config.node);
        let is_current = is_registered(node, config.incarnation)
            && node.is_some_and(|node| node.present && node.address == config.address);
        let replaces = match status {
            RegistrationStatus::Unregistered { replaces } => replaces,
            _ => config.incarnation,
        };
        (!is_current).then(|| ClusterReport::NodeRegistered {
            node: config.node.clone(),
            zone: config.zone.clone(),
            address: config.address.clone(),
            incarnation: config.incarnation,
            replaces,
        })
    }

    /// Reports that the backend has joined, is silent or no longer silent, or is draining, where the log differs.
    fn backend_reports(
        &self,
        snapshot: &StateSnapshot,
        backend: &LocalBackend,
    ) -> impl Iterator<Item = ClusterReport> + use<> {
        let name = backend.heartbeat.name.clone();
        let record = self.backend_record(backend);
        let registered = snapshot.backends.get(&name);
        let phase = registered.map(|registered| registered.phase);
        let is_missing = match registered {
            None => !backend.silent && !backend.rejected,
            Some(registered) => registered.slots != record.slots || registered.node != record.node,
        };
        let joined = is_missing.then(|| ClusterReport::BackendJoined {
            name: name.clone(),
            backend: BackendRecord {
                phase: phase.unwrap_or(BackendPhase::Registered),
                ..record
            },
        });
        let silence_differs = match phase {
            Some(BackendPhase::Registered) => backend.silent,
            Some(BackendPhase::PresumedGone) => !backend.silent,
            _ => false,
        };
        let silent = silence_differs.then(|| ClusterReport::BackendSilent {
            name: name.clone(),
            silent: backend.silent,
        });
        let may_drain = phase.map_or(!backend.rejected, |phase| phase == BackendPhase::Registered);
        let draining = (backend.draining_since.is_some() && may_drain)
            .then_some(ClusterReport::BackendDraining { name });
        [joined, silent, draining].into_iter().flatten()
    }

    /// Reports the end of a backend that has deregistered, and again once its process is known to be gone.
    fn end_reports(&self, snapshot: &StateSnapshot) -> Vec<ClusterReport> {
        self.pending_ends
            .iter()
            .filter(|(name, process_gone)| **process_gone || snapshot.backends.contains_key(*name))
            .map(|(name, process_gone)| ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *process_gone,
            })
            .collect()
    }

    /// Reports other backends that the log has beside this node. A machine has one backend, so these are earlier
    /// incarnations whose processes are gone, even if this process never received their heartbeats. While no backend
    /// sends heartbeats here, they are reported as silent only.
    fn other_backend_reports(&self, snapshot: &StateSnapshot) -> Vec<ClusterReport> {
        let local_name = self
            .backend
            .as_ref()
            .map(|backend| backend.heartbeat.name.as_str());
        // If the log has both, the running backend is the one that continues to send heartbeats.
        let is_confirmed = self.backend.as_ref().is_some_and(|backend| {
            backend.received_repeatedly || !snapshot.backends.contains_key(&backend.heartbeat.name)
        });
        let silence_timeout = self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let is_overdue = model::now() > self.started_at + silence_timeout;
        let others = snapshot.backends.iter().filter(|(name, backend)| {
            backend.node == self.config.node
                && !self.pending_ends.contains_key(*name)
                && local_name != Some(name.as_str())
        });
        others
            .filter_map(|(name, backend)| {
                let name = name.clone();
                if local_name.is_some() {
                    return is_confirmed.then_some(ClusterReport::BackendEnded {
                        name,
                        process_gone: true,
                    });
                }
                (is_overdue && backend.phase == BackendPhase::Registered)
                    .then_some(ClusterReport::BackendSilent { name, silent: true })
            })
            .collect()
    }

    /// Records that another process was registered under this node's name after this process, which then sends no
    /// reports and grants no leases.
    fn mark_superseded(&self) {
        if !self.superseded.send_replace(true) {
            slog::error!(self.logger,
                "another process was registered under this node's name; this process stops serving requests";
                "node" => &self.config.node);
        }
    }

    pub(super) fn handle_report_outcome(
        &mut self,
        reports: &[ClusterReport],
        outcome: Option<Outcome>,
    ) {
        self.report_in_flight = false;
        match outcome {
            None => return,
            Some(Outcome::Superseded { position }) => {
                slog::warn!(self.logger,
                    "the log rejected reports because it has another incarnation of this node; registering again";
                    "position" => position);
                return;
            }
            // Sending the reports again would change nothing either.
            Some(Outcome::Unchanged { .. }) => self.reject_joined(reports),
            Some(_) => {}
        }
        self.pending_reports
            .retain(|report| !reports.contains(report));
        // An entry whose process may still run is kept until the process is known to be gone.
        self.pending_ends.retain(|name, process_gone| {
            let end = ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *process_gone,
            };
            !*process_gone || !reports.contains(&end)
        });
    }

    fn reject_joined(&mut self, reports: &[ClusterReport]) {
        let Some(backend) = &mut self.backend else {
            return;
        };
        let local_name = &backend.heartbeat.name;
        let is_own_join = |report: &ClusterReport| matches!(report, ClusterReport::BackendJoined { name, .. } if name == local_name);
        if reports.iter().any(is_own_join) {
            backend.rejected = true;
        }
    }
}

/// Sends reports and returns the outcome to the lease table's task once the change is visible in the local state or
/// the wait has timed out.
async fn submit(
    reporter: StatusReporter,
    commands: mpsc::Sender<Command>,
    verified_state: SharedVerifiedState,
    reports: Vec<ClusterReport>,
) {
    let outcome = reporter.report(reports.clone()).await;
    // Until the change is visible in the local state the same reports would seem to be due again.
    if let Some(position) = outcome.as_ref().and_then(log_position) {
        let visible = async {
            while verified_state.load().snapshot.position < position {
                tokio::time::sleep(VISIBLE_POLL_INTERVAL).await;
            }
        };
        // After the timeout, sending reports that the log already has does no harm.
        drop(tokio::time::timeout(VISIBLE_TIMEOUT, visible).await);
    }
    if !matches!(outcome, Some(Outcome::Accepted { .. })) {
        tokio::time::sleep(REPORT_RETRY_DELAY).await;
    }
    // Fails if the lease table's task has ended; then the outcome is not needed.
    drop(commands.send(Command::Reported { reports, outcome }).await);
}

/// Returns the position of the log at this outcome.
fn log_position(outcome: &Outcome) -> Option<Position> {
    match outcome {
        Outcome::Accepted { position, .. }
        | Outcome::Unchanged { position }
        | Outcome::Superseded { position } => Some(*position),
        _ => None,
    }
}
