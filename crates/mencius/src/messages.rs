//! The data types of a replica's interface: messages to its peers, writes to its disk, inputs and
//! effects (design 3.2, 3.3).
//!
//! [`Frame`], [`Message`], [`Write`] and [`ProposalNumber`] are stored and sent in the `rkyv`
//! format, which identifies fields and variants by position: names may change, but the order and
//! number of fields and variants must not. For the same reason these types hold plain tuples.

/// The number of a simple consensus instance (paper 4.2), counted from 0.
///
/// A field that is the end of a range or a progress mark holds the first instance not included.
pub type Instance = u64;
/// The number of a replica in its group, counted from 0.
pub type ReplicaId = u16;
/// A time or a duration in microseconds. The driver chooses the epoch of times.
pub type Micros = u64;
/// Identifies an [`Effect::Persist`] in the [`Input::Persisted`] that completes it.
pub type PersistTicket = u64;
/// Identifies a read request of the driver, or a read-index round that serves such requests.
pub type ReadToken = u64;
/// A command as opaque bytes. A no-op has no value: every instance of a block that is not listed
/// among the block's commands is a no-op.
pub type Value = Vec<u8>;
/// Commands, each with its instance.
pub type Commands = Vec<(Instance, Value)>;
/// A half-open range of instances: the first number is included, the second is not. Where a block
/// is given together with a coordinator, it covers that coordinator's instances only.
pub type Block = (Instance, Instance);
/// A command in a promise, with the number of the highest proposal in which it was accepted.
pub type ReportedCommand = (Instance, ProposalNumber, Value);
/// The start and end of a range of instances in a promise, and the number of the highest proposal
/// that listed no command in the range except those reported.
pub type ReportedNoOps = (Instance, Instance, ProposalNumber);

/// The number of a proposal in an instance: the round of Coordinated Paxos (paper 4.2).
///
/// Ordered by counter, then by disk. `disk_id` identifies the proposer's disk, so that two disks
/// never use the same number, even if one replaced the other (design 3.4).
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct ProposalNumber {
    /// Chosen by the proposer above every counter that the proposer has received.
    pub counter: u64,
    /// The identity of the proposer's disk; 0 in the coordinator's initial number.
    pub disk_id: u64,
}

