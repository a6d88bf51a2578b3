//! Clients' HTTP connections. A request is read completely before it is processed, and a response
//! is written as a whole, so that a truncated response cannot look complete (design 13.1).

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use http_util::headers::{HeaderNames, is_hop_by_hop};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use model::{Error, ErrorKind, ExecutionStatus, Microseconds};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use transport::{ForwardedResponse, Headers};

use crate::{InFlightRequests, OutboundProxy, Request};

/// Configuration of a [`Listener`].
#[derive(Clone)]
pub struct ListenerConfig {
    /// The header names that this site uses.
    pub header_names: HeaderNames,
}

/// Serves clients over HTTP/1.1 and passes their requests to an [`OutboundProxy`].
#[derive(Clone)]
pub struct Listener {
    /// The configuration of the listener.
    pub config: ListenerConfig,
    /// The proxy that performs the requests.
    pub proxy: OutboundProxy,
    /// Counts the connections of clients, so that a shutdown waits until each accepted request is
    /// read and its response is written.
    pub connections: InFlightRequests,
}

type HttpResponse = hyper::Response<Full<Bytes>>;

/// Idle timeout of a connection while the site's limits are not known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Size limit of a request head while the site's limits are not known.
const DEFAULT_MAX_HEADER_BYTES: usize = 65_536;
/// The smallest size limit of a request head that the HTTP library accepts.
const MIN_HEADER_BYTES_LIMIT: usize = 8_192;
/// Size limit of a request body while the site's limits are not known.
const DEFAULT_MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Retry delay of errors that specify none, in microseconds.
const DEFAULT_RETRY_AFTER: Microseconds = 500_000;
const MICROSECONDS_PER_MILLISECOND: Microseconds = 1_000;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

