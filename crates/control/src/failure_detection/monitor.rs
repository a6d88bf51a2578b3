//! Sends heartbeats to the monitors of this node, and watches over the nodes that it monitors, by
//! the nodes of the state machine (design 5.10).
//!
//! The monitor of `endpoints` does the same by the cluster state and differs in behaviour: it
//! reports only while its state is proved and its node registered, each report once; this one
//! reports without a proof, and again until the log takes the report. The ring and the failure
//! detector are the same.

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

/// Between two attempts to report, until this process is registered.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Heartbeats that may wait to be taken in.
const HEARTBEAT_QUEUE_CAPACITY: usize = 1_024;

/// The failure detector checks its peers so many times within the failure timeout.
const CHECKS_PER_TIMEOUT: Microseconds = 10;

/// The settings of a monitor. All times are in microseconds.
pub struct MonitorConfig {
    /// The name of this node.
    pub node: String,
    /// Between two heartbeats to one monitor.
    pub heartbeat_interval: Microseconds,
    /// A node that was not heard for so long is reported.
    pub failure_timeout: Microseconds,
}

/// Takes in heartbeats: which node sent one, and which process of it.
pub type HeartbeatSender = mpsc::Sender<(String, Incarnation)>;

/// Starts to send heartbeats and to watch; the tasks run as long as the process.
pub fn start<H: Fn() -> Handshake + Send + 'static>(
    config: MonitorConfig,
    view: SharedView,
    reporter: StatusReporter,
    handshake: H,
) -> HeartbeatSender {
    let (heartbeats, received) = mpsc::channel(HEARTBEAT_QUEUE_CAPACITY);
    let (reports, waiting_reports) = mpsc::unbounded_channel();
    let detection = Detection {
        node: config.node.clone(),
        failure_timeout: config.failure_timeout,
        view: view.clone(),
        reports,
    };
    tokio::spawn(detection.run(received));
    tokio::spawn(send_reports(reporter, waiting_reports));
    tokio::spawn(send_heartbeats(config, view, handshake));
    heartbeats
}

/// The task that watches over the monitored nodes.
struct Detection {
    node: String,
    failure_timeout: Microseconds,
    view: SharedView,
    reports: mpsc::UnboundedSender<EndpointReport>,
}

impl Detection {
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
        for report in detector.tick(model::now(), nodes, &self.node, timeout) {
            // The task that takes reports runs as long as the process.
            drop(self.reports.send(report));
        }
    }
}

async fn send_reports(
    reporter: StatusReporter,
    mut reports: mpsc::UnboundedReceiver<EndpointReport>,
) {
    while let Some(report) = reports.recv().await {
        // Until this process is registered the log takes no report from it.
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
            let kept = addresses.contains(address) && !connection.is_finished();
            if !kept {
                connection.abort();
            }
            kept
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

async fn heartbeat_connection(address: String, handshake: Handshake, every: Duration) {
    if let Ok(connection) = transport::dial(&address, handshake).await {
        while connection.sender.try_send(Frame::Heartbeat).is_ok() {
            sleep(every).await;
        }
    }
}
