//! How the back end beside this node does, judged by what became of its runs and by nothing else (design 13.8). Pure,
//! with the time told to it.

use model::{Error, ErrorKind, Microseconds};
use std::collections::BTreeMap;

/// What the end of a run says of the back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunResult {
    Success,
    Failure,
    Inconclusive,
}

#[derive(Default)]
pub struct OutlierDetector {
    /// Began, and whether it was counted as bad already.
    running: BTreeMap<u64, (Microseconds, bool)>,
    last_run_id: u64,
    /// Decaying counts.
    successes: f64,
    failures: f64,
    updated_at: Microseconds,
    /// The latest ones, a bit each, set where bad.
    recent_failures: u32,
    ejection: Option<Ejection>,
    next_ejection_time: Microseconds,
    healthy_since: Microseconds,
}

struct Ejection {
    /// Passed over until then, tried from then on.
    until: Microseconds,
    trial_successes: u32,
}

/// Counts fall to a third in so long.
const DECAY_US: f64 = 2_000_000.0;
/// So many troubles, and such a share of all, make it ill.
const MIN_FAILURES: f64 = 4.0;
const FAILURE_RATIO: f64 = 0.25;
/// So many of the latest do so too, long before the counts do.
const RECENT_RUNS: u32 = 12;
const MAX_RECENT_FAILURES: u32 = 6;
/// The first passing over; each further one is twice as long, up to the longest, until it was well for long.
const BASE_EJECTION_TIME: Microseconds = 1_000_000;
const MAX_EJECTION_TIME: Microseconds = 4_000_000;
const HEALTHY_TIME_TO_RESET: Microseconds = 10_000_000;
/// Good runs in a row, begun after it was passed over, that make it well again; of which the first are repeatable ones.
const TRIALS_TO_RECOVER: u32 = 5;
const IDEMPOTENT_TRIALS: u32 = 2;
/// Without any run so long after the passing over, nothing speaks against it.
const RECOVERY_WITHOUT_TRIALS: Microseconds = 6_000_000;
const TRIALS_BY_ANY_REQUEST_AFTER: Microseconds = 2_000_000;
/// A run that takes so many times the mean is counted as bad before it ends, once the mean says something.
const OVERDUE_FACTOR: Microseconds = 4;
const MIN_OVERDUE_TIME: Microseconds = 300_000;
const MIN_SAMPLES_FOR_MEAN: u32 = 16;
/// How long whoever comes while it is tried is to go elsewhere.
const TRIAL_RETRY_AFTER: Microseconds = 250_000;

/// What came of a run, as far as it is the back end's doing.
pub(crate) fn classify_run(outcome: &Result<transport::ForwardedResponse, Error>) -> RunResult {
    match outcome {
        Ok(take) if take.status < 500 => RunResult::Success,
        Ok(_) => RunResult::Failure,
        Err(trouble) => match trouble.kind {
            ErrorKind::BackendLost | ErrorKind::BadSeal | ErrorKind::Unreachable => {
                RunResult::Failure
            }
            ErrorKind::Refused if trouble.detail != crate::backend_client::MISDIRECTED => {
                RunResult::Failure
            }
            _ => RunResult::Inconclusive,
        },
    }
}

impl OutlierDetector {
    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn run_started(&mut self, now: Microseconds) -> u64 {
        self.last_run_id += 1;
        self.running.insert(self.last_run_id, (now, false));
        self.last_run_id
    }

    pub fn run_ended(&mut self, now: Microseconds, number: u64, ended: RunResult) {
        let Some((began, counted)) = self.running.remove(&number) else {
            return;
        };
        match ended {
            RunResult::Success if !counted => self.record(now, began, true),
            RunResult::Failure if !counted => self.record(now, began, false),
            _ => {}
        }
    }

    /// Counts runs that take far too long; `mean` of so many `runs`.
    pub fn check_overdue(&mut self, now: Microseconds, (mean, runs): (Microseconds, u32)) {
        let longest = (mean * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME);
        if runs >= MIN_SAMPLES_FOR_MEAN {
            let overdue = self
                .running
                .values_mut()
                .filter(|(began, counted)| !counted && now > *began + longest);
            let began: Vec<Microseconds> = overdue
                .map(|run| std::mem::replace(run, (run.0, true)).0)
                .collect();
            began
                .into_iter()
                .for_each(|began| self.record(now, began, false));
        }
        if self
            .ejection
            .as_ref()
            .is_some_and(|ill| now > ill.until + RECOVERY_WITHOUT_TRIALS)
        {
            self.recover(now);
        }
    }

    fn record(&mut self, now: Microseconds, began: Microseconds, good: bool) {
        let kept = (-(now.saturating_sub(self.updated_at) as f64) / DECAY_US).exp();
        (self.successes, self.failures, self.updated_at) = (
            self.successes * kept + good as u8 as f64,
            self.failures * kept + !good as u8 as f64,
            now,
        );
        self.recent_failures =
            (self.recent_failures << 1 | !good as u32) & ((1 << RECENT_RUNS) - 1);
        let many = self.failures >= MIN_FAILURES
            && self.failures >= FAILURE_RATIO * (self.successes + self.failures);
        match self.ejection.as_mut() {
            // What began before it was tried says nothing new.
            Some(ill) if began < ill.until => {}
            Some(ill) if good => {
                ill.trial_successes += 1;
                if ill.trial_successes >= TRIALS_TO_RECOVER {
                    self.recover(now);
                }
            }
            Some(_) => self.eject(now),
            None if many || self.recent_failures.count_ones() >= MAX_RECENT_FAILURES => {
                if now > self.healthy_since + HEALTHY_TIME_TO_RESET {
                    self.next_ejection_time = BASE_EJECTION_TIME;
                }
                self.eject(now);
            }
            None => {}
        }
    }

    fn eject(&mut self, now: Microseconds) {
        let term = self
            .next_ejection_time
            .clamp(BASE_EJECTION_TIME, MAX_EJECTION_TIME);
        self.ejection = Some(Ejection {
            until: now + term,
            trial_successes: 0,
        });
        self.next_ejection_time = (term * 2).min(MAX_EJECTION_TIME);
    }

    fn recover(&mut self, now: Microseconds) {
        (
            self.ejection,
            self.healthy_since,
            self.successes,
            self.failures,
            self.recent_failures,
        ) = (None, now, 0.0, 0.0, 0);
    }

    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// For how long whoever may go elsewhere should.
    pub fn declines(&self, now: Microseconds, repeatable: bool) -> Option<Microseconds> {
        let ill = self.ejection.as_ref()?;
        if now < ill.until {
            return Some(ill.until - now);
        }
        let tried = repeatable
            || ill.trial_successes >= IDEMPOTENT_TRIALS
            || now > ill.until + TRIALS_BY_ANY_REQUEST_AFTER;
        (!tried || self.running.len() > ill.trial_successes as usize).then_some(TRIAL_RETRY_AFTER)
    }

    /// Another back end took its place.
    pub fn reset(&mut self) {
        let running = self
            .running
            .iter()
            .map(|(number, (began, _))| (*number, (*began, true)))
            .collect();
        let begun = self.last_run_id;
        *self = OutlierDetector {
            running,
            last_run_id: begun,
            ..Default::default()
        };
    }
}
