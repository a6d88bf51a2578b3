//! HTTP/1.1 as clients, operators and backends of a run speak it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A request with its whole body.
pub type HttpRequest = Request<Full<Bytes>>;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection to one address.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
}

/// Nothing or no whole answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer;

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if none is open within a second.
    pub async fn open(address: SocketAddr) -> Result<HttpConnection, NoAnswer> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| NoAnswer)?.map_err(|_| NoAnswer)?;
        stream.set_nodelay(true).map_err(|_| NoAnswer)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| NoAnswer)?;
        tokio::spawn(connection);
        Ok(HttpConnection { sender })
    }

    /// Sends a request and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if there is none within `patience`; the connection is of no use then.
    pub async fn call(
        &mut self,
        request: HttpRequest,
        answer_timeout: Duration,
    ) -> Result<Response<Bytes>, NoAnswer> {
        let exchange = async {
            self.sender.ready().await.map_err(|_| NoAnswer)?;
            let response = self.sender.send_request(request).await;
            let (head, body) = response.map_err(|_| NoAnswer)?.into_parts();
            let body = body.collect().await.map_err(|_| NoAnswer)?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        timeout(answer_timeout, exchange)
            .await
            .unwrap_or(Err(NoAnswer))
    }
}

/// One call on a connection of its own.
///
/// # Errors
///
/// [`NoAnswer`] as for [`HttpConnection::call`].
pub async fn call_once(
    address: SocketAddr,
    request: HttpRequest,
    answer_timeout: Duration,
) -> Result<Response<Bytes>, NoAnswer> {
    let exchange = async {
        let mut connection = HttpConnection::open(address).await?;
        connection.call(request, answer_timeout).await
    };
    timeout(answer_timeout, exchange)
        .await
        .unwrap_or(Err(NoAnswer))
}

/// A `POST` of JSON; paths of a run need no encoding, so building it does not fail.
pub fn post_json(path: &str, body: String) -> HttpRequest {
    let request = Request::post(path)
        .header("host", "gradeford")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    request.unwrap_or_default()
}
