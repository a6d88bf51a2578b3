//! One stand-in node: the product's own node code on a separate thread, with a simulated backend beside it. The
//! backend sends heartbeats, holds the ranges that the node assigns to it, releases those it lost, drains and
//! deregisters.

use super::{NodeParts, Plan};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

/// How a stand-in node is stopped.
pub(super) enum StopMode {
    /// The backend drains and deregisters, then the node shuts down.
    Graceful,
    /// The node stops without notice, like a machine that loses power.
    Abrupt,
}

/// Handle of a running stand-in node.
pub(super) struct StandInNode {
    pub index: usize,
    pub backend_name: String,
    pub incarnation: u64,
    pub follower: control::FollowerHandle,
    stop_sender: tokio::sync::mpsc::UnboundedSender<StopMode>,
    /// Closes once all tasks of the node have ended.
    ended: tokio::sync::watch::Receiver<()>,
}

/// Settings shared by all nodes. Everything else follows from a node's index.
#[derive(Clone)]
pub(super) struct NodeSetup {
    pub plan: Arc<Plan>,
    pub replica_addresses: Vec<String>,
    pub links: Option<super::NetworkLinks>,
    pub known_replicas: control::KnownReplicas,
}

const HEARTBEAT_INTERVAL: model::Microseconds = 1_500_000;
const BACKEND_SLOTS: u32 = 8;
/// First key, last key and fencing token of each held range.
type HeldRanges = Vec<(u16, u16, model::Position)>;

/// Returns the backend name of a node in one incarnation.
pub(super) fn backend_name(index: usize, incarnation: u64) -> String {
    format!("b{index}.{incarnation}")
}

/// Returns a node's settings, as the node daemon builds them (platform/src/node.rs).
fn config(
    plan: &Plan,
    replica_addresses: &[String],
    index: usize,
    incarnation: u64,
    address: String,
) -> endpoints::NodeConfig {
    let max_duration = 10_000_000;
    endpoints::NodeConfig {
        lease_table: endpoints::LeaseTableConfig {
            node: format!("n{index}"),
            zone: plan.zone(index),
            address,
            incarnation,
            leases: endpoints::LeaseConfig {
                proof_validity: max_duration * 9 / 10,
                clock_margin: 200_000,
                max_duration,
            },
            heartbeat_interval: HEARTBEAT_INTERVAL,
            backend_address: None,
            drain_timeout: 2_000_000,
        },
        service: plan.service(index),
        seeds: replica_addresses.to_vec(),
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        selection: outbound::SelectorConfig {
            zone_crossing_cost: 15_000,
            retry_deposit: 8,
        },
        extra_runs: 1,
        proof_interval: 1_000_000,
        monitor_interval: 500_000,
        monitor_timeout: 3_000_000,
    }
}

/// Starts a node on a thread of its own and returns once its follower runs.
pub(super) fn start(
    node_setup: &NodeSetup,
    index: usize,
    incarnation: u64,
) -> Result<StandInNode, String> {
    let plan = node_setup.plan.clone();
    let (listener, address) =
        super::seats::bind(plan.host(plan.replicas + index), node_setup.links.as_ref())?;
    let config = config(
        &plan,
        &node_setup.replica_addresses,
        index,
        incarnation,
        address,
    );
    let (stop_sender, mut stop_receiver) = tokio::sync::mpsc::unbounded_channel();
    let (ended_sender, ended) = tokio::sync::watch::channel(());
    let (follower_sender, follower_receiver) = std::sync::mpsc::channel();
    let (known_replicas, backend_name) = (
        node_setup.known_replicas.clone(),
        backend_name(index, incarnation),
    );
    let name = backend_name.clone();
    let run_node = move || {
        let _ended_sender = ended_sender;
        let Ok(runtime) = super::seats::runtime() else {
            return;
        };
        runtime.block_on(async {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            let node = NodeRuntime::start(&plan, config.clone(), known_replicas, listener);
            drop(follower_sender.send(node.follower()));
            let run = async {
                match node.lease_table() {
                    Some(lease_table) => {
                        run_backend(lease_table, &config, name, &mut stop_receiver).await
                    }
                    None => stop_receiver.recv().await.map(|_| ()).unwrap_or_default(),
                }
            };
            run.await;
            if let NodeRuntime::Full(node, ..) = &node {
                node.shut_down(Duration::ZERO, Duration::from_millis(500))
                    .await;
            }
        });
    };
    Builder::new()
        .name(format!("node-{index}"))
        .spawn(run_node)
        .map_err(|error| error.to_string())?;
    let follower = follower_receiver
        .recv()
        .map_err(|error| error.to_string())?;
    Ok(StandInNode {
        index,
        backend_name,
        incarnation,
        follower,
        stop_sender,
        ended,
    })
}

