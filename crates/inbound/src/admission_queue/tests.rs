//! Order of the admission queue and its wait estimates.

use super::*;

fn queued(priority: u8, respond_by: Microseconds, payload: u32) -> QueuedRequest<u32> {
    QueuedRequest {
        priority,
        queued_at: 0,
        respond_by,
        deadline: 1_000_000,
        payload,
    }
}

fn order(queue: &mut AdmissionQueue<u32>, now: Microseconds) -> Vec<u32> {
    iter::from_fn(|| queue.pop(now).map(|request| request.payload)).collect()
}

#[test]
fn requests_are_ordered_by_priority_and_late_requests_come_last() {
    let mut queue = AdmissionQueue::default();
    let all = [
        (2, 300_000, 1),
        (0, 300_000, 2),
        (2, 60_000, 3),
        (0, 60_000, 4),
        (0, 300_000, 5),
    ];
    for (priority, respond_by, payload) in all {
        queue.push(0, queued(priority, respond_by, payload));
    }
    for requests in queue.on_time.values_mut() {
        requests
            .make_contiguous()
            .sort_by_key(|request| request.respond_by);
    }
    assert_eq!(order(&mut queue, 50_000), [2, 5, 1, 4, 3]);
    assert!(queue.is_empty());
}

#[test]
fn the_expected_wait_counts_requests_ahead_and_arrivals_of_higher_priority() {
    let mut queue = AdmissionQueue::default();
    for _ in 0..400 {
        queue.record_run_duration(80_000);
    }
    assert_eq!(queue.expected_wait(0, 0, 3, 4), 0, "a slot is free");
    for payload in 0..8 {
        queue.push(0, queued(1, 300_000, payload));
    }
    let highest = queue.expected_wait(0, 0, 4, 4);
    let same = queue.expected_wait(0, 1, 4, 4);
    let lowest = queue.expected_wait(0, 2, 4, 4);
    assert!((19_000..=20_500).contains(&highest), "{highest}");
    assert!((175_000..=181_000).contains(&same), "{same}");
    assert!(
        lowest > same * 5 / 4,
        "{lowest}: eight requests of higher priority have just arrived"
    );
}

#[test]
fn a_queued_request_expires_before_half_of_its_time_has_passed() {
    let mut queue = AdmissionQueue::default();
    for payload in 0..3 {
        queue.push(0, queued(0, 100_000, payload));
    }
    assert!(queue.expire(449_000).is_empty());
    assert_eq!((queue.expire(450_000).len(), queue.len()), (3, 0));
}
