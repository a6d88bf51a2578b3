//! The file itself. Every commit is synced before it is reported (design 3.3).

use redb::ReadableTable as _;
use std::path::Path;

const META: redb::TableDefinition<&str, u64> = redb::TableDefinition::new("meta");
const PINNED_DISKS: redb::TableDefinition<u16, u64> = redb::TableDefinition::new("pins");
/// The keys in `META` of the seat that this disk was given.
const MEMBERSHIP_KEYS: [&str; 3] = ["seat", "seats", "founded"];
/// The key in `META` under which starts are counted.
const STARTS: &str = "starts";
/// The key in `META` that is there once this disk gave up a seat.
const RETIRED: &str = "retired";
const JOURNAL: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("journal");

/// How the store is opened, and opened again after a failure has spoilt it.
type Opener = Box<dyn Fn() -> Result<redb::Database, crate::Error> + Send>;

pub struct ReplicaStore {
    database: Option<redb::Database>,
    opener: Opener,
    next_position: u64,
    pub disk_id: crate::DiskId,
    pub pinned_disks: crate::PinnedDisks,
    /// The seat this disk was given, if it was not told by settings.
    pub membership: Option<crate::MembershipRecord>,
    /// Its seat was another disk's and it was let go: this disk never founds a core.
    pub retired: bool,
    /// How often a process has opened this store, this one included: a later start has the greater number.
    pub start_count: u64,
}

fn store_error<E: Into<redb::Error>>(error: E) -> crate::Error {
    crate::Error::Store(error.into())
}

