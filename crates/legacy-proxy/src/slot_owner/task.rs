//! The task that owns a [`SlotOwner`], and the handle on it: commands in, replies out, reports on to
//! the log (design 8.1).

use std::collections::HashMap;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use control::StatusReporter;
use control::updates::view::SharedView;
use model::endpoint_status::EndpointReport;
use model::state_slice::ServiceSet;
use model::{Backend, Error, ErrorKind, Incarnation, Outcome, Position};
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, MissedTickBehavior};
use transport::AttemptRequest;

use super::{Admissions, Permit, Registration, SlotOwner, SlotOwnerConfig};

/// Commands that may wait for the task.
const QUEUE_CAPACITY: usize = 4_096;
/// Between two looks at the queues while nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

type ReplySender<T> = oneshot::Sender<T>;
type Admission = Result<Permit, Error>;

enum Command {
    Reserve(
        Registration,
        String,
        ReplySender<Result<Incarnation, Error>>,
    ),
    Confirm(String, Incarnation, bool),
    Backend(String, ReplySender<Option<Backend>>),
    Heartbeat(String, bool, Option<u32>, ReplySender<Option<String>>),
    Deregister(String, ReplySender<bool>),
    Admit(Box<AttemptRequest>, ReplySender<Admission>),
    Finish(Permit, bool),
    Drain,
    Load(ReplySender<(usize, usize)>),
}

/// Who sends requests with a backend's secret: they are made in its service's name.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientId {
    /// The name of the backend.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// All attempt ids of this registration begin with it (design 5.5).
    pub attempt_prefix: String,
}

type Clients = HashMap<String, ClientId>;

/// A handle on the task that owns the slots. The task ends with its last handle.
#[derive(Clone)]
pub struct SlotOwnerHandle {
    commands: mpsc::Sender<Command>,
    clients: Arc<ArcSwap<Clients>>,
    running: watch::Receiver<usize>,
}

