//! Beside the sender: lane, pick, dispatch, and dispatch again where that is allowed (design 5.2).

use model::{Error, ErrorKind, ExecutionStatus};

/// One request as its sender put it.
#[derive(Clone, Debug)]
pub struct Request {
    pub attempt_id: String,
    pub service: String,
    pub method: String,
    pub path: String,
    /// With its question mark, or empty; orders do not look at it.
    pub query: String,
    pub headers: transport::Headers,
    pub body: Vec<u8>,
    pub shard_key: Option<String>,
    /// What the sender says it will wait; none leaves it to the order.
    pub timeout: Option<model::Microseconds>,
}

#[derive(Clone)]
pub struct OutboundProxy {
    pub node: String,
    pub zone: String,
    pub view: control::updates::view::SharedView,
    pub inbound: crate::InboundProxy,
    pub peers: crate::peer_connections::PeerConnections,
    pub selector: crate::selector::SelectorHandle,
    pub retry_budget: crate::retry_budget::RetryBudgetHandle,
    pub accepted_attempts: crate::accepted_attempts::AcceptedAttemptsHandle,
    pub in_flight: proxy_core::InFlightRequests,
}

impl OutboundProxy {
    /// After `leave`: every call that was under way has its answer.
    pub async fn drained(&self) {
        self.in_flight.drained().await;
    }

    pub fn drain(&self) {
        self.in_flight.drain();
    }

    /// Before anything else is looked at: each try is taken once, in this life of its sender's registration.
    pub async fn accept(&self, sender: &crate::ClientId, try_id: &str) -> Result<(), Error> {
        if !try_id.starts_with(&sender.attempt_prefix) {
            return Err(Error::new(
                ErrorKind::EarlierIncarnation,
                format!(
                    "tries of this registration are named {}…; what became of this one is not known here",
                    sender.attempt_prefix
                ),
            ));
        }
        self.accepted_attempts.accept(try_id).await
    }

    /// One try that was taken, to its one answer.
    pub async fn call(
        &self,
        sender: crate::ClientId,
        ask: Request,
    ) -> Result<transport::AttemptResponse, Error> {
        let try_id = ask.attempt_id.clone();
        let answer = self.perform(sender, ask).await;
        self.record_not_run(&try_id, answer.as_ref().err()).await;
        answer
    }

    /// What certainly did not run stays so, whoever sends it again.
    pub async fn record_not_run(&self, try_id: &str, trouble: Option<&Error>) {
        if let Some(trouble) =
            trouble.filter(|trouble| trouble.execution_status == ExecutionStatus::NotRun)
        {
            self.accepted_attempts
                .did_not_run(try_id, trouble.clone())
                .await;
        }
    }

    async fn perform(
        &self,
        sender: crate::ClientId,
        ask: Request,
    ) -> Result<transport::AttemptResponse, Error> {
        let _under_way = self.in_flight.begin().ok_or_else(|| {
            Error::new(ErrorKind::ShuttingDown, "this node is stopping").with_retry_after(1_000_000)
        })?;
        let mut course =
            crate::attempt_loop::AttemptLoop::begin(&self.view.load(), model::now(), sender, ask)?;
        self.retry_budget.deposit(course.service()).await;
        loop {
            let view = self.view.load_full();
            let candidates = course.candidates(&view, model::now(), &self.zone)?;
            let picked = self
                .selector
                .select(candidates)
                .await
                .ok_or_else(|| course.no_backend())?;
            let reply = match course.next_attempt(&view, model::now(), &picked, &self.node) {
                Ok((dispatch, None)) => self.inbound.perform(dispatch).await,
                Ok((dispatch, Some((address, life)))) => {
                    self.peers.call(&address, life, dispatch).await
                }
                Err(trouble) => Err(trouble),
            };
            let bench =
                matches!(&reply, Err(trouble) if trouble.kind != ErrorKind::DuplicateAttempt);
            self.selector.attempt_finished(&picked, bench).await;
            let trouble = match reply {
                Ok(reply) => return Ok(reply),
                Err(trouble) => trouble,
            };
            if !course.may_retry(&picked, &trouble)
                || !self.retry_budget.withdraw(course.service()).await
            {
                return Err(course.final_error(trouble));
            }
            slog::info!(self.inbound.logger, "dispatched again"; "service" => course.service(), "at" => model::now(), "after" => trouble.kind.code());
        }
    }
}
