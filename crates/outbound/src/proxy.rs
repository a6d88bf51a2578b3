//! The way of one request, from its route to its answer (design 13.5).
//!
//! [`OutboundProxy::perform`] calls the phases in this order:
//!
//! 1. **Admit**: refuse while the node shuts down, else count the request as in flight.
//! 2. **Resolve the route** ([`RoutedRequest`]): which service, until when, how often.
//! 3. **Prepare** an attempt: check the deadline, and say what time is left.
//! 4. **Select an endpoint**: the holder of the shard key, or the cheapest backend.
//! 5. **Attempt**: forward to the node beside that backend and wait for its answer.
//! 6. **Classify** ([`AttemptHistory::classify_failure`]): is a retry allowed, and is it paid for?
//! 7. **Retry or answer**.
//!
//! Two guarantees hold on every way out. A request that must not run twice is attempted again only
//! after a certain [`ExecutionStatus::NotRun`]; and once an attempt may have run, no later error
//! claims that the request did not.
//!
//! [`ExecutionStatus::NotRun`]: model::ExecutionStatus::NotRun

mod attempts;
mod routing;
#[cfg(test)]
mod tests;

use std::time::Duration;

use control::SharedVerifiedState;
use inbound::{ConcurrencyLimiter, ForwardOutcome};
use model::cluster_state::{AvailableBackend, ShardKey, StateSnapshot, shard_map};
use model::{Error, ErrorKind, Microseconds};
use proxy_core::{Candidate, InFlightGuard, InFlightRequests};
use slog::Logger;
use tokio::time;
use transport::{ForwardedResponse, Headers};

use crate::{PeerConnections, SelectorHandle};
use attempts::{AttemptHistory, NextStep, preserve_execution_status};
use routing::RoutedRequest;

/// Between two selections while nobody can take the request: a shard key may be on its way from one
/// backend to another.
const RESELECT_INTERVAL: Duration = Duration::from_millis(15);
/// How much later than the deadline a peer's answer may come: 50 ms. A peer answers by the deadline;
/// one that is suspended never does.
const PEER_RESPONSE_GRACE: Microseconds = 50_000;
/// When a client is to come back to a node that shuts down: 1 s.
const RETRY_AFTER_SHUTDOWN: Microseconds = 1_000_000;
/// When a client is to come back where no state is known or no backend can take the request: 0.3 s.
const RETRY_AFTER_UNAVAILABLE: Microseconds = 300_000;

/// Performs clients' requests. Clones share all state.
#[derive(Clone)]
pub struct OutboundProxy {
    /// The name of this node.
    pub node: String,
    /// The zone of this node; leaving it costs (see [`SelectorConfig`](crate::SelectorConfig)).
    pub zone: String,
    /// The service of this machine: a request that begins here is made in its name.
    pub service: String,
    /// Routes, services, backends and shard maps, as last verified with the core.
    pub verified_state: SharedVerifiedState,
    /// The way into the backend beside this node.
    pub limiter: ConcurrencyLimiter,
    /// The way to the nodes beside all other backends.
    pub peers: PeerConnections,
    /// Load balancing and retry budgets.
    pub selector: SelectorHandle,
    /// Counts requests for a graceful shutdown.
    pub in_flight: InFlightRequests,
    /// Where refused requests are logged, at debug level.
    pub logger: Logger,
}

/// One request as its client sent it.
pub struct Request {
    /// The host, in lower case and without a port.
    pub host: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    /// The client's headers, without those that hold for one connection only and without ours.
    pub headers: Headers,
    /// The whole body.
    pub body: Vec<u8>,
    /// The identity that the client gave this attempt; it decides among a route's services.
    pub attempt_id: String,
    /// The key, for services that are divided by key.
    pub shard_key: Option<ShardKey>,
    /// How long the client waits, from `received_at`; `None` leaves it to the route.
    pub timeout: Option<Microseconds>,
    /// When its head was read.
    pub received_at: Microseconds,
}

