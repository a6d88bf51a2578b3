//! Every trouble says whether the request may have run (design 5.4).

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Verdict {
    /// Certain: no back end was, or ever will be, given this try.
    NotRun,
    /// Bytes may have left for a back end.
    MayHaveRun,
}

macro_rules! causes {
    ($($name:ident = $code:literal, $verdict:ident, $status:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Cause { $($name),* }

        impl Cause {
            pub const ALL: &[Cause] = &[$(Cause::$name),*];
            pub fn code(self) -> &'static str { match self { $(Cause::$name => $code),* } }
            pub fn verdict(self) -> Verdict { match self { $(Cause::$name => Verdict::$verdict),* } }
            pub fn status(self) -> u16 { match self { $(Cause::$name => $status),* } }
        }
    };
}

// The table with the reasons is `docs/verdicts.md`; a test keeps both alike.
causes! {
    UnknownSender = "unknown_sender", MayHaveRun, 401;
    BadRequest = "bad_request", NotRun, 400;
    NoLane = "no_lane", NotRun, 403;
    NotFresh = "not_fresh", NotRun, 503;
    NoBackEnd = "no_back_end", NotRun, 503;
    Unreachable = "unreachable", NotRun, 503;
    Overloaded = "overloaded", NotRun, 429;
    PassedOver = "passed_over", NotRun, 503;
    KeyCrowded = "key_crowded", NotRun, 429;
    KeyUnheld = "key_unheld", NotRun, 503;
    TooLate = "too_late", NotRun, 504;
    Leaving = "leaving", NotRun, 503;
    Draining = "draining", NotRun, 503;
    WrongIncarnation = "wrong_incarnation", NotRun, 503;
    Refused = "refused", NotRun, 503;
    StaleFence = "stale_fence", NotRun, 503;
    TooLarge = "too_large", NotRun, 413;
    DuplicateTry = "duplicate_try", MayHaveRun, 409;
    EarlierLife = "earlier_life", MayHaveRun, 409;
    MateLost = "mate_lost", MayHaveRun, 502;
    BackEndLost = "back_end_lost", MayHaveRun, 502;
    ConnForgotten = "conn_forgotten", MayHaveRun, 502;
    BadSeal = "bad_seal", MayHaveRun, 502;
    ReplyTooLarge = "reply_too_large", MayHaveRun, 502;
    RanOutOfTime = "ran_out_of_time", MayHaveRun, 504;
}

/// When to come back, where nothing better is known.
const ASK_AGAIN: crate::Micros = 500_000;

impl Cause {
    /// Refused for the moment: every such answer says when to come back.
    pub fn worth_asking_again(self) -> bool {
        matches!(self.status(), 429 | 503)
    }
}

#[derive(Clone, Debug, PartialEq, thiserror::Error, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
#[error("{verdict:?}: {} ({detail})", cause.code())]
pub struct Trouble {
    pub verdict: Verdict,
    pub cause: Cause,
    pub detail: String,
    /// When it is worth asking again, if that can be said.
    pub retry_after: Option<crate::Micros>,
}

impl Trouble {
    pub fn new(cause: Cause, detail: impl Into<String>) -> Self {
        Trouble { verdict: cause.verdict(), cause, detail: detail.into(), retry_after: cause.worth_asking_again().then_some(ASK_AGAIN) }
    }

    pub fn later(self, wait: crate::Micros) -> Self {
        Trouble { retry_after: Some(wait), ..self }
    }
}