impl Listener {
    /// Serves clients until `shutdown` becomes true. After that no connection starts another
    /// request, and each request that was already accepted is answered.
    pub async fn serve(self, listener: TcpListener, shutdown: watch::Receiver<bool>) {
        let mut shutdown_requested = shutdown.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    let open = self.connections.begin();
                    let serve = self.clone().serve_connection(stream, shutdown.clone());
                    tokio::spawn(async move {
                        serve.await;
                        drop(open);
                    });
                },
                _ = shutdown_requested.wait_for(|requested| *requested) => return,
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream, mut shutdown: watch::Receiver<bool>) {
        drop(stream.set_nodelay(true));
        let limits = self.proxy.verified_state.load().snapshot.limits.clone();
        let idle_timeout = limits
            .as_ref()
            .map(|limits| Duration::from_micros(limits.idle_us));
        let max_header_bytes = limits.as_ref().map(|limits| limits.header_bytes as usize);
        let service = service_fn(move |request| {
            let listener = self.clone();
            async move { Ok::<_, Infallible>(listener.handle(request).await) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT))
            .max_buf_size(
                max_header_bytes
                    .unwrap_or(DEFAULT_MAX_HEADER_BYTES)
                    .max(MIN_HEADER_BYTES_LIMIT),
            );
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = shutdown.wait_for(|requested| *requested) => connection.as_mut().graceful_shutdown(),
        }
        drop(connection.await);
    }

    async fn handle(&self, request: hyper::Request<Incoming>) -> HttpResponse {
        let received_at = model::now();
        let (head, body) = request.into_parts();
        let attempt_id = header_text(&head, self.config.header_names.attempt_id)
            .unwrap_or_default()
            .to_string();
        let body = match self.read_body(body).await {
            Ok(body) => body,
            Err(error) => return self.error_response(&attempt_id, error),
        };
        if attempt_id.is_empty() {
            let error = Error::new(
                ErrorKind::BadRequest,
                "the request has no attempt id header",
            );
            return self.error_response(&attempt_id, error);
        }
        let request = self.build_request(&head, body, attempt_id.clone(), received_at);
        match self.proxy.perform(request).await {
            Ok(response) => self.client_response(&attempt_id, response),
            Err(error) => self.error_response(&attempt_id, error),
        }
    }

    /// Reads the complete body, up to the site's limit.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, Error> {
        let max_body_bytes = {
            let state = self.proxy.verified_state.load();
            let limits = state.snapshot.limits.as_ref();
            limits
                .map(|limits| limits.body_bytes as usize)
                .unwrap_or(DEFAULT_MAX_BODY_BYTES)
        };
        match Limited::new(body, max_body_bytes).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Error::new(
                ErrorKind::RequestTooLarge,
                "the request body exceeds the size limit",
            )),
            Err(_) => Err(Error::new(
                ErrorKind::BadRequest,
                "the request body is incomplete",
            )),
        }
    }

    fn build_request(
        &self,
        head: &Parts,
        body: Bytes,
        attempt_id: String,
        received_at: Microseconds,
    ) -> Request {
        let names = &self.config.header_names;
        let host = header_text(head, "host").unwrap_or_default();
        let time_left_ms =
            header_text(head, names.time_left_ms).and_then(|text| text.parse::<u64>().ok());
        Request {
            host: host
                .split(':')
                .next()
                .unwrap_or_default()
                .to_ascii_lowercase(),
            method: head.method.as_str().to_string(),
            target: head
                .uri
                .path_and_query()
                .map(|target| target.as_str().to_string())
                .unwrap_or_default(),
            shard_key: header_text(head, names.shard_key).and_then(|text| text.parse().ok()),
            timeout: time_left_ms.map(|left| left * MICROSECONDS_PER_MILLISECOND),
            headers: self.end_to_end_headers(head),
            attempt_id,
            body,
            received_at,
        }
    }

    /// Returns the client's headers without hop-by-hop headers and without the headers that the
    /// node beside the backend sets.
    fn end_to_end_headers(&self, head: &Parts) -> Headers {
        let names = &self.config.header_names;
        let replaced_headers = [names.time_left_ms, names.target_backend, names.caller];
        let headers = head.headers.iter().filter(|(name, _)| {
            !is_hop_by_hop(name.as_str()) && !replaced_headers.contains(&name.as_str())
        });
        headers
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .collect()
    }

    fn client_response(&self, attempt_id: &str, response: ForwardedResponse) -> HttpResponse {
        // The attempt id is known here, so peers don't send it back.
        let builder = hyper::Response::builder()
            .status(response.status)
            .header(self.config.header_names.attempt_id, attempt_id);
        let builder = response
            .headers
            .iter()
            .fold(builder, |builder, (name, value)| {
                builder.header(name.as_str(), value.as_slice())
            });
        builder.body(Full::new(response.body)).unwrap_or_else(|_| {
            self.error_response(
                "",
                Error::new(
                    ErrorKind::BadSeal,
                    "the response cannot be encoded as an HTTP response",
                ),
            )
        })
    }

    /// Builds the response for an error. Status 503 guarantees that the request did not run and
    /// never will, and specifies a retry delay; after 502 and 504 the request may have run.
    fn error_response(&self, attempt_id: &str, error: Error) -> HttpResponse {
        let status = match (error.execution_status, error.kind) {
            (_, ErrorKind::NoRoute) => 404,
            (_, ErrorKind::BadRequest) => 400,
            (_, ErrorKind::RequestTooLarge) => 413,
            (ExecutionStatus::NotRun, _) => 503,
            (ExecutionStatus::MayHaveRun, ErrorKind::TimedOut) => 504,
            (ExecutionStatus::MayHaveRun, _) => 502,
        };
        slog::debug!(
            self.proxy.logger, "request refused";
            "attempt" => attempt_id, "error" => error.kind.code(), "detail" => &error.detail
        );
        let mut builder = hyper::Response::builder()
            .status(status)
            .header("x-gradeford-cause", error.kind.code());
        if !attempt_id.is_empty() {
            builder = builder.header(self.config.header_names.attempt_id, attempt_id);
        }
        if status == 503 {
            let seconds =
                error.retry_after.unwrap_or(DEFAULT_RETRY_AFTER) as f64 / MICROSECONDS_PER_SECOND;
            builder = builder.header("retry-after", format!("{seconds:.3}"));
        }
        builder.body(Full::default()).unwrap_or_default()
    }
}

fn header_text<'head>(head: &'head Parts, name: &str) -> Option<&'head str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}
