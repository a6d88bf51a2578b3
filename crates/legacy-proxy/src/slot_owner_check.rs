//! The last check before a request is passed on (design 5.3).

use crate::slot_owner::{RegisteredBackend, RegistrationState, SlotOwner};
use model::{Error, ErrorKind, Microseconds};

impl SlotOwner {
    /// Every reason not to pass it on is certain: nothing has left for the back end yet.
    pub(crate) fn check(
        &self,
        now: Microseconds,
        view: &control::View,
        dispatch: &transport::AttemptRequest,
    ) -> Result<&RegisteredBackend, Error> {
        if self.draining {
            return Err(Error::new(ErrorKind::ShuttingDown, "this node is leaving"));
        }
        let place = self
            .backends
            .get(&dispatch.backend)
            .filter(|place| {
                place.incarnation == dispatch.incarnation
                    && place.registration.service == dispatch.service
            })
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::WrongIncarnation,
                    "that life of the back end is not beside this node",
                )
            })?;
        match place.state {
            _ if place.draining => {
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
        if now >= place.last_heartbeat + self.config.heartbeat_timeout {
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
            .with_retry_after(500_000));
        }
        let logged = view
            .slice
            .backends
            .get(&dispatch.backend)
            .filter(|held| held.incarnation == dispatch.incarnation);
        match logged.map(|held| held.phase) {
            Some(model::BackendPhase::Registered) => {}
            Some(model::BackendPhase::Draining) => {
                return Err(Error::new(ErrorKind::Draining, "the back end is draining"));
            }
            _ => {
                return Err(Error::new(
                    ErrorKind::WrongIncarnation,
                    "the log does not know this life as registered",
                ));
            }
        }
        let lane = view.slice.route(
            &dispatch.client_service,
            &dispatch.service,
            &dispatch.method,
            &dispatch.path,
        );
        let (_, order) = lane
            .ok_or_else(|| Error::new(ErrorKind::NoRoute, "no standing order lets it through"))?;
        let labels = &place.registration.labels;
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
            self.check_key(now, view, dispatch, place)?;
        }
        if self.forwarded_attempts.contains(
            &dispatch.client_service,
            &SlotOwner::attempt_identity(dispatch),
        ) {
            return Err(Error::new(
                ErrorKind::DuplicateAttempt,
                "this try was passed on before",
            ));
        }
        Ok(place)
    }

    /// The fence must be the one the log gives now, and every earlier holder must be done.
    fn check_key(
        &self,
        now: Microseconds,
        view: &control::View,
        dispatch: &transport::AttemptRequest,
        place: &RegisteredBackend,
    ) -> Result<(), Error> {
        let key = dispatch
            .shard_key
            .as_deref()
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, "this lane needs a key"))?;
        let term = view
            .slice
            .lease(&dispatch.service, key)
            .ok_or_else(|| Error::new(ErrorKind::KeyWithoutHolder, "nobody holds the key"))?;
        let holder = term
            .holder
            .as_ref()
            .is_some_and(|(name, life)| *name == dispatch.backend && *life == place.incarnation);
        if !holder || dispatch.fencing_token != Some(term.fencing_token) {
            return Err(Error::new(
                ErrorKind::StaleFencingToken,
                "the key has moved",
            ));
        }
        if term.pending_releases.is_empty() {
            return Ok(());
        }
        let slice = model::leases::key_slot(key);
        let seen = self
            .fencing_tokens
            .get(&(dispatch.service.clone(), slice))
            .filter(|(fence, _)| *fence == term.fencing_token);
        let longest = view
            .slice
            .longest_requests
            .get(&dispatch.service)
            .copied()
            .unwrap_or(0);
        let free = seen.map(|(_, seen)| {
            seen + self.config.proof_lifetime + self.config.clock_margin + longest
        });
        match free {
            Some(free) if now >= free => Ok(()),
            Some(free) => Err(Error::new(
                ErrorKind::KeyWithoutHolder,
                "an earlier holder may still be serving the key",
            )
            .with_retry_after(free - now)),
            None => Err(Error::new(
                ErrorKind::KeyWithoutHolder,
                "the move of the key is news here",
            )
            .with_retry_after(100_000)),
        }
    }

    pub(crate) fn attempt_identity(dispatch: &transport::AttemptRequest) -> String {
        format!("{} {}", dispatch.ordinal, dispatch.attempt_id)
    }

    /// No key may fill all slots of its back end.
    pub(crate) fn max_slots_per_key(slots: u32) -> usize {
        (slots as usize - (slots as usize).div_ceil(4)).max(1)
    }
}
