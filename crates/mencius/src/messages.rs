//! The vocabulary of a replica: messages to its peers, writes to its disk, inputs and effects
//! (design 3.2, 3.3).
//!
//! [`Frame`], [`Message`], [`Write`] and [`ProposalNumber`] are stored and sent in `rkyv`'s form,
//! which goes by position: their names may change, the order and number of their fields and
//! variants may not. For the same reason they hold plain tuples.

/// The number of a simple consensus instance (paper 4.2), from 0.
///
/// Where a field marks how far something reaches, it holds the first instance not reached.
pub type Instance = u64;
/// The number of a replica in its group, from 0.
pub type ReplicaId = u16;
/// A time or a duration in microseconds. Times count from a point of the driver's choosing.
pub type Micros = u64;
/// Names one [`Effect::Persist`] until it is answered by [`Input::Persisted`].
pub type PersistTicket = u64;
/// Names a read of the driver, or a round of messages that serves reads.
pub type ReadToken = u64;
/// A command as opaque bytes. A no-op has no value: it is an instance in a block that is not
/// listed among the block's commands.
pub type Value = Vec<u8>;
/// Commands with the instances that they stand in.
pub type Commands = Vec<(Instance, Value)>;
/// The instances from the first on and below the second. Where a coordinator is named with it,
/// only that coordinator's instances in it are meant.
pub type Block = (Instance, Instance);
/// A command in a promise, with the highest proposal that it was accepted in.
pub type ReportedCommand = (Instance, ProposalNumber, Value);
/// The start and end of a range of instances in a promise, and the highest proposal that listed
/// no command in them but those reported.
pub type ReportedNoOps = (Instance, Instance, ProposalNumber);

/// The number of a proposal in an instance: the round of Coordinated Paxos (paper 4.2).
///
/// Ordered by counter, then by disk. `disk_id` is the proposer's disk, so that no two disks ever
/// share a number, even when one replaced the other (design 3.4).
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
    /// Raised by the proposer above every number that it has seen.
    pub counter: u64,
    /// The identity of the proposer's disk; 0 is the coordinator's own number.
    pub disk_id: u64,
}

impl ProposalNumber {
    /// The round that every instance starts in, with its coordinator as the leader (paper 4.2).
    pub const INITIAL: ProposalNumber = ProposalNumber {
        counter: 0,
        disk_id: 0,
    };
    /// Stands in a promise for what is known to be chosen: it outranks every proposal.
    pub const CHOSEN: ProposalNumber = ProposalNumber {
        counter: u64::MAX,
        disk_id: u64::MAX,
    };
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Message {
    /// The first message on a connection: what the sender already knows (design 3.5).
    Hello {
        /// The outcome of the receiver's own instances below is known to the sender.
        learned_below: Instance,
        /// All instances below are applied at the sender.
        applied: Instance,
    },
    /// The receiver may derive skips from cursors again: they count from `from` on (design 3.5).
    Resync {
        /// The first of the sender's own instances that is spoken of on this connection.
        from: Instance,
    },
    /// The coordinator proposes a command in its instance (paper 4.2, Suggest).
    Suggest {
        /// An instance of the sender.
        instance: Instance,
        /// The command.
        value: Value,
    },
    /// The sender accepted a suggestion and keeps it on its disk.
    Accept {
        /// The instance of the suggestion.
        instance: Instance,
    },
    /// A majority accepted the suggestion: it is chosen.
    Learn {
        /// The instance of the suggestion.
        instance: Instance,
    },
    /// Carries nothing but the cursor of its frame (paper 4.4, Accelerator 1).
    Skip,
    /// Shows that the sender runs, when it has nothing else to say.
    Heartbeat {
        /// All instances below are applied at the sender.
        applied: Instance,
    },
    /// Phase 1 of a revocation (paper 4.2, Revoke).
    Prepare {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number that the receiver is asked to promise.
        proposal_number: ProposalNumber,
        /// The range in which instances are revoked.
        block: Block,
    },
    /// The answer to `Prepare`: nothing with a lower number is accepted any more.
    Promise {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number promised.
        proposal_number: ProposalNumber,
        /// The range that the promise holds for.
        block: Block,
        /// The commands that the sender accepted in the range.
        commands: Vec<ReportedCommand>,
        /// Where the sender accepted no-ops in the range.
        accepted_noops: Vec<ReportedNoOps>,
    },
    /// Phase 2 of a revocation: no-op in the whole block, but for the commands listed.
    Propose {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The range in which instances are revoked.
        block: Block,
        /// Commands that may have been chosen before.
        commands: Commands,
    },
    /// The answer to `Propose`: the sender accepted it and keeps it on its disk.
    AcceptProposal {
        /// The coordinator whose instances are revoked.
        coordinator: ReplicaId,
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The range of the proposal.
        block: Block,
    },
    /// The sender has promised a higher number than that of a suggestion or proposal.
    Reject {
        /// The coordinator whose instances are meant.
        coordinator: ReplicaId,
        /// The number that the sender has promised.
        proposal_number: ProposalNumber,
        /// The range that the promise holds for.
        block: Block,
    },
    /// The outcome of all instances of one coordinator in a block: those not listed are no-ops.
    Chosen {
        /// The coordinator whose instances are meant.
        coordinator: ReplicaId,
        /// The range of the instances.
        block: Block,
        /// The commands chosen.
        commands: Commands,
    },
    /// Asks for all outcomes that the receiver knows.
    FetchOutcomes {
        /// The first instance asked for.
        from: Instance,
    },
    /// The outcome of all instances in a block, of whichever coordinator: those not listed are
    /// no-ops.
    Outcomes {
        /// The range of the instances.
        block: Block,
        /// The commands chosen.
        commands: Commands,
    },
    /// The sender's latest snapshot, for a replica that asks for what is compacted away.
    Snapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The driver's state machine.
        state: Vec<u8>,
    },
    /// Asks for the highest accepted instance, for a linearizable read (design 3.9).
    ReadIndexRequest {
        /// Names the round at the sender.
        token: ReadToken,
    },
    /// The answer to `ReadIndexRequest`.
    ReadIndexResponse {
        /// The token of the request.
        token: ReadToken,
        /// The highest instance in which the sender accepted a command, if there is one.
        highest_accepted: Option<Instance>,
    },
}

