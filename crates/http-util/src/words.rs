//! The headers by which requests are known, under whatever names a site gives them (design 13.1).

/// Lower-case header names.
#[derive(Clone, Debug, PartialEq)]
pub struct Words {
    /// A try's own identity, echoed in every answer.
    pub try_id: &'static str,
    /// What is left of the wait, in milliseconds.
    pub left_ms: &'static str,
    /// Only answers that a back end has sealed are its own.
    pub seal: &'static str,
    /// The one back end that may run it.
    pub target: &'static str,
    /// Set where a back end has not run the request.
    pub not_run: &'static str,
    /// The service of the machine where the request began.
    pub caller: &'static str,
    pub key: &'static str,
}

pub const OWN: Words = Words {
    try_id: "x-gradeford-try",
    left_ms: "x-gradeford-wait-ms",
    seal: "x-gradeford-seal",
    target: "x-gradeford-back-end",
    not_run: "x-gradeford-not-run",
    caller: "x-gradeford-sender",
    key: "x-gradeford-key",
};

/// Headers that speak of one conn only, and the length, which is said anew.
pub fn of_one_conn(name: &str) -> bool {
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
