//! The slot owner manages the registrations, slots and queues of the backends beside this node and
//! detects duplicate attempts (design 5.3). [`SlotOwner`] performs no I/O and reads no clock: the
//! caller passes the time in. [`SlotOwnerHandle`] is the handle on the task that owns one.

mod admission_check;
mod queue;
mod task;

use std::collections::{BTreeMap, HashMap};
use std::mem;
use std::sync::Arc;

use model::endpoint_status::EndpointReport;
use model::state_slice::ServiceSet;
use model::{
    Backend, BackendPhase, Error, ErrorKind, Incarnation, Labels, Microseconds, Position,
    StateSlice, incarnation as incarnations,
};
use transport::AttemptRequest;

use crate::forwarded_attempts::{ForwardedAttempts, attempt_prefix};

pub use task::{ClientId, SlotOwnerHandle};

/// Configuration of a slot owner.
#[derive(Clone, Debug)]
pub struct SlotOwnerConfig {
    /// Name of this node.
    pub node: String,
    /// Zone of this node.
    pub zone: String,
    /// Time without a heartbeat, in microseconds, after which a backend is presumed gone.
    pub heartbeat_timeout: Microseconds,
    /// Validity of a freshness proof, in microseconds. The next holder of a key waits for this
    /// time, because the previous holder may serve the key until then.
    pub proof_validity: Microseconds,
    /// Allowance for differences between clocks, in microseconds, which the next holder of a key
    /// waits in addition to `proof_validity`.
    pub clock_margin: Microseconds,
}

/// State of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationState {
    /// The log has not accepted the registration yet.
    Pending,
    /// The log has accepted the registration, and the backend accepts requests.
    Live,
    /// The backend accepts no new requests.
    Draining,
    /// The registration has ended.
    Gone,
}

/// The properties that a backend states when it registers.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Name of the backend.
    pub name: String,
    /// The service that the backend runs.
    pub service: String,
    /// Zone of the backend.
    pub zone: String,
    /// Labels of the backend, which standing orders can require.
    pub labels: Labels,
    /// Number of requests that the backend runs concurrently.
    pub slots: u32,
    /// Address at which the backend listens.
    pub address: String,
}

/// A registered backend, with its running and queued requests.
pub(crate) struct RegisteredBackend {
    pub registration: Registration,
    pub incarnation: Incarnation,
    /// The incarnation that the backend received when it registered; the prefix of its attempt ids
    /// contains it.
    pub registered_incarnation: Incarnation,
    pub secret: String,
    pub state: RegistrationState,
    /// Whether the backend has asked to drain. A new incarnation in the log does not reset this.
    pub draining: bool,
    pub last_heartbeat: Microseconds,
    /// The shard key of each running request, by run id.
    pub running: BTreeMap<u64, Option<String>>,
    pub queued: Vec<QueuedRequest>,
    /// The position up to which released leases were reported to the log.
    pub reported_release_position: Position,
    /// The number of slots that was last reported to the log.
    pub reported_slots: u32,
    /// Incarnations of this registration that the log presumed gone. Their requests may still be
    /// among those in `running`.
    pub earlier_incarnations: Vec<Incarnation>,
}

/// A request that waits for a slot.
pub(crate) struct QueuedRequest {
    pub ticket: u64,
    pub deadline: Microseconds,
    pub request: AttemptRequest,
}

/// Permission to forward one request once.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Identifies the run to [`SlotOwner::finish`].
    pub run_id: u64,
    /// Name of the backend that runs the request.
    pub backend_name: String,
    /// Address of that backend.
    pub address: String,
    /// The time at which the client stops waiting.
    pub deadline: Microseconds,
    /// The client's service and the identity of the attempt, by which duplicates are detected.
    pub identity: (String, String),
    /// The shard key of the request, if there is one.
    pub shard_key: Option<String>,
}

/// Tickets of requests that were admitted or rejected, with their permits or errors.
pub type Admissions = Vec<(u64, Result<Permit, Error>)>;

