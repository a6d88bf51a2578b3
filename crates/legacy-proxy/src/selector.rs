//! Which back end gets the next request: in the zone first, then by load (design 5.2).

use model::Microseconds;
use std::collections::HashMap;

/// After a refusal or a lost mate a back end is passed over so long, unless nobody else is left.
const FAILURE_COOLDOWN: Microseconds = 300_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: String,
    pub slots: u32,
    pub same_zone: bool,
}

#[derive(Default)]
pub struct Selector {
    /// Dispatches under way from here, and until when it sits on the bench.
    backends: HashMap<String, (u32, Microseconds)>,
}

impl Selector {
    pub fn select(
        &mut self,
        now: Microseconds,
        candidates: &[Candidate],
        turn: u64,
    ) -> Option<String> {
        let benched = |candidate: &Candidate| {
            self.backends
                .get(&candidate.name)
                .is_some_and(|(_, until)| now < *until)
        };
        let load = |candidate: &Candidate| {
            self.backends
                .get(&candidate.name)
                .map(|(busy, _)| *busy)
                .unwrap_or(0) as u64
                * 1_000
                / candidate.slots.max(1) as u64
        };
        let picked = candidates
            .iter()
            .enumerate()
            .min_by_key(|(at, candidate)| {
                // Equal loads take turns.
                let order = (*at as u64 + turn) % candidates.len() as u64;
                (
                    benched(candidate),
                    !candidate.same_zone,
                    load(candidate),
                    order,
                )
            })
            .map(|(_, candidate)| candidate.name.clone())?;
        self.backends.entry(picked.clone()).or_default().0 += 1;
        Some(picked)
    }

    pub fn attempt_finished(&mut self, now: Microseconds, name: &str, bench: bool) {
        if let Some((busy, until)) = self.backends.get_mut(name) {
            *busy = busy.saturating_sub(1);
            if bench {
                *until = now + FAILURE_COOLDOWN;
            }
            if *busy == 0 && now >= *until {
                self.backends.remove(name);
            }
        }
    }
}

enum Command {
    Select(Vec<Candidate>, tokio::sync::oneshot::Sender<Option<String>>),
    AttemptFinished(String, bool),
}

#[derive(Clone)]
pub struct SelectorHandle(tokio::sync::mpsc::Sender<Command>);

impl SelectorHandle {
    pub fn start() -> Self {
        let (sender, mut commands) = tokio::sync::mpsc::channel(1_024);
        tokio::spawn(async move {
            let mut picker = Selector::default();
            let mut turn = 0;
            while let Some(command) = commands.recv().await {
                match command {
                    Command::Select(candidates, answer) => {
                        turn += 1;
                        drop(answer.send(picker.select(model::now(), &candidates, turn)));
                    }
                    Command::AttemptFinished(name, bench) => {
                        picker.attempt_finished(model::now(), &name, bench)
                    }
                }
            }
        });
        SelectorHandle(sender)
    }

    pub async fn select(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (answer, picked) = tokio::sync::oneshot::channel();
        self.0
            .send(Command::Select(candidates, answer))
            .await
            .ok()?;
        picked.await.ok().flatten()
    }

    pub async fn attempt_finished(&self, name: &str, bench: bool) {
        self.0
            .send(Command::AttemptFinished(name.to_string(), bench))
            .await
            .unwrap_or_default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(name: &str, slots: u32, near: bool) -> Candidate {
        Candidate {
            name: name.into(),
            slots,
            same_zone: near,
        }
    }

    #[test]
    fn the_own_zone_goes_first_then_load_by_slots_and_who_refused_waits() {
        let mut picker = Selector::default();
        let all = [
            candidate("far", 100, false),
            candidate("small", 2, true),
            candidate("large", 4, true),
        ];
        let picked: Vec<String> = (0..6)
            .filter_map(|turn| picker.select(0, &all, turn))
            .collect();
        let count = |name: &str| picked.iter().filter(|held| *held == name).count();
        assert_eq!((count("far"), count("small"), count("large")), (0, 2, 4));
        picker.attempt_finished(0, "large", true);
        picker.attempt_finished(0, "small", true);
        assert_eq!(
            picker.select(1, &all, 0).as_deref(),
            Some("far"),
            "both near ones sit on the bench"
        );
        assert!(
            picker
                .select(FAILURE_COOLDOWN + 1, &all, 0)
                .is_some_and(|name| name != "far")
        );
    }
}
