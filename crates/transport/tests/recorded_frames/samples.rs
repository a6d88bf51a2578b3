//! Samples of all frames.

use crate::recorded_variants::every_variant;
use mencius::{Message, Round};
use model::standing::Report;
use model::{Act, Cause, Entry, Outcome, Slice, Trouble};
use transport::{CoreSeat, Cue, Dispatch, Frame, Greeting, Headers, Load, Purpose, Reply, Speaker, Take};

const IDENTITY: u64 = 0x1122_3344_5566_7788;

pub fn text(text: &str) -> String {
    text.to_string()
}

pub fn purposes() -> Vec<(&'static str, Purpose)> {
    every_variant!(Purpose {
        "acquaint": Purpose::Acquaint => Purpose::Acquaint,
        "core": Purpose::Core => Purpose::Core,
        "subscribe": Purpose::Subscribe => Purpose::Subscribe,
        "call": Purpose::Call => Purpose::Call,
        "watch": Purpose::Watch => Purpose::Watch,
        "look": Purpose::Look => Purpose::Look,
        "enlist": Purpose::Enlist => Purpose::Enlist,
    })
}

pub fn core_seat() -> CoreSeat {
    CoreSeat { seat: 2, identity: IDENTITY, address: text("10.0.0.1:7000"), zone: text("z0"), starts: 4 }
}

pub fn greeting(purpose: Purpose) -> Greeting {
    Greeting {
        purpose,
        name: text("c2"),
        zone: text("z0"),
        address: text("10.0.0.1:7000"),
        incarnation: 0x0a0b_0c0d,
        core: Some((2, 3, IDENTITY)),
        blank: true,
        expects: Some(71),
        known: vec![core_seat()],
    }
}

pub fn headers(number: u32) -> Headers {
    let held = [("host", text("seats.example")), ("try", format!("{number:08x}"))];
    held.map(|(name, value)| (name.to_string(), value.into_bytes())).into()
}

pub fn cue(number: u32) -> Cue {
    Cue {
        back_end: text("b1"),
        caller: text("web"),
        method: text("POST"),
        target: text("/book/17?row=4"),
        headers: headers(number),
        body: b"a body".to_vec(),
        key: Some(4_711),
        left: 1_500_000,
        aim: 150_000,
        rank: 3,
        repeatable: true,
        anyway: false,
    }
}

pub fn take() -> Take {
    Take { status: 201, headers: headers(7), body: b"an answer".to_vec() }
}

pub fn dispatch() -> Dispatch {
    Dispatch {
        number: 81,
        try_id: text("try-1"),
        ordinal: 2,
        sender_service: text("web"),
        lane: text("book"),
        service: text("seat"),
        back_end: text("b1"),
        incarnation: (3 << 32) | 0x0bad_cafe,
        method: text("PUT"),
        path: text("/book/17"),
        query: text("row=4"),
        headers: headers(1),
        body: b"a body".to_vec(),
        key: Some(text("17")),
        fence: Some(9),
        left: 1_500_000,
        importance: 7,
        mark: 82,
    }
}

pub fn reply() -> Reply {
    Reply { status: 200, headers: headers(2), body: b"an answer".to_vec(), seal: text("sealed") }
}

pub fn load() -> Load {
    Load {
        service: text("seat"),
        back_end: text("b1"),
        slots: 6,
        run: 12_345,
        runs: 678,
        asked: vec![(0, 99, 1.5), (100, 4_000, 0.25)],
        seen: 12.75,
        ill: true,
    }
}

pub fn entry() -> Entry {
    let act = Act::Standing(Report::NodeLeft { node: text("n1"), incarnation: 5, clean: true });
    Entry { origin: text("n1"), life: 5, sequence: 41, act }
}

pub fn slice(position: u64) -> Slice {
    Slice { position, longest: [(text("seat"), position)].into(), ..Slice::default() }
}

