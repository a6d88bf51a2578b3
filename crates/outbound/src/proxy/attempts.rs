//! What became of a request's attempts, and whether there may be another. Pure.

use model::{Error, ErrorKind, ExecutionStatus};

/// So many ejected backends may pass a request over; the next has to take it. However many are
/// ejected, a request goes past few of them (design 13.8).
const MAX_PASSED_OVER: u8 = 2;

/// What allows or forbids a further attempt.
pub(super) struct RetryPolicy {
    /// Whether the request may run more than once without harm.
    pub(super) idempotent: bool,
    /// Whether only the holder of a shard key can run it.
    pub(super) keyed: bool,
    /// The most attempts that may reach a backend.
    pub(super) max_attempts: u8,
}

/// What follows a failed attempt.
#[derive(Debug)]
pub(super) enum NextStep {
    /// No further attempt: the client is answered with this error.
    Answer(Error),
    /// Another attempt, free of charge: this one reached no backend.
    Retry,
    /// Another attempt if the retry budget grants it, else the client is answered with this error.
    RetryFromBudget(Error),
}

/// The failed attempts of one request.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// The backends that failed since the last pause between selections.
    passed_over: Vec<String>,
    /// Attempts that reached a backend, which counts though it ran nothing.
    reached_backends: u8,
    /// Attempts that an ejected backend passed over.
    ejection_refusals: u8,
    /// Whether any attempt may have run.
    may_have_run: bool,
}

impl AttemptHistory {
    /// The backends that are not to be selected again for now.
    pub(super) fn passed_over(&self) -> &[String] {
        &self.passed_over
    }

    /// Allows all backends again, after a selection that found none.
    pub(super) fn forget_passed_over(&mut self) {
        self.passed_over.clear();
    }

    /// Whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the next backend has to take the request though it is ejected.
    pub(super) fn must_be_taken(&self) -> bool {
        self.ejection_refusals >= MAX_PASSED_OVER
    }

    /// Records that `backend` failed with `error`, and says what follows.
    pub(super) fn classify_failure(
        &mut self,
        backend: String,
        error: Error,
        policy: &RetryPolicy,
    ) -> NextStep {
        self.passed_over.push(backend);
        self.ejection_refusals += (error.kind == ErrorKind::BackendEjected) as u8;
        let certainly_not_run = error.execution_status == ExecutionStatus::NotRun;
        self.may_have_run |= !certainly_not_run;
        let may_run_again = certainly_not_run || policy.idempotent;
        if !may_run_again || !is_retryable(&error, policy.keyed) {
            return NextStep::Answer(preserve_execution_status(error, self.may_have_run));
        }
        let reached_backend = !certainly_not_run || error.kind == ErrorKind::Refused;
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

/// Once an attempt may have run, no later error takes that back (docs/verdicts.md).
pub(super) fn preserve_execution_status(error: Error, may_have_run: bool) -> Error {
    if !may_have_run || error.execution_status == ExecutionStatus::MayHaveRun {
        return error;
    }
    let detail = format!(
        "an earlier attempt may have run; then: {}",
        error.kind.code()
    );
    Error::new(ErrorKind::BackendLost, detail)
}

/// Whether another backend, or the same a moment later, may do without this error. With a shard key
/// there is no other backend to leave a full or refusing one for.
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
