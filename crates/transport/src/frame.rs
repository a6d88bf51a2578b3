//! All that our processes say to each other (design 4.2).

use model::{BackEndName, Incarnation, Micros, NodeName, Position, ServiceName, ZoneName};

#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Purpose {
    /// Only to learn which core seats are known.
    Acquaint,
    /// Seat to seat, the ordering's channel.
    Core,
    /// A node to a core seat or to its home: news, proofs, forwarded entries.
    Subscribe,
    /// Usher to usher: requests.
    Call,
    /// Beats to a watcher.
    Watch,
    /// A look at what a node believes.
    Look,
    /// A core machine without a seat asks for one (design 12.1).
    Enlist,
}

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct CoreSeat {
    pub seat: u16,
    pub identity: u64,
    pub address: String,
    pub zone: ZoneName,
    /// How often this disk was started: of one disk, the greater number has the better address.
    pub starts: u64,
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Greeting {
    pub purpose: Purpose,
    pub name: NodeName,
    pub zone: ZoneName,
    pub address: String,
    pub incarnation: Incarnation,
    /// Set by core seats only: seat, number of seats, disk identity.
    pub core: Option<(u16, u16, u64)>,
    /// A core seat's disk that has kept nothing yet.
    pub blank: bool,
    /// The disk that the caller of a core channel takes for the holder of the seat it calls.
    pub expects: Option<u64>,
    pub known: Vec<CoreSeat>,
}

pub type Headers = Vec<(String, Vec<u8>)>;

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Dispatch {
    pub number: u64,
    pub try_id: String,
    /// Counts the repeats of a try that may have run, on lanes that allow them.
    pub ordinal: u32,
    pub sender_service: ServiceName,
    pub lane: String,
    pub service: ServiceName,
    pub back_end: BackEndName,
    pub incarnation: Incarnation,
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub key: Option<String>,
    pub fence: Option<Position>,
    /// What is left of the sender's wait; the far side counts from receipt.
    pub left: Micros,
    pub importance: u8,
    /// The far side's latest mark seen on this conn: it tells how old the dispatch can be at most.
    pub mark: u64,
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Reply {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub seal: String,
}

/// What a back end is asked for and how fast it is, told to the node that places its service's keys (design 11.4).
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Load {
    pub service: ServiceName,
    pub back_end: BackEndName,
    pub slots: u32,
    /// Mean time of a run there, and of how many.
    pub run: Micros,
    pub runs: u32,
    /// Requests a second on ranges of the keys it holds, and how many requests say so.
    pub asked: Vec<(u16, u16, f32)>,
    pub seen: f32,
    /// Its runs come to nothing (design 13.8).
    pub ill: bool,
}

/// Large parts are boxed: a frame is as long as its longest part that is not.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Frame {
    Greeting(Box<Greeting>),
    Refusal(String),
    Known(Vec<CoreSeat>),
    Core(mencius::Frame),
    /// To a disk that took a seat over: after which instance it votes, and which disks hold the other seats.
    Admit {
        upto: u64,
        pins: Vec<(u16, u64)>,
    },
    Forward {
        number: u64,
        entry: Box<model::Entry>,
    },
    Answer {
        number: u64,
        outcome: Option<model::Outcome>,
    },
    /// News begins once the teller's book has reached `held`.
    Subscribe {
        services: std::collections::BTreeSet<ServiceName>,
        held: Position,
    },
    News(Box<model::Slice>),
    /// Against the last news or patch on this conn.
    Patch(Box<model::Patch>),
    Ask {
        number: u64,
    },
    /// Asked after `number` was sent: everything accepted before is in `position`.
    Proof {
        number: u64,
        position: Position,
    },
    Beat,
    Mark(u64),
    Dispatch(Box<Dispatch>),
    Reply {
        number: u64,
        reply: Box<Result<Reply, model::Trouble>>,
    },
    Look,
    Seen(Vec<u8>),
    /// Changes of the bill are wanted from here on (design 11.3).
    Follow {
        held: Position,
    },
    /// `deltas`: an `rkyv` list. `afresh` is all that stands, else what changed since `from`.
    Bulletin {
        afresh: bool,
        from: Position,
        to: Position,
        deltas: Vec<u8>,
    },
    Cue(u32, Box<crate::SaidCue>),
    /// The caller of this request waits for it no longer.
    Cancel(u32),
    Load(Box<Load>),
    /// How long a request would wait there now, and what came of this one.
    Taken(u32, u32, Box<crate::SaidTake>),
    Untaken(u32, u32, Box<model::Trouble>),
    /// The sender takes nothing new: it stops in good order.
    Leaving,
    /// Which seat a core machine is to take; `founded` says with whom the core begins (design 12.1).
    Roster {
        seat: u16,
        seats: u16,
        founded: bool,
        pins: Vec<(u16, u64)>,
    },
    NoSeat,
    /// Where a disk took its seat over by no change, this is the first word instead of `Admit`.
    Founder,
}