impl SlotOwnerHandle {
    /// Starts the task. `moved` says when the view changed; `reports` brings what happens here to the
    /// log; `services` is told which services are beside this node.
    pub fn start(
        config: SlotOwnerConfig,
        view: SharedView,
        moved: watch::Receiver<Position>,
        reports: StatusReporter,
        services: watch::Sender<ServiceSet>,
        logger: Logger,
    ) -> Self {
        let (commands, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (running_sender, running) = watch::channel(0);
        let handle = SlotOwnerHandle {
            commands,
            clients: Default::default(),
            running,
        };
        let (report_sender, outgoing) = mpsc::unbounded_channel();
        tokio::spawn(send_reports(outgoing, reports, handle.clone(), logger));
        let task = SlotOwnerTask {
            slots: SlotOwner::new(config),
            view,
            pending: Default::default(),
            last_ticket: 0,
            clients: handle.clients.clone(),
            services,
            reports: report_sender,
            running: running_sender,
        };
        tokio::spawn(task.run(receiver, moved));
        handle
    }

    async fn ask<T>(&self, command: impl FnOnce(ReplySender<T>) -> Command) -> Option<T> {
        let (reply, replied) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        replied.await.ok()
    }

    /// Who sends with this secret.
    pub fn client(&self, secret: &str) -> Option<ClientId> {
        self.clients.load().get(secret).cloned()
    }

    /// Reserves a name; see [`SlotOwner::reserve`] for the errors.
    pub async fn reserve(
        &self,
        registration: Registration,
        secret: String,
    ) -> Result<Incarnation, Error> {
        self.ask(|reply| Command::Reserve(registration, secret, reply))
            .await
            .unwrap_or_else(|| Err(stopping_error()))
    }

    /// The log accepted or refused a registration.
    pub async fn confirm(&self, name: &str, incarnation: Incarnation, accepted: bool) {
        self.commands
            .send(Command::Confirm(name.to_string(), incarnation, accepted))
            .await
            .unwrap_or_default();
    }

    /// A backend as the log is to hold it.
    pub async fn backend(&self, name: &str) -> Option<Backend> {
        self.ask(|reply| Command::Backend(name.to_string(), reply))
            .await
            .flatten()
    }

    /// A heartbeat of the backend with this secret; returns its name, or `None` for a wrong secret.
    pub async fn heartbeat(
        &self,
        secret: &str,
        draining: bool,
        slots: Option<u32>,
    ) -> Option<String> {
        self.ask(|reply| Command::Heartbeat(secret.to_string(), draining, slots, reply))
            .await
            .flatten()
    }

    /// Ends the registration with this secret; false if there is none.
    pub async fn deregister(&self, secret: &str) -> bool {
        self.ask(|reply| Command::Deregister(secret.to_string(), reply))
            .await
            .unwrap_or(false)
    }

    /// Waits for a slot. An error is certain not to have run.
    pub(crate) async fn admit(&self, request: AttemptRequest) -> Admission {
        self.ask(|reply| Command::Admit(Box::new(request), reply))
            .await
            .unwrap_or_else(|| Err(stopping_error()))
    }

    /// A run ended; `unsent` if the attempt certainly never left for the backend.
    pub(crate) async fn finish(&self, permit: Permit, unsent: bool) {
        self.commands
            .send(Command::Finish(permit, unsent))
            .await
            .unwrap_or_default();
    }

    /// Refuses every request from now on; what was forwarded runs to its end.
    pub async fn drain(&self) {
        self.commands.send(Command::Drain).await.unwrap_or_default();
    }

    /// Returns once nothing runs any more. Call it after [`drain`](Self::drain).
    pub async fn drained(&self) {
        drop(self.running.clone().wait_for(|running| *running == 0).await);
    }

    /// How many requests run, and how many are queued.
    pub async fn load(&self) -> (usize, usize) {
        self.ask(Command::Load).await.unwrap_or_default()
    }
}

fn stopping_error() -> Error {
    Error::new(ErrorKind::ShuttingDown, "this node is stopping")
}

struct SlotOwnerTask {
    slots: SlotOwner,
    view: SharedView,
    pending: HashMap<u64, ReplySender<Admission>>,
    last_ticket: u64,
    clients: Arc<ArcSwap<Clients>>,
    services: watch::Sender<ServiceSet>,
    reports: mpsc::UnboundedSender<EndpointReport>,
    running: watch::Sender<usize>,
}

impl SlotOwnerTask {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
        mut moved: watch::Receiver<Position>,
    ) {
        let mut every = time::interval(TICK_INTERVAL);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = moved.changed() => {}
                _ = every.tick() => {}
            }
            let admissions = self.slots.admit_queued(model::now(), &self.view.load());
            self.answer(admissions);
            let running = self.slots.running();
            self.running
                .send_if_modified(|known| mem::replace(known, running) != running);
            for report in self.slots.take_reports() {
                self.reports.send(report).unwrap_or_default();
            }
        }
    }

    fn answer(&mut self, admissions: Admissions) {
        for (ticket, admission) in admissions {
            let Some(reply) = self.pending.remove(&ticket) else {
                continue;
            };
            if let Err(Ok(permit)) = reply.send(admission) {
                // The caller is gone, so nothing was forwarded.
                self.slots.finish(&permit, true);
            }
        }
    }

    fn handle(&mut self, command: Command) {
        let now = model::now();
        match command {
            Command::Reserve(registration, secret, reply) => {
                let logged = self
                    .view
                    .load()
                    .slice
                    .backends
                    .get(&registration.name)
                    .map_or(0, |held| held.incarnation);
                let reserved = self.slots.reserve(now, logged, registration, secret);
                reply.send(reserved).ignore_unreceived();
                self.publish();
            }
            Command::Confirm(name, incarnation, accepted) => {
                self.slots.confirm(now, &name, incarnation, accepted);
                self.publish();
            }
            Command::Backend(name, reply) => {
                reply.send(self.slots.backend(&name)).ignore_unreceived()
            }
            Command::Heartbeat(secret, draining, slots, reply) => reply
                .send(self.slots.heartbeat(now, &secret, draining, slots))
                .ignore_unreceived(),
            Command::Deregister(secret, reply) => {
                reply
                    .send(self.slots.deregister(&secret))
                    .ignore_unreceived();
                self.publish();
            }
            Command::Admit(request, reply) => {
                self.last_ticket += 1;
                self.pending.insert(self.last_ticket, reply);
                let admissions =
                    self.slots
                        .admit(now, &self.view.load(), self.last_ticket, *request);
                self.answer(admissions);
            }
            Command::Finish(permit, unsent) => self.slots.finish(&permit, unsent),
            Command::Drain => self.slots.drain(),
            Command::Load(reply) => reply
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

/// Whoever asked may have gone away; a reply that nobody receives is no error.
trait IgnoreUnreceived {
    fn ignore_unreceived(self);
}

impl<T> IgnoreUnreceived for Result<(), T> {
    fn ignore_unreceived(self) {}
}

/// Sends reports to the log, one after the other; none is given up.
async fn send_reports(
    mut outgoing: mpsc::UnboundedReceiver<EndpointReport>,
    reports: StatusReporter,
    handle: SlotOwnerHandle,
    logger: Logger,
) {
    while let Some(report) = outgoing.recv().await {
        let outcome = reports.report_endpoint_status(report.clone()).await;
        slog::info!(logger, "reported"; "report" => ?report, "outcome" => ?outcome);
        if let EndpointReport::BackendRegistered { name, backend } = report {
            let accepted = matches!(
                outcome,
                Some(Outcome::Accepted { .. } | Outcome::Unchanged { .. })
            );
            handle.confirm(&name, backend.incarnation, accepted).await;
        }
    }
}
