//! Opens and accepts connections: both sides exchange a handshake with their identity and the
//! purpose of the connection, or the connection is refused with a reason (design 4.2).

use std::io::{self, ErrorKind};
use std::net::{AddrParseError, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use model::{Incarnation, NodeName, ZoneName};
use socket2::SockRef;
use tokio::io::BufReader;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::connection::{self, Connection, SocketReader, SocketWriter};
use crate::{Error, Frame, OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION};

/// Protocol versions that this program speaks.
const SUPPORTED_VERSIONS: RangeInclusive<u16> = OLDEST_PROTOCOL_VERSION..=PROTOCOL_VERSION;
/// Timeout for connecting and both handshakes together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which sent bytes may stay unacknowledged before the connection is closed. A machine
/// that has lost power does not close its connections.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the read buffer of a socket, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Purpose {
    /// The connection only serves to learn which replicas the peer knows.
    Discover,
    /// From replica to replica: consensus messages.
    Consensus,
    /// From a node to a replica or to its zone's relay: state updates, freshness proofs and
    /// forwarded entries.
    Subscribe,
    /// From node to node: requests.
    Forward,
    /// From a node to a node that monitors it: heartbeats.
    Monitor,
    /// To read the state of a process.
    Inspect,
    /// From a core machine without a replica number, to request one (design 12.1).
    RequestAssignment,
}

/// A replica, as exchanged between processes and shown by status pages.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct KnownReplica {
    /// Replica number.
    #[serde(rename = "seat")]
    pub replica_id: u16,
    /// Identity of the replica's disk.
    #[serde(rename = "identity")]
    pub disk_id: u64,
    /// IP address and port where peers reach the replica.
    pub address: String,
    /// Zone of the replica.
    pub zone: ZoneName,
    /// Number of starts from this disk; of two entries of one disk, the entry with the greater
    /// number has the current address.
    #[serde(rename = "starts")]
    pub start_count: u64,
}

/// The first message of each side, which describes the sender.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Handshake {
    /// Purpose of the connection.
    pub purpose: Purpose,
    /// Name of the process.
    pub node_name: NodeName,
    /// Zone of the process.
    pub zone: ZoneName,
    /// IP address and port where peers reach the process; empty if they cannot.
    pub address: String,
    /// Incarnation of the process; 0 where it does not matter.
    pub incarnation: Incarnation,
    /// Replica number, number of replicas and identity of the disk; set by replicas only.
    pub replica: Option<(u16, u16, u64)>,
    /// Whether the replica's disk holds no data yet.
    pub has_empty_disk: bool,
    /// Disk that the opener of a consensus connection expects the called member to have.
    pub expected_disk: Option<u64>,
    /// Replicas that the sender knows.
    pub known_replicas: Vec<KnownReplica>,
}

/// The reason for which a handshake is refused; the text reaches the opener of the connection and
/// its operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Reason as text.
    pub reason: String,
}

impl From<String> for Rejection {
    fn from(reason: String) -> Rejection {
        Rejection { reason }
    }
}

impl From<&str> for Rejection {
    fn from(reason: &str) -> Rejection {
        Rejection {
            reason: reason.to_string(),
        }
    }
}

/// Opens a connection to a peer and waits for the peer's handshake. A peer that speaks only an
/// earlier protocol version is dialed again with that version.
///
/// The socket is bound to the address in `own`, so that firewall rules of a site can identify the
/// sender.
///
/// # Errors
///
/// [`Error::Refused`] with the peer's reason, [`Error::TimedOut`] after a second, or the error that
/// ended the connection.
pub async fn dial(address: &str, own: Handshake) -> Result<Connection, Error> {
    match dial_with_version(address, own.clone(), PROTOCOL_VERSION).await {
        Err(Error::VersionMismatch(version)) if SUPPORTED_VERSIONS.contains(&version) => {
            dial_with_version(address, own, version).await
        }
        dialed => dialed,
    }
}

async fn dial_with_version(
    address: &str,
    own: Handshake,
    version: u16,
) -> Result<Connection, Error> {
    within_timeout(async {
        let (mut reader, mut writer) = split_stream(connect(address, &own.address).await?)?;
        let zone = own.zone.clone();
        let handshake = Frame::Handshake(Box::new(own));
        connection::write_frame(&mut writer, &handshake, version).await?;
        let (answer, _) = connection::read_frame(&mut reader, version..=version).await?;
        match answer {
            Frame::Handshake(peer) => Ok(connection::start(&zone, *peer, version, reader, writer)),
            Frame::HandshakeRefused(reason) => Err(Error::Refused(reason)),
            _ => Err(Error::Malformed),
        }
    })
    .await
}

/// Accepts a connection that a peer has opened, in the peer's protocol version. `authorize`
/// receives the peer's handshake and returns the handshake of this process, or the reason why the
/// peer is refused.
///
/// # Errors
///
/// [`Error::Refused`] with the reason from `authorize`, [`Error::TimedOut`] after a second, or the
/// error that ended the connection.
pub async fn accept<A, F>(stream: TcpStream, authorize: A) -> Result<Connection, Error>
where
    A: FnOnce(Handshake) -> F,
    F: Future<Output = Result<Handshake, Rejection>>,
{
    within_timeout(async {
        let (mut reader, mut writer) = split_stream(stream)?;
        let (peer, version) = match connection::read_frame(&mut reader, SUPPORTED_VERSIONS).await {
            Ok((Frame::Handshake(peer), version)) => (*peer, version),
            Ok(_) => return Err(Error::Malformed),
            Err(error) => {
                refuse(&mut writer, error.to_string(), PROTOCOL_VERSION).await?;
                return Err(error);
            }
        };
        match authorize(peer.clone()).await {
            Ok(own) => {
                let zone = own.zone.clone();
                let handshake = Frame::Handshake(Box::new(own));
                connection::write_frame(&mut writer, &handshake, version).await?;
                Ok(connection::start(&zone, peer, version, reader, writer))
            }
            Err(Rejection { reason }) => {
                refuse(&mut writer, reason.clone(), version).await?;
                Err(Error::Refused(reason))
            }
        }
    })
    .await
}

async fn within_timeout<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    timeout(HANDSHAKE_TIMEOUT, work)
        .await
        .unwrap_or(Err(Error::TimedOut))
}

async fn refuse(writer: &mut SocketWriter, reason: String, version: u16) -> Result<(), Error> {
    connection::write_frame(writer, &Frame::HandshakeRefused(reason), version).await
}

fn split_stream(stream: TcpStream) -> io::Result<(SocketReader, SocketWriter)> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let (reader, writer) = stream.into_split();
    Ok((BufReader::with_capacity(READ_BUFFER_BYTES, reader), writer))
}

/// Connects from the advertised address of this process, if it is of the target's address family.
async fn connect(address: &str, own_address: &str) -> Result<TcpStream, Error> {
    let invalid = |error: AddrParseError| io::Error::new(ErrorKind::InvalidInput, error);
    let target: SocketAddr = address.parse().map_err(invalid)?;
    let socket = if target.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(source) = source_address(own_address, target) {
        socket.bind(source)?;
    }
    Ok(socket.connect(target).await?)
}

/// Returns `own_address` with an ephemeral port, if a socket to `target` can be bound to it.
fn source_address(own_address: &str, target: SocketAddr) -> Option<SocketAddr> {
    let own = own_address.parse::<SocketAddr>().ok()?;
    let usable = !own.ip().is_unspecified() && own.is_ipv4() == target.is_ipv4();
    usable.then(|| SocketAddr::new(own.ip(), 0))
}
