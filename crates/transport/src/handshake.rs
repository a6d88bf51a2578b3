//! Opening a connection from either side: who each is, what the connection is for, or why not
//! (design 4.2).

use std::io::{self, ErrorKind};
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;

use model::{Incarnation, NodeName, ZoneName};
use socket2::SockRef;
use tokio::io::BufReader;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::connection::{self, Connection, SocketReader, SocketWriter};
use crate::{Error, Frame};

/// How long connecting and both handshakes may take together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long sent bytes may stay unacknowledged by the peer's machine, which says nothing once it
/// has lost its power.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes read from the socket at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// What a connection is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Purpose {
    /// Only to learn which replicas are known.
    Discover,
    /// Replica to replica: the messages of the consensus.
    Consensus,
    /// A node to a replica or to its zone's relay: state updates, proofs, forwarded entries.
    Subscribe,
    /// Node to node: requests.
    Forward,
    /// Heartbeats to the node that monitors the sender.
    Monitor,
    /// A look at the state that a process has.
    Inspect,
    /// A core machine that is no replica yet asks to become one (design 12.1).
    RequestAssignment,
}

/// A replica, as processes tell each other of it and status pages show it.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct KnownReplica {
    /// Its number among the replicas.
    #[serde(rename = "seat")]
    pub replica_id: u16,
    /// Identity of its disk.
    #[serde(rename = "identity")]
    pub disk_id: u64,
    /// Where peers reach it: IP address and port.
    pub address: String,
    /// Its zone.
    pub zone: ZoneName,
    /// How often this disk was started: of one disk, the greater number has the better address.
    #[serde(rename = "starts")]
    pub start_count: u64,
}

/// What each side says of itself before anything else.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Handshake {
    /// What the connection is for.
    pub purpose: Purpose,
    /// Name of the process.
    pub node_name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where peers reach it: IP address and port, or nothing if they cannot.
    pub address: String,
    /// Which of its lives this is; 0 where it does not matter.
    pub incarnation: Incarnation,
    /// Set by replicas only: replica number, number of replicas, identity of the disk.
    pub replica: Option<(u16, u16, u64)>,
    /// A replica's disk that has kept nothing yet.
    pub has_empty_disk: bool,
    /// The disk that the caller of a consensus connection takes for the member it calls.
    pub expected_disk: Option<u64>,
    /// Replicas that the sender knows of.
    pub known_replicas: Vec<KnownReplica>,
}

/// Why a handshake is refused; the text reaches the caller and its operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason in words.
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

/// Opens a connection to a peer and waits until it has answered the handshake.
///
/// The socket goes out from the address in `own`, so that a site's own rules can tell who calls.
///
/// # Errors
///
/// [`Error::Refused`] with the peer's reason, [`Error::TimedOut`] after a second, or whatever broke
/// the connection.
pub async fn dial(address: &str, own: Handshake) -> Result<Connection, Error> {
    within_timeout(async {
        let (mut reader, mut writer) = split_stream(connect(address, &own.address).await?)?;
        let zone = own.zone.clone();
        connection::write_frame(&mut writer, &Frame::Handshake(Box::new(own))).await?;
        match connection::read_frame(&mut reader).await? {
            Frame::Handshake(peer) => Ok(connection::start(&zone, *peer, reader, writer)),
            Frame::HandshakeRefused(reason) => Err(Error::Refused(reason)),
            _ => Err(Error::Malformed),
        }
    })
    .await
}

/// Takes a connection that a peer has opened. `authorize` sees the peer's handshake and answers
/// with ours, or with the reason for which it is refused.
///
/// # Errors
///
/// [`Error::Refused`] with the reason given here, [`Error::TimedOut`] after a second, or whatever
/// broke the connection.
pub async fn accept<J, F>(stream: TcpStream, authorize: J) -> Result<Connection, Error>
where
    J: FnOnce(Handshake) -> F,
    F: Future<Output = Result<Handshake, Rejection>>,
{
    within_timeout(async {
        let (mut reader, mut writer) = split_stream(stream)?;
        let peer = match connection::read_frame(&mut reader).await {
            Ok(Frame::Handshake(peer)) => *peer,
            Ok(_) => return Err(Error::Malformed),
            Err(error) => {
                refuse(&mut writer, error.to_string()).await?;
                return Err(error);
            }
        };
        match authorize(peer.clone()).await {
            Ok(own) => {
                let zone = own.zone.clone();
                connection::write_frame(&mut writer, &Frame::Handshake(Box::new(own))).await?;
                Ok(connection::start(&zone, peer, reader, writer))
            }
            Err(Rejection { reason }) => {
                refuse(&mut writer, reason.clone()).await?;
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

async fn refuse(writer: &mut SocketWriter, reason: String) -> Result<(), Error> {
    connection::write_frame(writer, &Frame::HandshakeRefused(reason)).await
}

fn split_stream(stream: TcpStream) -> io::Result<(SocketReader, SocketWriter)> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let (reader, writer) = stream.into_split();
    Ok((BufReader::with_capacity(READ_BUFFER_BYTES, reader), writer))
}

/// Connects from the address that this process is known by, if it is one of the same family.
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

/// `own_address` with any port, if a socket to `target` can be bound to it.
fn source_address(own_address: &str, target: SocketAddr) -> Option<SocketAddr> {
    let own = own_address.parse::<SocketAddr>().ok()?;
    let usable = !own.ip().is_unspecified() && own.is_ipv4() == target.is_ipv4();
    usable.then(|| SocketAddr::new(own.ip(), 0))
}
