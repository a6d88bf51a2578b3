//! Requests that wait for a slot: what matters most first, and within that whoever came first; who can no longer be
//! answered within its aim goes behind all that can (design 13.3). Pure, with the time told to it.

use model::Microseconds;
use std::collections::BTreeMap;
use std::collections::VecDeque;

pub struct QueuedRequest<T> {
    pub priority: u8,
    pub queued_at: Microseconds,
    /// An answer after it is worth less.
    pub respond_by: Microseconds,
    /// When the sender gives up.
    pub deadline: Microseconds,
    pub payload: T,
}

type QueuesByPriority<T> = BTreeMap<u8, VecDeque<QueuedRequest<T>>>;

pub struct AdmissionQueue<T> {
    on_time: QueuesByPriority<T>,
    late: QueuesByPriority<T>,
    count: usize,
    /// Mean time of a run, as seen, and of how many.
    mean_run_us: f64,
    runs_seen: u64,
    /// Requests taken in, by rank: a decaying count, and when it was last brought up to date.
    arrivals: BTreeMap<u8, (f64, Microseconds)>,
}

/// Before any run was seen.
const INITIAL_MEAN_RUN_US: f64 = 50_000.0;
/// So many runs make a mean.
const MEAN_SAMPLES: u64 = 64;
/// Over how long rates are taken.
const ARRIVAL_DECAY_US: f64 = 700_000.0;
/// Ranks above are taken to use no more of the slots than this, however many came.
const MAX_SHARE_OF_HIGHER_PRIORITIES: f64 = 0.9;

impl<T> Default for AdmissionQueue<T> {
    fn default() -> Self {
        AdmissionQueue {
            on_time: Default::default(),
            late: Default::default(),
            count: 0,
            mean_run_us: INITIAL_MEAN_RUN_US,
            runs_seen: 0,
            arrivals: Default::default(),
        }
    }
}

/// The latest start that still makes the aim, as far as the mean says.
fn latest_start<T>(waiting: &QueuedRequest<T>, run: f64) -> Microseconds {
    waiting
        .respond_by
        .saturating_sub((run * 0.7) as Microseconds)
}

/// Held longer than this without a start it is refused: there is time left to come back.
fn expires_at<T>(waiting: &QueuedRequest<T>) -> Microseconds {
    waiting.queued_at + (waiting.deadline.saturating_sub(waiting.queued_at)) * 9 / 20
}

impl<T> AdmissionQueue<T> {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn record_run(&mut self, took: Microseconds) {
        self.runs_seen += 1;
        // The first ones count as much as each other, later ones less and less.
        self.mean_run_us +=
            (took as f64 - self.mean_run_us) / self.runs_seen.clamp(1, MEAN_SAMPLES) as f64;
    }

    /// The mean time of a run, and of how many.
    pub fn mean_run(&self) -> (Microseconds, u32) {
        (
            self.mean_run_us as Microseconds,
            self.runs_seen.min(MEAN_SAMPLES) as u32,
        )
    }

    fn arrival_rate_above(&self, now: Microseconds, rank: u8) -> f64 {
        let of = |(count, at): &(f64, Microseconds)| {
            count * (-(now.saturating_sub(*at) as f64) / ARRIVAL_DECAY_US).exp() / ARRIVAL_DECAY_US
        };
        self.arrivals
            .range(..rank)
            .map(|(_, taken)| of(taken))
            .sum()
    }

    /// How long one of this rank would wait for a slot, with so many slots taken, and more important ones still coming.
    pub fn expected_wait(
        &self,
        now: Microseconds,
        rank: u8,
        running: usize,
        slots: usize,
    ) -> Microseconds {
        let ahead: usize = self
            .on_time
            .range(..=rank)
            .map(|(_, waiting)| waiting.len())
            .sum();
        let before = (ahead + running + 1).saturating_sub(slots) as f64;
        let slots = slots.max(1) as f64;
        let above = (self.arrival_rate_above(now, rank) * self.mean_run_us / slots)
            .min(MAX_SHARE_OF_HIGHER_PRIORITIES);
        (before * self.mean_run_us / slots / (1.0 - above)) as Microseconds
    }

    /// The longest wait with which it is still taken: it then makes its aim, most likely.
    pub fn longest_acceptable_wait(&self, now: Microseconds, aim: Microseconds) -> Microseconds {
        let left = aim.saturating_sub(now);
        left.saturating_sub((self.mean_run_us * 0.8) as Microseconds)
            .max(left / 8)
    }

