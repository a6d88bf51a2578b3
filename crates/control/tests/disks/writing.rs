//! Writes the recorded disks. It founds a cluster over loopback connections, submits entries, stops
//! one replica, replaces its disk by a new one, and submits further entries.

use crate::entries::{
    after_the_replacement, before_the_replacement, while_one_replica_is_unreachable,
};
use crate::held::{DiskContents, confirmed_state};
use crate::machines::{Machine, wait_until};
use control::ReplicaHandle;
use model::{Entry, Outcome, compression};
use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;
use storage::{MembershipRecord, ReplicaStore};
use tokio::runtime::{Builder, Runtime};

const REPLICAS: usize = 3;
/// The number of entries between two snapshots. Replica 2 takes its first after ten entries,
/// because the replicas are staggered; all replicas take one at the replacement.
const SNAPSHOT_EVERY_ENTRIES: u64 = 30;
/// Time for which a disk must be unreachable before a new one may replace it, in microseconds.
const REPLACE_AFTER: u64 = 2_000_000;
/// Timeout for the tasks of a stopped replica to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// A replica with its own runtime, so that it can be stopped without the others.
struct RunningReplica {
    runtime: Runtime,
    handle: ReplicaHandle,
    membership: MembershipRecord,
    folder: PathBuf,
}

fn new_runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts")
}

async fn start(
    machine: Machine,
    seeds: Vec<String>,
    first_start: bool,
) -> (MembershipRecord, ReplicaHandle) {
    let (membership, store, writes) = machine.obtain_membership(&seeds, first_start).await;
    let mut config = machine.replica_config(&seeds, Some(membership), REPLACE_AFTER);
    config.snapshot_every_entries = SNAPSHOT_EVERY_ENTRIES;
    let handle = ReplicaHandle::start_on(config, store, writes, model::logging::discard_logger())
        .expect("the replica starts");
    tokio::spawn(control::updates::server::listen(
        handle.clone(),
        machine.listener,
    ));
    (membership, handle)
}

impl RunningReplica {
    /// Stops the replica, waits until its database is closed, and returns its folder.
    fn stop(self) -> PathBuf {
        drop(self.handle);
        self.runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        while ReplicaStore::open(&self.folder).is_err() {
            thread::sleep(Duration::from_millis(20));
        }
        self.folder
    }
}

fn found_cluster() -> Vec<RunningReplica> {
    let runtimes: Vec<Runtime> = (0..REPLICAS).map(|_| new_runtime()).collect();
    let numbered = runtimes.iter().enumerate();
    let machines: Vec<Machine> = numbered
        .map(|(number, runtime)| runtime.block_on(Machine::new("writes", number)))
        .collect();
    let seeds: Vec<String> = machines
        .iter()
        .map(|machine| machine.address.clone())
        .collect();
    let folders: Vec<PathBuf> = machines
        .iter()
        .map(|machine| machine.folder.clone())
        .collect();
    let starts = runtimes.iter().zip(machines);
    let starts: Vec<_> = starts
        .map(|(runtime, machine)| runtime.spawn(start(machine, seeds.clone(), true)))
        .collect();
    let mut replicas = Vec::new();
    for ((runtime, start), folder) in runtimes.into_iter().zip(starts).zip(folders) {
        let (membership, handle) = runtime.block_on(start).expect("the replica starts");
        replicas.push(RunningReplica {
            runtime,
            handle,
            membership,
            folder,
        });
    }
    replicas.sort_by_key(|replica| replica.membership.replica_id);
    replicas
}

fn submit(replica: &RunningReplica, entry: Entry) {
    let outcome = replica.runtime.block_on(replica.handle.submit(entry));
    assert!(
        matches!(outcome, Some(Outcome::Accepted { .. })),
        "{outcome:?}"
    );
}

