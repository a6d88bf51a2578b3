//! Between our own processes: validated `rkyv` frames over FIFO TCP (design 4.2).

mod compact_encoding;
mod connection;
mod forwarding;
mod frame;
mod handshake;
pub mod traffic;

pub use compact_encoding::{EncodedHeaders, HeaderDecoder, HeaderEncoder};
pub use connection::{Connection, FrameSender};
pub use forwarding::{EncodedRequest, EncodedResponse, ForwardedRequest, ForwardedResponse};
pub use frame::*;
pub use handshake::{accept, dial};

/// Spoken version; a mate with another is refused with both numbers.
pub const PROTOCOL_VERSION: u16 = 5;
/// The longest frame taken from a mate.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("conn failed: {0}")]
    Connection(#[from] std::io::Error),
    #[error("conn closed")]
    Closed,
    #[error("a frame of {0} bytes is over the limit")]
    FrameTooLong(usize),
    #[error("a frame that does not hold together")]
    Malformed,
    #[error("the mate speaks version {0}, this program {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    #[error("refused by the mate: {0}")]
    Refused(String),
    #[error("no answer in time")]
    TimedOut,
}
