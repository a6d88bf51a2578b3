//! Outlier detection: judges the health of the backend beside this node by the results of its runs
//! alone (design 13.8). This module does no I/O; callers pass in the current time.
//!
//! `legacy-proxy` has no outlier detection; it only avoids a backend briefly after a failure.

use std::collections::BTreeMap;
use std::mem;

use model::{Error, ErrorKind, Microseconds};
use transport::ForwardedResponse;

use crate::backend_client::MISDIRECTED_DETAIL;

/// The health information that the result of a run gives about the backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunResult {
    /// The backend answered with a status below 500.
    Success,
    /// The backend failed, refused the request, closed the connection, or sent the response of
    /// another request.
    Failure,
    /// The result gives no information about the backend's health.
    Inconclusive,
}

/// A run that has started and not ended.
struct Run {
    started_at: Microseconds,
    /// The end of this run is not counted: the run was already counted as overdue, or it belongs to
    /// an earlier backend.
    counted: bool,
}

/// The state of an ejected backend.
struct Ejection {
    /// The time until which all requests are refused; from then on some are admitted as trials.
    until: Microseconds,
    trial_successes: u32,
}

/// Decides when the backend is ejected and when it has recovered.
#[derive(Default)]
pub struct OutlierDetector {
    running: BTreeMap<u64, Run>,
    last_run_id: u64,
    /// Decaying counts of successful and failed runs, as of `updated_at`.
    successes: f64,
    failures: f64,
    updated_at: Microseconds,
    /// The latest [`RECENT_RUNS`] runs, one bit for each; a set bit is a failure.
    recent_failures: u32,
    ejection: Option<Ejection>,
    next_ejection_time: Microseconds,
    healthy_since: Microseconds,
}

/// Time constant of the exponential decay of run counts, in microseconds.
const DECAY_US: f64 = 2_000_000.0;
/// The backend is ejected once the decayed counts reach both this number of failures and this ratio
/// of failures to all runs.
const MIN_FAILURES: f64 = 4.0;
const FAILURE_RATIO: f64 = 0.25;
/// The backend is also ejected once [`RECENT_FAILURES_TO_EJECT`] of this number of latest runs have
/// failed. This criterion reacts much earlier than the decayed counts.
const RECENT_RUNS: u32 = 12;
const RECENT_FAILURES_TO_EJECT: u32 = 6;
/// Duration of the first ejection, in microseconds. Each further ejection lasts twice as long, up
/// to [`MAX_EJECTION_TIME`], until the backend was healthy for [`HEALTHY_TIME_TO_RESET`].
const BASE_EJECTION_TIME: Microseconds = 1_000_000;
const MAX_EJECTION_TIME: Microseconds = 4_000_000;
const HEALTHY_TIME_TO_RESET: Microseconds = 10_000_000;
/// Number of consecutive successful trials that end the ejection; the first [`IDEMPOTENT_TRIALS`]
/// of them use idempotent requests.
const TRIALS_TO_RECOVER: u32 = 5;
const IDEMPOTENT_TRIALS: u32 = 2;
/// Time after the start of the trial phase at which the ejection ends even without enough trials,
/// in microseconds. The failures that led to the ejection are outdated by then.
const RECOVERY_TIME_WITHOUT_TRIALS: Microseconds = 6_000_000;
/// Time after the start of the trial phase from which any request may be a trial, in microseconds.
/// Without this, a service without idempotent requests would get no trials.
const TRIALS_BY_ANY_REQUEST_AFTER: Microseconds = 2_000_000;
/// A run is overdue once it takes longer than this multiple of the mean run duration and than
/// [`MIN_OVERDUE_TIME`]. It counts as a failure from then on. The mean is used only if it is based
/// on at least [`MIN_SAMPLES_FOR_MEAN`] runs.
const OVERDUE_FACTOR: Microseconds = 4;
const MIN_OVERDUE_TIME: Microseconds = 300_000;
const MIN_SAMPLES_FOR_MEAN: u32 = 16;
/// Retry delay for requests that are refused during the trial phase, in microseconds.
const TRIAL_RETRY_AFTER: Microseconds = 250_000;
/// The lowest HTTP status that counts as a failure.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Classifies the result of a run by the information that it gives about the backend's health.
pub(crate) fn classify_run(result: &Result<ForwardedResponse, Error>) -> RunResult {
    match result {
        Ok(response) if response.status < FIRST_FAILURE_STATUS => RunResult::Success,
        Ok(_) => RunResult::Failure,
        Err(error) => match error.kind {
            ErrorKind::BackendLost | ErrorKind::BadSeal | ErrorKind::Unreachable => {
                RunResult::Failure
            }
            ErrorKind::Refused if error.detail != MISDIRECTED_DETAIL => RunResult::Failure,
            _ => RunResult::Inconclusive,
        },
    }
}