/// Submits the entries, one after the other, to the replicas in turn.
fn submit_all(replicas: &[RunningReplica], entries: Vec<Entry>) {
    for (entry, number) in entries.into_iter().zip(0..) {
        submit(&replicas[number % replicas.len()], entry);
    }
}

/// Waits until every replica votes and is connected to all others.
fn wait_until_connected(replicas: &[RunningReplica]) {
    for replica in replicas {
        let handle = &replica.handle;
        let is_connected = || {
            handle.status.load().voting && handle.status.load().connected_replicas == replicas.len()
        };
        replica.runtime.block_on(wait_until(
            "a voting replica connected to all others",
            is_connected,
        ));
    }
}

/// Waits until every replica has applied the latest entry.
fn wait_until_applied(replicas: &[RunningReplica]) {
    for replica in replicas {
        replica
            .runtime
            .block_on(replica.handle.read_barrier())
            .expect("a majority answers");
    }
}

pub(crate) fn write_fixtures(folder: &Path) {
    let mut replicas = found_cluster();
    wait_until_connected(&replicas);
    submit_all(&replicas, before_the_replacement());
    wait_until_applied(&replicas);

    let lost = replicas.pop().expect("a replica");
    let replica_id = lost.membership.replica_id;
    let replaced = lost.stop();
    submit_all(&replicas, while_one_replica_is_unreachable());
    for replica in &replicas {
        let is_vacant = || replica.handle.status.load().vacant_replicas == [replica_id];
        replica
            .runtime
            .block_on(wait_until("a vacant replica", is_vacant));
    }

    let runtime = new_runtime();
    let machine = runtime.block_on(Machine::new("writes", REPLICAS));
    let new_folder = machine.folder.clone();
    let seeds: Vec<String> = replicas
        .iter()
        .map(|replica| {
            replica
                .handle
                .handshake(transport::Purpose::Consensus)
                .address
        })
        .collect();
    let (membership, handle) = runtime
        .block_on(runtime.spawn(start(machine, seeds, false)))
        .expect("the replica starts");
    assert_eq!(
        (membership.replica_id, membership.founded),
        (replica_id, false)
    );
    replicas.push(RunningReplica {
        runtime,
        handle,
        membership,
        folder: new_folder,
    });
    wait_until_connected(&replicas);
    for replica in &replicas {
        let handle = &replica.handle;
        let has_snapshot = || handle.status.load().compacted_below > mencius::VOTING_WINDOW;
        replica
            .runtime
            .block_on(wait_until("a snapshot past the replacement", has_snapshot));
    }
    submit_all(&replicas, after_the_replacement());
    wait_until_applied(&replicas);

    fs::create_dir_all(folder).expect("the folder of fixtures is created");
    let states: Vec<String> = replicas
        .iter()
        .map(|replica| replica.runtime.block_on(confirmed_state(&replica.handle)))
        .collect();
    assert!(
        states.windows(2).all(|pair| pair[0] == pair[1]),
        "{states:?}"
    );
    fs::write(folder.join("confirmed.txt"), &states[0]).expect("a fixture is written");
    for replica in replicas {
        let name = format!("replica-{}", replica.membership.replica_id);
        record_disk(folder, &name, &replica.stop());
    }
    record_disk(folder, "replaced", &replaced);
}

/// Writes a disk as a fixture, compressed because most of the file is empty, together with the text
/// of its contents at the next start.
fn record_disk(folder: &Path, name: &str, disk: &Path) {
    let bytes = fs::read(disk.join("core.redb")).expect("the database is closed");
    fs::write(
        folder.join(format!("{name}.redb.packed")),
        compression::compress(bytes),
    )
    .expect("a fixture is written");
    let opened = ReplicaStore::open(disk).expect("the disk opens");
    fs::write(
        folder.join(format!("{name}.txt")),
        DiskContents::read(&opened.store, opened.writes).to_string(),
    )
    .expect("a fixture is written");
    drop(opened.store);
    fs::remove_dir_all(disk).expect("the disk is removed");
}
