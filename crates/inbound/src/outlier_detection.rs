//! Outlier detection: how the backend beside this node does, judged by what became of its runs and by
//! nothing else (design 13.8). Pure, with the time passed in.
//!
//! `legacy-proxy` has no such detection: it only avoids a backend for a moment after a failure.

use std::collections::BTreeMap;
use std::mem;

use model::{Error, ErrorKind, Microseconds};
use transport::ForwardedResponse;

use crate::backend_client::MISDIRECTED;

/// What the end of a run says of the backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunResult {
    /// It answered, with a status below 500.
    Success,
    /// It failed, refused, broke off, or gave another request's response.
    Failure,
    /// Nothing.
    Inconclusive,
}

/// A run that began and did not end.
struct Run {
    began: Microseconds,
    /// It is not to be counted, or was already, as overdue.
    counted: bool,
}

/// The ejection of a backend.
struct Ejection {
    /// Requests go elsewhere until then; from then on some try it.
    until: Microseconds,
    trial_successes: u32,
}

/// Decides when the backend is ejected, and when it has recovered.
#[derive(Default)]
pub struct OutlierDetector {
    running: BTreeMap<u64, Run>,
    last_run_id: u64,
    /// Decaying counts.
    successes: f64,
    failures: f64,
    updated_at: Microseconds,
    /// The latest runs, a bit each, set for a failure.
    recent_failures: u32,
    ejection: Option<Ejection>,
    next_ejection_time: Microseconds,
    healthy_since: Microseconds,
}

/// Counts fall to a third (1/e) in 2 s.
const DECAY_US: f64 = 2_000_000.0;
/// So many failures, and such a share of all runs, eject the backend.
const MIN_FAILURES: f64 = 4.0;
const FAILURE_RATIO: f64 = 0.25;
/// So do so many of the latest runs, long before the counts do.
const RECENT_RUNS: u32 = 12;
const MAX_RECENT_FAILURES: u32 = 6;
/// The first ejection lasts 1 s; each further one twice as long, up to 4 s, until the backend was
/// healthy for 10 s.
const BASE_EJECTION_TIME: Microseconds = 1_000_000;
const MAX_EJECTION_TIME: Microseconds = 4_000_000;
const HEALTHY_TIME_TO_RESET: Microseconds = 10_000_000;
/// So many successful trials in a row end the ejection; the first of them are idempotent requests.
const TRIALS_TO_RECOVER: u32 = 5;
const IDEMPOTENT_TRIALS: u32 = 2;
/// Without any run for 6 s after its time, nothing speaks for the ejection any more.
const RECOVERY_WITHOUT_TRIALS: Microseconds = 6_000_000;
/// Without idempotent requests for 2 s, any request may be a trial.
const TRIALS_BY_ANY_REQUEST_AFTER: Microseconds = 2_000_000;
/// A run that takes so many times the mean, and 300 ms, counts as a failure before it ends, once the
/// mean is of enough runs.
const OVERDUE_FACTOR: Microseconds = 4;
const MIN_OVERDUE_TIME: Microseconds = 300_000;
const MIN_SAMPLES_FOR_MEAN: u32 = 16;
/// A request that comes during a trial is to go elsewhere for 250 ms.
const TRIAL_RETRY_AFTER: Microseconds = 250_000;
/// From this status on the backend failed.
const FIRST_FAILURE_STATUS: u16 = 500;

/// What came of a run, as far as it is the backend's doing.
pub(crate) fn classify_run(result: &Result<ForwardedResponse, Error>) -> RunResult {
    match result {
        Ok(response) if response.status < FIRST_FAILURE_STATUS => RunResult::Success,
        Ok(_) => RunResult::Failure,
        Err(error) => match error.kind {
            ErrorKind::BackendLost | ErrorKind::BadSeal | ErrorKind::Unreachable => {
                RunResult::Failure
            }
            ErrorKind::Refused if error.detail != MISDIRECTED => RunResult::Failure,
            _ => RunResult::Inconclusive,
        },
    }
}

impl OutlierDetector {
    /// How many runs began and did not end.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// A run began; returns its id.
    pub fn run_started(&mut self, now: Microseconds) -> u64 {
        self.last_run_id += 1;
        self.running.insert(
            self.last_run_id,
            Run {
                began: now,
                counted: false,
            },
        );
        self.last_run_id
    }

