//! What a disk holds: who it is, and the state that its journal leads to.
//!
//! A replica does not keep which instances others skipped, so one disk by itself leads to a part of
//! what was accepted: up to the first instance whose outcome only others can tell.

use crate::machines::soon;
use control::ReplicaHandle;
use mencius::{Effect, Replica, VOTING_WINDOW, Write};
use model::{ClusterState, Entry, Operation, StateMachine, compression, leases};
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use storage::ReplicaStore;

pub(crate) fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/disks")
}

/// The bytes of a recorded disk.
pub(crate) fn disk_of(name: &str) -> Vec<u8> {
    let path = fixtures().join(format!("{name}.redb.packed"));
    let packed = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    compression::decompress(&packed)
        .expect("a whole disk")
        .into_owned()
}

/// The first 64 bits of a SHA-256, over the digits of the bytes.
pub(crate) fn digest(bytes: &[u8]) -> String {
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{:016x}", leases::stable_hash(&digits))
}

/// What a core holds once all that it confirmed is applied, as its replicas answer it.
pub(crate) async fn answered_by(core: &ReplicaHandle) -> String {
    soon("a read", core.read_barrier())
        .await
        .expect("a majority that answers");
    let items = core.items().await.expect("a majority that answers");
    let book = core.state_machine.load_full();
    let archive = rkyv::to_bytes::<rkyv::rancor::Error>(&items).expect("an archive");
    let first = format!(
        "first state machine: position {}, {}",
        book.position,
        digest(&book.to_bytes())
    );
    let second = format!(
        "second state machine: {} items, {}",
        items.len(),
        digest(&archive)
    );
    format!("{first}\n{second}\n")
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Held {
    pub identity: u64,
    pub starts: u64,
    /// Number of its replica, number of replicas, and whether it was there from the beginning.
    pub charter: Option<(u16, u16, bool)>,
    pub retired: bool,
    /// The disks of the other replicas.
    pub others: Vec<(u16, u64)>,
    /// How many writes of each kind the journal holds.
    pub writes: BTreeMap<&'static str, usize>,
    /// Of the writes as the journal holds them.
    pub journal: String,
    pub snapshot_through: u64,
    pub votes_from: u64,
    pub next_own: u64,
    /// Known outcomes that are not in the snapshot.
    pub entries_above: usize,
    /// All below is applied.
    pub applied: u64,
    pub book_position: u64,
    pub items_position: u64,
    pub book: String,
    pub bill: String,
    /// Of both state machines.
    pub state: String,
}

impl Held {
    pub(crate) fn read(store: &ReplicaStore, writes: Vec<Write>) -> Held {
        let archive = rkyv::to_bytes::<rkyv::rancor::Error>(&writes).expect("an archive");
        let votes_from = writes.iter().filter_map(|write| match write {
            Write::VotingRangeStart(from) => Some(*from),
            _ => None,
        });
        let votes_from = votes_from.max().unwrap_or(0);
        let mut counted = BTreeMap::new();
        for write in &writes {
            *counted.entry(kind(write)).or_default() += 1;
        }
        let charter = store.membership.expect("the disk of a replica");
        let mut machine = Replica::restore(
            charter.replica_id,
            charter.replica_count,
            store.disk_id,
            Default::default(),
            1,
            writes,
        );
        let (mut book, mut bill) = (StateMachine::default(), ClusterState::default());
        let (mut snapshot_through, mut entries_above) = (0, 0);
        for effect in machine.take_effects() {
            match effect {
                Effect::InstallSnapshot {
                    next_instance,
                    state,
                } => {
                    snapshot_through = next_instance;
                    (book, bill) = installed(&state);
                }
                Effect::Apply(instance, value) => {
                    entries_above += 1;
                    apply(&mut book, &mut bill, instance, &value);
                }
                Effect::Persist { .. } => {}
                other => panic!("a machine without mates asks for {other:?}"),
            }
        }
        let (book_bytes, bill_bytes) = (book.to_bytes(), bill.to_bytes());
        Held {
            identity: store.disk_id,
            starts: store.start_count,
            charter: Some((charter.replica_id, charter.replica_count, charter.founded)),
            retired: store.retired,
            others: store
                .pinned_disks
                .iter()
                .map(|(replica, disk)| (*replica, *disk))
                .collect(),
            writes: counted,
            journal: digest(&archive),
            snapshot_through,
            votes_from,
            entries_above,
            next_own: machine.index(),
            applied: machine.applied(),
            book_position: book.position,
            items_position: bill.position,
            book: digest(&book_bytes),
            bill: digest(&bill_bytes),
            state: digest(&[book_bytes, bill_bytes].concat()),
        }
    }
}

/// As many as `kind` tells apart.
pub(crate) const KINDS_OF_WRITES: usize = 9;

fn kind(write: &Write) -> &'static str {
    match write {
        Write::Index(_) => "own index",
        Write::ProposalCounter(_) => "counter",
        Write::Promise { .. } => "promise",
        Write::Accept { .. } => "accepted value",
        Write::AcceptNoOps { .. } => "accepted no-ops",
        Write::Chosen { .. } => "outcome",
        Write::Skipped { .. } => "skipped block",
        Write::Snapshot { .. } => "snapshot",
        Write::VotingRangeStart(_) => "beginning of votes",
    }
}

/// A snapshot is both state machines, the length of the first before it.
fn installed(state: &[u8]) -> (StateMachine, ClusterState) {
    let state = compression::decompress(state).expect("a whole snapshot");
    let (length, rest) = state.split_at(8);
    let length = u64::from_be_bytes(length.try_into().expect("eight bytes")) as usize;
    let (book, bill) = rest.split_at(length);
    (
        StateMachine::from_bytes(book).expect("a book"),
        ClusterState::from_bytes(bill).expect("a bill"),
    )
}

fn apply(book: &mut StateMachine, bill: &mut ClusterState, instance: u64, value: &[u8]) {
    let entry = Entry::from_bytes(value).expect("an entry that holds together");
    match entry.operation {
        Operation::ClusterState(act) => {
            drop(bill.apply(&entry.origin, entry.incarnation, entry.sequence, act))
        }
        _ => drop(book.apply_at(entry, instance, VOTING_WINDOW)),
    }
}

impl fmt::Display for Held {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "disk: {:016x}", self.identity)?;
        writeln!(out, "starts: {}", self.starts)?;
        if let Some((replica, replicas, founded)) = self.charter {
            writeln!(
                out,
                "replica: {replica} of {replicas}, there from the beginning: {founded}"
            )?;
        }
        writeln!(out, "gave its replica up: {}", self.retired)?;
        for (replica, disk) in &self.others {
            writeln!(out, "disk of replica {replica}: {disk:016x}")?;
        }
        writeln!(out, "journal: {}", self.journal)?;
        for (kind, count) in &self.writes {
            writeln!(out, "writes of {kind}: {count}")?;
        }
        writeln!(out, "snapshot through: {}", self.snapshot_through)?;
        writeln!(out, "entries above the snapshot: {}", self.entries_above)?;
        writeln!(out, "votes from: {}", self.votes_from)?;
        writeln!(out, "next own instance: {}", self.next_own)?;
        writeln!(out, "applied below: {}", self.applied)?;
        writeln!(
            out,
            "first state machine: position {}, {}",
            self.book_position, self.book
        )?;
        writeln!(
            out,
            "second state machine: position {}, {}",
            self.items_position, self.bill
        )?;
        writeln!(out, "state: {}", self.state)
    }
}
