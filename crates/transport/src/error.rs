//! Errors of opening and using a connection.

use std::io;

use thiserror::Error;

use crate::PROTOCOL_VERSION;

/// The reason for which a connection could not be opened or has ended.
///
/// The texts are part of the interface: they reach operators (in `/ready` and on the command line)
/// and peers (as the reason for a refused handshake).
#[derive(Debug, Error)]
pub enum Error {
    /// The socket failed, or the address to dial is not an IP address and port.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The connection was closed.
    #[error("connection closed")]
    Closed,
    /// A frame exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES); holds its length in bytes.
    #[error("frame of {0} bytes exceeds the size limit")]
    FrameTooLong(usize),
    /// The peer sent bytes that are no valid frame, or a frame that is not allowed at that point.
    #[error("malformed or unexpected frame")]
    Malformed,
    /// The peer uses another protocol version; holds the peer's version.
    #[error("the peer uses protocol version {0}, this program uses version {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    /// The handshake was refused; holds the reason.
    #[error("handshake refused by the peer: {0}")]
    Refused(String),
    /// The peer did not answer before the timeout of the current step.
    #[error("no answer in time")]
    TimedOut,
}
