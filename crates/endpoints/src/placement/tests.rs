//! Simulates a keyed service in virtual time: backends become unhealthy, and the placement of keys reacts to the
//! results of their runs (design section 13.8). Without outlier detection, requests for the keys of an unhealthy
//! backend fail until the backend recovers.

use std::collections::BTreeMap;
use std::mem;

use inbound::{AdmissionQueue, KeyDemand, OutlierDetector, RunResult};
use model::cluster_state::items::{ItemCall, ItemPut};
use model::cluster_state::{
    BackendRecord, ClusterOperation, ClusterReport, ClusterState, ItemBody, Service, StateSnapshot,
    shard_map,
};
use model::{BackendPhase, Microseconds};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use transport::LoadReport;

use super::load::LoadReports;
use super::outliers::EjectionPolicy;
use super::plan::plan_placement;

const BACKENDS: usize = 24;
const SLOTS: u32 = 9;
const SERVICE: &str = "seat";
const REQUESTS_PER_SECOND: f64 = 600.0;
const MEAN_RUN_TIME: f64 = 160_000.0;
const REQUEST_TIMEOUT: Microseconds = 1_200_000;
/// Time from a placement until the earlier holder has released its range, in microseconds.
const HANDOVER_DELAY: Microseconds = 500_000;
const FAST_FAILURE_TIME: Microseconds = 2_000;
/// Fraction of the runs at a healthy backend that fail.
const HEALTHY_FAILURE_SHARE: f64 = 0.03;
const STEP: Microseconds = 1_000;
const CHECK_INTERVAL: Microseconds = 100_000;
const LOAD_REPORT_INTERVAL: Microseconds = 1_000_000;
const UNHEALTHY_LOAD_REPORT_INTERVAL: Microseconds = 200_000;
const MAX_REPORTED_RANGES: usize = 24;
const SECOND: Microseconds = 1_000_000;

/// A period in which the first `backends` of all backends are unhealthy.
#[derive(Clone, Copy)]
struct Outage {
    backends: usize,
    from: Microseconds,
    until: Microseconds,
    /// Fraction of their runs that fail.
    failure_share: f64,
}

#[derive(Clone, Copy)]
struct Scenario {
    outage: Outage,
    /// Whether failing runs get no response until the request times out, instead of failing at once.
    failing_runs_hang: bool,
    /// Whether backends are reported as unhealthy.
    outlier_detection: bool,
    duration: Microseconds,
}

#[derive(Default, Debug)]
struct Measurements {
    requests: u32,
    failed: u32,
    /// Requests without a backend because their key was in transit.
    rejected_in_transit: u32,
    moved_keys: u32,
    /// Time from the start of the outage until the unhealthy backends held less than a third of their share of keys.
    recovery_time: Option<Microseconds>,
    /// Number of times that a healthy backend was judged unhealthy.
    false_positives: u32,
}

impl Measurements {
    /// Returns the failed requests plus half of the rejected ones: the other half succeeds when it is retried.
    fn cost(&self) -> u32 {
        self.failed + self.rejected_in_transit / 2
    }
}

/// The end of a run.
struct Completion {
    backend: usize,
    run_id: u64,
    result: RunResult,
    /// Duration of the run, if it got a response.
    run_time: Option<Microseconds>,
}

#[derive(Default)]
struct SimulatedBackend {
    outliers: OutlierDetector,
    queue: AdmissionQueue<()>,
    demand: KeyDemand,
    reported_at: Microseconds,
    was_unhealthy: bool,
}

fn backend_name(index: usize) -> String {
    format!("b{index:02}")
}

/// The cluster state, which all nodes see without delay.
struct Cluster {
    state: ClusterState,
    sequence: u64,
    snapshot: StateSnapshot,
}

impl Cluster {
    fn new() -> Cluster {
        let mut state = ClusterState::default();
        let service = Service {
            health_path: String::new(),
            max_connections: 0,
            keyed: true,
            slow_start_us: 0,
        };
        let body = ItemBody::Service(service);
        let put = ItemPut {
            name: SERVICE.into(),
            version: 1,
            body,
            text: String::new(),
        };
        let call = ItemCall {
            puts: vec![put],
            drops: Vec::new(),
        };
        state.apply("operator", 1, 0, ClusterOperation::Items(call));
        let reports =
            (0..BACKENDS).flat_map(|index| [node_registered(index), backend_joined(index)]);
        state.apply("nodes", 1, 1, ClusterOperation::Reports(reports.collect()));
        let snapshot = snapshot_of(&state);
        Cluster {
            state,
            sequence: 1,
            snapshot,
        }
    }

