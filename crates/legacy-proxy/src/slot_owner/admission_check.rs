//! The last check before a request is forwarded (design 5.3). Every reason not to is certain not to
//! have run: nothing has left for the backend yet.

use control::View;
use model::{BackendPhase, Error, ErrorKind, Microseconds, leases};
use transport::AttemptRequest;

use super::{RegisteredBackend, RegistrationState, SlotOwner};

/// When to come back to a node whose state is not fresh: 0.5 s.
const RETRY_AFTER_STALE_STATE: Microseconds = 500_000;
/// When to come back for a key whose move has not been seen here: 0.1 s.
const RETRY_AFTER_UNSEEN_MOVE: Microseconds = 100_000;

impl SlotOwner {
    /// The backend that the request may be forwarded to.
    pub(crate) fn check(
        &self,
        now: Microseconds,
        view: &View,
        request: &AttemptRequest,
    ) -> Result<&RegisteredBackend, Error> {
        if self.draining {
            return Err(Error::new(ErrorKind::ShuttingDown, "this node is leaving"));
        }
        let backend = self
            .backends
            .get(&request.backend)
            .filter(|backend| {
                backend.incarnation == request.incarnation
                    && backend.registration.service == request.service
            })
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::WrongIncarnation,
                    "that life of the back end is not beside this node",
                )
            })?;
        match backend.state {
            _ if backend.draining => {
                return Err(Error::new(ErrorKind::Draining, "the back end is draining"));
            }
            RegistrationState::Live => {}
            RegistrationState::Draining => {
                return Err(Error::new(ErrorKind::Draining, "the back end is draining"));
            }
            RegistrationState::Pending | RegistrationState::Gone => {
                return Err(Error::new(
                    ErrorKind::WrongIncarnation,
                    "the back end is not there",
                ));
            }
        }
        if now >= backend.last_heartbeat + self.config.heartbeat_timeout {
            return Err(Error::new(
                ErrorKind::NoBackend,
                "the back end has gone silent",
            ));
        }
        if !view.is_fresh(now) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "no proof that the state held here is current",
            )
            .with_retry_after(RETRY_AFTER_STALE_STATE));
        }
        let logged = view
            .slice
            .backends
            .get(&request.backend)
            .filter(|held| held.incarnation == request.incarnation);
        match logged.map(|held| held.phase) {
            Some(BackendPhase::Registered) => {}
            Some(BackendPhase::Draining) => {
                return Err(Error::new(ErrorKind::Draining, "the back end is draining"));
            }
            _ => {
                return Err(Error::new(
                    ErrorKind::WrongIncarnation,
                    "the log does not know this life as registered",
                ));
            }
        }
        let route = view.slice.route(
            &request.client_service,
            &request.service,
            &request.method,
            &request.path,
        );
        let (_, order) = route
            .ok_or_else(|| Error::new(ErrorKind::NoRoute, "no standing order lets it through"))?;
        let labels = &backend.registration.labels;
        if !order
            .selector
            .labels
            .iter()
            .all(|(name, value)| labels.get(name) == Some(value))
        {
            return Err(Error::new(
                ErrorKind::NoRoute,
                "the order asks for other labels",
            ));
        }
        if order.keyed {
            self.check_key(now, view, request, backend)?;
        }
        if self.forwarded_attempts.contains(
            &request.client_service,
            &SlotOwner::attempt_identity(request),
        ) {
            return Err(Error::new(
                ErrorKind::DuplicateAttempt,
                "this try was passed on before",
            ));
        }
        Ok(backend)
    }

    /// The fencing token must be the one that the log gives now, and every earlier holder must be done.
    fn check_key(
        &self,
        now: Microseconds,
        view: &View,
        request: &AttemptRequest,
        backend: &RegisteredBackend,
    ) -> Result<(), Error> {
        let key = request
            .shard_key
            .as_deref()
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, "this lane needs a key"))?;
        let lease = view
            .slice
            .lease(&request.service, key)
            .ok_or_else(|| Error::new(ErrorKind::KeyWithoutHolder, "nobody holds the key"))?;
        let is_holder = lease.holder.as_ref().is_some_and(|(name, incarnation)| {
            *name == request.backend && *incarnation == backend.incarnation
        });
        if !is_holder || request.fencing_token != Some(lease.fencing_token) {
            return Err(Error::new(
                ErrorKind::StaleFencingToken,
                "the key has moved",
            ));
        }
        if lease.pending_releases.is_empty() {
            return Ok(());
        }
        let key_slot = leases::key_slot(key);
        let seen = self
            .fencing_tokens
            .get(&(request.service.clone(), key_slot))
            .filter(|(fencing_token, _)| *fencing_token == lease.fencing_token);
        let longest = view
            .slice
            .longest_requests
            .get(&request.service)
            .copied()
            .unwrap_or(0);
        let free_at = seen.map(|(_, seen)| {
            seen + self.config.proof_lifetime + self.config.clock_margin + longest
        });
        match free_at {
            Some(free_at) if now >= free_at => Ok(()),
            Some(free_at) => Err(Error::new(
                ErrorKind::KeyWithoutHolder,
                "an earlier holder may still be serving the key",
            )
            .with_retry_after(free_at - now)),
            None => Err(Error::new(
                ErrorKind::KeyWithoutHolder,
                "the move of the key is news here",
            )
            .with_retry_after(RETRY_AFTER_UNSEEN_MOVE)),
        }
    }

    /// What tells an attempt on a backend from all others; a retry of what may have run is another.
    pub(crate) fn attempt_identity(request: &AttemptRequest) -> String {
        format!("{} {}", request.ordinal, request.attempt_id)
    }

    /// How many slots one key may take: never all slots of its backend.
    pub(crate) fn max_slots_per_key(slots: u32) -> usize {
        (slots as usize - (slots as usize).div_ceil(4)).max(1)
    }
}
