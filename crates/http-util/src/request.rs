//! Reading of requests.

use model::validation::Fault;
use salvo::Request;
use serde::de::DeserializeOwned;

/// Maximum size of a request body from a client, a backend or an operator, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Returns the value of a header if the request has it and it is valid text.
pub fn header_text(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_string)
}

/// Returns the token of the `Authorization: Bearer` header.
pub fn bearer_token(request: &Request) -> Option<String> {
    header_text(request, "authorization")
        .and_then(|text| text.strip_prefix("Bearer ").map(str::to_string))
}

/// Returns the complete body, or `None` if it exceeds [`MAX_BODY_BYTES`] or is incomplete.
pub async fn read_body(request: &mut Request) -> Option<Vec<u8>> {
    let bytes = request.payload_with_max_size(MAX_BODY_BYTES).await.ok()?;
    Some(bytes.to_vec())
}

/// Parses the body as JSON.
///
/// # Errors
///
/// Returns a fault with the path `body` that describes the first error.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Fault> {
    let fault = |message: String| Fault {
        path: "body".into(),
        message,
    };
    let bytes = read_body(request)
        .await
        .ok_or_else(|| fault(format!("is over {MAX_BODY_BYTES} bytes or broke off")))?;
    serde_json::from_slice(&bytes).map_err(|error| fault(error.to_string()))
}