impl ProposalNumber {
    /// The initial round of every instance, led by its coordinator (paper 4.2).
    pub const INITIAL: ProposalNumber = ProposalNumber {
        counter: 0,
        disk_id: 0,
    };
    /// Marks outcomes in a promise that are known to be chosen; higher than any proposal number.
    pub const CHOSEN: ProposalNumber = ProposalNumber {
        counter: u64::MAX,
        disk_id: u64::MAX,
    };
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Message {
    /// The first message on a connection: the outcomes that the sender already knows (design 3.5).
    Hello {
        /// The sender knows the outcome of all of the receiver's own instances below this one.
        learned_below: Instance,
        /// The sender has applied all instances below this one.
        applied: Instance,
    },
    /// From here on, the receiver may derive skips from the cursors of this connection, for
    /// instances from `from` on (design 3.5).
    Resync {
        /// The first of the sender's own instances that this connection covers.
        from: Instance,
    },
    /// The coordinator proposes a command in its instance (paper 4.2, Suggest).
    Suggest {
        /// An instance of the sender.
        instance: Instance,
        /// The command.
        value: Value,
    },
    /// The sender accepted a suggestion and has synced it to its disk.
    Accept {
        /// The instance of the suggestion.
        instance: Instance,
    },
    /// A majority accepted the suggestion, so its command is chosen.
    Learn {
        /// The instance of the suggestion.
        instance: Instance,
    },
    /// Announces skips through the cursor of its frame; has no content of its own (paper 4.4,
    /// Accelerator 1).
    Skip,
    /// Shows that the sender is running when it has no other message to send.
    Heartbeat {
        /// The sender has applied all instances below this one.
        applied: Instance,
    },
    /// Phase 1 of a revocation (paper 4.2, Revoke).
    Prepare {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number that the receiver is asked to promise.
        proposal_number: ProposalNumber,
        /// The block in which instances are revoked.
        block: Block,
    },
    /// The response to `Prepare`: the sender no longer accepts a proposal with a lower number.
    Promise {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number promised.
        proposal_number: ProposalNumber,
        /// The block that the promise covers.
        block: Block,
        /// The commands that the sender accepted in the block.
        commands: Vec<ReportedCommand>,
        /// The ranges of the block in which the sender accepted no-ops.
        accepted_noops: Vec<ReportedNoOps>,
    },
    /// Phase 2 of a revocation: proposes no-op for the whole block, except for the commands listed.
    Propose {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The block in which instances are revoked.
        block: Block,
        /// Commands that may already have been chosen.
        commands: Commands,
    },
    /// The response to `Propose`: the sender accepted the proposal and has synced it to its disk.
    AcceptProposal {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The block of the proposal.
        block: Block,
    },
    /// Rejects a suggestion or proposal: the sender has promised a higher number.
    Reject {
        /// The coordinator of the instances in the block.
        coordinator: ReplicaId,
        /// The number that the sender has promised.
        proposal_number: ProposalNumber,
        /// The block that the promise covers.
        block: Block,
    },
    /// The outcome of all instances of one coordinator in a block: those not listed are no-ops.
    Chosen {
        /// The coordinator of the instances in the block.
        coordinator: ReplicaId,
        /// The block of instances.
        block: Block,
        /// The commands chosen.
        commands: Commands,
    },
    /// Requests all outcomes that the receiver knows.
    FetchOutcomes {
        /// The first instance requested.
        from: Instance,
    },
    /// The outcome of all instances of all coordinators in a block: those not listed are no-ops.
    Outcomes {
        /// The block of instances.
        block: Block,
        /// The commands chosen.
        commands: Commands,
    },
    /// The sender's latest snapshot, for a replica that requests instances already compacted away.
    Snapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The serialized state machine of the driver.
        state: Vec<u8>,
    },
    /// Requests the highest accepted instance, for a linearizable read (design 3.9).
    ReadIndexRequest {
        /// Identifies the read-index round at the sender.
        token: ReadToken,
    },
    /// The response to `ReadIndexRequest`.
    ReadIndexResponse {
        /// The token of the request.
        token: ReadToken,
        /// The highest instance in which the sender accepted a command, if any.
        highest_accepted: Option<Instance>,
    },
}

/// A message with the sender's cursor.
///
/// The cursor carries the implicit skips that Optimizations 1 and 2 attach to accept and suggest
/// messages (paper 4.4), here made explicit on every frame: below the cursor, the sender suggests
/// nothing that it has not already sent on this connection, so its other instances are no-ops.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Frame {
    /// The first instance in which the sender may still suggest a command.
    pub cursor: Instance,
    /// The message.
    pub message: Message,
}

/// A change of the durable state, as recorded in the journal on the disk.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Write {
    /// The next own instance to suggest in (I_p of paper 4.3); never decreases.
    Index(Instance),
    /// The highest proposal counter used or received; never decreases.
    ProposalCounter(u64),
    /// A promise made in response to `Prepare` or `Propose`.
    Promise {
        /// The coordinator of the instances in the block.
        coordinator: ReplicaId,
        /// The block that the promise covers.
        block: Block,
        /// The number promised.
        proposal_number: ProposalNumber,
    },
    /// A command was accepted.
    Accept {
        /// The instance of the command.
        instance: Instance,
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The command.
        value: Value,
    },
    /// A proposal of no-ops was accepted. Its commands, if any, are recorded by `Accept` under the
    /// same number.
    AcceptNoOps {
        /// The coordinator of the instances in the block.
        coordinator: ReplicaId,
        /// The block of the proposal.
        block: Block,
        /// The number of the proposal.
        proposal_number: ProposalNumber,
    },
    /// A command is known to be chosen.
    Chosen {
        /// The instance of the command.
        instance: Instance,
        /// The command.
        value: Value,
    },
    /// Instances of a coordinator are known to be no-ops, except those with a chosen command.
    Skipped {
        /// The coordinator of the instances in the block.
        coordinator: ReplicaId,
        /// The block of instances.
        block: Block,
    },
    /// A snapshot. The log below `next_instance` is compacted away.
    Snapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The serialized state machine of the driver.
        state: Vec<u8>,
    },
    /// The first instance in which this disk may vote (design 4.4); never decreases.
    VotingRangeStart(Instance),
}

