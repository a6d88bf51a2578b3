//! Connections between gradeford's own processes: replicas, nodes and the operators' command line.
//!
//! A connection is a TCP stream on which both sides send length-prefixed, validated `rkyv` frames
//! in order. It begins with a [`Handshake`] in each direction; after that, [`Connection`] hands the
//! frames of the peer to its owner and takes frames to send. Requests between the nodes beside two
//! backends are sent in a compact encoding that names repeated headers by number (design 4.2, 13.2).

#![deny(missing_docs)]

mod attempt;
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

/// Version of the protocol this program speaks; a peer with another one is refused with both numbers.
pub const PROTOCOL_VERSION: u16 = 5;

/// Largest frame accepted from a peer or sent to one, in bytes without its prefix.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
