//! Load reports of backends, and the capacity of each backend estimated from them. Performs no I/O.

use std::collections::BTreeMap;

use model::cluster_state::AvailableBackend;
use model::{BackendName, Microseconds};
use transport::LoadReport;

use super::algorithm::{BackendCapacity, RangeDemand};

/// Time for which a load report is used, in microseconds.
const REPORT_LIFETIME: Microseconds = 3_500_000;
/// Weight of the mean run time of all backends in the estimate of one backend, in runs of that backend.
const MEAN_RUN_TIME_WEIGHT: f64 = 12.0;
/// Run time that is assumed until a run is reported, in microseconds.
const DEFAULT_RUN_TIME: f64 = 1_000_000.0;
const MICROSECONDS_PER_SECOND: f64 = 1_000_000.0;
/// The share of its capacity that an ejected backend is given.
const EJECTED_CAPACITY_SHARE: f64 = 0.1;

/// The latest load report of each backend.
#[derive(Default)]
pub(super) struct LoadReports {
    latest: BTreeMap<BackendName, ReceivedReport>,
}

struct ReceivedReport {
    received_at: Microseconds,
    report: LoadReport,
}

/// Mean run time of a backend, in microseconds, and the number of runs in the mean.
#[derive(Clone, Copy, Default)]
struct RunTimes {
    mean: f64,
    count: f64,
}

impl LoadReports {
    /// Records a report, which replaces the backend's previous one.
    pub(super) fn record(&mut self, now: Microseconds, report: LoadReport) {
        let received = ReceivedReport {
            received_at: now,
            report,
        };
        self.latest
            .insert(received.report.backend.clone(), received);
    }

    /// Removes reports that are too old.
    pub(super) fn expire(&mut self, now: Microseconds) {
        self.latest
            .retain(|_, received| now < received.received_at + REPORT_LIFETIME);
    }

    /// Returns the requests per second of each shard range, in key order.
    pub(super) fn demand(&self) -> Vec<RangeDemand> {
        let mut demand = Vec::new();
        for received in self.latest.values() {
            let ranges = received.report.demand.iter();
            demand.extend(ranges.map(|(first, last, rate)| (*first, *last, *rate as f64)));
        }
        demand.sort_by_key(|(first_key, ..)| *first_key);
        demand
    }

    /// Returns the weighted number of requests from which the demand was estimated.
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

    /// Returns the backends that are reported as unhealthy.
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

    /// Returns the mean run time over all these backends, in microseconds.
    fn mean_run_time(&self, backends: &[AvailableBackend]) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for backend in backends {
            let run_times = self.run_times(&backend.name);
            sum += run_times.mean * run_times.count;
            count += run_times.count;
        }
        if count > 0.0 {
            sum / count
        } else {
            DEFAULT_RUN_TIME
        }
    }
}

/// Returns the requests per second that each backend can run: its slots divided by its mean run time. The fewer runs of
/// a backend were reported, the closer its estimated run time is to the mean of all backends. The capacity of an
/// ejected backend is reduced (design section 13.8).
pub(super) fn backend_capacities(
    backends: &[AvailableBackend],
    load_reports: &LoadReports,
    ejected: &[BackendName],
) -> Vec<BackendCapacity> {
    let mean = load_reports.mean_run_time(backends);
    let capacity = |backend: &AvailableBackend| {
        let run_times = load_reports.run_times(&backend.name);
        let run_time = (run_times.mean * run_times.count + mean * MEAN_RUN_TIME_WEIGHT)
            / (run_times.count + MEAN_RUN_TIME_WEIGHT);
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
