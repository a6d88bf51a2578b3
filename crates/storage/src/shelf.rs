//! The file itself. Every commit is synced before it is reported (design 3.3).

use redb::ReadableTable as _;

const META: redb::TableDefinition<&str, u64> = redb::TableDefinition::new("meta");
const PINS: redb::TableDefinition<u16, u64> = redb::TableDefinition::new("pins");
/// The keys in `META` of the seat that this disk was given.
const CHARTER: [&str; 3] = ["seat", "seats", "founded"];
/// The key in `META` under which starts are counted.
const STARTS: &str = "starts";
/// The key in `META` that is there once this disk gave up a seat.
const RETIRED: &str = "retired";
const JOURNAL: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("journal");

/// How the store is opened, and opened again after a failure has spoilt it.
type Opener = Box<dyn Fn() -> Result<redb::Database, crate::Trouble> + Send>;

pub struct Shelf {
    store: Option<redb::Database>,
    opener: Opener,
    next: u64,
    pub identity: crate::Identity,
    pub pins: crate::Pins,
    /// The seat this disk was given, if it was not told by settings.
    pub charter: Option<crate::Charter>,
    /// Its seat was another disk's and it was let go: this disk never founds a core.
    pub retired: bool,
    /// How often a process has opened this store, this one included: a later start has the greater number.
    pub starts: u64,
}

fn store<E: Into<redb::Error>>(error: E) -> crate::Trouble {
    crate::Trouble::Store(error.into())
}

impl Shelf {
    /// Opens the file in `folder`, or makes it with a new identity, and reads the journal back.
    pub fn open(folder: &std::path::Path) -> Result<(Shelf, Vec<mencius::Write>), crate::Trouble> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("core.redb");
        Shelf::load(Box::new(move || redb::Database::create(&path).map_err(store)))
    }

    /// Over any storage: the fault tests bring their own (design 9.4).
    pub fn open_on<B: redb::StorageBackend>(backend: impl Fn() -> B + Send + 'static) -> Result<(Shelf, Vec<mencius::Write>), crate::Trouble> {
        Shelf::load(Box::new(move || redb::Builder::new().create_with_backend(backend()).map_err(store)))
    }

    fn load(opener: Opener) -> Result<(Shelf, Vec<mencius::Write>), crate::Trouble> {
        let database = opener()?;
        let change = database.begin_write().map_err(store)?;
        let (identity, charter, retired, starts, pins, raw) = {
            let mut meta = change.open_table(META).map_err(store)?;
            let found = meta.get("layout").map_err(store)?.map(|held| held.value());
            match found {
                Some(crate::LAYOUT) => {}
                Some(found) => return Err(crate::Trouble::Layout { found }),
                None => {
                    meta.insert("layout", crate::LAYOUT).map_err(store)?;
                    meta.insert("identity", crate::identity::draw()).map_err(store)?;
                }
            }
            let identity = meta.get("identity").map_err(store)?.map(|held| held.value()).unwrap_or_default();
            let starts = meta.get(STARTS).map_err(store)?.map(|held| held.value()).unwrap_or_default() + 1;
            meta.insert(STARTS, starts).map_err(store)?;
            let word = |name: &str| meta.get(name).map(|held| held.map(|held| held.value())).map_err(store);
            let [seat, seats, founded] = CHARTER;
            let charter = word(seat)?.zip(word(seats)?).zip(word(founded)?);
            let charter = charter.map(|((seat, seats), founded)| crate::Charter { seat: seat as u16, seats: seats as u16, founded: founded == 1 });
            let retired = word(RETIRED)?.is_some();
            let pins = change.open_table(PINS).map_err(store)?;
            let pins = pins
                .iter()
                .map_err(store)?
                .map(|row| row.map(|(seat, identity)| (seat.value(), identity.value())).map_err(store))
                .collect::<Result<crate::Pins, _>>()?;
            let journal = change.open_table(JOURNAL).map_err(store)?;
            let raw = journal
                .iter()
                .map_err(store)?
                .map(|row| row.map(|(at, bytes)| (at.value(), bytes.value().to_vec())).map_err(store))
                .collect::<Result<Vec<(u64, Vec<u8>)>, _>>()?;
            (identity, charter, retired, starts, pins, raw)
        };
        change.commit().map_err(store)?;
        let next = raw.last().map(|(at, _)| at + 1).unwrap_or(0);
        let writes =
            raw.into_iter().map(|(at, bytes)| decode(&bytes).ok_or(crate::Trouble::Damaged { at })).collect::<Result<Vec<Vec<mencius::Write>>, _>>()?;
        Ok((Shelf { store: Some(database), opener, next, identity, pins, charter, retired, starts }, writes.into_iter().flatten().collect()))
    }

    /// One transaction, one sync. `afresh` replaces all that was kept. After a failure it may be called
    /// again with the same: whether the first got through is looked up, not guessed.
    pub fn append(&mut self, writes: &[mencius::Write], afresh: bool) -> Result<(), crate::Trouble> {
        let bytes = encode(writes);
        let next = self.next;
        self.change(|change| {
            let mut journal = change.open_table(JOURNAL).map_err(store)?;
            if journal.get(next).map_err(store)?.is_some() {
                return Ok(());
            }
            if afresh {
                journal.retain(|_, _| false).map_err(store)?;
            }
            journal.insert(next, bytes.as_slice()).map_err(store)?;
            Ok(())
        })?;
        self.next += 1;
        Ok(())
    }

    /// A store that failed once answers nothing more: it is closed and opened again.
    fn change(&mut self, work: impl FnOnce(&redb::WriteTransaction) -> Result<(), crate::Trouble>) -> Result<(), crate::Trouble> {
        let database = match self.store.take() {
            Some(database) => database,
            None => (self.opener)()?,
        };
        let change = database.begin_write().map_err(store)?;
        work(&change)?;
        change.commit().map_err(store)?;
        self.store = Some(database);
        Ok(())
    }

    /// Seats changed hands in the log; `writes` go into the journal in the same transaction.
    pub fn repin(&mut self, pins: &[(u16, crate::Identity)], writes: &[mencius::Write]) -> Result<(), crate::Trouble> {
        let (next, bytes) = (self.next, encode(writes));
        self.change(|change| {
            let mut table = change.open_table(PINS).map_err(store)?;
            pins.iter().try_for_each(|(seat, identity)| table.insert(seat, identity).map(drop).map_err(store))?;
            if !writes.is_empty() {
                change.open_table(JOURNAL).map_err(store)?.insert(next, bytes.as_slice()).map_err(store)?;
            }
            Ok(())
        })?;
        self.next += !writes.is_empty() as u64;
        self.pins.extend(pins.iter().copied());
        Ok(())
    }

    /// Keeps which seat this disk was given and, at a founding, who holds the others (design 12.1).
    pub fn take_seat(&mut self, charter: crate::Charter, pins: &[(u16, crate::Identity)]) -> Result<(), crate::Trouble> {
        self.change(|change| {
            let mut meta = change.open_table(META).map_err(store)?;
            let words = CHARTER.into_iter().zip([charter.seat as u64, charter.seats as u64, charter.founded as u64]);
            words.into_iter().try_for_each(|(name, held)| meta.insert(name, held).map(drop).map_err(store))?;
            let mut table = change.open_table(PINS).map_err(store)?;
            pins.iter().filter(|(seat, _)| *seat != charter.seat).try_for_each(|(seat, identity)| table.insert(seat, identity).map(drop).map_err(store))
        })?;
        self.pins.extend(pins.iter().filter(|(seat, _)| *seat != charter.seat).copied());
        self.charter = Some(charter);
        Ok(())
    }

    /// Another disk holds this one's seat for good: all that was kept for the seat goes, and the disk is a new one.
    pub fn retire(&mut self) -> Result<(), crate::Trouble> {
        let identity = crate::identity::draw();
        self.change(|change| {
            let mut meta = change.open_table(META).map_err(store)?;
            CHARTER.iter().try_for_each(|name| meta.remove(*name).map(drop).map_err(store))?;
            meta.insert("identity", identity).map_err(store)?;
            meta.insert(RETIRED, 1).map_err(store)?;
            change.open_table(PINS).map_err(store)?.retain(|_, _| false).map_err(store)?;
            change.open_table(JOURNAL).map_err(store)?.retain(|_, _| false).map_err(store)
        })?;
        self.identity = identity;
        (self.charter, self.retired) = (None, true);
        self.pins.clear();
        Ok(())
    }

    /// Binds a seat to the disk first met in it. Answers the identity held afterwards.
    pub fn pin(&mut self, seat: u16, identity: crate::Identity) -> Result<crate::Identity, crate::Trouble> {
        if let Some(held) = self.pins.get(&seat) {
            return Ok(*held);
        }
        self.repin(&[(seat, identity)], &[])?;
        Ok(identity)
    }
}

