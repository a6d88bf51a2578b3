//! The steps of a node's start.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use backend_api::{BackendApiConfig, BackendClient};
use control::failure_detection::monitor::{self, HeartbeatSender, MonitorConfig};
use control::membership::discovery;
use control::updates::subscriber::{self, Subscription, SubscriptionConfig};
use control::{KnownReplicas, StatusReporter, StatusReporterConfig};
use daemon::Error;
use legacy_proxy::accepted_attempts::AcceptedAttemptsHandle;
use legacy_proxy::peer_connections::PeerConnections;
use legacy_proxy::retry_budget::RetryBudgetHandle;
use legacy_proxy::selector::SelectorHandle;
use legacy_proxy::{InboundProxy, OutboundProxy, SlotOwnerConfig, SlotOwnerHandle, server};
use model::state_slice::ServiceSet;
use salvo::Router;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use transport::Purpose;

use crate::health::{self, HealthApi};
use crate::presence::{NodeIdentity, announce_presence};
use crate::settings::Settings;

/// Number of known replicas after which discovery slows down. The actual number is not known to a
/// node before the first replica answers.
const EXPECTED_REPLICAS: usize = 3;

/// State shared by the steps of the start.
pub(crate) struct Starter<'a> {
    /// The node's settings.
    pub settings: &'a Settings,
    /// Logger of the process.
    pub logger: &'a Logger,
    /// Identity of this process.
    pub identity: NodeIdentity,
    /// Locations of the replicas that the node has discovered.
    pub known_replicas: KnownReplicas,
    /// Tasks that are cancelled when the process stops.
    pub tasks: JoinSet<()>,
}

/// The node's view of the cluster state and its connections to the log.
pub(crate) struct State {
    /// Subscription that keeps the view current.
    pub subscription: Subscription,
    /// Sends reports to the log.
    pub status_reports: StatusReporter,
    /// Receives the heartbeats of the peers that this node monitors.
    pub heartbeats: HeartbeatSender,
}

/// Binds the address for peers. The bound address becomes part of the node's identity unless
/// `advertised_address` is set.
pub(crate) async fn bind_peer_listener(
    settings: &Settings,
) -> Result<(TcpListener, NodeIdentity), Error> {
    let listener = TcpListener::bind(&settings.mates_address)
        .await
        .map_err(Error::of_setting("mates_address"))?;
    let bound_address = listener
        .local_addr()
        .map_err(Error::of_setting("mates_address"))?
        .to_string();
    let identity = NodeIdentity {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised_address.clone().unwrap_or(bound_address),
        incarnation: model::incarnation::draw(),
    };
    Ok((listener, identity))
}