impl ReplicaStore {
    /// Opens the file in `folder`, or makes it with a new identity, and reads the journal back.
    pub fn open(folder: &Path) -> Result<(ReplicaStore, Vec<mencius::Write>), crate::Error> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("core.redb");
        ReplicaStore::load(Box::new(move || {
            redb::Database::create(&path).map_err(store_error)
        }))
    }

    /// Over any storage: the fault tests bring their own (design 9.4).
    pub fn open_with_backend<B: redb::StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<(ReplicaStore, Vec<mencius::Write>), crate::Error> {
        ReplicaStore::load(Box::new(move || {
            redb::Builder::new()
                .create_with_backend(backend())
                .map_err(store_error)
        }))
    }

    fn load(opener: Opener) -> Result<(ReplicaStore, Vec<mencius::Write>), crate::Error> {
        let database = opener()?;
        let change = database.begin_write().map_err(store_error)?;
        let (identity, charter, retired, starts, pins, raw) = {
            let mut meta = change.open_table(META).map_err(store_error)?;
            let found = meta
                .get("layout")
                .map_err(store_error)?
                .map(|held| held.value());
            match found {
                Some(crate::LAYOUT_VERSION) => {}
                Some(found) => return Err(crate::Error::Layout { found }),
                None => {
                    meta.insert("layout", crate::LAYOUT_VERSION)
                        .map_err(store_error)?;
                    meta.insert("identity", crate::identity::generate())
                        .map_err(store_error)?;
                }
            }
            let identity = meta
                .get("identity")
                .map_err(store_error)?
                .map(|held| held.value())
                .unwrap_or_default();
            let starts = meta
                .get(STARTS)
                .map_err(store_error)?
                .map(|held| held.value())
                .unwrap_or_default()
                + 1;
            meta.insert(STARTS, starts).map_err(store_error)?;
            let word = |name: &str| {
                meta.get(name)
                    .map(|held| held.map(|held| held.value()))
                    .map_err(store_error)
            };
            let [seat, seats, founded] = MEMBERSHIP_KEYS;
            let charter = word(seat)?.zip(word(seats)?).zip(word(founded)?);
            let charter = charter.map(|((seat, seats), founded)| crate::MembershipRecord {
                replica_id: seat as u16,
                replica_count: seats as u16,
                founded: founded == 1,
            });
            let retired = word(RETIRED)?.is_some();
            let pins = change.open_table(PINNED_DISKS).map_err(store_error)?;
            let pins = pins
                .iter()
                .map_err(store_error)?
                .map(|row| {
                    row.map(|(seat, identity)| (seat.value(), identity.value()))
                        .map_err(store_error)
                })
                .collect::<Result<crate::PinnedDisks, _>>()?;
            let journal = change.open_table(JOURNAL).map_err(store_error)?;
            let raw = journal
                .iter()
                .map_err(store_error)?
                .map(|row| {
                    row.map(|(at, bytes)| (at.value(), bytes.value().to_vec()))
                        .map_err(store_error)
                })
                .collect::<Result<Vec<(u64, Vec<u8>)>, _>>()?;
            (identity, charter, retired, starts, pins, raw)
        };
        change.commit().map_err(store_error)?;
        let next = raw.last().map(|(at, _)| at + 1).unwrap_or(0);
        let writes = raw
            .into_iter()
            .map(|(at, bytes)| decode(&bytes).ok_or(crate::Error::Damaged { position: at }))
            .collect::<Result<Vec<Vec<mencius::Write>>, _>>()?;
        Ok((
            ReplicaStore {
                database: Some(database),
                opener,
                next_position: next,
                disk_id: identity,
                pinned_disks: pins,
                membership: charter,
                retired,
                start_count: starts,
            },
            writes.into_iter().flatten().collect(),
        ))
    }

    /// One transaction, one sync. `afresh` replaces all that was kept. After a failure it may be called
    /// again with the same: whether the first got through is looked up, not guessed.
    pub fn append(&mut self, writes: &[mencius::Write], afresh: bool) -> Result<(), crate::Error> {
        let bytes = encode(writes);
        let next = self.next_position;
        self.transact(|change| {
            let mut journal = change.open_table(JOURNAL).map_err(store_error)?;
            if journal.get(next).map_err(store_error)?.is_some() {
                return Ok(());
            }
            if afresh {
                journal.retain(|_, _| false).map_err(store_error)?;
            }
            journal
                .insert(next, bytes.as_slice())
                .map_err(store_error)?;
            Ok(())
        })?;
        self.next_position += 1;
        Ok(())
    }

    /// A store that failed once answers nothing more: it is closed and opened again.
    fn transact(
        &mut self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<(), crate::Error>,
    ) -> Result<(), crate::Error> {
        let database = match self.database.take() {
            Some(database) => database,
            None => (self.opener)()?,
        };
        let change = database.begin_write().map_err(store_error)?;
        work(&change)?;
        change.commit().map_err(store_error)?;
        self.database = Some(database);
        Ok(())
    }

    /// Seats changed hands in the log; `writes` go into the journal in the same transaction.
    pub fn replace_pins(
        &mut self,
        pins: &[(u16, crate::DiskId)],
        writes: &[mencius::Write],
    ) -> Result<(), crate::Error> {
        let (next, bytes) = (self.next_position, encode(writes));
        self.transact(|change| {
            let mut table = change.open_table(PINNED_DISKS).map_err(store_error)?;
            pins.iter().try_for_each(|(seat, identity)| {
                table.insert(seat, identity).map(drop).map_err(store_error)
            })?;
            if !writes.is_empty() {
                change
                    .open_table(JOURNAL)
                    .map_err(store_error)?
                    .insert(next, bytes.as_slice())
                    .map_err(store_error)?;
            }
            Ok(())
        })?;
        self.next_position += !writes.is_empty() as u64;
        self.pinned_disks.extend(pins.iter().copied());
        Ok(())
    }

    /// Keeps which seat this disk was given and, at a founding, who holds the others (design 12.1).
    pub fn record_membership(
        &mut self,
        charter: crate::MembershipRecord,
        pins: &[(u16, crate::DiskId)],
    ) -> Result<(), crate::Error> {
        self.transact(|change| {
            let mut meta = change.open_table(META).map_err(store_error)?;
            let words = MEMBERSHIP_KEYS.into_iter().zip([
                charter.replica_id as u64,
                charter.replica_count as u64,
                charter.founded as u64,
            ]);
            words.into_iter().try_for_each(|(name, held)| {
                meta.insert(name, held).map(drop).map_err(store_error)
            })?;
            let mut table = change.open_table(PINNED_DISKS).map_err(store_error)?;
            pins.iter()
                .filter(|(seat, _)| *seat != charter.replica_id)
                .try_for_each(|(seat, identity)| {
                    table.insert(seat, identity).map(drop).map_err(store_error)
                })
        })?;
        self.pinned_disks.extend(
            pins.iter()
                .filter(|(seat, _)| *seat != charter.replica_id)
                .copied(),
        );
        self.membership = Some(charter);
        Ok(())
    }

    /// Another disk holds this one's seat for good: all that was kept for the seat goes, and the disk is a new one.
    pub fn retire(&mut self) -> Result<(), crate::Error> {
        let identity = crate::identity::generate();
        self.transact(|change| {
            let mut meta = change.open_table(META).map_err(store_error)?;
            MEMBERSHIP_KEYS
                .iter()
                .try_for_each(|name| meta.remove(*name).map(drop).map_err(store_error))?;
            meta.insert("identity", identity).map_err(store_error)?;
            meta.insert(RETIRED, 1).map_err(store_error)?;
            change
                .open_table(PINNED_DISKS)
                .map_err(store_error)?
                .retain(|_, _| false)
                .map_err(store_error)?;
            change
                .open_table(JOURNAL)
                .map_err(store_error)?
                .retain(|_, _| false)
                .map_err(store_error)
        })?;
        self.disk_id = identity;
        (self.membership, self.retired) = (None, true);
        self.pinned_disks.clear();
        Ok(())
    }

    /// Binds a seat to the disk first met in it. Answers the identity held afterwards.
    pub fn pin_disk(
        &mut self,
        seat: u16,
        identity: crate::DiskId,
    ) -> Result<crate::DiskId, crate::Error> {
        if let Some(held) = self.pinned_disks.get(&seat) {
            return Ok(*held);
        }
        self.replace_pins(&[(seat, identity)], &[])?;
        Ok(identity)
    }
}

