//! Requests that wait for a slot: what matters most first, and within that whoever came first; who can no longer be
//! answered within its aim goes behind all that can (design 13.3). Pure, with the time told to it.

use model::Micros;

pub struct Waiting<T> {
    pub rank: u8,
    pub at: Micros,
    /// An answer after it is worth less.
    pub aim: Micros,
    /// When the sender gives up.
    pub until: Micros,
    pub held: T,
}

type Buffers<T> = std::collections::BTreeMap<u8, std::collections::VecDeque<Waiting<T>>>;

pub struct Buffer<T> {
    timely: Buffers<T>,
    late: Buffers<T>,
    count: usize,
    /// Mean time of a run, as seen, and of how many.
    run: f64,
    runs: u64,
    /// Requests taken in, by rank: a decaying count, and when it was last brought up to date.
    taken: std::collections::BTreeMap<u8, (f64, Micros)>,
}

/// Before any run was seen.
const FIRST_GUESS: f64 = 50_000.0;
/// So many runs make a mean.
const MEAN_OF: u64 = 64;
/// Over how long rates are taken.
const RATE_OVER: f64 = 700_000.0;
/// Ranks above are taken to use no more of the slots than this, however many came.
const MOST_ABOVE: f64 = 0.9;

impl<T> Default for Buffer<T> {
    fn default() -> Self {
        Buffer { timely: Default::default(), late: Default::default(), count: 0, run: FIRST_GUESS, runs: 0, taken: Default::default() }
    }
}

/// The latest start that still makes the aim, as far as the mean says.
fn start_by<T>(waiting: &Waiting<T>, run: f64) -> Micros {
    waiting.aim.saturating_sub((run * 0.7) as Micros)
}

/// Held longer than this without a start it is refused: there is time left to come back.
fn held_until<T>(waiting: &Waiting<T>) -> Micros {
    waiting.at + (waiting.until.saturating_sub(waiting.at)) * 9 / 20
}

impl<T> Buffer<T> {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn ran(&mut self, took: Micros) {
        self.runs += 1;
        // The first ones count as much as each other, later ones less and less.
        self.run += (took as f64 - self.run) / self.runs.clamp(1, MEAN_OF) as f64;
    }

    /// The mean time of a run, and of how many.
    pub fn seen_run(&self) -> (Micros, u32) {
        (self.run as Micros, self.runs.min(MEAN_OF) as u32)
    }

    fn rate(&self, now: Micros, rank: u8) -> f64 {
        let of = |(count, at): &(f64, Micros)| count * (-(now.saturating_sub(*at) as f64) / RATE_OVER).exp() / RATE_OVER;
        self.taken.range(..rank).map(|(_, taken)| of(taken)).sum()
    }

    /// How long one of this rank would wait for a slot, with so many slots taken, and more important ones still coming.
    pub fn wait(&self, now: Micros, rank: u8, running: usize, slots: usize) -> Micros {
        let ahead: usize = self.timely.range(..=rank).map(|(_, waiting)| waiting.len()).sum();
        let before = (ahead + running + 1).saturating_sub(slots) as f64;
        let slots = slots.max(1) as f64;
        let above = (self.rate(now, rank) * self.run / slots).min(MOST_ABOVE);
        (before * self.run / slots / (1.0 - above)) as Micros
    }

    /// The longest wait with which it is still taken: it then makes its aim, most likely.
    pub fn room(&self, now: Micros, aim: Micros) -> Micros {
        let left = aim.saturating_sub(now);
        left.saturating_sub((self.run * 0.8) as Micros).max(left / 8)
    }

    pub fn push(&mut self, now: Micros, waiting: Waiting<T>) {
        self.count += 1;
        let taken = self.taken.entry(waiting.rank).or_insert((0.0, now));
        *taken = (taken.0 * (-(now.saturating_sub(taken.1) as f64) / RATE_OVER).exp() + 1.0, now);
        self.timely.entry(waiting.rank).or_default().push_back(waiting);
    }

    /// The next to start, if any.
    pub fn pop(&mut self, now: Micros) -> Option<Waiting<T>> {
        self.sort_out(now);
        let first = |buffers: &mut Buffers<T>| buffers.values_mut().find_map(|waiting| waiting.pop_front());
        let next = first(&mut self.timely).or_else(|| first(&mut self.late));
        self.count -= next.is_some() as usize;
        next
    }

    /// All that was held too long, to be refused.
    pub fn expire(&mut self, now: Micros) -> Vec<Waiting<T>> {
        self.remove(|waiting| held_until(waiting) <= now)
    }

    fn sort_out(&mut self, now: Micros) {
        let run = self.run;
        let moved: Vec<Waiting<T>> = self
            .timely
            .values_mut()
            .flat_map(|waiting| std::iter::from_fn(|| waiting.pop_front_if(|first| start_by(first, run) < now)).collect::<Vec<_>>())
            .collect();
        moved.into_iter().for_each(|waiting| self.late.entry(waiting.rank).or_default().push_back(waiting));
    }

    /// Takes out what no longer fits, by any rule of the owner's.
    pub fn remove(&mut self, mut gone: impl FnMut(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut out = Vec::new();
        self.timely.values_mut().chain(self.late.values_mut()).for_each(|waiting| {
            let (leave, stay): (Vec<_>, Vec<_>) = std::mem::take(waiting).into_iter().partition(|one| gone(one));
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

    fn waiting(rank: u8, aim: Micros, held: u32) -> Waiting<u32> {
        Waiting { rank, at: 0, aim, until: 1_000_000, held }
    }

    fn order(buffer: &mut Buffer<u32>, now: Micros) -> Vec<u32> {
        std::iter::from_fn(|| buffer.pop(now).map(|one| one.held)).collect()
    }

    #[test]
    fn what_matters_most_goes_first_and_who_missed_its_aim_after_all_others() {
        let mut buffer = Buffer::default();
        let all = [(2, 300_000, 1), (0, 300_000, 2), (2, 60_000, 3), (0, 60_000, 4), (0, 300_000, 5)];
        all.into_iter().for_each(|(rank, aim, held)| buffer.push(0, waiting(rank, aim, held)));
        buffer.timely.values_mut().for_each(|waiting| waiting.make_contiguous().sort_by_key(|one| one.aim));
        assert_eq!(order(&mut buffer, 50_000), [2, 5, 1, 4, 3]);
        assert!(buffer.is_empty());
    }

    #[test]
    fn a_wait_counts_those_ahead_by_rank_and_those_still_to_come_above() {
        let mut buffer = Buffer::default();
        (0..400).for_each(|_| buffer.ran(80_000));
        assert_eq!(buffer.wait(0, 0, 3, 4), 0, "a slot is free");
        (0..8).for_each(|at| buffer.push(0, waiting(1, 300_000, at)));
        let (important, equal, least) = (buffer.wait(0, 0, 4, 4), buffer.wait(0, 1, 4, 4), buffer.wait(0, 2, 4, 4));
        assert!((19_000..=20_500).contains(&important), "{important}");
        assert!((175_000..=181_000).contains(&equal), "{equal}");
        assert!(least > equal * 5 / 4, "{least}: eight more important ones came just now");
    }

    #[test]
    fn nobody_is_held_for_half_of_the_time_it_has() {
        let mut buffer = Buffer::default();
        (0..3).for_each(|held| buffer.push(0, waiting(0, 100_000, held)));
        assert!(buffer.expire(449_000).is_empty());
        assert_eq!((buffer.expire(450_000).len(), buffer.len()), (3, 0));
    }
}
