//! Reports of a node on their way to the log, one at a time, through whichever replica answers
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

/// A replica that has not answered within so long may be cut off; the same entry then goes to
/// another.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// A connection that carried nothing for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Before the next attempt when no replica could be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Reports that may wait; further reporters wait for room.
const REPORT_QUEUE_CAPACITY: usize = 256;

/// The settings of a status reporter.
pub struct StatusReporterConfig {
    /// The name of this node, which is the origin of its entries.
    pub node: String,
    /// Tells this process from other ones of the same node.
    pub incarnation: Incarnation,
    /// Where outcomes are logged.
    pub logger: Logger,
}

/// A report, and where its outcome is awaited.
struct PendingReport {
    operation: Operation,
    answer: oneshot::Sender<Outcome>,
}

/// Hands reports to the log. Clones share one queue.
#[derive(Clone)]
pub struct StatusReporter(mpsc::Sender<PendingReport>);

impl StatusReporter {
    /// Starts the task that sends the reports. `followed` is the address of the replica that the
    /// node relies on for updates, if there is one: it is asked first, as it has just shown that it
    /// works, while others may be silent.
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
            turn: node_slot,
        };
        tokio::spawn(task.run(reports));
        StatusReporter(queue)
    }

    /// Reports on a node or backend to the state machine and waits for the outcome; `None` when
    /// the process stops.
    pub async fn report_endpoint_status(&self, report: EndpointReport) -> Option<Outcome> {
        self.submit(Operation::EndpointReport(report)).await
    }

    /// Reports on backends, nodes and shard keys to the cluster state, all in one entry, and waits
    /// for the outcome; `None` when the process stops (design 11.2).
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
    /// The replica that was asked last, unless it answered.
    failed_address: Option<String>,
    /// Which replica is next; nodes spread over the replicas by name.
    turn: usize,
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
            slog::info!(self.config.logger, "reported"; "sequence" => sequence, "outcome" => ?outcome);
            // Whoever asked may have stopped waiting.
            drop(report.answer.send(outcome));
        }
    }

    /// Sends the same entry, sequence and all, to one replica after the other until it is answered:
    /// the log takes it once.
    async fn submit(&mut self, entry: &Entry) -> Outcome {
        loop {
            if let Some(connection) = self.connection.as_mut() {
                let answered = timeout(ANSWER_TIMEOUT, forward(connection, entry)).await;
                if let Some(outcome) = answered.ok().flatten() {
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

    /// The replica that the node relies on, unless that one has just failed; else the next in turn.
    fn next_address(&mut self) -> Option<String> {
        let followed_address = self.followed_address.borrow().clone();
        if followed_address.is_some() && followed_address != self.failed_address {
            return followed_address;
        }
        let replicas = discovery::list(&self.known_replicas);
        let replica = replicas.get(self.turn % replicas.len().max(1))?;
        self.turn += 1;
        Some(replica.address.clone())
    }
}

/// Sends an entry to a replica and waits for its outcome; `None` if the connection ends or the
/// replica does not know the outcome.
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
