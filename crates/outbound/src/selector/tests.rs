//! Simulation, in virtual time, of a service that every backend serves. Nodes select backends, and
//! the nodes beside faulty backends refuse requests after outlier detection has ejected the backend
//! (design 13.8).

use std::collections::BTreeMap;

use inbound::{AdmissionQueue, OutlierDetector, RunResult};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use super::*;

const BACKENDS: usize = 16;
const SELECTING_NODES: usize = 40;
const ZONES: usize = 4;
const SLOTS: u32 = 9;
const REQUESTS_PER_SECOND: f64 = 700.0;
const MEAN_RUN_US: f64 = 80_000.0;
const SECOND: Microseconds = 1_000_000;
const SIMULATION_STEP: Microseconds = 1_000;
const FLAP_PERIOD: Microseconds = 750_000;

/// The end of a run.
#[derive(Clone, Copy)]
struct RunEnd {
    selecting_node: usize,
    backend: usize,
    run_id: u64,
    result: RunResult,
    duration: Microseconds,
}

#[derive(Clone, Copy)]
enum Fault {
    /// Every run fails immediately.
    ImmediateFailure,
    /// Every run takes one second and its result is inconclusive.
    Unresponsive,
    /// Runs fail in one half of each period of 1.5 seconds and succeed in the other half.
    Flapping,
}

#[derive(Clone, Copy)]
struct Scenario {
    faulty_backends: usize,
    fault_start: Microseconds,
    fault_end: Microseconds,
    fault: Fault,
    /// Whether ejected backends refuse requests.
    ejection_enabled: bool,
}

#[derive(Debug, Default)]
struct Statistics {
    requests: u32,
    /// Requests that were run by a backend while its fault was active.
    sent_to_faulty: u32,
    /// Refusals by ejected backends.
    refusals: u32,
    /// Ejections that no fault explains.
    ejected_without_fault: u32,
    sent_to_faulty_by_second: Vec<u32>,
    /// Requests that the formerly faulty backends received in the last two seconds.
    after_recovery: u32,
}

/// The inbound side of one backend.
#[derive(Default)]
struct InboundSide {
    outliers: OutlierDetector,
    queue: AdmissionQueue<()>,
}

