//! The house's one owner: commands in, answers out, reports on to the log (design 8.1).

use crate::house::{Granted, House, HouseEnv, Permit, Registration};
use model::{Incarnation, Trouble};

type Answer<T> = tokio::sync::oneshot::Sender<T>;
type Entered = Result<Permit, Trouble>;

pub enum Command {
    Reserve(Registration, String, Answer<Result<Incarnation, Trouble>>),
    Confirm(String, Incarnation, bool),
    BackEnd(String, Answer<Option<model::BackEnd>>),
    Beat(String, bool, Option<u32>, Answer<Option<String>>),
    SignOff(String, Answer<bool>),
    Enter(Box<transport::Dispatch>, Answer<Entered>),
    Done(Permit, bool),
    Leave,
    Load(Answer<(usize, usize)>),
}

/// Whoever holds this secret sends for this back end's service.
#[derive(Clone, Debug, PartialEq)]
pub struct SenderId {
    pub name: String,
    pub service: String,
    pub incarnation: Incarnation,
    /// All tries of this registration begin with it (design 5.5).
    pub prefix: String,
}

type Senders = std::collections::HashMap<String, SenderId>;

#[derive(Clone)]
pub struct HouseDesk {
    commands: tokio::sync::mpsc::Sender<Command>,
    senders: std::sync::Arc<arc_swap::ArcSwap<Senders>>,
    running: tokio::sync::watch::Receiver<usize>,
}

impl HouseDesk {
    pub fn start(
        env: HouseEnv,
        view: control::view::SharedView,
        moved: tokio::sync::watch::Receiver<model::Position>,
        reports: control::Reports,
        services: tokio::sync::watch::Sender<model::slice::Services>,
        logger: slog::Logger,
    ) -> Self {
        let (commands, buffer) = tokio::sync::mpsc::channel(4_096);
        let (ran, running) = tokio::sync::watch::channel(0);
        let desk = HouseDesk { commands, senders: Default::default(), running };
        let (outbox, outgoing) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(report(outgoing, reports, desk.clone(), logger));
        let owner = Owner { house: House::new(env), view, waiting: Default::default(), tickets: 0, senders: desk.senders.clone(), services, outbox, ran };
        tokio::spawn(owner.run(buffer, moved));
        desk
    }

    async fn ask<T>(&self, command: impl FnOnce(Answer<T>) -> Command) -> Option<T> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        self.commands.send(command(answer)).await.ok()?;
        answered.await.ok()
    }

    pub fn sender(&self, secret: &str) -> Option<SenderId> {
        self.senders.load().get(secret).cloned()
    }

    pub async fn reserve(&self, registration: Registration, secret: String) -> Result<Incarnation, Trouble> {
        self.ask(|answer| Command::Reserve(registration, secret, answer)).await.unwrap_or_else(|| Err(stopping()))
    }

    pub async fn confirm(&self, name: &str, incarnation: Incarnation, accepted: bool) {
        self.commands.send(Command::Confirm(name.to_string(), incarnation, accepted)).await.unwrap_or_default();
    }

    pub async fn back_end(&self, name: &str) -> Option<model::BackEnd> {
        self.ask(|answer| Command::BackEnd(name.to_string(), answer)).await.flatten()
    }

    pub async fn beat(&self, secret: &str, draining: bool, slots: Option<u32>) -> Option<String> {
        self.ask(|answer| Command::Beat(secret.to_string(), draining, slots, answer)).await.flatten()
    }

    pub async fn sign_off(&self, secret: &str) -> bool {
        self.ask(|answer| Command::SignOff(secret.to_string(), answer)).await.unwrap_or(false)
    }

    pub async fn enter(&self, dispatch: transport::Dispatch) -> Entered {
        self.ask(|answer| Command::Enter(Box::new(dispatch), answer)).await.unwrap_or_else(|| Err(stopping()))
    }

    pub async fn done(&self, permit: Permit, unsent: bool) {
        self.commands.send(Command::Done(permit, unsent)).await.unwrap_or_default();
    }

    pub async fn leave(&self) {
        self.commands.send(Command::Leave).await.unwrap_or_default();
    }

    /// After `leave`: nothing that was passed on is still at work.
    pub async fn ended(&self) {
        drop(self.running.clone().wait_for(|running| *running == 0).await);
    }

    /// Running and waiting.
    pub async fn load(&self) -> (usize, usize) {
        self.ask(Command::Load).await.unwrap_or_default()
    }
}

