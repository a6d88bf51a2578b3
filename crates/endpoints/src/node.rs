//! Puts the parts of a node together, and takes them down in order (design 13.7).

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

#[derive(Clone)]
pub struct NodeConfig {
    pub lease_table: crate::LeaseTableConfig,
    /// The service of this machine.
    pub service: String,
    pub seeds: Vec<String>,
    pub header_names: http_util::headers::HeaderNames,
    pub selection: outbound::SelectorConfig,
    pub queued_ahead: u32,
    pub proof_interval: model::Microseconds,
    pub monitor_interval: model::Microseconds,
    pub monitor_timeout: model::Microseconds,
}

pub struct Node {
    pub lease_table: crate::LeaseTableHandle,
    pub listener: outbound::Listener,
    pub follower: control::FollowerHandle,
    pub known_replicas: control::KnownReplicas,
    limiter: inbound::ConcurrencyLimiter,
    in_flight: outbound::InFlightRequests,
    /// Told from outside that it is to go: no longer ready, though it serves on for a while.
    draining: AtomicBool,
    shutdown: tokio::sync::watch::Sender<bool>,
}

impl Node {
    /// `mates` is bound already; its address stands in the settings.
    pub fn start(env: NodeConfig, mates: tokio::net::TcpListener, logger: slog::Logger) -> Node {
        let own = &env.lease_table;
        let known = control::membership::discovery::empty();
        let greet = handshake_factory(&env, known.clone());
        let greeting = |purpose| {
            let greet = greet.clone();
            move || (greet)(purpose)
        };
        let line = control::FollowerConfig {
            node: own.node.clone(),
            zone: own.zone.clone(),
            proof_interval: env.proof_interval,
            proof_timeout: env.proof_interval,
        };
        let following = control::updates::follower::start(
            line,
            known.clone(),
            greeting(transport::Purpose::Subscribe),
            logger.clone(),
        );
        let reporting = control::StatusReporterConfig {
            node: own.node.clone(),
            incarnation: own.incarnation,
            logger: logger.clone(),
        };
        let reports = control::StatusReporter::start(
            reporting,
            known.clone(),
            greeting(transport::Purpose::Subscribe),
        );
        let pit = inbound::ConcurrencyLimiter::start(inbound::ConcurrencyLimiterConfig {
            header_names: env.header_names.clone(),
            extra_runs: env.queued_ahead,
        });
        let troupe = crate::LeaseTableHandle::start(
            own.clone(),
            following.clone(),
            pit.clone(),
            reports.clone(),
            logger.clone(),
        );
        let watching = crate::monitor::MonitorConfig {
            node: own.node.clone(),
            incarnation: own.incarnation,
            heartbeat_interval: env.monitor_interval,
            detection_timeout: env.monitor_timeout,
        };
        let heard = crate::monitor::start(
            watching,
            following.verified_state.clone(),
            reports.clone(),
            greet.clone(),
        );
        let (tell_loads, loads) = tokio::sync::mpsc::channel(1_024);
        tokio::spawn(outbound::serve_peers(
            mates,
            greet.clone(),
            known.clone(),
            pit.clone(),
            (heard, tell_loads),
        ));
        tokio::spawn(control::membership::discovery::run(
            known.clone(),
            env.seeds.clone(),
            greeting(transport::Purpose::Discover),
            || 3,
        ));
        // The duty of placing keys goes with the back end beside this node.
        let mates = outbound::PeerConnections::start(greet);
        let duty = crate::placement::PlacementCoordinator {
            node: own.node.clone(),
            service: env.service.clone(),
            follower: following.clone(),
            reports,
            limiter: pit.clone(),
            peers: mates.clone(),
            load_receiver: loads,
            logger: logger.clone(),
        };
        tokio::spawn(duty.run());
        let calls = outbound::InFlightRequests::default();
        let apron = outbound::OutboundProxy {
            node: own.node.clone(),
            zone: own.zone.clone(),
            service: env.service.clone(),
            verified_state: following.verified_state.clone(),
            limiter: pit.clone(),
            peers: mates,
            selector: outbound::SelectorHandle::start(
                env.selection,
                following.verified_state.clone(),
            ),
            in_flight: calls.clone(),
            logger,
        };
        let front = outbound::Listener {
            config: outbound::ListenerConfig {
                header_names: env.header_names,
            },
            proxy: apron,
        };
        Node {
            lease_table: troupe,
            listener: front,
            follower: following,
            known_replicas: known,
            limiter: pit,
            in_flight: calls,
            draining: Default::default(),
            shutdown: tokio::sync::watch::Sender::new(false),
        }
    }

    pub fn serve(&self, listener: tokio::net::TcpListener) {
        tokio::spawn(
            self.listener
                .clone()
                .serve(listener, self.shutdown.subscribe()),
        );
    }

    /// Knows what is to be served, and is not on its way out.
    pub fn is_ready(&self) -> bool {
        let outlook = self.follower.verified_state.load();
        let serves = outlook.verified_at > 0 && outlook.snapshot.has_routes();
        serves
            && !self.lease_table.is_superseded()
            && !self.draining.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Not ready from now on, but serves as before for the notice: until whoever sends requests here has asked and heard it.
    /// Then takes nothing new, and returns once all that was taken has its answer, or patience is over (design 13.7).
    pub async fn shut_down(&self, notice: Duration, patience: Duration) {
        self.draining
            .store(true, std::sync::atomic::Ordering::Relaxed);
        tokio::time::sleep(notice).await;
        self.shutdown.send_replace(true);
        self.in_flight.drain();
        self.limiter.drain().await;
        let ended = async {
            self.in_flight.drained().await;
            while self.limiter.load().await.0 > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // Answers that were given are still on their way out of this process.
            tokio::time::sleep(Duration::from_millis(60)).await;
        };
        drop(tokio::time::timeout(patience, ended).await);
    }
}

fn handshake_factory(
    env: &NodeConfig,
    known: control::KnownReplicas,
) -> Arc<dyn Fn(transport::Purpose) -> transport::Handshake + Send + Sync> {
    let own = env.lease_table.clone();
    Arc::new(move |purpose| transport::Handshake {
        purpose,
        node_name: own.node.clone(),
        zone: own.zone.clone(),
        address: own.address.clone(),
        incarnation: own.incarnation,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        // Who only asks for a run, or beats, tells nothing of the core.
        known_replicas: if matches!(
            purpose,
            transport::Purpose::Forward | transport::Purpose::Monitor
        ) {
            Vec::new()
        } else {
            control::membership::discovery::list(&known)
        },
    })
}
