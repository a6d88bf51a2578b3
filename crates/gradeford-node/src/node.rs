//! The components of a node's process, and the order in which they start and stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use control::StatusReporter;
use control::membership::discovery;
use daemon::{Daemon, Error};
use http_util::HttpServer;
use legacy_proxy::{OutboundProxy, SlotOwnerHandle};
use model::endpoint_status::EndpointReport;
use model::state_slice::ServiceSet;
use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::presence::NodeIdentity;
use crate::settings::Settings;
use crate::start::{Starter, bind_peer_listener};

const HELP: &str = "\
gradeford-node: a gradeford node beside back ends

usage: gradeford-node [--config FILE] [--SETTING VALUE ...] [--check]

  --config FILE   settings as TOML; a flag of the same name goes first
  --check         read and check the settings, then stop
  --help          this page
  --version       name and version

settings: name, zone, mates_address, advertised_address, local_address, seeds, beat_every_us,
  beat_patience_us, freshness_us, ask_every_us, guard_us, extra_allowance, stop_patience_us, watch_every_us,
  watch_patience_us, homes, log_level
SIGTERM stops it once all that was passed on has ended, SIGHUP reads the settings again.
exit codes: 0 stopped as asked, 1 failed, 2 settings or flags at fault
";

/// Time for which a stopping node waits until the log has accepted the report that the node left.
const NODE_LEFT_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for pending HTTP responses to be sent during shutdown.
const HTTP_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// A running node.
pub(crate) struct Node {
    identity: NodeIdentity,
    proxy: OutboundProxy,
    slot_owner: SlotOwnerHandle,
    status_reports: StatusReporter,
    http_server: HttpServer,
    accepting_work: Arc<AtomicBool>,
    /// Tasks that are cancelled when the process stops.
    tasks: JoinSet<()>,
}

impl Daemon for Node {
    type Settings = Settings;

    const PROGRAM: &'static str = "gradeford-node";
    const HELP: &'static str = HELP;

    async fn start(settings: &Settings, logger: &Logger) -> Result<Node, Error> {
        let (peer_listener, identity) = bind_peer_listener(settings).await?;
        let known_replicas = discovery::empty();
        let tasks = JoinSet::new();
        let mut starter = Starter {
            settings,
            logger,
            identity,
            known_replicas,
            tasks,
        };
        let (services, wanted_services) = watch::channel(ServiceSet::default());
        let state = starter.start_state(wanted_services);
        let slot_owner = starter.start_slot_owner(&state, services);
        let proxy = starter.start_proxies(&state, slot_owner.clone(), peer_listener)?;
        let accepting_work = Arc::new(AtomicBool::new(true));
        let router = starter.router(&state, &proxy, accepting_work.clone());
        let http_server = HttpServer::start(&settings.local_address, router)
            .await
            .map_err(Error::of_setting("local_address"))?;
        slog::info!(
            logger, "listening";
            "peers" => &starter.identity.address,
            "local" => http_server.address.to_string(),
            "incarnation" => starter.identity.incarnation,
        );
        starter.announce(&state, accepting_work.clone());
        Ok(Node {
            identity: starter.identity,
            proxy,
            slot_owner,
            status_reports: state.status_reports,
            http_server,
            accepting_work,
            tasks: starter.tasks,
        })
    }

    /// Stops accepting requests, waits for the forwarded ones and reports to the log that the node
    /// has left.
    async fn shut_down(mut self, settings: &Settings) {
        self.accepting_work.store(false, Relaxed);
        self.proxy.drain();
        self.slot_owner.drain().await;
        let drained = async {
            self.proxy.drained().await;
            // Requests that peers forwarded to this node are drained after those of local clients.
            self.slot_owner.load().await;
            self.slot_owner.drained().await;
        };
        let drain_timeout = Duration::from_micros(settings.stop_patience_us);
        let clean = timeout(drain_timeout, drained).await.is_ok();
        let node_left_report =
            self.status_reports
                .report_endpoint_status(EndpointReport::NodeLeft {
                    node: self.identity.name.clone(),
                    incarnation: self.identity.incarnation,
                    clean,
                });
        timeout(NODE_LEFT_REPORT_TIMEOUT, node_left_report)
            .await
            .unwrap_or_default();
        self.http_server.stop(HTTP_SHUTDOWN_TIMEOUT).await;
        self.tasks.shutdown().await;
    }
}
