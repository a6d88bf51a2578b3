//! Decides which shard leases a backend is granted, and for how long: only ranges that the log assigns to the backend,
//! never longer than the node's freshness proof allows, and not before the leases of earlier holders have certainly
//! ended (design section 11.5). Performs no I/O; the caller passes the time.

use std::collections::BTreeMap;

use model::cluster_state::{ShardKey, ShardMap, ShardRange};
use model::{Microseconds, Position};

use crate::heartbeat::{HeldRange, LeasedRange};

/// Durations of leases. All nodes have to use the same values.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// Validity of a freshness proof for granting leases, counted from its request, in microseconds.
    pub proof_validity: Microseconds,
    /// Margin for clock differences, in microseconds: added to `proof_validity` when a node waits for the expiry of
    /// leases that another node granted.
    pub clock_margin: Microseconds,
    /// Maximum duration of a lease, in microseconds.
    pub max_duration: Microseconds,
}

/// The leases that a backend is granted in answer to one heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseGrant {
    /// All shard ranges that the backend is to hold.
    pub ranges: Vec<LeasedRange>,
    /// Duration of the leases, counted from when the heartbeat was sent, in microseconds.
    pub duration: Microseconds,
    /// Granted ranges that earlier holders have not released: the leases of these holders have expired.
    pub expired_releases: Vec<HeldRange>,
    /// First and last key of each range that is assigned to the backend but may still be held by an earlier holder.
    pub pending: Vec<(ShardKey, ShardKey)>,
}

/// Grants the leases of one backend.
pub struct LeaseGranter {
    config: LeaseConfig,
    /// For each fencing token, the time at which this node first observed the backend's ranges with it: their earlier
    /// holder may have been granted a lease that ends up to `proof_validity` after that.
    first_seen: BTreeMap<Position, Microseconds>,
}

/// Shortens a lease duration so that it is safe if the backend's clock runs 2 % slow, with a further 1 % for this
/// node's own clock.
fn shortened_for_slow_clocks(duration: Microseconds) -> Microseconds {
    duration * 100 / 103
}

fn is_held_by(range: &ShardRange, name: &str) -> bool {
    range.holder.as_deref() == Some(name)
}

impl LeaseGranter {
    /// Creates a granter that has observed no ranges yet.
    pub fn new(config: LeaseConfig) -> LeaseGranter {
        LeaseGranter {
            config,
            first_seen: BTreeMap::new(),
        }
    }

    /// Records the ranges that the shard map of its service assigns to the backend `name`. Has to be called for each
    /// change of the shard map, because the wait for earlier holders begins when the change arrives.
    pub fn observe(&mut self, now: Microseconds, shard_map: &ShardMap, name: &str) {
        let own = || shard_map.iter().filter(|range| is_held_by(range, name));
        self.first_seen
            .retain(|token, _| own().any(|range| range.fencing_token == *token));
        for range in own() {
            self.first_seen.entry(range.fencing_token).or_insert(now);
        }
    }

    /// Returns the leases of the backend `name`, or `None` if the freshness proof is too old to renew any lease.
    ///
    /// `verified_at` is the time at which the latest successful freshness proof was requested (0 if never). `held` are
    /// the ranges that the backend reports as held, with their fencing tokens.
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
        let has_pending_release = range
            .pending_releases
            .iter()
            .any(|(earlier, _)| earlier != name);
        let earlier_expired = self.earlier_leases_expired(now, token);
        // The backend may keep a range that it already holds: no other backend was granted the range since.
        let is_held = held
            .iter()
            .any(|(from, to, held)| *held == token && *from <= first_key && last_key <= *to);
        if has_pending_release && !earlier_expired && !is_held {
            grant.pending.push((first_key, last_key));
            return;
        }
        if has_pending_release {
            grant.expired_releases.push((first_key, last_key, token));
        }
        let handover_token = if is_held || earlier_expired && has_pending_release {
            String::new()
        } else {
            range.handover_token.clone()
        };
        grant
            .ranges
            .push((first_key, last_key, token, handover_token));
    }

    /// Returns whether all leases that other nodes granted before the ranges got this fencing token have expired.
    fn earlier_leases_expired(&self, now: Microseconds, token: Position) -> bool {
        let wait = self.config.proof_validity + self.config.clock_margin;
        self.first_seen
            .get(&token)
            .is_some_and(|first_seen_at| now >= first_seen_at + wait)
    }
}
