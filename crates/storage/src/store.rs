//! The file. Every transaction is synced before it is reported (design 3.3).

use std::fs::{self, File, create_dir_all};
use std::io;
use std::path::Path;

use mencius::{ReplicaId, Write};
use redb::{
    Builder, Database, ReadableTable, StorageBackend, Table, TableDefinition, WriteTransaction,
};

use crate::error::Error;
use crate::identity::{DiskId, MembershipRecord, PinnedDisks, generate};
use crate::record::{decode, encode};

/// The layout of the file. A file with another one is refused by its number.
pub const LAYOUT_VERSION: u64 = 3;

/// The file in the data folder.
const FILE_NAME: &str = "core.redb";
/// The file while it is being made.
const UNFINISHED_FILE_NAME: &str = "core.redb.unfinished";

// The names of tables and keys are on the disks of running sites and stay as they are.
/// Numbers by name: the keys are below.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// The disk of each other replica.
const PINNED_DISKS: TableDefinition<ReplicaId, DiskId> = TableDefinition::new("pins");
/// Records by their position, which is one above the last with each record.
const JOURNAL: TableDefinition<u64, &[u8]> = TableDefinition::new("journal");
const LAYOUT_KEY: &str = "layout";
const DISK_ID_KEY: &str = "identity";
const START_COUNT_KEY: &str = "starts";
/// Is there once this disk gave up a replica.
const RETIRED_KEY: &str = "retired";
/// These three are there once the disk was given a replica.
const REPLICA_ID_KEY: &str = "seat";
const REPLICA_COUNT_KEY: &str = "seats";
const FOUNDED_KEY: &str = "founded";

type MetaTable<'transaction> = Table<'transaction, &'static str, u64>;

/// How the database is opened, and opened again after a failure has spoilt it.
type Opener = Box<dyn Fn() -> Result<Database, Error> + Send>;

/// The open store of one replica. Meant to be owned by a [`StoreWriter`](crate::StoreWriter), as
/// each change waits for a sync.
pub struct ReplicaStore {
    /// `None` after a failed change, until the next one opens it again.
    database: Option<Database>,
    opener: Opener,
    /// The position of the next journal record.
    next_position: u64,
    /// This disk's identity.
    pub disk_id: DiskId,
    /// The disks of the other replicas.
    pub pinned_disks: PinnedDisks,
    /// The replica that this disk was given, if the settings do not say.
    pub membership: Option<MembershipRecord>,
    /// Another disk took over its replica and it was let go: this disk never founds a group.
    pub retired: bool,
    /// How often a process has opened this store, this one included: a later start has the greater
    /// number.
    pub start_count: u64,
}

/// A store and what its journal held.
pub struct RecoveredStore {
    /// The store, open.
    pub store: ReplicaStore,
    /// All writes of the journal, oldest first; for [`mencius::Replica::restore`].
    pub writes: Vec<Write>,
}

impl ReplicaStore {
    /// Opens the store in `folder`, or makes it with a new identity, and reads the journal back.
    ///
    /// # Errors
    /// [`Error::Folder`], [`Error::Store`], [`Error::Layout`], or [`Error::Damaged`] if a record
    /// does not fit its digest.
    pub fn open(folder: &Path) -> Result<RecoveredStore, Error> {
        Self::open_with_creator(folder, |path| Ok(Database::create(path)?))
    }

