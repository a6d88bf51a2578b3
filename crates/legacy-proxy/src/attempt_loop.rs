//! The decisions made for one request between its I/O operations (design 5.2). The module performs
//! no I/O and reads no clock: the caller passes the view and the time in.

use control::View;
use model::leases::Lease;
use model::{Error, ErrorKind, ExecutionStatus, Microseconds, StandingOrder};
use transport::AttemptRequest;

use crate::selector::Candidate;
use crate::{ClientId, Request};

/// Address and incarnation of the node beside the selected backend; `None` if that is this node.
pub type PeerLocation = Option<(String, u64)>;

/// A request with its route and the outcomes of its attempts so far.
pub struct AttemptLoop {
    client: ClientId,
    request: Request,
    route: String,
    order: StandingOrder,
    deadline: Microseconds,
    /// Number of attempts that may have run; it distinguishes a retry from a duplicate.
    ordinal: u32,
    /// Backends on which an attempt failed.
    tried_backends: Vec<String>,
    /// The latest error of an attempt that may have run.
    may_have_run: Option<Error>,
}

impl AttemptLoop {
    /// Finds the route of a request and sets its deadline.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StaleState`] if the view is not fresh or lacks the client's service,
    /// [`ErrorKind::NoRoute`] if no standing order allows the request or the client belongs to no
    /// grouping, and [`ErrorKind::BadRequest`] if the route is keyed and the request has no shard
    /// key.
    pub fn begin(
        view: &View,
        now: Microseconds,
        client: ClientId,
        request: Request,
    ) -> Result<AttemptLoop, Error> {
        if !view.is_fresh(now) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "this node has no current freshness proof for its state",
            ));
        }
        if !view.slice.services.contains(&client.service) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "this node has not yet received the state of the client's service",
            )
            .with_retry_after(100_000));
        }
        if !view.slice.backends.contains_key(&client.name) {
            return Err(Error::new(
                ErrorKind::NoRoute,
                format!(
                    "{:?} no longer belongs to a grouping and cannot send requests for a service",
                    client.name
                ),
            ));
        }
        let route = view.slice.route(
            &client.service,
            &request.service,
            &request.method,
            &request.path,
        );
        let Some((route, order)) = route.map(|(name, order)| (name.clone(), order.clone())) else {
            return Err(Error::new(
                ErrorKind::NoRoute,
                format!(
                    "no standing order lets {:?} send this to {:?}",
                    client.service, request.service
                ),
            ));
        };
        if order.keyed && request.shard_key.is_none() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "this route requires the header x-gradeford-key",
            ));
        }
        let deadline = now + request.timeout.unwrap_or(order.wait_us).min(order.wait_us);
        Ok(AttemptLoop {
            client,
            request,
            route,
            order,
            deadline,
            ordinal: 0,
            tried_backends: Vec::new(),
            may_have_run: None,
        })
    }

    /// Returns the service that the request is for.
    pub fn service(&self) -> &str {
        &self.request.service
    }

    /// Returns the time at which the client stops waiting.
    pub fn deadline(&self) -> Microseconds {
        self.deadline
    }

    /// Returns the lease on the request's shard key, if the route is keyed.
    fn lease<'a>(&self, view: &'a View) -> Option<&'a Lease> {
        let key = self
            .request
            .shard_key
            .as_deref()
            .filter(|_| self.order.keyed)?;
        view.slice.lease(&self.request.service, key)
    }

    /// Returns the backends that are eligible for the next attempt.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ExpiredBeforeRun`] from the deadline on, and [`ErrorKind::StaleState`] if the
    /// view is not fresh; if an attempt may have run, its error instead. Any of them ends the
    /// request.
    pub fn candidates(
        &self,
        view: &View,
        now: Microseconds,
        zone: &str,
    ) -> Result<Vec<Candidate>, Error> {
        if now >= self.deadline {
            return Err(self.final_error(Error::new(
                ErrorKind::ExpiredBeforeRun,
                "the deadline passed before the request could be forwarded",
            )));
        }
        if !view.is_fresh(now) {
            return Err(self.final_error(Error::new(
                ErrorKind::StaleState,
                "this node has no current freshness proof for its state",
            )));
        }
        let keyed = self.order.keyed;
        let holder = self
            .lease(view)
            .and_then(|lease| lease.holder.as_ref())
            .map(|(name, _)| name.as_str());
        let labels = &self.order.selector.labels;
        let eligible = view.slice.backends.iter().filter(|(name, backend)| {
            backend.service == self.request.service
                && backend.accepts_work()
                && backend.slots > 0
                && labels.iter().all(|(name, value)| backend.labels.get(name) == Some(value))
                // A retry goes to another backend. A key has only one holder, which may be tried
                // again.
                && if keyed { holder == Some(name.as_str()) } else { !self.tried_backends.contains(name) }
        });
        Ok(eligible
            .map(|(name, backend)| Candidate {
                name: name.clone(),
                slots: backend.slots,
                same_zone: backend.zone == zone,
            })
            .filter(|candidate| candidate.same_zone || self.order.allow_other_zones)
            .collect())
    }

    /// Returns the error of a request for which no backend is eligible.
    pub fn no_backend_error(&self) -> Error {
        let kind = if self.order.keyed {
            ErrorKind::KeyWithoutHolder
        } else {
            ErrorKind::NoBackend
        };
        self.final_error(Error::new(
            kind,
            format!("no back end of {:?} can take it now", self.request.service),
        ))
    }

    /// Returns the request to forward to the selected backend, and the location of the node beside
    /// it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`] if the node beside the backend is not known.
    pub fn next_attempt(
        &self,
        view: &View,
        now: Microseconds,
        selected: &str,
        node: &str,
    ) -> Result<(AttemptRequest, PeerLocation), Error> {
        let (incarnation, backend_node) = view
            .slice
            .backends
            .get(selected)
            .map(|backend| (backend.incarnation, backend.node.clone()))
            .unwrap_or_default();
        let location = view
            .slice
            .nodes
            .get(&backend_node)
            .map(|node| (node.address.clone(), node.incarnation));
        let location = if backend_node == node {
            None
        } else {
            Some(location.ok_or_else(|| {
                Error::new(
                    ErrorKind::Unreachable,
                    "the node beside the backend is unknown",
                )
            })?)
        };
        let request = AttemptRequest {
            request_id: 0,
            attempt_id: self.request.attempt_id.clone(),
            ordinal: self.ordinal,
            client_service: self.client.service.clone(),
            route: self.route.clone(),
            service: self.request.service.clone(),
            backend: selected.to_string(),
            incarnation,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            query: self.request.query.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
            shard_key: self.request.shard_key.clone().filter(|_| self.order.keyed),
            fencing_token: self.lease(view).map(|lease| lease.fencing_token),
            time_left: self.deadline.saturating_sub(now),
            priority: self.order.importance,
            last_watermark: 0,
        };
        Ok((request, location))
    }

    /// Records that an attempt on the backend `selected` failed. Returns whether a retry is safe
    /// and can be useful; the retry budget still has to grant it.
    pub fn may_retry(&mut self, selected: &str, error: &Error) -> bool {
        self.tried_backends.push(selected.to_string());
        if error.execution_status == ExecutionStatus::MayHaveRun {
            self.may_have_run = Some(error.clone());
            self.ordinal += 1;
        }
        is_retryable(error) && error.allows_retry(self.order.idempotent)
    }

    /// Returns the error for the client. Once an attempt may have run, its error is returned
    /// instead of `error`, so that the execution status covers all attempts.
    pub fn final_error(&self, error: Error) -> Error {
        self.may_have_run.clone().unwrap_or(error)
    }
}

/// Returns whether an attempt on another backend, or later on the same one, can succeed after this
/// error.
fn is_retryable(error: &Error) -> bool {
    !matches!(
        error.kind,
        ErrorKind::NoRoute
            | ErrorKind::BadRequest
            | ErrorKind::RequestTooLarge
            | ErrorKind::ExpiredBeforeRun
            | ErrorKind::DuplicateAttempt
            | ErrorKind::EarlierIncarnation
            | ErrorKind::StaleState
            | ErrorKind::NoBackend
            | ErrorKind::KeyWithoutHolder
            | ErrorKind::KeyOverloaded
            | ErrorKind::UnknownClient
            | ErrorKind::TimedOut
    )
}
