//! Beside the sender: lane, pick, dispatch, and dispatch again where that is allowed (design 5.2).

use model::{Cause, Trouble, Verdict};

/// One request as its sender put it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub try_id: String,
    pub service: String,
    pub method: String,
    pub path: String,
    /// With its question mark, or empty; orders do not look at it.
    pub query: String,
    pub headers: transport::Headers,
    pub body: Vec<u8>,
    pub key: Option<String>,
    /// What the sender says it will wait; none leaves it to the order.
    pub wait: Option<model::Micros>,
}

#[derive(Clone)]
pub struct Near {
    pub node: String,
    pub zone: String,
    pub view: control::view::SharedView,
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
    pub async fn call(&self, sender: crate::SenderId, ask: Ask) -> Result<transport::Reply, Trouble> {
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

    async fn perform(&self, sender: crate::SenderId, ask: Ask) -> Result<transport::Reply, Trouble> {
        let _under_way = self.calls.begin().ok_or_else(|| Trouble::new(Cause::Leaving, "this node is stopping").later(1_000_000))?;
        let mut course = crate::course::Course::begin(&self.view.load(), model::now(), sender, ask)?;
        self.budget.first(course.service()).await;
        loop {
            let view = self.view.load_full();
            let candidates = course.candidates(&view, model::now(), &self.zone)?;
            let picked = self.picker.pick(candidates).await.ok_or_else(|| course.nobody())?;
            let reply = match course.dispatch(&view, model::now(), &picked, &self.node) {
                Ok((dispatch, None)) => self.far.perform(dispatch).await,
                Ok((dispatch, Some((address, life)))) => self.mates.call(&address, life, dispatch).await,
                Err(trouble) => Err(trouble),
            };
            let bench = matches!(&reply, Err(trouble) if trouble.cause != Cause::DuplicateTry);
            self.picker.done(&picked, bench).await;
            let trouble = match reply {
                Ok(reply) => return Ok(reply),
                Err(trouble) => trouble,
            };
            if !course.may_go_again(&picked, &trouble) || !self.budget.extra(course.service()).await {
                return Err(course.given_up(trouble));
            }
            slog::info!(self.far.logger, "dispatched again"; "service" => course.service(), "at" => model::now(), "after" => trouble.cause.code());
        }
    }
}