    /// As [`open`](ReplicaStore::open), with the way in which a file is made: the tests of
    /// processes that end meanwhile bring their own (design 9.4).
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
                make_store(&folder, &create)?;
            }
            Ok(Database::open(folder.join(FILE_NAME))?)
        }))
    }

    /// As [`open`](ReplicaStore::open), over any storage: the tests of disk faults bring their own
    /// (design 9.4).
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

    /// Adds a record of `writes` to the journal. With `replace_journal` it replaces all records.
    ///
    /// After a failure it may be called again with the same writes: whether the first call got
    /// through is looked up by the record's position, not guessed.
    ///
    /// # Errors
    /// [`Error::Store`]; the store may be used further.
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

    /// Binds a replica to the disk first met for it. Returns the disk that it is bound to now.
    ///
    /// # Errors
    /// [`Error::Store`]; nothing is bound then.
    pub fn pin_disk(&mut self, replica_id: ReplicaId, disk_id: DiskId) -> Result<DiskId, Error> {
        if let Some(pinned) = self.pinned_disks.get(&replica_id) {
            return Ok(*pinned);
        }
        self.replace_pinned_disks(&PinnedDisks::from([(replica_id, disk_id)]), &[])?;
        Ok(disk_id)
    }

    /// Binds replicas to the disks that took them over. `writes` go into the journal in the same
    /// transaction, so that a disk never knows one without the other.
    ///
    /// # Errors
    /// [`Error::Store`]; nothing is changed then.
    pub fn replace_pinned_disks(
        &mut self,
        pins: &PinnedDisks,
        writes: &[Write],
    ) -> Result<(), Error> {
        let position = self.next_position;
        let record = encode(writes)?;
        self.transact(|transaction| {
            insert_pins(transaction, pins)?;
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
        self.pinned_disks.extend(pins);
        Ok(())
    }

    /// Keeps which replica this disk was given and, when a group is founded, the disks of the
    /// others (design 12.1). An entry of `pins` for this replica is passed over.
    ///
    /// # Errors
    /// [`Error::Store`]; nothing is changed then.
    pub fn record_membership(
        &mut self,
        membership: MembershipRecord,
        pins: &PinnedDisks,
    ) -> Result<(), Error> {
        let mut pins = pins.clone();
        pins.remove(&membership.replica_id);
        self.transact(|transaction| {
            let mut meta = transaction.open_table(META)?;
            meta.insert(REPLICA_ID_KEY, u64::from(membership.replica_id))?;
            meta.insert(REPLICA_COUNT_KEY, u64::from(membership.replica_count))?;
            meta.insert(FOUNDED_KEY, u64::from(membership.founded))?;
            insert_pins(transaction, &pins)
        })?;
        self.pinned_disks.extend(pins);
        self.membership = Some(membership);
        Ok(())
    }

    /// Another disk holds this one's replica for good: all that was kept for the replica goes, and
    /// the disk is a new one, with a new identity.
    ///
    /// # Errors
    /// [`Error::Store`]; nothing is changed then.
    pub fn retire(&mut self) -> Result<(), Error> {
        let disk_id = generate();
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

    /// Makes a change in one synced transaction. A database that failed once answers nothing more:
    /// it is closed, and the next change opens it again (design 3.10).
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

/// Whether there is a store in the folder. An empty file is none.
fn has_store(folder: &Path) -> Result<bool, Error> {
    match fs::metadata(folder.join(FILE_NAME)) {
        Ok(metadata) => Ok(metadata.len() > 0),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(error.into()),
    }
}

/// Makes the store under another name and renames it once it is whole: the process may be killed
/// meanwhile, and the database never opens a file that it had not finished.
fn make_store(
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
    // A name lasts once its folder is synced.
    File::open(folder)?.sync_all()?;
    Ok(())
}

struct JournalRecord {
    position: u64,
    bytes: Vec<u8>,
}

/// Reads the meta table, begins it in a new file, and counts this start.
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
            meta.insert(DISK_ID_KEY, generate())?;
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
    let mut pins = PinnedDisks::new();
    for row in transaction.open_table(PINNED_DISKS)?.iter()? {
        let (replica_id, disk_id) = row?;
        pins.insert(replica_id.value(), disk_id.value());
    }
    Ok(pins)
}

fn insert_pins(transaction: &WriteTransaction, pins: &PinnedDisks) -> Result<(), Error> {
    let mut table = transaction.open_table(PINNED_DISKS)?;
    for (replica_id, disk_id) in pins {
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
