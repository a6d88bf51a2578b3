//! Whom a request goes to, and how many more dispatches the service may have (design 13.5, 13.6). One owner.

use model::Micros;
use model::bill::Programme;

/// How long a back end that was lost or refused is passed over, while there are others.
const BENCH: Micros = 300_000;
#[cfg(test)]
mod judged;

/// A guess at one run's share of a slot, for what was sent and is not yet told of.
const RUN: Micros = 60_000;

#[derive(Clone, Copy, Debug)]
pub struct PickEnv {
    /// What leaving the zone is taken to cost, in waiting time.
    pub crossing: Micros,
    /// Of a hundred requests so many extra dispatches are earned.
    pub earned_of_100: u64,
}

#[derive(Clone, Debug)]
pub struct Candidate {
    pub name: String,
    pub slots: u32,
    pub near: bool,
}

#[derive(Default)]
struct Known {
    sent: u32,
    wait: Micros,
    told: Micros,
    benched: Micros,
}

/// Pure, with the time told to it.
pub struct Picker {
    env: PickEnv,
    known: std::collections::HashMap<String, Known>,
    purses: std::collections::HashMap<String, crate::Purse>,
    turn: u64,
}

impl Picker {
    pub fn new(env: PickEnv) -> Picker {
        Picker { env, known: Default::default(), purses: Default::default(), turn: 0 }
    }

    pub fn earn(&mut self, now: Micros, service: &str) {
        self.purses.entry(service.to_string()).or_default().earn(now, self.env.earned_of_100);
    }

    pub fn spend(&mut self, now: Micros, service: &str) -> bool {
        self.purses.entry(service.to_string()).or_default().spend(now)
    }

    fn cost(&self, now: Micros, candidate: &Candidate) -> (bool, Micros) {
        let crossing = if candidate.near { 0 } else { self.env.crossing };
        let Some(known) = self.known.get(&candidate.name) else { return (false, crossing) };
        let told = known.wait.saturating_sub(now.saturating_sub(known.told));
        (now < known.benched, told + crossing + known.sent as Micros * RUN / candidate.slots.max(1) as Micros)
    }

    pub fn pick(&mut self, now: Micros, candidates: &[Candidate]) -> Option<String> {
        self.turn += 1;
        let count = candidates.len().max(1) as u64;
        // Equal costs take turns.
        let order = |at: usize| (at as u64 + self.turn) % count;
        let picked = candidates.iter().enumerate().min_by_key(|(at, candidate)| (self.cost(now, candidate), order(*at)));
        let picked = picked.map(|(_, candidate)| candidate.name.clone())?;
        self.sent(&picked);
        Some(picked)
    }

    pub fn sent(&mut self, name: &str) {
        self.known.entry(name.to_string()).or_default().sent += 1;
    }

    pub fn done(&mut self, now: Micros, name: &str, wait: Option<Micros>, bench: bool) {
        let Some(known) = self.known.get_mut(name) else { return };
        known.sent = known.sent.saturating_sub(1);
        if let Some(wait) = wait {
            (known.wait, known.told) = (wait, now);
        }
        if bench {
            known.benched = now + BENCH;
        }
    }

    pub fn forget(&mut self, programme: &Programme) {
        self.known.retain(|name, known| known.sent > 0 || programme.players.contains_key(name));
    }
}

enum Command {
    Earn(String),
    Pick(Vec<Candidate>, tokio::sync::oneshot::Sender<Option<String>>),
    Sent(String),
    Done(String, Option<Micros>, bool),
    Spend(String, tokio::sync::oneshot::Sender<bool>),
}

#[derive(Clone)]
pub struct Picks(tokio::sync::mpsc::Sender<Command>);

impl Picks {
    pub fn start(env: PickEnv, outlook: control::SharedOutlook) -> Picks {
        let (sender, mut commands) = tokio::sync::mpsc::channel(4_096);
        tokio::spawn(async move {
            let mut picker = Picker::new(env);
            let mut count = 0u64;
            while let Some(command) = commands.recv().await {
                let now = model::now();
                match command {
                    Command::Earn(service) => picker.earn(now, &service),
                    Command::Pick(candidates, answer) => drop(answer.send(picker.pick(now, &candidates))),
                    Command::Sent(name) => picker.sent(&name),
                    Command::Done(name, wait, bench) => picker.done(now, &name, wait, bench),
                    Command::Spend(service, answer) => drop(answer.send(picker.spend(now, &service))),
                }
                count += 1;
                if count.is_multiple_of(4_096) {
                    picker.forget(&outlook.load().programme);
                }
            }
        });
        Picks(sender)
    }

    async fn tell(&self, command: Command) {
        self.0.send(command).await.unwrap_or_default();
    }

    pub async fn earn(&self, service: &str) {
        self.tell(Command::Earn(service.into())).await;
    }

    pub async fn pick(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (answer, picked) = tokio::sync::oneshot::channel();
        self.tell(Command::Pick(candidates, answer)).await;
        picked.await.ok().flatten()
    }

    pub async fn sent(&self, name: &str) {
        self.tell(Command::Sent(name.into())).await;
    }

    pub async fn done(&self, name: &str, wait: Option<Micros>, bench: bool) {
        self.tell(Command::Done(name.into(), wait, bench)).await;
    }

    pub async fn spend(&self, service: &str) -> bool {
        let (answer, granted) = tokio::sync::oneshot::channel();
        self.tell(Command::Spend(service.into(), answer)).await;
        granted.await.unwrap_or(false)
    }
}
