//! Results of a request's attempts, and the decision on a further attempt. This module does no I/O.

use model::{Error, ErrorKind, ExecutionStatus};

/// Maximum number of ejected backends that may refuse a request; the next one has to run it. This
/// bounds the delay of a request while many backends are ejected (design 13.8).
const MAX_EJECTION_REFUSALS: u8 = 2;

/// Conditions for a further attempt.
pub(super) struct RetryPolicy {
    /// Whether the request is idempotent, so that it may run more than once.
    pub(super) idempotent: bool,
    /// Whether only the holder of a shard key can run the request.
    pub(super) keyed: bool,
    /// The maximum number of attempts that may reach a backend.
    pub(super) max_attempts: u8,
}

/// The step that follows a failed attempt.
#[derive(Debug)]
pub(super) enum NextStep {
    /// Make no further attempt, and answer the client with this error.
    Answer(Error),
    /// Make another attempt without charging the retry budget, as this one reached no backend.
    Retry,
    /// Make another attempt if the retry budget grants it, otherwise answer the client with this
    /// error.
    RetryFromBudget(Error),
}

/// The failed attempts of one request.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// The backends that failed since the last pause between selections, and are not selected
    /// again.
    excluded_backends: Vec<String>,
    /// Number of attempts that reached a backend, including those that the backend refused.
    reached_backends: u8,
    /// Number of attempts that were refused because the backend was ejected.
    ejection_refusals: u8,
    /// Whether any attempt may have run.
    may_have_run: bool,
}

impl AttemptHistory {
    /// Returns the backends that are currently excluded from selection.
    pub(super) fn excluded_backends(&self) -> &[String] {
        &self.excluded_backends
    }

    /// Makes all backends eligible again, after a selection that found none.
    pub(super) fn clear_excluded_backends(&mut self) {
        self.excluded_backends.clear();
    }

    /// Returns whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether the next backend has to run the request even if it is ejected.
    pub(super) fn must_ignore_ejection(&self) -> bool {
        self.ejection_refusals >= MAX_EJECTION_REFUSALS
    }

    /// Records that `backend` failed with `error`, and returns the next step.
    pub(super) fn classify_failure(
        &mut self,
        backend: String,
        error: Error,
        policy: &RetryPolicy,
    ) -> NextStep {
        self.excluded_backends.push(backend);
        self.ejection_refusals += (error.kind == ErrorKind::BackendEjected) as u8;
        let did_not_run = error.execution_status == ExecutionStatus::NotRun;
        self.may_have_run |= !did_not_run;
        let may_run_again = did_not_run || policy.idempotent;
        if !may_run_again || !is_retryable(&error, policy.keyed) {
            return NextStep::Answer(preserve_execution_status(error, self.may_have_run));
        }
        let reached_backend = !did_not_run || error.kind == ErrorKind::Refused;
        if !reached_backend {
            return NextStep::Retry;
        }
        self.reached_backends += 1;
        if self.reached_backends >= policy.max_attempts {
            return NextStep::Answer(preserve_execution_status(error, self.may_have_run));
        }
        NextStep::RetryFromBudget(error)
    }
}

/// Ensures that an error does not claim that the request did not run once an earlier attempt may
/// have run (docs/verdicts.md).
pub(super) fn preserve_execution_status(error: Error, may_have_run: bool) -> Error {
    if !may_have_run || error.execution_status == ExecutionStatus::MayHaveRun {
        return error;
    }
    let detail = format!(
        "an earlier attempt may have run; last error: {}",
        error.kind.code()
    );
    Error::new(ErrorKind::BackendLost, detail)
}

/// Returns whether another attempt may succeed, on another backend or later on the same one. For a
/// request with a shard key there is no alternative to a backend that is overloaded or refuses.
pub(super) fn is_retryable(error: &Error, keyed: bool) -> bool {
    match error.kind {
        ErrorKind::BackendEjected
        | ErrorKind::Unreachable
        | ErrorKind::PeerLost
        | ErrorKind::BackendLost
        | ErrorKind::ReusedConnectionLost
        | ErrorKind::BadSeal
        | ErrorKind::ShuttingDown
        | ErrorKind::WrongIncarnation
        | ErrorKind::Draining
        | ErrorKind::KeyWithoutHolder => true,
        ErrorKind::Overloaded | ErrorKind::Refused => !keyed,
        _ => false,
    }
}
