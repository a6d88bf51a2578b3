//! Beside the sender: lane, pick, dispatch, and dispatch again where that is allowed (design 5.2).

use playbill::{Cause, Trouble, Verdict};

/// One request as its sender put it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub try_id: String,
    pub service: String,
    pub method: String,
    pub path: String,
    /// With its question mark, or empty; orders do not look at it.
    pub query: String,
    pub headers: wings::Headers,
    pub body: Vec<u8>,
    pub key: Option<String>,
    /// What the sender says it will wait; none leaves it to the order.
    pub wait: Option<playbill::Micros>,
}

#[derive(Clone)]
pub struct Near {
    pub node: String,
    pub zone: String,
    pub view: gallery::view::SharedView,
    pub far: crate::Far,
    pub mates: crate::mates::Mates,
    pub picker: crate::picker::PickerDesk,
    pub budget: crate::budget::BudgetDesk,
    pub taken: crate::taken::TakenDesk,
    pub calls: crate::calls::Calls,
}

impl Near {
    /// After `leave`: every call that was under way has its answer.
    pub async fn ended(&self) {
        self.calls.ended().await;
    }

    pub fn leave(&self) {
        self.calls.leave();
    }

    /// Before anything else is looked at: each try is taken once, in this life of its sender's registration.
    pub async fn take(&self, sender: &crate::SenderId, try_id: &str) -> Result<(), Trouble> {
        if !try_id.starts_with(&sender.prefix) {
            return Err(Trouble::new(
                Cause::EarlierLife,
                format!("tries of this registration are named {}…; what became of this one is not known here", sender.prefix),
            ));
        }
        self.taken.take(try_id).await
    }

    /// One try that was taken, to its one answer.
    pub async fn call(&self, sender: crate::SenderId, ask: Ask) -> Result<wings::Reply, Trouble> {
        let try_id = ask.try_id.clone();
        let answer = self.perform(sender, ask).await;
        self.settle(&try_id, answer.as_ref().err()).await;
        answer
    }

    /// What certainly did not run stays so, whoever sends it again.
    pub async fn settle(&self, try_id: &str, trouble: Option<&Trouble>) {
        if let Some(trouble) = trouble.filter(|trouble| trouble.verdict == Verdict::NotRun) {
            self.taken.did_not_run(try_id, trouble.clone()).await;
        }
    }

    async fn perform(&self, sender: crate::SenderId, ask: Ask) -> Result<wings::Reply, Trouble> {
        let _under_way = self.calls.begin().ok_or_else(|| Trouble::new(Cause::Leaving, "this usher is stopping").later(1_000_000))?;
        let began = playbill::now();
        let view = self.view.load_full();
        if !view.fresh(began) {
            return Err(Trouble::new(Cause::NotFresh, "no proof that the state held here is current").later(500_000));
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
        self.budget.first(&ask.service).await;
        let until = began + ask.wait.unwrap_or(order.wait_us).min(order.wait_us);
        let mut passed_over: Vec<String> = Vec::new();
        let mut may_have_run = None;
        let mut ordinal = 0;
        loop {
            let now = playbill::now();
            if now >= until {
                let late = Trouble::new(Cause::TooLate, "the wait was over before it could be dispatched");
                return Err(may_have_run.unwrap_or(late));
            }
            let trouble = match self.dispatch(&sender, &ask, (&lane, &order), (until - now, ordinal), &passed_over).await {
                Ok(reply) => return Ok(reply),
                Err((picked, trouble)) => {
                    passed_over.extend(picked);
                    trouble
                }
            };
            if trouble.verdict == Verdict::MayHaveRun {
                may_have_run = Some(trouble.clone());
                // A repeat of what may have run is told apart from a second arrival of the same dispatch.
                ordinal += 1;
            }
            let again = worth_another(&trouble) && (trouble.verdict == Verdict::NotRun || order.repeatable);
            if !again || !self.budget.extra(&ask.service).await {
                // Once one dispatch may have run, no later refusal makes the try not run.
                return Err(may_have_run.unwrap_or(trouble));
            }
            slog::info!(self.far.logger, "dispatched again"; "service" => &ask.service, "at" => playbill::now(), "after" => trouble.cause.code());
        }
    }

    async fn dispatch(
        &self,
        sender: &crate::SenderId,
        ask: &Ask,
        (lane, order): (&str, &playbill::Order),
        (left, ordinal): (playbill::Micros, u32),
        passed_over: &[String],
    ) -> Result<wings::Reply, (Option<String>, Trouble)> {
        let view = self.view.load_full();
        if !view.fresh(playbill::now()) {
            return Err((None, Trouble::new(Cause::NotFresh, "no proof that the state held here is current").later(500_000)));
        }
        let slice = &view.slice;
        let term = ask.key.as_deref().filter(|_| order.keyed).map(|key| slice.term(&ask.service, key));
        let holder = term.map(|term| term.and_then(|term| term.holder.as_ref()).map(|(name, _)| name.as_str()));
        let fitting: Vec<crate::picker::Candidate> = slice
            .back_ends
            .iter()
            .filter(|(name, back_end)| {
                back_end.service == ask.service
                    && back_end.takes_work()
                    && back_end.slots > 0
                    && order.selector.labels.iter().all(|(name, value)| back_end.labels.get(name) == Some(value))
                    && holder.is_none_or(|holder| holder == Some(name.as_str()))
            })
            .map(|(name, back_end)| crate::picker::Candidate { name: name.clone(), slots: back_end.slots, near: back_end.zone == self.zone })
            .filter(|candidate| candidate.near || order.leave_zone)
            .collect();
        // Somebody else than before; but a key has one holder, who may be asked again.
        let candidates = fitting.into_iter().filter(|candidate| holder.is_some() || !passed_over.contains(&candidate.name)).collect();
        let Some(picked) = self.picker.pick(candidates).await else {
            let cause = if holder.is_some() { Cause::KeyUnheld } else { Cause::NoBackEnd };
            return Err((None, Trouble::new(cause, format!("no back end of {:?} can take it now", ask.service)).later(500_000)));
        };
        let (incarnation, node_name) = slice.back_ends.get(&picked).map(|held| (held.incarnation, held.node.clone())).unwrap_or_default();
        let dispatch = wings::Dispatch {
            number: 0,
            try_id: ask.try_id.clone(),
            ordinal,
            sender_service: sender.service.clone(),
            lane: lane.to_string(),
            service: ask.service.clone(),
            back_end: picked.clone(),
            incarnation,
            method: ask.method.clone(),
            path: ask.path.clone(),
            query: ask.query.clone(),
            headers: ask.headers.clone(),
            body: ask.body.clone(),
            key: ask.key.clone().filter(|_| order.keyed),
            fence: term.flatten().map(|term| term.fence),
            left,
            importance: order.importance,
            mark: 0,
        };
        let place = slice.nodes.get(&node_name).map(|node| (node.address.clone(), node.incarnation));
        let reply = match place {
            _ if node_name == self.node => self.far.perform(dispatch).await,
            Some((address, life)) => self.mates.call(&address, life, dispatch).await,
            None => Err(Trouble::new(Cause::Unreachable, "the node beside the back end is not known")),
        };
        let bench = matches!(&reply, Err(trouble) if trouble.cause != Cause::DuplicateTry);
        self.picker.done(&picked, bench).await;
        reply.map_err(|trouble| (Some(picked), trouble))
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
