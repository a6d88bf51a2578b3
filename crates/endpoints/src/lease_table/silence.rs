//! A back end that is no longer heard: it is silent while its process may live, and has ended once its process is
//! known to be gone (design section 11.2).

use std::io::ErrorKind;
use std::time::Duration;

use model::Microseconds;
use model::cluster_state::ClusterReport;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::command::Command;
use super::state::{LeaseTableTask, MAX_MISSED_HEARTBEATS, shard_map_of};

/// How often a process has to refuse a connection, in a row, to be taken for gone.
const PROBES: usize = 2;
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl LeaseTableTask {
    /// A back end that has stopped sending heartbeats: is its process gone? A connection that is refused on this
    /// machine says so.
    pub(super) fn check_silence(&mut self) {
        let now = model::now();
        let patience = self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let Some(backend) = self.backend.as_mut() else {
            self.check_earlier_backend(now);
            return;
        };
        if now < backend.last_heard + patience / 2 && !backend.silent || backend.probing {
            return;
        }
        backend.silent |= now > backend.last_heard + patience;
        // Nobody renews its leases: once they have expired it holds nothing.
        let last_lease = backend.lease_expires.max(backend.earlier_lease_expires);
        let holds_nothing = backend.silent && now > last_lease + self.config.heartbeat_interval;
        let (address, name) = (
            backend.heartbeat.address.clone(),
            backend.heartbeat.name.clone(),
        );
        if holds_nothing && self.pending_ends.contains_key(&name) {
            self.handle_probe_outcome(&name, true);
            return;
        }
        if holds_nothing {
            self.queue_expired_release();
        }
        if let Some(backend) = self.backend.as_mut() {
            backend.probing = true;
        }
        self.probe(address, name);
    }

    /// The log has a back end beside this node that this process has not heard: its process may be gone.
    fn check_earlier_backend(&mut self, now: Microseconds) {
        let quiet_since = self.started_at.max(self.earlier_probed_at);
        if now <= quiet_since + self.config.heartbeat_interval * 2 {
            return;
        }
        let snapshot = self.snapshot();
        let earlier = snapshot.backends.iter().find(|(name, backend)| {
            backend.node == self.config.node && !self.pending_ends.contains_key(*name)
        });
        if let Some((address, (name, _))) = self.config.backend_address.clone().zip(earlier) {
            self.earlier_probed_at = now;
            self.probe(address, name.clone());
        }
    }

    fn probe(&self, address: String, name: String) {
        tokio::spawn(probe(address, name, self.commands.clone()));
    }

    /// The leases of a silent back end have expired. It may be heard again under the same name, but a back end that
    /// waits for it to release ranges need not wait longer.
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

    /// `refused`: the process of the back end `name` is gone.
    pub(super) fn handle_probe_outcome(&mut self, name: &str, refused: bool) {
        if let Some(backend) = self
            .backend
            .as_mut()
            .filter(|own| own.heartbeat.name == name)
        {
            backend.probing = false;
        }
        if refused {
            slog::info!(self.logger, "the back end's process is gone"; "name" => name);
            self.pending_ends.insert(name.to_string(), true);
            self.backend
                .take_if(|backend| backend.heartbeat.name == name);
        }
    }
}

/// Tries to connect to the back end's process and hands the outcome back to the lease table's task.
async fn probe(address: String, name: String, commands: mpsc::Sender<Command>) {
    let mut refused = 0;
    for _ in 0..PROBES {
        let connection = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(&address)).await;
        if matches!(connection, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused) {
            refused += 1;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    // If the lease table is gone, nobody needs the outcome.
    drop(
        commands
            .send(Command::Probed {
                name,
                refused: refused == PROBES,
            })
            .await,
    );
}