const DIGEST_LENGTH: usize = 16;

fn digest(bytes: &[u8]) -> Vec<u8> {
    <sha2::Sha256 as sha2::Digest>::digest(bytes)[..DIGEST_LENGTH].to_vec()
}

/// A record begins with a digest of the rest: damage is noticed when it is read.
fn encode(writes: &[mencius::Write]) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(&writes.to_vec())
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default();
    [digest(&bytes), bytes].concat()
}

fn decode(record: &[u8]) -> Option<Vec<mencius::Write>> {
    let (_, bytes) = record
        .split_at_checked(DIGEST_LENGTH)
        .filter(|(told, bytes)| digest(bytes) == *told)?;
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<Vec<mencius::Write>, rkyv::rancor::Error>(&aligned).ok()
}

#[cfg(test)]
mod tests {
    use mencius::{ProposalNumber, Write};

    #[test]
    fn a_reopened_shelf_keeps_identity_pins_and_order() {
        let folder = std::env::temp_dir().join(format!("gradeford-vault-{}", std::process::id()));
        let writes = vec![
            Write::Index(7),
            Write::Accept {
                instance: 2,
                proposal_number: ProposalNumber::INITIAL,
                value: vec![1, 2],
            },
        ];
        let identity = {
            let (mut shelf, found) = super::ReplicaStore::open(&folder).expect("a new shelf");
            assert!(found.is_empty());
            shelf.append(&writes, false).expect("append");
            shelf
                .append(&[Write::ProposalCounter(3)], false)
                .expect("append");
            assert_eq!(shelf.pin_disk(1, 11).expect("pin"), 11);
            assert_eq!(
                shelf.pin_disk(1, 12).expect("pin"),
                11,
                "a seat stays with the disk first met"
            );
            shelf.disk_id
        };
        let (mut shelf, found) = super::ReplicaStore::open(&folder).expect("the same shelf");
        assert_eq!(
            (shelf.disk_id, shelf.pinned_disks.get(&1)),
            (identity, Some(&11))
        );
        assert_eq!(found, [writes, vec![Write::ProposalCounter(3)]].concat());
        shelf.append(&[Write::Index(9)], true).expect("afresh");
        drop(shelf);
        assert_eq!(
            crate::store::ReplicaStore::open(&folder).expect("again").1,
            vec![Write::Index(9)]
        );
        std::fs::remove_dir_all(&folder).expect("clean");
    }
}