/// The registrations, slots and queues of the backends beside this node. Performs no I/O and reads
/// no clock: the caller passes the time in.
pub struct SlotOwner {
    pub(crate) config: SlotOwnerConfig,
    pub(crate) backends: BTreeMap<String, RegisteredBackend>,
    pub(crate) forwarded_attempts: ForwardedAttempts,
    /// The fencing token of each lease, by service and key slot, and the time of its first
    /// observation.
    pub(crate) fencing_tokens: BTreeMap<(String, u16), (Position, Microseconds)>,
    /// The slice from which `fencing_tokens` was last updated.
    pub(crate) fenced_slice: Arc<StateSlice>,
    pub(crate) last_run_id: u64,
    pub(crate) draining: bool,
    pub(crate) pending_reports: Vec<EndpointReport>,
}

impl SlotOwner {
    /// Creates a slot owner without backends.
    pub fn new(config: SlotOwnerConfig) -> Self {
        SlotOwner {
            config,
            backends: Default::default(),
            forwarded_attempts: Default::default(),
            fencing_tokens: Default::default(),
            fenced_slice: Default::default(),
            last_run_id: 0,
            draining: false,
            pending_reports: Vec::new(),
        }
    }

    /// Reserves the name for a new incarnation, which is greater than the one in the log
    /// (`logged`).
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] while the name has a live registration, which is never replaced;
    /// [`ErrorKind::ShuttingDown`] while the node drains.
    pub fn reserve(
        &mut self,
        now: Microseconds,
        logged: Incarnation,
        registration: Registration,
        secret: String,
    ) -> Result<Incarnation, Error> {
        let existing = self.backends.get(&registration.name);
        if self.draining {
            return Err(Error::new(
                ErrorKind::ShuttingDown,
                "this node is shutting down",
            ));
        }
        if existing.is_some_and(|existing| {
            matches!(
                existing.state,
                RegistrationState::Live | RegistrationState::Draining
            ) && now < existing.last_heartbeat + self.config.heartbeat_timeout
        }) {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!("the name {:?} has a live registration", registration.name),
            ));
        }
        // The previous backends at this address can no longer be reached.
        let displaced = self.backends.values_mut().filter(|existing| {
            existing.registration.address == registration.address
                && existing.registration.name != registration.name
        });
        displaced
            .filter(|existing| existing.state != RegistrationState::Gone)
            .for_each(|existing| {
                existing.state = RegistrationState::Gone;
                let (name, incarnation) =
                    (existing.registration.name.clone(), existing.incarnation);
                self.pending_reports.push(EndpointReport::PhaseChanged {
                    name,
                    incarnation,
                    phase: BackendPhase::PresumedGone,
                });
            });
        let existing = self.backends.get(&registration.name);
        let incarnation = incarnations::successor(
            logged.max(existing.map_or(0, |existing| existing.incarnation)),
        );
        let reported_slots = registration.slots;
        let backend = RegisteredBackend {
            registration,
            incarnation,
            registered_incarnation: incarnation,
            secret,
            state: RegistrationState::Pending,
            draining: false,
            last_heartbeat: now,
            running: Default::default(),
            queued: Vec::new(),
            reported_release_position: 0,
            reported_slots,
            earlier_incarnations: Vec::new(),
        };
        self.backends
            .insert(backend.registration.name.clone(), backend);
        Ok(incarnation)
    }

    /// Records whether the log accepted the registration of this incarnation.
    pub fn confirm(
        &mut self,
        now: Microseconds,
        name: &str,
        incarnation: Incarnation,
        accepted: bool,
    ) {
        let Some(backend) = self
            .backends
            .get_mut(name)
            .filter(|backend| backend.incarnation == incarnation)
        else {
            return;
        };
        match accepted {
            true if backend.state == RegistrationState::Pending => {
                backend.state = if backend.draining {
                    RegistrationState::Draining
                } else {
                    RegistrationState::Live
                };
                backend.last_heartbeat = now;
                if backend.draining {
                    self.pending_reports.push(EndpointReport::PhaseChanged {
                        name: name.to_string(),
                        incarnation,
                        phase: BackendPhase::Draining,
                    });
                }
            }
            true => {}
            false => backend.state = RegistrationState::Gone,
        }
    }

    /// Records a heartbeat and returns the name of its backend; `None` if no current registration
    /// has the secret. A changed number of slots takes effect here at once.
    pub fn heartbeat(
        &mut self,
        now: Microseconds,
        secret: &str,
        draining: bool,
        slots: Option<u32>,
    ) -> Option<String> {
        let backend = self
            .backends
            .values_mut()
            .find(|backend| backend.secret == secret && backend.state != RegistrationState::Gone)?;
        backend.last_heartbeat = now;
        backend.draining |= draining;
        if let Some(slots) = slots {
            backend.registration.slots = slots;
        }
        if backend.draining && backend.state == RegistrationState::Live {
            backend.state = RegistrationState::Draining;
            let (name, incarnation) = (backend.registration.name.clone(), backend.incarnation);
            self.pending_reports.push(EndpointReport::PhaseChanged {
                name,
                incarnation,
                phase: BackendPhase::Draining,
            });
        }
        Some(backend.registration.name.clone())
    }

    /// Ends the registration with this secret. Returns false if there is no current one.
    pub fn deregister(&mut self, secret: &str) -> bool {
        let backend = self
            .backends
            .values_mut()
            .find(|backend| backend.secret == secret && backend.state != RegistrationState::Gone);
        let Some(backend) = backend else { return false };
        backend.state = RegistrationState::Gone;
        self.pending_reports.push(EndpointReport::PhaseChanged {
            name: backend.registration.name.clone(),
            incarnation: backend.incarnation,
            phase: BackendPhase::Deregistered,
        });
        true
    }

    /// Rejects all new requests; those that were forwarded run to completion.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.backends
            .values()
            .map(|backend| backend.running.len())
            .sum()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.backends
            .values()
            .map(|backend| backend.queued.len())
            .sum()
    }

    /// Returns the services of all backends whose registration has not ended.
    pub fn services(&self) -> ServiceSet {
        self.backends
            .values()
            .filter(|backend| backend.state != RegistrationState::Gone)
            .map(|backend| backend.registration.service.clone())
            .collect()
    }

    /// Returns the clients that may send requests, by the secrets of their registrations.
    pub fn clients(&self) -> HashMap<String, ClientId> {
        self.backends
            .values()
            .filter(|backend| backend.state != RegistrationState::Gone)
            .map(|backend| {
                let (name, service) = (
                    backend.registration.name.clone(),
                    backend.registration.service.clone(),
                );
                let (incarnation, prefix) = (
                    backend.incarnation,
                    attempt_prefix(&name, backend.registered_incarnation),
                );
                (
                    backend.secret.clone(),
                    ClientId {
                        name,
                        service,
                        incarnation,
                        attempt_prefix: prefix,
                    },
                )
            })
            .collect()
    }

    /// Takes the reports that are to be sent to the log.
    pub fn take_reports(&mut self) -> Vec<EndpointReport> {
        mem::take(&mut self.pending_reports)
    }

    /// Returns the entry for the backend that the log is to record.
    pub fn backend(&self, name: &str) -> Option<Backend> {
        self.backends
            .get(name)
            .map(|backend| backend.backend(&self.config.node))
    }
}

impl RegisteredBackend {
    pub(crate) fn backend(&self, node: &str) -> Backend {
        Backend {
            service: self.registration.service.clone(),
            zone: self.registration.zone.clone(),
            labels: self.registration.labels.clone(),
            slots: self.registration.slots,
            node: node.to_string(),
            incarnation: self.incarnation,
            phase: BackendPhase::Registered,
            changed_at: 0,
        }
    }
}
