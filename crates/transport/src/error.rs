//! Why a connection could not be opened or did not last.

use std::io;

use thiserror::Error;

use crate::PROTOCOL_VERSION;

/// Why a connection could not be opened or did not last.
///
/// The texts reach operators (in `/ready` and on the command line) and peers (as the reason of a
/// refused handshake), so they are part of the interface.
#[derive(Debug, Error)]
pub enum Error {
    /// The socket failed, or the address to dial is no IP address and port.
    #[error("conn failed: {0}")]
    Connection(#[from] io::Error),
    /// The connection was closed.
    #[error("conn closed")]
    Closed,
    /// A frame is longer than [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES); holds its length in bytes.
    #[error("a frame of {0} bytes is over the limit")]
    FrameTooLong(usize),
    /// The peer sent bytes that are no valid frame, or a frame that has no place where it came.
    #[error("a frame that does not hold together")]
    Malformed,
    /// The peer speaks another version of the protocol; holds the peer's.
    #[error("the mate speaks version {0}, this program {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    /// The handshake was refused; holds the reason that was given.
    #[error("refused by the mate: {0}")]
    Refused(String),
    /// The peer did not answer within the time-out of the step it was in.
    #[error("no answer in time")]
    TimedOut,
}
