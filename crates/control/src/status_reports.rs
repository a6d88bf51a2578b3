//! Submission of the reports of a node to the log, one at a time, through any replica that answers
//! (design 5.8).

use std::time::Duration;

use model::cluster_state::{ClusterOperation, ClusterReport};
use model::endpoint_status::EndpointReport;
use model::{Entry, Incarnation, Operation, Outcome};
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use transport::{Connection, Frame, Handshake};

use crate::membership::discovery::{self, KnownReplicas};

/// Timeout for the answer of a replica, after which the same entry is sent to another replica,
/// because the first may be cut off from the majority.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a connection without reports is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause before the next attempt if no replica could be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Capacity of the queue of reports; a caller that finds it full waits.
const REPORT_QUEUE_CAPACITY: usize = 256;

/// The settings of a status reporter.
pub struct StatusReporterConfig {
    /// The name of this node, which is the origin of its entries.
    pub node: String,
    /// Distinguishes this process from other processes of the same node.
    pub incarnation: Incarnation,
    /// The logger for the outcomes of reports.
    pub logger: Logger,
}

/// A report, and the sender that returns its outcome to the caller.
struct PendingReport {
    operation: Operation,
    answer: oneshot::Sender<Outcome>,
}

/// Submits reports to the log. Clones share one queue.
#[derive(Clone)]
pub struct StatusReporter(mpsc::Sender<PendingReport>);

impl StatusReporter {
    /// Starts the task that sends the reports. `followed_address` is the address of the replica
    /// that the node relies on for updates, if there is one. That replica is preferred, because it
    /// has recently answered while others may be unresponsive.
    pub fn start(
        config: StatusReporterConfig,
        known_replicas: KnownReplicas,
        followed_address: watch::Receiver<Option<String>>,
        handshake: impl Fn() -> Handshake + Send + 'static,
    ) -> StatusReporter {
        let (queue, reports) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        let node_slot = usize::from(model::leases::key_slot(&config.node));
        let task = ReporterTask {
            config,
            known_replicas,
            followed_address,
            handshake,
            connection: None,
            failed_address: None,
            next_replica: node_slot,
        };
        tokio::spawn(task.run(reports));
        StatusReporter(queue)
    }

    /// Submits a report on a node or backend to the state machine and waits for its outcome.
    /// Returns `None` if the process stops.
    pub async fn report_endpoint_status(&self, report: EndpointReport) -> Option<Outcome> {
        self.submit(Operation::EndpointReport(report)).await
    }

    /// Submits reports on backends, nodes and shard keys to the cluster state in one entry, and
    /// waits for its outcome (design 11.2). Returns `None` if the process stops.
    pub async fn report(&self, reports: Vec<ClusterReport>) -> Option<Outcome> {
        let operation = ClusterOperation::Reports(reports);
        self.submit(Operation::ClusterState(operation)).await
    }

    async fn submit(&self, operation: Operation) -> Option<Outcome> {
        let (answer, outcome) = oneshot::channel();
        let report = PendingReport { operation, answer };
        self.0.send(report).await.ok()?;
        outcome.await.ok()
    }
}

struct ReporterTask<H> {
    config: StatusReporterConfig,
    known_replicas: KnownReplicas,
    followed_address: watch::Receiver<Option<String>>,
    handshake: H,
    connection: Option<Connection>,
    /// The address of the replica tried last, unless it answered.
    failed_address: Option<String>,
    /// The index of the replica to try next. The first depends on the name of the node, which
    /// spreads the nodes over the replicas.
    next_replica: usize,
}

impl<H: Fn() -> Handshake + Send + 'static> ReporterTask<H> {
    async fn run(mut self, mut reports: mpsc::Receiver<PendingReport>) {
        let mut sequence = 0;
        loop {
            let report = match timeout(IDLE_TIMEOUT, reports.recv()).await {
                Ok(Some(report)) => report,
                Ok(None) => return,
                Err(_) => {
                    self.connection = None;
                    continue;
                }
            };
            sequence += 1;
            let entry = Entry {
                origin: self.config.node.clone(),
                incarnation: self.config.incarnation,
                sequence,
                operation: report.operation,
            };
            let outcome = self.submit(&entry).await;
            slog::info!(self.config.logger, "reported";
                "sequence" => sequence,
                "outcome" => ?outcome);
            // The send fails if the caller has stopped waiting.
            drop(report.answer.send(outcome));
        }
    }

    /// Sends an entry to one replica after another until one answers. Each attempt sends the same
    /// sequence number, so that the entry takes effect only once.
    async fn submit(&mut self, entry: &Entry) -> Outcome {
        loop {
            if let Some(connection) = self.connection.as_mut() {
                let answer = timeout(ANSWER_TIMEOUT, forward(connection, entry)).await;
                if let Some(outcome) = answer.ok().flatten() {
                    self.failed_address = None;
                    return outcome;
                }
            }
            self.connection = self.connect_next().await;
            if self.connection.is_none() {
                sleep(RECONNECT_PAUSE).await;
            }
        }
    }

    async fn connect_next(&mut self) -> Option<Connection> {
        let address = self.next_address()?;
        self.failed_address = Some(address.clone());
        transport::dial(&address, (self.handshake)()).await.ok()
    }

    /// Returns the address of the replica that the node relies on, unless that one has just failed;
    /// otherwise the next known replica in turn.
    fn next_address(&mut self) -> Option<String> {
        let followed_address = self.followed_address.borrow().clone();
        if followed_address.is_some() && followed_address != self.failed_address {
            return followed_address;
        }
        let replicas = discovery::list(&self.known_replicas);
        let replica = replicas.get(self.next_replica % replicas.len().max(1))?;
        self.next_replica += 1;
        Some(replica.address.clone())
    }
}

/// Sends an entry to a replica and waits for its outcome. Returns `None` if the connection ends or
/// the replica does not know the outcome.
async fn forward(connection: &mut Connection, entry: &Entry) -> Option<Outcome> {
    let frame = Frame::ForwardEntry {
        request_id: entry.sequence,
        entry: Box::new(entry.clone()),
    };
    connection.sender.send(frame).await.ok()?;
    loop {
        match connection.receiver.recv().await? {
            Frame::EntryOutcome {
                request_id,
                outcome,
            } if request_id == entry.sequence => return outcome,
            _ => {}
        }
    }
}
