//! How long a backend is passed over, by counts (design 13.8).

use inbound::{OutlierDetector, RunResult};

const RUN: u64 = 50_000;

/// Runs one after the other, from then on, until it is ejected or the time is over; says when.
fn until_ejected(
    detector: &mut OutlierDetector,
    from: u64,
    to: u64,
    mut ended: impl FnMut(u64) -> RunResult,
) -> Option<u64> {
    (from..to).step_by(RUN as usize).find(|now| {
        let number = detector.run_started(*now);
        detector.run_ended(now + RUN, number, ended(*now));
        detector.is_ejected()
    })
}

/// Tried with good runs until it is healthy; says when.
fn until_recovered(detector: &mut OutlierDetector, from: u64) -> Option<u64> {
    (from..from + 20_000_000).step_by(RUN as usize).find(|now| {
        if detector.ejection_retry_after(*now, true).is_none() {
            let number = detector.run_started(*now);
            detector.run_ended(now + RUN, number, RunResult::Success);
        }
        !detector.is_ejected()
    })
}

#[test]
fn six_failures_are_enough_and_one_in_twenty_never_is() {
    let mut failing = OutlierDetector::default();
    assert_eq!(
        until_ejected(&mut failing, 0, 10_000_000, |_| RunResult::Failure),
        Some(4 * RUN),
        "five, as counts fade, and no other"
    );
    let mut mixed = OutlierDetector::default();
    let good = until_ejected(&mut mixed, 0, 2_000_000, |_| RunResult::Success);
    let ejected = until_ejected(&mut mixed, 2_000_000, 10_000_000, |_| RunResult::Failure);
    assert_eq!(
        (good, ejected),
        (None, Some(2_000_000 + 5 * RUN)),
        "six of the latest, however many good ones were before"
    );
    let mut healthy = OutlierDetector::default();
    assert_eq!(
        until_ejected(&mut healthy, 0, 120_000_000, |now| {
            if (now / RUN).is_multiple_of(20) {
                RunResult::Failure
            } else {
                RunResult::Success
            }
        }),
        None
    );
    let mut unclear = OutlierDetector::default();
    assert_eq!(
        until_ejected(&mut unclear, 0, 10_000_000, |_| RunResult::Inconclusive),
        None
    );
}

#[test]
fn a_backend_that_fails_again_is_ejected_for_longer_each_time_and_not_for_ever() {
    let (mut detector, mut now) = (OutlierDetector::default(), 0);
    let away: Vec<u64> = (0..4)
        .map(|_| {
            let ejected =
                until_ejected(&mut detector, now, now + 10_000_000, |_| RunResult::Failure)
                    .expect("it is ejected")
                    + RUN;
            now = until_recovered(&mut detector, ejected).expect("it has recovered");
            (now - ejected) / 1_000_000
        })
        .collect();
    assert_eq!(away, [1, 2, 4, 4]);
    // Well for long, and the next time is short again.
    assert_eq!(
        until_ejected(&mut detector, now, now + 11_000_000, |_| RunResult::Success),
        None
    );
    let ejected = until_ejected(&mut detector, now + 11_000_000, now + 20_000_000, |_| {
        RunResult::Failure
    })
    .expect("it is ejected")
        + RUN;
    assert_eq!(
        (until_recovered(&mut detector, ejected).expect("it has recovered") - ejected) / 1_000_000,
        1
    );
}

#[test]
fn a_run_that_takes_far_too_long_counts_before_it_ends_and_only_once() {
    let mut detector = OutlierDetector::default();
    let numbers: Vec<u64> = (0..8).map(|_| detector.run_started(0)).collect();
    detector.check_overdue(600_000, (100_000, 4));
    assert!(!detector.is_ejected(), "four runs make no mean");
    detector.check_overdue(390_000, (100_000, 64));
    assert!(!detector.is_ejected());
    detector.check_overdue(410_000, (100_000, 64));
    assert!(detector.is_ejected());
    assert_eq!(
        detector.ejection_retry_after(410_000, true),
        Some(1_000_000)
    );
    numbers
        .into_iter()
        .for_each(|number| detector.run_ended(1_400_000, number, RunResult::Failure));
    assert!(
        detector.ejection_retry_after(1_410_001, true).is_none(),
        "what was counted is not counted again"
    );
}
