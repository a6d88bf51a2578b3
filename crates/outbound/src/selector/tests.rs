//! A service that any backend serves, in virtual time: nodes select, and the nodes beside backends
//! whose runs fail pass requests over (design 13.8).

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
const STEP: Microseconds = 1_000;
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
    /// Every run fails at once.
    FailsAtOnce,
    /// Every run takes a second and says nothing.
    Hangs,
    /// Fails in one half of each second and a half, and not in the other.
    Flaps,
}

#[derive(Clone, Copy)]
struct Scenario {
    faulty_backends: usize,
    from: Microseconds,
    to: Microseconds,
    fault: Fault,
    /// Whether ejected backends pass requests over.
    ejects: bool,
}

#[derive(Debug, Default)]
struct Tally {
    requests: u32,
    lost: u32,
    /// Times that a request was passed over.
    passed_over: u32,
    ejected_without_fault: u32,
    lost_in_second: Vec<u32>,
    /// Given to the formerly faulty backends in the last two seconds.
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
    /// Ends of runs by time and by the number of their request.
    ends: BTreeMap<(Microseconds, u64), RunEnd>,
    until: Microseconds,
    begun: u64,
    tally: Tally,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let config = SelectorConfig {
            zone_crossing_cost: 30_000,
            retry_deposit: 6,
        };
        let until = scenario.to + 12 * SECOND;
        let lost_in_second = vec![0; (until / SECOND) as usize + 1];
        Simulation {
            scenario,
            random: StdRng::seed_from_u64(43),
            names: (0..BACKENDS).map(|index| format!("b{index:02}")).collect(),
            selectors: (0..SELECTING_NODES)
                .map(|_| Selector::new(config))
                .collect(),
            inbound_sides: (0..BACKENDS).map(|_| InboundSide::default()).collect(),
            ends: BTreeMap::new(),
            until,
            begun: 0,
            tally: Tally {
                lost_in_second,
                ..Tally::default()
            },
        }
    }

    fn run(mut self) -> Tally {
        let mut requests_due = 0.0;
        for now in (1..self.until / STEP).map(|step| step * STEP) {
            self.end_runs(now);
            requests_due += REQUESTS_PER_SECOND / 1_000.0;
            while requests_due >= 1.0 {
                requests_due -= 1.0;
                self.request(now);
            }
        }
        eprintln!("{:?}", self.tally);
        self.tally
    }

    fn end_runs(&mut self, now: Microseconds) {
        while let Some((key, end)) = self.ends.first_key_value().map(|(key, end)| (*key, *end)) {
            if key.0 > now {
                return;
            }
            self.ends.remove(&key);
            self.end_run(now, end);
        }
    }

    fn end_run(&mut self, now: Microseconds, end: RunEnd) {
        let Scenario {
            faulty_backends,
            from,
            to,
            ..
        } = self.scenario;
        let inbound_side = &mut self.inbound_sides[end.backend];
        let was_ejected = inbound_side.outliers.is_ejected();
        inbound_side.outliers.run_ended(now, end.run_id, end.result);
        let mean_run_duration = inbound_side.queue.mean_run_duration();
        inbound_side.check_overdue(now);
        let has_cause = end.backend < faulty_backends && now >= from && now < to + 2 * SECOND;
        let newly_ejected = !was_ejected && inbound_side.outliers.is_ejected();
        self.tally.ejected_without_fault += (newly_ejected && !has_cause) as u32;
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
        self.tally.requests += 1;
        let selecting_node = self.random.random_range(0..SELECTING_NODES);
        let idempotent = self.random.random_bool(0.6);
        let backend = self.select(now, selecting_node, idempotent);
        let fault_is_on =
            !matches!(self.scenario.fault, Fault::Flaps) || (now / FLAP_PERIOD).is_multiple_of(2);
        let in_time = (self.scenario.from..self.scenario.to).contains(&now);
        let faulty = backend < self.scenario.faulty_backends && in_time && fault_is_on;
        let (duration, result) = self.draw_run(faulty);
        self.tally.lost += faulty as u32;
        let recovered = backend < self.scenario.faulty_backends && now > self.until - 2 * SECOND;
        self.tally.after_recovery += recovered as u32;
        self.tally.lost_in_second[(now / SECOND) as usize] += faulty as u32;
        self.begun += 1;
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
        self.ends.insert((now + duration, self.begun), end);
    }

    fn select(&mut self, now: Microseconds, selecting_node: usize, idempotent: bool) -> usize {
        let mut passed_over: Vec<usize> = Vec::new();
        loop {
            let open = (0..BACKENDS).filter(|index| !passed_over.contains(index));
            let candidates: Vec<Candidate> = open
                .map(|index| Candidate {
                    name: self.names[index].clone(),
                    slots: SLOTS,
                    same_zone: index % ZONES == selecting_node % ZONES,
                })
                .collect();
            let selector = &mut self.selectors[selecting_node];
            let selected = selector.select(now, &candidates).expect("there are some");
            let backend = self
                .names
                .iter()
                .position(|name| *name == selected)
                .expect("it is one of them");
            let declined_for = self.inbound_sides[backend]
                .outliers
                .ejection_retry_after(now, idempotent);
            let may_decline = self.scenario.ejects && passed_over.len() < 2;
            let Some(declined_for) = declined_for.filter(|_| may_decline) else {
                return backend;
            };
            selector.attempt_finished(now, &selected, Some(declined_for), false);
            passed_over.push(backend);
            self.tally.passed_over += 1;
        }
    }

    fn draw_run(&mut self, faulty: bool) -> (Microseconds, RunResult) {
        let duration = (-MEAN_RUN_US * (1.0 - self.random.random::<f64>()).ln()) as Microseconds;
        match (faulty, self.scenario.fault) {
            (true, Fault::Hangs) => (SECOND, RunResult::Inconclusive),
            (true, _) => (2_000, RunResult::Failure),
            _ if self.random.random_bool(0.03) => (duration, RunResult::Failure),
            _ => (duration, RunResult::Success),
        }
    }
}

