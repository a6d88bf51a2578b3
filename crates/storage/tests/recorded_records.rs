//! Compares the tables of a store and the bytes of each journal record with those recorded from an
//! earlier build.

use mencius::{ProposalNumber, Write};
use recorded::RecordedBytes;
use recorded_variants::every_variant;
use redb::{Database, ReadableDatabase as _, ReadableTable as _, TableDefinition};
use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process;
use std::slice;
use storage::{MembershipRecord, PinnedDisks, ReplicaStore};

#[path = "../../test-support/tests/recorded/mod.rs"]
mod recorded;
#[path = "../../test-support/tests/recorded/variants.rs"]
mod recorded_variants;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const PINNED_DISKS: TableDefinition<u16, u64> = TableDefinition::new("pins");
const JOURNAL: TableDefinition<u64, &[u8]> = TableDefinition::new("journal");
const PROPOSAL: ProposalNumber = ProposalNumber {
    counter: 3,
    disk_id: 0x1122_3344_5566_7788,
};

/// A data folder for one store, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = env::temp_dir().join(format!("gradeford-records-{name}-{}", process::id()));
        drop(fs::remove_dir_all(&folder));
        Folder(folder)
    }

    fn database(&self) -> Database {
        Database::open(self.0.join("core.redb")).expect("open the database file")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn records() -> Vec<(&'static str, Write)> {
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

fn journal(folder: &Folder) -> BTreeMap<u64, Vec<u8>> {
    let database = folder.database();
    let reading = database.begin_read().expect("begin a read transaction");
    let table = reading.open_table(JOURNAL).expect("open the journal");
    let rows = table
        .iter()
        .expect("read the rows")
        .map(|row| row.expect("read a row"));
    rows.map(|(position, bytes)| (position.value(), bytes.value().to_vec()))
        .collect()
}

fn meta(folder: &Folder) -> BTreeMap<String, u64> {
    let database = folder.database();
    let reading = database.begin_read().expect("begin a read transaction");
    let table = reading.open_table(META).expect("open the meta table");
    let rows = table
        .iter()
        .expect("read the rows")
        .map(|row| row.expect("read a row"));
    rows.map(|(name, value)| (name.value().to_string(), value.value()))
        .collect()
}

fn pinned_disks(folder: &Folder) -> BTreeMap<u16, u64> {
    let database = folder.database();
    let reading = database.begin_read().expect("begin a read transaction");
    let table = reading
        .open_table(PINNED_DISKS)
        .expect("open the table of pinned disks");
    let rows = table
        .iter()
        .expect("read the rows")
        .map(|row| row.expect("read a row"));
    rows.map(|(replica, disk)| (replica.value(), disk.value()))
        .collect()
}

/// Returns the writes that this build reads from a store that holds only this record.
fn read_back(name: &str, record: &[u8]) -> Vec<Write> {
    let folder = Folder::new(&format!("read-{name}"));
    drop(open(&folder.0));
    let database = folder.database();
    let change = database.begin_write().expect("begin a write transaction");
    change
        .open_table(JOURNAL)
        .expect("open the journal")
        .insert(0, record)
        .expect("insert the record");
    change.commit().expect("commit the record");
    drop(database);
    open(&folder.0).1
}

fn open(folder: &Path) -> (ReplicaStore, Vec<Write>) {
    let recovered = ReplicaStore::open(folder).expect("open the store");
    (recovered.store, recovered.writes)
}

#[test]
fn every_stored_record_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("records");
    for (name, write) in records() {
        let folder = Folder::new(name);
        let (mut store, _) = open(&folder.0);
        store
            .append(slice::from_ref(&write), false)
            .expect("append");
        drop(store);
        let journal = journal(&folder);
        assert_eq!(journal.len(), 1);
        let record = recorded.check(name, &journal[&0]);
        assert_eq!(read_back(name, &record), [write], "{name}");
    }
    recorded.finish();
}

#[test]
fn a_store_has_the_recorded_tables_and_keys() {
    let folder = Folder::new("tables");
    let (mut store, _) = open(&folder.0);
    let disk_id = store.disk_id;
    store
        .record_membership(
            MembershipRecord {
                replica_id: 1,
                replica_count: 3,
                founded: true,
            },
            &PinnedDisks::from([(0, 70), (1, 71), (2, 72)]),
        )
        .expect("record the membership");
    store.append(&[Write::Index(4)], false).expect("append");
    store
        .replace_pinned_disks(
            &PinnedDisks::from([(2, 73)]),
            &[Write::VotingRangeStart(9), Write::Index(10)],
        )
        .expect("replace the pinned disk");
    store.append(&[Write::Index(13)], false).expect("append");
    drop(store);
    let expected_meta = [
        ("founded", 1),
        ("identity", disk_id),
        ("layout", 3),
        ("seat", 1),
        ("seats", 3),
        ("starts", 1),
    ];
    assert_eq!(
        meta(&folder),
        expected_meta
            .map(|(name, value)| (name.to_string(), value))
            .into()
    );
    assert_eq!(pinned_disks(&folder), [(0, 70), (2, 73)].into());
    assert_eq!(journal(&folder).into_keys().collect::<Vec<_>>(), [0, 1, 2]);
    let (mut store, writes) = open(&folder.0);
    assert_eq!(
        writes,
        [
            Write::Index(4),
            Write::VotingRangeStart(9),
            Write::Index(10),
            Write::Index(13)
        ]
    );
    store
        .append(&[Write::Index(16)], true)
        .expect("replace the journal");
    drop(store);
    assert_eq!(journal(&folder).into_keys().collect::<Vec<_>>(), [3]);
}

#[test]
fn a_retired_store_has_the_recorded_tables_and_keys() {
    let folder = Folder::new("given-up");
    let (mut store, _) = open(&folder.0);
    store
        .record_membership(
            MembershipRecord {
                replica_id: 1,
                replica_count: 3,
                founded: false,
            },
            &PinnedDisks::from([(0, 70), (2, 72)]),
        )
        .expect("record the membership");
    store.append(&[Write::Index(4)], false).expect("append");
    store.retire().expect("retire the disk");
    let disk_id = store.disk_id;
    drop(store);
    let expected_meta = [
        ("identity", disk_id),
        ("layout", 3),
        ("retired", 1),
        ("starts", 1),
    ];
    assert_eq!(
        meta(&folder),
        expected_meta
            .map(|(name, value)| (name.to_string(), value))
            .into()
    );
    assert!(pinned_disks(&folder).is_empty());
    assert!(journal(&folder).is_empty());
}
