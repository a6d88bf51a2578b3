//! Which back end gets the next request: in the zone first, then by load (design 5.2).

use model::Micros;

/// After a refusal or a lost mate a back end is passed over so long, unless nobody else is left.
const BENCH: Micros = 300_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: String,
    pub slots: u32,
    pub near: bool,
}

#[derive(Default)]
pub struct Picker {
    /// Dispatches under way from here, and until when it sits on the bench.
    table: std::collections::HashMap<String, (u32, Micros)>,
}

impl Picker {
    pub fn pick(&mut self, now: Micros, candidates: &[Candidate], turn: u64) -> Option<String> {
        let benched = |candidate: &Candidate| self.table.get(&candidate.name).is_some_and(|(_, until)| now < *until);
        let load = |candidate: &Candidate| self.table.get(&candidate.name).map(|(busy, _)| *busy).unwrap_or(0) as u64 * 1_000 / candidate.slots.max(1) as u64;
        let picked = candidates
            .iter()
            .enumerate()
            .min_by_key(|(at, candidate)| {
                // Equal loads take turns.
                let order = (*at as u64 + turn) % candidates.len() as u64;
                (benched(candidate), !candidate.near, load(candidate), order)
            })
            .map(|(_, candidate)| candidate.name.clone())?;
        self.table.entry(picked.clone()).or_default().0 += 1;
        Some(picked)
    }

    pub fn done(&mut self, now: Micros, name: &str, bench: bool) {
        if let Some((busy, until)) = self.table.get_mut(name) {
            *busy = busy.saturating_sub(1);
            if bench {
                *until = now + BENCH;
            }
            if *busy == 0 && now >= *until {
                self.table.remove(name);
            }
        }
    }
}

enum Command {
    Pick(Vec<Candidate>, tokio::sync::oneshot::Sender<Option<String>>),
    Done(String, bool),
}

#[derive(Clone)]
pub struct PickerDesk(tokio::sync::mpsc::Sender<Command>);

impl PickerDesk {
    pub fn start() -> Self {
        let (sender, mut commands) = tokio::sync::mpsc::channel(1_024);
        tokio::spawn(async move {
            let mut picker = Picker::default();
            let mut turn = 0;
            while let Some(command) = commands.recv().await {
                match command {
                    Command::Pick(candidates, answer) => {
                        turn += 1;
                        drop(answer.send(picker.pick(model::now(), &candidates, turn)));
                    }
                    Command::Done(name, bench) => picker.done(model::now(), &name, bench),
                }
            }
        });
        PickerDesk(sender)
    }

    pub async fn pick(&self, candidates: Vec<Candidate>) -> Option<String> {
        let (answer, picked) = tokio::sync::oneshot::channel();
        self.0.send(Command::Pick(candidates, answer)).await.ok()?;
        picked.await.ok().flatten()
    }

    pub async fn done(&self, name: &str, bench: bool) {
        self.0.send(Command::Done(name.to_string(), bench)).await.unwrap_or_default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(name: &str, slots: u32, near: bool) -> Candidate {
        Candidate { name: name.into(), slots, near }
    }

    #[test]
    fn the_own_zone_goes_first_then_load_by_slots_and_who_refused_waits() {
        let mut picker = Picker::default();
        let all = [candidate("far", 100, false), candidate("small", 2, true), candidate("large", 4, true)];
        let picked: Vec<String> = (0..6).filter_map(|turn| picker.pick(0, &all, turn)).collect();
        let count = |name: &str| picked.iter().filter(|held| *held == name).count();
        assert_eq!((count("far"), count("small"), count("large")), (0, 2, 4));
        picker.done(0, "large", true);
        picker.done(0, "small", true);
        assert_eq!(picker.pick(1, &all, 0).as_deref(), Some("far"), "both near ones sit on the bench");
        assert!(picker.pick(BENCH + 1, &all, 0).is_some_and(|name| name != "far"));
    }
}
