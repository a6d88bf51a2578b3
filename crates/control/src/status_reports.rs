//! Reports on their way to the log, one at a time, through whichever core seat answers (design 5.8).

use std::time::Duration;

pub struct StatusReporterConfig {
    pub node: String,
    pub incarnation: model::Incarnation,
    pub logger: slog::Logger,
}

type PendingReport = (
    model::Operation,
    tokio::sync::oneshot::Sender<model::Outcome>,
);

/// Hands a report to the log and waits until it is answered.
#[derive(Clone)]
pub struct StatusReporter(tokio::sync::mpsc::Sender<PendingReport>);

/// A seat that has not answered by then may be cut off; the same entry then goes to another.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// A conn nothing was said on for so long is let go.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

impl StatusReporter {
    pub fn start(
        env: StatusReporterConfig,
        known: crate::KnownReplicas,
        greeting: impl Fn() -> transport::Handshake + Send + 'static,
    ) -> StatusReporter {
        let (sender, asked) = tokio::sync::mpsc::channel(256);
        tokio::spawn(run(env, known, greeting, asked));
        StatusReporter(sender)
    }

    pub async fn report_endpoint_status(
        &self,
        report: model::endpoint_status::EndpointReport,
    ) -> Option<model::Outcome> {
        self.submit(model::Operation::EndpointReport(report)).await
    }

    /// Of back ends, nodes and keys in the bill (design 11.2).
    pub async fn report(
        &self,
        reports: Vec<model::cluster_state::ClusterReport>,
    ) -> Option<model::Outcome> {
        self.submit(model::Operation::ClusterState(
            model::cluster_state::ClusterOperation::Reports(reports),
        ))
        .await
    }

    async fn submit(&self, act: model::Operation) -> Option<model::Outcome> {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        self.0.send((act, answer)).await.ok()?;
        outcome.await.ok()
    }
}

async fn run(
    env: StatusReporterConfig,
    known: crate::KnownReplicas,
    greeting: impl Fn() -> transport::Handshake + Send + 'static,
    mut asked: tokio::sync::mpsc::Receiver<PendingReport>,
) {
    let mut conn: Option<transport::Connection> = None;
    let mut turn = model::leases::key_slot(&env.node) as usize;
    let mut sequence = 0;
    loop {
        let next = match tokio::time::timeout(IDLE_TIMEOUT, asked.recv()).await {
            Ok(Some(next)) => next,
            Ok(None) => return,
            Err(_) => {
                conn = None;
                continue;
            }
        };
        sequence += 1;
        // The same entry, sequence and all, until it is answered: repeats are dropped by the book.
        let entry = model::Entry {
            origin: env.node.clone(),
            incarnation: env.incarnation,
            sequence,
            operation: next.0,
        };
        let outcome = loop {
            if let Some(line) = conn.as_mut() {
                let answered = tokio::time::timeout(ANSWER_TIMEOUT, forward(line, &entry))
                    .await
                    .ok()
                    .flatten();
                if let Some(outcome) = answered {
                    break outcome;
                }
            }
            conn = connect_next(&known, &mut turn, greeting()).await;
            if conn.is_none() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        slog::info!(env.logger, "reported"; "sequence" => sequence, "outcome" => ?outcome);
        // Whoever asked may have stopped waiting.
        drop(next.1.send(outcome));
    }
}

async fn connect_next(
    known: &crate::KnownReplicas,
    turn: &mut usize,
    greeting: transport::Handshake,
) -> Option<transport::Connection> {
    let seats = crate::discovery::list(known);
    let seat = seats.get(*turn % seats.len().max(1))?;
    *turn += 1;
    transport::dial(&seat.address, greeting).await.ok()
}

async fn forward(conn: &mut transport::Connection, entry: &model::Entry) -> Option<model::Outcome> {
    let frame = transport::Frame::ForwardEntry {
        request_id: entry.sequence,
        entry: Box::new(entry.clone()),
    };
    conn.sender.send(frame).await.ok()?;
    loop {
        match conn.receiver.recv().await? {
            transport::Frame::EntryOutcome {
                request_id: number,
                outcome,
            } if number == entry.sequence => {
                return outcome;
            }
            _ => {}
        }
    }
}
