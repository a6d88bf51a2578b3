//! Load balancing: which backend a request goes to (design 13.5), and whether its service may have a
//! retry (design 13.6). One task owns the state and is reached through a [`SelectorHandle`].
//!
//! Unlike the selector of `legacy-proxy`, which prefers its own zone absolutely and then the lower
//! share of slots in flight, a candidate's cost here is time: the wait that its node reported last,
//! less the time since; the cost of leaving the zone; and a guess for the requests that are not yet
//! in that report.

mod handle;
#[cfg(test)]
mod tests;

use std::collections::HashMap;

use model::Microseconds;
use model::cluster_state::StateSnapshot;
use proxy_core::{Candidate, FAILURE_COOLDOWN, least_cost};

use crate::RetryBudget;

pub use handle::SelectorHandle;

/// How long a slot is taken to be busy with a request that is in flight and not yet in a report: 60 ms.
const ASSUMED_RUN_TIME: Microseconds = 60_000;

/// What a selector is set to.
#[derive(Clone, Copy, Debug)]
pub struct SelectorConfig {
    /// What leaving the zone is taken to cost, in microseconds of waiting time.
    pub zone_crossing_cost: Microseconds,
    /// What each request earns its service, in hundredths of a retry
    /// (see [`RetryBudget::deposit_for_ratio`]).
    pub retry_deposit: u64,
}

/// What is known here of a backend's load.
#[derive(Default)]
struct BackendLoad {
    /// Attempts that began and did not finish.
    in_flight: u32,
    /// How long a request would have waited there, and when its node said so.
    reported_wait: Microseconds,
    reported_at: Microseconds,
    /// Until then it is selected only if all others are avoided too.
    avoid_until: Microseconds,
}

/// The state of selection and retry budgets. Pure, with the time passed in.
pub(crate) struct Selector {
    config: SelectorConfig,
    backends: HashMap<String, BackendLoad>,
    retry_budgets: HashMap<String, RetryBudget>,
    rotation: u64,
}

impl Selector {
    pub(crate) fn new(config: SelectorConfig) -> Selector {
        Selector {
            config,
            backends: HashMap::new(),
            retry_budgets: HashMap::new(),
            rotation: 0,
        }
    }

    pub(crate) fn deposit(&mut self, now: Microseconds, service: &str) {
        let retry_budget = self.retry_budgets.entry(service.to_string()).or_default();
        retry_budget.deposit(now, self.config.retry_deposit);
    }

    pub(crate) fn withdraw(&mut self, now: Microseconds, service: &str) -> bool {
        self.retry_budgets
            .entry(service.to_string())
            .or_default()
            .withdraw(now)
    }

    /// Whether the candidate is avoided for now, then its cost in microseconds.
    fn cost(&self, now: Microseconds, candidate: &Candidate) -> (bool, Microseconds) {
        let zone_cost = if candidate.same_zone {
            0
        } else {
            self.config.zone_crossing_cost
        };
        let Some(load) = self.backends.get(&candidate.name) else {
            return (false, zone_cost);
        };
        let remaining_wait = load
            .reported_wait
            .saturating_sub(now.saturating_sub(load.reported_at));
        let slots = Microseconds::from(candidate.slots.max(1));
        let unreported_wait = Microseconds::from(load.in_flight) * ASSUMED_RUN_TIME / slots;
        (
            now < load.avoid_until,
            remaining_wait + zone_cost + unreported_wait,
        )
    }

    /// Selects the candidate of least cost and counts the attempt as in flight.
    pub(crate) fn select(&mut self, now: Microseconds, candidates: &[Candidate]) -> Option<String> {
        self.rotation += 1;
        let selected = least_cost(candidates, self.rotation, |candidate| {
            self.cost(now, candidate)
        })?;
        let name = selected.name.clone();
        self.backends.entry(name.clone()).or_default().in_flight += 1;
        Some(name)
    }

    /// An attempt ended. `reported_wait` is what its node said of the wait there, if it said
    /// anything; with `avoid` the backend is avoided for a while.
    pub(crate) fn attempt_finished(
        &mut self,
        now: Microseconds,
        name: &str,
        reported_wait: Option<Microseconds>,
        avoid: bool,
    ) {
        let Some(load) = self.backends.get_mut(name) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if let Some(reported_wait) = reported_wait {
            (load.reported_wait, load.reported_at) = (reported_wait, now);
        }
        if avoid {
            load.avoid_until = now + FAILURE_COOLDOWN;
        }
    }

    /// Forgets backends that the cluster state no longer holds and that have nothing in flight.
    pub(crate) fn remove_departed(&mut self, snapshot: &StateSnapshot) {
        self.backends
            .retain(|name, load| load.in_flight > 0 || snapshot.backends.contains_key(name));
    }
}
