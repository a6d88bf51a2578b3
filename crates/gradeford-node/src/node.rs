//! Puts the parts of a node together, and takes them down in order.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

pub struct Node {
    proxy: legacy_proxy::OutboundProxy,
    slot_owner: legacy_proxy::SlotOwnerHandle,
    status_reports: control::StatusReporter,
    http_server: http_util::HttpServer,
    accepting_work: Arc<std::sync::atomic::AtomicBool>,
    name: String,
    incarnation: u64,
}

impl Node {
    pub async fn start(
        env: &crate::settings::Settings,
        logger: &slog::Logger,
    ) -> Result<Node, String> {
        let told = |what: &str, error: &dyn Display| format!("{what}: {error}");
        let life = model::incarnation::draw();
        let listener = tokio::net::TcpListener::bind(&env.mates_address)
            .await
            .map_err(|error| told("mates_address", &error))?;
        let listening = listener
            .local_addr()
            .map_err(|error| told("mates_address", &error))?
            .to_string();
        let address = env.advertised_address.clone().unwrap_or(listening);
        let known = control::membership::discovery::empty();
        let (services, wanted) = tokio::sync::watch::channel(Default::default());
        let (name, zone) = (env.name.clone(), env.zone.clone());
        let (greeter, place) = (known.clone(), address.clone());
        let greeting = move |purpose| transport::Handshake {
            purpose,
            node_name: name.clone(),
            zone: zone.clone(),
            address: place.clone(),
            incarnation: life,
            replica: None,
            has_empty_disk: false,
            expected_disk: None,
            known_replicas: control::membership::discovery::list(&greeter),
        };
        let greet = |purpose| {
            let greeting = greeting.clone();
            move || greeting(purpose)
        };
        let line = control::SubscriptionConfig {
            node: env.name.clone(),
            zone: env.zone.clone(),
            freshness_bound: env.freshness_us,
            proof_interval: env.ask_every_us,
            proof_timeout: env.freshness_us / 2,
            use_zone_relays: env.homes,
        };
        let subscription = control::updates::subscriber::start(
            line,
            known.clone(),
            wanted,
            greet(transport::Purpose::Subscribe),
            logger.clone(),
        );
        let reporting = control::StatusReporterConfig {
            node: env.name.clone(),
            incarnation: life,
            logger: logger.clone(),
        };
        let reports = control::StatusReporter::start(
            reporting,
            known.clone(),
            greet(transport::Purpose::Subscribe),
        );
        let watching = control::failure_detection::monitor::MonitorConfig {
            node: env.name.clone(),
            heartbeat_interval: env.watch_every_us,
            failure_timeout: env.watch_patience_us,
        };
        let heard = control::failure_detection::monitor::start(
            watching,
            subscription.view.clone(),
            reports.clone(),
            greet(transport::Purpose::Monitor),
        );
        let house_env = legacy_proxy::SlotOwnerConfig {
            node: env.name.clone(),
            zone: env.zone.clone(),
            heartbeat_timeout: env.beat_patience_us,
            proof_lifetime: env.freshness_us,
            clock_margin: env.guard_us,
        };
        let (view, moved) = (subscription.view, subscription.position.clone());
        let claims: Arc<AtomicU64> = Default::default();
        let house = legacy_proxy::SlotOwnerHandle::start(
            house_env,
            view.clone(),
            subscription.position,
            reports.clone(),
            services,
            logger.clone(),
        );
        let door = backend_api::BackendClient::new().map_err(|error| told("http", &error))?;
        let far = legacy_proxy::InboundProxy {
            slot_owner: house.clone(),
            connector: Arc::new(door),
            logger: logger.clone(),
        };
        tokio::spawn(legacy_proxy::server::serve_peers(
            listener,
            greet(transport::Purpose::Forward),
            known.clone(),
            far.clone(),
            subscription.relay,
            heard,
        ));
        // A node does not know how many seats there are; the first that greets it says so.
        tokio::spawn(control::membership::discovery::run(
            known.clone(),
            env.seeds.clone(),
            greet(transport::Purpose::Discover),
            || 3,
        ));
        let near = legacy_proxy::OutboundProxy {
            node: env.name.clone(),
            zone: env.zone.clone(),
            view: view.clone(),
            inbound: far,
            peers: legacy_proxy::peer_connections::PeerConnections::start(greet(
                transport::Purpose::Forward,
            )),
            selector: legacy_proxy::selector::SelectorHandle::start(),
            retry_budget: legacy_proxy::retry_budget::RetryBudgetHandle::start(env.extra_allowance),
            accepted_attempts: legacy_proxy::accepted_attempts::AcceptedAttemptsHandle::start(),
            in_flight: Default::default(),
        };
        let staying = Arc::new(std::sync::atomic::AtomicBool::new(true));
        let health = crate::health::HealthApi {
            name: env.name.clone(),
            view: view.clone(),
            known_replicas: known,
            slot_owner: house.clone(),
            retry_budget: near.retry_budget.clone(),
            unheld_claims: claims.clone(),
            incarnation: life,
            accepting_work: staying.clone(),
        };
        let rooms = backend_api::BackendApiConfig {
            node: env.name.clone(),
            zone: env.zone.clone(),
            heartbeat_interval: env.beat_every_us,
            freshness_bound: env.freshness_us,
            slot_owner: house.clone(),
            status_reports: reports.clone(),
            view: view.clone(),
            view_changes: moved,
            unheld_claims: claims,
            logger: logger.clone(),
        };
        let router = salvo::Router::new()
            .push(crate::health::router(health))
            .push(client_api::router(near.clone(), house.clone()))
            .push(backend_api::router(rooms));
        let serving = http_util::HttpServer::start(&env.local_address, router)
            .await
            .map_err(|error| told("local_address", &error))?;
        slog::info!(logger, "listening"; "mates" => &address, "local" => serving.address.to_string(), "life" => life);
        let own = NodeIdentity {
            name: env.name.clone(),
            zone: env.zone.clone(),
            address,
            incarnation: life,
        };
        tokio::spawn(announce_presence(
            own,
            view,
            reports.clone(),
            staying.clone(),
            logger.clone(),
        ));
        Ok(Node {
            proxy: near,
            slot_owner: house,
            status_reports: reports,
            http_server: serving,
            accepting_work: staying,
            name: env.name.clone(),
            incarnation: life,
        })
    }

