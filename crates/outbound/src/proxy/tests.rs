//! Unit tests of the phases of a request.

use std::future;

use model::{Error, ErrorKind, ExecutionStatus};

use super::attempts::{AttemptHistory, NextStep, RetryPolicy, preserve_execution_status};
use super::within_deadline;

const IDEMPOTENT: RetryPolicy = RetryPolicy {
    idempotent: true,
    keyed: false,
    max_attempts: 3,
};
const NOT_IDEMPOTENT: RetryPolicy = RetryPolicy {
    idempotent: false,
    ..IDEMPOTENT
};

fn classify(history: &mut AttemptHistory, kind: ErrorKind, policy: &RetryPolicy) -> NextStep {
    history.classify_failure("backend".into(), Error::new(kind, ""), policy)
}

#[test]
fn an_error_after_an_attempt_that_may_have_run_does_not_claim_that_the_request_did_not_run() {
    let refusal = || Error::new(ErrorKind::Overloaded, "full").with_retry_after(1);
    assert_eq!(
        preserve_execution_status(refusal(), false).execution_status,
        ExecutionStatus::NotRun
    );
    assert_eq!(
        preserve_execution_status(refusal(), true).execution_status,
        ExecutionStatus::MayHaveRun
    );
    assert_eq!(
        preserve_execution_status(Error::new(ErrorKind::TimedOut, ""), true).kind,
        ErrorKind::TimedOut
    );
}

#[tokio::test]
async fn the_wait_for_a_suspended_peer_ends_with_the_deadline() {
    let (outcome, _) = within_deadline(0, future::pending()).await;
    let error = outcome.expect_err("the peer never answers");
    assert_eq!(
        (error.kind, error.execution_status),
        (ErrorKind::TimedOut, ExecutionStatus::MayHaveRun)
    );
}

#[test]
fn a_non_idempotent_request_is_retried_only_after_an_attempt_that_did_not_run() {
    let mut history = AttemptHistory::default();
    assert!(matches!(
        classify(&mut history, ErrorKind::Unreachable, &NOT_IDEMPOTENT),
        NextStep::Retry
    ));
    assert!(matches!(
        classify(&mut history, ErrorKind::Refused, &NOT_IDEMPOTENT),
        NextStep::RetryFromBudget(_)
    ));
    assert!(matches!(
        classify(&mut history, ErrorKind::BackendLost, &NOT_IDEMPOTENT),
        NextStep::Answer(_)
    ));
}

#[test]
fn retries_end_at_the_maximum_number_of_attempts_that_reach_a_backend() {
    let mut history = AttemptHistory::default();
    assert!(matches!(
        classify(&mut history, ErrorKind::BackendLost, &IDEMPOTENT),
        NextStep::RetryFromBudget(_)
    ));
    assert!(matches!(
        classify(&mut history, ErrorKind::Unreachable, &IDEMPOTENT),
        NextStep::Retry
    ));
    assert!(matches!(
        classify(&mut history, ErrorKind::BackendLost, &IDEMPOTENT),
        NextStep::RetryFromBudget(_)
    ));
    let NextStep::Answer(error) = classify(&mut history, ErrorKind::Refused, &IDEMPOTENT) else {
        panic!("the third attempt that reached a backend is the last");
    };
    assert_eq!(
        error.execution_status,
        ExecutionStatus::MayHaveRun,
        "an earlier attempt may have run"
    );
}

#[test]
fn an_overloaded_backend_leads_to_a_retry_only_without_a_shard_key() {
    let keyed = RetryPolicy {
        keyed: true,
        ..IDEMPOTENT
    };
    assert!(matches!(
        classify(
            &mut AttemptHistory::default(),
            ErrorKind::Overloaded,
            &keyed
        ),
        NextStep::Answer(_)
    ));
    assert!(matches!(
        classify(
            &mut AttemptHistory::default(),
            ErrorKind::Overloaded,
            &IDEMPOTENT
        ),
        NextStep::Retry
    ));
}

#[test]
fn after_refusals_by_two_ejected_backends_the_third_has_to_run_the_request() {
    let mut history = AttemptHistory::default();
    for must_ignore_ejection in [false, true] {
        assert!(matches!(
            classify(&mut history, ErrorKind::BackendEjected, &NOT_IDEMPOTENT),
            NextStep::Retry
        ));
        assert_eq!(history.must_ignore_ejection(), must_ignore_ejection);
    }
    assert_eq!(history.excluded_backends().len(), 2);
}
