//! The words mates exchange and the writes a disk must keep (design 3.2, 3.3).

pub type Instance = u64;
pub type ReplicaId = u16;
pub type Micros = u64;
pub type PersistTicket = u64;
pub type ReadToken = u64;
/// A command as opaque bytes. No-op is never spelled out: it is a span.
pub type Value = Vec<u8>;
pub type Commands = Vec<(Instance, Value)>;
pub type Block = (Instance, Instance);

/// A ballot. `identity` is the disk incarnation of the proposer, so that no two
/// disks ever share a round (design 3.4). The coordinator's own round is `FIRST`.
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
    pub counter: u64,
    pub disk_id: u64,
}

impl ProposalNumber {
    pub const INITIAL: ProposalNumber = ProposalNumber {
        counter: 0,
        disk_id: 0,
    };
    /// What is known to be chosen outranks every ballot when reported in a promise.
    pub const CHOSEN: ProposalNumber = ProposalNumber {
        counter: u64::MAX,
        disk_id: u64::MAX,
    };
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Message {
    /// The receiver's own instances below `know` are settled at the sender.
    Hello {
        learned_below: Instance,
        applied: Instance,
    },
    /// From here on the channel is unbroken: cursors count from `from` (design 3.5).
    Resync {
        from: Instance,
    },
    Suggest {
        instance: Instance,
        value: Value,
    },
    Accept {
        instance: Instance,
    },
    Learn {
        instance: Instance,
    },
    /// Carries nothing but the cursor of its frame (Accelerator 1).
    Skip,
    Heartbeat {
        applied: Instance,
    },
    Prepare {
        coordinator: ReplicaId,
        proposal_number: ProposalNumber,
        block: Block,
    },
    Promise {
        coordinator: ReplicaId,
        proposal_number: ProposalNumber,
        block: Block,
        commands: Vec<(Instance, ProposalNumber, Value)>,
        accepted_noops: Vec<(Instance, Instance, ProposalNumber)>,
    },
    Propose {
        coordinator: ReplicaId,
        proposal_number: ProposalNumber,
        block: Block,
        commands: Commands,
    },
    AcceptProposal {
        coordinator: ReplicaId,
        proposal_number: ProposalNumber,
        block: Block,
    },
    Reject {
        coordinator: ReplicaId,
        proposal_number: ProposalNumber,
        block: Block,
    },
    Chosen {
        coordinator: ReplicaId,
        block: Block,
        commands: Commands,
    },
    FetchOutcomes {
        from: Instance,
    },
    /// Every instance in `block`, whoever owns it, is chosen; those not listed are no-op.
    Outcomes {
        block: Block,
        commands: Commands,
    },
    Snapshot {
        next_instance: Instance,
        state: Vec<u8>,
    },
    ReadIndexRequest {
        token: ReadToken,
    },
    ReadIndexResponse {
        token: ReadToken,
        highest_accepted: Option<Instance>,
    },
}

/// `cursor`: the sender will suggest nothing below it that is not already on this channel.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Frame {
    pub cursor: Instance,
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Write {
    Index(Instance),
    ProposalCounter(u64),
    Promise {
        coordinator: ReplicaId,
        block: Block,
        proposal_number: ProposalNumber,
    },
    Accept {
        instance: Instance,
        proposal_number: ProposalNumber,
        value: Value,
    },
    AcceptNoOps {
        coordinator: ReplicaId,
        block: Block,
        proposal_number: ProposalNumber,
    },
    Chosen {
        instance: Instance,
        value: Value,
    },
    Skipped {
        coordinator: ReplicaId,
        block: Block,
    },
    Snapshot {
        next_instance: Instance,
        state: Vec<u8>,
    },
    VotingRangeStart(Instance),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    ConnectionOpened(ReplicaId),
    ConnectionClosed(ReplicaId),
    Frame(ReplicaId, Frame),
    Persisted(PersistTicket),
    Submit(Value),
    ReadIndex(ReadToken),
    /// Whoever held this seat before answers for all instances up to `upto`; this disk for those after.
    StartVotingAfter(Instance),
    /// Another disk takes this seat over after this instance.
    StopVotingAfter(Instance),
    /// Moves the log past an instance, so that what takes effect there does.
    SkipThrough(Instance),
    /// The driver's state after everything applied so far: the log below may go.
    Snapshot {
        next_instance: Instance,
        state: Vec<u8>,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send(ReplicaId, Frame),
    /// With `afresh` the writes are the whole state and replace what the disk held.
    Persist {
        ticket: PersistTicket,
        writes: Vec<Write>,
        replace_journal: bool,
    },
    Apply(Instance, Value),
    /// An own suggestion that took no effect: its instance went to no-op, or this seat may suggest again after a pause.
    /// The driver submits it again while somebody waits for it, and drops it otherwise.
    NotChosen(Value),
    InstallSnapshot {
        next_instance: Instance,
        state: Vec<u8>,
    },
    ReadReady(ReadToken),
}

/// Nobody promises or accepts further than this above what it has applied, so that whoever votes above a
/// change of holders by more has applied the change. Eight times the largest β allowed (design 4.4).
pub const VOTING_WINDOW: Instance = 1_000_000;

/// Settings of the ordering. Defaults and their reasons: design 3.7.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    pub alpha: u64,
    pub tau: Micros,
    pub beta: u64,
    pub heartbeat_interval: Micros,
    pub initial_suspicion_timeout: Micros,
    pub max_suspicion_timeout: Micros,
    pub stall_fetch_after: Micros,
    pub stall_revoke_after: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            alpha: 20,
            tau: 50_000,
            beta: 100_000,
            heartbeat_interval: 50_000,
            initial_suspicion_timeout: 300_000,
            max_suspicion_timeout: 900_000,
            stall_fetch_after: 100_000,
            stall_revoke_after: 250_000,
        }
    }
}

/// Instance cn + p belongs to p (paper 4.2).
pub fn first_instance_of(from: Instance, owner: ReplicaId, seats: u16) -> Instance {
    let seats = seats as u64;
    from + (owner as u64 + seats - from % seats) % seats
}
