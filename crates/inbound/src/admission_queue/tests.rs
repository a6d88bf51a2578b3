//! The order in the queue, and the waits that it foretells.

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
fn the_highest_priority_goes_first_and_who_missed_its_latency_target_after_all_others() {
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
fn a_wait_counts_those_ahead_by_priority_and_those_still_to_come_above() {
    let mut queue = AdmissionQueue::default();
    for _ in 0..400 {
        queue.record_run_duration(80_000);
    }
    assert_eq!(queue.expected_wait(0, 0, 3, 4), 0, "a slot is free");
    for payload in 0..8 {
        queue.push(0, queued(1, 300_000, payload));
    }
    let important = queue.expected_wait(0, 0, 4, 4);
    let equal = queue.expected_wait(0, 1, 4, 4);
    let least = queue.expected_wait(0, 2, 4, 4);
    assert!((19_000..=20_500).contains(&important), "{important}");
    assert!((175_000..=181_000).contains(&equal), "{equal}");
    assert!(
        least > equal * 5 / 4,
        "{least}: eight more important ones came just now"
    );
}

#[test]
fn nobody_is_queued_for_half_of_the_time_it_has() {
    let mut queue = AdmissionQueue::default();
    for payload in 0..3 {
        queue.push(0, queued(0, 100_000, payload));
    }
    assert!(queue.expire(449_000).is_empty());
    assert_eq!((queue.expire(450_000).len(), queue.len()), (3, 0));
}
