//! An HTTP server that ends in good order.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A running HTTP server.
pub struct HttpServer {
    /// Where it listens, with the port that the system gave it.
    pub address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds `address` (IP address and port) and serves `router`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: &str, router: Router) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let server = Server::new(TcpAcceptor::try_from(listener)?);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(HttpServer {
            address,
            handle,
            task,
        })
    }

    /// Takes no more connections and waits until the requests at work are answered, for at most
    /// `grace_period`.
    pub async fn stop(self, grace_period: Duration) {
        self.handle.stop_graceful(grace_period);
        // What has no answer by then gets none.
        drop(timeout(grace_period, self.task).await);
    }
}
