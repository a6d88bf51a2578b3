//! Queue of requests that wait for a slot (design 13.3), ordered by priority and, within a
//! priority, by arrival. A request that can no longer meet its latency target is moved behind all
//! requests that can. This module does no I/O; callers pass in the current time.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::{iter, mem};

use model::Microseconds;

/// A request that waits for a slot. All times are points of [`model::now`], in microseconds.
pub struct QueuedRequest<T> {
    /// The request's priority; 0 is the highest.
    pub priority: u8,
    /// The time at which the request was queued.
    pub queued_at: Microseconds,
    /// The time by which the answer meets the request's latency target.
    pub respond_by: Microseconds,
    /// The time at which the client stops waiting.
    pub deadline: Microseconds,
    /// The request itself.
    pub payload: T,
}

type QueuesByPriority<T> = BTreeMap<u8, VecDeque<QueuedRequest<T>>>;

/// The admission queue, with the run durations and arrival counts from which it estimates waits.
pub struct AdmissionQueue<T> {
    /// Requests that can still be answered within their latency target.
    on_time: QueuesByPriority<T>,
    /// Requests that will miss their latency target.
    late: QueuesByPriority<T>,
    count: usize,
    mean_run_us: f64,
    run_count: u64,
    arrivals: BTreeMap<u8, ArrivalCount>,
}

/// Decaying count of the arrivals of one priority, as of `updated_at`.
#[derive(Default)]
struct ArrivalCount {
    count: f64,
    updated_at: Microseconds,
}

impl ArrivalCount {
    fn decayed(&self, now: Microseconds) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.count * (-age / ARRIVAL_DECAY_US).exp()
    }
}

/// Assumed mean run duration before the first run has ended, in microseconds.
const INITIAL_MEAN_RUN_US: f64 = 50_000.0;
/// Number of runs over which the moving average of run durations is taken.
const MEAN_SAMPLES: u64 = 64;
/// Time constant of the exponential decay of arrival counts, in microseconds.
const ARRIVAL_DECAY_US: f64 = 700_000.0;
/// Upper bound of the share of slots that wait estimates attribute to higher priorities.
const MAX_HIGHER_PRIORITY_SHARE: f64 = 0.9;
/// A request is late once less than this fraction of a mean run remains of its latency target.
const LATE_RUN_FRACTION: f64 = 0.7;
/// A request is admitted if, after the expected wait, this fraction of a mean run remains of its
/// latency target.
const ADMISSION_RUN_FRACTION: f64 = 0.8;

/// Returns the latest start time at which the request will probably meet its latency target.
fn latest_start<T>(request: &QueuedRequest<T>, mean_run_us: f64) -> Microseconds {
    let run = (mean_run_us * LATE_RUN_FRACTION) as Microseconds;
    request.respond_by.saturating_sub(run)
}

/// Returns the time at which the request is refused if it still waits for a slot: after nine
/// twentieths of the time between queueing and deadline, so that the client has enough time for a
/// retry.
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
            run_count: 0,
            arrivals: BTreeMap::new(),
        }
    }
}

impl<T> AdmissionQueue<T> {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds the duration of a run, in microseconds, to the moving average.
    pub fn record_run_duration(&mut self, duration: Microseconds) {
        self.run_count += 1;
        // A plain average of the first runs, then an exponential moving average.
        let samples = self.run_count.clamp(1, MEAN_SAMPLES) as f64;
        self.mean_run_us += (duration as f64 - self.mean_run_us) / samples;
    }

    /// Returns the mean run duration in microseconds and its number of samples.
    pub fn mean_run_duration(&self) -> (Microseconds, u32) {
        let samples = self.run_count.min(MEAN_SAMPLES) as u32;
        (self.mean_run_us as Microseconds, samples)
    }

    /// Returns the arrivals per microsecond of all higher priorities.
    fn arrival_rate_above(&self, now: Microseconds, priority: u8) -> f64 {
        let rate = |arrivals: &ArrivalCount| arrivals.decayed(now) / ARRIVAL_DECAY_US;
        self.arrivals
            .range(..priority)
            .map(|(_, arrivals)| rate(arrivals))
            .sum()
    }

    /// Returns the expected time that a request of this priority waits for a slot, in microseconds,
    /// while `running` of the `slots` are occupied and requests of higher priority keep arriving.
    pub fn expected_wait(
        &self,
        now: Microseconds,
        priority: u8,
        running: usize,
        slots: usize,
    ) -> Microseconds {
        let queues_ahead = self.on_time.range(..=priority);
        let queued_ahead: usize = queues_ahead.map(|(_, requests)| requests.len()).sum();
        let runs_ahead = (queued_ahead + running + 1).saturating_sub(slots) as f64;
        let slots = slots.max(1) as f64;
        let higher_priority_share = (self.arrival_rate_above(now, priority) * self.mean_run_us
            / slots)
            .min(MAX_HIGHER_PRIORITY_SHARE);
        (runs_ahead * self.mean_run_us / slots / (1.0 - higher_priority_share)) as Microseconds
    }

    /// Returns the longest expected wait, in microseconds, at which a request is still admitted.
    /// With this wait it will probably meet its latency target.
    pub fn longest_acceptable_wait(
        &self,
        now: Microseconds,
        respond_by: Microseconds,
    ) -> Microseconds {
        let time_left = respond_by.saturating_sub(now);
        let run = (self.mean_run_us * ADMISSION_RUN_FRACTION) as Microseconds;
        time_left.saturating_sub(run).max(time_left / 8)
    }

    /// Queues a request and counts its arrival.
    pub fn push(&mut self, now: Microseconds, request: QueuedRequest<T>) {
        self.count += 1;
        let arrivals = self.arrivals.entry(request.priority).or_default();
        *arrivals = ArrivalCount {
            count: arrivals.decayed(now) + 1.0,
            updated_at: now,
        };
        self.on_time
            .entry(request.priority)
            .or_default()
            .push_back(request);
    }

    /// Removes and returns the next request to start, if there is one.
    pub fn pop(&mut self, now: Microseconds) -> Option<QueuedRequest<T>> {
        self.move_late_requests(now);
        let first = |queues: &mut QueuesByPriority<T>| {
            queues
                .values_mut()
                .find_map(|requests| requests.pop_front())
        };
        let next = first(&mut self.on_time).or_else(|| first(&mut self.late));
        self.count -= next.is_some() as usize;
        next
    }

    /// Removes and returns all requests that have waited too long and are to be refused.
    pub fn expire(&mut self, now: Microseconds) -> Vec<QueuedRequest<T>> {
        self.remove_where(|request| expires_at(request) <= now)
    }

    /// Moves requests that will miss their latency target behind all other requests.
    fn move_late_requests(&mut self, now: Microseconds) {
        let mean_run_us = self.mean_run_us;
        let is_late = |first: &mut QueuedRequest<T>| latest_start(first, mean_run_us) < now;
        for (priority, requests) in &mut self.on_time {
            let mut newly_late = iter::from_fn(|| requests.pop_front_if(is_late)).peekable();
            if newly_late.peek().is_some() {
                self.late.entry(*priority).or_default().extend(newly_late);
            }
        }
    }

    /// Removes and returns all requests for which `should_remove` returns true.
    pub fn remove_where(
        &mut self,
        mut should_remove: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut removed = Vec::new();
        for requests in self.on_time.values_mut().chain(self.late.values_mut()) {
            let (matching, kept): (Vec<_>, Vec<_>) = mem::take(requests)
                .into_iter()
                .partition(|request| should_remove(request));
            *requests = kept.into();
            removed.extend(matching);
        }
        self.count -= removed.len();
        removed
    }
}
