//! A store in a folder, as the daemons use it.

use std::env::temp_dir;
use std::fs::remove_dir_all;
use std::process;

use mencius::{ProposalNumber, Write};
use storage::{RecoveredStore, ReplicaStore};

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