/// An event that a driver passes to [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A new connection to a peer was opened; nothing has been sent on it yet.
    ConnectionOpened(ReplicaId),
    /// The connection to a peer was closed; all frames in transit are lost.
    ConnectionClosed(ReplicaId),
    /// A frame arrived from a peer. Frames are passed in the order in which they were sent.
    Frame(ReplicaId, Frame),
    /// The writes of the [`Effect::Persist`] with this ticket are synced to the disk.
    Persisted(PersistTicket),
    /// Submits a command for ordering.
    Submit(Value),
    /// Requests a linearizable read; answered by [`Effect::ReadReady`] with the same token.
    ReadIndex(ReadToken),
    /// Another disk voted for this replica in the instances up to and including this one; this
    /// disk votes in the instances after it.
    StartVotingAfter(Instance),
    /// Another disk votes for this replica in the instances after this one.
    StopVotingAfter(Instance),
    /// Another disk votes for some replica in the instances after this one, so that the instances
    /// up to it and those after it are decided by different members. Ignored if the instance is
    /// applied.
    MembersChangeAfter(Instance),
    /// Skips the own instances up to and including this one, so that the log advances past it and
    /// a change that takes effect there is applied.
    SkipThrough(Instance),
    /// The driver's state machine with all commands below `next_instance` applied. The log below
    /// may be compacted away.
    Snapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The serialized state machine of the driver.
        state: Vec<u8>,
    },
    /// Time has passed. A driver must send this at least once every half
    /// [`heartbeat_interval`](crate::Config::heartbeat_interval).
    Tick,
}

/// An action that a driver must carry out, in the order of
/// [`Replica::take_effects`](crate::Replica::take_effects).
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a frame to a peer, in order. If a frame cannot be sent, the connection must be closed.
    Send(ReplicaId, Frame),
    /// Sync the writes to the disk atomically, then report the ticket.
    Persist {
        /// The ticket to return in [`Input::Persisted`].
        ticket: PersistTicket,
        /// The writes to append to the journal, in this order.
        writes: Vec<Write>,
        /// Whether the writes are the complete state and replace the contents of the journal.
        replace_journal: bool,
    },
    /// Apply a committed command to the state machine.
    Apply(Instance, Value),
    /// Returns a submitted command that is not known to be chosen: its instance was decided as
    /// no-op or passed by a snapshot, or the command was waiting for the voting range and may be
    /// suggested now. The driver submits the command again if a caller still waits for it, and
    /// drops it otherwise (Rule 4 of paper 4.3 as changed in design 3.2).
    NotChosen(Value),
    /// Replace the state machine by a snapshot.
    InstallSnapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The serialized state machine, as a driver passed it to [`Input::Snapshot`].
        state: Vec<u8>,
    },
    /// The read with this token may now be answered from the current state machine.
    ReadReady(ReadToken),
}

/// Returns the smallest instance of `coordinator` that is not below `from`: instance cn + p belongs
/// to replica p (paper 4.2).
///
/// `replica_count` is the size n of the group and must not be 0.
pub fn first_instance_of(from: Instance, coordinator: ReplicaId, replica_count: u16) -> Instance {
    let replica_count = Instance::from(replica_count);
    from + (Instance::from(coordinator) + replica_count - from % replica_count) % replica_count
}
