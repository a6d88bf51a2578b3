//! Slots and bounded buffers: who goes in, who waits, who gives way (design 5.3, 5.7).

use crate::slot_owner::{Admissions, Permit, QueuedRequest, RegistrationState, SlotOwner};
use model::{Error, ErrorKind, Incarnation, Microseconds, endpoint_status::EndpointReport};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

const SHED_RETRY_AFTER: Microseconds = 250_000;

impl SlotOwner {
    /// Takes one request. The answer comes at once or from a later `pump`, always exactly one.
    pub fn admit(
        &mut self,
        now: Microseconds,
        view: &control::View,
        ticket: u64,
        dispatch: transport::AttemptRequest,
    ) -> Admissions {
        let until = now + dispatch.time_left;
        let checked = match dispatch.time_left {
            0 => Err(Error::new(ErrorKind::ExpiredBeforeRun, "no time is left")),
            _ => self.check(now, view, &dispatch).map(|_| ()),
        };
        if let Err(trouble) = checked {
            return vec![(ticket, Err(trouble))];
        }
        if self.has_free_slot(&dispatch) {
            return vec![(ticket, Ok(self.grant(now, until, &dispatch)))];
        }
        self.enqueue(QueuedRequest {
            ticket,
            deadline: until,
            dispatch,
        })
    }

    fn has_free_slot(&self, dispatch: &transport::AttemptRequest) -> bool {
        self.backends.get(&dispatch.backend).is_some_and(|place| {
            let slots = place.registration.slots;
            let same = place
                .running
                .values()
                .filter(|key| key.is_some() && **key == dispatch.shard_key)
                .count();
            place.running.len() < slots as usize
                && (dispatch.shard_key.is_none()
                    || slots < 2
                    || same < SlotOwner::max_slots_per_key(slots))
        })
    }

    fn grant(
        &mut self,
        now: Microseconds,
        until: Microseconds,
        dispatch: &transport::AttemptRequest,
    ) -> Permit {
        self.last_run_id += 1;
        self.forwarded_attempts.insert(
            now,
            &dispatch.client_service,
            &SlotOwner::attempt_identity(dispatch),
        );
        let run = self.last_run_id;
        let address = self
            .backends
            .get_mut(&dispatch.backend)
            .map(|place| {
                place.running.insert(run, dispatch.shard_key.clone());
                place.registration.address.clone()
            })
            .unwrap_or_default();
        let identity = (
            dispatch.client_service.clone(),
            SlotOwner::attempt_identity(dispatch),
        );
        Permit {
            run_id: run,
            backend_name: dispatch.backend.clone(),
            address,
            deadline: until,
            identity,
            shard_key: dispatch.shard_key.clone(),
        }
    }

    fn enqueue(&mut self, waiter: QueuedRequest) -> Admissions {
        let Some(place) = self.backends.get_mut(&waiter.dispatch.backend) else {
            return Vec::new();
        };
        // Twice the slots: longer buffers only age requests (design 5.7).
        let bound = (place.registration.slots as usize * 2).max(4);
        let same = place
            .queued
            .iter()
            .filter(|held| {
                held.dispatch.shard_key.is_some()
                    && held.dispatch.shard_key == waiter.dispatch.shard_key
            })
            .count();
        if same >= bound / 2 {
            let trouble = Error::new(
                ErrorKind::KeyOverloaded,
                "the key has filled its share of the buffer",
            )
            .with_retry_after(SHED_RETRY_AFTER);
            return vec![(waiter.ticket, Err(trouble))];
        }
        let full = || {
            Error::new(ErrorKind::Overloaded, "the buffer is full")
                .with_retry_after(SHED_RETRY_AFTER)
        };
        let mut shed = Vec::new();
        if place.queued.len() >= bound {
            let least = place
                .queued
                .iter()
                .enumerate()
                .min_by_key(|(at, held)| (held.dispatch.priority, Reverse(*at)));
            match least
                .filter(|(_, held)| held.dispatch.priority < waiter.dispatch.priority)
                .map(|(at, _)| at)
            {
                Some(at) => shed.push((place.queued.remove(at).ticket, Err(full()))),
                None => return vec![(waiter.ticket, Err(full()))],
            }
        }
        place.queued.push(waiter);
        shed
    }

    /// `unsent` names a try that certainly never left for the back end.
    pub fn finish(&mut self, permit: &Permit, unsent: bool) {
        if let Some(place) = self.backends.get_mut(&permit.backend_name) {
            place.running.remove(&permit.run_id);
        }
        if unsent {
            self.forwarded_attempts
                .remove(&permit.identity.0, &permit.identity.1);
        }
    }

