//! Slots and bounded buffers: who goes in, who waits, who gives way (design 5.3, 5.7).

use crate::house::{Granted, House, Permit, Stand, Waiter};
use model::{Cause, Incarnation, Micros, Trouble, standing::Report};

const SHED_RETRY: Micros = 250_000;

impl House {
    /// Takes one request. The answer comes at once or from a later `pump`, always exactly one.
    pub fn enter(&mut self, now: Micros, view: &control::View, ticket: u64, dispatch: transport::Dispatch) -> Granted {
        let until = now + dispatch.left;
        let checked = match dispatch.left {
            0 => Err(Trouble::new(Cause::TooLate, "no time is left")),
            _ => self.judge(now, view, &dispatch).map(|_| ()),
        };
        if let Err(trouble) = checked {
            return vec![(ticket, Err(trouble))];
        }
        if self.room(&dispatch) {
            return vec![(ticket, Ok(self.grant(now, until, &dispatch)))];
        }
        self.queue_up(Waiter { ticket, until, dispatch })
    }

    fn room(&self, dispatch: &transport::Dispatch) -> bool {
        self.places.get(&dispatch.back_end).is_some_and(|place| {
            let slots = place.registration.slots;
            let same = place.running.values().filter(|key| key.is_some() && **key == dispatch.key).count();
            place.running.len() < slots as usize && (dispatch.key.is_none() || slots < 2 || same < House::key_share(slots))
        })
    }

    fn grant(&mut self, now: Micros, until: Micros, dispatch: &transport::Dispatch) -> Permit {
        self.runs += 1;
        self.tries.note(now, &dispatch.sender_service, &House::identity(dispatch));
        let run = self.runs;
        let address = self
            .places
            .get_mut(&dispatch.back_end)
            .map(|place| {
                place.running.insert(run, dispatch.key.clone());
                place.registration.address.clone()
            })
            .unwrap_or_default();
        let identity = (dispatch.sender_service.clone(), House::identity(dispatch));
        Permit { run, name: dispatch.back_end.clone(), address, until, identity, key: dispatch.key.clone() }
    }

    fn queue_up(&mut self, waiter: Waiter) -> Granted {
        let Some(place) = self.places.get_mut(&waiter.dispatch.back_end) else { return Vec::new() };
        // Twice the slots: longer buffers only age requests (design 5.7).
        let bound = (place.registration.slots as usize * 2).max(4);
        let same = place.waiting.iter().filter(|held| held.dispatch.key.is_some() && held.dispatch.key == waiter.dispatch.key).count();
        if same >= bound / 2 {
            let trouble = Trouble::new(Cause::KeyCrowded, "the key has filled its share of the buffer").later(SHED_RETRY);
            return vec![(waiter.ticket, Err(trouble))];
        }
        let full = || Trouble::new(Cause::Overloaded, "the buffer is full").later(SHED_RETRY);
        let mut shed = Vec::new();
        if place.waiting.len() >= bound {
            let least = place.waiting.iter().enumerate().min_by_key(|(at, held)| (held.dispatch.importance, std::cmp::Reverse(*at)));
            match least.filter(|(_, held)| held.dispatch.importance < waiter.dispatch.importance).map(|(at, _)| at) {
                Some(at) => shed.push((place.waiting.remove(at).ticket, Err(full()))),
                None => return vec![(waiter.ticket, Err(full()))],
            }
        }
        place.waiting.push(waiter);
        shed
    }

    /// `unsent` names a try that certainly never left for the back end.
    pub fn done(&mut self, permit: &Permit, unsent: bool) {
        if let Some(place) = self.places.get_mut(&permit.name) {
            place.running.remove(&permit.run);
        }
        if unsent {
            self.tries.unnote(&permit.identity.0, &permit.identity.1);
        }
    }

    /// Called whenever a slot, the view or time has moved: late waiters are told so at once, and
    /// free slots go to the most important, first come first.
    pub fn pump(&mut self, now: Micros, view: &control::View) -> Granted {
        self.tries.forget(now);
        self.notice(now, view);
        let names: Vec<String> = self.places.iter().filter(|(_, place)| !place.waiting.is_empty()).map(|(name, _)| name.clone()).collect();
        names.into_iter().flat_map(|name| self.pump_one(now, view, &name)).collect()
    }

