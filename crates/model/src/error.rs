//! Why a request was not answered by a back end, and whether it may have run.
//!
//! Every error says for certain that the request did not run, or that it may have: clients decide
//! by it whether to send the request again (design 5.4). `docs/verdicts.md` gives the reason for
//! each kind.

use std::fmt::Display;

use crate::Microseconds;

/// Whether a request may have reached a back end.
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
    /// Certain: no back end was given this attempt, nor ever will be.
    NotRun,
    /// Bytes may have left for a back end.
    MayHaveRun,
}

/// Defines [`ErrorKind`] from one table: variant, outside name, execution status, HTTP status.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $execution:ident, $http_status:literal;)*) => {
        /// What went wrong with a request.
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
            /// Every kind, in the order of the page.
            pub const ALL: &[ErrorKind] = &[$(ErrorKind::$name),*];

            /// The name that clients and operators see.
            pub fn code(self) -> &'static str {
                match self { $(ErrorKind::$name => $code),* }
            }

            /// Whether a request that failed so may have run.
            pub fn execution_status(self) -> ExecutionStatus {
                match self { $(ErrorKind::$name => ExecutionStatus::$execution),* }
            }

            /// The HTTP status of the answer.
            pub fn http_status(self) -> u16 {
                match self { $(ErrorKind::$name => $http_status),* }
            }
        }
    };
}

// The table with the reasons is `docs/verdicts.md`; a test keeps both alike.
error_kinds! {
    /// No live registration has the client's secret.
    UnknownClient = "unknown_sender", MayHaveRun, 401;
    /// The request is malformed.
    BadRequest = "bad_request", NotRun, 400;
    /// No route, or no standing order, covers the request.
    NoRoute = "no_lane", NotRun, 403;
    /// The node has no proof that its state is current.
    StaleState = "not_fresh", NotRun, 503;
    /// No back end could be selected.
    NoBackend = "no_back_end", NotRun, 503;
    /// No connection to the back end or its node was made.
    Unreachable = "unreachable", NotRun, 503;
    /// The queue of the far node is full, or a more important request took the place.
    Overloaded = "overloaded", NotRun, 429;
    /// The back end's own node has ejected it for its failures.
    BackendEjected = "passed_over", NotRun, 503;
    /// The key has filled its share of the queue.
    KeyOverloaded = "key_crowded", NotRun, 429;
    /// Nobody holds the key, or an earlier holder may still serve it.
    KeyWithoutHolder = "key_unheld", NotRun, 503;
    /// The deadline passed before the request was forwarded.
    ExpiredBeforeRun = "too_late", NotRun, 504;
    /// The node is shutting down and admits nothing new.
    ShuttingDown = "leaving", NotRun, 503;
    /// The back end drains.
    Draining = "draining", NotRun, 503;
    /// The incarnation of the back end that was asked for is not beside this node.
    WrongIncarnation = "wrong_incarnation", NotRun, 503;
    /// The back end says that it did not run the request.
    Refused = "refused", NotRun, 503;
    /// The key moved between selection and the last check.
    StaleFencingToken = "stale_fence", NotRun, 503;
    /// The body of the request is over the limit or broke off.
    RequestTooLarge = "too_large", NotRun, 413;
    /// An attempt of this identity was taken before.
    DuplicateAttempt = "duplicate_try", MayHaveRun, 409;
    /// The attempt was named under an earlier registration of the client.
    EarlierIncarnation = "earlier_life", MayHaveRun, 409;
    /// The connection to the far node broke after the attempt may have left.
    PeerLost = "mate_lost", MayHaveRun, 502;
    /// The connection to the back end broke after the request may have left.
    BackendLost = "back_end_lost", MayHaveRun, 502;
    /// A kept connection of the back end broke before an answer began.
    ReusedConnectionLost = "conn_forgotten", MayHaveRun, 502;
    /// The answer is not the back end's whole, sealed answer to this attempt.
    BadSeal = "bad_seal", MayHaveRun, 502;
    /// The answer is over the limit.
    ResponseTooLarge = "reply_too_large", MayHaveRun, 502;
    /// The request was forwarded and not answered before its deadline.
    TimedOut = "ran_out_of_time", MayHaveRun, 504;
}

/// When to come back, where nothing better is known.
const DEFAULT_RETRY_AFTER: Microseconds = 500_000;

impl ErrorKind {
    /// Whether the request is rejected for the moment only (429, 503): every such answer says when
    /// to come back.
    pub fn may_retry_later(self) -> bool {
        matches!(self.http_status(), 429 | 503)
    }
}

/// Why a request failed.
///
/// It goes over the wire between nodes and into JSON, so its source is kept as text, in `detail`
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
    /// Whether the request may have run. An earlier attempt that may have run outweighs the kind.
    #[serde(rename = "verdict")]
    pub execution_status: ExecutionStatus,
    /// What went wrong.
    #[serde(rename = "cause")]
    pub kind: ErrorKind,
    /// More for people who read it.
    pub detail: String,
    /// After how many microseconds it is worth asking again, if that can be said.
    pub retry_after: Option<Microseconds>,
}

impl Error {
    /// An error with the execution status of its kind; if the kind is for the moment only, to be
    /// retried after half a second.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Error {
            execution_status: kind.execution_status(),
            kind,
            detail: detail.into(),
            retry_after: kind.may_retry_later().then_some(DEFAULT_RETRY_AFTER),
        }
    }

    /// An error with the text of what caused it as its detail.
    pub fn caused_by(kind: ErrorKind, source: &impl Display) -> Self {
        Error::new(kind, source.to_string())
    }

    /// The error with the time to come back, in microseconds from now.
    pub fn with_retry_after(self, wait: Microseconds) -> Self {
        Error {
            retry_after: Some(wait),
            ..self
        }
    }

    /// Whether a further attempt can do no harm: this one did not run, or the request is
    /// idempotent.
    pub fn allows_retry(&self, idempotent: bool) -> bool {
        idempotent || self.execution_status == ExecutionStatus::NotRun
    }
}
