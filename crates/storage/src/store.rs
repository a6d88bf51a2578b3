//! The database file. Every transaction is synced before its success is reported (design 3.3).

use std::fs::{self, File, create_dir_all};
use std::io;
use std::path::Path;

use mencius::{ReplicaId, Write};
use redb::{
    Builder, Database, ReadableTable, StorageBackend, Table, TableDefinition, WriteTransaction,
};

use crate::error::Error;
use crate::identity::{DiskId, MembershipRecord, PinnedDisks, generate_disk_id};
use crate::record::{decode, encode};

/// The layout version of the file. Files with another version are rejected.
pub const LAYOUT_VERSION: u64 = 3;

/// The name of the database file in the data folder.
const FILE_NAME: &str = "core.redb";
/// The name of the file while it is being created.
const UNFINISHED_FILE_NAME: &str = "core.redb.unfinished";

// The names of tables and keys are stored on the disks of existing installations and must not
// change.
/// Single numeric values by key; the keys are defined below.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// The pinned disk of each other replica.
const PINNED_DISKS: TableDefinition<ReplicaId, DiskId> = TableDefinition::new("pins");
/// Journal records by position; each record has the position after that of the previous one.
const JOURNAL: TableDefinition<u64, &[u8]> = TableDefinition::new("journal");
const LAYOUT_KEY: &str = "layout";
const DISK_ID_KEY: &str = "identity";
const START_COUNT_KEY: &str = "starts";
/// Present if this disk has been retired from a replica.
const RETIRED_KEY: &str = "retired";
// The following three keys are present if a replica is assigned to the disk.
const REPLICA_ID_KEY: &str = "seat";
const REPLICA_COUNT_KEY: &str = "seats";
const FOUNDED_KEY: &str = "founded";

type MetaTable<'transaction> = Table<'transaction, &'static str, u64>;

/// Opens the database, at start and again after a failure has made it unusable.
type Opener = Box<dyn Fn() -> Result<Database, Error> + Send>;

/// The open store of one replica. It should be owned by a [`StoreWriter`](crate::StoreWriter), as
/// each change blocks on a sync.
pub struct ReplicaStore {
    /// `None` after a failed change, until the next change reopens the database.
    database: Option<Database>,
    opener: Opener,
    /// The position of the next journal record.
    next_position: u64,
    /// The identity of this disk.
    pub disk_id: DiskId,
    /// The pinned disks of the other replicas.
    pub pinned_disks: PinnedDisks,
    /// The replica assigned to this disk, if the settings do not specify one.
    pub membership: Option<MembershipRecord>,
    /// Whether another disk took over the replica of this disk and this disk was retired. A retired
    /// disk never founds a group.
    pub retired: bool,
    /// The number of times that a process has opened this store, including this time. It increases
    /// with every start.
    pub start_count: u64,
}

/// An open store and the contents of its journal.
pub struct RecoveredStore {
    /// The open store.
    pub store: ReplicaStore,
    /// All writes of the journal, oldest first; for [`mencius::Replica::restore`].
    pub writes: Vec<Write>,
}

impl ReplicaStore {
    /// Opens the store in `folder`, or creates it with a new identity, and reads the journal.
    ///
    /// # Errors
    /// [`Error::Folder`], [`Error::Store`], [`Error::Layout`], or [`Error::Damaged`] if a record
    /// does not match its digest.
    pub fn open(folder: &Path) -> Result<RecoveredStore, Error> {
        Self::open_with_creator(folder, |path| Ok(Database::create(path)?))
    }

    /// Like [`open`](ReplicaStore::open), with a custom function to create the file. Tests use it
    /// to simulate a process that is killed during the creation (design 9.4).
    ///
    /// # Errors
    /// As [`open`](ReplicaStore::open), and those of `create`.
    pub fn open_with_creator(
        folder: &Path,
        create: impl Fn(&Path) -> Result<Database, Error> + Send + 'static,
    ) -> Result<RecoveredStore, Error> {
        create_dir_all(folder)?;
        let folder = folder.to_path_buf();
        Self::load(Box::new(move || {
            if !has_store(&folder)? {
                create_store(&folder, &create)?;
            }
            Ok(Database::open(folder.join(FILE_NAME))?)
        }))
    }

    /// Like [`open`](ReplicaStore::open), with a custom storage backend. Tests use it to simulate
    /// disk faults (design 9.4).
    ///
    /// # Errors
    /// As [`open`](ReplicaStore::open), without [`Error::Folder`].
    pub fn open_with_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<RecoveredStore, Error> {
        Self::load(Box::new(move || {
            Ok(Builder::new().create_with_backend(backend())?)
        }))
    }

