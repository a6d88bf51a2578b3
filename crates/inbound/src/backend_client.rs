//! HTTP client of the backend. For a request without a valid response it determines whether the
//! request may have run (design 13.4).

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use http_util::headers::{HeaderNames, is_hop_by_hop};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper_util::rt::TokioIo;
use model::{Error, ErrorKind, Microseconds};
use tokio::net::TcpStream;
use tokio::time;
use transport::{ForwardedRequest, ForwardedResponse};

use crate::connection_pool::{ConnectionPool, HttpSender};

/// HTTP client of the backend beside this node, with a pool of connections.
pub struct BackendClient {
    /// The header names that this site uses.
    pub header_names: HeaderNames,
    connections: ConnectionPool,
}

/// Timeout for connecting to the backend. The connection stays on this machine, so if it takes
/// longer, no process is accepting connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Error detail of a refusal with status 421: the request reached another backend, or one that does
/// not hold the shard key. This is no sign of bad health of the backend.
pub(crate) const MISDIRECTED_DETAIL: &str = "the backend refused the request with status 421";
const MISDIRECTED_STATUS: u16 = 421;
/// Clients rely on these statuses as a guarantee that the request did not run. That is certain only
/// if the backend's response also carries the `not_run` header.
const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];

/// Shortest idle time after which a closed connection counts as stale, in microseconds. If a
/// connection fails after a shorter idle time, the backend is at fault.
const MIN_STALE_IDLE_TIME: Microseconds = 100_000;
const MICROSECONDS_PER_MILLISECOND: Microseconds = 1_000;
const MICROSECONDS_PER_SECOND: Microseconds = 1_000_000;

type HttpRequest = hyper::Request<Full<Bytes>>;

/// A connection that is about to be used for a request.
struct CheckedOutConnection {
    sender: HttpSender,
    /// The idle time of a pooled connection in microseconds; `None` for a new connection.
    idle_time: Option<Microseconds>,
}

impl BackendClient {
    /// Creates a client without connections.
    pub fn new(header_names: HeaderNames) -> BackendClient {
        BackendClient {
            header_names,
            connections: ConnectionPool::default(),
        }
    }

    /// Closes all pooled connections because the backend was replaced.
    pub fn clear_connections(&self) {
        self.connections.clear();
    }

    fn build_request(
        &self,
        request: &ForwardedRequest,
        time_left: Microseconds,
    ) -> Result<HttpRequest, Error> {
        let mut builder = hyper::Request::builder()
            .method(request.method.as_str())
            .uri(request.target.as_str());
        for (name, value) in &request.headers {
            builder = builder.header(name.as_str(), value.as_slice());
        }
        builder
            .header(
                self.header_names.time_left_ms,
                time_left / MICROSECONDS_PER_MILLISECOND,
            )
            .header(self.header_names.target_backend, &request.backend)
            .header(self.header_names.caller, &request.caller)
            .body(Full::new(request.body.clone()))
            .map_err(|_| {
                Error::new(
                    ErrorKind::BadRequest,
                    "the request cannot be encoded as an HTTP request",
                )
            })
    }

