//! Invariants of the leases: a key has at most one holder at a time, fencing tokens only grow, and all keys have a holder
//! again after the last fault (design 11.4, 11.5).

use model::Microseconds;
use model::cluster_state::ShardKey;

/// Violations found so far, and counts that show how much the run tested.
#[derive(Default)]
pub struct LeaseChecks {
    pub violations: Vec<String>,
    /// Number of times that a backend acquired or renewed a range.
    pub ranges_taken: usize,
    /// Number of acquired ranges that came with the handover token of their previous holder.
    pub ranges_handed_over: usize,
}

impl LeaseChecks {
    pub(super) fn violation(&mut self, now: Microseconds, invariant: &str, message: String) {
        if self.violations.len() < 40 {
            self.violations
                .push(format!("{invariant}: at {now} {message}"));
        }
    }

    /// Checks that no other backend holds a range of the backend `holder`, which has just acquired or renewed its ranges.
    pub(super) fn check_holders(
        &mut self,
        now: Microseconds,
        backends: &[super::backend::SimulatedBackend],
        holder: usize,
    ) {
        let own = backends[holder].held(now);
        let others = backends
            .iter()
            .zip(0..)
            .filter(|(backend, index)| *index != holder && backend.alive);
        let conflict = others
            .flat_map(|(backend, _)| {
                backend
                    .held(now)
                    .into_iter()
                    .map(|range| (backend.name(), range))
            })
            .find_map(|(name, (from, to, fencing_token))| {
                let overlapping = own
                    .iter()
                    .find(|(range_start, range_end, _)| *range_start <= to && from <= *range_end)?;
                Some(format!(
                    "{} holds {overlapping:?}, {name} holds {:?}",
                    backends[holder].name(),
                    (from, to, fencing_token)
                ))
            });
        conflict
            .into_iter()
            .for_each(|message| self.violation(now, "owner", message));
    }

    /// Checks the state at the end, after the time for recovery: every key has a holder, and every live backend holds a
    /// range.
    pub(super) fn check_final_state(
        &mut self,
        now: Microseconds,
        backends: &[super::backend::SimulatedBackend],
    ) {
        let mut held: Vec<(ShardKey, ShardKey)> = backends
            .iter()
            .filter(|backend| backend.alive)
            .flat_map(|backend| backend.held(now))
            .map(|(from, to, _)| (from, to))
            .collect();
        held.sort();
        let next_key = held.iter().fold(0u32, |next_key, (from, to)| {
            if *from as u32 <= next_key {
                next_key.max(*to as u32 + 1)
            } else {
                next_key
            }
        });
        if next_key <= ShardKey::MAX as u32 {
            self.violation(
                now,
                "unheld",
                format!("no backend holds key {next_key}; held: {held:?}"),
            );
        }
        let idle = backends
            .iter()
            .filter(|backend| backend.alive && backend.held(now).is_empty())
            .map(super::backend::SimulatedBackend::name);
        let idle: Vec<String> = idle.collect();
        if !idle.is_empty() {
            self.violation(now, "idle", format!("{idle:?} are live and hold no range"));
        }
    }
}
