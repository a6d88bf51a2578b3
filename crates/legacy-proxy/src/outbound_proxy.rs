//! Beside the client: route, selection, attempt, and retries where they are allowed (design 5.2).

use control::View;
use control::updates::view::SharedView;
use model::{Error, ErrorKind, ExecutionStatus, Microseconds};
use proxy_core::InFlightRequests;
use transport::{AttemptResponse, Headers};

use crate::accepted_attempts::AcceptedAttemptsHandle;
use crate::attempt_loop::AttemptLoop;
use crate::peer_connections::PeerConnections;
use crate::retry_budget::RetryBudgetHandle;
use crate::selector::SelectorHandle;
use crate::{ClientId, InboundProxy};

/// One request as its client sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identity that the client gave this attempt.
    pub attempt_id: String,
    /// The service that is to answer.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query with its question mark, or empty; standing orders do not look at it.
    pub query: String,
    /// The client's headers.
    pub headers: Headers,
    /// The whole body.
    pub body: Vec<u8>,
    /// The key, for routes that are divided by key.
    pub shard_key: Option<String>,
    /// How long the client waits, in microseconds; `None` leaves it to the standing order.
    pub timeout: Option<Microseconds>,
}

/// Performs clients' requests. Clones share all state.
#[derive(Clone)]
pub struct OutboundProxy {
    /// The name of this node.
    pub node: String,
    /// The zone of this node.
    pub zone: String,
    /// The state that this node follows, and until when it is proved fresh.
    pub view: SharedView,
    /// The way into backends beside this node.
    pub inbound: InboundProxy,
    /// The way to the nodes beside all other backends.
    pub peers: PeerConnections,
    /// Load balancing.
    pub selector: SelectorHandle,
    /// The bound on retries.
    pub retry_budget: RetryBudgetHandle,
    /// Which attempts were seen before.
    pub accepted_attempts: AcceptedAttemptsHandle,
    /// Counts requests for a graceful shutdown.
    pub in_flight: InFlightRequests,
}

/// When a client is to come back to a node that shuts down: 1 s.
const RETRY_AFTER_SHUTDOWN: Microseconds = 1_000_000;

impl OutboundProxy {
    /// Returns once every request that was in flight has its answer. Call it after
    /// [`drain`](Self::drain).
    pub async fn drained(&self) {
        self.in_flight.drained().await;
    }

    /// Refuses every request from now on; those in flight go on.
    pub fn drain(&self) {
        self.in_flight.drain();
    }

    /// Accepts an attempt, before anything else is looked at: each is accepted once, in the present
    /// incarnation of its client's registration.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::EarlierIncarnation`] for an id of another registration; for a second arrival as
    /// in [`AcceptedAttempts::accept`](crate::accepted_attempts::AcceptedAttempts::accept).
    pub async fn accept(&self, client: &ClientId, attempt_id: &str) -> Result<(), Error> {
        if !attempt_id.starts_with(&client.attempt_prefix) {
            return Err(Error::new(
                ErrorKind::EarlierIncarnation,
                format!(
                    "tries of this registration are named {}…; what became of this one is not known here",
                    client.attempt_prefix
                ),
            ));
        }
        self.accepted_attempts.accept(attempt_id).await
    }

    /// Performs an attempt that was accepted, to its one answer.
    ///
    /// # Errors
    ///
    /// The error's execution status holds over all attempts on backends.
    pub async fn call(&self, client: ClientId, request: Request) -> Result<AttemptResponse, Error> {
        let attempt_id = request.attempt_id.clone();
        let result = self.perform(client, request).await;
        self.record_not_run(&attempt_id, result.as_ref().err())
            .await;
        result
    }

    /// Remembers an attempt that certainly did not run: it stays so, whoever sends it again.
    pub async fn record_not_run(&self, attempt_id: &str, error: Option<&Error>) {
        let not_run = |error: &&Error| error.execution_status == ExecutionStatus::NotRun;
        if let Some(error) = error.filter(not_run) {
            self.accepted_attempts
                .record_not_run(attempt_id, error.clone())
                .await;
        }
    }

    async fn perform(&self, client: ClientId, request: Request) -> Result<AttemptResponse, Error> {
        let _in_flight = self.in_flight.begin().ok_or_else(|| {
            Error::new(ErrorKind::ShuttingDown, "this node is stopping")
                .with_retry_after(RETRY_AFTER_SHUTDOWN)
        })?;
        let view = self.view.load();
        let mut attempts = AttemptLoop::begin(&view, model::now(), client, request)?;
        drop(view);
        self.retry_budget.deposit(attempts.service()).await;
        loop {
            let view = self.view.load_full();
            let candidates = attempts.candidates(&view, model::now(), &self.zone)?;
            let selected = self.selector.select(candidates).await;
            let selected = selected.ok_or_else(|| attempts.no_backend_error())?;
            let result = self.attempt(&attempts, &view, &selected).await;
            let avoid = matches!(&result, Err(error) if error.kind != ErrorKind::DuplicateAttempt);
            self.selector.attempt_finished(&selected, avoid).await;
            let error = match result {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if !attempts.may_retry(&selected, &error)
                || !self.retry_budget.withdraw(attempts.service()).await
            {
                return Err(attempts.final_error(error));
            }
            // The harness that reads this line knows it by these words.
            slog::info!(
                self.inbound.logger, "dispatched again";
                "service" => attempts.service(), "at" => model::now(), "after" => error.kind.code()
            );
        }
    }

    /// One attempt on the selected backend, beside this node or beside a peer.
    async fn attempt(
        &self,
        attempts: &AttemptLoop,
        view: &View,
        selected: &str,
    ) -> Result<AttemptResponse, Error> {
        match attempts.next_attempt(view, model::now(), selected, &self.node)? {
            (request, None) => self.inbound.perform(request).await,
            (request, Some((address, incarnation))) => {
                self.peers.call(&address, incarnation, request).await
            }
        }
    }
}
