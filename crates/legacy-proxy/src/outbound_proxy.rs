//! The side of the client: routes a request, selects a backend, makes attempts and retries where
//! that is allowed (design 5.2).

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

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The attempt id that the client set.
    pub attempt_id: String,
    /// The service that the request is for.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query with its question mark, or empty. It is not used for routing.
    pub query: String,
    /// The client's headers.
    pub headers: Headers,
    /// The complete body.
    pub body: Vec<u8>,
    /// The shard key, which keyed routes require.
    pub shard_key: Option<String>,
    /// Time for which the client waits, in microseconds; `None` uses the timeout of the standing
    /// order.
    pub timeout: Option<Microseconds>,
}

/// Performs the requests of clients. Clones share all state.
#[derive(Clone)]
pub struct OutboundProxy {
    /// Name of this node.
    pub node: String,
    /// Zone of this node.
    pub zone: String,
    /// The state that this node follows, with the time until which it is proved fresh.
    pub view: SharedView,
    /// Runs requests in the backends beside this node.
    pub inbound: InboundProxy,
    /// Connections to the nodes beside all other backends.
    pub peers: PeerConnections,
    /// Load balancing.
    pub selector: SelectorHandle,
    /// Limits the number of retries.
    pub retry_budget: RetryBudgetHandle,
    /// The attempts that this node accepted, for rejecting duplicates.
    pub accepted_attempts: AcceptedAttemptsHandle,
    /// Counts the requests in flight for a graceful shutdown.
    pub in_flight: InFlightRequests,
}

/// Retry delay for clients of a node that is shutting down, in microseconds.
const RETRY_AFTER_SHUTDOWN: Microseconds = 1_000_000;

impl OutboundProxy {
    /// Waits until every request in flight has its answer. Call it after [`drain`](Self::drain).
    pub async fn drained(&self) {
        self.in_flight.drained().await;
    }

    /// Rejects all new requests; those in flight continue.
    pub fn drain(&self) {
        self.in_flight.drain();
    }

    /// Accepts an attempt, before the request is examined any further. Each attempt is accepted
    /// once, and only under the current registration of its client.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::EarlierIncarnation`] for an id of another registration; for a duplicate the
    /// error of [`AcceptedAttempts::accept`](crate::accepted_attempts::AcceptedAttempts::accept).
    pub async fn accept(&self, client: &ClientId, attempt_id: &str) -> Result<(), Error> {
        if !attempt_id.starts_with(&client.attempt_prefix) {
            return Err(Error::new(
                ErrorKind::EarlierIncarnation,
                format!(
                    "attempt ids of this registration begin with {}; the outcome of this attempt is unknown",
                    client.attempt_prefix
                ),
            ));
        }
        self.accepted_attempts.accept(attempt_id).await
    }

    /// Performs a request whose attempt id was accepted, with retries where they are allowed.
    ///
    /// # Errors
    ///
    /// The execution status of the error covers all attempts on backends.
    pub async fn call(&self, client: ClientId, request: Request) -> Result<AttemptResponse, Error> {
        let attempt_id = request.attempt_id.clone();
        let result = self.perform(client, request).await;
        self.record_not_run(&attempt_id, result.as_ref().err())
            .await;
        result
    }

    /// Records an error with which the request certainly did not run, so that duplicates of the
    /// attempt get the same error.
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
            let start_cooldown =
                matches!(&result, Err(error) if error.kind != ErrorKind::DuplicateAttempt);
            self.selector
                .attempt_finished(&selected, start_cooldown)
                .await;
            let error = match result {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if !attempts.may_retry(&selected, &error)
                || !self.retry_budget.withdraw(attempts.service()).await
            {
                return Err(attempts.final_error(error));
            }
            // The simulator matches this message.
            slog::info!(
                self.inbound.logger, "dispatched again";
                "service" => attempts.service(), "at" => model::now(), "after" => error.kind.code()
            );
        }
    }

    /// Makes one attempt on the selected backend, which is beside this node or beside a peer.
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
