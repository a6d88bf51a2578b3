//! The one owner of the back end's slots: a command queue in, runs out (design 13.2, 13.3).

use crate::{Buffer, Local, Waiting};
use model::{Cause, Micros, Trouble};

pub struct PitEnv {
    pub words: http_util::words::Words,
    /// Runs given to the back end beyond its slots, so that none stands empty between two.
    pub ahead: u32,
}

type Answer = tokio::sync::oneshot::Sender<Outcome>;
/// What came of it, and how long a request of the least rank would wait here now.
pub type Outcome = (Result<transport::Take, Trouble>, Micros);

enum Command {
    Enter(Box<transport::Cue>, Micros, Answer),
    Ended { number: u64, took: Option<Micros>, ended: crate::Ended },
    Local(Option<Local>),
    Leave,
    Load(tokio::sync::oneshot::Sender<(usize, usize, bool)>),
    Demand(usize, tokio::sync::oneshot::Sender<Option<Asked>>),
}

/// Slots, the mean run and of how many, the requests a second on ranges of keys, how many requests say so, and whether
/// the back end is ill.
pub type Asked = (u32, (Micros, u32), Vec<(u16, u16, f32)>, f32, bool);

#[derive(Clone)]
pub struct Pit(tokio::sync::mpsc::Sender<Command>);

struct Owner {
    env: PitEnv,
    commands: tokio::sync::mpsc::Sender<Command>,
    door: std::sync::Arc<crate::Door>,
    local: Option<Local>,
    buffer: Buffer<(Box<transport::Cue>, Answer)>,
    demand: crate::Demand,
    health: crate::Health,
    leaving: bool,
}

/// When a refused request may come again, at least.
const BACK: Micros = 100_000;
/// Between two looks at who was held too long, while nothing else happens.
const EXPIRE: std::time::Duration = std::time::Duration::from_millis(20);

impl Pit {
    pub fn start(env: PitEnv) -> Pit {
        let (commands, mut buffer) = tokio::sync::mpsc::channel(4_096);
        let door = std::sync::Arc::new(crate::Door::new(env.words.clone()));
        let mut owner = Owner {
            env,
            commands: commands.clone(),
            door,
            local: None,
            buffer: Default::default(),
            demand: Default::default(),
            health: Default::default(),
            leaving: false,
        };
        tokio::spawn(async move {
            loop {
                let waits = !owner.buffer.is_empty();
                tokio::select! {
                    command = buffer.recv() => match command {
                        Some(command) => owner.take(command),
                        None => return,
                    },
                    _ = tokio::time::sleep(EXPIRE), if waits => owner.expire(),
                }
            }
        });
        Pit(commands)
    }

    /// Returns with the answer, or with why there is none and whether it may have run.
    pub async fn perform(&self, cue: Box<transport::Cue>) -> Outcome {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        let until = model::now() + cue.left;
        let gone = || (Err(Trouble::new(Cause::Leaving, "this node is stopping")), 0);
        if self.0.send(Command::Enter(cue, until, answer)).await.is_err() {
            return gone();
        }
        outcome.await.unwrap_or_else(|_| (Err(Trouble::new(Cause::MateLost, "the owner of the back end's slots is gone")), 0))
    }

    pub async fn local(&self, local: Option<Local>) {
        self.0.send(Command::Local(local)).await.unwrap_or_default();
    }

    /// Takes nothing new from mates or from here.
    pub async fn leave(&self) {
        self.0.send(Command::Leave).await.unwrap_or_default();
    }

    /// What the back end's keys are asked for, in at most about so many ranges; none without keys.
    pub async fn asked(&self, most: usize) -> Option<Asked> {
        let (answer, asked) = tokio::sync::oneshot::channel();
        self.0.send(Command::Demand(most, answer)).await.ok()?;
        asked.await.ok().flatten()
    }

    /// Running and waiting, and whether the back end is ill.
    pub async fn load(&self) -> (usize, usize, bool) {
        let (answer, load) = tokio::sync::oneshot::channel();
        self.0.send(Command::Load(answer)).await.unwrap_or_default();
        load.await.unwrap_or_default()
    }
}

impl Owner {
    fn take(&mut self, command: Command) {
        match command {
            Command::Enter(cue, until, answer) => self.enter(cue, until, answer),
            Command::Ended { number, took, ended } => {
                self.health.ended(model::now(), number, ended);
                took.into_iter().for_each(|took| self.buffer.ran(took));
            }
            Command::Local(local) => self.set_local(local),
            Command::Leave => self.leaving = true,
            Command::Demand(most, answer) => {
                let local = self.local.as_ref().and_then(|local| local.holding.as_ref().map(|holding| (local.slots, holding.rows.clone())));
                let asked = local.map(|(slots, rows)| {
                    let (ranges, seen) = self.demand.tell(model::now(), &rows, most);
                    (slots, self.buffer.seen_run(), ranges, seen, self.health.ill())
                });
                drop(answer.send(asked));
            }
            Command::Load(answer) => drop(answer.send((self.health.running(), self.buffer.len(), self.health.ill()))),
        }
        self.health.look(model::now(), self.buffer.seen_run());
        self.expire();
        self.start_next();
    }