const DIGEST: usize = 16;

fn digest(bytes: &[u8]) -> Vec<u8> {
    <sha2::Sha256 as sha2::Digest>::digest(bytes)[..DIGEST].to_vec()
}

/// A record begins with a digest of the rest: damage is noticed when it is read.
fn encode(writes: &[mencius::Write]) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(&writes.to_vec()).map(|bytes| bytes.to_vec()).unwrap_or_default();
    [digest(&bytes), bytes].concat()
}

fn decode(record: &[u8]) -> Option<Vec<mencius::Write>> {
    let (_, bytes) = record.split_at_checked(DIGEST).filter(|(told, bytes)| digest(bytes) == *told)?;
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<Vec<mencius::Write>, rkyv::rancor::Error>(&aligned).ok()
}

#[cfg(test)]
mod tests {
    use mencius::{Round, Write};

    #[test]
    fn a_reopened_shelf_keeps_identity_pins_and_order() {
        let folder = std::env::temp_dir().join(format!("gradeford-vault-{}", std::process::id()));
        let writes = vec![Write::Index(7), Write::Accept { instance: 2, round: Round::FIRST, value: vec![1, 2] }];
        let identity = {
            let (mut shelf, found) = super::Shelf::open(&folder).expect("a new shelf");
            assert!(found.is_empty());
            shelf.append(&writes, false).expect("append");
            shelf.append(&[Write::Counter(3)], false).expect("append");
            assert_eq!(shelf.pin(1, 11).expect("pin"), 11);
            assert_eq!(shelf.pin(1, 12).expect("pin"), 11, "a seat stays with the disk first met");
            shelf.identity
        };
        let (mut shelf, found) = super::Shelf::open(&folder).expect("the same shelf");
        assert_eq!((shelf.identity, shelf.pins.get(&1)), (identity, Some(&11)));
        assert_eq!(found, [writes, vec![Write::Counter(3)]].concat());
        shelf.append(&[Write::Index(9)], true).expect("afresh");
        drop(shelf);
        assert_eq!(super::Shelf::open(&folder).expect("again").1, vec![Write::Index(9)]);
        std::fs::remove_dir_all(&folder).expect("clean");
    }
}