impl InboundSide {
    fn check_overdue(&mut self, now: Microseconds) {
        self.outliers
            .check_overdue(now, self.queue.mean_run_duration());
    }
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    names: Vec<String>,
    selectors: Vec<Selector>,
    inbound_sides: Vec<InboundSide>,
    /// Ends of runs, by time and request number.
    run_ends: BTreeMap<(Microseconds, u64), RunEnd>,
    end_time: Microseconds,
    request_count: u64,
    statistics: Statistics,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let config = SelectorConfig {
            zone_crossing_cost: 30_000,
            retry_deposit: 6,
        };
        let end_time = scenario.fault_end + 12 * SECOND;
        let sent_to_faulty_by_second = vec![0; (end_time / SECOND) as usize + 1];
        Simulation {
            scenario,
            random: StdRng::seed_from_u64(43),
            names: (0..BACKENDS).map(|index| format!("b{index:02}")).collect(),
            selectors: (0..SELECTING_NODES)
                .map(|_| Selector::new(config))
                .collect(),
            inbound_sides: (0..BACKENDS).map(|_| InboundSide::default()).collect(),
            run_ends: BTreeMap::new(),
            end_time,
            request_count: 0,
            statistics: Statistics {
                sent_to_faulty_by_second,
                ..Statistics::default()
            },
        }
    }

    fn run(mut self) -> Statistics {
        let mut requests_due = 0.0;
        for now in (1..self.end_time / SIMULATION_STEP).map(|step| step * SIMULATION_STEP) {
            self.finish_runs(now);
            requests_due += REQUESTS_PER_SECOND / 1_000.0;
            while requests_due >= 1.0 {
                requests_due -= 1.0;
                self.request(now);
            }
        }
        eprintln!("{:?}", self.statistics);
        self.statistics
    }

    fn finish_runs(&mut self, now: Microseconds) {
        while let Some((key, end)) = self
            .run_ends
            .first_key_value()
            .map(|(key, end)| (*key, *end))
        {
            if key.0 > now {
                return;
            }
            self.run_ends.remove(&key);
            self.finish_run(now, end);
        }
    }

    fn finish_run(&mut self, now: Microseconds, end: RunEnd) {
        let Scenario {
            faulty_backends,
            fault_start,
            fault_end,
            ..
        } = self.scenario;
        let inbound_side = &mut self.inbound_sides[end.backend];
        let was_ejected = inbound_side.outliers.is_ejected();
        inbound_side.outliers.run_ended(now, end.run_id, end.result);
        let mean_run_duration = inbound_side.queue.mean_run_duration();
        inbound_side.check_overdue(now);
        let explained_by_fault =
            end.backend < faulty_backends && now >= fault_start && now < fault_end + 2 * SECOND;
        let newly_ejected = !was_ejected && inbound_side.outliers.is_ejected();
        self.statistics.ejected_without_fault += (newly_ejected && !explained_by_fault) as u32;
        let inconclusive = end.result == RunResult::Inconclusive;
        if !inconclusive {
            inbound_side.queue.record_run_duration(end.duration);
        }
        let running = inbound_side.outliers.running();
        let wait = inbound_side
            .queue
            .expected_wait(now, u8::MAX, running, SLOTS as usize);
        let reported_wait = wait + mean_run_duration.0 / 2;
        let name = &self.names[end.backend];
        self.selectors[end.selecting_node].attempt_finished(
            now,
            name,
            Some(reported_wait),
            inconclusive,
        );
    }

    fn request(&mut self, now: Microseconds) {
        self.statistics.requests += 1;
        let selecting_node = self.random.random_range(0..SELECTING_NODES);
        let idempotent = self.random.random_bool(0.6);
        let backend = self.select(now, selecting_node, idempotent);
        let fault_active = !matches!(self.scenario.fault, Fault::Flapping)
            || (now / FLAP_PERIOD).is_multiple_of(2);
        let in_fault_period = (self.scenario.fault_start..self.scenario.fault_end).contains(&now);
        let faulty = backend < self.scenario.faulty_backends && in_fault_period && fault_active;
        let (duration, result) = self.random_run(faulty);
        self.statistics.sent_to_faulty += faulty as u32;
        let recovered = backend < self.scenario.faulty_backends && now > self.end_time - 2 * SECOND;
        self.statistics.after_recovery += recovered as u32;
        self.statistics.sent_to_faulty_by_second[(now / SECOND) as usize] += faulty as u32;
        self.request_count += 1;
        let inbound_side = &mut self.inbound_sides[backend];
        let run_id = inbound_side.outliers.run_started(now);
        inbound_side.check_overdue(now);
        let end = RunEnd {
            selecting_node,
            backend,
            run_id,
            result,
            duration,
        };
        self.run_ends
            .insert((now + duration, self.request_count), end);
    }

    fn select(&mut self, now: Microseconds, selecting_node: usize, idempotent: bool) -> usize {
        let mut refusing_backends: Vec<usize> = Vec::new();
        loop {
            let remaining = (0..BACKENDS).filter(|index| !refusing_backends.contains(index));
            let candidates: Vec<Candidate> = remaining
                .map(|index| Candidate {
                    name: self.names[index].clone(),
                    slots: SLOTS,
                    same_zone: index % ZONES == selecting_node % ZONES,
                })
                .collect();
            let selector = &mut self.selectors[selecting_node];
            let selected = selector
                .select(now, &candidates)
                .expect("there are candidates");
            let backend = self
                .names
                .iter()
                .position(|name| *name == selected)
                .expect("the selected backend is a candidate");
            let retry_after = self.inbound_sides[backend]
                .outliers
                .ejection_retry_after(now, idempotent);
            let may_refuse = self.scenario.ejection_enabled && refusing_backends.len() < 2;
            let Some(retry_after) = retry_after.filter(|_| may_refuse) else {
                return backend;
            };
            selector.attempt_finished(now, &selected, Some(retry_after), false);
            refusing_backends.push(backend);
            self.statistics.refusals += 1;
        }
    }

    fn random_run(&mut self, faulty: bool) -> (Microseconds, RunResult) {
        let duration = (-MEAN_RUN_US * (1.0 - self.random.random::<f64>()).ln()) as Microseconds;
        match (faulty, self.scenario.fault) {
            (true, Fault::Unresponsive) => (SECOND, RunResult::Inconclusive),
            (true, _) => (2_000, RunResult::Failure),
            _ if self.random.random_bool(0.03) => (duration, RunResult::Failure),
            _ => (duration, RunResult::Success),
        }
    }
}

