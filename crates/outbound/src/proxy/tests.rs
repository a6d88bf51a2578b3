//! Each phase of a request by itself.

use std::future;

use model::{Error, ErrorKind, ExecutionStatus};

use super::attempts::{AttemptHistory, NextStep, RetryPolicy, preserve_execution_status};
use super::within_deadline;

const IDEMPOTENT: RetryPolicy = RetryPolicy {
    idempotent: true,
    keyed: false,
    max_attempts: 3,
};
const ONCE_ONLY: RetryPolicy = RetryPolicy {
    idempotent: false,
    ..IDEMPOTENT
};

fn classify(history: &mut AttemptHistory, kind: ErrorKind, policy: &RetryPolicy) -> NextStep {
    history.classify_failure("backend".into(), Error::new(kind, ""), policy)
}

#[test]
fn what_may_have_run_is_never_said_not_to_have_run() {
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
async fn a_suspended_peer_is_waited_for_no_longer_than_the_client_waits() {
    let (outcome, _) = within_deadline(0, future::pending()).await;
    let error = outcome.expect_err("nobody answers");
    assert_eq!(
        (error.kind, error.execution_status),
        (ErrorKind::TimedOut, ExecutionStatus::MayHaveRun)
    );
}

#[test]
fn a_request_that_must_not_run_twice_is_retried_only_after_a_certain_refusal() {
    let mut history = AttemptHistory::default();
    assert!(matches!(
        classify(&mut history, ErrorKind::Unreachable, &ONCE_ONLY),
        NextStep::Retry
    ));
    assert!(matches!(
        classify(&mut history, ErrorKind::Refused, &ONCE_ONLY),
        NextStep::RetryFromBudget(_)
    ));
    assert!(matches!(
        classify(&mut history, ErrorKind::BackendLost, &ONCE_ONLY),
        NextStep::Answer(_)
    ));
}

#[test]
fn retries_end_with_the_most_attempts_that_may_reach_a_backend() {
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
fn a_full_backend_is_left_for_another_only_without_a_shard_key() {
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
fn after_two_ejected_backends_the_third_has_to_take_the_request() {
    let mut history = AttemptHistory::default();
    for must_be_taken in [false, true] {
        assert!(matches!(
            classify(&mut history, ErrorKind::BackendEjected, &ONCE_ONLY),
            NextStep::Retry
        ));
        assert_eq!(history.must_be_taken(), must_be_taken);
    }
    assert_eq!(history.passed_over().len(), 2);
}