    fn apply(&mut self, report: ClusterReport) {
        self.sequence += 1;
        let operation = ClusterOperation::Reports(vec![report]);
        self.state.apply("nodes", 1, self.sequence, operation);
        self.snapshot = snapshot_of(&self.state);
    }

    fn shard_map(&self) -> shard_map::ShardMap {
        let placement = self.snapshot.placements.get(SERVICE);
        placement
            .map(|placement| placement.1.clone())
            .unwrap_or_default()
    }

    /// Returns the number of keys that the first `count` backends hold.
    fn keys_held_by_first(&self, count: usize) -> u32 {
        let shard_map = self.shard_map();
        let is_among_first = |holder: &str| holder < backend_name(count).as_str();
        let held = shard_map
            .iter()
            .filter(|range| range.holder.as_deref().is_some_and(is_among_first));
        held.map(|range| (range.last_key - range.first_key) as u32 + 1)
            .sum()
    }
}

fn snapshot_of(state: &ClusterState) -> StateSnapshot {
    StateSnapshot::default().updated(true, state.position, state.full_deltas())
}

fn node_registered(index: usize) -> ClusterReport {
    ClusterReport::NodeRegistered {
        node: format!("n{index}"),
        zone: "z".into(),
        address: format!("n{index}"),
        incarnation: 1,
        replaces: 0,
    }
}

fn backend_joined(index: usize) -> ClusterReport {
    let backend = BackendRecord {
        service: SERVICE.into(),
        zone: "z".into(),
        node: format!("n{index}"),
        slots: SLOTS,
        phase: BackendPhase::Registered,
        changed_at: 0,
    };
    ClusterReport::BackendJoined {
        name: backend_name(index),
        backend,
    }
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    cluster: Cluster,
    backends: Vec<SimulatedBackend>,
    /// Ends of runs, by time and request number.
    completions: BTreeMap<(Microseconds, u64), Completion>,
    started: u64,
    /// Number of requests that are due to start, including a fraction of the next one.
    due_requests: f64,
    load_reports: LoadReports,
    ejections: EjectionPolicy,
    /// Reports of released ranges, with the time at which each is sent.
    releases: Vec<(Microseconds, ClusterReport)>,
    placed_at: Microseconds,
    measurements: Measurements,
}

fn simulate(scenario: Scenario) -> Measurements {
    let mut simulation = Simulation {
        scenario,
        random: StdRng::seed_from_u64(41),
        cluster: Cluster::new(),
        backends: (0..BACKENDS).map(|_| SimulatedBackend::default()).collect(),
        completions: BTreeMap::new(),
        started: 0,
        due_requests: 0.0,
        load_reports: LoadReports::default(),
        ejections: EjectionPolicy::default(),
        releases: Vec::new(),
        placed_at: 0,
        measurements: Measurements::default(),
    };
    for now in (1..scenario.duration / STEP).map(|step| step * STEP) {
        simulation.step(now);
    }
    eprintln!("{:?}", simulation.measurements);
    simulation.measurements
}

impl Simulation {
    fn step(&mut self, now: Microseconds) {
        self.complete_runs(now);
        self.start_requests(now);
        if now.is_multiple_of(CHECK_INTERVAL) {
            for index in 0..BACKENDS {
                self.report_load(now, index);
            }
            self.release_ranges(now);
            self.place_keys(now);
            self.record_recovery(now);
        }
    }

    fn complete_runs(&mut self, now: Microseconds) {
        while let Some(first) = self
            .completions
            .first_entry()
            .filter(|end| end.key().0 <= now)
        {
            let (ended_at, _) = *first.key();
            let completion = first.remove();
            let backend = &mut self.backends[completion.backend];
            backend
                .outliers
                .run_ended(ended_at, completion.run_id, completion.result);
            if let Some(run_time) = completion.run_time {
                backend.queue.record_run_duration(run_time);
            }
            backend
                .outliers
                .check_overdue(ended_at, backend.queue.mean_run_duration());
        }
    }

