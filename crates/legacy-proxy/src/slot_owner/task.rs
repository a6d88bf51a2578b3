//! The task that owns a [`SlotOwner`], and its handle. The task executes commands, replies to them
//! and sends reports to the log (design 8.1).

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

/// Capacity of the task's command channel.
const QUEUE_CAPACITY: usize = 4_096;
/// Interval at which the queues are evaluated without other events.
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

/// Identity of a client: the registered backend whose secret a request carries. The client's
/// requests are made in the name of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientId {
    /// Name of the backend.
    pub name: String,
    /// Service of the backend.
    pub service: String,
    /// Current incarnation of the backend.
    pub incarnation: Incarnation,
    /// Common prefix of all attempt ids of this registration (design 5.5).
    pub attempt_prefix: String,
}

type Clients = HashMap<String, ClientId>;

/// Handle on the task that owns the slots. The task ends when its last handle is dropped.
#[derive(Clone)]
pub struct SlotOwnerHandle {
    commands: mpsc::Sender<Command>,
    clients: Arc<ArcSwap<Clients>>,
    running: watch::Receiver<usize>,
}

impl SlotOwnerHandle {
    /// Starts the task. `view_changes` signals changes of the view, `reports` sends reports to the
    /// log, and `services` receives the services of the backends beside this node.
    pub fn start(
        config: SlotOwnerConfig,
        view: SharedView,
        view_changes: watch::Receiver<Position>,
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
            slot_owner: SlotOwner::new(config),
            view,
            pending: Default::default(),
            last_ticket: 0,
            clients: handle.clients.clone(),
            services,
            reports: report_sender,
            running: running_sender,
        };
        tokio::spawn(task.run(receiver, view_changes));
        handle
    }

    async fn request<T>(&self, command: impl FnOnce(ReplySender<T>) -> Command) -> Option<T> {
        let (reply, replied) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        replied.await.ok()
    }

    /// Returns the client whose registration has this secret.
    pub fn client(&self, secret: &str) -> Option<ClientId> {
        self.clients.load().get(secret).cloned()
    }

    /// Reserves a name; see [`SlotOwner::reserve`] for the errors.
    pub async fn reserve(
        &self,
        registration: Registration,
        secret: String,
    ) -> Result<Incarnation, Error> {
        self.request(|reply| Command::Reserve(registration, secret, reply))
            .await
            .unwrap_or_else(|| Err(stopping_error()))
    }

    /// Records whether the log accepted a registration.
    pub async fn confirm(&self, name: &str, incarnation: Incarnation, accepted: bool) {
        self.commands
            .send(Command::Confirm(name.to_string(), incarnation, accepted))
            .await
            .unwrap_or_default();
    }

    /// Returns the entry for the backend that the log is to record.
    pub async fn backend(&self, name: &str) -> Option<Backend> {
        self.request(|reply| Command::Backend(name.to_string(), reply))
            .await
            .flatten()
    }

    /// Records a heartbeat of the backend with this secret. Returns its name, or `None` if no
    /// current registration has the secret.
    pub async fn heartbeat(
        &self,
        secret: &str,
        draining: bool,
        slots: Option<u32>,
    ) -> Option<String> {
        self.request(|reply| Command::Heartbeat(secret.to_string(), draining, slots, reply))
            .await
            .flatten()
    }

    /// Ends the registration with this secret. Returns false if there is no current one.
    pub async fn deregister(&self, secret: &str) -> bool {
        self.request(|reply| Command::Deregister(secret.to_string(), reply))
            .await
            .unwrap_or(false)
    }

    /// Waits for a slot. On an error the request was not forwarded.
    pub(crate) async fn admit(&self, request: AttemptRequest) -> Admission {
        self.request(|reply| Command::Admit(Box::new(request), reply))
            .await
            .unwrap_or_else(|| Err(stopping_error()))
    }

    /// Releases the slot of a run that ended. `unsent` states that the attempt certainly was not
    /// sent to the backend.
    pub(crate) async fn finish(&self, permit: Permit, unsent: bool) {
        self.commands
            .send(Command::Finish(permit, unsent))
            .await
            .unwrap_or_default();
    }

    /// Rejects all new requests; those that were forwarded run to completion.
    pub async fn drain(&self) {
        self.commands.send(Command::Drain).await.unwrap_or_default();
    }

    /// Waits until no request is running. Call it after [`drain`](Self::drain).
    pub async fn drained(&self) {
        drop(self.running.clone().wait_for(|running| *running == 0).await);
    }

    /// Numbers of running and of queued requests.
    pub async fn load(&self) -> (usize, usize) {
        self.request(Command::Load).await.unwrap_or_default()
    }
}