pub fn frames() -> Vec<(&'static str, Frame)> {
    every_variant!(Frame {
        "greeting": Frame::Greeting(_) => Frame::Greeting(Box::new(greeting(Purpose::Core))),
        "refusal": Frame::Refusal(_) => Frame::Refusal(text("why not")),
        "known": Frame::Known(_) => Frame::Known(vec![core_seat()]),
        "core": Frame::Core(_) => Frame::Core(mencius::Frame {
            cursor: 61,
            message: Message::Propose {
                owner: 2,
                round: Round { counter: 3, identity: IDENTITY },
                block: (62, 70),
                commands: vec![(65, vec![0xa1, 0xa2, 0xa3])],
            },
        }),
        "admit": Frame::Admit { .. } => Frame::Admit { upto: 71, pins: vec![(0, 72), (2, 73)] },
        "forward": Frame::Forward { .. } => {
            Frame::Forward { number: 74, entry: Box::new(entry()) }
        },
        "answer": Frame::Answer { .. } => Frame::Answer {
            number: 75,
            outcome: Some(Outcome::Accepted { position: 76, version: 77 }),
        },
        "subscribe": Frame::Subscribe { .. } => {
            Frame::Subscribe { services: [text("seat"), text("web")].into(), held: 78 }
        },
        "news": Frame::News(_) => Frame::News(Box::new(slice(79))),
        "patch": Frame::Patch(_) => Frame::Patch(Box::new(slice(79).patch_to(&slice(80)))),
        "ask": Frame::Ask { .. } => Frame::Ask { number: 83 },
        "proof": Frame::Proof { .. } => Frame::Proof { number: 84, position: 85 },
        "beat": Frame::Beat => Frame::Beat,
        "mark": Frame::Mark(_) => Frame::Mark(86),
        "dispatch": Frame::Dispatch(_) => Frame::Dispatch(Box::new(dispatch())),
        "reply": Frame::Reply { .. } => {
            Frame::Reply { number: 87, reply: Box::new(Ok(reply())) }
        },
        "look": Frame::Look => Frame::Look,
        "seen": Frame::Seen(_) => Frame::Seen(b"{}".to_vec()),
        "follow": Frame::Follow { .. } => Frame::Follow { held: 88 },
        "bulletin": Frame::Bulletin { .. } => {
            Frame::Bulletin { afresh: true, from: 89, to: 90, deltas: vec![0xb1, 0xb2] }
        },
        "cue": Frame::Cue(..) => {
            Frame::Cue(91, Box::new(cue(1).say(&mut Speaker::default())))
        },
        "cancel": Frame::Cancel(_) => Frame::Cancel(92),
        "load": Frame::Load(_) => Frame::Load(Box::new(load())),
        "taken": Frame::Taken(..) => {
            Frame::Taken(93, 94, Box::new(take().say(&mut Speaker::default())))
        },
        "untaken": Frame::Untaken(..) => {
            Frame::Untaken(95, 96, Box::new(Trouble::new(Cause::Overloaded, "full")))
        },
        "leaving": Frame::Leaving => Frame::Leaving,
        "roster": Frame::Roster { .. } => Frame::Roster {
            seat: 1,
            seats: 3,
            founded: true,
            pins: vec![(0, 97), (2, 98)],
        },
        "no-seat": Frame::NoSeat => Frame::NoSeat,
        "founder": Frame::Founder => Frame::Founder,
    })
}

/// Frames that look otherwise within the same variant.
pub fn further_frames() -> Vec<(String, Frame)> {
    let greetings = purposes().into_iter().map(|(name, purpose)| (format!("greeting-{name}"), Frame::Greeting(Box::new(greeting(purpose)))));
    let of_a_node = Greeting { core: None, blank: false, expects: None, known: Vec::new(), ..greeting(Purpose::Call) };
    let plain_dispatch = Dispatch { key: None, fence: None, ..dispatch() };
    let lost = Trouble { retry_after: None, ..Trouble::new(Cause::MateLost, "cut") };
    let others = [
        ("greeting-of-a-node", Frame::Greeting(Box::new(of_a_node))),
        ("answer-not-known", Frame::Answer { number: 99, outcome: None }),
        ("dispatch-without-a-key", Frame::Dispatch(Box::new(plain_dispatch))),
        ("reply-of-trouble", Frame::Reply { number: 100, reply: Box::new(Err(lost)) }),
    ];
    greetings.chain(others.map(|(name, frame)| (name.to_string(), frame))).collect()
}