impl OutboundProxy {
    /// Performs one request to its one answer.
    ///
    /// # Errors
    ///
    /// The error of the last phase that failed. Its execution status says whether the request may
    /// have run, over all attempts; its `retry_after` says when the client may come back.
    pub async fn perform(&self, request: Request) -> Result<ForwardedResponse, Error> {
        let _in_flight = self.admit()?;
        let mut routed = self.resolve_route(request)?;
        self.selector.deposit(&routed.service).await;
        let mut history = AttemptHistory::default();
        loop {
            let state = self.verified_state.load_full();
            let now = model::now();
            routed.prepare_attempt(&state.snapshot, &history, now)?;
            let Some(endpoint) = self
                .select_endpoint(&state.snapshot, &routed, &history)
                .await
            else {
                routed.may_wait_for_endpoint(&history, now)?;
                history.forget_passed_over();
                time::sleep(RESELECT_INTERVAL).await;
                continue;
            };
            let (result, expected_wait) = self.attempt(&endpoint, &mut routed).await;
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
        self.in_flight.begin().ok_or_else(|| {
            Error::new(ErrorKind::ShuttingDown, "this node is stopping")
                .with_retry_after(RETRY_AFTER_SHUTDOWN)
        })
    }

    /// Finds the route of the request's host and path, and the service that is to answer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StaleState`] before any state was verified or while it holds no route at all;
    /// [`ErrorKind::NoRoute`] where no route fits.
    fn resolve_route(&self, request: Request) -> Result<RoutedRequest, Error> {
        let state = self.verified_state.load_full();
        if state.verified_at == 0 || !state.snapshot.has_routes() {
            let error = Error::new(
                ErrorKind::StaleState,
                "nothing is known yet of what is to be served",
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

    /// The backend that the next attempt goes to; `None` while nobody can take it.
    async fn select_endpoint(
        &self,
        snapshot: &StateSnapshot,
        routed: &RoutedRequest,
        history: &AttemptHistory,
    ) -> Option<AvailableBackend> {
        let passed_over = history.passed_over();
        match routed.forwarded.shard_key {
            Some(shard_key) => select_key_holder(snapshot, &routed.service, shard_key, passed_over),
            None => {
                self.select_any(snapshot, &routed.service, passed_over)
                    .await
            }
        }
    }

    /// The cheapest backend of the service that was not passed over.
    async fn select_any(
        &self,
        snapshot: &StateSnapshot,
        service: &str,
        passed_over: &[String],
    ) -> Option<AvailableBackend> {
        let backends = snapshot.available_backends(service);
        let open = backends
            .iter()
            .filter(|backend| !passed_over.contains(&backend.name));
        let candidates = open
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

    /// Forwards the request to one backend and waits for what came of it.
    async fn attempt(
        &self,
        endpoint: &AvailableBackend,
        routed: &mut RoutedRequest,
    ) -> ForwardOutcome {
        routed.forwarded.backend = endpoint.name.clone();
        if endpoint.node == self.node {
            return self.limiter.perform(routed.forwarded.clone()).await;
        }
        let call = self.peers.call(&endpoint.address, routed.forwarded.clone());
        within_deadline(routed.forwarded.time_left, call).await
    }

    /// Tells the selector how the attempt ended. A backend whose connection was lost, or whose node
    /// shuts down, said nothing of its load and is avoided for a while.
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

/// Waits for a peer's answer until [`PEER_RESPONSE_GRACE`] after the deadline. Without an answer the
/// request may have run.
async fn within_deadline(
    time_left: Microseconds,
    call: impl Future<Output = ForwardOutcome>,
) -> ForwardOutcome {
    let patience = Duration::from_micros(time_left + PEER_RESPONSE_GRACE);
    let outcome = time::timeout(patience, call).await;
    outcome.unwrap_or_else(|_| {
        (
            Err(Error::new(
                ErrorKind::TimedOut,
                "that node answered nothing in time",
            )),
            0,
        )
    })
}

/// The holder of the shard key; while the key moves, whoever may still hold it.
fn select_key_holder(
    snapshot: &StateSnapshot,
    service: &str,
    shard_key: ShardKey,
    passed_over: &[String],
) -> Option<AvailableBackend> {
    let (_, shard_map) = &**snapshot.placements.get(service)?;
    let range = shard_map::range_of(shard_map, shard_key)?;
    let earlier_holders = range.pending_releases.iter().rev().map(|(name, _)| name);
    let holders = range.holder.iter().chain(earlier_holders);
    let mut open = holders.filter(|name| !passed_over.contains(name));
    open.find_map(|name| snapshot.find_backend(name))
}
