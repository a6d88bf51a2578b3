//! This node's place in the log: who it is, and that it is there.

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

/// How often the node looks whether the log has it.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Who this process is, for peers and for the log.
#[derive(Clone)]
pub(crate) struct NodeIdentity {
    /// Name of the node.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where peers reach it.
    pub address: String,
    /// Which of the node's lives this process is.
    pub incarnation: Incarnation,
}

impl NodeIdentity {
    /// Makes handshakes for connections with this purpose, each with the replicas known then.
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

/// Tells the log that this node is here, and again whenever the log takes it for gone.
///
/// Ends, and makes the node not ready, once another process was registered under its name.
pub(crate) async fn announce_presence(
    own: NodeIdentity,
    view: SharedView,
    status_reports: StatusReporter,
    accepting_work: Arc<AtomicBool>,
    logger: Logger,
) {
    let mut was_registered = false;
    loop {
        let current = view.load();
        let record = current.slice.nodes.get(&own.name);
        let registered = record.map_or(0, |node| node.incarnation);
        if was_registered && registered != 0 && registered != own.incarnation {
            slog::error!(
                logger,
                "another process was registered under this node's name; this one serves no more";
                "node" => &own.name,
            );
            return accepting_work.store(false, Relaxed);
        }
        was_registered |= registered == own.incarnation;
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
