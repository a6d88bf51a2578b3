//! The headers by which requests are known, under whatever names a site gives them (design 13.1).

/// Names of the headers that gradeford adds to requests and responses, in lower case.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderNames {
    /// A request's own name, the same in each attempt and echoed in every response.
    pub attempt_id: &'static str,
    /// What is left of the client's wait, in milliseconds.
    pub time_left_ms: &'static str,
    /// Set on responses that come from the backend itself; others are not passed on as its own.
    pub seal: &'static str,
    /// The one backend that may run the request.
    pub target_backend: &'static str,
    /// Set where a backend has not run the request.
    pub not_run: &'static str,
    /// The service of the machine where the request began.
    pub caller: &'static str,
    /// Key by which a sharded service's backend is selected.
    pub shard_key: &'static str,
}

/// The names that gradeford uses where the site gives no others.
pub const DEFAULT_HEADER_NAMES: HeaderNames = HeaderNames {
    attempt_id: "x-gradeford-try",
    time_left_ms: "x-gradeford-wait-ms",
    seal: "x-gradeford-seal",
    target_backend: "x-gradeford-back-end",
    not_run: "x-gradeford-not-run",
    caller: "x-gradeford-sender",
    shard_key: "x-gradeford-key",
};

/// Whether a header (its name in lower case) is for one connection only and must not be forwarded.
/// The length counts as such, because it is set anew.
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
