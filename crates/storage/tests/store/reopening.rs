//! Reopening a store in a real folder, as used by the daemons.

use std::env::temp_dir;
use std::fs::{self, remove_dir_all};
use std::io;
use std::path::Path;
use std::process;

use mencius::{ProposalNumber, Write};
use storage::{Error, RecoveredStore, ReplicaStore};

#[test]
fn a_reopened_store_keeps_its_identity_pinned_disks_and_journal_order() {
    let folder = temp_dir().join(format!("gradeford-store-{}", process::id()));
    let accept = Write::Accept {
        instance: 2,
        proposal_number: ProposalNumber::INITIAL,
        value: vec![1, 2],
    };
    let first = vec![Write::Index(7), accept];
    let second = vec![Write::ProposalCounter(3)];
    let disk_id = {
        let RecoveredStore { mut store, writes } =
            ReplicaStore::open(&folder).expect("create the store");
        assert!(writes.is_empty());
        store.append(&first, false).expect("append");
        store.append(&second, false).expect("append");
        assert_eq!(store.pin_disk(1, 11).expect("pin the disk"), 11);
        assert_eq!(
            store.pin_disk(1, 12).expect("pin the disk"),
            11,
            "a replica keeps the disk that was pinned first"
        );
        store.disk_id
    };
    let RecoveredStore { mut store, writes } =
        ReplicaStore::open(&folder).expect("reopen the store with its first records");
    assert_eq!(
        (store.disk_id, store.pinned_disks.get(&1)),
        (disk_id, Some(&11))
    );
    assert_eq!(writes, [first, second].concat());
    store
        .append(&[Write::Index(9)], true)
        .expect("replace the journal");
    drop(store);
    let again = ReplicaStore::open(&folder).expect("reopen the store");
    assert_eq!(again.writes, vec![Write::Index(9)]);
    remove_dir_all(&folder).expect("remove the folder");
}

/// Guards against a failure seen in a soak test: a core machine that had lost its disk was killed
/// in the first milliseconds of its next start, and then failed at each of 76 starts with "Not a
/// redb database: magic number mismatch". The database writes the magic number last, so that an
/// unfinished file is not mistaken for a complete one, but it never completes such a file either.
#[test]
fn a_store_can_be_created_after_a_process_was_killed_while_creating_it() {
    let folder = temp_dir().join(format!("gradeford-unfinished-{}", process::id()));
    let killed_before_the_magic_number = |path: &Path| {
        fs::write(path, vec![0; 73_728])?;
        Err(Error::Folder(io::Error::other("the process was killed")))
    };
    for _ in 0..2 {
        let killed = ReplicaStore::open_with_creator(&folder, killed_before_the_magic_number);
        assert!(killed.is_err());
    }
    let opened = ReplicaStore::open(&folder);
    let opened = opened.map_err(|error| error.to_string());
    assert!(opened.is_ok_and(|opened| opened.writes.is_empty()));
    let again = ReplicaStore::open(&folder).expect("the store is complete now");
    assert_eq!(again.store.start_count, 2);
    remove_dir_all(&folder).expect("remove the folder");
}
