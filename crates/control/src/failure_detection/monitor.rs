//! Sends heartbeats to the monitors of this node and checks the nodes that it monitors, based on
//! the nodes of the state machine (design 5.10).
//!
//! The monitor of the crate `endpoints` does the same based on the cluster state, with the same
//! ring and failure detector. It differs in its reports: it sends each report once, and only while
//! its state is verified and its node registered. This monitor reports without a freshness proof,
//! and retries until the log accepts the report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::endpoint_status::EndpointReport;
use model::{Incarnation, Microseconds, Outcome};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};
use transport::{Frame, Handshake};

use super::ring::{FailureDetector, monitors_of};
use crate::status_reports::StatusReporter;
use crate::updates::view::SharedView;

/// Interval between two attempts to send a report while this process is not registered.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Capacity of the queue of received heartbeats that are not handled yet.
const HEARTBEAT_QUEUE_CAPACITY: usize = 1_024;

/// How often the failure detector checks its peers within one failure timeout.
const CHECKS_PER_TIMEOUT: Microseconds = 10;

/// The settings of a monitor. All times are in microseconds.
pub struct MonitorConfig {
    /// The name of this node.
    pub node: String,
    /// Interval between two heartbeats to one monitor, in microseconds.
    pub heartbeat_interval: Microseconds,
    /// How long a node may send no heartbeat before it is reported, in microseconds.
    pub failure_timeout: Microseconds,
}

/// Receives a heartbeat as the name and incarnation of the node that sent it.
pub type HeartbeatSender = mpsc::Sender<(String, Incarnation)>;

/// Starts the tasks that send heartbeats, check the monitored nodes and report failures. They run
/// as long as the process.
pub fn start<H: Fn() -> Handshake + Send + 'static>(
    config: MonitorConfig,
    view: SharedView,
    reporter: StatusReporter,
    handshake: H,
) -> HeartbeatSender {
    let (heartbeats, received) = mpsc::channel(HEARTBEAT_QUEUE_CAPACITY);
    let (reports, pending_reports) = mpsc::unbounded_channel();
    let detection_task = DetectionTask {
        node: config.node.clone(),
        failure_timeout: config.failure_timeout,
        view: view.clone(),
        reports,
    };
    tokio::spawn(detection_task.run(received));
    tokio::spawn(send_reports(reporter, pending_reports));
    tokio::spawn(send_heartbeats(config, view, handshake));
    heartbeats
}

/// The task that checks the monitored nodes.
struct DetectionTask {
    node: String,
    failure_timeout: Microseconds,
    view: SharedView,
    reports: mpsc::UnboundedSender<EndpointReport>,
}

impl DetectionTask {
    async fn run(self, mut heartbeats: mpsc::Receiver<(String, Incarnation)>) {
        let mut detector = FailureDetector::default();
        let check_interval = Duration::from_micros(self.failure_timeout / CHECKS_PER_TIMEOUT);
        let mut checks = interval(check_interval);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                heartbeat = heartbeats.recv() => match heartbeat {
                    Some((node, incarnation)) => {
                        detector.heartbeat_received(model::now(), &node, incarnation);
                    }
                    None => return,
                },
                _ = checks.tick() => self.check(&mut detector),
            }
        }
    }

    fn check(&self, detector: &mut FailureDetector) {
        let view = self.view.load();
        let nodes = &view.slice.nodes;
        let timeout = self.failure_timeout;
        for report in detector.check_nodes(model::now(), nodes, &self.node, timeout) {
            // The send cannot fail: the task that receives reports runs as long as the process.
            drop(self.reports.send(report));
        }
    }
}

async fn send_reports(
    reporter: StatusReporter,
    mut reports: mpsc::UnboundedReceiver<EndpointReport>,
) {
    while let Some(report) = reports.recv().await {
        // The log rejects reports of a process that is not registered yet.
        while let Some(Outcome::Superseded { .. }) =
            reporter.report_endpoint_status(report.clone()).await
        {
            sleep(REPORT_RETRY_INTERVAL).await;
        }
    }
}

async fn send_heartbeats<H: Fn() -> Handshake + Send + 'static>(
    config: MonitorConfig,
    view: SharedView,
    handshake: H,
) {
    let heartbeat_interval = Duration::from_micros(config.heartbeat_interval);
    let mut connections: BTreeMap<String, JoinHandle<()>> = BTreeMap::new();
    loop {
        let addresses = monitor_addresses(&view, &config.node);
        connections.retain(|address, connection| {
            let is_kept = addresses.contains(address) && !connection.is_finished();
            if !is_kept {
                connection.abort();
            }
            is_kept
        });
        for address in addresses {
            let own_handshake = handshake();
            connections.entry(address.clone()).or_insert_with(|| {
                tokio::spawn(heartbeat_connection(
                    address,
                    own_handshake,
                    heartbeat_interval,
                ))
            });
        }
        sleep(heartbeat_interval).await;
    }
}

fn monitor_addresses(view: &SharedView, node: &str) -> BTreeSet<String> {
    let view = view.load();
    let nodes = &view.slice.nodes;
    let monitors = monitors_of(nodes, node).into_iter();
    monitors
        .filter_map(|monitor| nodes.get(&monitor).map(|monitor| monitor.address.clone()))
        .collect()
}

async fn heartbeat_connection(address: String, handshake: Handshake, heartbeat_interval: Duration) {
    if let Ok(connection) = transport::dial(&address, handshake).await {
        while connection.sender.try_send(Frame::Heartbeat).is_ok() {
            sleep(heartbeat_interval).await;
        }
    }
}
