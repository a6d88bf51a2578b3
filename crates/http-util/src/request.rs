//! Reading requests.

use model::validation::Fault;
use salvo::Request;
use serde::de::DeserializeOwned;

/// Largest body accepted from a client, a backend or an operator, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The text of a header, if the request has it and it is text.
pub fn header_text(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_string)
}

/// The secret of `Authorization: Bearer …`.
pub fn bearer_token(request: &Request) -> Option<String> {
    header_text(request, "authorization")
        .and_then(|text| text.strip_prefix("Bearer ").map(str::to_string))
}

/// The complete body; `None` if it is over [`MAX_BODY_BYTES`] or broke off.
pub async fn read_body(request: &mut Request) -> Option<Vec<u8>> {
    let bytes = request.payload_with_max_size(MAX_BODY_BYTES).await.ok()?;
    Some(bytes.to_vec())
}

/// The body as JSON of a checked type.
///
/// # Errors
///
/// A fault with the path `body` that names what does not fit.
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
