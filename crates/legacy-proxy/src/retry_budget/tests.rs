//! The bound on retries, checked with randomly generated runs.

use model::Microseconds;

use super::*;

const WINDOW: Microseconds = 10_000_000;

/// Returns the window that exceeds the bound by the most retries, if any: time, retries and
/// requests. A window begins at each retry, so windows without any request are covered.
fn worst_window(
    requests: &[u64],
    retries: &[u64],
    allowance: usize,
) -> Option<(u64, usize, usize)> {
    let count_in_window = |times: &[u64], from: u64| {
        times
            .iter()
            .filter(|time| (from..from + WINDOW).contains(time))
            .count()
    };
    let windows = retries.iter().map(|from| {
        (
            *from,
            count_in_window(retries, *from),
            count_in_window(requests, *from),
        )
    });
    windows
        .filter(|(_, retries, requests)| *retries > requests / 5 + allowance)
        .max_by_key(|(_, retries, _)| *retries)
}

#[test]
fn retries_in_any_ten_seconds_are_bounded_by_the_requests() {
    test_support::check_generated::<(u8, Vec<(u16, bool)>)>(300, |(restart_at, steps)| {
        let mut budget = RetryBudget::new(2);
        let (mut now, mut requests, mut retries) = (0u64, Vec::new(), Vec::new());
        steps
            .iter()
            .enumerate()
            .for_each(|(step, (gap, is_request))| {
                now += *gap as u64 * 100;
                if step == *restart_at as usize {
                    // A restarted process begins with an empty budget and gains no allowance.
                    budget = RetryBudget::new(2);
                }
                if *is_request {
                    budget.deposit("seat");
                    requests.push(now);
                } else if budget.withdraw("seat") {
                    retries.push(now);
                }
            });
        assert_eq!(worst_window(&requests, &retries, 2), None);
    });
}

#[test]
fn savings_from_earlier_requests_are_limited_to_the_allowance() {
    let mut budget = RetryBudget::new(1);
    (0..100).for_each(|_| budget.deposit("seat"));
    assert_eq!(
        (0..100).filter(|_| budget.withdraw("seat")).count(),
        1,
        "a hundred requests save up no more than the allowance"
    );
    assert!(
        !budget.withdraw("other"),
        "services have separate budgets, which begin empty"
    );
}
