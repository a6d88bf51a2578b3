//! Whom a request goes to, and how many more dispatches the service may have (design 13.5, 13.6). One owner.

use model::Microseconds;
use model::cluster_state::StateSnapshot;
use std::collections::HashMap;

/// How long a back end that was lost or refused is passed over, while there are others.
const FAILURE_COOLDOWN: Microseconds = 300_000;
#[cfg(test)]
mod tests;

/// A guess at one run's share of a slot, for what was sent and is not yet told of.
const ASSUMED_RUN_TIME: Microseconds = 60_000;

#[derive(Clone, Copy, Debug)]
pub struct SelectorConfig {
    /// What leaving the zone is taken to cost, in waiting time.
    pub zone_crossing_cost: Microseconds,
    /// Of a hundred requests so many extra dispatches are earned.
    pub retry_deposit: u64,
}

#[derive(Clone, Debug)]
pub struct Candidate {
    pub name: String,
    pub slots: u32,
    pub same_zone: bool,
}

#[derive(Default)]
struct BackendLoad {
    in_flight: u32,
    reported_wait: Microseconds,
    reported_at: Microseconds,
    avoid_until: Microseconds,
}

/// Pure, with the time told to it.
pub struct Selector {
    config: SelectorConfig,
    backends: HashMap<String, BackendLoad>,
    retry_budgets: HashMap<String, crate::RetryBudget>,
    rotation: u64,
}

impl Selector {
    pub fn new(env: SelectorConfig) -> Selector {
        Selector {
            config: env,
            backends: Default::default(),
            retry_budgets: Default::default(),
            rotation: 0,
        }
    }

    pub fn deposit(&mut self, now: Microseconds, service: &str) {
        self.retry_budgets
            .entry(service.to_string())
            .or_default()
            .deposit(now, self.config.retry_deposit);
    }

    pub fn withdraw(&mut self, now: Microseconds, service: &str) -> bool {
        self.retry_budgets
            .entry(service.to_string())
            .or_default()
            .withdraw(now)
    }

    fn cost(&self, now: Microseconds, candidate: &Candidate) -> (bool, Microseconds) {
        let zone_crossing_cost = if candidate.same_zone {
            0
        } else {
            self.config.zone_crossing_cost
        };
        let Some(known) = self.backends.get(&candidate.name) else {
            return (false, zone_crossing_cost);
        };
        let remaining_wait = known
            .reported_wait
            .saturating_sub(now.saturating_sub(known.reported_at));
        (
            now < known.avoid_until,
            remaining_wait
                + zone_crossing_cost
                + known.in_flight as Microseconds * ASSUMED_RUN_TIME
                    / candidate.slots.max(1) as Microseconds,
        )
    }

    pub fn select(&mut self, now: Microseconds, candidates: &[Candidate]) -> Option<String> {
        self.rotation += 1;
        let count = candidates.len().max(1) as u64;
        // Equal costs take turns.
        let order = |at: usize| (at as u64 + self.rotation) % count;
        let picked = candidates
            .iter()
            .enumerate()
            .min_by_key(|(at, candidate)| (self.cost(now, candidate), order(*at)));
        let picked = picked.map(|(_, candidate)| candidate.name.clone())?;
        self.attempt_started(&picked);
        Some(picked)
    }

    pub fn attempt_started(&mut self, name: &str) {
        self.backends.entry(name.to_string()).or_default().in_flight += 1;
    }

    pub fn attempt_finished(
        &mut self,
        now: Microseconds,
        name: &str,
        wait: Option<Microseconds>,
        bench: bool,
    ) {
        let Some(known) = self.backends.get_mut(name) else {
            return;
        };
        known.in_flight = known.in_flight.saturating_sub(1);
        if let Some(wait) = wait {
            (known.reported_wait, known.reported_at) = (wait, now);
        }
        if bench {
            known.avoid_until = now + FAILURE_COOLDOWN;
        }
    }

    pub fn remove_departed(&mut self, programme: &StateSnapshot) {
        self.backends
            .retain(|name, known| known.in_flight > 0 || programme.backends.contains_key(name));
    }
}

enum Command {
    Deposit(String),
    Select(Vec<Candidate>, tokio::sync::oneshot::Sender<Option<String>>),
    AttemptStarted(String),
    AttemptFinished(String, Option<Microseconds>, bool),
    Withdraw(String, tokio::sync::oneshot::Sender<bool>),
}

#[derive(Clone)]
pub struct SelectorHandle(tokio::sync::mpsc::Sender<Command>);

impl SelectorHandle {
    pub fn start(env: SelectorConfig, outlook: control::SharedVerifiedState) -> SelectorHandle {
        let (sender, mut commands) = tokio::sync::mpsc::channel(4_096);
        tokio::spawn(async move {
            let mut picker = Selector::new(env);
            let mut count = 0u64;
            while let Some(command) = commands.recv().await {
                let now = model::now();
                match command {
                    Command::Deposit(service) => picker.deposit(now, &service),
                    Command::Select(candidates, answer) => {
                        drop(answer.send(picker.select(now, &candidates)))
                    }
                    Command::AttemptStarted(name) => picker.attempt_started(&name),
                    Command::AttemptFinished(name, wait, bench) => {
                        picker.attempt_finished(now, &name, wait, bench)
                    }
                    Command::Withdraw(service, answer) => {
                        let _ = answer.send(picker.withdraw(now, &service));
                    }
                }
                count += 1;
                if count.is_multiple_of(4_096) {
                    picker.remove_departed(&outlook.load().snapshot);
                }
            }
        });
        SelectorHandle(sender)
    }

    async fn send(&self, command: Command) {
        self.0.send(command).await.unwrap_or_default();
    }

    pub async fn deposit(&self, service: &str) {
        self.send(Command::Deposit(service.into())).await;
    }

    pub async fn select(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (answer, picked) = tokio::sync::oneshot::channel();
        self.send(Command::Select(candidates, answer)).await;
        picked.await.ok().flatten()
    }

    pub async fn attempt_started(&self, name: &str) {
        self.send(Command::AttemptStarted(name.into())).await;
    }

    pub async fn attempt_finished(&self, name: &str, wait: Option<Microseconds>, bench: bool) {
        self.send(Command::AttemptFinished(name.into(), wait, bench))
            .await;
    }

    pub async fn withdraw(&self, service: &str) -> bool {
        let (answer, granted) = tokio::sync::oneshot::channel();
        self.send(Command::Withdraw(service.into(), answer)).await;
        granted.await.unwrap_or(false)
    }
}
