//! Registration of this node in the log: its identity and its presence.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use control::membership::discovery;
use control::updates::view::SharedView;
use control::{KnownReplicas, StatusReporter};
use model::Incarnation;
use model::endpoint_status::EndpointReport;
use slog::Logger;
use tokio::time::sleep;
use transport::{Handshake, Purpose};

/// Interval at which the node checks its registration in the log.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Identity of this process for peers and for the log.
#[derive(Clone)]
pub(crate) struct NodeIdentity {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address under which peers reach the node.
    pub address: String,
    /// Incarnation of the node that this process is.
    pub incarnation: Incarnation,
}

impl NodeIdentity {
    /// Returns a factory of handshakes for connections with this purpose. Each handshake lists the
    /// replicas that are known when it is made.
    pub(crate) fn handshakes(
        &self,
        purpose: Purpose,
        known_replicas: &KnownReplicas,
    ) -> impl Fn() -> Handshake + Clone + Send + Sync + 'static {
        let (own, known_replicas) = (self.clone(), known_replicas.clone());
        move || Handshake {
            purpose,
            node_name: own.name.clone(),
            zone: own.zone.clone(),
            address: own.address.clone(),
            incarnation: own.incarnation,
            replica: None,
            has_empty_disk: false,
            expected_disk: None,
            known_replicas: discovery::list(&known_replicas),
        }
    }
}

/// Registers this node in the log, and again whenever the log records it as absent.
///
/// Returns and makes the node not ready once another process has registered under its name.
pub(crate) async fn announce_presence(
    own: NodeIdentity,
    view: SharedView,
    status_reports: StatusReporter,
    accepting_work: Arc<AtomicBool>,
    logger: Logger,
) {
    let mut registered_before = false;
    loop {
        let current = view.load();
        let record = current.slice.nodes.get(&own.name);
        let registered = record.map_or(0, |node| node.incarnation);
        if registered_before && registered != 0 && registered != own.incarnation {
            slog::error!(
                logger,
                "another process was registered under this node's name; this process stops serving requests";
                "node" => &own.name,
            );
            return accepting_work.store(false, Relaxed);
        }
        registered_before |= registered == own.incarnation;
        if registered != own.incarnation || record.is_some_and(|node| !node.present) {
            let report = EndpointReport::NodeRegistered {
                node: own.name.clone(),
                zone: own.zone.clone(),
                address: own.address.clone(),
                incarnation: own.incarnation,
                replaces: registered,
            };
            status_reports.report_endpoint_status(report).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
