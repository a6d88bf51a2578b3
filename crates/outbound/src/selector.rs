//! Load balancing: selection of the backend for a request (design 13.5), and the retry budgets of
//! the services (design 13.6). One task owns the state; [`SelectorHandle`] is its handle.
//!
//! The cost of a candidate is a time. It is the sum of the wait that the candidate's node reported
//! last, less the time that has passed since; the cost of a backend in another zone; and an
//! estimate for the requests that this report does not include yet. The selector of `legacy-proxy`
//! differs: it always prefers its own zone, and then the lower ratio of requests in flight to
//! slots.

mod handle;
#[cfg(test)]
mod tests;

use std::collections::HashMap;

use model::Microseconds;
use model::cluster_state::StateSnapshot;
use proxy_core::{Candidate, FAILURE_COOLDOWN, least_cost};

use crate::RetryBudget;

pub use handle::SelectorHandle;

/// Assumed run time of a request that is in flight and not included in a report yet, in
/// microseconds.
const ASSUMED_RUN_TIME: Microseconds = 60_000;

/// Configuration of a selector.
#[derive(Clone, Copy, Debug)]
pub struct SelectorConfig {
    /// The additional cost of a backend in another zone, in microseconds of waiting time.
    pub zone_crossing_cost: Microseconds,
    /// The deposit of each request into its service's retry budget, in hundredths of a retry
    /// (see [`RetryBudget::deposit_for_ratio`]).
    pub retry_deposit: u64,
}

/// The load of a backend as this node knows it.
#[derive(Default)]
struct BackendLoad {
    /// The number of attempts that have started and not finished.
    in_flight: u32,
    /// The expected wait that the backend's node reported last, in microseconds, and the time of
    /// that report.
    reported_wait: Microseconds,
    reported_at: Microseconds,
    /// The time until which the backend is selected only if all other candidates are avoided too.
    avoid_until: Microseconds,
}

/// The state of selection and retry budgets. It does no I/O; callers pass in the current time.
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

    /// Returns whether the candidate is currently avoided, and its cost in microseconds.
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

    /// Records the end of an attempt. `reported_wait` is the expected wait that the backend's node
    /// reported, if any; with `start_cooldown` the backend is avoided for [`FAILURE_COOLDOWN`].
    pub(crate) fn attempt_finished(
        &mut self,
        now: Microseconds,
        name: &str,
        reported_wait: Option<Microseconds>,
        start_cooldown: bool,
    ) {
        let Some(load) = self.backends.get_mut(name) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if let Some(reported_wait) = reported_wait {
            (load.reported_wait, load.reported_at) = (reported_wait, now);
        }
        if start_cooldown {
            load.avoid_until = now + FAILURE_COOLDOWN;
        }
    }

    /// Removes backends that are no longer in the cluster state and have no attempt in flight.
    pub(crate) fn remove_departed(&mut self, snapshot: &StateSnapshot) {
        self.backends
            .retain(|name, load| load.in_flight > 0 || snapshot.backends.contains_key(name));
    }
}
