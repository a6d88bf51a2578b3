//! The admission check, the last one before a request is forwarded (design 5.3). An attempt that it
//! rejects certainly did not run, because nothing has been sent to the backend yet; only for a
//! duplicate the first arrival may have run.

use control::View;
use model::{BackendPhase, Error, ErrorKind, Microseconds, leases};
use transport::AttemptRequest;

use super::{RegisteredBackend, RegistrationState, SlotOwner};

/// Retry delay while the state of this node is not fresh, in microseconds.
const RETRY_AFTER_STALE_STATE: Microseconds = 500_000;
/// Retry delay while this node has not recorded the fencing token of a moved lease, in
/// microseconds.
const RETRY_AFTER_UNSEEN_MOVE: Microseconds = 100_000;

impl SlotOwner {
    /// Checks whether the request may be forwarded, and returns its backend.
    pub(crate) fn check(
        &self,
        now: Microseconds,
        view: &View,
        request: &AttemptRequest,
    ) -> Result<&RegisteredBackend, Error> {
        if self.draining {
            return Err(Error::new(
                ErrorKind::ShuttingDown,
                "this node is shutting down",
            ));
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
                    "this incarnation of the backend is not registered at this node",
                )
            })?;
        match backend.state {
            _ if backend.draining => {
                return Err(Error::new(ErrorKind::Draining, "the backend is draining"));
            }
            RegistrationState::Live => {}
            RegistrationState::Draining => {
                return Err(Error::new(ErrorKind::Draining, "the backend is draining"));
            }
            RegistrationState::Pending | RegistrationState::Gone => {
                return Err(Error::new(
                    ErrorKind::WrongIncarnation,
                    "the backend has no live registration at this node",
                ));
            }
        }
        if now >= backend.last_heartbeat + self.config.heartbeat_timeout {
            return Err(Error::new(
                ErrorKind::NoBackend,
                "the backend has sent no heartbeat within the timeout",
            ));
        }
        if !view.is_fresh(now) {
            return Err(Error::new(
                ErrorKind::StaleState,
                "this node has no current freshness proof for its state",
            )
            .with_retry_after(RETRY_AFTER_STALE_STATE));
        }
        let logged = view
            .slice
            .backends
            .get(&request.backend)
            .filter(|logged| logged.incarnation == request.incarnation);
        match logged.map(|logged| logged.phase) {
            Some(BackendPhase::Registered) => {}
            Some(BackendPhase::Draining) => {
                return Err(Error::new(ErrorKind::Draining, "the backend is draining"));
            }
            _ => {
                return Err(Error::new(
                    ErrorKind::WrongIncarnation,
                    "the log does not list this incarnation of the backend as registered",
                ));
            }
        }
        let route = view.slice.route(
            &request.client_service,
            &request.service,
            &request.method,
            &request.path,
        );
        let (_, order) = route.ok_or_else(|| {
            Error::new(ErrorKind::NoRoute, "no standing order allows this request")
        })?;
        let labels = &backend.registration.labels;
        if !order
            .selector
            .labels
            .iter()
            .all(|(name, value)| labels.get(name) == Some(value))
        {
            return Err(Error::new(
                ErrorKind::NoRoute,
                "the backend lacks labels that the standing order requires",
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
                "this attempt has already been forwarded",
            ));
        }
        Ok(backend)
    }

    /// Checks that the backend holds the key's lease with the fencing token that the log has now,
    /// and that no earlier holder can still be serving the key.
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
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, "this route requires a shard key"))?;
        let lease = view.slice.lease(&request.service, key).ok_or_else(|| {
            Error::new(
                ErrorKind::KeyWithoutHolder,
                "no backend holds the lease on the key",
            )
        })?;
        let is_holder = lease.holder.as_ref().is_some_and(|(name, incarnation)| {
            *name == request.backend && *incarnation == backend.incarnation
        });
        if !is_holder || request.fencing_token != Some(lease.fencing_token) {
            return Err(Error::new(
                ErrorKind::StaleFencingToken,
                "the lease on the key has moved",
            ));
        }
        if lease.pending_releases.is_empty() {
            return Ok(());
        }
        let key_slot = leases::key_slot(key);
        let observed = self
            .fencing_tokens
            .get(&(request.service.clone(), key_slot))
            .filter(|(fencing_token, _)| *fencing_token == lease.fencing_token);
        let longest_request = view
            .slice
            .longest_requests
            .get(&request.service)
            .copied()
            .unwrap_or(0);
        let free_at = observed.map(|(_, observed_at)| {
            observed_at + self.config.proof_validity + self.config.clock_margin + longest_request
        });
        match free_at {
            Some(free_at) if now >= free_at => Ok(()),
            Some(free_at) => Err(Error::new(
                ErrorKind::KeyWithoutHolder,
                "an earlier holder may still be serving requests for the key",
            )
            .with_retry_after(free_at - now)),
            None => Err(Error::new(
                ErrorKind::KeyWithoutHolder,
                "this node has not yet observed the move of the key's lease",
            )
            .with_retry_after(RETRY_AFTER_UNSEEN_MOVE)),
        }
    }

    /// Returns the identity of an attempt on a backend. It contains the ordinal, so that a retry
    /// after an attempt that may have run is not mistaken for a duplicate.
    pub(crate) fn attempt_identity(request: &AttemptRequest) -> String {
        format!("{} {}", request.ordinal, request.attempt_id)
    }

    /// Returns the number of slots that one shard key may occupy: three quarters of the backend's
    /// slots, rounded down, but at least one. A key thus leaves slots to other keys.
    pub(crate) fn max_slots_per_key(slots: u32) -> usize {
        (slots as usize - (slots as usize).div_ceil(4)).max(1)
    }
}
