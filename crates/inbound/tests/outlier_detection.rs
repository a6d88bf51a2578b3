//! Ejection and recovery of a backend by run results (design 13.8).

use inbound::{OutlierDetector, RunResult};

const RUN_DURATION: u64 = 50_000;

/// Performs runs one after the other from `from` on, until the backend is ejected or `to` is
/// reached. Returns the start of the run that led to the ejection.
fn run_until_ejected(
    detector: &mut OutlierDetector,
    from: u64,
    to: u64,
    mut result_at: impl FnMut(u64) -> RunResult,
) -> Option<u64> {
    (from..to).step_by(RUN_DURATION as usize).find(|now| {
        let run_id = detector.run_started(*now);
        detector.run_ended(now + RUN_DURATION, run_id, result_at(*now));
        detector.is_ejected()
    })
}

/// Performs successful runs whenever one is admitted, until the backend has recovered. Returns the
/// time of the recovery.
fn run_until_recovered(detector: &mut OutlierDetector, from: u64) -> Option<u64> {
    (from..from + 20_000_000)
        .step_by(RUN_DURATION as usize)
        .find(|now| {
            if detector.ejection_retry_after(*now, true).is_none() {
                let run_id = detector.run_started(*now);
                detector.run_ended(now + RUN_DURATION, run_id, RunResult::Success);
            }
            !detector.is_ejected()
        })
}

#[test]
fn six_recent_failures_eject_and_one_failure_in_twenty_does_not() {
    let mut failing = OutlierDetector::default();
    assert_eq!(
        run_until_ejected(&mut failing, 0, 10_000_000, |_| RunResult::Failure),
        Some(4 * RUN_DURATION),
        "the fifth failure ejects, because the counts decay"
    );
    let mut mixed = OutlierDetector::default();
    let ejected_by_successes = run_until_ejected(&mut mixed, 0, 2_000_000, |_| RunResult::Success);
    let ejected = run_until_ejected(&mut mixed, 2_000_000, 10_000_000, |_| RunResult::Failure);
    assert_eq!(
        (ejected_by_successes, ejected),
        (None, Some(2_000_000 + 5 * RUN_DURATION)),
        "six recent failures eject, however many successes came before"
    );
    let mut healthy = OutlierDetector::default();
    assert_eq!(
        run_until_ejected(&mut healthy, 0, 120_000_000, |now| {
            if (now / RUN_DURATION).is_multiple_of(20) {
                RunResult::Failure
            } else {
                RunResult::Success
            }
        }),
        None
    );
    let mut inconclusive = OutlierDetector::default();
    assert_eq!(
        run_until_ejected(&mut inconclusive, 0, 10_000_000, |_| {
            RunResult::Inconclusive
        }),
        None
    );
}

#[test]
fn repeated_ejections_last_longer_up_to_a_maximum_and_reset_after_a_healthy_period() {
    let (mut detector, mut now) = (OutlierDetector::default(), 0);
    let ejection_seconds: Vec<u64> = (0..4)
        .map(|_| {
            let ejected =
                run_until_ejected(&mut detector, now, now + 10_000_000, |_| RunResult::Failure)
                    .expect("the backend is ejected")
                    + RUN_DURATION;
            now = run_until_recovered(&mut detector, ejected).expect("the backend has recovered");
            (now - ejected) / 1_000_000
        })
        .collect();
    assert_eq!(ejection_seconds, [1, 2, 4, 4]);
    // After a long healthy period the next ejection is short again.
    assert_eq!(
        run_until_ejected(&mut detector, now, now + 11_000_000, |_| RunResult::Success),
        None
    );
    let ejected = run_until_ejected(&mut detector, now + 11_000_000, now + 20_000_000, |_| {
        RunResult::Failure
    })
    .expect("the backend is ejected")
        + RUN_DURATION;
    assert_eq!(
        (run_until_recovered(&mut detector, ejected).expect("the backend has recovered") - ejected)
            / 1_000_000,
        1
    );
}

#[test]
fn an_overdue_run_counts_as_a_failure_once_and_before_it_ends() {
    let mut detector = OutlierDetector::default();
    let run_ids: Vec<u64> = (0..8).map(|_| detector.run_started(0)).collect();
    detector.check_overdue(600_000, (100_000, 4));
    assert!(
        !detector.is_ejected(),
        "four samples are too few for a mean"
    );
    detector.check_overdue(390_000, (100_000, 64));
    assert!(!detector.is_ejected());
    detector.check_overdue(410_000, (100_000, 64));
    assert!(detector.is_ejected());
    assert_eq!(
        detector.ejection_retry_after(410_000, true),
        Some(1_000_000)
    );
    run_ids
        .into_iter()
        .for_each(|run_id| detector.run_ended(1_400_000, run_id, RunResult::Failure));
    assert!(
        detector.ejection_retry_after(1_410_001, true).is_none(),
        "a run that was counted as overdue is not counted again when it ends"
    );
}
