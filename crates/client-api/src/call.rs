//! Handles a client's call: reads the request, performs it, and writes the response or the error.

use http_util::{MAX_BODY_BYTES, bearer_token, header_text, read_body, write_error};
use legacy_proxy::{OutboundProxy, SlotOwnerHandle, forwarded_attempts};
use model::{Error, ErrorKind, Microseconds};
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::{Request, Response};
use transport::AttemptResponse;

const ATTEMPT_ID_HEADER: &str = "x-gradeford-try";
const TIMEOUT_HEADER: &str = "x-gradeford-wait";
const SHARD_KEY_HEADER: &str = "x-gradeford-key";
const SEAL_HEADER: &str = "x-gradeford-seal";

/// Maximum length of an attempt id, in bytes.
const MAX_ATTEMPT_ID_BYTES: usize = 192;
/// Maximum length of a shard key, in bytes; a longer key is ignored.
const MAX_SHARD_KEY_BYTES: usize = 256;

/// Headers that apply to a single connection or that only gradeford may set, in addition to those
/// with its prefix.
const RESERVED_HEADERS: [&str; 10] = [
    "connection",
    "host",
    "content-length",
    "transfer-encoding",
    "keep-alive",
    "te",
    "trailer",
    "upgrade",
    "authorization",
    "expect",
];

/// Handles `/call/{service}/…`.
pub(crate) struct CallHandler {
    pub(crate) proxy: OutboundProxy,
    pub(crate) slot_owner: SlotOwnerHandle,
}

#[salvo::handler]
impl CallHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let attempt_id = header_text(request, ATTEMPT_ID_HEADER);
        match self.call(request, attempt_id.clone()).await {
            Ok(reply) => write_reply(response, reply, attempt_id.unwrap_or_default()),
            Err(error) => write_error(response, attempt_id.as_deref(), &error),
        }
    }
}

impl CallHandler {
    async fn call(
        &self,
        request: &mut Request,
        attempt_id: Option<String>,
    ) -> Result<AttemptResponse, Error> {
        let secret = bearer_token(request).unwrap_or_default();
        let attempt_id = attempt_id.filter(|id| is_attempt_id(id)).ok_or_else(|| {
            let detail = "the header x-gradeford-try is the registration's try_prefix and a name, at most 192 letters";
            Error::new(ErrorKind::BadRequest, detail)
        })?;
        // The error says that the request may have run: an earlier incarnation of this node may
        // have known the secret and accepted the attempt.
        let client = self.slot_owner.client(&secret).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownClient,
                "no live registration has this secret",
            )
        })?;
        self.proxy.accept(&client, &attempt_id).await?;
        let request = match read_request(request, attempt_id.clone()).await {
            Ok(request) => request,
            Err(error) => {
                self.proxy.record_not_run(&attempt_id, Some(&error)).await;
                return Err(error);
            }
        };
        // A separate task: a request that was forwarded is not cancelled when its client
        // disconnects.
        let proxy = self.proxy.clone();
        let call = tokio::spawn(async move { proxy.call(client, request).await });
        call.await.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::PeerLost,
                "the task of the request ended without a result",
            ))
        })
    }
}

fn is_attempt_id(id: &str) -> bool {
    id.len() <= MAX_ATTEMPT_ID_BYTES && forwarded_attempts::is_attempt_id(id)
}

async fn read_request(
    request: &mut Request,
    attempt_id: String,
) -> Result<legacy_proxy::Request, Error> {
    let timeout = header_text(request, TIMEOUT_HEADER)
        .map(|text| parse_timeout(&text))
        .transpose()?;
    let shard_key = header_text(request, SHARD_KEY_HEADER)
        .filter(|key| !key.is_empty() && key.len() <= MAX_SHARD_KEY_BYTES);
    let service = request.param::<String>("service").unwrap_or_default();
    let path = unambiguous_path(request.uri().path(), &service)?;
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let headers = request
        .headers()
        .iter()
        .filter(|(name, _)| !is_reserved_header(name.as_str()))
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect();
    let method = request.method().as_str().to_string();
    let body = read_body(request).await.ok_or_else(|| {
        let detail = format!("the body is over {MAX_BODY_BYTES} bytes or broke off");
        Error::new(ErrorKind::RequestTooLarge, detail)
    })?;
    Ok(legacy_proxy::Request {
        attempt_id,
        service,
        method,
        path,
        query,
        headers,
        body,
        shard_key,
        timeout,
    })
}

fn parse_timeout(text: &str) -> Result<Microseconds, Error> {
    text.parse().map_err(|_| {
        Error::new(
            ErrorKind::BadRequest,
            "x-gradeford-wait is whole microseconds",
        )
    })
}

fn write_reply(response: &mut Response, reply: AttemptResponse, attempt_id: String) {
    response.status_code(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let own_headers = [(SEAL_HEADER, reply.seal), (ATTEMPT_ID_HEADER, attempt_id)]
        .map(|(name, value)| (name.to_string(), value.into_bytes()));
    for (name, value) in reply.headers.into_iter().chain(own_headers) {
        let name = HeaderName::from_bytes(name.as_bytes());
        // Names and values that are not valid in HTTP are left out.
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            response.headers_mut().insert(name, value);
        }
    }
    response.write_body(reply.body).unwrap_or_default();
}

/// Returns whether a client's header is not forwarded; `name` is in lower case.
fn is_reserved_header(name: &str) -> bool {
    RESERVED_HEADERS.contains(&name)
        || name.starts_with("x-gradeford-")
        || name.starts_with("proxy-")
}

/// Returns the path to request from the backend. The path that is matched with standing orders must
/// be the one that the backend sees, so paths with dot segments, backslashes, doubled or encoded
/// slashes or null bytes are rejected.
fn unambiguous_path(path: &str, service: &str) -> Result<String, Error> {
    let rest = path
        .strip_prefix("/call/")
        .and_then(|rest| rest.strip_prefix(service));
    let rest = rest.unwrap_or_default();
    let lower = rest.to_ascii_lowercase();
    let has_ambiguous_part = ["//", "%2e", "%2f", "%5c", "\\", "%00"]
        .iter()
        .any(|part| lower.contains(part));
    let has_dot_segment = rest.split('/').any(|part| part == "." || part == "..");
    if !rest.starts_with('/') || has_ambiguous_part || has_dot_segment {
        let detail = "the path holds dots, doubled or encoded slashes";
        return Err(Error::new(ErrorKind::BadRequest, detail));
    }
    Ok(rest.to_string())
}

#[cfg(test)]
mod tests;
