//! Heartbeats to the nodes that monitor this one, and failure detection for the nodes that this one monitors
//! (design section 5.10).
//!
//! `control::failure_detection::monitor` does the same for the older interface. The two differ and both stay: that one checks ten times
//! within its time-out, opens a connection again at its next heartbeat and repeats a report until the log takes it;
//! this one checks at each heartbeat, reports only while it is registered and its own state is verified, and leaves
//! a lost report to the next change.

use std::collections::BTreeMap;
use std::time::Duration;

use control::failure_detection::ring::{FailureDetector, RingPosition};
use control::{SharedVerifiedState, StatusReporter};
use model::cluster_state::ClusterReport;
use model::endpoint_status::EndpointReport;
use model::{Incarnation, Microseconds, NodeName};
use outbound::{HandshakeFactory, HeartbeatSender};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use transport::{Frame, Handshake, Purpose};

use crate::registration::is_registered;

/// Heartbeats received and not yet looked at.
const RECEIVED_CAPACITY: usize = 1_024;
/// Heartbeats that wait for one connection; a connection that falls further behind is closed.
const CONNECTION_CAPACITY: usize = 4;

/// Who this node is and how often it sends and checks.
pub(crate) struct MonitorConfig {
    /// The name of this node.
    pub(crate) node: NodeName,
    /// The incarnation of this process.
    pub(crate) incarnation: Incarnation,
    /// Between two heartbeats to a monitor, and between two checks, in microseconds.
    pub(crate) heartbeat_interval: Microseconds,
    /// A monitored node that was not heard for so long is reported as missed, in microseconds.
    pub(crate) detection_timeout: Microseconds,
}

/// Starts the monitor's task. It ends when all senders that this function gave out are dropped.
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
        ring: RingPosition::default(),
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
    ring: RingPosition,
    /// By the address of the monitor that each goes to.
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

    /// One heartbeat to each monitor, over new connections where there is none.
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

    /// Reports the monitored nodes that are missed since the last check, or heard again.
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
            // Whatever the log answers: a node that stays missed is seen by its other monitors too.
            drop(reporter.report(reports).await);
        });
    }

    fn check(&mut self) -> Vec<EndpointReport> {
        let verified = self.verified_state.load();
        let now = model::now();
        // A node that receives no proof is cut off itself and reports nobody; the detector then takes the pause in
        // its checks for this node's own and forgives all.
        let is_verified = verified.verified_at + self.config.detection_timeout * 2 / 3 > now;
        // Before this process is registered the log takes no report from it.
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

/// The detector's report in the form that the cluster state takes.
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

/// Sends a heartbeat when it is connected, and one for each that it is given, until the connection breaks.
async fn run_connection(
    address: String,
    handshake: Handshake,
    mut heartbeats: mpsc::Receiver<Frame>,
) {
    let Ok(connection) = transport::dial(&address, handshake).await else {
        return;
    };
    // If the connection is broken the next send finds it out.
    drop(connection.sender.send(Frame::Heartbeat).await);
    while let Some(heartbeat) = heartbeats.recv().await {
        if connection.sender.send(heartbeat).await.is_err() {
            return;
        }
    }
}
