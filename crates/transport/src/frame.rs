//! Everything that gradeford's processes say to each other on a connection (design 4.2).

use std::collections::BTreeSet;

use model::{Entry, Outcome, Position, ServiceName, StatePatch, StateSlice};

use crate::{
    AttemptRequest, AttemptResponse, EncodedRequest, EncodedResponse, Handshake, KnownReplica,
    LoadReport,
};

/// One frame. Its form on the wire is the order of variants and fields, which therefore stays.
///
/// Large parts are boxed, because a frame is as long as its longest part that is not.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Frame {
    /// First frame in each direction: who speaks and what for.
    Handshake(Box<Handshake>),
    /// Answer to a handshake that is refused; holds the reason.
    HandshakeRefused(String),
    /// Replicas that the sender knows of.
    KnownReplicas(Vec<KnownReplica>),
    /// A message of the consensus.
    Consensus(mencius::Frame),
    /// To a disk that replaced a member: after which instance it votes, and which disks hold the
    /// other replicas.
    VotingRange {
        /// Last instance in which the new disk has no vote.
        votes_after: u64,
        /// Replica number and disk of each member.
        pinned_disks: Vec<(u16, u64)>,
    },
    /// An entry for the log, from a node to a replica.
    ForwardEntry {
        /// Repeated in the answer.
        request_id: u64,
        /// The entry.
        entry: Box<Entry>,
    },
    /// What came of a forwarded entry.
    EntryOutcome {
        /// That of [`Frame::ForwardEntry`].
        request_id: u64,
        /// `None` if no majority has decided in time.
        outcome: Option<Outcome>,
    },
    /// Asks for state updates; they begin once the sender of updates has reached `held_position`.
    Subscribe {
        /// Services that the subscriber wants to hear of.
        services: BTreeSet<ServiceName>,
        /// Position that the subscriber has reached.
        held_position: Position,
    },
    /// All of the state that the subscriber asked for.
    StateUpdate(Box<StateSlice>),
    /// What changed since the last update or patch on this connection.
    StatePatch(Box<StatePatch>),
    /// Asks for a proof that the subscriber's state is current.
    RequestProof {
        /// Repeated in the proof.
        request_id: u64,
    },
    /// Everything accepted before the request for this proof was sent is in `position`.
    Proof {
        /// That of [`Frame::RequestProof`].
        request_id: u64,
        /// Position up to which the subscriber must have come.
        position: Position,
    },
    /// The sender is alive.
    Heartbeat,
    /// A number that grows with the sender's clock, from which it tells the age of attempts.
    Watermark(u64),
    /// An attempt of a request.
    Attempt(Box<AttemptRequest>),
    /// The end of an attempt.
    AttemptResult {
        /// That of [`AttemptRequest`].
        request_id: u64,
        /// The backend's answer, or why there is none.
        reply: Box<Result<AttemptResponse, model::Error>>,
    },
    /// Asks for all the state that the peer has.
    Inspect,
    /// The state that was asked for, as JSON.
    Inspection(Vec<u8>),
    /// Changes of the cluster state are wanted from here on (design 11.3).
    FollowClusterState {
        /// Position that the follower has reached.
        held_position: Position,
    },
    /// A change of the cluster state.
    ClusterStateUpdate {
        /// Whether `deltas` is the complete state, else what changed since `from`.
        is_snapshot: bool,
        /// Position before the change.
        from: Position,
        /// Position after the change.
        to: Position,
        /// An `rkyv` list of deltas.
        deltas: Vec<u8>,
    },
    /// A request, with its number on this connection.
    ForwardedRequest(u32, Box<EncodedRequest>),
    /// The caller of the request with this number waits for it no longer.
    CancelRequest(u32),
    /// A backend's load.
    LoadReport(Box<LoadReport>),
    /// The response to the request with the first number; the second is how long a request would
    /// wait there now, in microseconds.
    ForwardedResponse(u32, u32, Box<EncodedResponse>),
    /// Why the request with the first number has no response; the second number is as in
    /// [`Frame::ForwardedResponse`].
    ForwardFailed(u32, u32, Box<model::Error>),
    /// The sender takes nothing new: it is shutting down.
    ShuttingDown,
    /// Which replica a core machine is to become (design 12.1).
    ReplicaAssignment {
        /// Its replica number.
        replica_id: u16,
        /// How many replicas there are.
        replica_count: u16,
        /// Whether the core begins with the disks in `pinned_disks`.
        founding: bool,
        /// Replica number and disk of each member.
        pinned_disks: Vec<(u16, u64)>,
    },
    /// No replica is free for the core machine that asked.
    NoReplicaAvailable,
    /// First frame in the place of [`Frame::VotingRange`] where the sender replaced no member.
    FoundingReplica,
}
