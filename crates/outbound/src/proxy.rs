//! Processing of one request, from its route to its answer (design 13.5).
//!
//! [`OutboundProxy::perform`] calls the phases in this order:
//!
//! 1. **Admit**: refuse the request while the node shuts down, otherwise count it as in flight.
//! 2. **Resolve the route** ([`RoutedRequest`]): determine the service, the deadline and the number
//!    of attempts.
//! 3. **Prepare** an attempt: check the deadline and set the time left.
//! 4. **Select an endpoint**: the holder of the shard key, or the backend of least cost.
//! 5. **Attempt**: forward the request to the node beside that backend and wait for the answer.
//! 6. **Classify** ([`AttemptHistory::classify_failure`]): determine whether a retry is allowed and
//!    whether the retry budget has to grant it.
//! 7. **Retry or answer**.
//!
//! Two guarantees hold on every return path. A request that is not idempotent is attempted again
//! only after an error with [`ExecutionStatus::NotRun`]. Once an attempt may have run, no later
//! error claims that the request did not run.
//!
//! While the node shuts down ([`ShutdownStage`]), no further attempt begins, attempts whose run has
//! not begun are withdrawn, and in the end every request is answered, so that no client is left
//! with a closed connection.
//!
//! [`ExecutionStatus::NotRun`]: model::ExecutionStatus::NotRun

mod attempts;
mod routing;
#[cfg(test)]
mod tests;

use std::time::Duration;

use bytes::Bytes;
use control::SharedVerifiedState;
use inbound::{ConcurrencyLimiter, ForwardOutcome};
use model::cluster_state::{AvailableBackend, ShardKey, StateSnapshot, shard_map};
use model::{Error, ErrorKind, Microseconds};
use proxy_core::{Candidate, InFlightGuard, InFlightRequests, ShutdownSignal, ShutdownStage};
use slog::Logger;
use tokio::time;
use transport::{ForwardedResponse, Headers};

use crate::{PeerConnections, SelectorHandle};
use attempts::{AttemptHistory, NextStep, preserve_execution_status};
use routing::RoutedRequest;

/// Interval between two selections while no backend can take the request. A shard key may be moving
/// from one backend to another.
const RESELECT_INTERVAL: Duration = Duration::from_millis(15);
/// Time after the deadline for which a peer's answer is still awaited, in microseconds. A peer
/// answers by the deadline; a peer whose process is suspended never answers.
const PEER_RESPONSE_GRACE: Microseconds = 50_000;
/// Retry delay for clients of a node that shuts down, in microseconds.
const RETRY_AFTER_SHUTDOWN: Microseconds = 1_000_000;
/// Retry delay for clients while no state is known or no backend can take the request, in
/// microseconds.
const RETRY_AFTER_UNAVAILABLE: Microseconds = 300_000;

/// Routes clients' requests to backends. Clones share all state.
#[derive(Clone)]
pub struct OutboundProxy {
    /// The name of this node.
    pub node: String,
    /// The zone of this node. Backends of other zones cost more, see
    /// [`SelectorConfig`](crate::SelectorConfig).
    pub zone: String,
    /// The service of this machine, which is named as the caller of the requests that start here.
    pub service: String,
    /// Routes, services, backends and shard maps, as last verified with the core.
    pub verified_state: SharedVerifiedState,
    /// The concurrency limiter of the backend beside this node.
    pub limiter: ConcurrencyLimiter,
    /// The connections to the nodes beside all other backends.
    pub peers: PeerConnections,
    /// Load balancing and retry budgets.
    pub selector: SelectorHandle,
    /// Counts requests for a graceful shutdown.
    pub in_flight: InFlightRequests,
    /// The logger; refused requests are logged at debug level.
    pub logger: Logger,
}

/// A request as its client sent it.
pub struct Request {
    /// The host, in lower case and without a port.
    pub host: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query, unchanged.
    pub target: String,
    /// The client's headers, without hop-by-hop headers and without the headers that the node
    /// beside the backend sets.
    pub headers: Headers,
    /// The complete body.
    pub body: Bytes,
    /// The attempt id that the client assigned. It also selects one of the route's services.
    pub attempt_id: String,
    /// The shard key, for sharded services.
    pub shard_key: Option<ShardKey>,
    /// The time that the client waits, in microseconds from `received_at`. The route's timeout is
    /// the upper bound and also applies if this is `None`.
    pub timeout: Option<Microseconds>,
    /// The time at which the head of the request was read.
    pub received_at: Microseconds,
}