fn stopping_error() -> Error {
    Error::new(ErrorKind::ShuttingDown, "this node is stopping")
}

struct SlotOwnerTask {
    slot_owner: SlotOwner,
    view: SharedView,
    /// Reply senders of the requests that wait for admission, by ticket.
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
        mut view_changes: watch::Receiver<Position>,
    ) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = view_changes.changed() => {}
                _ = ticks.tick() => {}
            }
            let admissions = self
                .slot_owner
                .admit_queued(model::now(), &self.view.load());
            self.send_admissions(admissions);
            let running = self.slot_owner.running();
            self.running
                .send_if_modified(|published| mem::replace(published, running) != running);
            for report in self.slot_owner.take_reports() {
                self.reports.send(report).unwrap_or_default();
            }
        }
    }

    fn send_admissions(&mut self, admissions: Admissions) {
        for (ticket, admission) in admissions {
            let Some(reply) = self.pending.remove(&ticket) else {
                continue;
            };
            if let Err(Ok(permit)) = reply.send(admission) {
                // The caller stopped waiting, so the request was not forwarded.
                self.slot_owner.finish(&permit, true);
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
                    .map_or(0, |backend| backend.incarnation);
                let reserved = self.slot_owner.reserve(now, logged, registration, secret);
                reply.send(reserved).ignore_unreceived();
                self.publish_registrations();
            }
            Command::Confirm(name, incarnation, accepted) => {
                self.slot_owner.confirm(now, &name, incarnation, accepted);
                self.publish_registrations();
            }
            Command::Backend(name, reply) => reply
                .send(self.slot_owner.backend(&name))
                .ignore_unreceived(),
            Command::Heartbeat(secret, draining, slots, reply) => reply
                .send(self.slot_owner.heartbeat(now, &secret, draining, slots))
                .ignore_unreceived(),
            Command::Deregister(secret, reply) => {
                reply
                    .send(self.slot_owner.deregister(&secret))
                    .ignore_unreceived();
                self.publish_registrations();
            }
            Command::Admit(request, reply) => {
                self.last_ticket += 1;
                self.pending.insert(self.last_ticket, reply);
                let admissions =
                    self.slot_owner
                        .admit(now, &self.view.load(), self.last_ticket, *request);
                self.send_admissions(admissions);
            }
            Command::Finish(permit, unsent) => self.slot_owner.finish(&permit, unsent),
            Command::Drain => self.slot_owner.drain(),
            Command::Load(reply) => reply
                .send((self.slot_owner.running(), self.slot_owner.queued()))
                .ignore_unreceived(),
        }
    }

    /// Publishes the clients and services after a registration changed.
    fn publish_registrations(&mut self) {
        self.clients.store(Arc::new(self.slot_owner.clients()));
        let services = self.slot_owner.services();
        self.services.send_if_modified(|published| {
            let differs = *published != services;
            *published = services;
            differs
        });
    }
}

/// Discards the result of sending a reply. The caller may have stopped waiting, which is not an
/// error.
trait IgnoreUnreceived {
    fn ignore_unreceived(self);
}

impl<T> IgnoreUnreceived for Result<(), T> {
    fn ignore_unreceived(self) {}
}

/// Sends reports to the log one at a time and drops none. Confirms registrations by their outcomes.
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
