//! What the tasks around a replica tell its event loop.
//!
//! Callers do not build these: each has a method on [`super::ReplicaHandle`], which sends the
//! command and awaits the answer where there is one.

use mencius::{Frame, PersistTicket, ReplicaId, Write};
use model::cluster_state::items::Items;
use model::{Entry, Outcome, Position};
use storage::DiskId;
use tokio::sync::oneshot;
use transport::FrameSender;

/// Where the outcome of a submitted entry is awaited.
pub(crate) type OutcomeSender = oneshot::Sender<Outcome>;

/// Replicas and the disk that holds each, in the form in which frames and the disk carry them.
pub(crate) type Members = Vec<(ReplicaId, DiskId)>;

/// Tells one connection to a peer from the ones before and after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionToken(pub(crate) u64);

/// One input of the event loop.
pub(crate) enum Command {
    /// Proposes an entry and answers with its outcome once it is applied here.
    Submit { entry: Entry, answer: OutcomeSender },
    /// Answers once everything accepted before is applied here.
    ReadBarrier { answer: oneshot::Sender<Position> },
    /// A follower holds the cluster state up to `held`; updates go to it from now on (design 11.3).
    Follow { held: Position, sender: FrameSender },
    /// A follower asks for a proof, on the channel that carries its updates.
    RequestProof {
        request_id: u64,
        sender: FrameSender,
    },
    /// Answers with the items as applied here, without a read barrier.
    ReadItems { answer: oneshot::Sender<Items> },
    /// A connection to a pinned peer is open in both directions.
    PeerConnected {
        peer_id: ReplicaId,
        token: ConnectionToken,
        sender: FrameSender,
    },
    /// A frame of the replicated log.
    PeerFrame {
        peer_id: ReplicaId,
        token: ConnectionToken,
        frame: Frame,
    },
    /// A connection broke or fell silent.
    PeerDisconnected {
        peer_id: ReplicaId,
        token: ConnectionToken,
    },
    /// The writes of this batch are on disk.
    Synced { ticket: PersistTicket },
    /// A write failed and is retried, or (`None`) the disk works again.
    DiskStatus { error: Option<String> },
    /// The disk of this peer is on record.
    PeerPinned { peer_id: ReplicaId, disk_id: DiskId },
    /// A peer says that this disk replaces another: it votes only after the instance
    /// `votes_after`, beside these members.
    Admitted { votes_after: u64, members: Members },
    /// The new members, and with them where this disk begins to vote, are on disk.
    MembersReplaced {
        members: Members,
        writes: Vec<Write>,
    },
    /// A peer refused the connection, for this reason.
    RefusedByPeer { reason: String },
    /// A peer knows this disk as the first that holds its replica.
    FirstHolderConfirmed { peer_id: ReplicaId },
    /// An empty disk asks to become a replica that another disk holds; `same_address` is set if
    /// that other disk was last known at the very address of the empty one.
    ReplacementRequested {
        replica_id: ReplicaId,
        disk_id: DiskId,
        same_address: bool,
    },
    /// Time passes.
    Tick,
}
