//! Requests and answers between the nodes beside two back ends (design 13.2).

use crate::Headers;
use model::{BackendName, Microseconds, ServiceName};

/// A request on its way to the node beside the back end that is to run it (design 13.2).
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    pub backend: BackendName,
    /// The service of the machine where the request began.
    pub caller: ServiceName,
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub shard_key: Option<u16>,
    /// What is left of the wait, and of the time in which an answer is worth most.
    pub time_left: Microseconds,
    pub latency_target: Microseconds,
    pub priority: u8,
    pub idempotent: bool,
    /// Others passed it over: the back end is to take it however it does (design 13.8).
    pub force: bool,
}

/// A cue as it is said on a conn (design 13.2).
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EncodedRequest {
    headers: crate::EncodedHeaders,
    target: String,
    body: Vec<u8>,
    shard_key: Option<u16>,
    time_left: u32,
    latency_target: u32,
    priority: u8,
    idempotent: bool,
    force: bool,
}

const BACKEND_FIELD: &str = ":to";
const CALLER_FIELD: &str = ":from";
const METHOD_FIELD: &str = ":method";

/// An hour; no wait is longer.
fn capped_micros(time: Microseconds) -> u32 {
    time.min(3_600_000_000) as u32
}

impl ForwardedRequest {
    pub fn encode(self, speaker: &mut crate::HeaderEncoder) -> EncodedRequest {
        let ours = [
            (BACKEND_FIELD, self.backend),
            (CALLER_FIELD, self.caller),
            (METHOD_FIELD, self.method),
        ]
        .map(|(name, held)| (name.to_string(), held.into_bytes()));
        EncodedRequest {
            headers: speaker.encode(ours.into_iter().chain(self.headers).collect()),
            target: self.target,
            body: self.body,
            shard_key: self.shard_key,
            time_left: capped_micros(self.time_left),
            latency_target: capped_micros(self.latency_target),
            priority: self.priority,
            idempotent: self.idempotent,
            force: self.force,
        }
    }
}

impl EncodedRequest {
    pub fn decode(self, listener: &mut crate::HeaderDecoder) -> Option<ForwardedRequest> {
        let (ours, headers): (Headers, Headers) = listener
            .decode(self.headers)?
            .into_iter()
            .partition(|(name, _)| name.starts_with(':'));
        let own = |name: &str| {
            ours.iter()
                .find(|(held, _)| held == name)
                .and_then(|(_, value)| String::from_utf8(value.clone()).ok())
        };
        Some(ForwardedRequest {
            backend: own(BACKEND_FIELD)?,
            caller: own(CALLER_FIELD)?,
            method: own(METHOD_FIELD)?,
            target: self.target,
            headers,
            body: self.body,
            shard_key: self.shard_key,
            time_left: self.time_left as Microseconds,
            latency_target: self.latency_target as Microseconds,
            priority: self.priority,
            idempotent: self.idempotent,
            force: self.force,
        })
    }
}

/// A back end's answer as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedResponse {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EncodedResponse {
    headers: crate::EncodedHeaders,
    status: u16,
    body: Vec<u8>,
}

impl ForwardedResponse {
    pub fn encode(self, speaker: &mut crate::HeaderEncoder) -> EncodedResponse {
        EncodedResponse {
            headers: speaker.encode(self.headers),
            status: self.status,
            body: self.body,
        }
    }
}

impl EncodedResponse {
    pub fn decode(self, listener: &mut crate::HeaderDecoder) -> Option<ForwardedResponse> {
        Some(ForwardedResponse {
            headers: listener.decode(self.headers)?,
            status: self.status,
            body: self.body,
        })
    }
}
