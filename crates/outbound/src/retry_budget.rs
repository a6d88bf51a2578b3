//! How many retries a node may give a service, such that any number of nodes together keep the
//! promise: in any window no more retries than a share of the requests (design 13.10). Pure, with the
//! time passed in.
//!
//! Unlike the budget of `legacy-proxy`, which keeps what was earned up to a fixed allowance, what is
//! earned here expires: an allowance of each node adds up over many nodes, this does not.

use std::collections::VecDeque;

use model::Microseconds;

/// What a service's requests earned lately on one node. It is empty at the start, and nothing in it
/// lasts: what is withdrawn in a window was deposited in it or in the half before it.
///
/// Amounts are hundredths of a retry.
#[derive(Default)]
pub struct RetryBudget {
    /// Start of each grain of time and what it earned, the oldest first.
    deposits: VecDeque<(Microseconds, u64)>,
}

/// One retry, in hundredths.
const RETRY_COST: u64 = 100;
/// A deposit expires after 5 s: half of the shortest window that a site may promise by.
const DEPOSIT_LIFETIME: Microseconds = 5_000_000;
/// Deposits within 250 ms are kept as one.
const DEPOSIT_GRAIN: Microseconds = 250_000;
/// The part of the promised ratio that is used. The rest stands against what cannot be seen here:
/// backends' own requests look like clients' requests, and a run that was a retry makes its requests
/// again.
const RATIO_MARGIN: f64 = 0.8;

impl RetryBudget {
    /// What one request earns, in hundredths of a retry, under a promise of `ratio` retries a request.
    ///
    /// In every window there are as many requests as in the one counted, and in the half before it at
    /// most as many as in the one half a window earlier: each of the two may spend half of the share.
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

    /// Earns `amount` hundredths of a retry.
    pub fn deposit(&mut self, now: Microseconds, amount: u64) {
        let grain = now / DEPOSIT_GRAIN * DEPOSIT_GRAIN;
        match self.deposits.back_mut() {
            Some((at, sum)) if *at == grain => *sum += amount,
            _ => self.deposits.push_back((grain, amount)),
        }
        self.expire(now);
    }

    /// Pays for one retry, out of the oldest deposits first. False, and nothing is paid, if the
    /// deposits do not suffice.
    pub fn withdraw(&mut self, now: Microseconds) -> bool {
        self.expire(now);
        let suffices = self.deposits.iter().map(|(_, sum)| sum).sum::<u64>() >= RETRY_COST;
        let mut unpaid = if suffices { RETRY_COST } else { 0 };
        for (_, sum) in &mut self.deposits {
            let taken = unpaid.min(*sum);
            *sum -= taken;
            unpaid -= taken;
        }
        suffices
    }
}