    fn start_requests(&mut self, now: Microseconds) {
        self.due_requests += REQUESTS_PER_SECOND / (SECOND / STEP) as f64;
        while self.due_requests >= 1.0 && self.cluster.snapshot.placements.contains_key(SERVICE) {
            self.due_requests -= 1.0;
            self.start_request(now);
        }
    }

    fn start_request(&mut self, now: Microseconds) {
        self.measurements.requests += 1;
        let key: u16 = self.random.random();
        let shard_map = &self.cluster.snapshot.placements[SERVICE].1;
        let Some(range) = shard_map::range_of(shard_map, key) else {
            return;
        };
        let holder = (0..BACKENDS)
            .find(|index| range.holder.as_ref() == Some(&backend_name(*index)))
            .filter(|_| range.pending_releases.is_empty());
        let free =
            holder.filter(|index| self.backends[*index].outliers.running() < 2 * SLOTS as usize);
        let Some(index) = free else {
            self.measurements.rejected_in_transit += 1;
            return;
        };
        let (result, run_time) = self.draw_run(now, index);
        self.started += 1;
        let backend = &mut self.backends[index];
        backend.demand.record(now, key);
        let run_id = backend.outliers.run_started(now);
        backend
            .outliers
            .check_overdue(now, backend.queue.mean_run_duration());
        let answered = result != RunResult::Inconclusive;
        let completion = Completion {
            backend: index,
            run_id,
            result,
            run_time: answered.then_some(run_time),
        };
        self.completions
            .insert((now + run_time, self.started), completion);
    }

    /// Draws the result and the duration of a run that starts now.
    fn draw_run(&mut self, now: Microseconds, index: usize) -> (RunResult, Microseconds) {
        let Outage {
            backends,
            from,
            until,
            failure_share,
        } = self.scenario.outage;
        let fails = index < backends
            && (from..until).contains(&now)
            && self.random.random_bool(failure_share);
        let run_time = (-MEAN_RUN_TIME * (1.0 - self.random.random::<f64>()).ln()) as Microseconds;
        self.measurements.failed += fails as u32;
        match (fails, self.scenario.failing_runs_hang) {
            (true, true) => (RunResult::Inconclusive, REQUEST_TIMEOUT),
            (true, false) => (RunResult::Failure, FAST_FAILURE_TIME),
            _ if self.random.random_bool(HEALTHY_FAILURE_SHARE) => (RunResult::Failure, run_time),
            _ => (RunResult::Success, run_time.min(REQUEST_TIMEOUT)),
        }
    }

    fn report_load(&mut self, now: Microseconds, index: usize) {
        let Outage {
            backends,
            from,
            until,
            ..
        } = self.scenario.outage;
        let in_outage = index < backends && now > from && now < until + 2 * SECOND;
        let backend = &mut self.backends[index];
        let unhealthy = backend.outliers.is_ejected();
        self.measurements.false_positives +=
            (unhealthy && !backend.was_unhealthy && !in_outage) as u32;
        backend.was_unhealthy = unhealthy;
        let interval = if unhealthy {
            UNHEALTHY_LOAD_REPORT_INTERVAL
        } else {
            LOAD_REPORT_INTERVAL
        };
        if now < backend.reported_at + interval {
            return;
        }
        let held_ranges: Vec<(u16, u16)> = self
            .cluster
            .shard_map()
            .iter()
            .filter(|range| range.holder == Some(backend_name(index)))
            .map(|range| (range.first_key, range.last_key))
            .collect();
        let (demand, demand_samples) =
            backend
                .demand
                .report(now, &held_ranges, MAX_REPORTED_RANGES);
        let (mean_run_time, run_count) = backend.queue.mean_run_duration();
        let report = LoadReport {
            service: SERVICE.into(),
            backend: backend_name(index),
            slots: SLOTS,
            mean_run_time,
            run_count,
            demand,
            demand_samples,
            unhealthy: unhealthy && self.scenario.outlier_detection,
        };
        backend.reported_at = now;
        self.load_reports.record(now, report);
    }

    fn release_ranges(&mut self, now: Microseconds) {
        let all = mem::take(&mut self.releases);
        let (due, waiting) = all.into_iter().partition(|(send_at, _)| now >= *send_at);
        self.releases = waiting;
        for (_, report) in due {
            self.cluster.apply(report);
        }
    }