    fn load(opener: Opener) -> Result<RecoveredStore, Error> {
        let database = opener()?;
        let transaction = database.begin_write()?;
        let meta = read_meta(&transaction)?;
        let pinned_disks = read_pinned_disks(&transaction)?;
        let journal = read_journal(&transaction)?;
        transaction.commit()?;
        let store = ReplicaStore {
            database: Some(database),
            opener,
            next_position: journal.last().map_or(0, |record| record.position + 1),
            disk_id: meta.disk_id,
            pinned_disks,
            membership: meta.membership,
            retired: meta.retired,
            start_count: meta.start_count,
        };
        Ok(RecoveredStore {
            store,
            writes: decode_journal(&journal)?,
        })
    }

    /// Appends a record of `writes` to the journal. With `replace_journal`, the record replaces all
    /// previous records.
    ///
    /// After a failure, the call may be retried with the same writes: if the record of the failed
    /// call is already in the journal at its position, it is not written again.
    ///
    /// # Errors
    /// [`Error::Store`]; the store remains usable.
    pub fn append(&mut self, writes: &[Write], replace_journal: bool) -> Result<(), Error> {
        let record = encode(writes)?;
        let position = self.next_position;
        self.transact(|transaction| {
            let mut journal = transaction.open_table(JOURNAL)?;
            if journal.get(position)?.is_some() {
                return Ok(());
            }
            if replace_journal {
                journal.retain(|_, _| false)?;
            }
            journal.insert(position, record.as_slice())?;
            Ok(())
        })?;
        self.next_position += 1;
        Ok(())
    }

    /// Pins a disk for a replica, unless one is already pinned. Returns the disk that is now pinned
    /// for the replica.
    ///
    /// # Errors
    /// [`Error::Store`]; no disk is pinned in this case.
    pub fn pin_disk(&mut self, replica_id: ReplicaId, disk_id: DiskId) -> Result<DiskId, Error> {
        if let Some(pinned) = self.pinned_disks.get(&replica_id) {
            return Ok(*pinned);
        }
        self.replace_pinned_disks(&PinnedDisks::from([(replica_id, disk_id)]), &[])?;
        Ok(disk_id)
    }

    /// Pins the disks that took over replicas, replacing the previous ones. `writes` are added to
    /// the journal in the same transaction, so that the store never contains one without the other.
    ///
    /// # Errors
    /// [`Error::Store`]; nothing is changed in this case.
    pub fn replace_pinned_disks(
        &mut self,
        pinned_disks: &PinnedDisks,
        writes: &[Write],
    ) -> Result<(), Error> {
        let position = self.next_position;
        let record = encode(writes)?;
        self.transact(|transaction| {
            insert_pinned_disks(transaction, pinned_disks)?;
            if !writes.is_empty() {
                transaction
                    .open_table(JOURNAL)?
                    .insert(position, record.as_slice())?;
            }
            Ok(())
        })?;
        if !writes.is_empty() {
            self.next_position += 1;
        }
        self.pinned_disks.extend(pinned_disks);
        Ok(())
    }

    /// Records the replica assigned to this disk and, when a group is founded, the disks of the
    /// other replicas (design 12.1). An entry of `pinned_disks` for this replica is ignored.
    ///
    /// # Errors
    /// [`Error::Store`]; nothing is changed in this case.
    pub fn record_membership(
        &mut self,
        membership: MembershipRecord,
        pinned_disks: &PinnedDisks,
    ) -> Result<(), Error> {
        let mut pinned_disks = pinned_disks.clone();
        pinned_disks.remove(&membership.replica_id);
        self.transact(|transaction| {
            let mut meta = transaction.open_table(META)?;
            meta.insert(REPLICA_ID_KEY, u64::from(membership.replica_id))?;
            meta.insert(REPLICA_COUNT_KEY, u64::from(membership.replica_count))?;
            meta.insert(FOUNDED_KEY, u64::from(membership.founded))?;
            insert_pinned_disks(transaction, &pinned_disks)
        })?;
        self.pinned_disks.extend(pinned_disks);
        self.membership = Some(membership);
        Ok(())
    }

    /// Retires this disk after another disk has permanently taken over its replica: deletes the
    /// data of the replica and gives the disk a new identity.
    ///
    /// # Errors
    /// [`Error::Store`]; nothing is changed in this case.
    pub fn retire(&mut self) -> Result<(), Error> {
        let disk_id = generate_disk_id();
        self.transact(|transaction| {
            let mut meta = transaction.open_table(META)?;
            for key in [REPLICA_ID_KEY, REPLICA_COUNT_KEY, FOUNDED_KEY] {
                meta.remove(key)?;
            }
            meta.insert(DISK_ID_KEY, disk_id)?;
            meta.insert(RETIRED_KEY, 1)?;
            transaction.open_table(PINNED_DISKS)?.retain(|_, _| false)?;
            transaction.open_table(JOURNAL)?.retain(|_, _| false)?;
            Ok(())
        })?;
        self.disk_id = disk_id;
        self.membership = None;
        self.retired = true;
        self.pinned_disks.clear();
        Ok(())
    }