fn simulate(scenario: Scenario) -> Tally {
    Simulation::new(scenario).run()
}

const FAILS_AT_ONCE: Scenario = Scenario {
    faulty_backends: 2,
    from: 8 * SECOND,
    to: 16 * SECOND,
    fault: Fault::FailsAtOnce,
    ejects: true,
};

/// What was lost in the second and later seconds of the fault.
fn lost_after_first_second(tally: &Tally) -> u32 {
    tally.lost_in_second[9..16].iter().sum()
}

#[test]
fn a_backend_that_fails_at_once_is_passed_over_within_a_second_and_comes_back() {
    let with = simulate(FAILS_AT_ONCE);
    let without = simulate(Scenario {
        ejects: false,
        ..FAILS_AT_ONCE
    });
    assert!(with.lost * 6 < without.lost, "{with:?} {without:?}");
    let (later_with, later_without) = (
        lost_after_first_second(&with),
        lost_after_first_second(&without),
    );
    assert!(later_with * 12 < later_without, "{with:?} {without:?}");
    let half_share = 2 * REQUESTS_PER_SECOND as u32 * 2 / BACKENDS as u32 / 2;
    assert!(
        with.after_recovery > half_share,
        "it has its share again: {with:?}"
    );
    assert_eq!(with.ejected_without_fault, 0);
}

#[test]
fn a_backend_that_lets_runs_hang_is_passed_over_before_they_end() {
    let hangs = Scenario {
        fault: Fault::Hangs,
        ..FAILS_AT_ONCE
    };
    let (with, without) = (
        simulate(hangs),
        simulate(Scenario {
            ejects: false,
            ..hangs
        }),
    );
    assert!(with.lost * 2 < without.lost, "{with:?} {without:?}");
}

#[test]
fn a_backend_that_flaps_comes_back_ever_more_slowly() {
    let flaps = Scenario {
        fault: Fault::Flaps,
        to: 24 * SECOND,
        ..FAILS_AT_ONCE
    };
    let (with, without) = (
        simulate(flaps),
        simulate(Scenario {
            ejects: false,
            ..flaps
        }),
    );
    assert!(with.lost * 4 < without.lost, "{with:?} {without:?}");
    let first: u32 = with.lost_in_second[8..12].iter().sum();
    let last: u32 = with.lost_in_second[20..24].iter().sum();
    assert!(last * 3 < first, "{with:?}");
}

#[test]
fn where_all_backends_are_faulty_a_request_is_passed_over_twice_at_most() {
    let all = simulate(Scenario {
        faulty_backends: BACKENDS,
        ..FAILS_AT_ONCE
    });
    assert!(all.passed_over <= 2 * all.requests, "{all:?}");
    assert!(all.after_recovery > 1_000, "all serve again: {all:?}");
}
