//! Every trouble says whether the request may have run (design 5.4).

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
    /// Certain: no back end was, or ever will be, given this try.
    NotRun,
    /// Bytes may have left for a back end.
    MayHaveRun,
}

macro_rules! causes {
    ($($name:ident = $code:literal, $verdict:ident, $status:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind { $(#[serde(rename = $code)] $name),* }

        impl ErrorKind {
            pub const ALL: &[ErrorKind] = &[$(ErrorKind::$name),*];
            pub fn code(self) -> &'static str { match self { $(ErrorKind::$name => $code),* } }
            pub fn execution_status(self) -> ExecutionStatus { match self { $(ErrorKind::$name => ExecutionStatus::$verdict),* } }
            pub fn http_status(self) -> u16 { match self { $(ErrorKind::$name => $status),* } }
        }
    };
}

// The table with the reasons is `docs/verdicts.md`; a test keeps both alike.
causes! {
    UnknownClient = "unknown_sender", MayHaveRun, 401;
    BadRequest = "bad_request", NotRun, 400;
    NoRoute = "no_lane", NotRun, 403;
    StaleState = "not_fresh", NotRun, 503;
    NoBackend = "no_back_end", NotRun, 503;
    Unreachable = "unreachable", NotRun, 503;
    Overloaded = "overloaded", NotRun, 429;
    PassedOver = "passed_over", NotRun, 503;
    KeyOverloaded = "key_crowded", NotRun, 429;
    KeyWithoutHolder = "key_unheld", NotRun, 503;
    ExpiredBeforeRun = "too_late", NotRun, 504;
    ShuttingDown = "leaving", NotRun, 503;
    Draining = "draining", NotRun, 503;
    WrongIncarnation = "wrong_incarnation", NotRun, 503;
    Refused = "refused", NotRun, 503;
    StaleFencingToken = "stale_fence", NotRun, 503;
    TooLarge = "too_large", NotRun, 413;
    DuplicateAttempt = "duplicate_try", MayHaveRun, 409;
    EarlierIncarnation = "earlier_life", MayHaveRun, 409;
    PeerLost = "mate_lost", MayHaveRun, 502;
    BackendLost = "back_end_lost", MayHaveRun, 502;
    ConnectionForgotten = "conn_forgotten", MayHaveRun, 502;
    BadSeal = "bad_seal", MayHaveRun, 502;
    ResponseTooLarge = "reply_too_large", MayHaveRun, 502;
    TimedOut = "ran_out_of_time", MayHaveRun, 504;
}

/// When to come back, where nothing better is known.
const DEFAULT_RETRY_AFTER: crate::Microseconds = 500_000;

impl ErrorKind {
    /// Refused for the moment: every such answer says when to come back.
    pub fn may_retry_later(self) -> bool {
        matches!(self.http_status(), 429 | 503)
    }
}

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
    #[serde(rename = "verdict")]
    pub execution_status: ExecutionStatus,
    #[serde(rename = "cause")]
    pub kind: ErrorKind,
    pub detail: String,
    /// When it is worth asking again, if that can be said.
    pub retry_after: Option<crate::Microseconds>,
}

impl Error {
    pub fn new(cause: ErrorKind, detail: impl Into<String>) -> Self {
        Error {
            execution_status: cause.execution_status(),
            kind: cause,
            detail: detail.into(),
            retry_after: cause.may_retry_later().then_some(DEFAULT_RETRY_AFTER),
        }
    }

    pub fn with_retry_after(self, wait: crate::Microseconds) -> Self {
        Error {
            retry_after: Some(wait),
            ..self
        }
    }
}
