//! The owner of the slots of the backends beside this node: their registrations, slots, queues and
//! duplicates (design 5.3). [`SlotOwner`] is pure, with the time passed in; [`SlotOwnerHandle`] is the
//! handle on the task that owns one.

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

/// What a slot owner is set to.
#[derive(Clone, Debug)]
pub struct SlotOwnerConfig {
    /// The name of this node.
    pub node: String,
    /// The zone of this node.
    pub zone: String,
    /// A backend without a heartbeat for so long, in microseconds, is presumed gone.
    pub heartbeat_timeout: Microseconds,
    /// How long a proof of freshness lasts, in microseconds. The next holder of a key waits it out.
    pub proof_lifetime: Microseconds,
    /// What clocks may differ by, in microseconds. The next holder of a key waits it out too.
    pub clock_margin: Microseconds,
}

/// Where a registration stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationState {
    /// Not yet in the log.
    Pending,
    /// In the log; takes requests.
    Live,
    /// Takes no new requests.
    Draining,
    /// Ended.
    Gone,
}

/// What a backend says of itself when it registers.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Its name.
    pub name: String,
    /// The service that it runs.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Its labels, which standing orders may ask for.
    pub labels: Labels,
    /// How many requests it runs at the same time.
    pub slots: u32,
    /// Where it listens.
    pub address: String,
}

/// A registered backend, with its runs and its queue.
pub(crate) struct RegisteredBackend {
    pub registration: Registration,
    pub incarnation: Incarnation,
    /// The incarnation that the backend was told when it registered; its attempt ids begin with it.
    pub registered_incarnation: Incarnation,
    pub secret: String,
    pub state: RegistrationState,
    /// The backend said so itself; no new incarnation in the log takes it back.
    pub draining: bool,
    pub last_heartbeat: Microseconds,
    /// The shard key of each run, by run id.
    pub running: BTreeMap<u64, Option<String>>,
    pub queued: Vec<QueuedRequest>,
    /// Up to this position the log was told that keys are released.
    pub reported_released: Position,
    /// The slots that the log was last told.
    pub reported_slots: u32,
    /// Incarnations that this very backend had before the log presumed it gone; their runs are counted
    /// here too.
    pub earlier_incarnations: Vec<Incarnation>,
}

/// A request that waits for a slot.
pub(crate) struct QueuedRequest {
    pub ticket: u64,
    pub deadline: Microseconds,
    pub request: AttemptRequest,
}

/// Permission to forward one request, once.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// The run, by which [`SlotOwner::finish`] knows it.
    pub run_id: u64,
    /// The backend that is to run it.
    pub backend_name: String,
    /// Where that backend listens.
    pub address: String,
    /// When the client stops waiting.
    pub deadline: Microseconds,
    /// The client's service and the attempt, as duplicates are known by.
    pub identity: (String, String),
    /// The key, if the route is divided by key.
    pub shard_key: Option<String>,
}

/// Tickets of requests that were admitted or refused.
pub type Admissions = Vec<(u64, Result<Permit, Error>)>;

/// The backends beside this node. Pure, with the time passed in.
pub struct SlotOwner {
    pub(crate) config: SlotOwnerConfig,
    pub(crate) backends: BTreeMap<String, RegisteredBackend>,
    pub(crate) forwarded_attempts: ForwardedAttempts,
    /// When each lease, by service and key slot, was first seen here with its fencing token.
    pub(crate) fencing_tokens: BTreeMap<(String, u16), (Position, Microseconds)>,
    /// The slice whose leases `fencing_tokens` was last brought up to.
    pub(crate) fenced_slice: Arc<StateSlice>,
    pub(crate) last_run_id: u64,
    pub(crate) draining: bool,
    pub(crate) pending_reports: Vec<EndpointReport>,
}

impl SlotOwner {
    /// An owner without any backend.
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

    /// Reserves the name for a new incarnation, above the one that the log has (`logged`).
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] while the name has a live registration, which is never taken over;
    /// [`ErrorKind::ShuttingDown`] while the node drains.
    pub fn reserve(
        &mut self,
        now: Microseconds,
        logged: Incarnation,
        registration: Registration,
        secret: String,
    ) -> Result<Incarnation, Error> {
        let known = self.backends.get(&registration.name);
        if self.draining {
            return Err(Error::new(ErrorKind::ShuttingDown, "this node is leaving"));
        }
        if known.is_some_and(|known| {
            matches!(
                known.state,
                RegistrationState::Live | RegistrationState::Draining
            ) && now < known.last_heartbeat + self.config.heartbeat_timeout
        }) {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!("the name {:?} has a live registration", registration.name),
            ));
        }
        // An address that now belongs to another backend reaches nobody else any more.
        let previous = self.backends.values_mut().filter(|known| {
            known.registration.address == registration.address
                && known.registration.name != registration.name
        });
        previous
            .filter(|known| known.state != RegistrationState::Gone)
            .for_each(|known| {
                known.state = RegistrationState::Gone;
                let (name, incarnation) = (known.registration.name.clone(), known.incarnation);
                self.pending_reports.push(EndpointReport::PhaseChanged {
                    name,
                    incarnation,
                    phase: BackendPhase::PresumedGone,
                });
            });
        let known = self.backends.get(&registration.name);
        let incarnation =
            incarnations::successor(logged.max(known.map_or(0, |known| known.incarnation)));
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
            reported_released: 0,
            reported_slots,
            earlier_incarnations: Vec::new(),
        };
        self.backends
            .insert(backend.registration.name.clone(), backend);
        Ok(incarnation)
    }

    /// The log accepted or refused the registration of this incarnation.
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

    /// A heartbeat, which counts only with the secret of this incarnation; returns the name of its
    /// backend. Other slots than before hold here at once.
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

    /// The backend with this secret ends its registration; false if there is none.
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

    /// Refuses every request from now on; what was forwarded runs to its end.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.backends
            .values()
            .map(|backend| backend.running.len())
            .sum()
    }

    /// How many requests wait for a slot.
    pub fn queued(&self) -> usize {
        self.backends
            .values()
            .map(|backend| backend.queued.len())
            .sum()
    }

    /// The services of the backends that are there.
    pub fn services(&self) -> ServiceSet {
        self.backends
            .values()
            .filter(|backend| backend.state != RegistrationState::Gone)
            .map(|backend| backend.registration.service.clone())
            .collect()
    }

    /// The secrets of backends that may send requests, with who each belongs to.
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

    /// Takes what the log is to be told.
    pub fn take_reports(&mut self) -> Vec<EndpointReport> {
        mem::take(&mut self.pending_reports)
    }

    /// A backend as the log is to hold it.
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
