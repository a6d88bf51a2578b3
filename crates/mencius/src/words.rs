//! The words mates exchange and the writes a disk must keep (design 3.2, 3.3).

pub type Instance = u64;
pub type Seat = u16;
pub type Micros = u64;
pub type Ticket = u64;
pub type ReadToken = u64;
/// A command as opaque bytes. No-op is never spelled out: it is a span.
pub type Value = Vec<u8>;
pub type Commands = Vec<(Instance, Value)>;
pub type Block = (Instance, Instance);

/// A ballot. `identity` is the disk incarnation of the proposer, so that no two
/// disks ever share a round (design 3.4). The coordinator's own round is `FIRST`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Round {
    pub counter: u64,
    pub identity: u64,
}

impl Round {
    pub const FIRST: Round = Round { counter: 0, identity: 0 };
    /// What is known to be chosen outranks every ballot when reported in a promise.
    pub const CHOSEN: Round = Round { counter: u64::MAX, identity: u64::MAX };
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Message {
    /// The receiver's own instances below `know` are settled at the sender.
    Hello {
        know: Instance,
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
    Beat {
        applied: Instance,
    },
    Prepare {
        owner: Seat,
        round: Round,
        block: Block,
    },
    Promise {
        owner: Seat,
        round: Round,
        block: Block,
        commands: Vec<(Instance, Round, Value)>,
        voids: Vec<(Instance, Instance, Round)>,
    },
    Propose {
        owner: Seat,
        round: Round,
        block: Block,
        commands: Commands,
    },
    Accepted {
        owner: Seat,
        round: Round,
        block: Block,
    },
    Refuse {
        owner: Seat,
        round: Round,
        block: Block,
    },
    Chosen {
        owner: Seat,
        block: Block,
        commands: Commands,
    },
    Fetch {
        from: Instance,
    },
    /// Every instance in `block`, whoever owns it, is chosen; those not listed are no-op.
    Run {
        block: Block,
        commands: Commands,
    },
    Snapshot {
        through: Instance,
        state: Vec<u8>,
    },
    ReadAsk {
        token: ReadToken,
    },
    ReadAnswer {
        token: ReadToken,
        highest: Option<Instance>,
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
    Counter(u64),
    Promise { owner: Seat, block: Block, round: Round },
    Accept { instance: Instance, round: Round, value: Value },
    Void { owner: Seat, block: Block, round: Round },
    Chosen { instance: Instance, value: Value },
    Skipped { owner: Seat, block: Block },
    Snapshot { through: Instance, state: Vec<u8> },
    VoteFrom(Instance),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Opened(Seat),
    Closed(Seat),
    Frame(Seat, Frame),
    Synced(Ticket),
    Submit(Value),
    Read(ReadToken),
    /// Whoever held this seat before answers for all instances up to `upto`; this disk for those after.
    VoteFrom(Instance),
    /// Another disk takes this seat over after this instance.
    VoteUntil(Instance),
    /// Moves the log past an instance, so that what takes effect there does.
    Leap(Instance),
    /// The driver's state after everything applied so far: the log below may go.
    Snapshot {
        through: Instance,
        state: Vec<u8>,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send(Seat, Frame),
    /// With `afresh` the writes are the whole state and replace what the disk held.
    Persist {
        ticket: Ticket,
        writes: Vec<Write>,
        afresh: bool,
    },
    Apply(Instance, Value),
    /// An own suggestion that took no effect: its instance went to no-op, or this seat may suggest again after a pause.
    /// The driver submits it again while somebody waits for it, and drops it otherwise.
    Overruled(Value),
    Install {
        through: Instance,
        state: Vec<u8>,
    },
    ReadReady(ReadToken),
}

/// Nobody promises or accepts further than this above what it has applied, so that whoever votes above a
/// change of holders by more has applied the change. Eight times the largest β allowed (design 4.4).
pub const WINDOW: Instance = 1_000_000;

/// Settings of the ordering. Defaults and their reasons: design 3.7.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    pub alpha: u64,
    pub tau: Micros,
    pub beta: u64,
    pub beat_every: Micros,
    pub suspect_after: Micros,
    pub suspect_at_most: Micros,
    pub stuck_fetch: Micros,
    pub stuck_revoke: Micros,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            alpha: 20,
            tau: 50_000,
            beta: 100_000,
            beat_every: 50_000,
            suspect_after: 300_000,
            suspect_at_most: 900_000,
            stuck_fetch: 100_000,
            stuck_revoke: 250_000,
        }
    }
}

/// Instance cn + p belongs to p (paper 4.2).
pub fn first_own(from: Instance, owner: Seat, seats: u16) -> Instance {
    let seats = seats as u64;
    from + (owner as u64 + seats - from % seats) % seats
}
