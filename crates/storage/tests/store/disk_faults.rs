//! Disk faults at each operation in turn: full disks, torn writes and the loss of unsynced data
//! (design 9.4).

use std::ops::RangeInclusive;

use mencius::{ProposalNumber, Write};
use storage::{Error, PinnedDisks, RecoveredStore};

use crate::faulty_disk::{Fault, FaultyDisk};

const RECORD_COUNT: u64 = 12;
/// The record that replaces the journal in the power loss test.
const REPLACING_RECORD: u64 = 6;

fn record(number: u64) -> Vec<Write> {
    vec![Write::Accept {
        instance: number,
        proposal_number: ProposalNumber::INITIAL,
        value: vec![number as u8; 300],
    }]
}

/// Derives from the operation at which power is lost which unsynced writes survive.
fn survival_bits(operation: u64) -> u64 {
    operation.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// Returns the disk operations needed to append all records.
fn append_operations() -> RangeInclusive<u64> {
    let disk = FaultyDisk::new();
    let mut store = disk.open_store().expect("open the store").store;
    let before = disk.state().operations;
    for number in 0..RECORD_COUNT {
        store
            .append(&record(number), number == REPLACING_RECORD)
            .expect("append");
    }
    let last = disk.state().operations;
    before + 1..=last
}

#[test]
fn power_loss_at_any_operation_loses_no_reported_append() {
    for operation in append_operations() {
        let disk = FaultyDisk::new();
        let mut store = disk.open_store().expect("open the store").store;
        let disk_id = store.disk_id;
        disk.state().fault = Fault::PowerLoss(operation);
        let appended = |number: &u64| {
            store
                .append(&record(*number), *number == REPLACING_RECORD)
                .is_ok()
        };
        let reported: Vec<u64> = (0..RECORD_COUNT).take_while(appended).collect();
        drop(store);
        disk.restart(survival_bits(operation));
        let RecoveredStore { store, writes } = disk
            .open_store()
            .unwrap_or_else(|error| panic!("power lost at {operation}: {error}"));
        assert_eq!(store.disk_id, disk_id);
        // The record that replaces the journal supersedes all earlier records.
        let from = if reported.contains(&REPLACING_RECORD) {
            REPLACING_RECORD
        } else {
            0
        };
        let expected_records = reported.iter().filter(|number| **number >= from);
        let expected: Vec<Write> = expected_records
            .flat_map(|number| record(*number))
            .collect();
        let next = reported.len() as u64;
        let expected_with_unreported = match next {
            REPLACING_RECORD => record(REPLACING_RECORD),
            _ => [expected.clone(), record(next)].concat(),
        };
        assert!(
            writes == expected || writes == expected_with_unreported,
            "power lost at {operation}, reported {reported:?}, found {}",
            writes.len()
        );
    }
}

#[test]
fn a_full_disk_fails_appends_and_recovers_without_a_restart() {
    for operation in append_operations() {
        let disk = FaultyDisk::new();
        let mut store = disk.open_store().expect("open the store").store;
        disk.state().fault = Fault::Full(operation);
        let mut failures = 0;
        for number in 0..RECORD_COUNT {
            while store.append(&record(number), false).is_err() {
                failures += 1;
                assert!(
                    failures < 100,
                    "appends still fail after the disk has room again, full at {operation}"
                );
                if failures == 3 {
                    disk.state().fault = Fault::None;
                }
            }
        }
        drop(store);
        let writes = disk.open_store().expect("reopen the store").writes;
        let expected: Vec<Write> = (0..RECORD_COUNT).flat_map(record).collect();
        assert_eq!(writes, expected, "full at {operation}");
    }
}

#[test]
fn a_damaged_record_is_reported_and_not_used() {
    let disk = FaultyDisk::new();
    let mut store = disk.open_store().expect("open the store").store;
    store.append(&record(200), false).expect("append");
    drop(store);
    {
        let mut state = disk.state();
        let windows = state.contents.windows(64).enumerate();
        let values = windows.filter(|(_, bytes)| bytes.iter().all(|byte| *byte == 200));
        let positions: Vec<usize> = values.map(|(position, _)| position).collect();
        assert!(!positions.is_empty());
        for position in positions {
            state.contents[position] ^= 1;
        }
    }
    let opened = disk.open_store();
    assert!(matches!(
        opened,
        Err(Error::Damaged { position: 0 } | Error::Store(_))
    ));
}

#[test]
fn power_loss_while_a_disk_is_admitted_keeps_its_voting_range_and_pinned_disks_or_neither() {
    let pinned_disks = PinnedDisks::from([(0, 7), (2, 9)]);
    let first_writes = [Write::VotingRangeStart(1_000_001), Write::Index(1_000_003)];
    let (mut complete_count, mut empty_count) = (0, 0);
    for operation in 1..60u64 {
        let disk = FaultyDisk::new();
        let mut store = disk.open_store().expect("open the store").store;
        let before = disk.state().operations;
        disk.state().fault = Fault::PowerLoss(before + operation);
        let reported = store
            .replace_pinned_disks(&pinned_disks, &first_writes)
            .is_ok();
        drop(store);
        disk.restart(survival_bits(operation));
        let RecoveredStore { store, writes } = disk.open_store().expect("reopen the store");
        let pinned = &store.pinned_disks;
        let complete = pinned.len() == 2 && writes == first_writes;
        let empty = pinned.is_empty() && writes.is_empty();
        assert!(
            complete || empty && !reported,
            "power lost at {operation}: {pinned:?} {writes:?}"
        );
        if complete {
            complete_count += 1;
        } else {
            empty_count += 1;
        }
    }
    assert!(
        complete_count > 0 && empty_count > 0,
        "complete {complete_count}, empty {empty_count}"
    );
}
