//! The back ends beside this node: slots, buffers, tries. Pure, with the time told to it (design 5.3).

use model::{Cause, Incarnation, Micros, Trouble, standing::Report};

#[derive(Clone, Debug)]
pub struct HouseEnv {
    pub node: String,
    pub zone: String,
    /// A back end silent for so long is presumed gone.
    pub beat_patience: Micros,
    /// How long a proof lasts, and what clocks may differ by: a next key holder waits both out.
    pub bound: Micros,
    pub guard: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
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

pub(crate) struct Place {
    pub registration: Registration,
    pub incarnation: Incarnation,
    /// The life told to the back end when it registered; its tries are named under it.
    pub registered: Incarnation,
    pub secret: String,
    pub stand: Stand,
    /// Said by the back end itself; no new life in the log takes it back.
    pub draining: bool,
    pub heard: Micros,
    /// Run number to key.
    pub running: std::collections::BTreeMap<u64, Option<String>>,
    pub waiting: Vec<Waiter>,
    pub told_released: model::Position,
    /// What the log was last told.
    pub told_slots: u32,
    /// Lives this very back end had before the log took it for gone; their runs are counted here too.
    pub earlier: Vec<Incarnation>,
}

pub(crate) struct Waiter {
    pub ticket: u64,
    pub until: Micros,
    pub dispatch: transport::Dispatch,
}

/// Leave to pass one request on, once.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    pub run: u64,
    pub name: String,
    pub address: String,
    pub until: Micros,
    /// The sender's service and the try, as the duplicates' table knows it.
    pub identity: (String, String),
    pub key: Option<String>,
}

pub type Granted = Vec<(u64, Result<Permit, Trouble>)>;

pub struct House {
    pub(crate) env: HouseEnv,
    pub(crate) places: std::collections::BTreeMap<String, Place>,
    pub(crate) tries: crate::tries::Tries,
    /// When each key term was first seen here with its fence.
    pub(crate) fences: std::collections::BTreeMap<(String, u16), (model::Position, Micros)>,
    /// The slice whose terms `fences` was last brought up to.
    pub(crate) fenced: std::sync::Arc<model::Slice>,
    pub(crate) runs: u64,
    pub(crate) leaving: bool,
    pub(crate) outbox: Vec<Report>,
}

impl House {
    pub fn new(env: HouseEnv) -> Self {
        House {
            env,
            places: Default::default(),
            tries: Default::default(),
            fences: Default::default(),
            fenced: Default::default(),
            runs: 0,
            leaving: false,
            outbox: Vec::new(),
        }
    }

    /// Holds the name for a new life, above the one that the log has. A live registration is never taken over.
    pub fn reserve(&mut self, now: Micros, logged: Incarnation, registration: Registration, secret: String) -> Result<Incarnation, Trouble> {
        let held = self.places.get(&registration.name);
        if self.leaving {
            return Err(Trouble::new(Cause::Leaving, "this node is leaving"));
        }
        if held.is_some_and(|held| matches!(held.stand, Stand::Live | Stand::Draining) && now < held.heard + self.env.beat_patience) {
            return Err(Trouble::new(Cause::BadRequest, format!("the name {:?} has a live registration", registration.name)));
        }
        // An address that now belongs to another back end reaches nobody else any more.
        let previous = self.places.values_mut().filter(|held| held.registration.address == registration.address && held.registration.name != registration.name);
        previous.filter(|held| held.stand != Stand::Gone).for_each(|held| {
            held.stand = Stand::Gone;
            let (name, incarnation) = (held.registration.name.clone(), held.incarnation);
            self.outbox.push(Report::Phase { name, incarnation, phase: model::Phase::PresumedGone });
        });
        let held = self.places.get(&registration.name);
        let incarnation = model::incarnation::after(logged.max(held.map_or(0, |held| held.incarnation)));
        let told_slots = registration.slots;
        let place = Place {
            registration,
            incarnation,
            registered: incarnation,
            secret,
            stand: Stand::Pending,
            draining: false,
            heard: now,
            running: Default::default(),
            waiting: Vec::new(),
            told_released: 0,
            told_slots,
            earlier: Vec::new(),
        };
        self.places.insert(place.registration.name.clone(), place);
        Ok(incarnation)
    }

    pub fn confirm(&mut self, now: Micros, name: &str, incarnation: Incarnation, accepted: bool) {
        let Some(place) = self.places.get_mut(name).filter(|place| place.incarnation == incarnation) else { return };
        match accepted {
            true if place.stand == Stand::Pending => {
                place.stand = if place.draining { Stand::Draining } else { Stand::Live };
                place.heard = now;
                if place.draining {
                    self.outbox.push(Report::Phase { name: name.to_string(), incarnation, phase: model::Phase::Draining });
                }
            }
            true => {}
            false => place.stand = Stand::Gone,
        }
    }

    /// A beat counts only with the secret of this life. Other slots than before hold here at once.
    pub fn beat(&mut self, now: Micros, secret: &str, draining: bool, slots: Option<u32>) -> Option<String> {
        let place = self.places.values_mut().find(|place| place.secret == secret && place.stand != Stand::Gone)?;
        place.heard = now;
        place.draining |= draining;
        slots.into_iter().for_each(|slots| place.registration.slots = slots);
        if place.draining && place.stand == Stand::Live {
            place.stand = Stand::Draining;
            let (name, incarnation) = (place.registration.name.clone(), place.incarnation);
            self.outbox.push(Report::Phase { name, incarnation, phase: model::Phase::Draining });
        }
        Some(place.registration.name.clone())
    }

    pub fn sign_off(&mut self, secret: &str) -> bool {
        let place = self.places.values_mut().find(|place| place.secret == secret && place.stand != Stand::Gone);
        place
            .map(|place| {
                place.stand = Stand::Gone;
                let (name, incarnation) = (place.registration.name.clone(), place.incarnation);
                self.outbox.push(Report::Phase { name, incarnation, phase: model::Phase::SignedOff });
            })
            .is_some()
    }

    /// Takes no more work; what was passed on runs to its end.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    pub fn running(&self) -> usize {
        self.places.values().map(|place| place.running.len()).sum()
    }

    pub fn waiting(&self) -> usize {
        self.places.values().map(|place| place.waiting.len()).sum()
    }

    pub fn services(&self) -> model::slice::Services {
        self.places.values().filter(|place| place.stand != Stand::Gone).map(|place| place.registration.service.clone()).collect()
    }

    /// Secrets that may send, with the service each speaks for.
    pub fn senders(&self) -> std::collections::HashMap<String, crate::SenderId> {
        self.places
            .values()
            .filter(|place| place.stand != Stand::Gone)
            .map(|place| {
                let (name, service) = (place.registration.name.clone(), place.registration.service.clone());
                let (incarnation, prefix) = (place.incarnation, crate::tries::prefix(&name, place.registered));
                (place.secret.clone(), crate::SenderId { name, service, incarnation, prefix })
            })
            .collect()
    }

    pub fn reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.outbox)
    }

    pub fn back_end(&self, name: &str) -> Option<model::BackEnd> {
        self.places.get(name).map(|place| place.back_end(&self.env.node))
    }
}

impl Place {
    pub(crate) fn back_end(&self, node: &str) -> model::BackEnd {
        model::BackEnd {
            service: self.registration.service.clone(),
            zone: self.registration.zone.clone(),
            labels: self.registration.labels.clone(),
            slots: self.registration.slots,
            node: node.to_string(),
            incarnation: self.incarnation,
            phase: model::Phase::Registered,
            since: 0,
        }
    }
}
