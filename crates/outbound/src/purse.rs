//! How many more dispatches a node may give a service, such that any number of nodes together keep the promise: in
//! any window no more than a share of the requests (design 13.10). Pure, with the time told to it.

use model::Micros;

/// What was earned lately, by when. Nothing is there at the start, and nothing lasts: what is spent in a window was
/// earned in it or in the half before it.
#[derive(Default)]
pub struct Purse {
    /// By the grain it was earned in, the oldest first.
    earned: std::collections::VecDeque<(Micros, u64)>,
}

const WHOLE: u64 = 100;
/// What is earned lasts so long: half of the shortest window a site may promise by.
const LASTS: Micros = 5_000_000;
const GRAIN: Micros = 250_000;

impl Purse {
    /// In every window there are as many requests as in the one counted, and in the half before it at most as many
    /// as in the one half a window earlier: each of the two may spend half of the share.
    pub fn earned_of_100(ratio: f64) -> u64 {
        (ratio * WHOLE as f64 / 2.0 * KEPT_BACK) as u64
    }

    fn forget(&mut self, now: Micros) {
        while self.earned.front().is_some_and(|(at, _)| now >= at + LASTS) {
            self.earned.pop_front();
        }
    }

    pub fn earn(&mut self, now: Micros, share: u64) {
        let grain = now / GRAIN * GRAIN;
        match self.earned.back_mut() {
            Some((at, sum)) if *at == grain => *sum += share,
            _ => self.earned.push_back((grain, share)),
        }
        self.forget(now);
    }

    pub fn spend(&mut self, now: Micros) -> bool {
        self.forget(now);
        let fits = self.earned.iter().map(|(_, sum)| sum).sum::<u64>() >= WHOLE;
        let mut left = if fits { WHOLE } else { 0 };
        self.earned.iter_mut().for_each(|(_, sum)| {
            let taken = left.min(*sum);
            (*sum, left) = (*sum - taken, left - taken);
        });
        fits
    }
}

/// Calls that back ends make are seen as requests here, and may not count as such; and a run that was a repeat makes
/// its calls again.
const KEPT_BACK: f64 = 0.8;