impl OutboundProxy {
    /// Performs a request, with retries, and returns its response.
    ///
    /// # Errors
    ///
    /// Returns the error of the last phase that failed. Its execution status states whether any
    /// attempt may have run; its `retry_after` states when the client may retry.
    pub async fn perform(&self, request: Request) -> Result<ForwardedResponse, Error> {
        let _in_flight = self.admit()?;
        let shutdown = self.in_flight.shutdown_signal();
        let routed = self.resolve_route(request)?;
        tokio::select! {
            result = self.perform_attempts(routed, &shutdown) => result,
            () = shutdown.reached(ShutdownStage::Aborting) => Err(Error::new(
                ErrorKind::PeerLost,
                "this node stopped before the request was answered",
            )),
        }
    }

    async fn perform_attempts(
        &self,
        mut routed: RoutedRequest,
        shutdown: &ShutdownSignal,
    ) -> Result<ForwardedResponse, Error> {
        self.selector.deposit(&routed.service).await;
        let mut history = AttemptHistory::default();
        loop {
            if shutdown.has_reached(ShutdownStage::Withdrawing) {
                return Err(preserve_execution_status(
                    stopping_error(),
                    history.may_have_run(),
                ));
            }
            let state = self.verified_state.load_full();
            let now = model::now();
            routed.prepare_attempt(&state.snapshot, &history, now)?;
            let Some(endpoint) = self
                .select_endpoint(&state.snapshot, &routed, &history)
                .await
            else {
                routed.check_admission_deadline(&history, now)?;
                history.clear_excluded_backends();
                time::sleep(RESELECT_INTERVAL).await;
                continue;
            };
            let (result, expected_wait) = self.attempt(&endpoint, &mut routed, shutdown).await;
            let error = match result {
                Ok(response) => {
                    self.selector
                        .attempt_finished(&endpoint.name, Some(expected_wait), false)
                        .await;
                    return Ok(response);
                }
                Err(error) => error,
            };
            self.report_failure(&endpoint, &error, expected_wait).await;
            match history.classify_failure(endpoint.name, error, &routed.retry_policy()) {
                NextStep::Answer(error) => return Err(error),
                NextStep::Retry => {}
                NextStep::RetryFromBudget(error) => {
                    if !self.selector.withdraw(&routed.service).await {
                        return Err(preserve_execution_status(error, history.may_have_run()));
                    }
                }
            }
        }
    }

    /// Counts the request as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ShuttingDown`] once the node drains.
    fn admit(&self) -> Result<InFlightGuard, Error> {
        self.in_flight.begin().ok_or_else(stopping_error)
    }

    /// Finds the route for the request's host and path, and selects one of its services.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StaleState`] before any state was verified or while the state has no routes;
    /// [`ErrorKind::NoRoute`] if no route matches.
    fn resolve_route(&self, request: Request) -> Result<RoutedRequest, Error> {
        let state = self.verified_state.load_full();
        if state.verified_at == 0 || !state.snapshot.has_routes() {
            let error = Error::new(
                ErrorKind::StaleState,
                "this node has no verified routes yet",
            );
            return Err(error.with_retry_after(RETRY_AFTER_UNAVAILABLE));
        }
        let path = request.target.split('?').next().unwrap_or_default();
        let route_item = state.snapshot.route(&request.host, path);
        let route_item = route_item.ok_or_else(|| {
            Error::new(
                ErrorKind::NoRoute,
                "no route matches this path on this host",
            )
        })?;
        Ok(RoutedRequest::new(
            request,
            &route_item.route,
            self.service.clone(),
        ))
    }

