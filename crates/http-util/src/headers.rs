//! The headers by which requests are known, under whatever names a site gives them (design 13.1).

/// Lower-case header names.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderNames {
    /// A try's own identity, echoed in every answer.
    pub attempt_id: &'static str,
    /// What is left of the wait, in milliseconds.
    pub time_left_ms: &'static str,
    /// Only answers that a back end has sealed are its own.
    pub seal: &'static str,
    /// The one back end that may run it.
    pub target_backend: &'static str,
    /// Set where a back end has not run the request.
    pub not_run: &'static str,
    /// The service of the machine where the request began.
    pub caller: &'static str,
    pub shard_key: &'static str,
}

pub const DEFAULT_HEADER_NAMES: HeaderNames = HeaderNames {
    attempt_id: "x-gradeford-try",
    time_left_ms: "x-gradeford-wait-ms",
    seal: "x-gradeford-seal",
    target_backend: "x-gradeford-back-end",
    not_run: "x-gradeford-not-run",
    caller: "x-gradeford-sender",
    shard_key: "x-gradeford-key",
};

/// Headers that speak of one conn only, and the length, which is said anew.
pub fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "expect"
    )
}
