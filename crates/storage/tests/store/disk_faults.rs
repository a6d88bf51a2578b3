//! Disks that fill, tear and lose what was not synced, at every numbered operation in turn (design
//! 9.4).

use std::ops::RangeInclusive;

use mencius::{ProposalNumber, Write};
use storage::{Error, PinnedDisks, RecoveredStore};

use crate::faulty_disk::{Fault, FaultyDisk};

const RECORDS: u64 = 12;
/// The record that replaces the journal in the test of lost power.
const REPLACING: u64 = 6;

fn record(number: u64) -> Vec<Write> {
    vec![Write::Accept {
        instance: number,
        proposal_number: ProposalNumber::INITIAL,
        value: vec![number as u8; 300],
    }]
}

/// Draws, by the operation at which the power goes, which unsynced writes survive.
fn chance(operation: u64) -> u64 {
    operation.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// The operations that it takes to append all records.
fn operations_of_appending() -> RangeInclusive<u64> {
    let disk = FaultyDisk::new();
    let mut store = disk.open_store().expect("a store").store;
    let before = disk.state().operations;
    for number in 0..RECORDS {
        store
            .append(&record(number), number == REPLACING)
            .expect("append");
    }
    let last = disk.state().operations;
    before + 1..=last
}

#[test]
fn power_lost_at_any_operation_loses_nothing_that_was_reported() {
    for operation in operations_of_appending() {
        let disk = FaultyDisk::new();
        let mut store = disk.open_store().expect("a store").store;
        let disk_id = store.disk_id;
        disk.state().fault = Fault::Power(operation);
        let appended = |number: &u64| store.append(&record(*number), *number == REPLACING).is_ok();
        let reported: Vec<u64> = (0..RECORDS).take_while(appended).collect();
        drop(store);
        disk.restart(chance(operation));
        let RecoveredStore { store, writes } = disk
            .open_store()
            .unwrap_or_else(|error| panic!("power lost at {operation}: {error}"));
        assert_eq!(store.disk_id, disk_id);
        // The record that replaces the journal stands for all before it.
        let from = if reported.contains(&REPLACING) {
            REPLACING
        } else {
            0
        };
        let kept = reported.iter().filter(|number| **number >= from);
        let expected: Vec<Write> = kept.flat_map(|number| record(*number)).collect();
        let next = reported.len() as u64;
        let one_more = match next {
            REPLACING => record(REPLACING),
            _ => [expected.clone(), record(next)].concat(),
        };
        assert!(
            writes == expected || writes == one_more,
            "power lost at {operation}, reported {reported:?}, found {}",
            writes.len()
        );
    }
}

#[test]
fn a_full_disk_refuses_and_goes_on_without_a_restart_once_there_is_room() {
    for operation in operations_of_appending() {
        let disk = FaultyDisk::new();
        let mut store = disk.open_store().expect("a store").store;
        disk.state().fault = Fault::Full(operation);
        let mut refusals = 0;
        for number in 0..RECORDS {
            while store.append(&record(number), false).is_err() {
                refusals += 1;
                assert!(refusals < 100, "it never came back, full at {operation}");
                if refusals == 3 {
                    disk.state().fault = Fault::None;
                }
            }
        }
        drop(store);
        let writes = disk.open_store().expect("the store").writes;
        let expected: Vec<Write> = (0..RECORDS).flat_map(record).collect();
        assert_eq!(writes, expected, "full at {operation}");
    }
}

#[test]
fn a_damaged_record_is_named_and_not_used() {
    let disk = FaultyDisk::new();
    let mut store = disk.open_store().expect("a store").store;
    store.append(&record(200), false).expect("append");
    drop(store);
    {
        let mut state = disk.state();
        let windows = state.contents.windows(64).enumerate();
        let values = windows.filter(|(_, bytes)| bytes.iter().all(|byte| *byte == 200));
        let places: Vec<usize> = values.map(|(place, _)| place).collect();
        assert!(!places.is_empty());
        for place in places {
            state.contents[place] ^= 1;
        }
    }
    let opened = disk.open_store();
    assert!(matches!(
        opened,
        Err(Error::Damaged { position: 0 } | Error::Store(_))
    ));
}

#[test]
fn power_lost_while_a_new_disk_is_admitted_leaves_it_knowing_where_it_begins_or_no_peer() {
    let pins = PinnedDisks::from([(0, 7), (2, 9)]);
    let begins = [Write::VotingRangeStart(1_000_001), Write::Index(1_000_003)];
    let (mut both, mut neither) = (0, 0);
    for operation in 1..60u64 {
        let disk = FaultyDisk::new();
        let mut store = disk.open_store().expect("a store").store;
        let before = disk.state().operations;
        disk.state().fault = Fault::Power(before + operation);
        let reported = store.replace_pinned_disks(&pins, &begins).is_ok();
        drop(store);
        disk.restart(chance(operation));
        let RecoveredStore { store, writes } = disk.open_store().expect("the store");
        let pinned = &store.pinned_disks;
        let whole = pinned.len() == 2 && writes == begins;
        let nothing = pinned.is_empty() && writes.is_empty();
        assert!(
            whole || nothing && !reported,
            "power lost at {operation}: {pinned:?} {writes:?}"
        );
        if whole {
            both += 1;
        } else {
            neither += 1;
        }
    }
    assert!(both > 0 && neither > 0, "{both} {neither}");
}
