//! What a request's route decides: its service, its times, and how often it may be attempted.

use model::cluster_state::{Route, ShardKey, StateSnapshot};
use model::{Error, ErrorKind, Microseconds, leases};
use transport::ForwardedRequest;

use super::attempts::{AttemptHistory, RetryPolicy, preserve_execution_status};
use super::{RETRY_AFTER_UNAVAILABLE, Request};

/// The latency target where an operator names none: 1 s.
const DEFAULT_LATENCY_TARGET: Microseconds = 1_000_000;
/// A client that is refused for want of a backend hears it within this part of the latency target,
/// and may come back in time.
const ADMISSION_PART_OF_TARGET: Microseconds = 4;

/// A request with its route resolved. All times are points of [`model::now`], in microseconds.
pub(super) struct RoutedRequest {
    /// The service that is to answer.
    pub(super) service: String,
    /// What goes to the node beside the backend; prepared anew for each attempt.
    pub(super) forwarded: Box<ForwardedRequest>,
    /// The client's shard key, used only while the service is divided by key.
    shard_key: Option<ShardKey>,
    /// The client waits no longer.
    deadline: Microseconds,
    /// An answer after it is worth less.
    respond_by: Microseconds,
    /// Without a backend by then, the request is refused.
    admission_deadline: Microseconds,
    /// The most attempts that may reach a backend.
    max_attempts: u8,
}

impl RoutedRequest {
    /// Applies the route to a request; `caller` is the service in whose name it is made.
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
            admission_deadline: request.received_at + latency_target / ADMISSION_PART_OF_TARGET,
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
                force: false,
            }),
        }
    }

    /// Says in the forwarded request what holds for an attempt that begins `now`: the shard key, the
    /// time left, and whether an ejected backend has to take it.
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
                "the wait was over before it could be attempted",
            );
            return Err(preserve_execution_status(error, history.may_have_run()));
        }
        self.forwarded.time_left = self.deadline - now;
        self.forwarded.latency_target = self.respond_by.saturating_sub(now);
        self.forwarded.force = history.must_be_taken();
        Ok(())
    }

    /// Whether a request for which no endpoint was found may wait for one.
    ///
    /// # Errors
    ///
    /// From the admission deadline on, [`ErrorKind::KeyWithoutHolder`] with a shard key and
    /// [`ErrorKind::NoBackend`] without.
    pub(super) fn may_wait_for_endpoint(
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
        let error =
            Error::new(kind, "nobody can take it now").with_retry_after(RETRY_AFTER_UNAVAILABLE);
        Err(preserve_execution_status(error, history.may_have_run()))
    }

    /// What allows or forbids a further attempt after the present one.
    pub(super) fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            idempotent: self.forwarded.idempotent,
            keyed: self.forwarded.shard_key.is_some(),
            max_attempts: self.max_attempts,
        }
    }
}

/// One of the route's services, by their weights. The same attempt id always gives the same service.
pub(super) fn select_service(route: &Route, attempt_id: &str) -> String {
    let total_weight: u64 = route.shares.iter().map(|(_, weight)| *weight as u64).sum();
    if route.shares.len() == 1 || total_weight == 0 {
        return route
            .shares
            .first()
            .map(|(service, _)| service.clone())
            .unwrap_or_default();
    }
    let point = leases::stable_hash(attempt_id) % total_weight;
    let mut cumulative_weight = 0;
    for (service, weight) in &route.shares {
        cumulative_weight += *weight as u64;
        if point < cumulative_weight {
            return service.clone();
        }
    }
    String::new()
}
