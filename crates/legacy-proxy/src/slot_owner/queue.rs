//! Slots and bounded queues: decides which request is admitted, which is queued and which is shed
//! (design 5.3, 5.7).

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::mem;
use std::sync::Arc;

use control::View;
use model::endpoint_status::EndpointReport;
use model::leases::{Lease, key_slot};
use model::{BackendPhase, Error, ErrorKind, Incarnation, Microseconds, Position};
use transport::AttemptRequest;

use super::{
    Admissions, Permit, QueuedRequest, RegisteredBackend, RegistrationState, SlotOwner,
    SlotOwnerConfig,
};

/// Retry delay of a request that was shed, in microseconds.
const SHED_RETRY_AFTER: Microseconds = 250_000;

impl SlotOwner {
    /// Admits, queues or rejects a request. Each ticket is returned exactly once with its admission
    /// or rejection, here or by a later call of `admit` or [`admit_queued`](Self::admit_queued).
    pub fn admit(
        &mut self,
        now: Microseconds,
        view: &View,
        ticket: u64,
        request: AttemptRequest,
    ) -> Admissions {
        let deadline = now + request.time_left;
        let checked = match request.time_left {
            0 => Err(Error::new(
                ErrorKind::ExpiredBeforeRun,
                "the request arrived after its deadline",
            )),
            _ => self.check(now, view, &request).map(|_| ()),
        };
        if let Err(error) = checked {
            return vec![(ticket, Err(error))];
        }
        if self.has_free_slot(&request) {
            return vec![(ticket, Ok(self.grant(now, deadline, &request)))];
        }
        self.enqueue(QueuedRequest {
            ticket,
            deadline,
            request,
        })
    }

    fn has_free_slot(&self, request: &AttemptRequest) -> bool {
        self.backends.get(&request.backend).is_some_and(|backend| {
            let slots = backend.registration.slots;
            let runs_of_key = backend
                .running
                .values()
                .filter(|key| key.is_some() && **key == request.shard_key)
                .count();
            backend.running.len() < slots as usize
                && (request.shard_key.is_none()
                    || slots < 2
                    || runs_of_key < SlotOwner::max_slots_per_key(slots))
        })
    }

    fn grant(
        &mut self,
        now: Microseconds,
        deadline: Microseconds,
        request: &AttemptRequest,
    ) -> Permit {
        self.last_run_id += 1;
        self.forwarded_attempts.insert(
            now,
            &request.client_service,
            &SlotOwner::attempt_identity(request),
        );
        let run_id = self.last_run_id;
        let address = self
            .backends
            .get_mut(&request.backend)
            .map(|backend| {
                backend.running.insert(run_id, request.shard_key.clone());
                backend.registration.address.clone()
            })
            .unwrap_or_default();
        let identity = (
            request.client_service.clone(),
            SlotOwner::attempt_identity(request),
        );
        Permit {
            run_id,
            backend_name: request.backend.clone(),
            address,
            deadline,
            identity,
            shard_key: request.shard_key.clone(),
        }
    }

    fn enqueue(&mut self, queued: QueuedRequest) -> Admissions {
        let Some(backend) = self.backends.get_mut(&queued.request.backend) else {
            return Vec::new();
        };
        // Twice the slots: in a longer queue requests only get older (design 5.7).
        let capacity = (backend.registration.slots as usize * 2).max(4);
        let queued_for_key = backend
            .queued
            .iter()
            .filter(|other| {
                other.request.shard_key.is_some()
                    && other.request.shard_key == queued.request.shard_key
            })
            .count();
        if queued_for_key >= capacity / 2 {
            let error = Error::new(
                ErrorKind::KeyOverloaded,
                "the key has filled its share of the queue",
            )
            .with_retry_after(SHED_RETRY_AFTER);
            return vec![(queued.ticket, Err(error))];
        }
        let queue_full = || {
            Error::new(ErrorKind::Overloaded, "the queue is full")
                .with_retry_after(SHED_RETRY_AFTER)
        };
        let mut shed = Vec::new();
        if backend.queued.len() >= capacity {
            let least_important = backend
                .queued
                .iter()
                .enumerate()
                .min_by_key(|(index, other)| (other.request.priority, Reverse(*index)));
            match least_important
                .filter(|(_, other)| other.request.priority < queued.request.priority)
                .map(|(index, _)| index)
            {
                Some(index) => shed.push((backend.queued.remove(index).ticket, Err(queue_full()))),
                None => return vec![(queued.ticket, Err(queue_full()))],
            }
        }
        backend.queued.push(queued);
        shed
    }

    /// Releases the slot of a run that ended. `unsent` states that the attempt certainly was not
    /// sent to the backend; it may then be forwarded again.
    pub fn finish(&mut self, permit: &Permit, unsent: bool) {
        if let Some(backend) = self.backends.get_mut(&permit.backend_name) {
            backend.running.remove(&permit.run_id);
        }
        if unsent {
            self.forwarded_attempts
                .remove(&permit.identity.0, &permit.identity.1);
        }
    }