impl StandInNode {
    /// Tells the node to stop, without waiting until it has.
    pub(super) fn stop(&self, mode: StopMode) {
        drop(self.stop_sender.send(mode));
    }

    /// Waits until all tasks of the node have ended.
    pub(super) async fn wait_stopped(&self) {
        let mut ended = self.ended.clone();
        while ended.changed().await.is_ok() {}
    }
}

/// The running parts of a node, as the plan's `parts` selects them.
enum NodeRuntime {
    Follower(control::FollowerHandle),
    LeaseTable(control::FollowerHandle, endpoints::LeaseTableHandle),
    Full(Box<endpoints::Node>),
}

impl NodeRuntime {
    fn start(
        plan: &Plan,
        config: endpoints::NodeConfig,
        known: control::KnownReplicas,
        listener: tokio::net::TcpListener,
    ) -> NodeRuntime {
        let logger = model::logging::discard_logger();
        if plan.parts == NodeParts::Full {
            return NodeRuntime::Full(Box::new(endpoints::Node::start(config, listener, logger)));
        }
        let lease_config = config.lease_table.clone();
        // Every node gets a table of its own, since processes share none in production.
        let known_replicas = control::membership::discovery::empty();
        control::membership::discovery::merge(
            &known_replicas,
            control::membership::discovery::list(&known),
        );
        let (own_config, own_replicas) = (lease_config.clone(), known_replicas.clone());
        let handshake = |purpose| {
            let (config, replicas) = (own_config.clone(), own_replicas.clone());
            move || transport::Handshake {
                purpose,
                node_name: config.node.clone(),
                zone: config.zone.clone(),
                address: config.address.clone(),
                incarnation: config.incarnation,
                replica: None,
                has_empty_disk: false,
                expected_disk: None,
                known_replicas: control::membership::discovery::list(&replicas),
            }
        };
        let follower_config = control::FollowerConfig {
            node: lease_config.node.clone(),
            zone: lease_config.zone.clone(),
            proof_interval: config.proof_interval,
            proof_timeout: config.proof_interval * 2,
        };
        let follower = control::updates::follower::start(
            follower_config,
            known_replicas.clone(),
            handshake(transport::Purpose::Subscribe),
            logger.clone(),
        );
        tokio::spawn(control::membership::discovery::run(
            known_replicas.clone(),
            config.seeds.clone(),
            handshake(transport::Purpose::Discover),
            || 3,
        ));
        if plan.parts == NodeParts::Follower {
            return NodeRuntime::Follower(follower);
        }
        let reporter_config = control::StatusReporterConfig {
            node: lease_config.node.clone(),
            incarnation: lease_config.incarnation,
            logger: logger.clone(),
        };
        let reporter = control::StatusReporter::start(
            reporter_config,
            known_replicas,
            follower.followed_address.clone(),
            handshake(transport::Purpose::Subscribe),
        );
        let limiter = inbound::ConcurrencyLimiter::start(inbound::ConcurrencyLimiterConfig {
            header_names: config.header_names.clone(),
            extra_runs: config.extra_runs,
        });
        let lease_table = endpoints::LeaseTableHandle::start(
            lease_config,
            follower.clone(),
            limiter,
            reporter,
            logger,
        );
        NodeRuntime::LeaseTable(follower, lease_table)
    }

    fn follower(&self) -> control::FollowerHandle {
        match self {
            NodeRuntime::Follower(follower) | NodeRuntime::LeaseTable(follower, _) => {
                follower.clone()
            }
            NodeRuntime::Full(node) => node.follower.clone(),
        }
    }

