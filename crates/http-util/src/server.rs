//! HTTP server with graceful shutdown.

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
    /// Bound address, with the port that the operating system assigned if none was given.
    pub address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds `address` (IP address and port) and serves `router`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
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

    /// Stops accepting connections and waits until the running requests are answered, for at most
    /// `grace_period`.
    pub async fn stop(self, grace_period: Duration) {
        self.handle.stop_graceful(grace_period);
        // Requests that are still running after the grace period get no answer.
        drop(timeout(grace_period, self.task).await);
    }
}