    pub fn push(&mut self, now: Microseconds, waiting: QueuedRequest<T>) {
        self.count += 1;
        let taken = self.arrivals.entry(waiting.priority).or_insert((0.0, now));
        *taken = (
            taken.0 * (-(now.saturating_sub(taken.1) as f64) / ARRIVAL_DECAY_US).exp() + 1.0,
            now,
        );
        self.on_time
            .entry(waiting.priority)
            .or_default()
            .push_back(waiting);
    }

    /// The next to start, if any.
    pub fn pop(&mut self, now: Microseconds) -> Option<QueuedRequest<T>> {
        self.move_late(now);
        let first = |buffers: &mut QueuesByPriority<T>| {
            buffers.values_mut().find_map(|waiting| waiting.pop_front())
        };
        let next = first(&mut self.on_time).or_else(|| first(&mut self.late));
        self.count -= next.is_some() as usize;
        next
    }

    /// All that was held too long, to be refused.
    pub fn expire(&mut self, now: Microseconds) -> Vec<QueuedRequest<T>> {
        self.remove_where(|waiting| expires_at(waiting) <= now)
    }

    fn move_late(&mut self, now: Microseconds) {
        let run = self.mean_run_us;
        let moved: Vec<QueuedRequest<T>> = self
            .on_time
            .values_mut()
            .flat_map(|waiting| {
                std::iter::from_fn(|| waiting.pop_front_if(|first| latest_start(first, run) < now))
                    .collect::<Vec<_>>()
            })
            .collect();
        moved.into_iter().for_each(|waiting| {
            self.late
                .entry(waiting.priority)
                .or_default()
                .push_back(waiting)
        });
    }

    /// Takes out what no longer fits, by any rule of the owner's.
    pub fn remove_where(
        &mut self,
        mut gone: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut out = Vec::new();
        self.on_time
            .values_mut()
            .chain(self.late.values_mut())
            .for_each(|waiting| {
                let (leave, stay): (Vec<_>, Vec<_>) = std::mem::take(waiting)
                    .into_iter()
                    .partition(|one| gone(one));
                *waiting = stay.into();
                out.extend(leave);
            });
        self.count -= out.len();
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn waiting(rank: u8, aim: Microseconds, held: u32) -> QueuedRequest<u32> {
        QueuedRequest {
            priority: rank,
            queued_at: 0,
            respond_by: aim,
            deadline: 1_000_000,
            payload: held,
        }
    }

    fn order(buffer: &mut AdmissionQueue<u32>, now: Microseconds) -> Vec<u32> {
        std::iter::from_fn(|| buffer.pop(now).map(|one| one.payload)).collect()
    }

    #[test]
    fn what_matters_most_goes_first_and_who_missed_its_aim_after_all_others() {
        let mut buffer = AdmissionQueue::default();
        let all = [
            (2, 300_000, 1),
            (0, 300_000, 2),
            (2, 60_000, 3),
            (0, 60_000, 4),
            (0, 300_000, 5),
        ];
        all.into_iter()
            .for_each(|(rank, aim, held)| buffer.push(0, waiting(rank, aim, held)));
        buffer
            .on_time
            .values_mut()
            .for_each(|waiting| waiting.make_contiguous().sort_by_key(|one| one.respond_by));
        assert_eq!(order(&mut buffer, 50_000), [2, 5, 1, 4, 3]);
        assert!(buffer.is_empty());
    }

    #[test]
    fn a_wait_counts_those_ahead_by_rank_and_those_still_to_come_above() {
        let mut buffer = AdmissionQueue::default();
        (0..400).for_each(|_| buffer.record_run(80_000));
        assert_eq!(buffer.expected_wait(0, 0, 3, 4), 0, "a slot is free");
        (0..8).for_each(|at| buffer.push(0, waiting(1, 300_000, at)));
        let (important, equal, least) = (
            buffer.expected_wait(0, 0, 4, 4),
            buffer.expected_wait(0, 1, 4, 4),
            buffer.expected_wait(0, 2, 4, 4),
        );
        assert!((19_000..=20_500).contains(&important), "{important}");
        assert!((175_000..=181_000).contains(&equal), "{equal}");
        assert!(
            least > equal * 5 / 4,
            "{least}: eight more important ones came just now"
        );
    }

    #[test]
    fn nobody_is_held_for_half_of_the_time_it_has() {
        let mut buffer = AdmissionQueue::default();
        (0..3).for_each(|held| buffer.push(0, waiting(0, 100_000, held)));
        assert!(buffer.expire(449_000).is_empty());
        assert_eq!((buffer.expire(450_000).len(), buffer.len()), (3, 0));
    }
}
