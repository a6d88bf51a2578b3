//! HTTP plumbing the three outward peers share: binding, bodies, JSON, a stop that lets work end.

use std::net::SocketAddr;
use std::time::Duration;

pub mod headers;

/// The largest body taken from a sender, a back end or an operator.
pub const BODY_LIMIT: usize = 1024 * 1024;

pub struct HttpServer {
    pub address: SocketAddr,
    handle: salvo::server::ServerHandle,
    task: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    pub async fn start(address: &str, router: salvo::Router) -> std::io::Result<HttpServer> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let server = salvo::Server::new(salvo::conn::tcp::TcpAcceptor::try_from(listener)?);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(HttpServer {
            address,
            handle,
            task,
        })
    }

    /// Takes no more conns and waits until those at work are answered, at most `patience`.
    pub async fn stop(self, patience: Duration) {
        self.handle.stop_graceful(patience);
        drop(tokio::time::timeout(patience, self.task).await);
    }
}

pub fn write_json<T: serde::Serialize + Sync>(
    response: &mut salvo::Response,
    status: u16,
    value: &T,
) {
    response.status_code(
        salvo::http::StatusCode::from_u16(status)
            .unwrap_or(salvo::http::StatusCode::INTERNAL_SERVER_ERROR),
    );
    response.render(salvo::writing::Json(value));
}

pub fn header_text(request: &salvo::Request, name: &str) -> Option<String> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_string)
}

/// The secret of `Authorization: Bearer …`.
pub fn bearer_token(request: &salvo::Request) -> Option<String> {
    header_text(request, "authorization")
        .and_then(|text| text.strip_prefix("Bearer ").map(str::to_string))
}

/// `None` when it is over the limit or broke off.
pub async fn read_body(request: &mut salvo::Request) -> Option<Vec<u8>> {
    request
        .payload_with_max_size(BODY_LIMIT)
        .await
        .ok()
        .map(|bytes| bytes.to_vec())
}

/// Reads JSON into a checked type; the fault names the path serde was at.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: &mut salvo::Request,
) -> Result<T, model::validation::Fault> {
    let fault = |fault: String| model::validation::Fault {
        path: "body".into(),
        message: fault,
    };
    let bytes = read_body(request)
        .await
        .ok_or_else(|| fault(format!("is over {BODY_LIMIT} bytes or broke off")))?;
    serde_json::from_slice(&bytes).map_err(|error| fault(error.to_string()))
}

/// A trouble as every HTTP peer sees it (docs/verdicts.md).
pub fn write_error(response: &mut salvo::Response, try_id: Option<&str>, trouble: &model::Error) {
    let headers = response.headers_mut();
    let verdict = if trouble.execution_status == model::ExecutionStatus::NotRun {
        "not-run"
    } else {
        "may-have-run"
    };
    headers.insert(
        "x-gradeford-verdict",
        salvo::http::HeaderValue::from_static(verdict),
    );
    if let Some(wait) = trouble.retry_after {
        headers.insert(
            "retry-after",
            salvo::http::HeaderValue::from(wait.div_ceil(1_000_000)),
        );
    }
    let body = serde_json::json!({
        "verdict": verdict,
        "cause": trouble.kind.code(),
        "detail": trouble.detail,
        "try": try_id,
        "retry_after_us": trouble.retry_after,
    });
    write_json(response, trouble.kind.http_status(), &body);
}
