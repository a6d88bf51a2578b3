//! Writing of responses.

use model::{Error, ExecutionStatus};
use salvo::Response;
use salvo::http::{HeaderValue, StatusCode};
use salvo::writing::Json;
use serde::Serialize;
use serde_json::json;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Writes a response with a status and a JSON body.
pub fn write_json<T: Serialize + Sync>(response: &mut Response, status: u16, value: &T) {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.status_code(status);
    response.render(Json(value));
}

/// Writes an error response for a client or a backend: whether the request may have run, the cause,
/// and when to retry (docs/verdicts.md). `attempt_id` is the id of the request, if it has one.
pub fn write_error(response: &mut Response, attempt_id: Option<&str>, error: &Error) {
    let status = match error.execution_status {
        ExecutionStatus::NotRun => "not-run",
        ExecutionStatus::MayHaveRun => "may-have-run",
    };
    let headers = response.headers_mut();
    headers.insert("x-gradeford-verdict", HeaderValue::from_static(status));
    if let Some(delay) = error.retry_after {
        headers.insert(
            "retry-after",
            HeaderValue::from(delay.div_ceil(MICROS_PER_SECOND)),
        );
    }
    let body = json!({
        "verdict": status,
        "cause": error.kind.code(),
        "detail": error.detail,
        "try": attempt_id,
        "retry_after_us": error.retry_after,
    });
    write_json(response, error.kind.http_status(), &body);
}
