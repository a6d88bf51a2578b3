//! One attempt of a request, from the client's node to the node beside the backend (design 5.2).

use model::{BackendName, Incarnation, Microseconds, Position, ServiceName};

use crate::Headers;

/// One attempt of a request, as the client's node sends it to the node beside the backend.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct AttemptRequest {
    /// Number of the attempt on its connection, repeated in the answer.
    pub request_id: u64,
    /// The client's own name of the request, the same in each attempt.
    pub attempt_id: String,
    /// Counts the retries of an attempt that may have run, on routes that allow them.
    pub ordinal: u32,
    /// Service of the client.
    pub client_service: ServiceName,
    /// Name of the standing order by which the request is routed.
    pub route: String,
    /// Service that is asked.
    pub service: ServiceName,
    /// Backend that is to run it.
    pub backend: BackendName,
    /// Incarnation of that backend; another one does not run it.
    pub incarnation: Incarnation,
    /// HTTP method.
    pub method: String,
    /// Path at the backend, with its leading slash.
    pub path: String,
    /// Query with its question mark, or nothing.
    pub query: String,
    /// End-to-end headers.
    pub headers: Headers,
    /// Body, complete.
    pub body: Vec<u8>,
    /// Key by which a sharded service's backend was selected.
    pub shard_key: Option<String>,
    /// Fencing token of the lease on the key's shard, where the service is sharded.
    pub fencing_token: Option<Position>,
    /// What is left of the client's wait, in microseconds; the far side counts from receipt.
    pub time_left: Microseconds,
    /// Priority in the far side's queue.
    pub priority: u8,
    /// The far side's latest watermark seen on this connection: it tells how old the attempt can
    /// be at most.
    pub last_watermark: u64,
}

/// A backend's sealed answer to an attempt.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct AttemptResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that reach the client.
    pub headers: Headers,
    /// Body, complete.
    pub body: Vec<u8>,
    /// The backend's digest of attempt, status and body.
    pub seal: String,
}
