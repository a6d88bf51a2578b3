//! The parts of a replica's state. What happens to them is in the modules named by action.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordinator_log::PromiseReport;
use crate::messages::{
    Block, Commands, Frame, Instance, Micros, PersistTicket, ProposalNumber, ReadToken, ReplicaId,
    Value, Write,
};

/// What this replica knows of another one and of the connection to it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub connected: bool,
    pub last_heard: Micros,
    /// Silence for longer than this raises suspicion; grows with each mistake.
    pub suspicion_timeout: Micros,
    pub suspected: bool,
    /// The highest cursor put on a frame for this peer.
    pub announced_cursor: Instance,
    /// When the peer last had nothing outstanding, or was sent a skip for what was.
    pub announced_at: Micros,
    pub last_sent: Micros,
    /// All instances below are applied at the peer, as far as it has said.
    pub applied: Instance,
    /// The outcomes sent last on this connection.
    pub sent_outcomes: Option<SentOutcomes>,
}

impl Peer {
    pub(crate) fn new(now: Micros, suspicion_timeout: Micros) -> Self {
        Peer {
            connected: false,
            last_heard: now,
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

/// Outcomes that may still be on their way to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentOutcomes {
    /// The first instance that the peer asked for.
    pub from: Instance,
    /// Before this time the same is not sent again.
    pub resend_not_before: Micros,
}

/// An own suggestion whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct OwnSuggestion {
    pub value: Value,
    pub accepted_by: BTreeSet<ReplicaId>,
}

/// The state machine of the driver at some point of the log.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// The first instance whose command is not in the state.
    pub next_instance: Instance,
    pub state: Vec<u8>,
}

/// The first instance that is not applied, and since when it has been that one.
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

/// What gathers until the next sync.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    /// Writes that must be synced before the frames leave.
    pub writes: Vec<Write>,
    /// Learned outcomes. They can be asked for again, so they cause no sync and go with the next.
    pub outcomes: Vec<Write>,
    pub frames: Vec<OutgoingFrame>,
    /// The whole state is to be written in place of the journal.
    pub replace_journal: bool,
}

impl Batch {
    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.frames.is_empty()
    }
}

/// A batch whose writes are on their way to the disk.
#[derive(Clone, Debug)]
pub(crate) struct PersistingBatch {
    pub ticket: PersistTicket,
    pub frames: Vec<OutgoingFrame>,
}

/// What the messages of one revocation speak of.
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
    /// By the acceptor.
    pub promises: BTreeMap<ReplicaId, PromiseReport>,
    /// The commands proposed in phase 2; `None` in phase 1.
    pub proposed_commands: Option<Commands>,
    pub accepted_by: BTreeSet<ReplicaId>,
    pub started_at: Micros,
}

impl Revocation {
    pub(crate) fn is_of(&self, proposal: Proposal) -> bool {
        self.proposal_number == proposal.proposal_number && self.block == proposal.block
    }
}

/// The reads of this replica, from request to answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadIndexState {
    /// The token of the latest round.
    pub last_token: ReadToken,
    /// Requested since the round under way set out; they need a round of their own.
    pub waiting: Vec<ReadToken>,
    pub current_round: Option<ReadIndexRound>,
    /// A majority has responded; what remains is to apply through the instance named.
    pub confirmed: Vec<ConfirmedReads>,
}

/// A round of messages to a majority.
#[derive(Clone, Debug)]
pub(crate) struct ReadIndexRound {
    pub token: ReadToken,
    /// The reads that it serves.
    pub requested_by: Vec<ReadToken>,
    /// The highest accepted instance of each replica that responded.
    pub responses: BTreeMap<ReplicaId, Option<Instance>>,
    /// When its requests were last sent.
    pub sent_at: Micros,
}

/// Reads that may be answered once the log is applied through `read_index`.
#[derive(Clone, Debug)]
pub(crate) struct ConfirmedReads {
    /// `None` where no command was ever accepted.
    pub read_index: Option<Instance>,
    pub tokens: Vec<ReadToken>,
}
