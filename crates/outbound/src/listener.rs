//! Senders' conns: requests taken whole, answers given whole (design 13.1).

use http_body_util::BodyExt as _;
use model::{Error, ErrorKind, ExecutionStatus};
use std::convert::Infallible;
use std::time::Duration;

#[derive(Clone)]
pub struct ListenerConfig {
    pub header_names: http_util::headers::HeaderNames,
}

#[derive(Clone)]
pub struct Listener {
    pub config: ListenerConfig,
    pub proxy: crate::OutboundProxy,
}

type HttpResponse = hyper::Response<http_body_util::Full<bytes::Bytes>>;

/// Where no limits are set yet.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_MAX_HEADER_BYTES: usize = 65_536;
const DEFAULT_MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

impl Listener {
    /// Serves until told to leave: then no conn begins a further request, and what was taken is answered.
    pub async fn serve(
        self,
        listener: tokio::net::TcpListener,
        shutdown: tokio::sync::watch::Receiver<bool>,
    ) {
        let mut shutdown_requested = shutdown.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().serve_connection(stream, shutdown.clone()));
                },
                _ = shutdown_requested.wait_for(|leaving| *leaving) => return,
            }
        }
    }

    async fn serve_connection(
        self,
        stream: tokio::net::TcpStream,
        mut shutdown: tokio::sync::watch::Receiver<bool>,
    ) {
        drop(stream.set_nodelay(true));
        let limits = self.proxy.verified_state.load().snapshot.limits.clone();
        let idle_timeout = limits
            .as_ref()
            .map(|limits| Duration::from_micros(limits.idle_us))
            .unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let max_header_bytes = limits
            .as_ref()
            .map(|limits| limits.header_bytes as usize)
            .unwrap_or(DEFAULT_MAX_HEADER_BYTES)
            .max(8_192);
        let service = hyper::service::service_fn(move |request| {
            let front = self.clone();
            async move { Ok::<_, Infallible>(front.handle(request).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder
            .timer(hyper_util::rt::TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(max_header_bytes);
        let conn = builder.serve_connection(hyper_util::rt::TokioIo::new(stream), service);
        let mut conn = std::pin::pin!(conn);
        tokio::select! {
            _ = conn.as_mut() => return,
            _ = shutdown.wait_for(|leaving| *leaving) => conn.as_mut().graceful_shutdown(),
        }
        drop(conn.await);
    }

    async fn handle(&self, request: hyper::Request<hyper::body::Incoming>) -> HttpResponse {
        let received_at = model::now();
        let (head, body) = request.into_parts();
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let (words, host) = (
            &self.config.header_names,
            header("host").unwrap_or_default(),
        );
        let attempt_id = header(words.attempt_id).unwrap_or_default().to_string();
        let max_body_bytes = self
            .proxy
            .verified_state
            .load()
            .snapshot
            .limits
            .as_ref()
            .map(|limits| limits.body_bytes as usize)
            .unwrap_or(DEFAULT_MAX_BODY_BYTES);
        let body = match http_body_util::Limited::new(body, max_body_bytes)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes().to_vec(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return self.error_response(
                    &attempt_id,
                    Error::new(ErrorKind::TooLarge, "the body is over the limit"),
                );
            }
            Err(_) => {
                return self.error_response(
                    &attempt_id,
                    Error::new(ErrorKind::BadRequest, "the body broke off"),
                );
            }
        };
        if attempt_id.is_empty() {
            return self.error_response(
                &attempt_id,
                Error::new(ErrorKind::BadRequest, "the try has no identity"),
            );
        }
        let own_headers = [words.time_left_ms, words.target_backend, words.caller];
        let headers = head.headers.iter().filter(|(name, _)| {
            !http_util::headers::is_hop_by_hop(name.as_str())
                && !own_headers.contains(&name.as_str())
        });
        let request = crate::Request {
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
            shard_key: header(words.shard_key).and_then(|text| text.parse().ok()),
            timeout: header(words.time_left_ms)
                .and_then(|text| text.parse::<u64>().ok())
                .map(|left| left * 1_000),
            headers: headers
                .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
                .collect(),
            attempt_id: attempt_id.clone(),
            body,
            received_at,
        };
        match self.proxy.perform(request).await {
            Ok(take) => self.success_response(&attempt_id, take),
            Err(trouble) => self.error_response(&attempt_id, trouble),
        }
    }

    fn success_response(
        &self,
        attempt_id: &str,
        response: transport::ForwardedResponse,
    ) -> HttpResponse {
        // The near side knows the try: its name need not come back over the conn between nodes.
        let builder = hyper::Response::builder()
            .status(response.status)
            .header(self.config.header_names.attempt_id, attempt_id);
        let builder = response
            .headers
            .iter()
            .fold(builder, |builder, (name, value)| {
                builder.header(name.as_str(), value.as_slice())
            });
        builder
            .body(http_body_util::Full::new(response.body.into()))
            .unwrap_or_else(|_| {
                self.error_response(
                    "",
                    Error::new(ErrorKind::BadSeal, "an answer that cannot be said"),
                )
            })
    }

    /// 503 promises that it did not run and never will, and says when to come back; 502 and 504 promise nothing.
    fn error_response(&self, attempt_id: &str, error: Error) -> HttpResponse {
        let status = match (error.execution_status, error.kind) {
            (_, ErrorKind::NoRoute) => 404,
            (_, ErrorKind::BadRequest) => 400,
            (_, ErrorKind::TooLarge) => 413,
            (ExecutionStatus::NotRun, _) => 503,
            (ExecutionStatus::MayHaveRun, ErrorKind::TimedOut) => 504,
            (ExecutionStatus::MayHaveRun, _) => 502,
        };
        slog::debug!(self.proxy.logger, "refused"; "try" => attempt_id, "cause" => error.kind.code(), "detail" => &error.detail);
        let retry_after = error.retry_after.unwrap_or(500_000);
        let builder = hyper::Response::builder()
            .status(status)
            .header("x-gradeford-cause", error.kind.code());
        let builder = if attempt_id.is_empty() {
            builder
        } else {
            builder.header(self.config.header_names.attempt_id, attempt_id)
        };
        let builder = if status == 503 {
            builder.header("retry-after", format!("{:.3}", retry_after as f64 / 1e6))
        } else {
            builder
        };
        builder.body(Default::default()).unwrap_or_default()
    }
}
