//! The frames that gradeford's processes exchange on a connection (design 4.2).

use std::collections::BTreeSet;

use model::{Entry, Outcome, Position, ServiceName, StatePatch, StateSlice};

use crate::{
    AttemptRequest, AttemptResponse, EncodedRequest, EncodedResponse, Handshake, KnownReplica,
    LoadReport,
};

/// One frame. The order of variants and fields determines the wire format and must not change.
///
/// Large payloads are boxed, because each frame is as long as the largest variant.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Frame {
    /// First frame in each direction: the sender's identity and the purpose of the connection.
    Handshake(Box<Handshake>),
    /// Response to a handshake that is refused; holds the reason.
    HandshakeRefused(String),
    /// Replicas that the sender knows.
    KnownReplicas(Vec<KnownReplica>),
    /// A consensus message.
    Consensus(mencius::Frame),
    /// Sent to a disk that replaced a member of the log: the instance after which the new disk may
    /// vote, and the disks of the members.
    VotingRange {
        /// Last instance in which the new disk may not vote.
        votes_after: u64,
        /// Replica number and disk of each member.
        pinned_disks: Vec<(u16, u64)>,
    },
    /// An entry for the log, from a node to a replica.
    ForwardEntry {
        /// Repeated in the response.
        request_id: u64,
        /// The entry.
        entry: Box<Entry>,
    },
    /// The outcome of a forwarded entry.
    EntryOutcome {
        /// Request id of the [`Frame::ForwardEntry`].
        request_id: u64,
        /// `None` if no majority decided before the timeout.
        outcome: Option<Outcome>,
    },
    /// Subscribes to state updates; they begin once the publisher has reached `held_position`.
    Subscribe {
        /// Services for which the subscriber wants updates.
        services: BTreeSet<ServiceName>,
        /// Position that the subscriber has reached.
        held_position: Position,
    },
    /// The complete state of the services in the subscription.
    StateUpdate(Box<StateSlice>),
    /// The changes since the last update or patch on this connection.
    StatePatch(Box<StatePatch>),
    /// Requests a proof that the subscriber's state is current (a freshness proof).
    RequestProof {
        /// Repeated in the proof.
        request_id: u64,
    },
    /// Freshness proof: every entry accepted before the request was sent is at or below `position`.
    Proof {
        /// Request id of the [`Frame::RequestProof`].
        request_id: u64,
        /// Position that the subscriber must have reached for its state to be current.
        position: Position,
    },
    /// The sender is alive.
    Heartbeat,
    /// A number that increases with the sender's clock. Attempts return the latest one, from which
    /// the sender of watermarks determines their age.
    Watermark(u64),
    /// An attempt of a request.
    Attempt(Box<AttemptRequest>),
    /// The result of an attempt.
    AttemptResult {
        /// Request id of the [`AttemptRequest`].
        request_id: u64,
        /// The backend's response, or the error that occurred instead.
        reply: Box<Result<AttemptResponse, model::Error>>,
    },
    /// Requests all state of the peer.
    Inspect,
    /// Response to [`Frame::Inspect`]: the state as JSON.
    Inspection(Vec<u8>),
    /// Subscribes to changes of the cluster state (design 11.3).
    FollowClusterState {
        /// Position that the follower has reached already.
        held_position: Position,
    },
    /// A change of the cluster state.
    ClusterStateUpdate {
        /// Whether `deltas` holds the complete state instead of the changes since `from`.
        is_snapshot: bool,
        /// Position before the change.
        from: Position,
        /// Position after the change.
        to: Position,
        /// An `rkyv` list of deltas.
        deltas: Vec<u8>,
    },
    /// A request, with its request number on this connection.
    ForwardedRequest(u32, Box<EncodedRequest>),
    /// Cancels the request with this number: its caller no longer waits.
    CancelRequest(u32),
    /// A load report of a backend.
    LoadReport(Box<LoadReport>),
    /// The response to the request with the first number. The second number is the current queue
    /// delay at the sender, in microseconds.
    ForwardedResponse(u32, u32, Box<EncodedResponse>),
    /// The error of the request with the first number, which has no response. The second number is
    /// the queue delay, as in [`Frame::ForwardedResponse`].
    ForwardFailed(u32, u32, Box<model::Error>),
    /// The sender is shutting down and accepts no new requests.
    ShuttingDown,
    /// Assigns a replica number to a core machine (design 12.1).
    ReplicaAssignment {
        /// Replica number of the receiver.
        replica_id: u16,
        /// Number of replicas.
        replica_count: u16,
        /// Whether the log is new and starts with the disks in `pinned_disks`.
        founding: bool,
        /// Replica number and disk of each member.
        pinned_disks: Vec<(u16, u64)>,
    },
    /// No replica number is free for the core machine that requested one.
    NoReplicaAvailable,
    /// Sent as first frame instead of [`Frame::VotingRange`] if the sender replaced no member.
    FoundingReplica,
    /// Asks for the request with this number to be refused at once if its run has not begun;
    /// otherwise the request is answered as usual. Sent on connections of version 6 or later.
    WithdrawRequest(u32),
    /// The body of the next request or response with this number has this many bytes and follows
    /// its frame in parts. Sent on connections of version 6 or later.
    BodyFollows(u32, u64),
    /// The next bytes of an announced body, with the number of its request. Sent on connections of
    /// version 6 or later.
    BodyPart(u32, Vec<u8>),
}
