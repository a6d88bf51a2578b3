//! What a back end may be told to hold: only what the log says is its own, never beyond what a proof allows, and
//! not before whoever held it earlier surely does not (design 11.5). Pure, with the time told to it.

use model::bill::{Key, Rows};
use model::{Micros, Position};

#[derive(Clone, Copy, Debug)]
pub struct KeysEnv {
    /// How long after it was asked a proof allows grants; the same at every node.
    pub bound: Micros,
    /// Added to the bound by whoever waits it out.
    pub guard: Micros,
    /// The longest hold a back end takes.
    pub most: Micros,
}

/// Rows with fence and what was handed over, and for how long from when the beat was sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grant {
    pub rows: Vec<(Key, Key, Position, String)>,
    pub hold: Micros,
    /// Waited out here: earlier holders of these hold them no more.
    pub settled: Vec<(Key, Key, Position)>,
    pub coming: Vec<(Key, Key)>,
}

pub struct Keys {
    env: KeysEnv,
    /// When this node first saw the rows of a fence: whoever lost them may have been granted until a bound later.
    seen: std::collections::BTreeMap<Position, Micros>,
}

/// A back end's clock may run two in a hundred slow; one more for ours.
fn shortened(hold: Micros) -> Micros {
    hold * 100 / 103
}

impl Keys {
    pub fn new(env: KeysEnv) -> Keys {
        Keys { env, seen: Default::default() }
    }

    /// To be told of every change of the rows, so that waits begin when the change is heard.
    pub fn observe(&mut self, now: Micros, rows: &Rows, name: &str) {
        let own = || rows.iter().filter(|row| row.holder.as_deref() == Some(name));
        self.seen.retain(|fence, _| own().any(|row| row.fence == *fence));
        own().for_each(|row| {
            self.seen.entry(row.fence).or_insert(now);
        });
    }

    /// `held`: what the back end says it holds, with the fences it was given. `None`: nothing may be renewed now.
    pub fn grant(&mut self, now: Micros, proved: Micros, rows: &Rows, name: &str, held: &[(Key, Key, Position)]) -> Option<Grant> {
        self.observe(now, rows, name);
        let right = proved + self.env.bound;
        if proved == 0 || now >= right {
            return None;
        }
        let hold = shortened(right - now).min(self.env.most);
        let grant = Grant { hold, ..Default::default() };
        Some(rows.iter().filter(|row| row.holder.as_deref() == Some(name)).fold(grant, |mut grant, row| {
            let owed = row.owed.iter().any(|(owing, _)| owing != name);
            let waited = self.seen.get(&row.fence).is_some_and(|seen| now >= seen + self.env.bound + self.env.guard);
            // What it holds already it holds on; nobody else was granted it since.
            let has = held.iter().any(|(from, to, fence)| *fence == row.fence && *from <= row.from && row.to <= *to);
            if owed && !waited && !has {
                grant.coming.push((row.from, row.to));
                return grant;
            }
            if owed {
                grant.settled.push((row.from, row.to, row.fence));
            }
            let token = if has || waited && owed { String::new() } else { row.token.clone() };
            grant.rows.push((row.from, row.to, row.fence, token));
            grant
        }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use model::bill::rows;

    const ENV: KeysEnv = KeysEnv { bound: 9_000_000, guard: 300_000, most: 10_000_000 };

    fn moved() -> Rows {
        let all = |name: &str| vec![(0, Key::MAX, name.to_string())];
        rows::recast(rows::recast(rows::empty(), &all("a"), 3), &all("b"), 7)
    }

    #[test]
    fn the_next_holder_waits_for_the_release_or_for_the_bound() {
        let mut keys = Keys::new(ENV);
        let first = keys.grant(1_000_000, 900_000, &moved(), "b", &[]).expect("a proof");
        assert!(first.rows.is_empty() && first.coming == vec![(0, Key::MAX)], "{first:?}");
        let released = rows::released(moved(), "a", 7, &[(0, Key::MAX, "token".into())]);
        let second = keys.grant(1_100_000, 900_000, &released, "b", &[]).expect("a proof");
        assert_eq!(second.rows, vec![(0, Key::MAX, 7, "token".into())]);
        assert!(keys.grant(10_200_000, 9_900_000, &moved(), "b", &[]).expect("a proof").rows.is_empty(), "bound and guard count from when it was seen");
        let third = keys.grant(10_300_000, 9_900_000, &moved(), "b", &[]).expect("a proof");
        assert_eq!((third.rows.len(), third.settled.len()), (1, 1));
    }

    #[test]
    fn a_hold_ends_before_the_proof_does_on_a_slow_clock_too() {
        let mut keys = Keys::new(ENV);
        let held = rows::recast(rows::empty(), &[(0, Key::MAX, "a".into())], 3);
        assert_eq!(keys.grant(50, 0, &held, "a", &[]), None, "no proof yet");
        let grant = keys.grant(5_000_000, 1_000_000, &held, "a", &[]).expect("a proof");
        assert!(5_000_000 + grant.hold * 102 / 100 < 10_000_000);
        assert_eq!(keys.grant(10_000_000, 1_000_000, &held, "a", &[]), None, "the proof is too old");
    }
}