    fn place_keys(&mut self, now: Microseconds) {
        let ejected = self.ejections.ejected(now, &self.load_reports, BACKENDS);
        let since_last = Some(now.saturating_sub(self.placed_at));
        let snapshot = &self.cluster.snapshot;
        let planned = plan_placement(snapshot, SERVICE, &self.load_reports, &ejected, since_last);
        let Some(planned) = planned else { return };
        self.cluster.apply(ClusterReport::ShardsReassigned {
            service: SERVICE.into(),
            base_placement: planned.base_placement,
            ranges: planned.placement,
        });
        self.placed_at = now;
        self.schedule_releases(now);
    }

    /// Schedules the releases of the ranges that have just moved by their earlier holders.
    fn schedule_releases(&mut self, now: Microseconds) {
        let position = self.cluster.snapshot.position;
        let shard_map = self.cluster.shard_map();
        for range in shard_map
            .iter()
            .filter(|range| range.fencing_token == position)
        {
            for (earlier, _) in &range.pending_releases {
                self.measurements.moved_keys += (range.last_key - range.first_key) as u32 + 1;
                let report = ClusterReport::ShardsReleased {
                    service: SERVICE.into(),
                    name: earlier.clone(),
                    known_through: position,
                    ranges: vec![(range.first_key, range.last_key, "t".to_string())],
                };
                self.releases.push((now + HANDOVER_DELAY, report));
            }
        }
    }

    fn record_recovery(&mut self, now: Microseconds) {
        let Outage { backends, from, .. } = self.scenario.outage;
        if now <= from || self.measurements.recovery_time.is_some() || backends == 0 {
            return;
        }
        let third = 65_536 / BACKENDS as u32 * backends as u32 / 3;
        if self.cluster.keys_held_by_first(backends) < third {
            self.measurements.recovery_time = Some(now - from);
        }
    }
}

const HANGING: Scenario = Scenario {
    outage: Outage {
        backends: 3,
        from: 8 * SECOND,
        until: 16 * SECOND,
        failure_share: 0.45,
    },
    failing_runs_hang: true,
    outlier_detection: true,
    duration: 24 * SECOND,
};

fn without_detection(scenario: Scenario) -> Measurements {
    simulate(Scenario {
        outlier_detection: false,
        ..scenario
    })
}

#[test]
fn keys_leave_a_backend_whose_runs_hang_and_most_failures_are_avoided() {
    let (enabled, disabled) = (simulate(HANGING), without_detection(HANGING));
    assert!(
        enabled.recovery_time.is_some_and(|time| time <= 3 * SECOND),
        "{enabled:?}"
    );
    assert!(disabled.recovery_time.is_none(), "{disabled:?}");
    assert!(
        enabled.cost() * 2 < disabled.cost(),
        "{enabled:?} {disabled:?}"
    );
    assert_eq!(enabled.false_positives, 0);
}

#[test]
fn keys_leave_a_backend_that_looks_fast_because_its_runs_fail_at_once() {
    let scenario = Scenario {
        failing_runs_hang: false,
        ..HANGING
    };
    let (enabled, disabled) = (simulate(scenario), without_detection(scenario));
    assert!(
        enabled.recovery_time.is_some_and(|time| time <= 3 * SECOND),
        "{enabled:?}"
    );
    assert!(
        enabled.cost() * 2 < disabled.cost(),
        "{enabled:?} {disabled:?}"
    );
}

#[test]
fn no_backend_is_ejected_and_no_keys_move_while_all_are_healthy() {
    let outage = Outage {
        backends: 0,
        from: 0,
        until: 0,
        failure_share: 0.0,
    };
    let all_healthy = Scenario {
        outage,
        duration: 40 * SECOND,
        ..HANGING
    };
    let (enabled, disabled) = (simulate(all_healthy), without_detection(all_healthy));
    assert_eq!(
        (enabled.false_positives, enabled.moved_keys),
        (0, disabled.moved_keys)
    );
}

#[test]
fn no_keys_move_while_all_backends_are_unhealthy() {
    let outage = Outage {
        backends: BACKENDS,
        from: 8 * SECOND,
        until: 16 * SECOND,
        failure_share: 0.5,
    };
    let all_unhealthy = Scenario {
        outage,
        failing_runs_hang: false,
        ..HANGING
    };
    let (enabled, disabled) = (simulate(all_unhealthy), without_detection(all_unhealthy));
    assert!(
        enabled.moved_keys <= disabled.moved_keys + 6_554,
        "{enabled:?} {disabled:?}"
    );
}
