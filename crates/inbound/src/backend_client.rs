//! Into the back end over HTTP, and what may be said of a request that brought no answer (design 13.4).

use http_body_util::BodyExt as _;
use model::{Error, ErrorKind, Microseconds};
use std::time::Duration;

pub struct BackendClient {
    pub header_names: http_util::headers::HeaderNames,
    connections: crate::connection_pool::ConnectionPool,
}

/// A conn is made on this machine: one that takes longer has nobody at its other end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// It is another back end, or does not hold the key: no sign of how it does.
pub(crate) const MISDIRECTED: &str = "the back end turned it away with 421";

/// A conn that rested less is not forgotten: when it breaks, that is the back end's doing.
const MIN_STALE_REST: Microseconds = 100_000;

type HttpRequest = hyper::Request<http_body_util::Full<bytes::Bytes>>;

impl BackendClient {
    pub fn new(words: http_util::headers::HeaderNames) -> BackendClient {
        BackendClient {
            header_names: words,
            connections: Default::default(),
        }
    }

    pub fn clear_connections(&self) {
        self.connections.clear();
    }

    fn build_request(
        &self,
        cue: &transport::ForwardedRequest,
        left: Microseconds,
    ) -> Option<HttpRequest> {
        let builder = hyper::Request::builder()
            .method(cue.method.as_str())
            .uri(cue.target.as_str());
        let builder = cue.headers.iter().fold(builder, |builder, (name, value)| {
            builder.header(name.as_str(), value.as_slice())
        });
        builder
            .header(self.header_names.time_left_ms, left / 1_000)
            .header(self.header_names.target_backend, &cue.backend)
            .header(self.header_names.caller, &cue.caller)
            .body(http_body_util::Full::new(bytes::Bytes::copy_from_slice(
                &cue.body,
            )))
            .ok()
    }

    async fn connect(&self, address: &str) -> Result<crate::connection_pool::HttpSender, Error> {
        let unreachable = |why: String| Error::new(ErrorKind::Unreachable, why);
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| unreachable("no conn in time".into()))?
            .map_err(|error| unreachable(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable(error.to_string()))?;
        let (sender, conn) =
            hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream))
                .await
                .map_err(|error| unreachable(error.to_string()))?;
        tokio::spawn(conn);
        Ok(sender)
    }

    /// One request, one answer. A conn that closed before a byte was written is no run: the next one is tried.
    pub async fn forward(
        &self,
        address: &str,
        cue: &transport::ForwardedRequest,
        left: Microseconds,
    ) -> Result<transport::ForwardedResponse, Error> {
        let began = model::now();
        loop {
            // One that rested may be forgotten without a word: what must not run twice is never sent on it (design 13.9).
            let kept = cue
                .idempotent
                .then(|| self.connections.take(model::now()))
                .flatten();
            let fresh = kept.is_none();
            let (rested, mut sender) = match kept {
                Some(kept) => kept,
                None => (0, self.connect(address).await?),
            };
            if sender.ready().await.is_err() && !fresh {
                continue;
            }
            let left = left.saturating_sub(model::now() - began);
            let request = self
                .build_request(cue, left)
                .ok_or_else(|| Error::new(ErrorKind::BadRequest, "cannot be said to a back end"))?;
            match sender.send_request(request).await {
                Ok(answer) => return self.read_response(cue, answer, sender).await,
                Err(error) if error.is_canceled() && !fresh => continue,
                Err(error) if error.is_canceled() => {
                    return Err(Error::new(
                        ErrorKind::Unreachable,
                        "the conn closed before the request",
                    ));
                }
                Err(error) if fresh || rested < MIN_STALE_REST => {
                    return Err(Error::caused_by(ErrorKind::BackendLost, &error));
                }
                // Whether it came again is for the budget, so for the near side.
                Err(error) => {
                    self.connections.record_stale(model::now(), rested);
                    return Err(Error::new(
                        ErrorKind::ConnectionForgotten,
                        error.to_string(),
                    ));
                }
            }
        }
    }

    async fn read_response(
        &self,
        cue: &transport::ForwardedRequest,
        answer: hyper::Response<hyper::body::Incoming>,
        sender: crate::connection_pool::HttpSender,
    ) -> Result<transport::ForwardedResponse, Error> {
        let (head, body) = answer.into_parts();
        let said = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let asked = cue
            .headers
            .iter()
            .find(|(name, _)| name == self.header_names.attempt_id)
            .map(|(_, value)| value.as_slice());
        let body = body
            .collect()
            .await
            .map_err(|error| Error::caused_by(ErrorKind::BackendLost, &error))?
            .to_bytes();
        // An answer that was due to another request, or to none.
        if head
            .headers
            .get(self.header_names.attempt_id)
            .map(|value| value.as_bytes())
            != asked
        {
            return Err(Error::new(
                ErrorKind::BadSeal,
                "the answer belongs to another request",
            ));
        }
        if head.status.is_success()
            && (said(self.header_names.seal).is_none()
                || head.headers.contains_key("content-encoding"))
        {
            return Err(Error::new(ErrorKind::BadSeal, "a success without a seal"));
        }
        let kept = said("keep-alive").and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
        });
        let closes = said("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if !closes && !sender.is_closed() {
            self.connections.put_back(
                model::now(),
                sender,
                kept.map(|seconds| seconds * 1_000_000),
            );
        }
        if head.status.as_u16() == 421 || head.headers.contains_key(self.header_names.not_run) {
            let why = if head.status.as_u16() == 421 {
                MISDIRECTED.into()
            } else {
                format!("the back end turned it away with {}", head.status.as_u16())
            };
            return Err(Error::new(ErrorKind::Refused, why));
        }
        // To senders these say that it never ran; without the back end's word nobody knows.
        if [408, 429, 503].contains(&head.status.as_u16()) {
            return Err(Error::new(
                ErrorKind::BackendLost,
                format!(
                    "a bare {}, which says nothing of whether it ran",
                    head.status.as_u16()
                ),
            ));
        }
        let headers = head.headers.iter().filter(|(name, _)| {
            !http_util::headers::is_hop_by_hop(name.as_str())
                && name.as_str() != self.header_names.attempt_id
        });
        let headers = headers
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .collect();
        Ok(transport::ForwardedResponse {
            status: head.status.as_u16(),
            headers,
            body: body.to_vec(),
        })
    }
}
