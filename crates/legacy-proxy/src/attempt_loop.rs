//! What is decided of one request between its waits (design 5.2). Pure, with the view and the time
//! passed in.

use control::View;
use model::leases::Lease;
use model::{Error, ErrorKind, ExecutionStatus, Microseconds, StandingOrder};
use transport::AttemptRequest;

use crate::selector::Candidate;
use crate::{ClientId, Request};

/// Address and incarnation of the node beside the selected backend; `None` if it is this one.
pub type PeerLocation = Option<(String, u64)>;

/// One request with its route, and what became of its attempts so far.
pub struct AttemptLoop {
    client: ClientId,
    request: Request,
    route: String,
    order: StandingOrder,
    deadline: Microseconds,
    /// Counts the retries of what may have run, so that a retry is told apart from a second arrival.
    ordinal: u32,
    passed_over: Vec<String>,
    may_have_run: Option<Error>,
}

impl AttemptLoop {
    /// Finds the route of a request, and its deadline.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StaleState`] if the view is not fresh or lacks the client's service,
    /// [`ErrorKind::NoRoute`] if no standing order lets the request through, and
    /// [`ErrorKind::BadRequest`] if its route needs a key.
    pub fn begin(
        view: &View,
        now: Microseconds,
        client: ClientId,
        request: Request,
    ) -> Result<AttemptLoop, Error> {
        if !view.is_fresh(now) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "no proof that the state held here is current",
            ));
        }
        if !view.slice.services.contains(&client.service) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "the news of the sender's own service is still on its way",
            )
            .with_retry_after(100_000));
        }
        if !view.slice.backends.contains_key(&client.name) {
            return Err(Error::new(
                ErrorKind::NoRoute,
                format!(
                    "no grouping holds {:?} any more, so it speaks for no service",
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
                "this lane needs the header x-gradeford-key",
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
            passed_over: Vec::new(),
            may_have_run: None,
        })
    }

    /// The service that is to answer.
    pub fn service(&self) -> &str {
        &self.request.service
    }

    /// When the client stops waiting.
    pub fn deadline(&self) -> Microseconds {
        self.deadline
    }

    fn lease<'a>(&self, view: &'a View) -> Option<&'a Lease> {
        let key = self
            .request
            .shard_key
            .as_deref()
            .filter(|_| self.order.keyed)?;
        view.slice.lease(&self.request.service, key)
    }

    /// The backends that the next attempt may go to now.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ExpiredBeforeRun`] from the deadline on, and [`ErrorKind::StaleState`] if the view
    /// is not fresh. Either ends the request.
    pub fn candidates(
        &self,
        view: &View,
        now: Microseconds,
        zone: &str,
    ) -> Result<Vec<Candidate>, Error> {
        if now >= self.deadline {
            return Err(self.final_error(Error::new(
                ErrorKind::ExpiredBeforeRun,
                "the wait was over before it could be dispatched",
            )));
        }
        if !view.is_fresh(now) {
            return Err(self.final_error(Error::new(
                ErrorKind::StaleState,
                "no proof that the state held here is current",
            )));
        }
        let keyed = self.order.keyed;
        let holder = self
            .lease(view)
            .and_then(|lease| lease.holder.as_ref())
            .map(|(name, _)| name.as_str());
        let labels = &self.order.selector.labels;
        let fitting = view.slice.backends.iter().filter(|(name, backend)| {
            backend.service == self.request.service
                && backend.accepts_work()
                && backend.slots > 0
                && labels.iter().all(|(name, value)| backend.labels.get(name) == Some(value))
                // Another than before; but a key has one holder, which may be asked again.
                && if keyed { holder == Some(name.as_str()) } else { !self.passed_over.contains(name) }
        });
        Ok(fitting
            .map(|(name, backend)| Candidate {
                name: name.clone(),
                slots: backend.slots,
                same_zone: backend.zone == zone,
            })
            .filter(|candidate| candidate.same_zone || self.order.allow_other_zones)
            .collect())
    }

    /// The error of a request that found no backend.
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

    /// What goes to the selected backend, and where that is.
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
                    "the node beside the back end is not known",
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

    /// Records that an attempt failed; whether another is allowed and useful, if the budget grants it.
    pub fn may_retry(&mut self, selected: &str, error: &Error) -> bool {
        self.passed_over.push(selected.to_string());
        if error.execution_status == ExecutionStatus::MayHaveRun {
            self.may_have_run = Some(error.clone());
            self.ordinal += 1;
        }
        is_retryable(error) && error.allows_retry(self.order.idempotent)
    }

    /// What the client is answered: once an attempt may have run, no later error takes that back.
    pub fn final_error(&self, error: Error) -> Error {
        self.may_have_run.clone().unwrap_or(error)
    }
}

/// Whether another backend, or the same a moment later, may do without this error.
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
