//! The house's one owner: commands in, answers out, reports on to the log (design 8.1).

use crate::slot_owner::{Admissions, Permit, Registration, SlotOwner, SlotOwnerConfig};
use model::{Error, Incarnation};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

type ReplySender<T> = tokio::sync::oneshot::Sender<T>;
type Admission = Result<Permit, Error>;

pub enum Command {
    Reserve(
        Registration,
        String,
        ReplySender<Result<Incarnation, Error>>,
    ),
    Confirm(String, Incarnation, bool),
    Backend(String, ReplySender<Option<model::Backend>>),
    Heartbeat(String, bool, Option<u32>, ReplySender<Option<String>>),
    Deregister(String, ReplySender<bool>),
    Admit(Box<transport::AttemptRequest>, ReplySender<Admission>),
    Finish(Permit, bool),
    Drain,
    Load(ReplySender<(usize, usize)>),
}

/// Whoever holds this secret sends for this back end's service.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientId {
    pub name: String,
    pub service: String,
    pub incarnation: Incarnation,
    /// All tries of this registration begin with it (design 5.5).
    pub attempt_prefix: String,
}

type Clients = HashMap<String, ClientId>;

#[derive(Clone)]
pub struct SlotOwnerHandle {
    commands: tokio::sync::mpsc::Sender<Command>,
    clients: Arc<arc_swap::ArcSwap<Clients>>,
    running: tokio::sync::watch::Receiver<usize>,
}

impl SlotOwnerHandle {
    pub fn start(
        env: SlotOwnerConfig,
        view: control::updates::view::SharedView,
        moved: tokio::sync::watch::Receiver<model::Position>,
        reports: control::StatusReporter,
        services: tokio::sync::watch::Sender<model::state_slice::ServiceSet>,
        logger: slog::Logger,
    ) -> Self {
        let (commands, buffer) = tokio::sync::mpsc::channel(4_096);
        let (ran, running) = tokio::sync::watch::channel(0);
        let desk = SlotOwnerHandle {
            commands,
            clients: Default::default(),
            running,
        };
        let (outbox, outgoing) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(send_reports(outgoing, reports, desk.clone(), logger));
        let owner = SlotOwnerTask {
            slots: SlotOwner::new(env),
            view,
            pending: Default::default(),
            last_ticket: 0,
            clients: desk.clients.clone(),
            services,
            reports: outbox,
            running: ran,
        };
        tokio::spawn(owner.run(buffer, moved));
        desk
    }

    async fn ask<T>(&self, command: impl FnOnce(ReplySender<T>) -> Command) -> Option<T> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        self.commands.send(command(answer)).await.ok()?;
        answered.await.ok()
    }

    pub fn client(&self, secret: &str) -> Option<ClientId> {
        self.clients.load().get(secret).cloned()
    }

    pub async fn reserve(
        &self,
        registration: Registration,
        secret: String,
    ) -> Result<Incarnation, Error> {
        self.ask(|answer| Command::Reserve(registration, secret, answer))
            .await
            .unwrap_or_else(|| Err(stopping_error()))
    }

    pub async fn confirm(&self, name: &str, incarnation: Incarnation, accepted: bool) {
        self.commands
            .send(Command::Confirm(name.to_string(), incarnation, accepted))
            .await
            .unwrap_or_default();
    }

    pub async fn backend(&self, name: &str) -> Option<model::Backend> {
        self.ask(|answer| Command::Backend(name.to_string(), answer))
            .await
            .flatten()
    }

    pub async fn heartbeat(
        &self,
        secret: &str,
        draining: bool,
        slots: Option<u32>,
    ) -> Option<String> {
        self.ask(|answer| Command::Heartbeat(secret.to_string(), draining, slots, answer))
            .await
            .flatten()
    }

    pub async fn deregister(&self, secret: &str) -> bool {
        self.ask(|answer| Command::Deregister(secret.to_string(), answer))
            .await
            .unwrap_or(false)
    }

    pub async fn admit(&self, dispatch: transport::AttemptRequest) -> Admission {
        self.ask(|answer| Command::Admit(Box::new(dispatch), answer))
            .await
            .unwrap_or_else(|| Err(stopping_error()))
    }

    pub async fn finish(&self, permit: Permit, unsent: bool) {
        self.commands
            .send(Command::Finish(permit, unsent))
            .await
            .unwrap_or_default();
    }

    pub async fn drain(&self) {
        self.commands.send(Command::Drain).await.unwrap_or_default();
    }

    /// After `leave`: nothing that was passed on is still at work.
    pub async fn drained(&self) {
        drop(self.running.clone().wait_for(|running| *running == 0).await);
    }

    /// Running and waiting.
    pub async fn load(&self) -> (usize, usize) {
        self.ask(Command::Load).await.unwrap_or_default()
    }
}

