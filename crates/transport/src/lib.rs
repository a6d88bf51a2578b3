//! Connections between gradeford's processes: replicas, nodes and the operators' command line.
//!
//! A connection is a TCP stream on which both sides send length-prefixed, validated `rkyv` frames
//! in order. The first frame in each direction is a [`Handshake`]; after that, [`Connection`]
//! delivers the peer's frames to its owner and accepts frames to send. Requests between nodes are
//! sent in a compact encoding that replaces repeated headers by indices (design 4.2, 13.2).

#![deny(missing_docs)]

mod attempt;
pub mod bodies;
mod compact_encoding;
mod connection;
mod error;
mod forwarding;
mod frame;
mod handshake;
mod load_report;
pub mod traffic;

pub use attempt::{AttemptRequest, AttemptResponse};
pub use compact_encoding::{EncodedHeaders, Header, HeaderDecoder, HeaderEncoder, Headers};
pub use connection::{Connection, FrameSender};
pub use error::Error;
pub use forwarding::{EncodedRequest, EncodedResponse, ForwardedRequest, ForwardedResponse};
pub use frame::Frame;
pub use handshake::{Handshake, KnownReplica, Purpose, Rejection, accept, dial};
pub use load_report::LoadReport;

/// Protocol version of this program. A connection uses the latest version that both sides speak; a
/// peer without such a version is refused, with both versions in the reason.
///
/// Version 6 adds [`Frame::WithdrawRequest`], [`Frame::BodyFollows`] and [`Frame::BodyPart`].
pub const PROTOCOL_VERSION: u16 = 6;

/// Oldest protocol version that this program speaks with peers of an earlier build.
pub const OLDEST_PROTOCOL_VERSION: u16 = 5;

/// Maximum size of a sent or received frame without its prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
