//! Requests that wait for a slot: what matters most first, and within that whoever came first (design 13.3).
//! Pure, with the time told to it.

use playbill::Micros;

pub struct Waiting<T> {
    pub rank: u8,
    /// When it is no longer worth starting.
    pub until: Micros,
    /// When an answer is worth less.
    pub aim: Micros,
    pub key: Option<u16>,
    pub held: T,
}

pub struct Buffer<T> {
    ranks: std::collections::BTreeMap<u8, std::collections::VecDeque<Waiting<T>>>,
    count: usize,
    /// Mean time of a run, as seen.
    run: f64,
    runs: u64,
}

/// Before any run was seen.
const FIRST_GUESS: f64 = 50_000.0;

impl<T> Default for Buffer<T> {
    fn default() -> Self {
        Buffer { ranks: Default::default(), count: 0, run: FIRST_GUESS, runs: 0 }
    }
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
        self.run += (took as f64 - self.run) / self.runs.clamp(1, 48) as f64;
    }

    /// 0 until enough was seen to speak of a mean.
    pub fn seen_run(&self) -> Micros {
        if self.runs >= 8 { self.run as Micros } else { 0 }
    }

    pub fn mean_run(&self) -> Micros {
        self.run as Micros
    }

    fn ahead(&self, rank: u8) -> usize {
        self.ranks.range(..=rank).map(|(_, waiting)| waiting.len()).sum()
    }

    /// How long one of this rank would wait for a slot, with so many slots taken.
    pub fn wait(&self, rank: u8, running: usize, slots: usize) -> Micros {
        let before = (self.ahead(rank) + running + 1).saturating_sub(slots);
        (before as f64 * self.run / slots.max(1) as f64) as Micros
    }

    pub fn push(&mut self, waiting: Waiting<T>) {
        self.count += 1;
        self.ranks.entry(waiting.rank).or_default().push_back(waiting);
    }

    /// The next to start, and all that are too late by now.
    pub fn pop(&mut self, now: Micros) -> (Option<Waiting<T>>, Vec<Waiting<T>>) {
        let mut late = Vec::new();
        let next = self.ranks.values_mut().find_map(|waiting| {
            while let Some(next) = waiting.pop_front() {
                self.count -= 1;
                if next.until > now {
                    return Some(next);
                }
                late.push(next);
            }
            None
        });
        (next, late)
    }

    /// Takes out what no longer fits, by any rule of the owner's.
    pub fn remove(&mut self, mut gone: impl FnMut(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut out = Vec::new();
        self.ranks.values_mut().for_each(|waiting| {
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

    fn waiting(rank: u8, until: Micros, held: u32) -> Waiting<u32> {
        Waiting { rank, until, aim: until, key: None, held }
    }

    #[test]
    fn what_matters_most_goes_first_and_the_late_are_handed_back() {
        let mut buffer = Buffer::default();
        [(2, 100, 1), (0, 100, 2), (2, 5, 3), (0, 5, 4), (0, 100, 5)].into_iter().for_each(|(rank, until, held)| buffer.push(waiting(rank, until, held)));
        let (first, late) = buffer.pop(10);
        assert_eq!((first.map(|one| one.held), late.len()), (Some(2), 0));
        let (second, late) = buffer.pop(10);
        assert_eq!((second.map(|one| one.held), late.iter().map(|one| one.held).collect::<Vec<_>>()), (Some(5), vec![4]));
        assert_eq!(buffer.pop(10).0.map(|one| one.held), Some(1));
        let (none, late) = buffer.pop(10);
        assert!(none.is_none() && late.len() == 1 && buffer.is_empty());
    }

    #[test]
    fn a_wait_counts_those_ahead_by_rank_and_what_was_seen_of_runs() {
        let mut buffer = Buffer::default();
        (0..400).for_each(|_| buffer.ran(80_000));
        assert_eq!(buffer.wait(0, 3, 4), 0, "a slot is free");
        (0..8).for_each(|at| buffer.push(waiting(1, 100, at)));
        let (important, equal) = (buffer.wait(0, 4, 4), buffer.wait(1, 4, 4));
        assert!((19_000..=20_500).contains(&important), "{important}");
        assert!((175_000..=181_000).contains(&equal), "{equal}");
    }
}
