//! A store in a folder, as the daemons use it.

use std::env::temp_dir;
use std::fs::{self, remove_dir_all};
use std::io;
use std::path::Path;
use std::process;

use mencius::{ProposalNumber, Write};
use storage::{Error, RecoveredStore, ReplicaStore};

#[test]
fn a_reopened_store_keeps_identity_pins_and_order() {
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
            ReplicaStore::open(&folder).expect("a new store");
        assert!(writes.is_empty());
        store.append(&first, false).expect("append");
        store.append(&second, false).expect("append");
        assert_eq!(store.pin_disk(1, 11).expect("pin"), 11);
        assert_eq!(
            store.pin_disk(1, 12).expect("pin"),
            11,
            "a replica stays with the disk first met"
        );
        store.disk_id
    };
    let RecoveredStore { mut store, writes } = ReplicaStore::open(&folder).expect("the same store");
    assert_eq!(
        (store.disk_id, store.pinned_disks.get(&1)),
        (disk_id, Some(&11))
    );
    assert_eq!(writes, [first, second].concat());
    store
        .append(&[Write::Index(9)], true)
        .expect("replace the journal");
    drop(store);
    let again = ReplicaStore::open(&folder).expect("again");
    assert_eq!(again.writes, vec![Write::Index(9)]);
    remove_dir_all(&folder).expect("clean");
}

/// What a soak showed: a core machine that had lost its disk was killed in the first milliseconds of
/// its next start, and after that ended at every start, 76 times, with "Not a redb database: magic
/// number mismatch". The database writes its magic number last, so that a file that was not finished
/// is never taken for a whole one; and it never finishes such a file.
#[test]
fn a_process_killed_while_it_makes_its_store_leaves_a_folder_that_opens() {
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
    let again = ReplicaStore::open(&folder).expect("it is whole now");
    assert_eq!(again.store.start_count, 2);
    remove_dir_all(&folder).expect("clean");
}