    /// Takes nothing new, lets what was passed on end, says goodbye.
    pub async fn stop(self, env: &crate::settings::Settings) {
        self.accepting_work
            .store(false, std::sync::atomic::Ordering::Relaxed);
        self.proxy.drain();
        self.slot_owner.drain().await;
        let patience = Duration::from_micros(env.stop_patience_us);
        let ended = async {
            self.proxy.drained().await;
            // What mates passed on here ends after its own near side has left.
            self.slot_owner.load().await;
            self.slot_owner.drained().await;
        };
        let clean = tokio::time::timeout(patience, ended).await.is_ok();
        let farewell = self.status_reports.report_endpoint_status(
            model::endpoint_status::EndpointReport::NodeLeft {
                node: self.name.clone(),
                incarnation: self.incarnation,
                clean,
            },
        );
        tokio::time::timeout(Duration::from_secs(2), farewell)
            .await
            .unwrap_or_default();
        self.http_server.stop(Duration::from_secs(1)).await;
    }
}

/// What the log is told of this process.
#[derive(Clone)]
struct NodeIdentity {
    name: String,
    zone: String,
    address: String,
    incarnation: model::Incarnation,
}

/// Tells the log that this node is here, and again whenever the log takes it for gone.
async fn announce_presence(
    own: NodeIdentity,
    view: control::updates::view::SharedView,
    reports: control::StatusReporter,
    staying: Arc<AtomicBool>,
    logger: slog::Logger,
) {
    let mut stood = false;
    loop {
        let view_now = view.load();
        let held = view_now.slice.nodes.get(&own.name);
        let registered = held.map_or(0, |node| node.incarnation);
        if stood && registered != 0 && registered != own.incarnation {
            slog::error!(logger, "another process was registered under this node's name; this one serves no more"; "node" => &own.name);
            return staying.store(false, Relaxed);
        }
        stood |= registered == own.incarnation;
        if registered != own.incarnation || held.is_some_and(|node| !node.present) {
            let NodeIdentity {
                name: node,
                zone,
                address,
                incarnation,
            } = own.clone();
            let report = model::endpoint_status::EndpointReport::NodeRegistered {
                node,
                zone,
                address,
                incarnation,
                replaces: registered,
            };
            reports.report_endpoint_status(report).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
