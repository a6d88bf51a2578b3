//! Errors of requests that got no response from a backend, and whether the request may have run.
//!
//! Every error states either that the request certainly did not run or that it may have run, so that
//! clients can decide whether a retry is safe (design 5.4). For each kind of error,
//! `docs/verdicts.md` gives the reason why it states one or the other.

use std::fmt::Display;

use crate::Microseconds;

/// Whether a failed request may have run at a backend.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub enum ExecutionStatus {
    /// No backend has received this attempt, and none will.
    NotRun,
    /// Bytes of the request may have been sent to a backend.
    MayHaveRun,
}

/// Defines [`ErrorKind`] and its methods from one table with the variant, public code, execution
/// status and HTTP status of each kind.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $execution:ident, $http_status:literal;)*) => {
        /// The reason why a request failed.
        #[derive(
            Clone,
            Copy,
            Debug,
            PartialEq,
            Eq,
            serde::Serialize,
            serde::Deserialize,
            rkyv::Archive,
            rkyv::Serialize,
            rkyv::Deserialize,
        )]
        pub enum ErrorKind { $($(#[$doc])* #[serde(rename = $code)] $name),* }

        impl ErrorKind {
            /// All error kinds, in the order of `docs/verdicts.md`.
            pub const ALL: &[ErrorKind] = &[$(ErrorKind::$name),*];

            /// The code that clients and operators see.
            pub fn code(self) -> &'static str {
                match self { $(ErrorKind::$name => $code),* }
            }

            /// Whether a request that failed with this kind may have run.
            pub fn execution_status(self) -> ExecutionStatus {
                match self { $(ErrorKind::$name => ExecutionStatus::$execution),* }
            }

            /// The HTTP status of the response.
            pub fn http_status(self) -> u16 {
                match self { $(ErrorKind::$name => $http_status),* }
            }
        }
    };
}

// `docs/verdicts.md` has the same table with the reasons; a test compares the two.
error_kinds! {
    /// No live registration matches the client's secret.
    UnknownClient = "unknown_sender", MayHaveRun, 401;
    /// The request is malformed.
    BadRequest = "bad_request", NotRun, 400;
    /// No route, or for the older state machine no [`StandingOrder`](crate::StandingOrder), covers
    /// the request.
    NoRoute = "no_lane", NotRun, 403;
    /// The node has no current freshness proof for its state.
    StaleState = "not_fresh", NotRun, 503;
    /// No backend could be selected.
    NoBackend = "no_back_end", NotRun, 503;
    /// No connection to the backend or its node could be established.
    Unreachable = "unreachable", NotRun, 503;
    /// The queue of the remote node is full, or a request of higher importance took the queue slot.
    Overloaded = "overloaded", NotRun, 429;
    /// The backend's own node has ejected the backend because of its failures.
    BackendEjected = "passed_over", NotRun, 503;
    /// The waiting requests with this shard key already fill the part of the queue that one key may
    /// use.
    KeyOverloaded = "key_crowded", NotRun, 429;
    /// No backend holds the shard key, or an earlier holder may still serve it.
    KeyWithoutHolder = "key_unheld", NotRun, 503;
    /// The deadline passed before the request was forwarded.
    ExpiredBeforeRun = "too_late", NotRun, 504;
    /// The node is shutting down and admits no new requests.
    ShuttingDown = "leaving", NotRun, 503;
    /// The backend is draining.
    Draining = "draining", NotRun, 503;
    /// This node does not serve the incarnation of the backend that the request names.
    WrongIncarnation = "wrong_incarnation", NotRun, 503;
    /// The backend reports that it did not run the request.
    Refused = "refused", NotRun, 503;
    /// The shard key moved to another holder after the backend was selected and before its node
    /// admitted the request.
    StaleFencingToken = "stale_fence", NotRun, 503;
    /// The request body exceeds the limit or ended prematurely.
    RequestTooLarge = "too_large", NotRun, 413;
    /// An attempt with this id was already accepted.
    DuplicateAttempt = "duplicate_try", MayHaveRun, 409;
    /// The attempt id was created under an earlier registration of the client.
    EarlierIncarnation = "earlier_life", MayHaveRun, 409;
    /// The connection to the remote node broke after the attempt may have been sent.
    PeerLost = "mate_lost", MayHaveRun, 502;
    /// The connection to the backend broke after the request may have been sent.
    BackendLost = "back_end_lost", MayHaveRun, 502;
    /// A reused keep-alive connection to the backend broke before a response began.
    ReusedConnectionLost = "conn_forgotten", MayHaveRun, 502;
    /// The response is malformed or incomplete, or the seal header does not confirm that the backend
    /// made it for this attempt.
    BadSeal = "bad_seal", MayHaveRun, 502;
    /// The response exceeds the size limit.
    ResponseTooLarge = "reply_too_large", MayHaveRun, 502;
    /// The request was forwarded but got no response before its deadline.
    TimedOut = "ran_out_of_time", MayHaveRun, 504;
}

/// Retry delay of errors for which no better estimate is known, in microseconds.
const DEFAULT_RETRY_AFTER: Microseconds = 500_000;

impl ErrorKind {
    /// Whether the failure is temporary (HTTP status 429 or 503). Every such error carries a retry
    /// delay.
    pub fn may_retry_later(self) -> bool {
        matches!(self.http_status(), 429 | 503)
    }
}

/// The failure of a request.
///
/// Errors are sent between nodes and written as JSON, so the source is kept as text in `detail`
/// (see [`Error::caused_by`]).
#[derive(
    Clone,
    Debug,
    PartialEq,
    thiserror::Error,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[error("{execution_status:?}: {} ({detail})", kind.code())]
pub struct Error {
    /// Whether the request may have run, in this attempt or in an earlier one. It differs from the
    /// status of the kind if only an earlier attempt may have run.
    #[serde(rename = "verdict")]
    pub execution_status: ExecutionStatus,
    /// The reason for the failure.
    #[serde(rename = "cause")]
    pub kind: ErrorKind,
    /// A description for people who read the error.
    pub detail: String,
    /// The delay after which a retry is worthwhile, in microseconds, if known.
    pub retry_after: Option<Microseconds>,
}

impl Error {
    /// Creates an error with the execution status of its kind. Temporary kinds get the default
    /// retry delay of half a second.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Error {
            execution_status: kind.execution_status(),
            kind,
            detail: detail.into(),
            retry_after: kind.may_retry_later().then_some(DEFAULT_RETRY_AFTER),
        }
    }

    /// Creates an error whose detail is the text of its source.
    pub fn caused_by(kind: ErrorKind, source: &impl Display) -> Self {
        Error::new(kind, source.to_string())
    }

    /// Sets the retry delay, in microseconds.
    pub fn with_retry_after(self, delay: Microseconds) -> Self {
        Error {
            retry_after: Some(delay),
            ..self
        }
    }

    /// Whether another attempt is safe: the request did not run, or it is idempotent.
    pub fn allows_retry(&self, idempotent: bool) -> bool {
        idempotent || self.execution_status == ExecutionStatus::NotRun
    }
}