    /// Re-evaluates the queues; to be called when a slot was released, when the view changed and
    /// periodically. Rejects requests whose deadline has passed and grants free slots in the order
    /// of priority, then of arrival.
    pub fn admit_queued(&mut self, now: Microseconds, view: &View) -> Admissions {
        self.forwarded_attempts.expire(now);
        self.observe(now, view);
        let names: Vec<String> = self
            .backends
            .iter()
            .filter(|(_, backend)| !backend.queued.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        names
            .into_iter()
            .flat_map(|name| self.admit_queued_of(now, view, &name))
            .collect()
    }

    fn admit_queued_of(&mut self, now: Microseconds, view: &View, name: &str) -> Admissions {
        let mut waiting = self
            .backends
            .get_mut(name)
            .map(|backend| mem::take(&mut backend.queued))
            .unwrap_or_default();
        waiting.sort_by_key(|queued| Reverse(queued.request.priority));
        let mut admissions = Vec::new();
        let mut kept = Vec::new();
        for queued in waiting {
            let checked = if queued.deadline <= now {
                Err(Error::new(
                    ErrorKind::ExpiredBeforeRun,
                    "the deadline passed while the request was queued",
                ))
            } else {
                self.check(now, view, &queued.request).map(|_| ())
            };
            match checked {
                Err(error) => admissions.push((queued.ticket, Err(error))),
                Ok(()) if self.has_free_slot(&queued.request) => admissions.push((
                    queued.ticket,
                    Ok(self.grant(now, queued.deadline, &queued.request)),
                )),
                Ok(()) => kept.push(queued),
            }
        }
        kept.sort_by_key(|queued| queued.ticket);
        if let Some(backend) = self.backends.get_mut(name) {
            backend.queued = kept;
        }
        admissions
    }

    /// Updates the backends according to the time and the view: heartbeat timeouts, running
    /// backends that the log presumed gone, changed numbers of slots, and moved leases.
    fn observe(&mut self, now: Microseconds, view: &View) {
        for backend in self.backends.values_mut() {
            if matches!(
                backend.state,
                RegistrationState::Live | RegistrationState::Draining
            ) {
                let report = backend.observe(now, view, &self.config, self.draining);
                self.pending_reports.extend(report);
            }
        }
        self.observe_leases(now, view);
    }

    /// Records when new fencing tokens were first observed, once for each new slice and not for
    /// each request.
    fn record_fencing_tokens(&mut self, now: Microseconds, view: &View) {
        if Arc::ptr_eq(&self.fenced_slice, &view.slice) {
            return;
        }
        self.fenced_slice = view.slice.clone();
        for (service, leases) in &view.slice.leases {
            for (lease, key_slot) in leases.iter().zip(0u16..) {
                let first_observed = (lease.fencing_token, now);
                let observed = self
                    .fencing_tokens
                    .entry((service.clone(), key_slot))
                    .or_insert(first_observed);
                if observed.0 != lease.fencing_token {
                    *observed = first_observed;
                }
            }
        }
    }

    fn observe_leases(&mut self, now: Microseconds, view: &View) {
        self.record_fencing_tokens(now, view);
        for (service, leases) in &view.slice.leases {
            for backend in self.backends.values_mut() {
                if backend.registration.service == *service {
                    let released = backend.release_leases(leases, view.slice.position);
                    self.pending_reports.extend(released);
                }
            }
        }
    }
}

impl RegisteredBackend {
    /// Updates a registered backend according to the time and the view. Returns the report to the
    /// log, if one is due.
    fn observe(
        &mut self,
        now: Microseconds,
        view: &View,
        config: &SlotOwnerConfig,
        node_drains: bool,
    ) -> Option<EndpointReport> {
        let name = self.registration.name.clone();
        let logged = view.slice.backends.get(&name);
        let logged = logged.filter(|logged| logged.incarnation == self.incarnation);
        let presumed_gone = logged.is_some_and(|logged| logged.phase == BackendPhase::PresumedGone);
        if now >= self.last_heartbeat + config.heartbeat_timeout {
            self.state = RegistrationState::Gone;
            let (incarnation, phase) = (self.incarnation, BackendPhase::PresumedGone);
            Some(EndpointReport::PhaseChanged {
                name,
                incarnation,
                phase,
            })
        } else if !node_drains && presumed_gone {
            // The heartbeats continue, so the backend is registered in the log again under a new
            // incarnation; requests for the earlier one are rejected.
            self.earlier_incarnations.push(self.incarnation);
            self.incarnation += 1;
            self.state = RegistrationState::Pending;
            self.reported_slots = self.registration.slots;
            let backend = self.backend(&config.node);
            Some(EndpointReport::BackendRegistered { name, backend })
        } else if self.reported_slots != self.registration.slots {
            self.reported_slots = self.registration.slots;
            let (incarnation, slots) = (self.incarnation, self.reported_slots);
            Some(EndpointReport::SlotsChanged {
                name,
                incarnation,
                slots,
            })
        } else {
            None
        }
    }

    /// Reports the release of leases that moved away from this backend, once no request for a key
    /// of a moved lease is running.
    fn release_leases(&mut self, leases: &[Lease], position: Position) -> Vec<EndpointReport> {
        let name = &self.registration.name;
        let holder = (name.clone(), self.incarnation);
        let pending_incarnations: BTreeSet<Incarnation> = leases
            .iter()
            .flat_map(|lease| &lease.pending_releases)
            .filter(|((owner, incarnation), lost_at)| {
                owner == name
                    && *lost_at > self.reported_release_position
                    && (*incarnation == self.incarnation
                        || self.earlier_incarnations.contains(incarnation))
            })
            .map(|((_, incarnation), _)| *incarnation)
            .collect();
        let has_running_requests = self.running.values().flatten().any(|shard_key| {
            let lease = leases.get(key_slot(shard_key) as usize);
            lease.and_then(|lease| lease.holder.as_ref()) != Some(&holder)
        });
        if pending_incarnations.is_empty() || has_running_requests {
            return Vec::new();
        }
        self.reported_release_position = position;
        let to_report = |incarnation| EndpointReport::LeasesReleased {
            service: self.registration.service.clone(),
            name: self.registration.name.clone(),
            incarnation,
            known_through: position,
        };
        pending_incarnations.into_iter().map(to_report).collect()
    }
}
