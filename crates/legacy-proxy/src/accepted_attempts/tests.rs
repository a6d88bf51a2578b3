//! Duplicates of an attempt are rejected with the outcome of its first arrival.

use model::ExecutionStatus;

use super::*;

#[test]
fn duplicate_never_runs_and_gets_the_outcome_of_the_first_arrival() {
    let mut accepted = AcceptedAttempts::default();
    assert_eq!(accepted.accept("seat-0.7.a"), Ok(()));
    let duplicate = accepted.accept("seat-0.7.a").expect_err("in flight");
    assert_eq!(
        (duplicate.kind, duplicate.execution_status),
        (ErrorKind::DuplicateAttempt, ExecutionStatus::MayHaveRun)
    );
    let first = Error::new(ErrorKind::StaleState, "no proof");
    assert_eq!(accepted.accept("seat-0.7.b"), Ok(()));
    accepted.record_not_run("seat-0.7.b", first.clone());
    assert_eq!(
        accepted.accept("seat-0.7.b"),
        Err(first),
        "an attempt reported as not run is not run later"
    );
}

#[test]
fn table_is_bounded_by_count() {
    let mut accepted = AcceptedAttempts::default();
    (0..MAX_ATTEMPTS + 10)
        .for_each(|number| assert_eq!(accepted.accept(&format!("a.1.{number}")), Ok(())));
    assert_eq!(
        (accepted.table.len(), accepted.order.len()),
        (MAX_ATTEMPTS, MAX_ATTEMPTS)
    );
    assert!(
        accepted
            .accept(&format!("a.1.{}", MAX_ATTEMPTS + 9))
            .is_err()
    );
}
