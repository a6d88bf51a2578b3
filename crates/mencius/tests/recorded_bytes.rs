//! The bytes of all messages between seats and of all writes to a disk, as an earlier build wrote them.

use mencius::{Frame, Message, Round, Write};
use recorded::RecordedBytes;
use recorded_archive::check_archive;
use recorded_variants::every_variant;

#[path = "../../test-support/tests/recorded/mod.rs"]
mod recorded;
#[path = "../../test-support/tests/recorded/archive.rs"]
mod recorded_archive;
#[path = "../../test-support/tests/recorded/variants.rs"]
mod recorded_variants;

const ROUND: Round = Round { counter: 3, identity: 0x1122_3344_5566_7788 };
const CURSOR: u64 = 0x0102_0304_0506_0708;

fn messages() -> Vec<(&'static str, Message)> {
    let value = || vec![0xa1, 0xa2, 0xa3];
    every_variant!(Message {
        "hello": Message::Hello { .. } => Message::Hello { know: 11, applied: 12 },
        "resync": Message::Resync { .. } => Message::Resync { from: 13 },
        "suggest": Message::Suggest { .. } => Message::Suggest { instance: 14, value: value() },
        "accept": Message::Accept { .. } => Message::Accept { instance: 15 },
        "learn": Message::Learn { .. } => Message::Learn { instance: 16 },
        "skip": Message::Skip => Message::Skip,
        "beat": Message::Beat { .. } => Message::Beat { applied: 17 },
        "prepare": Message::Prepare { .. } => {
            Message::Prepare { owner: 2, round: ROUND, block: (18, 19) }
        },
        "promise": Message::Promise { .. } => Message::Promise {
            owner: 2,
            round: ROUND,
            block: (18, 30),
            commands: vec![(20, Round::CHOSEN, value()), (23, Round::FIRST, Vec::new())],
            voids: vec![(26, 29, ROUND)],
        },
        "propose": Message::Propose { .. } => Message::Propose {
            owner: 2,
            round: ROUND,
            block: (18, 30),
            commands: vec![(20, value())],
        },
        "accepted": Message::Accepted { .. } => {
            Message::Accepted { owner: 1, round: ROUND, block: (31, 32) }
        },
        "refuse": Message::Refuse { .. } => {
            Message::Refuse { owner: 0, round: ROUND, block: (33, 34) }
        },
        "chosen": Message::Chosen { .. } => {
            Message::Chosen { owner: 1, block: (35, 39), commands: vec![(37, value())] }
        },
        "fetch": Message::Fetch { .. } => Message::Fetch { from: 40 },
        "run": Message::Run { .. } => {
            Message::Run { block: (41, 50), commands: vec![(42, value()), (43, vec![0xb1])] }
        },
        "snapshot": Message::Snapshot { .. } => {
            Message::Snapshot { through: 51, state: vec![0xc1, 0xc2, 0xc3, 0xc4, 0xc5] }
        },
        "read-ask": Message::ReadAsk { .. } => Message::ReadAsk { token: 52 },
        "read-answer": Message::ReadAnswer { .. } => {
            Message::ReadAnswer { token: 53, highest: Some(54) }
        },
    })
}

fn writes() -> Vec<(&'static str, Write)> {
    let value = || vec![0xd1, 0xd2, 0xd3];
    every_variant!(Write {
        "index": Write::Index(_) => Write::Index(61),
        "counter": Write::Counter(_) => Write::Counter(62),
        "promise": Write::Promise { .. } => {
            Write::Promise { owner: 2, block: (63, 64), round: ROUND }
        },
        "accept": Write::Accept { .. } => {
            Write::Accept { instance: 65, round: ROUND, value: value() }
        },
        "void": Write::Void { .. } => Write::Void { owner: 1, block: (66, 67), round: ROUND },
        "chosen": Write::Chosen { .. } => Write::Chosen { instance: 68, value: value() },
        "skipped": Write::Skipped { .. } => Write::Skipped { owner: 0, block: (69, 75) },
        "snapshot": Write::Snapshot { .. } => {
            Write::Snapshot { through: 76, state: vec![0xe1, 0xe2] }
        },
        "vote-from": Write::VoteFrom(_) => Write::VoteFrom(77),
    })
}

#[test]
fn every_message_between_seats_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::of("messages");
    for (name, message) in messages() {
        check_archive!(recorded, name, Frame, &Frame { cursor: CURSOR, message });
    }
    let nothing = Message::ReadAnswer { token: 55, highest: None };
    check_archive!(recorded, "read-answer-nothing", Frame, &Frame { cursor: 0, message: nothing });
    recorded.finish();
}

#[test]
fn every_write_to_a_disk_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::of("writes");
    for (name, write) in writes() {
        check_archive!(recorded, name, Vec<Write>, &vec![write]);
    }
    let all: Vec<Write> = writes().into_iter().map(|(_, write)| write).collect();
    check_archive!(recorded, "all-in-one-record", Vec<Write>, &all);
    recorded.finish();
}
