//! Slots and bounded queues: which request is admitted, which waits, and which gives way (design 5.3,
//! 5.7).

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

/// When a request that was shed is to come back: 0.25 s.
const SHED_RETRY_AFTER: Microseconds = 250_000;

impl SlotOwner {
    /// Takes one request. Its admission or refusal comes at once or from a later
    /// [`admit_queued`](Self::admit_queued), always exactly one.
    pub fn admit(
        &mut self,
        now: Microseconds,
        view: &View,
        ticket: u64,
        request: AttemptRequest,
    ) -> Admissions {
        let deadline = now + request.time_left;
        let checked = match request.time_left {
            0 => Err(Error::new(ErrorKind::ExpiredBeforeRun, "no time is left")),
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
            let same = backend
                .running
                .values()
                .filter(|key| key.is_some() && **key == request.shard_key)
                .count();
            backend.running.len() < slots as usize
                && (request.shard_key.is_none()
                    || slots < 2
                    || same < SlotOwner::max_slots_per_key(slots))
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
        // Twice the slots: longer queues only age requests (design 5.7).
        let bound = (backend.registration.slots as usize * 2).max(4);
        let same = backend
            .queued
            .iter()
            .filter(|held| {
                held.request.shard_key.is_some()
                    && held.request.shard_key == queued.request.shard_key
            })
            .count();
        if same >= bound / 2 {
            let error = Error::new(
                ErrorKind::KeyOverloaded,
                "the key has filled its share of the buffer",
            )
            .with_retry_after(SHED_RETRY_AFTER);
            return vec![(queued.ticket, Err(error))];
        }
        let full = || {
            Error::new(ErrorKind::Overloaded, "the buffer is full")
                .with_retry_after(SHED_RETRY_AFTER)
        };
        let mut shed = Vec::new();
        if backend.queued.len() >= bound {
            let least = backend
                .queued
                .iter()
                .enumerate()
                .min_by_key(|(at, held)| (held.request.priority, Reverse(*at)));
            match least
                .filter(|(_, held)| held.request.priority < queued.request.priority)
                .map(|(at, _)| at)
            {
                Some(at) => shed.push((backend.queued.remove(at).ticket, Err(full()))),
                None => return vec![(queued.ticket, Err(full()))],
            }
        }
        backend.queued.push(queued);
        shed
    }

    /// A run ended; `unsent` if the attempt certainly never left for the backend.
    pub fn finish(&mut self, permit: &Permit, unsent: bool) {
        if let Some(backend) = self.backends.get_mut(&permit.backend_name) {
            backend.running.remove(&permit.run_id);
        }
        if unsent {
            self.forwarded_attempts
                .remove(&permit.identity.0, &permit.identity.1);
        }
    }

    /// To be called whenever a slot, the view or the time has moved: requests whose time is over are
    /// refused at once, and free slots go by priority, then by arrival.
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
        let mut granted = Vec::new();
        let mut kept = Vec::new();
        for queued in waiting {
            let checked = if queued.deadline <= now {
                Err(Error::new(
                    ErrorKind::ExpiredBeforeRun,
                    "its time ran out in the buffer",
                ))
            } else {
                self.check(now, view, &queued.request).map(|_| ())
            };
            match checked {
                Err(error) => granted.push((queued.ticket, Err(error))),
                Ok(()) if self.has_free_slot(&queued.request) => granted.push((
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
        granted
    }

    /// Looks at what time and the log say of the backends: silence, a live backend that the log
    /// presumed gone, other slots, and moved leases.
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

    /// Notes new fencing tokens, once for each slice that comes and not for each request.
    fn observe_fences(&mut self, now: Microseconds, view: &View) {
        if Arc::ptr_eq(&self.fenced_slice, &view.slice) {
            return;
        }
        self.fenced_slice = view.slice.clone();
        for (service, leases) in &view.slice.leases {
            for (lease, key_slot) in leases.iter().zip(0u16..) {
                let first_seen = (lease.fencing_token, now);
                let seen = self
                    .fencing_tokens
                    .entry((service.clone(), key_slot))
                    .or_insert(first_seen);
                if seen.0 != lease.fencing_token {
                    *seen = first_seen;
                }
            }
        }
    }

    fn observe_leases(&mut self, now: Microseconds, view: &View) {
        self.observe_fences(now, view);
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
    /// What the log is to be told of a backend that is there, if anything.
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
            // Its heartbeats go on: it gets a new incarnation in the log, and requests for the old
            // one are void.
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

    /// Releases of leases that moved away from this backend, once no run on any moved key is left.
    fn release_leases(&mut self, leases: &[Lease], position: Position) -> Vec<EndpointReport> {
        let name = &self.registration.name;
        let holder = (name.clone(), self.incarnation);
        let owing: BTreeSet<Incarnation> = leases
            .iter()
            .flat_map(|lease| &lease.pending_releases)
            .filter(|((owing, incarnation), lost_at)| {
                owing == name
                    && *lost_at > self.reported_released
                    && (*incarnation == self.incarnation
                        || self.earlier_incarnations.contains(incarnation))
            })
            .map(|((_, incarnation), _)| *incarnation)
            .collect();
        let busy = self.running.values().flatten().any(|shard_key| {
            let lease = leases.get(key_slot(shard_key) as usize);
            lease.and_then(|lease| lease.holder.as_ref()) != Some(&holder)
        });
        if owing.is_empty() || busy {
            return Vec::new();
        }
        self.reported_released = position;
        let released = |incarnation| EndpointReport::LeasesReleased {
            service: self.registration.service.clone(),
            name: self.registration.name.clone(),
            incarnation,
            known_through: position,
        };
        owing.into_iter().map(released).collect()
    }
}
