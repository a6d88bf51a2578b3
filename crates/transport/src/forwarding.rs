//! Requests and responses between the nodes beside two backends (design 13.2).
//!
//! Backend, caller and method are sent as headers with reserved names, so that the compact encoding
//! sends them by index too.

use bytes::Bytes;
use model::{BackendName, Microseconds, ServiceName};

use crate::{EncodedHeaders, Error, HeaderDecoder, HeaderEncoder, Headers};

/// A request that is forwarded to the node beside the backend that is to run it.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    /// Backend that is to run the request.
    pub backend: BackendName,
    /// Service of the machine that the request comes from.
    pub caller: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    /// End-to-end headers.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
    /// Key by which a sharded service's backend was selected.
    pub shard_key: Option<u16>,
    /// Time left until the caller's deadline, in microseconds.
    pub time_left: Microseconds,
    /// Time left until the latency target of the request, in microseconds.
    pub latency_target: Microseconds,
    /// Priority in the queue beside the backend.
    pub priority: u8,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether the backend accepts the request even while it is ejected, because other ejected
    /// backends declined the request (design 13.8).
    pub ignore_ejection: bool,
}

/// A [`ForwardedRequest`] as encoded for a connection.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EncodedRequest {
    headers: EncodedHeaders,
    target: String,
    body: Vec<u8>,
    shard_key: Option<u16>,
    time_left: u32,
    latency_target: u32,
    priority: u8,
    idempotent: bool,
    ignore_ejection: bool,
}

/// A backend's response, unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
}

/// A [`ForwardedResponse`] as encoded for a connection.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EncodedResponse {
    headers: EncodedHeaders,
    status: u16,
    body: Vec<u8>,
}

/// Reserved name of the header that holds the backend. No HTTP header begins with a colon.
const BACKEND_FIELD: &str = ":to";
/// Reserved name of the header that holds the caller's service.
const CALLER_FIELD: &str = ":from";
/// Reserved name of the header that holds the method.
const METHOD_FIELD: &str = ":method";

/// Upper bound of the times in a request, in microseconds: an hour, which fits the 32 bits in which
/// they are encoded.
const MAX_WAIT: Microseconds = 3_600_000_000;

impl ForwardedRequest {
    /// Encodes the request for the connection of `encoder`; it has to be sent on that connection.
    pub fn encode(self, encoder: &mut HeaderEncoder) -> EncodedRequest {
        let fields = [
            (BACKEND_FIELD, self.backend),
            (CALLER_FIELD, self.caller),
            (METHOD_FIELD, self.method),
        ];
        let fields = fields.map(|(name, value)| (name.to_string(), value.into_bytes()));
        EncodedRequest {
            headers: encoder.encode(fields.into_iter().chain(self.headers).collect()),
            target: self.target,
            body: self.body.to_vec(),
            shard_key: self.shard_key,
            time_left: bounded_micros(self.time_left),
            latency_target: bounded_micros(self.latency_target),
            priority: self.priority,
            idempotent: self.idempotent,
            ignore_ejection: self.ignore_ejection,
        }
    }
}

impl EncodedRequest {
    /// Decodes the next request of the connection of `decoder`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the headers cannot be decoded or a reserved header is missing or not
    /// UTF-8; the connection has to be closed.
    pub fn decode(self, decoder: &mut HeaderDecoder) -> Result<ForwardedRequest, Error> {
        let (fields, headers): (Headers, Headers) = decoder
            .decode(self.headers)?
            .into_iter()
            .partition(|(name, _)| name.starts_with(':'));
        Ok(ForwardedRequest {
            backend: reserved_header(&fields, BACKEND_FIELD)?,
            caller: reserved_header(&fields, CALLER_FIELD)?,
            method: reserved_header(&fields, METHOD_FIELD)?,
            target: self.target,
            headers,
            body: self.body.into(),
            shard_key: self.shard_key,
            time_left: Microseconds::from(self.time_left),
            latency_target: Microseconds::from(self.latency_target),
            priority: self.priority,
            idempotent: self.idempotent,
            ignore_ejection: self.ignore_ejection,
        })
    }
}

impl ForwardedResponse {
    /// Encodes the response for the connection of `encoder`; it has to be sent on that connection.
    pub fn encode(self, encoder: &mut HeaderEncoder) -> EncodedResponse {
        let headers = encoder.encode(self.headers);
        EncodedResponse {
            headers,
            status: self.status,
            body: self.body.to_vec(),
        }
    }
}

impl EncodedResponse {
    /// Decodes the next response of the connection of `decoder`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the headers cannot be decoded; the connection has to be closed.
    pub fn decode(self, decoder: &mut HeaderDecoder) -> Result<ForwardedResponse, Error> {
        let headers = decoder.decode(self.headers)?;
        Ok(ForwardedResponse {
            status: self.status,
            headers,
            body: self.body.into(),
        })
    }
}

fn bounded_micros(time: Microseconds) -> u32 {
    time.min(MAX_WAIT) as u32
}

/// Returns the value of a reserved header.
fn reserved_header(fields: &Headers, wanted: &str) -> Result<String, Error> {
    let (_, value) = fields
        .iter()
        .find(|(name, _)| name == wanted)
        .ok_or(Error::Malformed)?;
    String::from_utf8(value.clone()).map_err(|_| Error::Malformed)
}