fn stopping_error() -> Error {
    Error::new(model::ErrorKind::ShuttingDown, "this node is stopping")
}

struct SlotOwnerTask {
    slots: SlotOwner,
    view: control::updates::view::SharedView,
    pending: HashMap<u64, ReplySender<Admission>>,
    last_ticket: u64,
    clients: Arc<arc_swap::ArcSwap<Clients>>,
    services: tokio::sync::watch::Sender<model::state_slice::ServiceSet>,
    reports: tokio::sync::mpsc::UnboundedSender<model::endpoint_status::EndpointReport>,
    running: tokio::sync::watch::Sender<usize>,
}

impl SlotOwnerTask {
    async fn run(
        mut self,
        mut buffer: tokio::sync::mpsc::Receiver<Command>,
        mut moved: tokio::sync::watch::Receiver<model::Position>,
    ) {
        let mut every = tokio::time::interval(Duration::from_millis(20));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = buffer.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = moved.changed() => {}
                _ = every.tick() => {}
            }
            let granted = self.slots.admit_queued(model::now(), &self.view.load());
            self.answer(granted);
            let running = self.slots.running();
            self.running
                .send_if_modified(|told| std::mem::replace(told, running) != running);
            self.slots
                .take_reports()
                .into_iter()
                .for_each(|report| self.reports.send(report).unwrap_or_default());
        }
    }

    fn answer(&mut self, granted: Admissions) {
        granted.into_iter().for_each(|(ticket, entered)| {
            let Some(answer) = self.pending.remove(&ticket) else {
                return;
            };
            if let Err(Ok(permit)) = answer.send(entered) {
                // The asker is gone, so nothing was passed on.
                self.slots.finish(&permit, true);
            }
        });
    }

    fn handle(&mut self, command: Command) {
        let now = model::now();
        match command {
            Command::Reserve(registration, secret, answer) => {
                let logged = self
                    .view
                    .load()
                    .slice
                    .backends
                    .get(&registration.name)
                    .map_or(0, |held| held.incarnation);
                let reserved = self.slots.reserve(now, logged, registration, secret);
                answer.send(reserved).ignore_unreceived();
                self.publish();
            }
            Command::Confirm(name, incarnation, accepted) => {
                self.slots.confirm(now, &name, incarnation, accepted);
                self.publish();
            }
            Command::Backend(name, answer) => {
                answer.send(self.slots.backend(&name)).ignore_unreceived()
            }
            Command::Heartbeat(secret, draining, slots, answer) => answer
                .send(self.slots.heartbeat(now, &secret, draining, slots))
                .ignore_unreceived(),
            Command::Deregister(secret, answer) => {
                answer
                    .send(self.slots.deregister(&secret))
                    .ignore_unreceived();
                self.publish();
            }
            Command::Admit(dispatch, answer) => {
                self.last_ticket += 1;
                self.pending.insert(self.last_ticket, answer);
                let granted = self
                    .slots
                    .admit(now, &self.view.load(), self.last_ticket, *dispatch);
                self.answer(granted);
            }
            Command::Finish(permit, unsent) => self.slots.finish(&permit, unsent),
            Command::Drain => self.slots.drain(),
            Command::Load(answer) => answer
                .send((self.slots.running(), self.slots.queued()))
                .ignore_unreceived(),
        }
    }

    fn publish(&mut self) {
        self.clients.store(Arc::new(self.slots.clients()));
        let services = self.slots.services();
        self.services.send_if_modified(|held| {
            let differs = *held != services;
            *held = services;
            differs
        });
    }
}

/// Whoever asked may have gone away; an answer nobody hears is no trouble.
trait IgnoreUnreceived {
    fn ignore_unreceived(self);
}

impl<T> IgnoreUnreceived for Result<(), T> {
    fn ignore_unreceived(self) {}
}

/// Reports go one after the other and are not given up.
async fn send_reports(
    mut outgoing: tokio::sync::mpsc::UnboundedReceiver<model::endpoint_status::EndpointReport>,
    reports: control::StatusReporter,
    desk: SlotOwnerHandle,
    logger: slog::Logger,
) {
    while let Some(report) = outgoing.recv().await {
        let outcome = reports.report_endpoint_status(report.clone()).await;
        slog::info!(logger, "reported"; "report" => ?report, "outcome" => ?outcome);
        if let model::endpoint_status::EndpointReport::BackendRegistered {
            name,
            backend: back_end,
        } = report
        {
            let accepted = matches!(
                outcome,
                Some(model::Outcome::Accepted { .. } | model::Outcome::Unchanged { .. })
            );
            desk.confirm(&name, back_end.incarnation, accepted).await;
        }
    }
}
