//! How many more dispatches a node may give a service, such that any number of nodes together keep the promise: in
//! any window no more than a share of the requests (design 13.10). Pure, with the time told to it.

use model::Microseconds;
use std::collections::VecDeque;

/// What was earned lately, by when. Nothing is there at the start, and nothing lasts: what is spent in a window was
/// earned in it or in the half before it.
#[derive(Default)]
pub struct RetryBudget {
    /// By the grain it was earned in, the oldest first.
    deposits: VecDeque<(Microseconds, u64)>,
}

const RETRY_COST: u64 = 100;
/// What is earned lasts so long: half of the shortest window a site may promise by.
const DEPOSIT_LIFETIME: Microseconds = 5_000_000;
const DEPOSIT_GRAIN: Microseconds = 250_000;

impl RetryBudget {
    /// In every window there are as many requests as in the one counted, and in the half before it at most as many
    /// as in the one half a window earlier: each of the two may spend half of the share.
    pub fn deposit_for_ratio(ratio: f64) -> u64 {
        (ratio * RETRY_COST as f64 / 2.0 * RATIO_MARGIN) as u64
    }

    fn expire(&mut self, now: Microseconds) {
        while self
            .deposits
            .front()
            .is_some_and(|(at, _)| now >= at + DEPOSIT_LIFETIME)
        {
            self.deposits.pop_front();
        }
    }

    pub fn deposit(&mut self, now: Microseconds, share: u64) {
        let grain = now / DEPOSIT_GRAIN * DEPOSIT_GRAIN;
        match self.deposits.back_mut() {
            Some((at, sum)) if *at == grain => *sum += share,
            _ => self.deposits.push_back((grain, share)),
        }
        self.expire(now);
    }

    pub fn withdraw(&mut self, now: Microseconds) -> bool {
        self.expire(now);
        let fits = self.deposits.iter().map(|(_, sum)| sum).sum::<u64>() >= RETRY_COST;
        let mut left = if fits { RETRY_COST } else { 0 };
        self.deposits.iter_mut().for_each(|(_, sum)| {
            let taken = left.min(*sum);
            (*sum, left) = (*sum - taken, left - taken);
        });
        fits
    }
}

/// Calls that back ends make are seen as requests here, and may not count as such; and a run that was a repeat makes
/// its calls again.
const RATIO_MARGIN: f64 = 0.8;
