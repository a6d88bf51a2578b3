//! The network between machines of a rehearsal: delays between zones, and cuts that can be mended (design 9.6).

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

pub type Host = IpAddr;
type CutLinks = HashSet<(Host, Host)>;

/// Shared by all relays; a cut stalls bytes as a lost network would, it resets nothing.
#[derive(Clone)]
pub struct Network {
    cuts: Arc<tokio::sync::watch::Sender<CutLinks>>,
    zones: Arc<HashMap<Host, usize>>,
    zone_delay: Duration,
}

impl Network {
    pub fn new(zones: HashMap<Host, usize>, hop_us: u64) -> Network {
        let cuts = Arc::new(tokio::sync::watch::Sender::new(CutLinks::new()));
        Network {
            cuts,
            zones: Arc::new(zones),
            zone_delay: Duration::from_micros(hop_us),
        }
    }

    /// Bytes from `from` to `to` go nowhere until mended.
    pub fn cut(&self, from: Host, to: Host) {
        self.cuts.send_modify(|cuts| {
            cuts.insert((from, to));
        });
    }

    pub fn heal(&self) {
        self.cuts.send_modify(CutLinks::clear);
    }

    fn delay(&self, one: Host, two: Host) -> Duration {
        let same = self.zones.get(&one) == self.zones.get(&two);
        if same {
            Duration::ZERO
        } else {
            self.zone_delay
        }
    }

    /// Stands before one process: what is dialed here reaches it over the link.
    pub async fn relay(&self, listener: tokio::net::TcpListener, target: SocketAddr) {
        loop {
            if let Ok((stream, from)) = listener.accept().await {
                tokio::spawn(self.clone().relay_connection(stream, from.ip(), target));
            }
        }
    }

    async fn until_open(&self, from: Host, to: Host) {
        let mut cuts = self.cuts.subscribe();
        drop(cuts.wait_for(|cuts| !cuts.contains(&(from, to))).await);
    }

    async fn relay_connection(self, near: tokio::net::TcpStream, from: Host, target: SocketAddr) {
        // A first packet needs both ways.
        self.until_open(from, target.ip()).await;
        self.until_open(target.ip(), from).await;
        let Ok(far) = tokio::net::TcpStream::connect(target).await else {
            return;
        };
        [&near, &far]
            .into_iter()
            .for_each(|stream| stream.set_nodelay(true).unwrap_or_default());
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        let there =
            tokio::spawn(
                self.clone()
                    .relay_one_way(near_reader, far_writer, from, target.ip()),
            );
        let back = tokio::spawn(self.relay_one_way(far_reader, near_writer, target.ip(), from));
        // Either end closing closes the conn.
        let (there_ends, back_ends) = (there.abort_handle(), back.abort_handle());
        tokio::select! {
            _ = there => back_ends.abort(),
            _ = back => there_ends.abort(),
        }
    }

    async fn relay_one_way(
        self,
        mut reader: tokio::net::tcp::OwnedReadHalf,
        mut writer: tokio::net::tcp::OwnedWriteHalf,
        from: Host,
        to: Host,
    ) {
        let (sender, mut pieces) =
            tokio::sync::mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(256);
        let delay = self.delay(from, to);
        let reading = async move {
            let mut piece = vec![0; 64 * 1024];
            while let Ok(length @ 1..) = reader.read(&mut piece).await {
                if sender
                    .send((
                        tokio::time::Instant::now() + delay,
                        piece[..length].to_vec(),
                    ))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        };
        let writing = async move {
            while let Some((due, piece)) = pieces.recv().await {
                tokio::time::sleep_until(due).await;
                self.until_open(from, to).await;
                if writer.write_all(&piece).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(reading, writing);
    }
}
