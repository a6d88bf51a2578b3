//! The last check before a request is passed on (design 5.3).

use crate::house::{House, Place, Stand};
use model::{Cause, Micros, Trouble};

impl House {
    /// Every reason not to pass it on is certain: nothing has left for the back end yet.
    pub(crate) fn judge(&self, now: Micros, view: &control::View, dispatch: &transport::Dispatch) -> Result<&Place, Trouble> {
        if self.leaving {
            return Err(Trouble::new(Cause::Leaving, "this node is leaving"));
        }
        let place = self
            .places
            .get(&dispatch.back_end)
            .filter(|place| place.incarnation == dispatch.incarnation && place.registration.service == dispatch.service)
            .ok_or_else(|| Trouble::new(Cause::WrongIncarnation, "that life of the back end is not beside this node"))?;
        match place.stand {
            _ if place.draining => return Err(Trouble::new(Cause::Draining, "the back end is draining")),
            Stand::Live => {}
            Stand::Draining => return Err(Trouble::new(Cause::Draining, "the back end is draining")),
            Stand::Pending | Stand::Gone => return Err(Trouble::new(Cause::WrongIncarnation, "the back end is not there")),
        }
        if now >= place.heard + self.env.beat_patience {
            return Err(Trouble::new(Cause::NoBackEnd, "the back end has gone silent"));
        }
        if !view.fresh(now) {
            return Err(Trouble::new(Cause::NotFresh, "no proof that the state held here is current").later(500_000));
        }
        let logged = view.slice.back_ends.get(&dispatch.back_end).filter(|held| held.incarnation == dispatch.incarnation);
        match logged.map(|held| held.phase) {
            Some(model::Phase::Registered) => {}
            Some(model::Phase::Draining) => return Err(Trouble::new(Cause::Draining, "the back end is draining")),
            _ => return Err(Trouble::new(Cause::WrongIncarnation, "the log does not know this life as registered")),
        }
        let lane = view.slice.lane(&dispatch.sender_service, &dispatch.service, &dispatch.method, &dispatch.path);
        let (_, order) = lane.ok_or_else(|| Trouble::new(Cause::NoLane, "no standing order lets it through"))?;
        let labels = &place.registration.labels;
        if !order.selector.labels.iter().all(|(name, value)| labels.get(name) == Some(value)) {
            return Err(Trouble::new(Cause::NoLane, "the order asks for other labels"));
        }
        if order.keyed {
            self.judge_key(now, view, dispatch, place)?;
        }
        if self.tries.knows(&dispatch.sender_service, &House::identity(dispatch)) {
            return Err(Trouble::new(Cause::DuplicateTry, "this try was passed on before"));
        }
        Ok(place)
    }

    /// The fence must be the one the log gives now, and every earlier holder must be done.
    fn judge_key(&self, now: Micros, view: &control::View, dispatch: &transport::Dispatch, place: &Place) -> Result<(), Trouble> {
        let key = dispatch.key.as_deref().ok_or_else(|| Trouble::new(Cause::BadRequest, "this lane needs a key"))?;
        let term = view.slice.term(&dispatch.service, key).ok_or_else(|| Trouble::new(Cause::KeyUnheld, "nobody holds the key"))?;
        let holder = term.holder.as_ref().is_some_and(|(name, life)| *name == dispatch.back_end && *life == place.incarnation);
        if !holder || dispatch.fence != Some(term.fence) {
            return Err(Trouble::new(Cause::StaleFence, "the key has moved"));
        }
        if term.owed.is_empty() {
            return Ok(());
        }
        let slice = model::terms::slice_of(key);
        let seen = self.fences.get(&(dispatch.service.clone(), slice)).filter(|(fence, _)| *fence == term.fence);
        let longest = view.slice.longest.get(&dispatch.service).copied().unwrap_or(0);
        let free = seen.map(|(_, seen)| seen + self.env.bound + self.env.guard + longest);
        match free {
            Some(free) if now >= free => Ok(()),
            Some(free) => Err(Trouble::new(Cause::KeyUnheld, "an earlier holder may still be serving the key").later(free - now)),
            None => Err(Trouble::new(Cause::KeyUnheld, "the move of the key is news here").later(100_000)),
        }
    }

    pub(crate) fn identity(dispatch: &transport::Dispatch) -> String {
        format!("{} {}", dispatch.ordinal, dispatch.try_id)
    }

    /// No key may fill all slots of its back end.
    pub(crate) fn key_share(slots: u32) -> usize {
        (slots as usize - (slots as usize).div_ceil(4)).max(1)
    }
}