fn stopping() -> Trouble {
    Trouble::new(model::Cause::Leaving, "this node is stopping")
}

struct Owner {
    house: House,
    view: control::view::SharedView,
    waiting: std::collections::HashMap<u64, Answer<Entered>>,
    tickets: u64,
    senders: std::sync::Arc<arc_swap::ArcSwap<Senders>>,
    services: tokio::sync::watch::Sender<model::slice::Services>,
    outbox: tokio::sync::mpsc::UnboundedSender<model::standing::Report>,
    ran: tokio::sync::watch::Sender<usize>,
}

impl Owner {
    async fn run(mut self, mut buffer: tokio::sync::mpsc::Receiver<Command>, mut moved: tokio::sync::watch::Receiver<model::Position>) {
        let mut every = tokio::time::interval(std::time::Duration::from_millis(20));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = buffer.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                _ = moved.changed() => {}
                _ = every.tick() => {}
            }
            let granted = self.house.pump(model::now(), &self.view.load());
            self.answer(granted);
            let running = self.house.running();
            self.ran.send_if_modified(|told| std::mem::replace(told, running) != running);
            self.house.reports().into_iter().for_each(|report| self.outbox.send(report).unwrap_or_default());
        }
    }

    fn answer(&mut self, granted: Granted) {
        granted.into_iter().for_each(|(ticket, entered)| {
            let Some(answer) = self.waiting.remove(&ticket) else { return };
            if let Err(Ok(permit)) = answer.send(entered) {
                // The asker is gone, so nothing was passed on.
                self.house.done(&permit, true);
            }
        });
    }

    fn take(&mut self, command: Command) {
        let now = model::now();
        match command {
            Command::Reserve(registration, secret, answer) => {
                let logged = self.view.load().slice.back_ends.get(&registration.name).map_or(0, |held| held.incarnation);
                let reserved = self.house.reserve(now, logged, registration, secret);
                answer.send(reserved).unheard();
                self.publish();
            }
            Command::Confirm(name, incarnation, accepted) => {
                self.house.confirm(now, &name, incarnation, accepted);
                self.publish();
            }
            Command::BackEnd(name, answer) => answer.send(self.house.back_end(&name)).unheard(),
            Command::Beat(secret, draining, slots, answer) => answer.send(self.house.beat(now, &secret, draining, slots)).unheard(),
            Command::SignOff(secret, answer) => {
                answer.send(self.house.sign_off(&secret)).unheard();
                self.publish();
            }
            Command::Enter(dispatch, answer) => {
                self.tickets += 1;
                self.waiting.insert(self.tickets, answer);
                let granted = self.house.enter(now, &self.view.load(), self.tickets, *dispatch);
                self.answer(granted);
            }
            Command::Done(permit, unsent) => self.house.done(&permit, unsent),
            Command::Leave => self.house.leave(),
            Command::Load(answer) => answer.send((self.house.running(), self.house.waiting())).unheard(),
        }
    }

    fn publish(&mut self) {
        self.senders.store(std::sync::Arc::new(self.house.senders()));
        let services = self.house.services();
        self.services.send_if_modified(|held| {
            let differs = *held != services;
            *held = services;
            differs
        });
    }
}

/// Whoever asked may have gone away; an answer nobody hears is no trouble.
trait Unheard {
    fn unheard(self);
}

impl<T> Unheard for Result<(), T> {
    fn unheard(self) {}
}

/// Reports go one after the other and are not given up.
async fn report(mut outgoing: tokio::sync::mpsc::UnboundedReceiver<model::standing::Report>, reports: control::Reports, desk: HouseDesk, logger: slog::Logger) {
    while let Some(report) = outgoing.recv().await {
        let outcome = reports.tell(report.clone()).await;
        slog::info!(logger, "reported"; "report" => ?report, "outcome" => ?outcome);
        if let model::standing::Report::Registered { name, back_end } = report {
            let accepted = matches!(outcome, Some(model::Outcome::Accepted { .. } | model::Outcome::Unchanged { .. }));
            desk.confirm(&name, back_end.incarnation, accepted).await;
        }
    }
}
