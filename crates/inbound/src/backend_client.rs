//! HTTP into the backend, and what may be said of a request that brought no response (design 13.4).

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

/// The client of the backend beside this node, with its pooled connections.
pub struct BackendClient {
    /// The header names of this site.
    pub header_names: HeaderNames,
    connections: ConnectionPool,
}

/// A connection stays on this machine: one that takes longer has nobody at its other end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The detail of a refusal with 421: it is another backend, or does not hold the key. That says
/// nothing of its health.
pub(crate) const MISDIRECTED: &str = "the backend refused it with 421";
const MISDIRECTED_STATUS: u16 = 421;
/// To clients these statuses say that the request never ran; without the backend's word nobody knows.
const STATUSES_THAT_PROMISE: [u16; 3] = [408, 429, 503];

/// A connection that idled for less than 100 ms is not stale: if it breaks, that is the backend's
/// doing.
const MIN_STALE_IDLE: Microseconds = 100_000;
const MICROSECONDS_PER_MILLISECOND: Microseconds = 1_000;
const MICROSECONDS_PER_SECOND: Microseconds = 1_000_000;

type HttpRequest = hyper::Request<Full<Bytes>>;

/// A connection that is about to be used.
struct Checked {
    sender: HttpSender,
    /// How long it idled; `None` for a new one.
    idled: Option<Microseconds>,
}

impl BackendClient {
    /// A client without connections yet.
    pub fn new(header_names: HeaderNames) -> BackendClient {
        BackendClient {
            header_names,
            connections: ConnectionPool::default(),
        }
    }

    /// Closes all pooled connections: there is another backend now.
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
            .body(Full::new(Bytes::copy_from_slice(&request.body)))
            .map_err(|_| Error::new(ErrorKind::BadRequest, "HTTP cannot carry it to a backend"))
    }

    async fn connect(&self, address: &str) -> Result<HttpSender, Error> {
        let unreachable = |error: io::Error| Error::new(ErrorKind::Unreachable, error.to_string());
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| Error::new(ErrorKind::Unreachable, "no connection in time"))?
            .map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::new(ErrorKind::Unreachable, error.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// A pooled connection, or a new one. A pooled one may be stale without a word, so a request that
    /// must not run twice always gets a new one (design 13.9).
    async fn checked(&self, address: &str, request: &ForwardedRequest) -> Result<Checked, Error> {
        if request.idempotent
            && let Some((idled, sender)) = self.connections.take(model::now())
        {
            return Ok(Checked {
                sender,
                idled: Some(idled),
            });
        }
        Ok(Checked {
            sender: self.connect(address).await?,
            idled: None,
        })
    }

    /// Sends one request and reads its one response; `time_left` is in microseconds. A pooled
    /// connection that closed before a byte was written is no run: the next one is tried.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`] and [`ErrorKind::Refused`] are certain not to have run; with
    /// [`ErrorKind::BackendLost`], [`ErrorKind::BadSeal`] and [`ErrorKind::ReusedConnectionLost`] the
    /// request may have run.
    pub async fn forward(
        &self,
        address: &str,
        request: &ForwardedRequest,
        time_left: Microseconds,
    ) -> Result<ForwardedResponse, Error> {
        let began = model::now();
        loop {
            let Checked { mut sender, idled } = self.checked(address, request).await?;
            let pooled = idled.is_some();
            if sender.ready().await.is_err() && pooled {
                continue;
            }
            let time_left = time_left.saturating_sub(model::now() - began);
            match sender
                .send_request(self.build_request(request, time_left)?)
                .await
            {
                Ok(response) => return self.read_response(request, response, sender).await,
                Err(error) if error.is_canceled() && pooled => continue,
                Err(error) => return Err(self.send_error(&error, idled)),
            }
        }
    }

    /// Why a request that was sent brought no response. Whether it is sent again is for the retry
    /// budget of the outbound side to say, also after a stale connection.
    fn send_error(&self, error: &hyper::Error, idled: Option<Microseconds>) -> Error {
        if error.is_canceled() {
            let detail = "the connection closed before the request";
            return Error::new(ErrorKind::Unreachable, detail);
        }
        match idled.filter(|idled| *idled >= MIN_STALE_IDLE) {
            None => Error::caused_by(ErrorKind::BackendLost, error),
            Some(idled) => {
                self.connections.record_stale(model::now(), idled);
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
        self.keep_connection(&head, sender);
        self.check_promise(&head)?;
        let headers = head.headers.iter().filter(|(name, _)| {
            !is_hop_by_hop(name.as_str()) && name.as_str() != self.header_names.attempt_id
        });
        let headers = headers
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .collect();
        Ok(ForwardedResponse {
            status: head.status.as_u16(),
            headers,
            body: body.to_vec(),
        })
    }

    /// Whether the response is this request's, and sealed if it is a success.
    fn check_seal(&self, request: &ForwardedRequest, head: &Parts) -> Result<(), Error> {
        let names = &self.header_names;
        let sent = request
            .headers
            .iter()
            .find(|(name, _)| name == names.attempt_id);
        let sent = sent.map(|(_, value)| value.as_slice());
        if head
            .headers
            .get(names.attempt_id)
            .map(|value| value.as_bytes())
            != sent
        {
            let detail = "the response belongs to another request";
            return Err(Error::new(ErrorKind::BadSeal, detail));
        }
        let sealed = header_text(head, names.seal).is_some();
        if head.status.is_success() && (!sealed || head.headers.contains_key("content-encoding")) {
            return Err(Error::new(ErrorKind::BadSeal, "a success without a seal"));
        }
        Ok(())
    }

    /// Pools the connection, unless either side closes it.
    fn keep_connection(&self, head: &Parts, sender: HttpSender) {
        let closes =
            header_text(head, "connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if closes || sender.is_closed() {
            return;
        }
        let keep_alive_seconds = header_text(head, "keep-alive").and_then(|text| {
            let timeout = |part: &str| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok();
            text.split(',').find_map(timeout)
        });
        let keep_alive = keep_alive_seconds.map(|seconds| seconds * MICROSECONDS_PER_SECOND);
        self.connections.put_back(model::now(), sender, keep_alive);
    }

    /// Whether the backend's status promises that the request did not run, and its word stands for it.
    fn check_promise(&self, head: &Parts) -> Result<(), Error> {
        let status = head.status.as_u16();
        if status == MISDIRECTED_STATUS {
            return Err(Error::new(ErrorKind::Refused, MISDIRECTED));
        }
        if head.headers.contains_key(self.header_names.not_run) {
            let detail = format!("the backend refused it with {status}");
            return Err(Error::new(ErrorKind::Refused, detail));
        }
        if STATUSES_THAT_PROMISE.contains(&status) {
            let detail = format!("a bare {status}, which says nothing of whether it ran");
            return Err(Error::new(ErrorKind::BackendLost, detail));
        }
        Ok(())
    }
}

fn header_text<'head>(head: &'head Parts, name: &str) -> Option<&'head str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}
