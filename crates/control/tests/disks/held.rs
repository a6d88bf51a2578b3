//! The contents of a disk: its identity, and the state that results from its journal.
//!
//! A replica does not store which instances other replicas skipped. A single disk therefore yields
//! only a part of the accepted entries, up to the first instance whose outcome only other replicas
//! know.

use crate::machines::within_timeout;
use control::ReplicaHandle;
use mencius::{Effect, Replica, VOTING_WINDOW, Write};
use model::{ClusterState, Entry, Operation, StateMachine, compression, leases};
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use storage::ReplicaStore;

pub(crate) fn fixture_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/disks")
}

/// Reads and decompresses a recorded disk.
pub(crate) fn read_disk(name: &str) -> Vec<u8> {
    let path = fixture_folder().join(format!("{name}.redb.packed"));
    let compressed = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    compression::decompress(&compressed)
        .expect("the recorded disk is valid")
        .into_owned()
}

/// Returns the first 64 bits of the SHA-256 of the bytes in hexadecimal notation.
pub(crate) fn digest(bytes: &[u8]) -> String {
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{:016x}", leases::stable_hash(&digits))
}

/// Describes the state of a replica after a read barrier, so that it contains every confirmed
/// change.
pub(crate) async fn confirmed_state(replica: &ReplicaHandle) -> String {
    within_timeout("a read", replica.read_barrier())
        .await
        .expect("a majority answers");
    let items = replica.items().await.expect("a majority answers");
    let state_machine = replica.state_machine.load_full();
    let archive = rkyv::to_bytes::<rkyv::rancor::Error>(&items).expect("an archive");
    let first = format!(
        "first state machine: position {}, {}",
        state_machine.position,
        digest(&state_machine.to_bytes())
    );
    let second = format!(
        "second state machine: {} items, {}",
        items.len(),
        digest(&archive)
    );
    format!("{first}\n{second}\n")
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DiskContents {
    pub disk_id: u64,
    pub start_count: u64,
    /// The number of the replica, the number of replicas, and whether the disk is a founding
    /// member.
    pub membership: Option<(u16, u16, bool)>,
    pub retired: bool,
    /// The disks on record for the other replicas.
    pub pinned_disks: Vec<(u16, u64)>,
    /// The number of writes of each kind in the journal.
    pub write_counts: BTreeMap<&'static str, usize>,
    /// The digest of the writes in the journal.
    pub journal_digest: String,
    /// The first instance that the snapshot does not cover.
    pub snapshot_end: u64,
    pub votes_from: u64,
    pub next_own_instance: u64,
    /// The number of entries that are applied after the snapshot.
    pub entries_after_snapshot: usize,
    /// The first instance that is not applied.
    pub applied_below: u64,
    pub state_machine_position: u64,
    pub cluster_state_position: u64,
    pub state_machine_digest: String,
    pub cluster_state_digest: String,
    /// The digest of the state machine and the cluster state.
    pub state_digest: String,
}

impl DiskContents {
    pub(crate) fn read(store: &ReplicaStore, writes: Vec<Write>) -> DiskContents {
        let archive = rkyv::to_bytes::<rkyv::rancor::Error>(&writes).expect("an archive");
        let votes_from = writes.iter().filter_map(|write| match write {
            Write::VotingRangeStart(from) => Some(*from),
            _ => None,
        });
        let votes_from = votes_from.max().unwrap_or(0);
        let mut write_counts = BTreeMap::new();
        for write in &writes {
            *write_counts.entry(kind(write)).or_default() += 1;
        }
        let membership = store.membership.expect("the disk of a replica");
        let mut replica = Replica::restore(
            membership.replica_id,
            membership.replica_count,
            store.disk_id,
            Default::default(),
            1,
            writes,
        );
        let (mut state_machine, mut cluster_state) =
            (StateMachine::default(), ClusterState::default());
        let (mut snapshot_end, mut entries_after_snapshot) = (0, 0);
        for effect in replica.take_effects() {
            match effect {
                Effect::InstallSnapshot {
                    next_instance,
                    state,
                } => {
                    snapshot_end = next_instance;
                    (state_machine, cluster_state) = decode_snapshot(&state);
                }
                Effect::Apply(instance, value) => {
                    entries_after_snapshot += 1;
                    apply(&mut state_machine, &mut cluster_state, instance, &value);
                }
                Effect::Persist { .. } => {}
                other => panic!("unexpected effect of a replica without peers: {other:?}"),
            }
        }
        let (state_machine_bytes, cluster_state_bytes) =
            (state_machine.to_bytes(), cluster_state.to_bytes());
        DiskContents {
            disk_id: store.disk_id,
            start_count: store.start_count,
            membership: Some((
                membership.replica_id,
                membership.replica_count,
                membership.founded,
            )),
            retired: store.retired,
            pinned_disks: store
                .pinned_disks
                .iter()
                .map(|(replica_id, disk_id)| (*replica_id, *disk_id))
                .collect(),
            write_counts,
            journal_digest: digest(&archive),
            snapshot_end,
            votes_from,
            entries_after_snapshot,
            next_own_instance: replica.index(),
            applied_below: replica.applied(),
            state_machine_position: state_machine.position,
            cluster_state_position: cluster_state.position,
            state_machine_digest: digest(&state_machine_bytes),
            cluster_state_digest: digest(&cluster_state_bytes),
            state_digest: digest(&[state_machine_bytes, cluster_state_bytes].concat()),
        }
    }
}

/// The number of kinds that [`kind`] distinguishes.
pub(crate) const WRITE_KINDS: usize = 9;

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

/// Decodes a snapshot: the length of the state machine, the state machine, and the cluster state.
fn decode_snapshot(state: &[u8]) -> (StateMachine, ClusterState) {
    let state = compression::decompress(state).expect("a valid snapshot");
    let (length, rest) = state.split_at(8);
    let length = u64::from_be_bytes(length.try_into().expect("eight bytes")) as usize;
    let (state_machine, cluster_state) = rest.split_at(length);
    (
        StateMachine::from_bytes(state_machine).expect("a valid state machine"),
        ClusterState::from_bytes(cluster_state).expect("a valid cluster state"),
    )
}

fn apply(
    state_machine: &mut StateMachine,
    cluster_state: &mut ClusterState,
    instance: u64,
    value: &[u8],
) {
    let entry = Entry::from_bytes(value).expect("a valid entry");
    match entry.operation {
        Operation::ClusterState(operation) => {
            drop(cluster_state.apply(&entry.origin, entry.incarnation, entry.sequence, operation))
        }
        _ => drop(state_machine.apply_at(entry, instance, VOTING_WINDOW)),
    }
}

impl fmt::Display for DiskContents {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "disk: {:016x}", self.disk_id)?;
        writeln!(out, "starts: {}", self.start_count)?;
        if let Some((replica_id, replica_count, founded)) = self.membership {
            writeln!(
                out,
                "replica: {replica_id} of {replica_count}, there from the beginning: {founded}"
            )?;
        }
        writeln!(out, "gave its replica up: {}", self.retired)?;
        for (replica_id, disk_id) in &self.pinned_disks {
            writeln!(out, "disk of replica {replica_id}: {disk_id:016x}")?;
        }
        writeln!(out, "journal: {}", self.journal_digest)?;
        for (kind, count) in &self.write_counts {
            writeln!(out, "writes of {kind}: {count}")?;
        }
        writeln!(out, "snapshot through: {}", self.snapshot_end)?;
        writeln!(
            out,
            "entries above the snapshot: {}",
            self.entries_after_snapshot
        )?;
        writeln!(out, "votes from: {}", self.votes_from)?;
        writeln!(out, "next own instance: {}", self.next_own_instance)?;
        writeln!(out, "applied below: {}", self.applied_below)?;
        writeln!(
            out,
            "first state machine: position {}, {}",
            self.state_machine_position, self.state_machine_digest
        )?;
        writeln!(
            out,
            "second state machine: position {}, {}",
            self.cluster_state_position, self.cluster_state_digest
        )?;
        writeln!(out, "state: {}", self.state_digest)
    }
}
