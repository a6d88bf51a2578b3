//! Assembles the parts of a node and shuts them down in order (design section 13.7).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use control::{
    FollowerConfig, FollowerHandle, KnownReplicas, StatusReporter, StatusReporterConfig,
    membership::discovery, updates::follower,
};
use http_util::headers::HeaderNames;
use inbound::{ConcurrencyLimiter, ConcurrencyLimiterConfig};
use model::{Microseconds, ServiceName};
use outbound::{
    HandshakeFactory, InFlightRequests, Listener, ListenerConfig, OutboundProxy, PeerConnections,
    PeerServices, SelectorConfig, SelectorHandle, ShutdownStage,
};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use transport::{Handshake, LoadReport, Purpose};

use crate::lease_table::{LeaseTableConfig, LeaseTableHandle};
use crate::monitor::{self, MonitorConfig};
use crate::placement::PlacementCoordinator;

/// Capacity of the channel of load reports from other nodes to the placement coordinator.
const LOAD_REPORT_CAPACITY: usize = 1_024;
/// Number of replicas whose locations a node tries to discover.
const WANTED_REPLICAS: usize = 3;
/// Interval between two checks for running requests during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Share of the drain timeout for which requests may still begin to run. The rest is left to the runs that have begun.
const UNDISTURBED_DRAIN_SHARE: f64 = 2.0 / 3.0;
/// Maximum time until all requests are answered and the answers written once the drain timeout has passed.
const ABORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Settings of a node.
#[derive(Clone)]
pub struct NodeConfig {
    /// Identity of the node and settings of the lease table.
    pub lease_table: LeaseTableConfig,
    /// Service of the backend beside the node.
    pub service: ServiceName,
    /// Addresses, as `host:port`, where the node discovers the replicas of the log.
    pub seeds: Vec<String>,
    /// Names of the headers that identify requests.
    pub header_names: HeaderNames,
    /// Settings of the backend selection.
    pub selection: SelectorConfig,
    /// Number of requests sent to the backend beyond its slots, so that no slot is idle between two requests.
    pub extra_runs: u32,
    /// Interval between two freshness-proof requests, in microseconds.
    pub proof_interval: Microseconds,
    /// Interval between two heartbeats to the nodes that monitor this one, in microseconds.
    pub monitor_interval: Microseconds,
    /// Time without a heartbeat after which a monitored node is reported as missed, in microseconds.
    pub monitor_timeout: Microseconds,
}

/// A running node.
pub struct Node {
    /// Lease table of the backend beside the node.
    pub lease_table: LeaseTableHandle,
    /// Accepts requests of clients on this machine.
    pub listener: Listener,
    /// Follows and verifies the cluster state.
    pub follower: FollowerHandle,
    /// Locations of the replicas of the log that the node has discovered.
    pub known_replicas: KnownReplicas,
    limiter: ConcurrencyLimiter,
    in_flight: InFlightRequests,
    /// Requests of peers, each until its answer is written.
    peer_requests: InFlightRequests,
    /// Set when the shutdown begins: the node is no longer ready, but still serves requests for a while.
    draining: AtomicBool,
    shutdown: watch::Sender<bool>,
}

/// The parts that several tasks of the node use.
struct Shared {
    known_replicas: KnownReplicas,
    handshake: HandshakeFactory,
    follower: FollowerHandle,
    reporter: StatusReporter,
    limiter: ConcurrencyLimiter,
    peer_requests: InFlightRequests,
    logger: Logger,
}

impl Node {
    /// Starts the node's tasks. `peer_listener` is bound to the address in the settings.
    pub fn start(config: NodeConfig, peer_listener: TcpListener, logger: Logger) -> Node {
        let shared = Shared::start(&config, logger);
        let lease_table = LeaseTableHandle::start(
            config.lease_table.clone(),
            shared.follower.clone(),
            shared.limiter.clone(),
            shared.reporter.clone(),
            shared.logger.clone(),
        );
        let load_receiver = shared.start_peer_tasks(&config, peer_listener);
        let peers = PeerConnections::start(shared.handshake.clone());
        tokio::spawn(
            shared
                .coordinator(&config, peers.clone(), load_receiver)
                .run(),
        );
        let in_flight = InFlightRequests::default();
        let listener = shared.listener(config, peers, in_flight.clone());
        Node {
            lease_table,
            listener,
            follower: shared.follower,
            known_replicas: shared.known_replicas,
            limiter: shared.limiter,
            in_flight,
            peer_requests: shared.peer_requests,
            draining: AtomicBool::new(false),
            shutdown: watch::Sender::new(false),
        }
    }

    /// Accepts requests of clients on this listener until the node shuts down.
    pub fn serve(&self, listener: TcpListener) {
        tokio::spawn(
            self.listener
                .clone()
                .serve(listener, self.shutdown.subscribe()),
        );
    }

    /// Returns whether clients may send requests here: the node knows routes, is not superseded and is not shutting
    /// down.
    pub fn is_ready(&self) -> bool {
        let verified = self.follower.verified_state.load();
        let knows_routes = verified.verified_at > 0 && verified.snapshot.has_routes();
        knows_routes && !self.lease_table.is_superseded() && !self.draining.load(Ordering::Relaxed)
    }

