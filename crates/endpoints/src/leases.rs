//! What a back end may be told to hold: only what the log says is its own, never beyond what a proof allows, and
//! not before whoever held it earlier surely does not (design 11.5). Pure, with the time told to it.

use model::cluster_state::{ShardKey, ShardMap};
use model::{Microseconds, Position};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// How long after it was asked a proof allows grants; the same at every node.
    pub proof_validity: Microseconds,
    /// Added to the bound by whoever waits it out.
    pub clock_guard: Microseconds,
    /// The longest hold a back end takes.
    pub max_duration: Microseconds,
}

/// Rows with fence and what was handed over, and for how long from when the beat was sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseGrant {
    pub ranges: Vec<(ShardKey, ShardKey, Position, String)>,
    pub duration: Microseconds,
    /// Waited out here: earlier holders of these hold them no more.
    pub waited_out: Vec<(ShardKey, ShardKey, Position)>,
    pub pending: Vec<(ShardKey, ShardKey)>,
}

pub struct LeaseGranter {
    config: LeaseConfig,
    /// When this node first saw the rows of a fence: whoever lost them may have been granted until a bound later.
    first_seen: BTreeMap<Position, Microseconds>,
}

/// A back end's clock may run two in a hundred slow; one more for ours.
fn shortened_for_slow_clocks(hold: Microseconds) -> Microseconds {
    hold * 100 / 103
}

impl LeaseGranter {
    pub fn new(env: LeaseConfig) -> LeaseGranter {
        LeaseGranter {
            config: env,
            first_seen: Default::default(),
        }
    }

    /// To be told of every change of the rows, so that waits begin when the change is heard.
    pub fn observe(&mut self, now: Microseconds, rows: &ShardMap, name: &str) {
        let own = || {
            rows.iter()
                .filter(|row| row.holder.as_deref() == Some(name))
        };
        self.first_seen
            .retain(|fence, _| own().any(|row| row.fencing_token == *fence));
        own().for_each(|row| {
            self.first_seen.entry(row.fencing_token).or_insert(now);
        });
    }

    /// `held`: what the back end says it holds, with the fences it was given. `None`: nothing may be renewed now.
    pub fn grant(
        &mut self,
        now: Microseconds,
        proved: Microseconds,
        rows: &ShardMap,
        name: &str,
        held: &[(ShardKey, ShardKey, Position)],
    ) -> Option<LeaseGrant> {
        self.observe(now, rows, name);
        let right = proved + self.config.proof_validity;
        if proved == 0 || now >= right {
            return None;
        }
        let hold = shortened_for_slow_clocks(right - now).min(self.config.max_duration);
        let grant = LeaseGrant {
            duration: hold,
            ..Default::default()
        };
        Some(
            rows.iter()
                .filter(|row| row.holder.as_deref() == Some(name))
                .fold(grant, |mut grant, row| {
                    let owed = row.pending_releases.iter().any(|(owing, _)| owing != name);
                    let waited = self.first_seen.get(&row.fencing_token).is_some_and(|seen| {
                        now >= seen + self.config.proof_validity + self.config.clock_guard
                    });
                    // What it holds already it holds on; nobody else was granted it since.
                    let has = held.iter().any(|(from, to, fence)| {
                        *fence == row.fencing_token && *from <= row.first_key && row.last_key <= *to
                    });
                    if owed && !waited && !has {
                        grant.pending.push((row.first_key, row.last_key));
                        return grant;
                    }
                    if owed {
                        grant
                            .waited_out
                            .push((row.first_key, row.last_key, row.fencing_token));
                    }
                    let token = if has || waited && owed {
                        String::new()
                    } else {
                        row.handover_token.clone()
                    };
                    grant
                        .ranges
                        .push((row.first_key, row.last_key, row.fencing_token, token));
                    grant
                }),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use model::cluster_state::shard_map;

    const CONFIG: LeaseConfig = LeaseConfig {
        proof_validity: 9_000_000,
        clock_guard: 300_000,
        max_duration: 10_000_000,
    };

    fn moved() -> ShardMap {
        let all = |name: &str| vec![(0, ShardKey::MAX, name.to_string())];
        shard_map::reassign(
            shard_map::reassign(shard_map::unassigned(), &all("a"), 3),
            &all("b"),
            7,
        )
    }

    #[test]
    fn the_next_holder_waits_for_the_release_or_for_the_bound() {
        let mut keys = LeaseGranter::new(CONFIG);
        let first = keys
            .grant(1_000_000, 900_000, &moved(), "b", &[])
            .expect("a proof");
        assert!(
            first.ranges.is_empty() && first.pending == vec![(0, ShardKey::MAX)],
            "{first:?}"
        );
        let released = shard_map::release(moved(), "a", 7, &[(0, ShardKey::MAX, "token".into())]);
        let second = keys
            .grant(1_100_000, 900_000, &released, "b", &[])
            .expect("a proof");
        assert_eq!(second.ranges, vec![(0, ShardKey::MAX, 7, "token".into())]);
        assert!(
            keys.grant(10_200_000, 9_900_000, &moved(), "b", &[])
                .expect("a proof")
                .ranges
                .is_empty(),
            "bound and guard count from when it was seen"
        );
        let third = keys
            .grant(10_300_000, 9_900_000, &moved(), "b", &[])
            .expect("a proof");
        assert_eq!((third.ranges.len(), third.waited_out.len()), (1, 1));
    }

    #[test]
    fn a_hold_ends_before_the_proof_does_on_a_slow_clock_too() {
        let mut keys = LeaseGranter::new(CONFIG);
        let held = shard_map::reassign(
            shard_map::unassigned(),
            &[(0, ShardKey::MAX, "a".into())],
            3,
        );
        assert_eq!(keys.grant(50, 0, &held, "a", &[]), None, "no proof yet");
        let grant = keys
            .grant(5_000_000, 1_000_000, &held, "a", &[])
            .expect("a proof");
        assert!(5_000_000 + grant.duration * 102 / 100 < 10_000_000);
        assert_eq!(
            keys.grant(10_000_000, 1_000_000, &held, "a", &[]),
            None,
            "the proof is too old"
        );
    }
}