impl Starter<'_> {
    /// Starts the subscription to the cluster state, the reports to the log and the monitoring of
    /// peers.
    pub(crate) fn start_state(&self, wanted_services: watch::Receiver<ServiceSet>) -> State {
        let (settings, known_replicas) = (self.settings, &self.known_replicas);
        let handshakes = |purpose| self.identity.handshakes(purpose, known_replicas);
        let config = SubscriptionConfig {
            node: settings.name.clone(),
            zone: settings.zone.clone(),
            proof_validity: settings.freshness_us,
            proof_interval: settings.ask_every_us,
            proof_timeout: settings.freshness_us / 2,
            use_zone_relays: settings.homes,
        };
        let subscription = subscriber::start(
            config,
            known_replicas.clone(),
            wanted_services,
            handshakes(Purpose::Subscribe),
            self.logger.clone(),
        );
        let config = StatusReporterConfig {
            node: settings.name.clone(),
            incarnation: self.identity.incarnation,
            logger: self.logger.clone(),
        };
        let status_reports = StatusReporter::start(
            config,
            known_replicas.clone(),
            // The node may be subscribed through a relay, so no replica is known to be reachable.
            watch::channel(None).1,
            handshakes(Purpose::Subscribe),
        );
        let config = MonitorConfig {
            node: settings.name.clone(),
            heartbeat_interval: settings.watch_every_us,
            failure_timeout: settings.watch_patience_us,
        };
        let heartbeats = monitor::start(
            config,
            subscription.view.clone(),
            status_reports.clone(),
            handshakes(Purpose::Monitor),
        );
        State {
            subscription,
            status_reports,
            heartbeats,
        }
    }

    /// Starts the owner of the backends' slots. Through `services` the subscription learns which
    /// services they belong to.
    pub(crate) fn start_slot_owner(
        &self,
        state: &State,
        services: watch::Sender<ServiceSet>,
    ) -> SlotOwnerHandle {
        let config = SlotOwnerConfig {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            heartbeat_timeout: self.settings.beat_patience_us,
            proof_validity: self.settings.freshness_us,
            clock_margin: self.settings.guard_us,
        };
        SlotOwnerHandle::start(
            config,
            state.subscription.view.clone(),
            state.subscription.position.clone(),
            state.status_reports.clone(),
            services,
            self.logger.clone(),
        )
    }

    /// Starts the inbound proxy for requests of peers to local backends, the outbound proxy for
    /// requests of local clients, and the discovery of replicas.
    pub(crate) fn start_proxies(
        &mut self,
        state: &State,
        slot_owner: SlotOwnerHandle,
        peer_listener: TcpListener,
    ) -> Result<OutboundProxy, Error> {
        let backend_client = BackendClient::new().map_err(Error::of_setting("http"))?;
        let inbound = InboundProxy {
            slot_owner,
            connector: Arc::new(backend_client),
            logger: self.logger.clone(),
        };
        let handshakes = |purpose| self.identity.handshakes(purpose, &self.known_replicas);
        let serve_peers = server::serve_peers(
            peer_listener,
            handshakes(Purpose::Forward),
            self.known_replicas.clone(),
            inbound.clone(),
            state.subscription.relay.clone(),
            state.heartbeats.clone(),
        );
        let discover = discovery::run(
            self.known_replicas.clone(),
            self.settings.seeds.clone(),
            handshakes(Purpose::Discover),
            || EXPECTED_REPLICAS,
        );
        let proxy = OutboundProxy {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            view: state.subscription.view.clone(),
            inbound,
            peers: PeerConnections::start(handshakes(Purpose::Forward)),
            selector: SelectorHandle::start(),
            retry_budget: RetryBudgetHandle::start(self.settings.extra_allowance),
            accepted_attempts: AcceptedAttemptsHandle::start(),
            in_flight: Default::default(),
        };
        self.tasks.spawn(serve_peers);
        self.tasks.spawn(discover);
        Ok(proxy)
    }

    /// Returns the routes of the local HTTP API: health pages, client API and backend API.
    pub(crate) fn router(
        &self,
        state: &State,
        proxy: &OutboundProxy,
        accepting_work: Arc<AtomicBool>,
    ) -> Router {
        let claims_without_lease: Arc<AtomicU64> = Arc::default();
        let slot_owner = proxy.inbound.slot_owner.clone();
        let health = HealthApi {
            name: self.settings.name.clone(),
            view: state.subscription.view.clone(),
            known_replicas: self.known_replicas.clone(),
            slot_owner: slot_owner.clone(),
            retry_budget: proxy.retry_budget.clone(),
            claims_without_lease: claims_without_lease.clone(),
            incarnation: self.identity.incarnation,
            accepting_work,
        };
        let backends = BackendApiConfig {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            heartbeat_interval: self.settings.beat_every_us,
            proof_validity: self.settings.freshness_us,
            slot_owner: slot_owner.clone(),
            status_reports: state.status_reports.clone(),
            view: state.subscription.view.clone(),
            view_changes: state.subscription.position.clone(),
            claims_without_lease,
            logger: self.logger.clone(),
        };
        Router::new()
            .push(health::router(health))
            .push(client_api::router(proxy.clone(), slot_owner))
            .push(backend_api::router(backends))
    }

    /// Starts the task that keeps this node registered in the log.
    pub(crate) fn announce(&mut self, state: &State, accepting_work: Arc<AtomicBool>) {
        self.tasks.spawn(announce_presence(
            self.identity.clone(),
            state.subscription.view.clone(),
            state.status_reports.clone(),
            accepting_work,
            self.logger.clone(),
        ));
    }
}