    /// Selects the backend for the next attempt; `None` while no backend can take it.
    async fn select_endpoint(
        &self,
        snapshot: &StateSnapshot,
        routed: &RoutedRequest,
        history: &AttemptHistory,
    ) -> Option<AvailableBackend> {
        let excluded_backends = history.excluded_backends();
        match routed.forwarded.shard_key {
            Some(shard_key) => {
                select_key_holder(snapshot, &routed.service, shard_key, excluded_backends)
            }
            None => {
                self.select_any(snapshot, &routed.service, excluded_backends)
                    .await
            }
        }
    }

    /// Selects the backend of least cost among those of the service that are not excluded.
    async fn select_any(
        &self,
        snapshot: &StateSnapshot,
        service: &str,
        excluded_backends: &[String],
    ) -> Option<AvailableBackend> {
        let backends = snapshot.available_backends(service);
        let eligible = backends
            .iter()
            .filter(|backend| !excluded_backends.contains(&backend.name));
        let candidates = eligible
            .map(|backend| Candidate {
                name: backend.name.clone(),
                slots: backend.slots,
                same_zone: backend.zone == self.zone,
            })
            .collect();
        let selected = self.selector.select(candidates).await?;
        backends
            .iter()
            .find(|backend| backend.name == selected)
            .cloned()
    }

    /// Forwards the request to one backend and waits for the outcome. Once the node withdraws its
    /// requests, the attempt is refused if its run has not begun.
    async fn attempt(
        &self,
        endpoint: &AvailableBackend,
        routed: &mut RoutedRequest,
        shutdown: &ShutdownSignal,
    ) -> ForwardOutcome {
        routed.forwarded.backend = endpoint.name.clone();
        let request = routed.forwarded.clone();
        let withdrawn = shutdown.reached(ShutdownStage::Withdrawing);
        if endpoint.node == self.node {
            return self
                .limiter
                .perform_unless_withdrawn(request, withdrawn)
                .await;
        }
        let call = self
            .peers
            .call_unless_withdrawn(&endpoint.address, request, withdrawn);
        within_deadline(routed.forwarded.time_left, call).await
    }

    /// Reports a failed attempt to the selector. A backend whose connection was lost or whose node
    /// shuts down has reported no load, and is avoided for a while.
    async fn report_failure(
        &self,
        endpoint: &AvailableBackend,
        error: &Error,
        expected_wait: Microseconds,
    ) {
        let connection_lost = matches!(
            error.kind,
            ErrorKind::Unreachable
                | ErrorKind::PeerLost
                | ErrorKind::BackendLost
                | ErrorKind::ShuttingDown
        );
        let expected_wait = (!connection_lost).then_some(expected_wait);
        self.selector
            .attempt_finished(&endpoint.name, expected_wait, connection_lost)
            .await;
    }
}

fn stopping_error() -> Error {
    Error::new(ErrorKind::ShuttingDown, "this node is stopping")
        .with_retry_after(RETRY_AFTER_SHUTDOWN)
}

/// Waits for a peer's answer until [`PEER_RESPONSE_GRACE`] after the deadline. If there is no
/// answer, the request may have run.
async fn within_deadline(
    time_left: Microseconds,
    call: impl Future<Output = ForwardOutcome>,
) -> ForwardOutcome {
    let wait_limit = Duration::from_micros(time_left + PEER_RESPONSE_GRACE);
    let outcome = time::timeout(wait_limit, call).await;
    outcome.unwrap_or_else(|_| {
        (
            Err(Error::new(
                ErrorKind::TimedOut,
                "the peer node did not answer before the deadline",
            )),
            0,
        )
    })
}

/// Selects the holder of the shard key. While the key moves, this may be an earlier holder that has
/// not released the key yet.
fn select_key_holder(
    snapshot: &StateSnapshot,
    service: &str,
    shard_key: ShardKey,
    excluded_backends: &[String],
) -> Option<AvailableBackend> {
    let (_, shard_map) = &**snapshot.placements.get(service)?;
    let range = shard_map::range_of(shard_map, shard_key)?;
    let earlier_holders = range.pending_releases.iter().rev().map(|(name, _)| name);
    let holders = range.holder.iter().chain(earlier_holders);
    let mut eligible = holders.filter(|name| !excluded_backends.contains(name));
    eligible.find_map(|name| snapshot.find_backend(name))
}