    fn set_local(&mut self, local: Option<Local>) {
        if self.local.as_ref().map(|held| (&held.name, &held.address)) != local.as_ref().map(|held| (&held.name, &held.address)) {
            self.door.clear();
            self.health.forget();
        }
        self.local = local;
        let now = model::now();
        let gone = self.buffer.remove(|waiting| refusal(self.local.as_ref(), now, &waiting.held.0).is_some());
        gone.into_iter().for_each(|waiting| {
            let why = refusal(self.local.as_ref(), now, &waiting.held.0).unwrap_or_else(|| Trouble::new(Cause::NoBackEnd, "gone"));
            self.answer(waiting.held.1, Err(why));
        });
    }

    fn slots(&self) -> usize {
        self.local.as_ref().map(|local| local.slots + self.env.ahead).unwrap_or(0) as usize
    }

    fn wait(&self, rank: u8) -> Micros {
        self.buffer.wait(model::now(), rank, self.health.running(), self.slots())
    }

    /// What a request would spend here, for those who pick: the wait, and half of a run, as a slow back end is worth
    /// leaving for a faster one only where that is near.
    fn told_wait(&self) -> Micros {
        self.wait(u8::MAX) + self.buffer.seen_run().0 / 2
    }

    fn answer(&self, answer: Answer, outcome: Result<transport::Take, Trouble>) {
        drop(answer.send((outcome, self.told_wait())));
    }

    fn enter(&mut self, cue: Box<transport::Cue>, until: Micros, answer: Answer) {
        let now = model::now();
        if self.leaving {
            return self.answer(answer, Err(Trouble::new(Cause::Leaving, "this node is stopping")));
        }
        if let Some(trouble) = refusal(self.local.as_ref(), now, &cue) {
            return self.answer(answer, Err(trouble));
        }
        // Whoever holds a key cannot be passed over here: the placing of keys does that (design 13.8).
        if let Some(elsewhere) = self.health.declines(now, cue.repeatable).filter(|_| cue.key.is_none() && !cue.anyway) {
            return drop(answer.send((Err(Trouble::new(Cause::PassedOver, "its runs come to nothing").later(elsewhere)), elsewhere)));
        }
        cue.key.into_iter().for_each(|key| self.demand.asked(now, key));
        let wait = self.wait(cue.rank);
        // What cannot be answered in time is told at once, with when to come back.
        if wait > self.buffer.room(now, now + cue.aim) {
            return self.answer(answer, Err(overloaded(until - now, wait)));
        }
        let waiting = Waiting { rank: cue.rank, at: now, until, aim: now + cue.aim, held: (cue, answer) };
        self.buffer.push(now, waiting);
    }

    fn expire(&mut self) {
        let now = model::now();
        self.buffer.expire(now).into_iter().for_each(|late| self.answer(late.held.1, Err(overloaded(late.until.saturating_sub(now), 0))));
    }

    fn start_next(&mut self) {
        while self.health.running() < self.slots() {
            let now = model::now();
            let Some(next) = self.buffer.pop(now) else { return };
            let (cue, answer) = next.held;
            if answer.is_closed() {
                // Its caller is gone: it never begins.
                continue;
            }
            match refusal(self.local.as_ref(), now, &cue) {
                Some(trouble) => self.answer(answer, Err(trouble)),
                None => self.run(cue, next.until, answer),
            }
        }
    }

    fn run(&mut self, cue: Box<transport::Cue>, until: Micros, mut answer: Answer) {
        let Some(address) = self.local.as_ref().map(|local| local.address.clone()) else { return };
        let number = self.health.begin(model::now());
        let (door, commands, wait, began) = (self.door.clone(), self.commands.clone(), self.told_wait(), model::now());
        tokio::spawn(async move {
            let left = until.saturating_sub(began);
            let ran = tokio::time::timeout(std::time::Duration::from_micros(left), door.pass(&address, &cue, left));
            let outcome = tokio::select! {
                ran = ran => ran.unwrap_or_else(|_| Err(Trouble::new(Cause::RanOutOfTime, "no answer within the wait"))),
                // What may run again may as well be broken off; anything else the back end ends in its own way.
                () = answer.closed(), if cue.repeatable => Err(Trouble::new(Cause::RanOutOfTime, "nobody waits for it any more")),
            };
            let took = outcome.is_ok().then(|| model::now() - began);
            drop(commands.send(Command::Ended { number, took, ended: crate::health::ended(&outcome) }).await);
            drop(answer.send((outcome, wait)));
        });
    }
}

/// Come back once the wait is shorter, but while there is time left for it; not all at the same moment.
fn overloaded(left: Micros, wait: Micros) -> Trouble {
    let back = wait.max(left / 8).clamp(BACK, (left / 3).max(BACK));
    let spread = back * (80 + rand::random::<u64>() % 21) / 100;
    Trouble::new(Cause::Overloaded, "it would wait too long").later(spread)
}

/// Why this back end is not to be given the request now; certain not to have run.
fn refusal(local: Option<&Local>, now: Micros, cue: &transport::Cue) -> Option<Trouble> {
    let Some(local) = local.filter(|local| local.name == cue.back_end) else {
        return Some(Trouble::new(Cause::WrongIncarnation, "that back end is not beside this node"));
    };
    if !local.open(now) {
        return Some(Trouble::new(Cause::Draining, "the back end takes nothing new"));
    }
    let unheld = cue.key.zip(local.holding.as_ref()).is_some_and(|(key, holding)| !holding.holds(now, key));
    unheld.then(|| Trouble::new(Cause::KeyUnheld, "the back end does not hold the key now"))
}
