//! What the log should know and does not: reported again until the log has it (design section 11.2).

use std::time::Duration;

use control::{SharedVerifiedState, StatusReporter};
use model::cluster_state::{BackendRecord, ClusterReport, StateSnapshot};
use model::{BackendPhase, Outcome, Position};
use tokio::sync::mpsc;

use super::command::Command;
use super::state::{LeaseTableTask, LocalBackend, MAX_MISSED_HEARTBEATS};
use crate::registration::{RegistrationStatus, is_registered};

/// Between reports that changed nothing or were not taken and the next ones.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long the change that a report made is waited for, and how often it is looked for.
const VISIBLE_TIMEOUT: Duration = Duration::from_millis(500);
const VISIBLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl LeaseTableTask {
    /// Sends all reports that are due as one entry, unless an earlier one is not answered yet: what changes meanwhile
    /// goes with the next one.
    pub(super) fn send_reports(&mut self) {
        // Before the first proof the state that is held here may lack what is in the log already.
        if self.report_in_flight || self.verified_state.load().verified_at == 0 {
            return;
        }
        let snapshot = self.snapshot();
        let status = self
            .registration
            .observe(snapshot.nodes.get(&self.config.node));
        if status == RegistrationStatus::Superseded {
            self.stop_superseded();
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

    /// All differences between what is so here and what the log says.
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

    /// The registration of this node, unless the log has it as it is.
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

    /// That the back end is there, silent or heard again, and draining, as far as the log has it otherwise.
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

    /// A back end that has deregistered is reported once, and again once its process is known to be gone.
    fn end_reports(&self, snapshot: &StateSnapshot) -> Vec<ClusterReport> {
        self.pending_ends
            .iter()
            .filter(|(name, gone)| **gone || snapshot.backends.contains_key(*name))
            .map(|(name, gone)| ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *gone,
            })
            .collect()
    }

    /// A machine has one back end: each other one that the log has beside this node is an earlier incarnation whose
    /// process is gone, though this process of the node never heard it. While none is heard, it is only silent.
    fn other_backend_reports(&self, snapshot: &StateSnapshot) -> Vec<ClusterReport> {
        let own = self
            .backend
            .as_ref()
            .map(|backend| backend.heartbeat.name.as_str());
        // If the log has both, the one that goes on sending heartbeats is the one that lives.
        let is_sure = self.backend.as_ref().is_some_and(|backend| {
            backend.heard_repeatedly || !snapshot.backends.contains_key(&backend.heartbeat.name)
        });
        let waited = self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let is_overdue = model::now() > self.started_at + waited;
        let others = snapshot.backends.iter().filter(|(name, backend)| {
            backend.node == self.config.node
                && !self.pending_ends.contains_key(*name)
                && own != Some(name.as_str())
        });
        others
            .filter_map(|(name, backend)| {
                let name = name.clone();
                if own.is_some() {
                    return is_sure.then_some(ClusterReport::BackendEnded {
                        name,
                        process_gone: true,
                    });
                }
                (is_overdue && backend.phase == BackendPhase::Registered)
                    .then_some(ClusterReport::BackendSilent { name, silent: true })
            })
            .collect()
    }

    /// Another process was registered under this node's name after this one, which reports and grants nothing more.
    fn stop_superseded(&self) {
        if !self.superseded.send_replace(true) {
            slog::error!(self.logger,
                "another process was registered under this node's name; this one serves no more";
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
                    "the log has another incarnation of this node; registers again";
                    "position" => position);
                return;
            }
            // Reported once more it would change nothing either.
            Some(Outcome::Unchanged { .. }) => self.reject_joined(reports),
            Some(_) => {}
        }
        self.pending_reports
            .retain(|report| !reports.contains(report));
        // One whose process may live is kept in mind until it is known to be gone.
        self.pending_ends.retain(|name, gone| {
            let end = ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *gone,
            };
            !*gone || !reports.contains(&end)
        });
    }

    fn reject_joined(&mut self, reports: &[ClusterReport]) {
        let Some(backend) = &mut self.backend else {
            return;
        };
        let own = &backend.heartbeat.name;
        let is_own_join = |report: &ClusterReport| matches!(report, ClusterReport::BackendJoined { name, .. } if name == own);
        if reports.iter().any(is_own_join) {
            backend.rejected = true;
        }
    }
}

/// Sends reports and hands the answer back to the lease table's task, once the change is visible here or is late.
async fn submit(
    reporter: StatusReporter,
    commands: mpsc::Sender<Command>,
    verified_state: SharedVerifiedState,
    reports: Vec<ClusterReport>,
) {
    let outcome = reporter.report(reports.clone()).await;
    // Until the change is visible here the same reports would seem to be due again.
    if let Some(position) = outcome.as_ref().and_then(log_position) {
        let visible = async {
            while verified_state.load().snapshot.position < position {
                tokio::time::sleep(VISIBLE_POLL_INTERVAL).await;
            }
        };
        // If it is late, reports that the log has already do no harm.
        drop(tokio::time::timeout(VISIBLE_TIMEOUT, visible).await);
    }
    if !matches!(outcome, Some(Outcome::Accepted { .. })) {
        tokio::time::sleep(REPORT_RETRY_DELAY).await;
    }
    // If the lease table is gone, nobody needs the answer.
    drop(commands.send(Command::Reported { reports, outcome }).await);
}

/// How far the log had come when it gave this answer.
fn log_position(outcome: &Outcome) -> Option<Position> {
    match outcome {
        Outcome::Accepted { position, .. }
        | Outcome::Unchanged { position }
        | Outcome::Superseded { position } => Some(*position),
        _ => None,
    }
}
