//! The commands that other tasks send to the event loop of a replica.
//!
//! Callers do not construct them: each command has a method on [`super::ReplicaHandle`], which
//! sends it and awaits the answer if there is one.

use mencius::{Frame, PersistTicket, ReplicaId, Write};
use model::cluster_state::items::Items;
use model::{Entry, Outcome, Position};
use storage::DiskId;
use tokio::sync::oneshot;
use transport::FrameSender;

/// Sends the outcome of an entry to the caller that submitted it.
pub(crate) type OutcomeSender = oneshot::Sender<Outcome>;

/// Replicas with the disk that holds each, as they are sent in frames and stored on disk.
pub(crate) type Members = Vec<(ReplicaId, DiskId)>;

/// Distinguishes a connection to a peer from earlier and later connections to the same peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionToken(pub(crate) u64);

/// One input of the event loop.
pub(crate) enum Command {
    /// Proposes an entry, and answers with its outcome once it is applied here.
    Submit { entry: Entry, answer: OutcomeSender },
    /// Answers with the position once everything accepted before the command is applied here.
    ReadBarrier { answer: oneshot::Sender<Position> },
    /// A follower that holds the cluster state up to `held` is to be sent updates (design 11.3).
    Follow { held: Position, sender: FrameSender },
    /// A follower requests a freshness proof, which is sent on the channel that carries its
    /// updates.
    RequestProof {
        request_id: u64,
        sender: FrameSender,
    },
    /// Answers with the items applied here, without a read barrier.
    ReadItems { answer: oneshot::Sender<Items> },
    /// A connection to a peer whose disk is on record is open in both directions.
    PeerConnected {
        peer_id: ReplicaId,
        token: ConnectionToken,
        sender: FrameSender,
    },
    /// A frame of the replicated log arrived from a peer.
    PeerFrame {
        peer_id: ReplicaId,
        token: ConnectionToken,
        frame: Frame,
    },
    /// A connection to a peer was closed or timed out.
    PeerDisconnected {
        peer_id: ReplicaId,
        token: ConnectionToken,
    },
    /// The writes of the batch with this ticket are on disk.
    Synced { ticket: PersistTicket },
    /// A disk write failed and is retried; `None` if writes succeed again.
    DiskStatus { error: Option<String> },
    /// The disk of a peer was recorded.
    PeerPinned { peer_id: ReplicaId, disk_id: DiskId },
    /// A peer reported that this disk replaces another one: this disk votes only after the instance
    /// `votes_after`, together with these members.
    Admitted { votes_after: u64, members: Members },
    /// The new members and the accompanying writes, such as the start of the voting range, are on
    /// disk.
    MembersReplaced {
        members: Members,
        writes: Vec<Write>,
    },
    /// A peer refused the connection.
    RefusedByPeer { reason: String },
    /// A peer confirmed that no other disk held this replica before.
    FirstHolderConfirmed { peer_id: ReplicaId },
    /// An empty disk requests a replica that another disk holds; `same_address` is set if that
    /// other disk was last known at the address of the empty one. Answers whether the replacement
    /// was submitted.
    ReplacementRequested {
        replica_id: ReplicaId,
        disk_id: DiskId,
        same_address: bool,
        submitted: oneshot::Sender<bool>,
    },
    /// The tick interval has elapsed.
    Tick,
}
