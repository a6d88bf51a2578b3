//! The data types that make up a replica's state. The modules named after protocol actions operate
//! on them.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordinator_log::PromiseReport;
use crate::messages::{
    Block, Commands, Frame, Instance, Micros, PersistTicket, ProposalNumber, ReadToken, ReplicaId,
    Value, Write,
};

/// The state that a replica keeps about a peer and the connection to it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub connected: bool,
    pub last_received_at: Micros,
    /// The peer is suspected after a silence longer than this; grows with each false suspicion.
    pub suspicion_timeout: Micros,
    pub suspected: bool,
    /// The highest cursor sent to the peer.
    pub announced_cursor: Instance,
    /// The time when the peer last had no outstanding skips, or was last sent a `Skip` message.
    pub announced_at: Micros,
    pub last_sent: Micros,
    /// The peer has reported that all instances below this one are applied there.
    pub applied: Instance,
    /// The outcomes last sent on this connection.
    pub sent_outcomes: Option<SentOutcomes>,
}

impl Peer {
    pub(crate) fn new(now: Micros, suspicion_timeout: Micros) -> Self {
        Peer {
            connected: false,
            last_received_at: now,
            suspicion_timeout,
            suspected: false,
            announced_cursor: 0,
            announced_at: now,
            last_sent: now,
            applied: 0,
            sent_outcomes: None,
        }
    }
}

/// Outcomes that may still be in transit to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentOutcomes {
    /// The first instance that the peer requested.
    pub from: Instance,
    /// The same outcomes are not sent again before this time.
    pub resend_not_before: Micros,
}

/// A suggestion of this replica whose outcome is not yet known.
#[derive(Clone, Debug)]
pub(crate) struct OwnSuggestion {
    pub value: Value,
    pub accepted_by: BTreeSet<ReplicaId>,
}

/// The state machine of the driver at a position in the log.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// The first instance whose command is not in the state.
    pub next_instance: Instance,
    pub state: Vec<u8>,
}

/// The first instance that is not applied, and the time when it became the first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stall {
    pub instance: Instance,
    pub since: Micros,
}

#[derive(Clone, Debug)]
pub(crate) struct OutgoingFrame {
    pub to: ReplicaId,
    pub frame: Frame,
}

/// The writes and frames collected until the next sync.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    /// Writes that must be synced before the frames are sent.
    pub writes: Vec<Write>,
    /// Learned outcomes. They can be fetched again from a peer, so they do not cause a sync of
    /// their own and are written with the next one.
    pub outcomes: Vec<Write>,
    pub frames: Vec<OutgoingFrame>,
    /// Whether the complete state is written in place of the journal.
    pub replace_journal: bool,
}

impl Batch {
    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.frames.is_empty()
    }
}

/// A batch whose writes are being synced to the disk.
#[derive(Clone, Debug)]
pub(crate) struct PersistingBatch {
    pub ticket: PersistTicket,
    pub frames: Vec<OutgoingFrame>,
}

/// The coordinator, proposal number and block that identify a revocation in its messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Proposal {
    /// The coordinator whose instances are revoked.
    pub coordinator: ReplicaId,
    pub proposal_number: ProposalNumber,
    pub block: Block,
}

/// A revocation that this replica leads.
#[derive(Clone, Debug)]
pub(crate) struct Revocation {
    pub proposal_number: ProposalNumber,
    pub block: Block,
    /// The reports of the acceptors that promised.
    pub promises: BTreeMap<ReplicaId, PromiseReport>,
    /// The commands proposed in phase 2; `None` in phase 1.
    pub proposed_commands: Option<Commands>,
    pub accepted_by: BTreeSet<ReplicaId>,
    pub started_at: Micros,
}

impl Revocation {
    pub(crate) fn matches(&self, proposal: Proposal) -> bool {
        self.proposal_number == proposal.proposal_number && self.block == proposal.block
    }
}

/// The reads of this replica that are not answered yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadIndexState {
    /// The token of the latest round.
    pub last_token: ReadToken,
    /// Reads requested after the current round started; they need the next round.
    pub waiting: Vec<ReadToken>,
    pub current_round: Option<ReadIndexRound>,
    /// Reads for which a majority has responded; they wait until their read index is applied.
    pub confirmed: Vec<ConfirmedReads>,
}

/// A round of read-index requests to a majority.
#[derive(Clone, Debug)]
pub(crate) struct ReadIndexRound {
    pub token: ReadToken,
    /// The reads that the round serves.
    pub requested_by: Vec<ReadToken>,
    /// The highest accepted instance of each replica that responded.
    pub responses: BTreeMap<ReplicaId, Option<Instance>>,
    /// The time when the requests were last sent.
    pub sent_at: Micros,
}

/// Reads that may be answered once the log is applied through `read_index`.
#[derive(Clone, Debug)]
pub(crate) struct ConfirmedReads {
    /// `None` if no command was ever accepted.
    pub read_index: Option<Instance>,
    pub tokens: Vec<ReadToken>,
}