    /// Called whenever a slot, the view or time has moved: late waiters are told so at once, and
    /// free slots go to the most important, first come first.
    pub fn admit_queued(&mut self, now: Microseconds, view: &control::View) -> Admissions {
        self.forwarded_attempts.expire(now);
        self.observe(now, view);
        let names: Vec<String> = self
            .backends
            .iter()
            .filter(|(_, place)| !place.queued.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        names
            .into_iter()
            .flat_map(|name| self.admit_queued_of(now, view, &name))
            .collect()
    }

    fn admit_queued_of(
        &mut self,
        now: Microseconds,
        view: &control::View,
        name: &str,
    ) -> Admissions {
        let mut waiting = self
            .backends
            .get_mut(name)
            .map(|place| std::mem::take(&mut place.queued))
            .unwrap_or_default();
        waiting.sort_by_key(|waiter| Reverse(waiter.dispatch.priority));
        let mut granted = Vec::new();
        let mut kept = Vec::new();
        waiting.into_iter().for_each(|waiter| {
            let judged = if waiter.deadline <= now {
                Err(Error::new(
                    ErrorKind::ExpiredBeforeRun,
                    "its time ran out in the buffer",
                ))
            } else {
                self.check(now, view, &waiter.dispatch).map(|_| ())
            };
            match judged {
                Err(trouble) => granted.push((waiter.ticket, Err(trouble))),
                Ok(()) if self.has_free_slot(&waiter.dispatch) => granted.push((
                    waiter.ticket,
                    Ok(self.grant(now, waiter.deadline, &waiter.dispatch)),
                )),
                Ok(()) => kept.push(waiter),
            }
        });
        kept.sort_by_key(|waiter| waiter.ticket);
        if let Some(place) = self.backends.get_mut(name) {
            place.queued = kept;
        }
        granted
    }

    /// Silence, moved key terms, and a log that took a live back end for gone.
    fn observe(&mut self, now: Microseconds, view: &control::View) {
        let patience = self.config.heartbeat_timeout;
        let mut reports = Vec::new();
        let leaving = self.draining;
        self.backends
            .values_mut()
            .filter(|place| {
                matches!(
                    place.state,
                    RegistrationState::Live | RegistrationState::Draining
                )
            })
            .for_each(|place| {
                let name = place.registration.name.clone();
                let logged = view
                    .slice
                    .backends
                    .get(&name)
                    .filter(|held| held.incarnation == place.incarnation);
                if now >= place.last_heartbeat + patience {
                    place.state = RegistrationState::Gone;
                    reports.push(EndpointReport::PhaseChanged {
                        name,
                        incarnation: place.incarnation,
                        phase: model::BackendPhase::PresumedGone,
                    });
                } else if !leaving
                    && logged.is_some_and(|held| held.phase == model::BackendPhase::PresumedGone)
                {
                    // It beats, so it lives: a new life in the log, and the old one's dispatches are void.
                    place.earlier_incarnations.push(place.incarnation);
                    place.incarnation += 1;
                    place.state = RegistrationState::Pending;
                    place.reported_slots = place.registration.slots;
                    reports.push(EndpointReport::BackendRegistered {
                        name,
                        backend: place.backend(&self.config.node),
                    });
                } else if place.reported_slots != place.registration.slots {
                    place.reported_slots = place.registration.slots;
                    reports.push(EndpointReport::SlotsChanged {
                        name,
                        incarnation: place.incarnation,
                        slots: place.reported_slots,
                    });
                }
            });
        self.observe_leases(now, view, &mut reports);
        self.pending_reports.extend(reports);
    }

    /// Once for each slice of news, not for each request.
    fn observe_fences(&mut self, now: Microseconds, view: &control::View) {
        if Arc::ptr_eq(&self.fenced_slice, &view.slice) {
            return;
        }
        self.fenced_slice = view.slice.clone();
        view.slice
            .leases
            .iter()
            .flat_map(|(service, terms)| {
                terms
                    .iter()
                    .zip(0u16..)
                    .map(move |(term, at)| (service, term, at))
            })
            .for_each(|(service, term, at)| {
                let held = self
                    .fencing_tokens
                    .entry((service.clone(), at))
                    .or_insert((term.fencing_token, now));
                if held.0 != term.fencing_token {
                    *held = (term.fencing_token, now);
                }
            });
    }

    fn observe_leases(
        &mut self,
        now: Microseconds,
        view: &control::View,
        reports: &mut Vec<EndpointReport>,
    ) {
        let position = view.slice.position;
        self.observe_fences(now, view);
        view.slice.leases.iter().for_each(|(service, terms)| {
            self.backends
                .values_mut()
                .filter(|place| place.registration.service == *service)
                .for_each(|place| {
                    let name = place.registration.name.clone();
                    let holder = (name.clone(), place.incarnation);
                    let owing: BTreeSet<Incarnation> = terms
                        .iter()
                        .flat_map(|term| &term.pending_releases)
                        .filter(|((owing, life), lost)| {
                            *owing == name
                                && *lost > place.reported_released
                                && (*life == place.incarnation
                                    || place.earlier_incarnations.contains(life))
                        })
                        .map(|((_, life), _)| *life)
                        .collect();
                    let busy = place.running.values().flatten().any(|key| {
                        let term = terms.get(model::leases::key_slot(key) as usize);
                        term.and_then(|term| term.holder.as_ref()) != Some(&holder)
                    });
                    if !owing.is_empty() && !busy {
                        place.reported_released = position;
                        reports.extend(owing.into_iter().map(|incarnation| {
                            EndpointReport::LeasesReleased {
                                service: service.clone(),
                                name: name.clone(),
                                incarnation,
                                known_through: position,
                            }
                        }));
                    }
                });
        });
    }
}