    /// A run ended.
    pub fn run_ended(&mut self, now: Microseconds, run_id: u64, result: RunResult) {
        let Some(run) = self.running.remove(&run_id) else {
            return;
        };
        match result {
            RunResult::Success if !run.counted => self.record(now, run.began, true),
            RunResult::Failure if !run.counted => self.record(now, run.began, false),
            _ => {}
        }
    }

    /// Counts runs that take far too long as failures. `mean` is the mean time of a run, of so many
    /// `samples`.
    pub fn check_overdue(&mut self, now: Microseconds, (mean, samples): (Microseconds, u32)) {
        let longest = (mean * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        if samples >= MIN_SAMPLES_FOR_MEAN {
            let overdue = |run: &&mut Run| !run.counted && now > run.began + longest;
            let mut began = Vec::new();
            for run in self.running.values_mut().filter(overdue) {
                run.counted = true;
                began.push(run.began);
            }
            for began in began {
                self.record(now, began, false);
            }
        }
        let ejection = self.ejection.as_ref();
        if ejection.is_some_and(|ejection| now > ejection.until + RECOVERY_WITHOUT_TRIALS) {
            self.recover(now);
        }
    }

    fn record(&mut self, now: Microseconds, began: Microseconds, success: bool) {
        let kept = (-(now.saturating_sub(self.updated_at) as f64) / DECAY_US).exp();
        self.successes = self.successes * kept + success as u8 as f64;
        self.failures = self.failures * kept + !success as u8 as f64;
        self.updated_at = now;
        self.recent_failures =
            (self.recent_failures << 1 | !success as u32) & ((1 << RECENT_RUNS) - 1);
        let fails_too_often = self.fails_too_often();
        match self.ejection.as_mut() {
            // What began before the trials says nothing new.
            Some(ejection) if began < ejection.until => {}
            Some(ejection) if success => {
                ejection.trial_successes += 1;
                if ejection.trial_successes >= TRIALS_TO_RECOVER {
                    self.recover(now);
                }
            }
            Some(_) => self.eject(now),
            None if fails_too_often => {
                if now > self.healthy_since + HEALTHY_TIME_TO_RESET {
                    self.next_ejection_time = BASE_EJECTION_TIME;
                }
                self.eject(now);
            }
            None => {}
        }
    }

    fn fails_too_often(&self) -> bool {
        let runs = self.successes + self.failures;
        self.failures >= MIN_FAILURES && self.failures >= FAILURE_RATIO * runs
            || self.recent_failures.count_ones() >= MAX_RECENT_FAILURES
    }

    fn eject(&mut self, now: Microseconds) {
        let ejection_time = self
            .next_ejection_time
            .clamp(BASE_EJECTION_TIME, MAX_EJECTION_TIME);
        self.ejection = Some(Ejection {
            until: now + ejection_time,
            trial_successes: 0,
        });
        self.next_ejection_time = (ejection_time * 2).min(MAX_EJECTION_TIME);
    }

    fn recover(&mut self, now: Microseconds) {
        self.ejection = None;
        self.healthy_since = now;
        (self.successes, self.failures, self.recent_failures) = (0.0, 0.0, 0);
    }

    /// Whether the backend is ejected, also while requests try it.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// For how long, in microseconds, a request that may go elsewhere should; `None` if the backend
    /// is to take it, as a trial or because it is healthy.
    pub fn ejection_retry_after(
        &self,
        now: Microseconds,
        idempotent: bool,
    ) -> Option<Microseconds> {
        let ejection = self.ejection.as_ref()?;
        if now < ejection.until {
            return Some(ejection.until - now);
        }
        let may_try = idempotent
            || ejection.trial_successes >= IDEMPOTENT_TRIALS
            || now > ejection.until + TRIALS_BY_ANY_REQUEST_AFTER;
        let trials_at_once = ejection.trial_successes as usize;
        (!may_try || self.running.len() > trials_at_once).then_some(TRIAL_RETRY_AFTER)
    }

    /// Another backend took its place: its runs go on, and say nothing of the new one.
    pub fn reset(&mut self) {
        let mut running = mem::take(&mut self.running);
        for run in running.values_mut() {
            run.counted = true;
        }
        let last_run_id = self.last_run_id;
        *self = OutlierDetector {
            running,
            last_run_id,
            ..OutlierDetector::default()
        };
    }
}