fn simulate(scenario: Scenario) -> Statistics {
    Simulation::new(scenario).run()
}

const IMMEDIATE_FAILURE: Scenario = Scenario {
    faulty_backends: 2,
    fault_start: 8 * SECOND,
    fault_end: 16 * SECOND,
    fault: Fault::ImmediateFailure,
    ejection_enabled: true,
};

/// Requests sent to faulty backends from one second after the start of the fault on.
fn sent_to_faulty_after_first_second(statistics: &Statistics) -> u32 {
    statistics.sent_to_faulty_by_second[9..16].iter().sum()
}

#[test]
fn a_backend_that_fails_immediately_is_ejected_within_a_second_and_recovers() {
    let with_ejection = simulate(IMMEDIATE_FAILURE);
    let without_ejection = simulate(Scenario {
        ejection_enabled: false,
        ..IMMEDIATE_FAILURE
    });
    assert!(
        with_ejection.sent_to_faulty * 6 < without_ejection.sent_to_faulty,
        "{with_ejection:?} {without_ejection:?}"
    );
    let (later_with_ejection, later_without_ejection) = (
        sent_to_faulty_after_first_second(&with_ejection),
        sent_to_faulty_after_first_second(&without_ejection),
    );
    assert!(
        later_with_ejection * 12 < later_without_ejection,
        "{with_ejection:?} {without_ejection:?}"
    );
    let half_share = 2 * REQUESTS_PER_SECOND as u32 * 2 / BACKENDS as u32 / 2;
    assert!(
        with_ejection.after_recovery > half_share,
        "the backends must get their share of requests again: {with_ejection:?}"
    );
    assert_eq!(with_ejection.ejected_without_fault, 0);
}

#[test]
fn an_unresponsive_backend_is_ejected_before_its_runs_end() {
    let unresponsive = Scenario {
        fault: Fault::Unresponsive,
        ..IMMEDIATE_FAILURE
    };
    let (with_ejection, without_ejection) = (
        simulate(unresponsive),
        simulate(Scenario {
            ejection_enabled: false,
            ..unresponsive
        }),
    );
    assert!(
        with_ejection.sent_to_faulty * 2 < without_ejection.sent_to_faulty,
        "{with_ejection:?} {without_ejection:?}"
    );
}

#[test]
fn a_flapping_backend_is_ejected_for_longer_each_time() {
    let flapping = Scenario {
        fault: Fault::Flapping,
        fault_end: 24 * SECOND,
        ..IMMEDIATE_FAILURE
    };
    let (with_ejection, without_ejection) = (
        simulate(flapping),
        simulate(Scenario {
            ejection_enabled: false,
            ..flapping
        }),
    );
    assert!(
        with_ejection.sent_to_faulty * 4 < without_ejection.sent_to_faulty,
        "{with_ejection:?} {without_ejection:?}"
    );
    let first: u32 = with_ejection.sent_to_faulty_by_second[8..12].iter().sum();
    let last: u32 = with_ejection.sent_to_faulty_by_second[20..24].iter().sum();
    assert!(last * 3 < first, "{with_ejection:?}");
}

#[test]
fn if_all_backends_are_faulty_a_request_is_refused_at_most_twice() {
    let all = simulate(Scenario {
        faulty_backends: BACKENDS,
        ..IMMEDIATE_FAILURE
    });
    assert!(all.refusals <= 2 * all.requests, "{all:?}");
    assert!(
        all.after_recovery > 1_000,
        "all backends must serve again: {all:?}"
    );
}