    fn lease_table(&self) -> Option<&endpoints::LeaseTableHandle> {
        match self {
            NodeRuntime::Follower(_) => None,
            NodeRuntime::LeaseTable(_, lease_table) => Some(lease_table),
            NodeRuntime::Full(node) => Some(&node.lease_table),
        }
    }
}

/// Sends the backend's heartbeats until the node is stopped. A graceful stop ends only after the drain and the
/// backend's deregistration; no heartbeat follows.
async fn run_backend(
    lease_table: &endpoints::LeaseTableHandle,
    config: &endpoints::NodeConfig,
    name: String,
    stop_receiver: &mut tokio::sync::mpsc::UnboundedReceiver<StopMode>,
) {
    // The node checks whether the backend process lives by connecting to this listener.
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        return;
    };
    let address = listener
        .local_addr()
        .map(|address| address.to_string())
        .unwrap_or_default();
    let mut heartbeat_timer =
        tokio::time::interval(Duration::from_micros(config.lease_table.heartbeat_interval));
    heartbeat_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut sequence, mut held, mut released): (u64, HeldRanges, Vec<(u16, u16)>) =
        Default::default();
    let mut drain_deadline: Option<model::Microseconds> = None;
    loop {
        tokio::select! {
            _ = heartbeat_timer.tick() => {}
            mode = stop_receiver.recv() => match mode {
                Some(StopMode::Graceful) => {
                    drain_deadline = Some(model::now() + config.lease_table.drain_timeout);
                    heartbeat_timer.reset_immediately();
                    continue;
                }
                _ => return,
            },
        }
        sequence += 1;
        let heartbeat = endpoints::Heartbeat {
            name: name.clone(),
            service: config.service.clone(),
            address: address.clone(),
            zone: config.lease_table.zone.clone(),
            slots: BACKEND_SLOTS,
            draining: drain_deadline.is_some(),
            sequence,
            held_ranges: held.clone(),
            released_ranges: std::mem::take(&mut released)
                .into_iter()
                .map(|(from, to)| (from, to, format!("t{sequence}")))
                .collect(),
        };
        if let Ok(Some((ranges, _))) = lease_table.heartbeat(heartbeat).await {
            let kept: HeldRanges = ranges
                .into_iter()
                .map(|(from, to, token, _)| (from, to, token))
                .collect();
            released = subtract_ranges(&held, &kept);
            held = kept;
        }
        // Ends only after the drain, and after a heartbeat has reported the last released ranges.
        if drain_deadline.is_some_and(|deadline| model::now() >= deadline && released.is_empty()) {
            lease_table
                .deregister(name.clone())
                .await
                .unwrap_or_default();
            // The backend process ends shortly after its deregistration, and the node after its next check of it.
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(listener);
            return tokio::time::sleep(Duration::from_millis(700)).await;
        }
    }
}

/// Returns the key ranges of `held` that are not in `kept`.
fn subtract_ranges(held: &HeldRanges, kept: &HeldRanges) -> Vec<(u16, u16)> {
    let held_keys = held
        .iter()
        .map(|(from, to, _)| (*from as u32, *to as u32))
        .collect::<Vec<_>>();
    let remaining = kept.iter().fold(held_keys, |remaining, (from, to, _)| {
        let (from, to) = (*from as u32, *to as u32);
        let cut = |(low, high): (u32, u32)| {
            let below = (low < from).then(|| (low, high.min(from - 1)));
            let above = (high > to).then(|| (low.max(to + 1), high));
            below.into_iter().chain(above)
        };
        remaining.into_iter().flat_map(cut).collect()
    });
    remaining
        .into_iter()
        .map(|(from, to)| (from as u16, to as u16))
        .collect()
}

#[cfg(test)]
mod tests {
    #[test]
    fn subtract_ranges_returns_what_is_no_longer_held() {
        let held = vec![(0, 99, 3), (200, u16::MAX, 3)];
        assert_eq!(super::subtract_ranges(&held, &held), vec![]);
        assert_eq!(
            super::subtract_ranges(&held, &vec![(0, 49, 3), (300, 399, 9)]),
            vec![(50, 99), (200, 299), (400, u16::MAX)]
        );
        assert_eq!(
            super::subtract_ranges(&held, &vec![]),
            vec![(0, 99), (200, u16::MAX)]
        );
    }
}
