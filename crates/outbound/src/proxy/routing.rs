//! Applies a route to a request: service, deadlines and number of attempts.

use model::cluster_state::{Route, ShardKey, StateSnapshot};
use model::{Error, ErrorKind, Microseconds, leases};
use transport::ForwardedRequest;

use super::attempts::{AttemptHistory, RetryPolicy, preserve_execution_status};
use super::{RETRY_AFTER_UNAVAILABLE, Request};

/// Latency target of routes for which the operator sets none, in microseconds.
const DEFAULT_LATENCY_TARGET: Microseconds = 1_000_000;
/// A request for which no backend is available is refused after the latency target divided by this
/// number, so that the client can retry in time.
const ADMISSION_TARGET_DIVISOR: Microseconds = 4;

/// A request whose route is resolved. All times are points of [`model::now`], in microseconds.
pub(super) struct RoutedRequest {
    /// The service that the request goes to.
    pub(super) service: String,
    /// The request that is sent to the node beside the backend; updated before each attempt.
    pub(super) forwarded: Box<ForwardedRequest>,
    /// The client's shard key, used only while the service is sharded.
    shard_key: Option<ShardKey>,
    /// The time at which the client stops waiting.
    deadline: Microseconds,
    /// The time by which the answer meets the latency target.
    respond_by: Microseconds,
    /// The time at which the request is refused if no backend was found.
    admission_deadline: Microseconds,
    /// The maximum number of attempts that may reach a backend.
    max_attempts: u8,
}

impl RoutedRequest {
    /// Applies the route to a request; `caller` is the service that makes the request.
    pub(super) fn new(request: Request, route: &Route, caller: String) -> RoutedRequest {
        let latency_target = if route.latency_target_us == 0 {
            DEFAULT_LATENCY_TARGET
        } else {
            route.latency_target_us
        };
        let timeout = request.timeout.unwrap_or(route.wait_us).min(route.wait_us);
        RoutedRequest {
            service: select_service(route, &request.attempt_id),
            shard_key: request.shard_key,
            deadline: request.received_at + timeout,
            respond_by: request.received_at + latency_target,
            admission_deadline: request.received_at + latency_target / ADMISSION_TARGET_DIVISOR,
            max_attempts: route.dispatches,
            forwarded: Box::new(ForwardedRequest {
                backend: String::new(),
                caller,
                method: request.method,
                target: request.target,
                headers: request.headers,
                body: request.body,
                shard_key: None,
                time_left: 0,
                latency_target: 0,
                priority: route.rank,
                idempotent: route.idempotent,
                ignore_ejection: false,
            }),
        }
    }

    /// Updates the forwarded request for an attempt that starts at `now`: the shard key, the time
    /// left, and whether an ejected backend has to run the request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ExpiredBeforeRun`] from the deadline on.
    pub(super) fn prepare_attempt(
        &mut self,
        snapshot: &StateSnapshot,
        history: &AttemptHistory,
        now: Microseconds,
    ) -> Result<(), Error> {
        let keyed = snapshot
            .services
            .get(&self.service)
            .is_some_and(|service| service.keyed);
        self.forwarded.shard_key = self.shard_key.filter(|_| keyed);
        if now >= self.deadline {
            let error = Error::new(
                ErrorKind::ExpiredBeforeRun,
                "the deadline passed before the request could be attempted",
            );
            return Err(preserve_execution_status(error, history.may_have_run()));
        }
        self.forwarded.time_left = self.deadline - now;
        self.forwarded.latency_target = self.respond_by.saturating_sub(now);
        self.forwarded.ignore_ejection = history.must_ignore_ejection();
        Ok(())
    }

    /// Checks whether a request for which no endpoint was found may wait for one.
    ///
    /// # Errors
    ///
    /// From the admission deadline on, [`ErrorKind::KeyWithoutHolder`] with a shard key and
    /// [`ErrorKind::NoBackend`] without.
    pub(super) fn check_admission_deadline(
        &self,
        history: &AttemptHistory,
        now: Microseconds,
    ) -> Result<(), Error> {
        if now < self.admission_deadline {
            return Ok(());
        }
        let keyed = self.forwarded.shard_key.is_some();
        let kind = if keyed {
            ErrorKind::KeyWithoutHolder
        } else {
            ErrorKind::NoBackend
        };
        let error = Error::new(kind, "no backend can take the request")
            .with_retry_after(RETRY_AFTER_UNAVAILABLE);
        Err(preserve_execution_status(error, history.may_have_run()))
    }

    /// Returns the conditions for a further attempt after the current one.
    pub(super) fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            idempotent: self.forwarded.idempotent,
            keyed: self.forwarded.shard_key.is_some(),
            max_attempts: self.max_attempts,
        }
    }
}

/// Selects one of the route's services by weight. The same attempt id always selects the same
/// service.
pub(super) fn select_service(route: &Route, attempt_id: &str) -> String {
    let total_weight: u64 = route.shares.iter().map(|(_, weight)| *weight as u64).sum();
    if route.shares.len() == 1 || total_weight == 0 {
        return route
            .shares
            .first()
            .map(|(service, _)| service.clone())
            .unwrap_or_default();
    }
    let hash_point = leases::stable_hash(attempt_id) % total_weight;
    let mut cumulative_weight = 0;
    for (service, weight) in &route.shares {
        cumulative_weight += *weight as u64;
        if hash_point < cumulative_weight {
            return service.clone();
        }
    }
    String::new()
}
