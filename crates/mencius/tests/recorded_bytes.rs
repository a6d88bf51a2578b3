//! Compares the encoding of all messages between replicas and of all disk writes with recorded
//! bytes of an earlier build.

use mencius::{Frame, Message, ProposalNumber, Write};
use recorded::RecordedBytes;
use recorded_archive::check_archive;
use recorded_variants::every_variant;

#[path = "../../test-support/tests/recorded/mod.rs"]
mod recorded;
#[path = "../../test-support/tests/recorded/archive.rs"]
mod recorded_archive;
#[path = "../../test-support/tests/recorded/variants.rs"]
mod recorded_variants;

const PROPOSAL: ProposalNumber = ProposalNumber {
    counter: 3,
    disk_id: 0x1122_3344_5566_7788,
};
const CURSOR: u64 = 0x0102_0304_0506_0708;

fn messages() -> Vec<(&'static str, Message)> {
    let value = || vec![0xa1, 0xa2, 0xa3];
    every_variant!(Message {
        "hello": Message::Hello { .. } => Message::Hello { learned_below: 11, applied: 12 },
        "resync": Message::Resync { .. } => Message::Resync { from: 13 },
        "suggest": Message::Suggest { .. } => Message::Suggest { instance: 14, value: value() },
        "accept": Message::Accept { .. } => Message::Accept { instance: 15 },
        "learn": Message::Learn { .. } => Message::Learn { instance: 16 },
        "skip": Message::Skip => Message::Skip,
        "beat": Message::Heartbeat { .. } => Message::Heartbeat { applied: 17 },
        "prepare": Message::Prepare { .. } => {
            Message::Prepare { coordinator: 2, proposal_number: PROPOSAL, block: (18, 19) }
        },
        "promise": Message::Promise { .. } => Message::Promise {
            coordinator: 2,
            proposal_number: PROPOSAL,
            block: (18, 30),
            commands: vec![(20, ProposalNumber::CHOSEN, value()), (23, ProposalNumber::INITIAL, Vec::new())],
            accepted_noops: vec![(26, 29, PROPOSAL)],
        },
        "propose": Message::Propose { .. } => Message::Propose {
            coordinator: 2,
            proposal_number: PROPOSAL,
            block: (18, 30),
            commands: vec![(20, value())],
        },
        "accepted": Message::AcceptProposal { .. } => {
            Message::AcceptProposal { coordinator: 1, proposal_number: PROPOSAL, block: (31, 32) }
        },
        "refuse": Message::Reject { .. } => {
            Message::Reject { coordinator: 0, proposal_number: PROPOSAL, block: (33, 34) }
        },
        "chosen": Message::Chosen { .. } => {
            Message::Chosen { coordinator: 1, block: (35, 39), commands: vec![(37, value())] }
        },
        "fetch": Message::FetchOutcomes { .. } => Message::FetchOutcomes { from: 40 },
        "run": Message::Outcomes { .. } => {
            Message::Outcomes { block: (41, 50), commands: vec![(42, value()), (43, vec![0xb1])] }
        },
        "snapshot": Message::Snapshot { .. } => {
            Message::Snapshot { next_instance: 51, state: vec![0xc1, 0xc2, 0xc3, 0xc4, 0xc5] }
        },
        "read-ask": Message::ReadIndexRequest { .. } => Message::ReadIndexRequest { token: 52 },
        "read-answer": Message::ReadIndexResponse { .. } => {
            Message::ReadIndexResponse { token: 53, highest_accepted: Some(54) }
        },
    })
}

fn writes() -> Vec<(&'static str, Write)> {
    let value = || vec![0xd1, 0xd2, 0xd3];
    every_variant!(Write {
        "index": Write::Index(_) => Write::Index(61),
        "counter": Write::ProposalCounter(_) => Write::ProposalCounter(62),
        "promise": Write::Promise { .. } => {
            Write::Promise { coordinator: 2, block: (63, 64), proposal_number: PROPOSAL }
        },
        "accept": Write::Accept { .. } => {
            Write::Accept { instance: 65, proposal_number: PROPOSAL, value: value() }
        },
        "void": Write::AcceptNoOps { .. } => Write::AcceptNoOps { coordinator: 1, block: (66, 67), proposal_number: PROPOSAL },
        "chosen": Write::Chosen { .. } => Write::Chosen { instance: 68, value: value() },
        "skipped": Write::Skipped { .. } => Write::Skipped { coordinator: 0, block: (69, 75) },
        "snapshot": Write::Snapshot { .. } => {
            Write::Snapshot { next_instance: 76, state: vec![0xe1, 0xe2] }
        },
        "vote-from": Write::VotingRangeStart(_) => Write::VotingRangeStart(77),
    })
}

#[test]
fn every_message_between_replicas_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("messages");
    for (name, message) in messages() {
        check_archive!(
            recorded,
            name,
            Frame,
            &Frame {
                cursor: CURSOR,
                message
            }
        );
    }
    let no_command_accepted = Message::ReadIndexResponse {
        token: 55,
        highest_accepted: None,
    };
    check_archive!(
        recorded,
        "read-answer-nothing",
        Frame,
        &Frame {
            cursor: 0,
            message: no_command_accepted
        }
    );
    recorded.finish();
}

#[test]
fn every_write_to_a_disk_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("writes");
    for (name, write) in writes() {
        check_archive!(recorded, name, Vec<Write>, &vec![write]);
    }
    let all: Vec<Write> = writes().into_iter().map(|(_, write)| write).collect();
    check_archive!(recorded, "all-in-one-record", Vec<Write>, &all);
    recorded.finish();
}
