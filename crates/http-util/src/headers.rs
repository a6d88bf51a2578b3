//! Names of the HTTP headers that gradeford uses; a site may choose its own names (design 13.1).

/// Names of the headers that gradeford adds to requests and responses, in lower case.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderNames {
    /// Id of a request, which is the same in every attempt and is echoed in every response.
    pub attempt_id: &'static str,
    /// Time until the client's deadline, in milliseconds.
    pub time_left_ms: &'static str,
    /// Marks a response as made by the backend itself; a response without this header is not
    /// forwarded as the backend's response.
    pub seal: &'static str,
    /// The only backend that may run the request.
    pub target_backend: &'static str,
    /// States that the backend has not run the request.
    pub not_run: &'static str,
    /// Service of the machine that sent the request.
    pub caller: &'static str,
    /// Key that selects the backend of a sharded service.
    pub shard_key: &'static str,
}

/// Header names that gradeford uses unless the site has its own.
pub const DEFAULT_HEADER_NAMES: HeaderNames = HeaderNames {
    attempt_id: "x-gradeford-try",
    time_left_ms: "x-gradeford-wait-ms",
    seal: "x-gradeford-seal",
    target_backend: "x-gradeford-back-end",
    not_run: "x-gradeford-not-run",
    caller: "x-gradeford-sender",
    shard_key: "x-gradeford-key",
};

/// Returns whether a header, given by its name in lower case, applies to a single connection and
/// must not be forwarded. `content-length` is included because each hop sets it again.
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