/// A message with the sender's cursor.
///
/// The cursor is what Optimizations 1 and 2 put into accept and suggest messages (paper 4.4), here
/// spelled out on every frame: the sender suggests nothing below it that is not already on this
/// connection, so its other instances below are no-ops.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Frame {
    /// The first instance that the sender may still suggest in.
    pub cursor: Instance,
    /// The message.
    pub message: Message,
}

/// A change of the durable state, as it stands in the journal on the disk.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Write {
    /// The next instance to suggest in (I_p of paper 4.3); only ever raised.
    Index(Instance),
    /// The highest proposal counter used or seen; only ever raised.
    ProposalCounter(u64),
    /// A promise, made in answer to `Prepare` or `Propose`.
    Promise {
        /// The coordinator whose instances the promise is for.
        coordinator: ReplicaId,
        /// The range of the instances.
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
    /// A proposal was accepted whose instances are no-ops, but for the commands kept with
    /// `Accept` under the same number.
    AcceptNoOps {
        /// The coordinator whose instances the proposal is for.
        coordinator: ReplicaId,
        /// The range of the instances.
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
    /// Instances of a coordinator are known to be no-ops, but for those with a chosen command.
    Skipped {
        /// The coordinator of the instances.
        coordinator: ReplicaId,
        /// The range of the instances.
        block: Block,
    },
    /// A snapshot; everything below it is compacted away.
    Snapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The driver's state machine.
        state: Vec<u8>,
    },
    /// The first instance that this disk may vote in (design 4.4); only ever raised.
    VotingRangeStart(Instance),
}

/// What a driver hands to [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A new connection to a peer, on which nothing was sent yet.
    ConnectionOpened(ReplicaId),
    /// The connection to a peer is gone, with all that was still on it.
    ConnectionClosed(ReplicaId),
    /// A frame from a peer, in the order of the connection.
    Frame(ReplicaId, Frame),
    /// The writes of this [`Effect::Persist`] are synced to the disk.
    Persisted(PersistTicket),
    /// A command to be ordered.
    Submit(Value),
    /// A linearizable read; answered by [`Effect::ReadReady`] with the same token.
    ReadIndex(ReadToken),
    /// Another disk voted in this replica's instances up to and including this one; this disk
    /// votes in those after it.
    StartVotingAfter(Instance),
    /// Another disk votes for this replica in the instances after this one.
    StopVotingAfter(Instance),
    /// Skips the own instances up to and including this one, so that the log passes it and what
    /// takes effect there does.
    SkipThrough(Instance),
    /// The driver's state machine with everything applied so far: the log below may go.
    Snapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The driver's state machine.
        state: Vec<u8>,
    },
    /// Time has passed: a driver gives this at least every half
    /// [`heartbeat_interval`](crate::Config::heartbeat_interval).
    Tick,
}

/// What a driver has to carry out, in the order of
/// [`Replica::take_effects`](crate::Replica::take_effects).
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a frame to a peer, in order. A frame that cannot be sent must close the connection.
    Send(ReplicaId, Frame),
    /// Sync the writes to the disk as one unit, then report the ticket.
    Persist {
        /// To be handed back in [`Input::Persisted`].
        ticket: PersistTicket,
        /// To be appended to the journal, in this order.
        writes: Vec<Write>,
        /// The writes are the whole state and replace what the journal held.
        replace_journal: bool,
    },
    /// Apply a committed command to the state machine.
    Apply(Instance, Value),
    /// A submitted command that is not known to be chosen: its instance went to no-op or was passed
    /// by a snapshot, or it waited for the voting range and may be suggested now. The driver submits
    /// it again while somebody waits for it, and drops it otherwise (Rule 4 of paper 4.3 as changed
    /// in design 3.2).
    NotChosen(Value),
    /// Replace the state machine by a snapshot.
    InstallSnapshot {
        /// The first instance whose command is not in the state.
        next_instance: Instance,
        /// The driver's state machine, as a replica handed it in.
        state: Vec<u8>,
    },
    /// The read with this token may be answered from the state machine as it stands now.
    ReadReady(ReadToken),
}

/// The smallest instance of `coordinator` that is not below `from`: instance cn + p belongs to
/// replica p (paper 4.2).
///
/// `replica_count` is the size n of the group and must not be 0.
pub fn first_instance_of(from: Instance, coordinator: ReplicaId, replica_count: u16) -> Instance {
    let replica_count = Instance::from(replica_count);
    from + (Instance::from(coordinator) + replica_count - from % replica_count) % replica_count
}
