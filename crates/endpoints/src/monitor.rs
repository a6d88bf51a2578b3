//! Heartbeats to the nodes that monitor this one, and failure detection for the nodes that this one monitors
//! (design section 5.10).
//!
//! `control::failure_detection::monitor` does the same for the older interface. Both are kept because they differ. The
//! older one checks ten times per timeout, reopens a connection at its next heartbeat and repeats a report until the
//! log accepts it. This one checks at each heartbeat, reports only while the node is registered and its state is
//! verified, and does not repeat a lost report before the next change.

use std::collections::BTreeMap;
use std::time::Duration;

use control::failure_detection::ring::{FailureDetector, RingNeighbours};
use control::{SharedVerifiedState, StatusReporter};
use model::cluster_state::ClusterReport;
use model::endpoint_status::EndpointReport;
use model::{Incarnation, Microseconds, NodeName};
use outbound::{HandshakeFactory, HeartbeatSender};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use transport::{Frame, Handshake, Purpose};

use crate::registration::is_registered;

/// Capacity of the channel of received heartbeats.
const RECEIVED_CAPACITY: usize = 1_024;
/// Capacity of a connection's channel of heartbeats; a connection is closed when its channel is full.
const CONNECTION_CAPACITY: usize = 4;

/// Identity of this node and the times of its heartbeats and checks.
pub(crate) struct MonitorConfig {
    /// Name of this node.
    pub(crate) node: NodeName,
    /// Incarnation of this process.
    pub(crate) incarnation: Incarnation,
    /// Interval between two heartbeats to a monitor, and between two checks, in microseconds.
    pub(crate) heartbeat_interval: Microseconds,
    /// Time without a heartbeat after which a monitored node is reported as missed, in microseconds.
    pub(crate) detection_timeout: Microseconds,
}

/// Starts the monitor's task. The task ends when all clones of the returned sender are dropped.
pub(crate) fn start(
    config: MonitorConfig,
    verified_state: SharedVerifiedState,
    reporter: StatusReporter,
    handshake: HandshakeFactory,
) -> HeartbeatSender {
    let (heartbeats, received) = mpsc::channel(RECEIVED_CAPACITY);
    let monitor = Monitor {
        config,
        verified_state,
        reporter,
        handshake,
        detector: FailureDetector::default(),
        ring: RingNeighbours::default(),
        connections: BTreeMap::new(),
    };
    tokio::spawn(monitor.run(received));
    heartbeats
}

struct Monitor {
    config: MonitorConfig,
    verified_state: SharedVerifiedState,
    reporter: StatusReporter,
    handshake: HandshakeFactory,
    detector: FailureDetector,
    ring: RingNeighbours,
    /// Senders of heartbeats to the monitors of this node, by the monitor's address.
    connections: BTreeMap<String, mpsc::Sender<Frame>>,
}

impl Monitor {
    async fn run(mut self, mut received: mpsc::Receiver<(NodeName, Incarnation)>) {
        let mut ticks =
            tokio::time::interval(Duration::from_micros(self.config.heartbeat_interval));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                heartbeat = received.recv() => match heartbeat {
                    Some((node, incarnation)) => {
                        self.detector.heartbeat_received(model::now(), &node, incarnation);
                    }
                    None => return,
                },
                _ = ticks.tick() => {
                    self.ring.update(&self.verified_state.load().snapshot.nodes, &self.config.node);
                    self.send_heartbeats();
                    self.report_changes();
                }
            }
        }
    }

    /// Sends a heartbeat to each monitor; opens missing connections.
    fn send_heartbeats(&mut self) {
        let monitors = &self.ring.monitor_addresses;
        self.connections.retain(|address, connection| {
            monitors.contains(address) && connection.try_send(Frame::Heartbeat).is_ok()
        });
        for address in monitors {
            if self.connections.contains_key(address) {
                continue;
            }
            let (connection, heartbeats) = mpsc::channel(CONNECTION_CAPACITY);
            self.connections.insert(address.clone(), connection);
            let handshake = (self.handshake)(Purpose::Monitor);
            tokio::spawn(run_connection(address.clone(), handshake, heartbeats));
        }
    }

    /// Reports the monitored nodes whose heartbeats are missing or have resumed since the last check.
    fn report_changes(&mut self) {
        let reports: Vec<ClusterReport> = self
            .check()
            .into_iter()
            .filter_map(cluster_report)
            .collect();
        if reports.is_empty() {
            return;
        }
        let reporter = self.reporter.clone();
        tokio::spawn(async move {
            // A lost report is not repeated: the other monitors of a missed node report it too.
            drop(reporter.report(reports).await);
        });
    }

    fn check(&mut self) -> Vec<EndpointReport> {
        let verified = self.verified_state.load();
        let now = model::now();
        // A node that receives no freshness proof is disconnected itself and reports no other nodes. The detector then
        // attributes the pause in its checks to this node and restarts the timeouts of all monitored nodes.
        let is_verified = verified.verified_at + self.config.detection_timeout * 2 / 3 > now;
        // The log accepts no reports from this process before it is registered.
        let node = verified.snapshot.nodes.get(&self.config.node);
        if !is_verified || !is_registered(node, self.config.incarnation) {
            return Vec::new();
        }
        self.detector.check(
            model::now(),
            &self.ring.monitored_peers,
            &self.config.node,
            self.config.detection_timeout,
        )
    }
}

/// Converts the detector's report to a report for the cluster state.
fn cluster_report(report: EndpointReport) -> Option<ClusterReport> {
    match report {
        EndpointReport::NodeObserved {
            observer,
            node,
            incarnation,
            suspected,
        } => Some(ClusterReport::NodeObserved {
            observer,
            node,
            incarnation,
            suspected,
        }),
        _ => None,
    }
}

/// Connects to a monitor, sends a heartbeat, and then forwards heartbeats from the channel until the connection ends.
async fn run_connection(
    address: String,
    handshake: Handshake,
    mut heartbeats: mpsc::Receiver<Frame>,
) {
    let Ok(connection) = transport::dial(&address, handshake).await else {
        return;
    };
    // If the connection is broken, the next send fails.
    drop(connection.sender.send(Frame::Heartbeat).await);
    while let Some(heartbeat) = heartbeats.recv().await {
        if connection.sender.send(heartbeat).await.is_err() {
            return;
        }
    }
}
