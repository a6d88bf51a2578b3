//! All that our processes say to each other (design 4.2).

use model::{BackendName, Incarnation, Microseconds, NodeName, Position, ServiceName, ZoneName};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Purpose {
    /// Only to learn which core seats are known.
    Discover,
    /// Seat to seat, the ordering's channel.
    Consensus,
    /// A node to a core seat or to its home: news, proofs, forwarded entries.
    Subscribe,
    /// Usher to usher: requests.
    Forward,
    /// Beats to a watcher.
    Monitor,
    /// A look at what a node believes.
    Inspect,
    /// A core machine without a seat asks for one (design 12.1).
    RequestAssignment,
}

#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct KnownReplica {
    #[serde(rename = "seat")]
    pub replica_id: u16,
    #[serde(rename = "identity")]
    pub disk_id: u64,
    pub address: String,
    pub zone: ZoneName,
    /// How often this disk was started: of one disk, the greater number has the better address.
    #[serde(rename = "starts")]
    pub start_count: u64,
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Handshake {
    pub purpose: Purpose,
    pub node_name: NodeName,
    pub zone: ZoneName,
    pub address: String,
    pub incarnation: Incarnation,
    /// Set by core seats only: seat, number of seats, disk identity.
    pub replica: Option<(u16, u16, u64)>,
    /// A core seat's disk that has kept nothing yet.
    pub has_empty_disk: bool,
    /// The disk that the caller of a core channel takes for the holder of the seat it calls.
    pub expected_disk: Option<u64>,
    pub known_replicas: Vec<KnownReplica>,
}

pub type Headers = Vec<(String, Vec<u8>)>;

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct AttemptRequest {
    pub request_id: u64,
    pub attempt_id: String,
    /// Counts the repeats of a try that may have run, on lanes that allow them.
    pub ordinal: u32,
    pub client_service: ServiceName,
    pub route: String,
    pub service: ServiceName,
    pub backend: BackendName,
    pub incarnation: Incarnation,
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub shard_key: Option<String>,
    pub fencing_token: Option<Position>,
    /// What is left of the sender's wait; the far side counts from receipt.
    pub time_left: Microseconds,
    pub priority: u8,
    /// The far side's latest mark seen on this conn: it tells how old the dispatch can be at most.
    pub last_watermark: u64,
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct AttemptResponse {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub seal: String,
}

/// What a back end is asked for and how fast it is, told to the node that places its service's keys (design 11.4).
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LoadReport {
    pub service: ServiceName,
    pub backend: BackendName,
    pub slots: u32,
    /// Mean time of a run there, and of how many.
    pub mean_run_time: Microseconds,
    pub run_count: u32,
    /// Requests a second on ranges of the keys it holds, and how many requests say so.
    pub demand: Vec<(u16, u16, f32)>,
    pub demand_samples: f32,
    /// Its runs come to nothing (design 13.8).
    pub unhealthy: bool,
}

/// Large parts are boxed: a frame is as long as its longest part that is not.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Frame {
    Handshake(Box<Handshake>),
    HandshakeRefused(String),
    KnownReplicas(Vec<KnownReplica>),
    Consensus(mencius::Frame),
    /// To a disk that took a seat over: after which instance it votes, and which disks hold the other seats.
    VotingRange {
        upto: u64,
        pins: Vec<(u16, u64)>,
    },
    ForwardEntry {
        number: u64,
        entry: Box<model::Entry>,
    },
    EntryOutcome {
        number: u64,
        outcome: Option<model::Outcome>,
    },
    /// News begins once the teller's book has reached `held`.
    Subscribe {
        services: BTreeSet<ServiceName>,
        held: Position,
    },
    StateUpdate(Box<model::StateSlice>),
    /// Against the last news or patch on this conn.
    StatePatch(Box<model::StatePatch>),
    RequestProof {
        number: u64,
    },
    /// Asked after `number` was sent: everything accepted before is in `position`.
    Proof {
        number: u64,
        position: Position,
    },
    Heartbeat,
    Watermark(u64),
    Attempt(Box<AttemptRequest>),
    AttemptResult {
        request_id: u64,
        reply: Box<Result<AttemptResponse, model::Error>>,
    },
    Inspect,
    Inspection(Vec<u8>),
    /// Changes of the bill are wanted from here on (design 11.3).
    FollowClusterState {
        held: Position,
    },
    /// `deltas`: an `rkyv` list. `afresh` is all that stands, else what changed since `from`.
    ClusterStateUpdate {
        afresh: bool,
        from: Position,
        to: Position,
        deltas: Vec<u8>,
    },
    ForwardedRequest(u32, Box<crate::EncodedRequest>),
    /// The caller of this request waits for it no longer.
    CancelRequest(u32),
    LoadReport(Box<LoadReport>),
    /// How long a request would wait there now, and what came of this one.
    ForwardedResponse(u32, u32, Box<crate::EncodedResponse>),
    ForwardFailed(u32, u32, Box<model::Error>),
    /// The sender takes nothing new: it stops in good order.
    ShuttingDown,
    /// Which seat a core machine is to take; `founded` says with whom the core begins (design 12.1).
    ReplicaAssignment {
        seat: u16,
        seats: u16,
        founded: bool,
        pins: Vec<(u16, u64)>,
    },
    NoReplicaAvailable,
    /// Where a disk took its seat over by no change, this is the first word instead of `Admit`.
    FoundingReplica,
}
