//! How long a back end is passed over, by counts (design 13.8).

use inbound::{OutlierDetector, RunResult};

const RUN: u64 = 50_000;

/// Runs one after the other, from then on, until it is ill or the time is over; says when.
fn until_ill(
    health: &mut OutlierDetector,
    from: u64,
    to: u64,
    mut ended: impl FnMut(u64) -> RunResult,
) -> Option<u64> {
    (from..to).step_by(RUN as usize).find(|now| {
        let number = health.run_started(*now);
        health.run_ended(now + RUN, number, ended(*now));
        health.is_ejected()
    })
}

/// Tried with good runs until it is well; says when.
fn until_well(health: &mut OutlierDetector, from: u64) -> Option<u64> {
    (from..from + 20_000_000).step_by(RUN as usize).find(|now| {
        if health.declines(*now, true).is_none() {
            let number = health.run_started(*now);
            health.run_ended(now + RUN, number, RunResult::Success);
        }
        !health.is_ejected()
    })
}

#[test]
fn six_troubles_are_enough_and_one_in_twenty_never_is() {
    let mut sick = OutlierDetector::default();
    assert_eq!(
        until_ill(&mut sick, 0, 10_000_000, |_| RunResult::Failure),
        Some(4 * RUN),
        "five, as counts fade, and no other"
    );
    let mut mixed = OutlierDetector::default();
    let good = until_ill(&mut mixed, 0, 2_000_000, |_| RunResult::Success);
    let ill = until_ill(&mut mixed, 2_000_000, 10_000_000, |_| RunResult::Failure);
    assert_eq!(
        (good, ill),
        (None, Some(2_000_000 + 5 * RUN)),
        "six of the latest, however many good ones were before"
    );
    let mut well = OutlierDetector::default();
    assert_eq!(
        until_ill(&mut well, 0, 120_000_000, |now| {
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
        until_ill(&mut unclear, 0, 10_000_000, |_| RunResult::Inconclusive),
        None
    );
}

#[test]
fn who_falls_ill_again_is_passed_over_for_longer_each_time_and_not_for_ever() {
    let (mut health, mut now) = (OutlierDetector::default(), 0);
    let away: Vec<u64> = (0..4)
        .map(|_| {
            let ill = until_ill(&mut health, now, now + 10_000_000, |_| RunResult::Failure)
                .expect("it is ill")
                + RUN;
            now = until_well(&mut health, ill).expect("it is well again");
            (now - ill) / 1_000_000
        })
        .collect();
    assert_eq!(away, [1, 2, 4, 4]);
    // Well for long, and the next time is short again.
    assert_eq!(
        until_ill(&mut health, now, now + 11_000_000, |_| RunResult::Success),
        None
    );
    let ill = until_ill(&mut health, now + 11_000_000, now + 20_000_000, |_| {
        RunResult::Failure
    })
    .expect("it is ill")
        + RUN;
    assert_eq!(
        (until_well(&mut health, ill).expect("it is well again") - ill) / 1_000_000,
        1
    );
}

#[test]
fn a_run_that_takes_far_too_long_counts_before_it_ends_and_only_once() {
    let mut health = OutlierDetector::default();
    let numbers: Vec<u64> = (0..8).map(|_| health.run_started(0)).collect();
    health.check_overdue(600_000, (100_000, 4));
    assert!(!health.is_ejected(), "four runs make no mean");
    health.check_overdue(390_000, (100_000, 64));
    assert!(!health.is_ejected());
    health.check_overdue(410_000, (100_000, 64));
    assert!(health.is_ejected());
    assert_eq!(health.declines(410_000, true), Some(1_000_000));
    numbers
        .into_iter()
        .for_each(|number| health.run_ended(1_400_000, number, RunResult::Failure));
    assert!(
        health.declines(1_410_001, true).is_none(),
        "what was counted is not counted again"
    );
}
