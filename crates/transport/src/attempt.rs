//! One attempt of a request, sent by the client's node to the node beside the backend (design 5.2).

use model::{BackendName, Incarnation, Microseconds, Position, ServiceName};

use crate::Headers;

/// One attempt of a request, as the client's node sends it to the node beside the backend.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct AttemptRequest {
    /// Number of the attempt on its connection, repeated in the response.
    pub request_id: u64,
    /// Identifier that the client chose for the request, the same for each attempt.
    pub attempt_id: String,
    /// Number of retries after an attempt that may have run, on routes that allow them.
    pub ordinal: u32,
    /// Service of the client.
    pub client_service: ServiceName,
    /// Name of the route that the request matched.
    pub route: String,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Backend that is to run the attempt.
    pub backend: BackendName,
    /// Incarnation of that backend; another incarnation does not run the attempt.
    pub incarnation: Incarnation,
    /// HTTP method.
    pub method: String,
    /// Path at the backend, with its leading slash.
    pub path: String,
    /// Query with its question mark; empty if there is none.
    pub query: String,
    /// End-to-end headers.
    pub headers: Headers,
    /// Complete body.
    pub body: Vec<u8>,
    /// Key by which a sharded service's backend was selected.
    pub shard_key: Option<String>,
    /// Fencing token of the lease on the key's shard, where the service is sharded.
    pub fencing_token: Option<Position>,
    /// Time left until the client's deadline, in microseconds; the receiver counts from receipt.
    pub time_left: Microseconds,
    /// Priority in the receiver's queue.
    pub priority: u8,
    /// Latest watermark received from the peer on this connection; it bounds the age of the
    /// attempt.
    pub last_watermark: u64,
}

/// A backend's response to an attempt, with the digest that authenticates it.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct AttemptResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on to the client.
    pub headers: Headers,
    /// Complete body.
    pub body: Vec<u8>,
    /// The backend's digest of the attempt, the status and the body.
    pub seal: String,
}