    fn pump_one(&mut self, now: Micros, view: &control::View, name: &str) -> Granted {
        let mut waiting = self.places.get_mut(name).map(|place| std::mem::take(&mut place.waiting)).unwrap_or_default();
        waiting.sort_by_key(|waiter| std::cmp::Reverse(waiter.dispatch.importance));
        let mut granted = Vec::new();
        let mut kept = Vec::new();
        waiting.into_iter().for_each(|waiter| {
            let judged = if waiter.until <= now {
                Err(Trouble::new(Cause::TooLate, "its time ran out in the buffer"))
            } else {
                self.judge(now, view, &waiter.dispatch).map(|_| ())
            };
            match judged {
                Err(trouble) => granted.push((waiter.ticket, Err(trouble))),
                Ok(()) if self.room(&waiter.dispatch) => granted.push((waiter.ticket, Ok(self.grant(now, waiter.until, &waiter.dispatch)))),
                Ok(()) => kept.push(waiter),
            }
        });
        kept.sort_by_key(|waiter| waiter.ticket);
        if let Some(place) = self.places.get_mut(name) {
            place.waiting = kept;
        }
        granted
    }

    /// Silence, moved key terms, and a log that took a live back end for gone.
    fn notice(&mut self, now: Micros, view: &control::View) {
        let patience = self.env.beat_patience;
        let mut reports = Vec::new();
        let leaving = self.leaving;
        self.places.values_mut().filter(|place| matches!(place.stand, Stand::Live | Stand::Draining)).for_each(|place| {
            let name = place.registration.name.clone();
            let logged = view.slice.back_ends.get(&name).filter(|held| held.incarnation == place.incarnation);
            if now >= place.heard + patience {
                place.stand = Stand::Gone;
                reports.push(Report::Phase { name, incarnation: place.incarnation, phase: model::Phase::PresumedGone });
            } else if !leaving && logged.is_some_and(|held| held.phase == model::Phase::PresumedGone) {
                // It beats, so it lives: a new life in the log, and the old one's dispatches are void.
                place.earlier.push(place.incarnation);
                place.incarnation += 1;
                place.stand = Stand::Pending;
                place.told_slots = place.registration.slots;
                reports.push(Report::Registered { name, back_end: place.back_end(&self.env.node) });
            } else if place.told_slots != place.registration.slots {
                place.told_slots = place.registration.slots;
                reports.push(Report::Slots { name, incarnation: place.incarnation, slots: place.told_slots });
            }
        });
        self.notice_terms(now, view, &mut reports);
        self.outbox.extend(reports);
    }

    /// Once for each slice of news, not for each request.
    fn notice_fences(&mut self, now: Micros, view: &control::View) {
        if std::sync::Arc::ptr_eq(&self.fenced, &view.slice) {
            return;
        }
        self.fenced = view.slice.clone();
        view.slice.terms.iter().flat_map(|(service, terms)| terms.iter().zip(0u16..).map(move |(term, at)| (service, term, at))).for_each(
            |(service, term, at)| {
                let held = self.fences.entry((service.clone(), at)).or_insert((term.fence, now));
                if held.0 != term.fence {
                    *held = (term.fence, now);
                }
            },
        );
    }

    fn notice_terms(&mut self, now: Micros, view: &control::View, reports: &mut Vec<Report>) {
        let position = view.slice.position;
        self.notice_fences(now, view);
        view.slice.terms.iter().for_each(|(service, terms)| {
            self.places.values_mut().filter(|place| place.registration.service == *service).for_each(|place| {
                let name = place.registration.name.clone();
                let holder = (name.clone(), place.incarnation);
                let owing: std::collections::BTreeSet<Incarnation> = terms
                    .iter()
                    .flat_map(|term| &term.owed)
                    .filter(|((owing, life), lost)| {
                        *owing == name && *lost > place.told_released && (*life == place.incarnation || place.earlier.contains(life))
                    })
                    .map(|((_, life), _)| *life)
                    .collect();
                let busy = place.running.values().flatten().any(|key| {
                    let term = terms.get(model::terms::slice_of(key) as usize);
                    term.and_then(|term| term.holder.as_ref()) != Some(&holder)
                });
                if !owing.is_empty() && !busy {
                    place.told_released = position;
                    reports.extend(owing.into_iter().map(|incarnation| Report::Released {
                        service: service.clone(),
                        name: name.clone(),
                        incarnation,
                        through: position,
                    }));
                }
            });
        });
    }
}
