//! What back ends report of their load, and how much each of them can do by that. Without input or output.

use std::collections::BTreeMap;

use model::cluster_state::AvailableBackend;
use model::{BackendName, Microseconds};
use transport::LoadReport;

use super::algorithm::{BackendCapacity, RangeDemand};

/// How long a load report counts, in microseconds.
const REPORT_LIFETIME: Microseconds = 3_500_000;
/// The mean run time of all back ends counts beside a back end's own as much as so many runs of its own.
const MEAN_RUN_TIME_WEIGHT: f64 = 12.0;
/// The run time that is assumed while no run was reported, in microseconds.
const DEFAULT_RUN_TIME: f64 = 1_000_000.0;
const MICROSECONDS_PER_SECOND: f64 = 1_000_000.0;
/// The part of what it could do that an ejected back end is given.
const EJECTED_CAPACITY_SHARE: f64 = 0.1;

/// The latest load report of each back end.
#[derive(Default)]
pub(super) struct LoadReports {
    latest: BTreeMap<BackendName, ReceivedReport>,
}

struct ReceivedReport {
    received_at: Microseconds,
    report: LoadReport,
}

/// Mean time of a back end's runs, in microseconds, and how many runs it is the mean of.
#[derive(Clone, Copy, Default)]
struct RunTimes {
    mean: f64,
    count: f64,
}

impl LoadReports {
    /// Takes in a report in place of the back end's earlier one.
    pub(super) fn record(&mut self, now: Microseconds, report: LoadReport) {
        let received = ReceivedReport {
            received_at: now,
            report,
        };
        self.latest
            .insert(received.report.backend.clone(), received);
    }

    /// Forgets reports that are too old to count.
    pub(super) fn expire(&mut self, now: Microseconds) {
        self.latest
            .retain(|_, received| now < received.received_at + REPORT_LIFETIME);
    }

    /// Requests a second per range of keys, in the order of the keys.
    pub(super) fn demand(&self) -> Vec<RangeDemand> {
        let mut demand = Vec::new();
        for received in self.latest.values() {
            let ranges = received.report.demand.iter();
            demand.extend(ranges.map(|(first, last, rate)| (*first, *last, *rate as f64)));
        }
        demand.sort_by_key(|(first_key, ..)| *first_key);
        demand
    }

    /// How many requests the demand was counted from.
    pub(super) fn observed_requests(&self) -> f64 {
        self.latest
            .values()
            .map(|received| received.report.demand_samples as f64)
            .sum()
    }

    pub(super) fn is_unhealthy(&self, name: &str) -> bool {
        self.latest
            .get(name)
            .is_some_and(|received| received.report.unhealthy)
    }

    /// The back ends that are reported to be unhealthy.
    pub(super) fn unhealthy(&self) -> impl Iterator<Item = &BackendName> {
        self.latest
            .iter()
            .filter(|(_, received)| received.report.unhealthy)
            .map(|(name, _)| name)
    }

    fn run_times(&self, name: &str) -> RunTimes {
        let Some(received) = self.latest.get(name) else {
            return RunTimes::default();
        };
        RunTimes {
            mean: received.report.mean_run_time as f64,
            count: received.report.run_count as f64,
        }
    }

    /// Mean run time over all these back ends, in microseconds.
    fn mean_run_time(&self, backends: &[AvailableBackend]) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for backend in backends {
            let own = self.run_times(&backend.name);
            sum += own.mean * own.count;
            count += own.count;
        }
        if count > 0.0 {
            sum / count
        } else {
            DEFAULT_RUN_TIME
        }
    }
}

/// Requests a second that each back end can do: its slots over the mean time of its runs. The fewer of its runs were
/// seen, the more it counts as the others do. An ejected one is given little (design section 13.8).
pub(super) fn backend_capacities(
    backends: &[AvailableBackend],
    load_reports: &LoadReports,
    ejected: &[BackendName],
) -> Vec<BackendCapacity> {
    let mean = load_reports.mean_run_time(backends);
    let capacity = |backend: &AvailableBackend| {
        let own = load_reports.run_times(&backend.name);
        let run_time = (own.mean * own.count + mean * MEAN_RUN_TIME_WEIGHT)
            / (own.count + MEAN_RUN_TIME_WEIGHT);
        let share = if ejected.contains(&backend.name) {
            EJECTED_CAPACITY_SHARE
        } else {
            1.0
        };
        share * backend.slots.max(1) as f64 * MICROSECONDS_PER_SECOND / run_time
    };
    backends
        .iter()
        .map(|backend| (backend.name.clone(), capacity(backend)))
        .collect()
}
