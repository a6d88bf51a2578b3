//! Requests and answers between the nodes beside two back ends (design 13.2).

use crate::Headers;
use model::{BackEndName, Micros, ServiceName};

/// A request on its way to the node beside the back end that is to run it (design 13.2).
#[derive(Clone, Debug, PartialEq)]
pub struct Cue {
    pub back_end: BackEndName,
    /// The service of the machine where the request began.
    pub caller: ServiceName,
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub key: Option<u16>,
    /// What is left of the wait, and of the time in which an answer is worth most.
    pub left: Micros,
    pub aim: Micros,
    pub rank: u8,
    pub repeatable: bool,
    /// Others passed it over: the back end is to take it however it does (design 13.8).
    pub anyway: bool,
}

/// A cue as it is said on a conn (design 13.2).
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct SaidCue {
    said: crate::Said,
    target: String,
    body: Vec<u8>,
    key: Option<u16>,
    left: u32,
    aim: u32,
    rank: u8,
    repeatable: bool,
    anyway: bool,
}

const TO: &str = ":to";
const FROM: &str = ":from";
const METHOD: &str = ":method";

/// An hour; no wait is longer.
fn short(time: Micros) -> u32 {
    time.min(3_600_000_000) as u32
}

impl Cue {
    pub fn say(self, speaker: &mut crate::Speaker) -> SaidCue {
        let ours = [(TO, self.back_end), (FROM, self.caller), (METHOD, self.method)].map(|(name, held)| (name.to_string(), held.into_bytes()));
        SaidCue {
            said: speaker.say(ours.into_iter().chain(self.headers).collect()),
            target: self.target,
            body: self.body,
            key: self.key,
            left: short(self.left),
            aim: short(self.aim),
            rank: self.rank,
            repeatable: self.repeatable,
            anyway: self.anyway,
        }
    }
}

impl SaidCue {
    pub fn hear(self, listener: &mut crate::Listener) -> Option<Cue> {
        let (ours, headers): (Headers, Headers) = listener.hear(self.said)?.into_iter().partition(|(name, _)| name.starts_with(':'));
        let own = |name: &str| ours.iter().find(|(held, _)| held == name).and_then(|(_, value)| String::from_utf8(value.clone()).ok());
        Some(Cue {
            back_end: own(TO)?,
            caller: own(FROM)?,
            method: own(METHOD)?,
            target: self.target,
            headers,
            body: self.body,
            key: self.key,
            left: self.left as Micros,
            aim: self.aim as Micros,
            rank: self.rank,
            repeatable: self.repeatable,
            anyway: self.anyway,
        })
    }
}

/// A back end's answer as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Take {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct SaidTake {
    said: crate::Said,
    status: u16,
    body: Vec<u8>,
}

impl Take {
    pub fn say(self, speaker: &mut crate::Speaker) -> SaidTake {
        SaidTake { said: speaker.say(self.headers), status: self.status, body: self.body }
    }
}

impl SaidTake {
    pub fn hear(self, listener: &mut crate::Listener) -> Option<Take> {
        Some(Take { headers: listener.hear(self.said)?, status: self.status, body: self.body })
    }
}
