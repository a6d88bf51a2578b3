//! The back ends beside this node: slots, buffers, tries. Pure, with the time told to it (design 5.3).

use model::{Error, ErrorKind, Incarnation, Microseconds, endpoint_status::EndpointReport};
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct SlotOwnerConfig {
    pub node: String,
    pub zone: String,
    /// A back end silent for so long is presumed gone.
    pub heartbeat_timeout: Microseconds,
    /// How long a proof lasts, and what clocks may differ by: a next key holder waits both out.
    pub proof_lifetime: Microseconds,
    pub clock_margin: Microseconds,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationState {
    /// Not yet in the log.
    Pending,
    Live,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Registration {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub labels: model::Labels,
    pub slots: u32,
    pub address: String,
}

pub(crate) struct RegisteredBackend {
    pub registration: Registration,
    pub incarnation: Incarnation,
    /// The life told to the back end when it registered; its tries are named under it.
    pub registered_incarnation: Incarnation,
    pub secret: String,
    pub state: RegistrationState,
    /// Said by the back end itself; no new life in the log takes it back.
    pub draining: bool,
    pub last_heartbeat: Microseconds,
    /// Run number to key.
    pub running: BTreeMap<u64, Option<String>>,
    pub queued: Vec<QueuedRequest>,
    pub reported_released: model::Position,
    /// What the log was last told.
    pub reported_slots: u32,
    /// Lives this very back end had before the log took it for gone; their runs are counted here too.
    pub earlier_incarnations: Vec<Incarnation>,
}

pub(crate) struct QueuedRequest {
    pub ticket: u64,
    pub deadline: Microseconds,
    pub dispatch: transport::AttemptRequest,
}

/// Leave to pass one request on, once.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    pub run_id: u64,
    pub backend_name: String,
    pub address: String,
    pub deadline: Microseconds,
    /// The sender's service and the try, as the duplicates' table knows it.
    pub identity: (String, String),
    pub shard_key: Option<String>,
}

pub type Admissions = Vec<(u64, Result<Permit, Error>)>;

pub struct SlotOwner {
    pub(crate) config: SlotOwnerConfig,
    pub(crate) backends: BTreeMap<String, RegisteredBackend>,
    pub(crate) forwarded_attempts: crate::forwarded_attempts::ForwardedAttempts,
    /// When each key term was first seen here with its fence.
    pub(crate) fencing_tokens: BTreeMap<(String, u16), (model::Position, Microseconds)>,
    /// The slice whose terms `fences` was last brought up to.
    pub(crate) fenced_slice: Arc<model::StateSlice>,
    pub(crate) last_run_id: u64,
    pub(crate) draining: bool,
    pub(crate) pending_reports: Vec<EndpointReport>,
}

impl SlotOwner {
    pub fn new(env: SlotOwnerConfig) -> Self {
        SlotOwner {
            config: env,
            backends: Default::default(),
            forwarded_attempts: Default::default(),
            fencing_tokens: Default::default(),
            fenced_slice: Default::default(),
            last_run_id: 0,
            draining: false,
            pending_reports: Vec::new(),
        }
    }

    /// Holds the name for a new life, above the one that the log has. A live registration is never taken over.
    pub fn reserve(
        &mut self,
        now: Microseconds,
        logged: Incarnation,
        registration: Registration,
        secret: String,
    ) -> Result<Incarnation, Error> {
        let held = self.backends.get(&registration.name);
        if self.draining {
            return Err(Error::new(ErrorKind::ShuttingDown, "this node is leaving"));
        }
        if held.is_some_and(|held| {
            matches!(
                held.state,
                RegistrationState::Live | RegistrationState::Draining
            ) && now < held.last_heartbeat + self.config.heartbeat_timeout
        }) {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!("the name {:?} has a live registration", registration.name),
            ));
        }
        // An address that now belongs to another back end reaches nobody else any more.
        let previous = self.backends.values_mut().filter(|held| {
            held.registration.address == registration.address
                && held.registration.name != registration.name
        });
        previous
            .filter(|held| held.state != RegistrationState::Gone)
            .for_each(|held| {
                held.state = RegistrationState::Gone;
                let (name, incarnation) = (held.registration.name.clone(), held.incarnation);
                self.pending_reports.push(EndpointReport::PhaseChanged {
                    name,
                    incarnation,
                    phase: model::BackendPhase::PresumedGone,
                });
            });
        let held = self.backends.get(&registration.name);
        let incarnation =
            model::incarnation::successor(logged.max(held.map_or(0, |held| held.incarnation)));
        let told_slots = registration.slots;
        let place = RegisteredBackend {
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
            reported_slots: told_slots,
            earlier_incarnations: Vec::new(),
        };
        self.backends.insert(place.registration.name.clone(), place);
        Ok(incarnation)
    }

    pub fn confirm(
        &mut self,
        now: Microseconds,
        name: &str,
        incarnation: Incarnation,
        accepted: bool,
    ) {
        let Some(place) = self
            .backends
            .get_mut(name)
            .filter(|place| place.incarnation == incarnation)
        else {
            return;
        };
        match accepted {
            true if place.state == RegistrationState::Pending => {
                place.state = if place.draining {
                    RegistrationState::Draining
                } else {
                    RegistrationState::Live
                };
                place.last_heartbeat = now;
                if place.draining {
                    self.pending_reports.push(EndpointReport::PhaseChanged {
                        name: name.to_string(),
                        incarnation,
                        phase: model::BackendPhase::Draining,
                    });
                }
            }
            true => {}
            false => place.state = RegistrationState::Gone,
        }
    }

    /// A beat counts only with the secret of this life. Other slots than before hold here at once.
    pub fn heartbeat(
        &mut self,
        now: Microseconds,
        secret: &str,
        draining: bool,
        slots: Option<u32>,
    ) -> Option<String> {
        let place = self
            .backends
            .values_mut()
            .find(|place| place.secret == secret && place.state != RegistrationState::Gone)?;
        place.last_heartbeat = now;
        place.draining |= draining;
        slots
            .into_iter()
            .for_each(|slots| place.registration.slots = slots);
        if place.draining && place.state == RegistrationState::Live {
            place.state = RegistrationState::Draining;
            let (name, incarnation) = (place.registration.name.clone(), place.incarnation);
            self.pending_reports.push(EndpointReport::PhaseChanged {
                name,
                incarnation,
                phase: model::BackendPhase::Draining,
            });
        }
        Some(place.registration.name.clone())
    }

    pub fn deregister(&mut self, secret: &str) -> bool {
        let place = self
            .backends
            .values_mut()
            .find(|place| place.secret == secret && place.state != RegistrationState::Gone);
        place
            .map(|place| {
                place.state = RegistrationState::Gone;
                let (name, incarnation) = (place.registration.name.clone(), place.incarnation);
                self.pending_reports.push(EndpointReport::PhaseChanged {
                    name,
                    incarnation,
                    phase: model::BackendPhase::Deregistered,
                });
            })
            .is_some()
    }

    /// Takes no more work; what was passed on runs to its end.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    pub fn running(&self) -> usize {
        self.backends
            .values()
            .map(|place| place.running.len())
            .sum()
    }

    pub fn queued(&self) -> usize {
        self.backends.values().map(|place| place.queued.len()).sum()
    }

    pub fn services(&self) -> model::state_slice::ServiceSet {
        self.backends
            .values()
            .filter(|place| place.state != RegistrationState::Gone)
            .map(|place| place.registration.service.clone())
            .collect()
    }

    /// Secrets that may send, with the service each speaks for.
    pub fn clients(&self) -> HashMap<String, crate::ClientId> {
        self.backends
            .values()
            .filter(|place| place.state != RegistrationState::Gone)
            .map(|place| {
                let (name, service) = (
                    place.registration.name.clone(),
                    place.registration.service.clone(),
                );
                let (incarnation, prefix) = (
                    place.incarnation,
                    crate::forwarded_attempts::attempt_prefix(&name, place.registered_incarnation),
                );
                (
                    place.secret.clone(),
                    crate::ClientId {
                        name,
                        service,
                        incarnation,
                        attempt_prefix: prefix,
                    },
                )
            })
            .collect()
    }

    pub fn take_reports(&mut self) -> Vec<EndpointReport> {
        std::mem::take(&mut self.pending_reports)
    }

    pub fn backend(&self, name: &str) -> Option<model::Backend> {
        self.backends
            .get(name)
            .map(|place| place.backend(&self.config.node))
    }
}

impl RegisteredBackend {
    pub(crate) fn backend(&self, node: &str) -> model::Backend {
        model::Backend {
            service: self.registration.service.clone(),
            zone: self.registration.zone.clone(),
            labels: self.registration.labels.clone(),
            slots: self.registration.slots,
            node: node.to_string(),
            incarnation: self.incarnation,
            phase: model::BackendPhase::Registered,
            changed_at: 0,
        }
    }
}