    /// Makes a change in one synced transaction. A database that has failed rejects all further
    /// operations, so it is closed, and the next change reopens it (design 3.10).
    fn transact(
        &mut self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let database = match self.database.take() {
            Some(database) => database,
            None => (self.opener)()?,
        };
        let transaction = database.begin_write()?;
        change(&transaction)?;
        transaction.commit()?;
        self.database = Some(database);
        Ok(())
    }
}

struct Meta {
    disk_id: DiskId,
    membership: Option<MembershipRecord>,
    retired: bool,
    start_count: u64,
}

/// Returns whether the folder contains a store. An empty file does not count as a store.
fn has_store(folder: &Path) -> Result<bool, Error> {
    match fs::metadata(folder.join(FILE_NAME)) {
        Ok(metadata) => Ok(metadata.len() > 0),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(error.into()),
    }
}

/// Creates the store under a temporary name and renames it once it is complete: the process may be
/// killed in between, and the database cannot open a file whose creation did not finish.
fn create_store(
    folder: &Path,
    create: impl Fn(&Path) -> Result<Database, Error>,
) -> Result<(), Error> {
    let unfinished = folder.join(UNFINISHED_FILE_NAME);
    match fs::remove_file(&unfinished) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
        _ => {}
    }
    drop(create(&unfinished)?);
    File::open(&unfinished)?.sync_all()?;
    fs::rename(&unfinished, folder.join(FILE_NAME))?;
    // The rename is durable only after the folder is synced.
    File::open(folder)?.sync_all()?;
    Ok(())
}

struct JournalRecord {
    position: u64,
    bytes: Vec<u8>,
}

/// Reads the meta table, initializes it in a new file, and increments the start count.
fn read_meta(transaction: &WriteTransaction) -> Result<Meta, Error> {
    let mut meta = transaction.open_table(META)?;
    match meta_value(&meta, LAYOUT_KEY)? {
        Some(LAYOUT_VERSION) => {}
        Some(found) => {
            return Err(Error::Layout {
                found,
                expected: LAYOUT_VERSION,
            });
        }
        None => {
            meta.insert(LAYOUT_KEY, LAYOUT_VERSION)?;
            meta.insert(DISK_ID_KEY, generate_disk_id())?;
        }
    }
    let start_count = meta_value(&meta, START_COUNT_KEY)?.unwrap_or_default() + 1;
    meta.insert(START_COUNT_KEY, start_count)?;
    Ok(Meta {
        disk_id: meta_value(&meta, DISK_ID_KEY)?.unwrap_or_default(),
        membership: read_membership(&meta)?,
        retired: meta_value(&meta, RETIRED_KEY)?.is_some(),
        start_count,
    })
}

fn read_membership(meta: &MetaTable) -> Result<Option<MembershipRecord>, Error> {
    let replica_id = meta_value(meta, REPLICA_ID_KEY)?;
    let replica_count = meta_value(meta, REPLICA_COUNT_KEY)?;
    let founded = meta_value(meta, FOUNDED_KEY)?;
    let (Some(replica_id), Some(replica_count), Some(founded)) =
        (replica_id, replica_count, founded)
    else {
        return Ok(None);
    };
    Ok(Some(MembershipRecord {
        replica_id: replica_id as ReplicaId,
        replica_count: replica_count as u16,
        founded: founded == 1,
    }))
}

fn meta_value(meta: &MetaTable, key: &str) -> Result<Option<u64>, Error> {
    Ok(meta.get(key)?.map(|value| value.value()))
}

fn read_pinned_disks(transaction: &WriteTransaction) -> Result<PinnedDisks, Error> {
    let mut pinned_disks = PinnedDisks::new();
    for row in transaction.open_table(PINNED_DISKS)?.iter()? {
        let (replica_id, disk_id) = row?;
        pinned_disks.insert(replica_id.value(), disk_id.value());
    }
    Ok(pinned_disks)
}

fn insert_pinned_disks(
    transaction: &WriteTransaction,
    pinned_disks: &PinnedDisks,
) -> Result<(), Error> {
    let mut table = transaction.open_table(PINNED_DISKS)?;
    for (replica_id, disk_id) in pinned_disks {
        table.insert(replica_id, disk_id)?;
    }
    Ok(())
}

fn read_journal(transaction: &WriteTransaction) -> Result<Vec<JournalRecord>, Error> {
    let mut records = Vec::new();
    for row in transaction.open_table(JOURNAL)?.iter()? {
        let (position, bytes) = row?;
        records.push(JournalRecord {
            position: position.value(),
            bytes: bytes.value().to_vec(),
        });
    }
    Ok(records)
}

fn decode_journal(journal: &[JournalRecord]) -> Result<Vec<Write>, Error> {
    let mut writes = Vec::new();
    for JournalRecord { position, bytes } in journal {
        writes.extend(decode(bytes).ok_or(Error::Damaged {
            position: *position,
        })?);
    }
    Ok(writes)
}