impl OutlierDetector {
    /// Returns the number of runs that have started and not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Records the start of a run and returns its id.
    pub fn run_started(&mut self, now: Microseconds) -> u64 {
        self.last_run_id += 1;
        self.running.insert(
            self.last_run_id,
            Run {
                started_at: now,
                counted: false,
            },
        );
        self.last_run_id
    }

    /// Records the end of a run.
    pub fn run_ended(&mut self, now: Microseconds, run_id: u64, result: RunResult) {
        let Some(run) = self.running.remove(&run_id) else {
            return;
        };
        match result {
            RunResult::Success if !run.counted => self.record(now, run.started_at, true),
            RunResult::Failure if !run.counted => self.record(now, run.started_at, false),
            _ => {}
        }
    }

    /// Counts overdue runs as failures, and ends an ejection whose trial phase has lasted too long.
    /// `mean` is the mean run duration over `samples` runs.
    pub fn check_overdue(&mut self, now: Microseconds, (mean, samples): (Microseconds, u32)) {
        let overdue_time = (mean * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        if samples >= MIN_SAMPLES_FOR_MEAN {
            let overdue = |run: &&mut Run| !run.counted && now > run.started_at + overdue_time;
            let mut started_at = Vec::new();
            for run in self.running.values_mut().filter(overdue) {
                run.counted = true;
                started_at.push(run.started_at);
            }
            for started_at in started_at {
                self.record(now, started_at, false);
            }
        }
        let ejection = self.ejection.as_ref();
        if ejection.is_some_and(|ejection| now > ejection.until + RECOVERY_TIME_WITHOUT_TRIALS) {
            self.recover(now);
        }
    }

    fn record(&mut self, now: Microseconds, started_at: Microseconds, success: bool) {
        let decay = (-(now.saturating_sub(self.updated_at) as f64) / DECAY_US).exp();
        self.successes = self.successes * decay + success as u8 as f64;
        self.failures = self.failures * decay + !success as u8 as f64;
        self.updated_at = now;
        self.recent_failures =
            (self.recent_failures << 1 | !success as u32) & ((1 << RECENT_RUNS) - 1);
        let exceeds_failure_limits = self.exceeds_failure_limits();
        match self.ejection.as_mut() {
            // A run that started before the trial phase is no new evidence.
            Some(ejection) if started_at < ejection.until => {}
            Some(ejection) if success => {
                ejection.trial_successes += 1;
                if ejection.trial_successes >= TRIALS_TO_RECOVER {
                    self.recover(now);
                }
            }
            Some(_) => self.eject(now),
            None if exceeds_failure_limits => {
                if now > self.healthy_since + HEALTHY_TIME_TO_RESET {
                    self.next_ejection_time = BASE_EJECTION_TIME;
                }
                self.eject(now);
            }
            None => {}
        }
    }

    fn exceeds_failure_limits(&self) -> bool {
        let runs = self.successes + self.failures;
        self.failures >= MIN_FAILURES && self.failures >= FAILURE_RATIO * runs
            || self.recent_failures.count_ones() >= RECENT_FAILURES_TO_EJECT
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

    /// Returns whether the backend is ejected; this includes the trial phase.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns the retry delay, in microseconds, for a request that another backend can run; `None`
    /// if this backend should run it, because it is healthy or as a trial.
    pub fn ejection_retry_after(
        &self,
        now: Microseconds,
        idempotent: bool,
    ) -> Option<Microseconds> {
        let ejection = self.ejection.as_ref()?;
        if now < ejection.until {
            return Some(ejection.until - now);
        }
        let eligible_for_trial = idempotent
            || ejection.trial_successes >= IDEMPOTENT_TRIALS
            || now > ejection.until + TRIALS_BY_ANY_REQUEST_AFTER;
        let concurrent_trials = ejection.trial_successes as usize;
        (!eligible_for_trial || self.running.len() > concurrent_trials).then_some(TRIAL_RETRY_AFTER)
    }

    /// Resets the detector because the backend was replaced. Runs of the former backend are still
    /// tracked, but not counted for the new one.
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