    /// Stops the node. The node stops being ready at once, but serves as before for `notice`, so that clients can
    /// notice this. Then the node accepts no new requests, and this function returns once all accepted requests are
    /// answered and the answers are written (design section 13.7). After a part of `timeout`, requests whose run has not begun are refused; at
    /// its end, those that still run are answered that they may have run.
    pub async fn shut_down(&self, notice: Duration, timeout: Duration) {
        self.draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(notice).await;
        self.shutdown.send_replace(true);
        self.in_flight.drain();
        self.limiter.drain().await;
        let withdraw_after = timeout.mul_f64(UNDISTURBED_DRAIN_SHARE);
        if self.drained_within(withdraw_after).await {
            return;
        }
        self.in_flight.enter(ShutdownStage::Withdrawing);
        self.limiter.withdraw_all().await;
        if self.drained_within(timeout - withdraw_after).await {
            return;
        }
        self.in_flight.enter(ShutdownStage::Aborting);
        drop(tokio::time::timeout(ABORT_TIMEOUT, self.listener.connections.drained()).await);
    }

    async fn drained_within(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.drained()).await.is_ok()
    }

    /// Waits until no backend works on a request and every answer is written.
    async fn drained(&self) {
        self.listener.connections.drained().await;
        while self.limiter.load().await.0 > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.peer_requests.drained().await;
    }
}

impl Shared {
    fn start(config: &NodeConfig, logger: Logger) -> Shared {
        let table_config = &config.lease_table;
        let known_replicas = discovery::empty();
        let handshake = handshake_factory(config, known_replicas.clone());
        let follower = follower::start(
            FollowerConfig {
                node: table_config.node.clone(),
                zone: table_config.zone.clone(),
                proof_interval: config.proof_interval,
                proof_timeout: config.proof_interval,
            },
            known_replicas.clone(),
            handshake_for(&handshake, Purpose::Subscribe),
            logger.clone(),
        );
        let reporter = StatusReporter::start(
            StatusReporterConfig {
                node: table_config.node.clone(),
                incarnation: table_config.incarnation,
                logger: logger.clone(),
            },
            known_replicas.clone(),
            follower.followed_address.clone(),
            handshake_for(&handshake, Purpose::Subscribe),
        );
        let limiter = ConcurrencyLimiter::start(ConcurrencyLimiterConfig {
            header_names: config.header_names.clone(),
            extra_runs: config.extra_runs,
        });
        Shared {
            known_replicas,
            handshake,
            follower,
            reporter,
            limiter,
            peer_requests: InFlightRequests::default(),
            logger,
        }
    }

    /// Starts the monitor, the server for peers and the discovery of replicas. Returns the receiver of load reports
    /// from other nodes.
    fn start_peer_tasks(
        &self,
        config: &NodeConfig,
        peer_listener: TcpListener,
    ) -> mpsc::Receiver<LoadReport> {
        let table_config = &config.lease_table;
        let heartbeats = monitor::start(
            MonitorConfig {
                node: table_config.node.clone(),
                incarnation: table_config.incarnation,
                heartbeat_interval: config.monitor_interval,
                detection_timeout: config.monitor_timeout,
            },
            self.follower.verified_state.clone(),
            self.reporter.clone(),
            self.handshake.clone(),
        );
        let (load_reports, load_receiver) = mpsc::channel(LOAD_REPORT_CAPACITY);
        let services = PeerServices {
            limiter: self.limiter.clone(),
            in_flight: self.peer_requests.clone(),
            heartbeats,
            load_reports,
        };
        tokio::spawn(outbound::serve_peers(
            peer_listener,
            self.handshake.clone(),
            self.known_replicas.clone(),
            services,
        ));
        tokio::spawn(discovery::run(
            self.known_replicas.clone(),
            config.seeds.clone(),
            handshake_for(&self.handshake, Purpose::Discover),
            || WANTED_REPLICAS,
        ));
        load_receiver
    }

    fn coordinator(
        &self,
        config: &NodeConfig,
        peers: PeerConnections,
        load_receiver: mpsc::Receiver<LoadReport>,
    ) -> PlacementCoordinator {
        PlacementCoordinator {
            node: config.lease_table.node.clone(),
            service: config.service.clone(),
            follower: self.follower.clone(),
            reporter: self.reporter.clone(),
            limiter: self.limiter.clone(),
            peers,
            load_receiver,
            logger: self.logger.clone(),
        }
    }

    fn listener(
        &self,
        config: NodeConfig,
        peers: PeerConnections,
        in_flight: InFlightRequests,
    ) -> Listener {
        let table_config = config.lease_table;
        let verified_state = self.follower.verified_state.clone();
        let proxy = OutboundProxy {
            node: table_config.node,
            zone: table_config.zone,
            service: config.service,
            verified_state: verified_state.clone(),
            limiter: self.limiter.clone(),
            peers,
            selector: SelectorHandle::start(config.selection, verified_state),
            in_flight,
            logger: self.logger.clone(),
        };
        Listener {
            config: ListenerConfig {
                header_names: config.header_names,
            },
            proxy,
            connections: InFlightRequests::default(),
        }
    }
}

/// Returns a function that creates this node's handshake for a connection.
fn handshake_factory(config: &NodeConfig, known_replicas: KnownReplicas) -> HandshakeFactory {
    let table_config = config.lease_table.clone();
    Arc::new(move |purpose| Handshake {
        purpose,
        node_name: table_config.node.clone(),
        zone: table_config.zone.clone(),
        address: table_config.address.clone(),
        incarnation: table_config.incarnation,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        // Connections for requests and heartbeats are not used for the discovery of replicas.
        known_replicas: match purpose {
            Purpose::Forward | Purpose::Monitor => Vec::new(),
            _ => discovery::list(&known_replicas),
        },
    })
}

fn handshake_for(
    handshake: &HandshakeFactory,
    purpose: Purpose,
) -> impl Fn() -> Handshake + Send + Sync + 'static + use<> {
    let handshake = handshake.clone();
    move || handshake(purpose)
}
