//! The course of one try: all that is decided between its waits. Pure, with view and time told to it (design 5.2).

use crate::near::Ask;
use crate::picker::Candidate;
use model::{Cause, Micros, Trouble, Verdict};

/// Address and life of the node beside the picked back end; none when it is this one.
pub type Place = Option<(String, u64)>;

pub struct Course {
    sender: crate::SenderId,
    ask: Ask,
    lane: String,
    order: model::Order,
    until: Micros,
    /// Counts the repeats of what may have run, so that a repeat is told apart from a second arrival.
    ordinal: u32,
    passed_over: Vec<String>,
    may_have_run: Option<Trouble>,
}

impl Course {
    pub fn begin(view: &control::View, now: Micros, sender: crate::SenderId, ask: Ask) -> Result<Course, Trouble> {
        if !view.fresh(now) {
            return Err(Trouble::new(Cause::NotFresh, "no proof that the state held here is current"));
        }
        if !view.slice.services.contains(&sender.service) {
            return Err(Trouble::new(Cause::NotFresh, "the news of the sender's own service is still on its way").later(100_000));
        }
        if !view.slice.back_ends.contains_key(&sender.name) {
            return Err(Trouble::new(Cause::NoLane, format!("no grouping holds {:?} any more, so it speaks for no service", sender.name)));
        }
        let lane = view.slice.lane(&sender.service, &ask.service, &ask.method, &ask.path);
        let Some((lane, order)) = lane.map(|(name, order)| (name.clone(), order.clone())) else {
            return Err(Trouble::new(Cause::NoLane, format!("no standing order lets {:?} send this to {:?}", sender.service, ask.service)));
        };
        if order.keyed && ask.key.is_none() {
            return Err(Trouble::new(Cause::BadRequest, "this lane needs the header x-gradeford-key"));
        }
        let until = now + ask.wait.unwrap_or(order.wait_us).min(order.wait_us);
        Ok(Course { sender, ask, lane, order, until, ordinal: 0, passed_over: Vec::new(), may_have_run: None })
    }

    pub fn service(&self) -> &str {
        &self.ask.service
    }

    pub fn until(&self) -> Micros {
        self.until
    }

    fn term<'a>(&self, view: &'a control::View) -> Option<&'a model::terms::Term> {
        let key = self.ask.key.as_deref().filter(|_| self.order.keyed)?;
        view.slice.term(&self.ask.service, key)
    }

    /// Whom it may go to now; a trouble ends the try.
    pub fn candidates(&self, view: &control::View, now: Micros, zone: &str) -> Result<Vec<Candidate>, Trouble> {
        if now >= self.until {
            return Err(self.given_up(Trouble::new(Cause::TooLate, "the wait was over before it could be dispatched")));
        }
        if !view.fresh(now) {
            return Err(self.given_up(Trouble::new(Cause::NotFresh, "no proof that the state held here is current")));
        }
        let keyed = self.order.keyed;
        let holder = self.term(view).and_then(|term| term.holder.as_ref()).map(|(name, _)| name.as_str());
        let labels = &self.order.selector.labels;
        let fitting = view.slice.back_ends.iter().filter(|(name, back_end)| {
            back_end.service == self.ask.service
                && back_end.takes_work()
                && back_end.slots > 0
                && labels.iter().all(|(name, value)| back_end.labels.get(name) == Some(value))
                // Somebody else than before; but a key has one holder, who may be asked again.
                && if keyed { holder == Some(name.as_str()) } else { !self.passed_over.contains(name) }
        });
        Ok(fitting
            .map(|(name, back_end)| Candidate { name: name.clone(), slots: back_end.slots, near: back_end.zone == zone })
            .filter(|candidate| candidate.near || self.order.leave_zone)
            .collect())
    }

    /// Nobody was there to be picked.
    pub fn nobody(&self) -> Trouble {
        let cause = if self.order.keyed { Cause::KeyUnheld } else { Cause::NoBackEnd };
        self.given_up(Trouble::new(cause, format!("no back end of {:?} can take it now", self.ask.service)))
    }

    pub fn dispatch(&self, view: &control::View, now: Micros, picked: &str, node: &str) -> Result<(transport::Dispatch, Place), Trouble> {
        let (incarnation, beside) = view.slice.back_ends.get(picked).map(|held| (held.incarnation, held.node.clone())).unwrap_or_default();
        let place = view.slice.nodes.get(&beside).map(|held| (held.address.clone(), held.incarnation));
        let place =
            if beside == node { None } else { Some(place.ok_or_else(|| Trouble::new(Cause::Unreachable, "the node beside the back end is not known"))?) };
        let dispatch = transport::Dispatch {
            number: 0,
            try_id: self.ask.try_id.clone(),
            ordinal: self.ordinal,
            sender_service: self.sender.service.clone(),
            lane: self.lane.clone(),
            service: self.ask.service.clone(),
            back_end: picked.to_string(),
            incarnation,
            method: self.ask.method.clone(),
            path: self.ask.path.clone(),
            query: self.ask.query.clone(),
            headers: self.ask.headers.clone(),
            body: self.ask.body.clone(),
            key: self.ask.key.clone().filter(|_| self.order.keyed),
            fence: self.term(view).map(|term| term.fence),
            left: self.until.saturating_sub(now),
            importance: self.order.importance,
            mark: 0,
        };
        Ok((dispatch, place))
    }

    /// Whether another dispatch is allowed and worth it, if the budget has one.
    pub fn may_go_again(&mut self, picked: &str, trouble: &Trouble) -> bool {
        self.passed_over.push(picked.to_string());
        if trouble.verdict == Verdict::MayHaveRun {
            self.may_have_run = Some(trouble.clone());
            self.ordinal += 1;
        }
        worth_another(trouble) && (trouble.verdict == Verdict::NotRun || self.order.repeatable)
    }

    /// Once one dispatch may have run, no later refusal makes the try not run.
    pub fn given_up(&self, trouble: Trouble) -> Trouble {
        self.may_have_run.clone().unwrap_or(trouble)
    }
}

/// Troubles another back end, or a moment later, may not have.
fn worth_another(trouble: &Trouble) -> bool {
    !matches!(
        trouble.cause,
        Cause::NoLane
            | Cause::BadRequest
            | Cause::TooLarge
            | Cause::TooLate
            | Cause::DuplicateTry
            | Cause::EarlierLife
            | Cause::NotFresh
            | Cause::NoBackEnd
            | Cause::KeyUnheld
            | Cause::KeyCrowded
            | Cause::UnknownSender
            | Cause::RanOutOfTime
    )
}
