//! Requests that wait for a slot (design 13.3): by priority, and within one priority by arrival. A
//! request that can no longer be answered within its latency target goes behind all that can. Pure,
//! with the time passed in.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::{iter, mem};

use model::Microseconds;

/// A request that waits for a slot. All times are points of [`model::now`], in microseconds.
pub struct QueuedRequest<T> {
    /// 0 matters most.
    pub priority: u8,
    /// When it was queued.
    pub queued_at: Microseconds,
    /// An answer after it is worth less.
    pub respond_by: Microseconds,
    /// The client waits no longer.
    pub deadline: Microseconds,
    /// The request itself.
    pub payload: T,
}

type QueuesByPriority<T> = BTreeMap<u8, VecDeque<QueuedRequest<T>>>;

/// The queue, with what it has to know of runs and arrivals to foretell a wait.
pub struct AdmissionQueue<T> {
    /// Requests that can still be answered within their latency target.
    on_time: QueuesByPriority<T>,
    late: QueuesByPriority<T>,
    count: usize,
    mean_run_us: f64,
    runs_seen: u64,
    arrivals: BTreeMap<u8, ArrivalCount>,
}

/// Requests of one priority that arrived: a decaying count, and when it was last brought up to date.
#[derive(Default)]
struct ArrivalCount {
    count: f64,
    updated_at: Microseconds,
}

impl ArrivalCount {
    fn at(&self, now: Microseconds) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.count * (-age / ARRIVAL_DECAY_US).exp()
    }
}

/// The mean time of a run before any was seen: 50 ms.
const INITIAL_MEAN_RUN_US: f64 = 50_000.0;
/// So many runs make the mean.
const MEAN_SAMPLES: u64 = 64;
/// Counts of arrivals fall to a third (1/e) in 0.7 s.
const ARRIVAL_DECAY_US: f64 = 700_000.0;
/// Higher priorities are taken to use no more of the slots than this, however many arrived.
const MAX_SHARE_OF_HIGHER_PRIORITIES: f64 = 0.9;
/// A request is late once less than this part of a mean run is left of its latency target.
const LATE_PART_OF_RUN: f64 = 0.7;
/// A request is admitted if this part of a mean run fits into its latency target after the wait.
const ADMITTED_PART_OF_RUN: f64 = 0.8;

/// The latest start with which a request is probably answered within its latency target.
fn latest_start<T>(request: &QueuedRequest<T>, mean_run_us: f64) -> Microseconds {
    let run = (mean_run_us * LATE_PART_OF_RUN) as Microseconds;
    request.respond_by.saturating_sub(run)
}

/// A request that has no slot by then is refused: after nine twentieths of its time there is enough
/// left to come back.
fn expires_at<T>(request: &QueuedRequest<T>) -> Microseconds {
    request.queued_at + request.deadline.saturating_sub(request.queued_at) * 9 / 20
}

impl<T> Default for AdmissionQueue<T> {
    fn default() -> Self {
        AdmissionQueue {
            on_time: BTreeMap::new(),
            late: BTreeMap::new(),
            count: 0,
            mean_run_us: INITIAL_MEAN_RUN_US,
            runs_seen: 0,
            arrivals: BTreeMap::new(),
        }
    }
}

impl<T> AdmissionQueue<T> {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Counts a run that took so long, in microseconds, into the mean.
    pub fn record_run_duration(&mut self, duration: Microseconds) {
        self.runs_seen += 1;
        // The first ones count as much as each other, later ones less and less.
        let samples = self.runs_seen.clamp(1, MEAN_SAMPLES) as f64;
        self.mean_run_us += (duration as f64 - self.mean_run_us) / samples;
    }

    /// The mean time of a run in microseconds, and of how many runs it is.
    pub fn mean_run_duration(&self) -> (Microseconds, u32) {
        let samples = self.runs_seen.min(MEAN_SAMPLES) as u32;
        (self.mean_run_us as Microseconds, samples)
    }

    /// Arrivals a microsecond of all priorities that matter more.
    fn arrival_rate_above(&self, now: Microseconds, priority: u8) -> f64 {
        let rate = |arrivals: &ArrivalCount| arrivals.at(now) / ARRIVAL_DECAY_US;
        self.arrivals
            .range(..priority)
            .map(|(_, arrivals)| rate(arrivals))
            .sum()
    }

    /// How long a request of this priority would wait for a slot, in microseconds, while `running`
    /// of the `slots` are taken and requests of higher priority go on arriving.
    pub fn expected_wait(
        &self,
        now: Microseconds,
        priority: u8,
        running: usize,
        slots: usize,
    ) -> Microseconds {
        let queued_before = self.on_time.range(..=priority);
        let ahead: usize = queued_before.map(|(_, requests)| requests.len()).sum();
        let runs_before = (ahead + running + 1).saturating_sub(slots) as f64;
        let slots = slots.max(1) as f64;
        let used_above = (self.arrival_rate_above(now, priority) * self.mean_run_us / slots)
            .min(MAX_SHARE_OF_HIGHER_PRIORITIES);
        (runs_before * self.mean_run_us / slots / (1.0 - used_above)) as Microseconds
    }

    /// The longest wait, in microseconds, with which a request is still admitted: it then probably
    /// meets its latency target.
    pub fn longest_acceptable_wait(
        &self,
        now: Microseconds,
        respond_by: Microseconds,
    ) -> Microseconds {
        let left = respond_by.saturating_sub(now);
        let run = (self.mean_run_us * ADMITTED_PART_OF_RUN) as Microseconds;
        left.saturating_sub(run).max(left / 8)
    }

    /// Queues a request.
    pub fn push(&mut self, now: Microseconds, request: QueuedRequest<T>) {
        self.count += 1;
        let arrivals = self.arrivals.entry(request.priority).or_default();
        *arrivals = ArrivalCount {
            count: arrivals.at(now) + 1.0,
            updated_at: now,
        };
        self.on_time
            .entry(request.priority)
            .or_default()
            .push_back(request);
    }

    /// Takes out the next request to start, if any.
    pub fn pop(&mut self, now: Microseconds) -> Option<QueuedRequest<T>> {
        self.move_late(now);
        let first = |queues: &mut QueuesByPriority<T>| {
            queues
                .values_mut()
                .find_map(|requests| requests.pop_front())
        };
        let next = first(&mut self.on_time).or_else(|| first(&mut self.late));
        self.count -= next.is_some() as usize;
        next
    }

    /// Takes out all requests that waited too long, to be refused.
    pub fn expire(&mut self, now: Microseconds) -> Vec<QueuedRequest<T>> {
        self.remove_where(|request| expires_at(request) <= now)
    }

    fn move_late(&mut self, now: Microseconds) {
        let mean_run_us = self.mean_run_us;
        let is_late = |first: &mut QueuedRequest<T>| latest_start(first, mean_run_us) < now;
        for (priority, requests) in &mut self.on_time {
            let mut newly_late = iter::from_fn(|| requests.pop_front_if(is_late)).peekable();
            if newly_late.peek().is_some() {
                self.late.entry(*priority).or_default().extend(newly_late);
            }
        }
    }

    /// Takes out all requests that are `gone` by a rule of the caller's.
    pub fn remove_where(
        &mut self,
        mut gone: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut removed = Vec::new();
        for requests in self.on_time.values_mut().chain(self.late.values_mut()) {
            let (leave, stay): (Vec<_>, Vec<_>) = mem::take(requests)
                .into_iter()
                .partition(|request| gone(request));
            *requests = stay.into();
            removed.extend(leave);
        }
        self.count -= removed.len();
        removed
    }
}
