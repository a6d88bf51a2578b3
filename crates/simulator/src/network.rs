//! Simulates the network between the machines of a run by relays that delay traffic between zones and cut links
//! (design 9.6).

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A machine, identified by its loopback address.
pub type Host = IpAddr;
type CutLinks = HashSet<(Host, Host)>;

/// State of the links, shared by all relays. A cut link holds bytes back and resets no connection, as in a network that
/// loses all packets.
#[derive(Clone)]
pub struct Network {
    cuts: Arc<tokio::sync::watch::Sender<CutLinks>>,
    zones: Arc<HashMap<Host, usize>>,
    zone_delay: Duration,
}

impl Network {
    /// Creates a network without cuts. `zone_delay_us` is the one-way delay between zones, in microseconds.
    pub fn new(zones: HashMap<Host, usize>, zone_delay_us: u64) -> Network {
        let cuts = Arc::new(tokio::sync::watch::Sender::new(CutLinks::new()));
        Network {
            cuts,
            zones: Arc::new(zones),
            zone_delay: Duration::from_micros(zone_delay_us),
        }
    }

    /// Holds back all bytes from `from` to `to` until the network is healed.
    pub fn cut(&self, from: Host, to: Host) {
        self.cuts.send_modify(|cuts| {
            cuts.insert((from, to));
        });
    }

    /// Removes all cuts.
    pub fn heal(&self) {
        self.cuts.send_modify(CutLinks::clear);
    }

    fn delay(&self, from: Host, to: Host) -> Duration {
        let same_zone = self.zones.get(&from) == self.zones.get(&to);
        if same_zone {
            Duration::ZERO
        } else {
            self.zone_delay
        }
    }

    /// Relays each connection accepted by the listener to the target process, over the link between their hosts.
    pub async fn relay(&self, listener: tokio::net::TcpListener, target: SocketAddr) {
        loop {
            if let Ok((stream, from)) = listener.accept().await {
                tokio::spawn(self.clone().relay_connection(stream, from.ip(), target));
            }
        }
    }

    async fn wait_until_open(&self, from: Host, to: Host) {
        let mut cuts = self.cuts.subscribe();
        drop(cuts.wait_for(|cuts| !cuts.contains(&(from, to))).await);
    }

    async fn relay_connection(self, client: tokio::net::TcpStream, from: Host, target: SocketAddr) {
        // A TCP handshake needs both directions.
        self.wait_until_open(from, target.ip()).await;
        self.wait_until_open(target.ip(), from).await;
        let Ok(server) = tokio::net::TcpStream::connect(target).await else {
            return;
        };
        [&client, &server]
            .into_iter()
            .for_each(|stream| stream.set_nodelay(true).unwrap_or_default());
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let forward = tokio::spawn(self.clone().relay_one_way(
            client_reader,
            server_writer,
            from,
            target.ip(),
        ));
        let backward =
            tokio::spawn(self.relay_one_way(server_reader, client_writer, target.ip(), from));
        // When one direction ends, the other one is aborted, so that both connections are closed.
        let (abort_forward, abort_backward) = (forward.abort_handle(), backward.abort_handle());
        tokio::select! {
            _ = forward => abort_backward.abort(),
            _ = backward => abort_forward.abort(),
        }
    }

    async fn relay_one_way(
        self,
        mut reader: tokio::net::tcp::OwnedReadHalf,
        mut writer: tokio::net::tcp::OwnedWriteHalf,
        from: Host,
        to: Host,
    ) {
        let (sender, mut chunks) =
            tokio::sync::mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(256);
        let delay = self.delay(from, to);
        let read_loop = async move {
            let mut chunk = vec![0; 64 * 1024];
            while let Ok(length @ 1..) = reader.read(&mut chunk).await {
                if sender
                    .send((
                        tokio::time::Instant::now() + delay,
                        chunk[..length].to_vec(),
                    ))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        };
        let write_loop = async move {
            while let Some((due, chunk)) = chunks.recv().await {
                tokio::time::sleep_until(due).await;
                self.wait_until_open(from, to).await;
                if writer.write_all(&chunk).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(read_loop, write_loop);
    }
}