    async fn connect(&self, address: &str) -> Result<HttpSender, Error> {
        let unreachable = |error: io::Error| Error::new(ErrorKind::Unreachable, error.to_string());
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| {
                Error::new(
                    ErrorKind::Unreachable,
                    "connecting to the backend timed out",
                )
            })?
            .map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::new(ErrorKind::Unreachable, error.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Returns a pooled or new connection. A pooled connection may be stale without notice, so a
    /// request that is not idempotent always gets a new connection (design 13.9).
    async fn check_out_connection(
        &self,
        address: &str,
        request: &ForwardedRequest,
    ) -> Result<CheckedOutConnection, Error> {
        if request.idempotent
            && let Some((idle_time, sender)) = self.connections.take(model::now())
        {
            return Ok(CheckedOutConnection {
                sender,
                idle_time: Some(idle_time),
            });
        }
        Ok(CheckedOutConnection {
            sender: self.connect(address).await?,
            idle_time: None,
        })
    }

    /// Sends a request and reads its response; `time_left` is in microseconds. If a pooled
    /// connection was closed before a byte was written, the request did not run and the next
    /// connection is used.
    ///
    /// # Errors
    ///
    /// After [`ErrorKind::Unreachable`] and [`ErrorKind::Refused`] the request is certain not to
    /// have run. After [`ErrorKind::BackendLost`], [`ErrorKind::BadSeal`] and
    /// [`ErrorKind::ReusedConnectionLost`] it may have run.
    pub async fn forward(
        &self,
        address: &str,
        request: &ForwardedRequest,
        time_left: Microseconds,
    ) -> Result<ForwardedResponse, Error> {
        let started_at = model::now();
        loop {
            let CheckedOutConnection {
                mut sender,
                idle_time,
            } = self.check_out_connection(address, request).await?;
            let pooled = idle_time.is_some();
            if sender.ready().await.is_err() && pooled {
                continue;
            }
            let time_left = time_left.saturating_sub(model::now() - started_at);
            match sender
                .send_request(self.build_request(request, time_left)?)
                .await
            {
                Ok(response) => return self.read_response(request, response, sender).await,
                Err(error) if error.is_canceled() && pooled => continue,
                Err(error) => return Err(self.send_error(&error, idle_time)),
            }
        }
    }

    /// Classifies the failure of a request that got no response. The request is not sent again
    /// here, even after a stale connection: retries are subject to the retry budget of the outbound
    /// side.
    fn send_error(&self, error: &hyper::Error, idle_time: Option<Microseconds>) -> Error {
        if error.is_canceled() {
            let detail = "the connection was closed before the request was sent";
            return Error::new(ErrorKind::Unreachable, detail);
        }
        match idle_time.filter(|idle_time| *idle_time >= MIN_STALE_IDLE_TIME) {
            None => Error::caused_by(ErrorKind::BackendLost, error),
            Some(idle_time) => {
                self.connections.record_stale(model::now(), idle_time);
                Error::new(ErrorKind::ReusedConnectionLost, error.to_string())
            }
        }
    }

    async fn read_response(
        &self,
        request: &ForwardedRequest,
        response: hyper::Response<Incoming>,
        sender: HttpSender,
    ) -> Result<ForwardedResponse, Error> {
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| Error::caused_by(ErrorKind::BackendLost, &error))?
            .to_bytes();
        self.check_seal(request, &head)?;
        self.return_to_pool(&head, sender);
        self.check_not_run_status(&head)?;
        let headers = head.headers.iter().filter(|(name, _)| {
            !is_hop_by_hop(name.as_str()) && name.as_str() != self.header_names.attempt_id
        });
        let headers = headers
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .collect();
        Ok(ForwardedResponse {
            status: head.status.as_u16(),
            headers,
            body,
        })
    }

    /// Checks that the response belongs to this request, and that a successful response carries the
    /// seal header.
    fn check_seal(&self, request: &ForwardedRequest, head: &Parts) -> Result<(), Error> {
        let names = &self.header_names;
        let sent_attempt_id = request
            .headers
            .iter()
            .find(|(name, _)| name == names.attempt_id);
        let sent_attempt_id = sent_attempt_id.map(|(_, value)| value.as_slice());
        if head
            .headers
            .get(names.attempt_id)
            .map(|value| value.as_bytes())
            != sent_attempt_id
        {
            let detail = "the response belongs to another request";
            return Err(Error::new(ErrorKind::BadSeal, detail));
        }
        let has_seal = header_text(head, names.seal).is_some();
        if head.status.is_success() && (!has_seal || head.headers.contains_key("content-encoding"))
        {
            return Err(Error::new(
                ErrorKind::BadSeal,
                "a successful response without the seal header, or with a content encoding",
            ));
        }
        Ok(())
    }

    /// Returns the connection to the pool, unless either side closes it.
    fn return_to_pool(&self, head: &Parts, sender: HttpSender) {
        let will_close =
            header_text(head, "connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if will_close || sender.is_closed() {
            return;
        }
        let keep_alive_seconds = header_text(head, "keep-alive").and_then(|text| {
            let timeout = |part: &str| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok();
            text.split(',').find_map(timeout)
        });
        let keep_alive = keep_alive_seconds.map(|seconds| seconds * MICROSECONDS_PER_SECOND);
        self.connections.put_back(model::now(), sender, keep_alive);
    }

    /// Checks for a refusal by the backend. The request is certain not to have run if the response
    /// says so by the `not_run` header or by status 421.
    fn check_not_run_status(&self, head: &Parts) -> Result<(), Error> {
        let status = head.status.as_u16();
        if status == MISDIRECTED_STATUS {
            return Err(Error::new(ErrorKind::Refused, MISDIRECTED_DETAIL));
        }
        if head.headers.contains_key(self.header_names.not_run) {
            let detail = format!("the backend refused the request with status {status}");
            return Err(Error::new(ErrorKind::Refused, detail));
        }
        if NOT_RUN_STATUSES.contains(&status) {
            let detail =
                format!("status {status} without the not-run header: the request may have run");
            return Err(Error::new(ErrorKind::BackendLost, detail));
        }
        Ok(())
    }
}

fn header_text<'head>(head: &'head Parts, name: &str) -> Option<&'head str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}
