//! How the back end beside this node does, judged by what became of its runs and by nothing else (design 13.8). Pure,
//! with the time told to it.

use model::{Cause, Micros, Trouble};

/// What the end of a run says of the back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    Good,
    Bad,
    Unclear,
}

#[derive(Default)]
pub struct Health {
    /// Began, and whether it was counted as bad already.
    running: std::collections::BTreeMap<u64, (Micros, bool)>,
    begun: u64,
    /// Decaying counts.
    good: f64,
    bad: f64,
    at: Micros,
    /// The latest ones, a bit each, set where bad.
    latest: u32,
    ill: Option<Ill>,
    term: Micros,
    well_since: Micros,
}

struct Ill {
    /// Passed over until then, tried from then on.
    until: Micros,
    good: u32,
}

/// Counts fall to a third in so long.
const REMEMBERED: f64 = 2_000_000.0;
/// So many troubles, and such a share of all, make it ill.
const ENOUGH: f64 = 4.0;
const ILL: f64 = 0.25;
/// So many of the latest do so too, long before the counts do.
const LATEST: u32 = 12;
const LATEST_ILL: u32 = 6;
/// The first passing over; each further one is twice as long, up to the longest, until it was well for long.
const FIRST: Micros = 1_000_000;
const LONGEST: Micros = 4_000_000;
const WELL_FOR: Micros = 10_000_000;
/// Good runs in a row, begun after it was passed over, that make it well again; of which the first are repeatable ones.
const TRIALS: u32 = 5;
const REPEATABLE: u32 = 2;
/// Without any run so long after the passing over, nothing speaks against it.
const FORGOTTEN: Micros = 6_000_000;
const ANY: Micros = 2_000_000;
/// A run that takes so many times the mean is counted as bad before it ends, once the mean says something.
const OVERDUE: Micros = 4;
const OVERDUE_LEAST: Micros = 300_000;
const MEAN_OF: u32 = 16;
/// How long whoever comes while it is tried is to go elsewhere.
const ELSEWHERE: Micros = 250_000;

/// What came of a run, as far as it is the back end's doing.
pub(crate) fn ended(outcome: &Result<transport::Take, Trouble>) -> Ended {
    match outcome {
        Ok(take) if take.status < 500 => Ended::Good,
        Ok(_) => Ended::Bad,
        Err(trouble) => match trouble.cause {
            Cause::BackEndLost | Cause::BadSeal | Cause::Unreachable => Ended::Bad,
            Cause::Refused if trouble.detail != crate::door::NOT_ITS => Ended::Bad,
            _ => Ended::Unclear,
        },
    }
}

impl Health {
    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn begin(&mut self, now: Micros) -> u64 {
        self.begun += 1;
        self.running.insert(self.begun, (now, false));
        self.begun
    }

    pub fn ended(&mut self, now: Micros, number: u64, ended: Ended) {
        let Some((began, counted)) = self.running.remove(&number) else { return };
        match ended {
            Ended::Good if !counted => self.count(now, began, true),
            Ended::Bad if !counted => self.count(now, began, false),
            _ => {}
        }
    }

    /// Counts runs that take far too long; `mean` of so many `runs`.
    pub fn look(&mut self, now: Micros, (mean, runs): (Micros, u32)) {
        let longest = (mean * OVERDUE).max(OVERDUE_LEAST);
        if runs >= MEAN_OF {
            let overdue = self.running.values_mut().filter(|(began, counted)| !counted && now > *began + longest);
            let began: Vec<Micros> = overdue.map(|run| std::mem::replace(run, (run.0, true)).0).collect();
            began.into_iter().for_each(|began| self.count(now, began, false));
        }
        if self.ill.as_ref().is_some_and(|ill| now > ill.until + FORGOTTEN) {
            self.recover(now);
        }
    }

    fn count(&mut self, now: Micros, began: Micros, good: bool) {
        let kept = (-(now.saturating_sub(self.at) as f64) / REMEMBERED).exp();
        (self.good, self.bad, self.at) = (self.good * kept + good as u8 as f64, self.bad * kept + !good as u8 as f64, now);
        self.latest = (self.latest << 1 | !good as u32) & ((1 << LATEST) - 1);
        let many = self.bad >= ENOUGH && self.bad >= ILL * (self.good + self.bad);
        match self.ill.as_mut() {
            // What began before it was tried says nothing new.
            Some(ill) if began < ill.until => {}
            Some(ill) if good => {
                ill.good += 1;
                if ill.good >= TRIALS {
                    self.recover(now);
                }
            }
            Some(_) => self.fall(now),
            None if many || self.latest.count_ones() >= LATEST_ILL => {
                if now > self.well_since + WELL_FOR {
                    self.term = FIRST;
                }
                self.fall(now);
            }
            None => {}
        }
    }

    fn fall(&mut self, now: Micros) {
        let term = self.term.clamp(FIRST, LONGEST);
        self.ill = Some(Ill { until: now + term, good: 0 });
        self.term = (term * 2).min(LONGEST);
    }

    fn recover(&mut self, now: Micros) {
        (self.ill, self.well_since, self.good, self.bad, self.latest) = (None, now, 0.0, 0.0, 0);
    }

    pub fn ill(&self) -> bool {
        self.ill.is_some()
    }

    /// For how long whoever may go elsewhere should.
    pub fn declines(&self, now: Micros, repeatable: bool) -> Option<Micros> {
        let ill = self.ill.as_ref()?;
        if now < ill.until {
            return Some(ill.until - now);
        }
        let tried = repeatable || ill.good >= REPEATABLE || now > ill.until + ANY;
        (!tried || self.running.len() > ill.good as usize).then_some(ELSEWHERE)
    }

    /// Another back end took its place.
    pub fn forget(&mut self) {
        let running = self.running.iter().map(|(number, (began, _))| (*number, (*began, true))).collect();
        let begun = self.begun;
        *self = Health { running, begun, ..Default::default() };
    }
}
