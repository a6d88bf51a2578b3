//! Retry budget of a service on one node. In any window, the retries of all nodes together do not
//! exceed a fixed ratio of the requests, whatever the number of nodes (design 13.10). This module
//! does no I/O; callers pass in the current time.
//!
//! Deposits expire. The budget of `legacy-proxy` instead keeps deposits up to a fixed allowance per
//! node; these allowances add up over many nodes and exceed the ratio.

use std::collections::VecDeque;

use model::Microseconds;

/// The retry budget of a service on one node. It is empty at the start and its deposits expire, so
/// that a withdrawal in a window uses deposits of that window or of the half window before it.
///
/// Amounts are hundredths of a retry.
#[derive(Default)]
pub struct RetryBudget {
    /// The start of each deposit interval and the sum of its deposits, oldest first.
    deposits: VecDeque<(Microseconds, u64)>,
}

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u64 = 100;
/// Time after which a deposit expires, in microseconds: half of the shortest window for which a
/// site may guarantee a retry ratio.
const DEPOSIT_LIFETIME: Microseconds = 5_000_000;
/// Length of the interval whose deposits are summed, in microseconds.
const DEPOSIT_INTERVAL: Microseconds = 250_000;
/// The fraction of the guaranteed ratio that is used. The rest is a margin for retries that cannot
/// be recognized here: requests of backends look like requests of clients, and a run that is itself
/// a retry makes its own requests again.
const RATIO_MARGIN: f64 = 0.8;

impl RetryBudget {
    /// Returns the deposit for one request, in hundredths of a retry, for a guarantee of `ratio`
    /// retries per request.
    ///
    /// Withdrawals in a window use deposits of that window and of the half window before it. The
    /// half window before it has at most as many requests as the window that starts half a window
    /// earlier. Therefore each of the two may contribute half of the ratio.
    pub fn deposit_for_ratio(ratio: f64) -> u64 {
        (ratio * RETRY_COST as f64 / 2.0 * RATIO_MARGIN) as u64
    }

    /// Removes expired deposits.
    fn expire(&mut self, now: Microseconds) {
        while self
            .deposits
            .front()
            .is_some_and(|(at, _)| now >= at + DEPOSIT_LIFETIME)
        {
            self.deposits.pop_front();
        }
    }

    /// Adds a deposit of `amount` hundredths of a retry.
    pub fn deposit(&mut self, now: Microseconds, amount: u64) {
        let interval_start = now / DEPOSIT_INTERVAL * DEPOSIT_INTERVAL;
        match self.deposits.back_mut() {
            Some((at, sum)) if *at == interval_start => *sum += amount,
            _ => self.deposits.push_back((interval_start, amount)),
        }
        self.expire(now);
    }

    /// Withdraws the cost of one retry, oldest deposits first. Returns false and withdraws nothing
    /// if the deposits do not suffice.
    pub fn withdraw(&mut self, now: Microseconds) -> bool {
        self.expire(now);
        let suffices = self.deposits.iter().map(|(_, sum)| sum).sum::<u64>() >= RETRY_COST;
        let mut remaining_cost = if suffices { RETRY_COST } else { 0 };
        for (_, sum) in &mut self.deposits {
            let amount_taken = remaining_cost.min(*sum);
            *sum -= amount_taken;
            remaining_cost -= amount_taken;
        }
        suffices
    }
}
