//! Forwards attempts to backends over HTTP.
//!
//! Each request uses a new connection, so that no request is ever sent twice or to another process
//! that took over the address (design 5.3).

use std::time::Duration;

use http_util::MAX_BODY_BYTES;
use legacy_proxy::{BackendConnector, ForwardFuture};
use model::{Error, ErrorKind, Microseconds};
use reqwest::{Client, Method, Request, Response, redirect, retry};
use transport::{AttemptRequest, AttemptResponse, Headers};

use crate::seal::seal;
use crate::{
    ATTEMPT_ID_HEADER, ATTEMPT_ORDINAL_HEADER, CLIENT_HEADER, FENCING_TOKEN_HEADER,
    INCARNATION_HEADER, SEAL_HEADER, SERVICE_HEADER, SHARD_KEY_HEADER, TIME_LEFT_HEADER,
};

/// Timeout for connecting to a backend on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Forwards attempts to backends.
pub struct BackendClient {
    http: Client,
}

impl BackendClient {
    /// Creates a client that keeps no connections, follows no redirects and makes no retries.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new() -> Result<BackendClient, reqwest::Error> {
        let http = Client::builder()
            .pool_max_idle_per_host(0)
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(BackendClient { http })
    }

    /// Sends one attempt and checks the seal of the response. Once sending begins, only a failed
    /// connection attempt is certain not to have run the request.
    async fn send_attempt(
        &self,
        address: &str,
        attempt: &AttemptRequest,
        time_left: Microseconds,
    ) -> Result<AttemptResponse, Error> {
        let request = self.http_request(address, attempt, time_left)?;
        let response = self.http.execute(request).await.map_err(|error| {
            if error.is_connect() {
                Error::new(ErrorKind::Unreachable, "the backend accepts no connection")
            } else {
                Error::caused_by(ErrorKind::BackendLost, &error)
            }
        })?;
        let status = response.status().as_u16();
        let seal = received_seal(&response);
        let headers = client_headers(&response);
        let body = read_whole_body(response).await?;
        if seal != self::seal(&attempt.attempt_id, status, &body) {
            return Err(Error::new(
                ErrorKind::BadSeal,
                "the seal of the response does not match this attempt",
            ));
        }
        Ok(AttemptResponse {
            status,
            headers,
            body,
            seal,
        })
    }

    fn http_request(
        &self,
        address: &str,
        attempt: &AttemptRequest,
        time_left: Microseconds,
    ) -> Result<Request, Error> {
        let method = Method::from_bytes(attempt.method.as_bytes())
            .map_err(|_| Error::new(ErrorKind::BadRequest, "the HTTP method is invalid"))?;
        let url = format!("http://{address}{}{}", attempt.path, attempt.query);
        let mut request = self.http.request(method, url);
        for (name, value) in &attempt.headers {
            request = request.header(name.as_str(), value.as_slice());
        }
        request = request
            .header(ATTEMPT_ID_HEADER, &attempt.attempt_id)
            .header(ATTEMPT_ORDINAL_HEADER, attempt.ordinal)
            .header(TIME_LEFT_HEADER, time_left)
            .header(CLIENT_HEADER, &attempt.client_service)
            .header(SERVICE_HEADER, &attempt.service)
            .header(INCARNATION_HEADER, attempt.incarnation);
        if let Some(shard_key) = &attempt.shard_key {
            request = request.header(SHARD_KEY_HEADER, shard_key);
        }
        if let Some(fencing_token) = attempt.fencing_token {
            request = request.header(FENCING_TOKEN_HEADER, fencing_token);
        }
        request
            .body(attempt.body.clone())
            .build()
            .map_err(|error| Error::caused_by(ErrorKind::BadRequest, &error))
    }
}

impl BackendConnector for BackendClient {
    fn forward<'a>(
        &'a self,
        address: &'a str,
        attempt: &'a AttemptRequest,
        time_left: Microseconds,
    ) -> ForwardFuture<'a> {
        Box::pin(self.send_attempt(address, attempt, time_left))
    }
}

fn received_seal(response: &Response) -> String {
    let seal = response
        .headers()
        .get(SEAL_HEADER)
        .and_then(|seal| seal.to_str().ok());
    seal.unwrap_or_default().to_string()
}

/// Returns the response headers that are passed to the client.
fn client_headers(response: &Response) -> Headers {
    response
        .headers()
        .iter()
        .filter(|(name, _)| *name == "content-type" || name.as_str().starts_with("x-app-"))
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

async fn read_whole_body(mut response: Response) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) if body.len() + chunk.len() > MAX_BODY_BYTES => {
                let detail = format!("the response body is over {MAX_BODY_BYTES} bytes");
                return Err(Error::new(ErrorKind::ResponseTooLarge, detail));
            }
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Ok(body),
            Err(error) => return Err(Error::caused_by(ErrorKind::BackendLost, &error)),
        }
    }
}
