//! A backend without heartbeats is silent while its process may still run, and has ended once its process is known to
//! be gone (design section 11.2).

use std::io::ErrorKind;
use std::time::Duration;

use model::Microseconds;
use model::cluster_state::ClusterReport;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::command::Command;
use super::state::{LeaseTableTask, MAX_MISSED_HEARTBEATS, shard_map_of};

/// Number of consecutive refused connections after which a process counts as gone.
const PROBES: usize = 2;
/// Timeout of one connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after each connection attempt.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl LeaseTableTask {
    /// Probes a backend that has stopped sending heartbeats. A refused connection on the same machine shows that the
    /// backend's process is gone.
    pub(super) fn check_silence(&mut self) {
        let now = model::now();
        let silence_timeout = self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let Some(backend) = self.backend.as_mut() else {
            self.check_unconfirmed_backend(now);
            return;
        };
        if now < backend.last_heartbeat_at + silence_timeout / 2 && !backend.silent
            || backend.probing
        {
            return;
        }
        backend.silent |= now > backend.last_heartbeat_at + silence_timeout;
        // The leases of a silent backend are not renewed: once they have expired the backend holds no ranges.
        let last_lease = backend.lease_expires.max(backend.earlier_lease_expires);
        let leases_expired = backend.silent && now > last_lease + self.config.heartbeat_interval;
        let (address, name) = (
            backend.heartbeat.address.clone(),
            backend.heartbeat.name.clone(),
        );
        if leases_expired && self.pending_ends.contains_key(&name) {
            self.handle_probe_outcome(&name, true);
            return;
        }
        if leases_expired {
            self.queue_expired_release();
        }
        if let Some(backend) = self.backend.as_mut() {
            backend.probing = true;
        }
        self.probe(address, name);
    }

    /// Probes a backend that the log has beside this node but that sent no heartbeat to this process: the backend's
    /// process may be gone.
    fn check_unconfirmed_backend(&mut self, now: Microseconds) {
        let last_checked = self.started_at.max(self.unconfirmed_probed_at);
        if now <= last_checked + self.config.heartbeat_interval * 2 {
            return;
        }
        let snapshot = self.snapshot();
        let earlier = snapshot.backends.iter().find(|(name, backend)| {
            backend.node == self.config.node && !self.pending_ends.contains_key(*name)
        });
        if let Some((address, (name, _))) = self.config.backend_address.clone().zip(earlier) {
            self.unconfirmed_probed_at = now;
            self.probe(address, name.clone());
        }
    }

    fn probe(&self, address: String, name: String) {
        tokio::spawn(probe(address, name, self.commands.clone()));
    }

    /// Reports the ranges of a silent backend as released, because its leases have expired. The backend may send
    /// heartbeats under the same name again, but backends that wait for its releases need not wait any longer.
    fn queue_expired_release(&mut self) {
        let Some(backend) = &self.backend else { return };
        let (service, name) = (
            backend.heartbeat.service.clone(),
            backend.heartbeat.name.clone(),
        );
        let snapshot = self.snapshot();
        let ranges: Vec<_> = shard_map_of(&snapshot, &service)
            .iter()
            .filter(|range| {
                range
                    .pending_releases
                    .iter()
                    .any(|(earlier, _)| *earlier == name)
            })
            .map(|range| (range.first_key, range.last_key, String::new()))
            .collect();
        if ranges.is_empty() {
            return;
        }
        let known_through = snapshot.position;
        let report = ClusterReport::ShardsReleased {
            service,
            name,
            known_through,
            ranges,
        };
        if !self.pending_reports.contains(&report) {
            self.pending_reports.push(report);
        }
    }

    /// Ends the backend `name` if its process refused the connections, which shows that the process is gone.
    pub(super) fn handle_probe_outcome(&mut self, name: &str, refused: bool) {
        if let Some(backend) = self
            .backend
            .as_mut()
            .filter(|own| own.heartbeat.name == name)
        {
            backend.probing = false;
        }
        if refused {
            slog::info!(self.logger, "the backend's process is gone; reporting the backend as ended"; "name" => name);
            self.pending_ends.insert(name.to_string(), true);
            self.backend
                .take_if(|backend| backend.heartbeat.name == name);
        }
    }
}

/// Tries to connect to the backend's process and sends the result to the lease table's task.
async fn probe(address: String, name: String, commands: mpsc::Sender<Command>) {
    let mut refused = 0;
    for _ in 0..PROBES {
        let connection = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(&address)).await;
        if matches!(connection, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused) {
            refused += 1;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    // Fails if the lease table's task has ended; then the result is not needed.
    drop(
        commands
            .send(Command::Probed {
                name,
                refused: refused == PROBES,
            })
            .await,
    );
}
