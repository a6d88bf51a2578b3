//! Which key leases a back end may be granted, and for how long: only what the log says is its own, never longer than
//! the node's proof of the state allows, and not before an earlier holder surely holds them no more (design
//! section 11.5). Without input or output; the caller passes the time in.

use std::collections::BTreeMap;

use model::cluster_state::{ShardKey, ShardMap, ShardRange};
use model::{Microseconds, Position};

use crate::heartbeat::{HeldRange, LeasedRange};

/// How long leases last. All nodes have to have the same values.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// How long after it was requested a proof of the state allows leases, in microseconds.
    pub proof_validity: Microseconds,
    /// Added to `proof_validity` where a node waits until leases that another node granted have expired, in
    /// microseconds.
    pub clock_guard: Microseconds,
    /// The longest lease that a back end takes, in microseconds.
    pub max_duration: Microseconds,
}

/// What a back end may hold, as of one heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseGrant {
    /// All ranges that the back end is to hold.
    pub ranges: Vec<LeasedRange>,
    /// For how long, counted from when the heartbeat was sent, in microseconds.
    pub duration: Microseconds,
    /// Ranges whose earlier holders were waited out here: their leases have expired, so they hold these no more.
    pub expired_releases: Vec<HeldRange>,
    /// First and last key of each range that is the back end's own but may still be held by an earlier holder.
    pub pending: Vec<(ShardKey, ShardKey)>,
}

/// Grants the leases of one back end.
pub struct LeaseGranter {
    config: LeaseConfig,
    /// By fencing token, when this node first saw the back end's ranges of it: their earlier holder may
    /// have been granted a lease up to `proof_validity` later.
    first_seen: BTreeMap<Position, Microseconds>,
}

/// A lease duration that is safe on a back end's clock that runs two in a hundred slow, with one in a hundred more
/// for this node's own clock.
fn shortened_for_slow_clocks(duration: Microseconds) -> Microseconds {
    duration * 100 / 103
}

fn is_held_by(range: &ShardRange, name: &str) -> bool {
    range.holder.as_deref() == Some(name)
}

impl LeaseGranter {
    /// A granter that has seen no range yet.
    pub fn new(config: LeaseConfig) -> LeaseGranter {
        LeaseGranter {
            config,
            first_seen: BTreeMap::new(),
        }
    }

    /// Takes in the shard map of the service that the back end `name` belongs to. Has to be called for each change of
    /// it, so that waiting for earlier holders begins when the change arrives.
    pub fn observe(&mut self, now: Microseconds, shard_map: &ShardMap, name: &str) {
        let own = || shard_map.iter().filter(|range| is_held_by(range, name));
        self.first_seen
            .retain(|token, _| own().any(|range| range.fencing_token == *token));
        for range in own() {
            self.first_seen.entry(range.fencing_token).or_insert(now);
        }
    }

    /// What the back end `name` may hold, given that the state was proved by a request sent at `verified_at` (0 if
    /// never). `held` is what the back end says it holds, with the fencing tokens that it was given.
    ///
    /// `None` if the proof is too old: no lease may be renewed now.
    pub fn grant(
        &mut self,
        now: Microseconds,
        verified_at: Microseconds,
        shard_map: &ShardMap,
        name: &str,
        held: &[HeldRange],
    ) -> Option<LeaseGrant> {
        self.observe(now, shard_map, name);
        let proof_expires = verified_at + self.config.proof_validity;
        if verified_at == 0 || now >= proof_expires {
            return None;
        }
        let mut grant = LeaseGrant {
            duration: shortened_for_slow_clocks(proof_expires - now).min(self.config.max_duration),
            ..LeaseGrant::default()
        };
        for range in shard_map.iter().filter(|range| is_held_by(range, name)) {
            self.grant_range(&mut grant, now, range, name, held);
        }
        Some(grant)
    }

    fn grant_range(
        &self,
        grant: &mut LeaseGrant,
        now: Microseconds,
        range: &ShardRange,
        name: &str,
        held: &[HeldRange],
    ) {
        let (first_key, last_key, token) = (range.first_key, range.last_key, range.fencing_token);
        let is_owed = range
            .pending_releases
            .iter()
            .any(|(earlier, _)| earlier != name);
        let waited = self.is_waited_out(now, token);
        // What the back end holds already it may go on holding: nobody else was granted it since.
        let is_held = held
            .iter()
            .any(|(from, to, held)| *held == token && *from <= first_key && last_key <= *to);
        if is_owed && !waited && !is_held {
            grant.pending.push((first_key, last_key));
            return;
        }
        if is_owed {
            grant.expired_releases.push((first_key, last_key, token));
        }
        let handover_token = if is_held || waited && is_owed {
            String::new()
        } else {
            range.handover_token.clone()
        };
        grant
            .ranges
            .push((first_key, last_key, token, handover_token));
    }

    /// Whether each lease that another node granted before the ranges of this fencing token moved has expired.
    fn is_waited_out(&self, now: Microseconds, token: Position) -> bool {
        let wait = self.config.proof_validity + self.config.clock_guard;
        self.first_seen
            .get(&token)
            .is_some_and(|seen| now >= seen + wait)
    }
}
