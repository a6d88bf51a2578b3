//! The promise on retries, over drawn runs.

use model::Microseconds;

use super::*;

const WINDOW: Microseconds = 10_000_000;

/// Every window, also one that begins just before a burst and holds no requests at all.
fn worst(requests: &[u64], retries: &[u64], allowance: usize) -> Option<(u64, usize, usize)> {
    let inside = |times: &[u64], from: u64| {
        times
            .iter()
            .filter(|time| (from..from + WINDOW).contains(time))
            .count()
    };
    let windows = retries
        .iter()
        .map(|from| (*from, inside(retries, *from), inside(requests, *from)));
    windows
        .filter(|(_, retries, requests)| *retries > requests / 5 + allowance)
        .max_by_key(|(_, retries, _)| *retries)
}

#[test]
fn no_ten_seconds_hold_more_retries_than_their_requests_allow() {
    test_support::check_generated::<(u8, Vec<(u16, bool)>)>(300, |(restart, steps)| {
        let mut budget = RetryBudget::new(2);
        let (mut now, mut requests, mut retries) = (0u64, Vec::new(), Vec::new());
        steps.iter().enumerate().for_each(|(at, (gap, first))| {
            now += *gap as u64 * 100;
            if at == *restart as usize {
                // The process begins anew: that is no new allowance.
                budget = RetryBudget::new(2);
            }
            if *first {
                budget.deposit("seat");
                requests.push(now);
            } else if budget.withdraw("seat") {
                retries.push(now);
            }
        });
        assert_eq!(worst(&requests, &retries, 2), None);
    });
}

#[test]
fn what_old_requests_earned_is_not_saved_up_for_a_window_without_any() {
    let mut budget = RetryBudget::new(1);
    (0..100).for_each(|_| budget.deposit("seat"));
    assert_eq!(
        (0..100).filter(|_| budget.withdraw("seat")).count(),
        1,
        "a hundred requests ago is not now"
    );
    assert!(
        !budget.withdraw("other"),
        "services do not share, and nothing is given before it is earned"
    );
}
