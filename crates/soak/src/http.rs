//! The HTTP/1.1 client that clients, operators and backends of a run use.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A request with its complete body.
pub type HttpRequest = Request<Full<Bytes>>;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection to one address.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
}

/// The connection couldn't be opened, or no complete answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer;

impl HttpConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if the connection isn't open within a second.
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

    /// Sends a request and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if no complete answer arrives within `answer_timeout`. The connection must not be
    /// used again then.
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

/// A connection that is kept between requests, and opened again after it has failed.
pub struct KeptConnection {
    address: SocketAddr,
    open: Option<HttpConnection>,
}

impl KeptConnection {
    /// Creates a connection to `address` that is opened by the first request.
    pub fn new(address: SocketAddr) -> KeptConnection {
        KeptConnection {
            address,
            open: None,
        }
    }

    /// Returns the open connection, or opens one.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] as for [`HttpConnection::open`].
    pub async fn get(&mut self) -> Result<&mut HttpConnection, NoAnswer> {
        let open = match self.open.take() {
            Some(open) => open,
            None => HttpConnection::open(self.address).await?,
        };
        Ok(self.open.insert(open))
    }

    /// Closes the connection, so that the next request opens another one.
    pub fn close(&mut self) {
        self.open = None;
    }
}

/// Sends one request on a new connection and waits for the complete answer.
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

/// Builds a `POST` request with a JSON body. Building can't fail, as the paths used in a run need no
/// encoding.
pub fn post_json(path: &str, body: String) -> HttpRequest {
    let request = Request::post(path)
        .header("host", "gradeford")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    request.unwrap_or_default()
}
