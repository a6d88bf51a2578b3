//! The course of one try: all that is decided between its waits. Pure, with view and time told to it (design 5.2).

use crate::outbound_proxy::Request;
use crate::selector::Candidate;
use model::{Error, ErrorKind, ExecutionStatus, Microseconds};

/// Address and life of the node beside the picked back end; none when it is this one.
pub type PeerLocation = Option<(String, u64)>;

pub struct AttemptLoop {
    client: crate::ClientId,
    request: Request,
    route: String,
    order: model::StandingOrder,
    deadline: Microseconds,
    /// Counts the repeats of what may have run, so that a repeat is told apart from a second arrival.
    ordinal: u32,
    passed_over: Vec<String>,
    may_have_run: Option<Error>,
}

impl AttemptLoop {
    pub fn begin(
        view: &control::View,
        now: Microseconds,
        sender: crate::ClientId,
        ask: Request,
    ) -> Result<AttemptLoop, Error> {
        if !view.is_fresh(now) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "no proof that the state held here is current",
            ));
        }
        if !view.slice.services.contains(&sender.service) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "the news of the sender's own service is still on its way",
            )
            .with_retry_after(100_000));
        }
        if !view.slice.backends.contains_key(&sender.name) {
            return Err(Error::new(
                ErrorKind::NoRoute,
                format!(
                    "no grouping holds {:?} any more, so it speaks for no service",
                    sender.name
                ),
            ));
        }
        let lane = view
            .slice
            .route(&sender.service, &ask.service, &ask.method, &ask.path);
        let Some((lane, order)) = lane.map(|(name, order)| (name.clone(), order.clone())) else {
            return Err(Error::new(
                ErrorKind::NoRoute,
                format!(
                    "no standing order lets {:?} send this to {:?}",
                    sender.service, ask.service
                ),
            ));
        };
        if order.keyed && ask.shard_key.is_none() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "this lane needs the header x-gradeford-key",
            ));
        }
        let until = now + ask.timeout.unwrap_or(order.wait_us).min(order.wait_us);
        Ok(AttemptLoop {
            client: sender,
            request: ask,
            route: lane,
            order,
            deadline: until,
            ordinal: 0,
            passed_over: Vec::new(),
            may_have_run: None,
        })
    }

    pub fn service(&self) -> &str {
        &self.request.service
    }

    pub fn deadline(&self) -> Microseconds {
        self.deadline
    }

    fn lease<'a>(&self, view: &'a control::View) -> Option<&'a model::leases::Lease> {
        let key = self
            .request
            .shard_key
            .as_deref()
            .filter(|_| self.order.keyed)?;
        view.slice.lease(&self.request.service, key)
    }

    /// Whom it may go to now; a trouble ends the try.
    pub fn candidates(
        &self,
        view: &control::View,
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
            .and_then(|term| term.holder.as_ref())
            .map(|(name, _)| name.as_str());
        let labels = &self.order.selector.labels;
        let fitting = view.slice.backends.iter().filter(|(name, back_end)| {
            back_end.service == self.request.service
                && back_end.accepts_work()
                && back_end.slots > 0
                && labels.iter().all(|(name, value)| back_end.labels.get(name) == Some(value))
                // Somebody else than before; but a key has one holder, who may be asked again.
                && if keyed { holder == Some(name.as_str()) } else { !self.passed_over.contains(name) }
        });
        Ok(fitting
            .map(|(name, back_end)| Candidate {
                name: name.clone(),
                slots: back_end.slots,
                same_zone: back_end.zone == zone,
            })
            .filter(|candidate| candidate.same_zone || self.order.allow_other_zones)
            .collect())
    }

    /// Nobody was there to be picked.
    pub fn no_backend(&self) -> Error {
        let cause = if self.order.keyed {
            ErrorKind::KeyWithoutHolder
        } else {
            ErrorKind::NoBackend
        };
        self.final_error(Error::new(
            cause,
            format!("no back end of {:?} can take it now", self.request.service),
        ))
    }

    pub fn next_attempt(
        &self,
        view: &control::View,
        now: Microseconds,
        picked: &str,
        node: &str,
    ) -> Result<(transport::AttemptRequest, PeerLocation), Error> {
        let (incarnation, beside) = view
            .slice
            .backends
            .get(picked)
            .map(|held| (held.incarnation, held.node.clone()))
            .unwrap_or_default();
        let place = view
            .slice
            .nodes
            .get(&beside)
            .map(|held| (held.address.clone(), held.incarnation));
        let place = if beside == node {
            None
        } else {
            Some(place.ok_or_else(|| {
                Error::new(
                    ErrorKind::Unreachable,
                    "the node beside the back end is not known",
                )
            })?)
        };
        let dispatch = transport::AttemptRequest {
            request_id: 0,
            attempt_id: self.request.attempt_id.clone(),
            ordinal: self.ordinal,
            client_service: self.client.service.clone(),
            route: self.route.clone(),
            service: self.request.service.clone(),
            backend: picked.to_string(),
            incarnation,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            query: self.request.query.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
            shard_key: self.request.shard_key.clone().filter(|_| self.order.keyed),
            fencing_token: self.lease(view).map(|term| term.fencing_token),
            time_left: self.deadline.saturating_sub(now),
            priority: self.order.importance,
            last_watermark: 0,
        };
        Ok((dispatch, place))
    }

    /// Whether another dispatch is allowed and worth it, if the budget has one.
    pub fn may_retry(&mut self, picked: &str, trouble: &Error) -> bool {
        self.passed_over.push(picked.to_string());
        if trouble.execution_status == ExecutionStatus::MayHaveRun {
            self.may_have_run = Some(trouble.clone());
            self.ordinal += 1;
        }
        is_retryable(trouble) && trouble.allows_retry(self.order.idempotent)
    }

    /// Once one dispatch may have run, no later refusal makes the try not run.
    pub fn final_error(&self, trouble: Error) -> Error {
        self.may_have_run.clone().unwrap_or(trouble)
    }
}

/// Troubles another back end, or a moment later, may not have.
fn is_retryable(trouble: &Error) -> bool {
    !matches!(
        trouble.kind,
        ErrorKind::NoRoute
            | ErrorKind::BadRequest
            | ErrorKind::TooLarge
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
