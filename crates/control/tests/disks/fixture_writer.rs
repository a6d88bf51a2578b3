//! Writes the recorded disks: a core over loopback is founded, changed, loses one replica's disk,
//! gives the replica to a new disk and is changed again.

use crate::contents::{Held, answered_by};
use crate::entries::{after_the_replacement, before_the_replacement, while_one_is_away};
use crate::machines::{Machine, until};
use control::ReplicaHandle;
use model::{Entry, Outcome, compression};
use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;
use storage::{MembershipRecord, ReplicaStore};
use tokio::runtime::{Builder, Runtime};

const REPLICAS: usize = 3;
/// The third replica writes its first after ten entries; all write one at the replacement.
const SNAPSHOT_EVERY: u64 = 30;
/// How long a disk must be away before a new one gets its replica, in microseconds.
const REPLACE_AFTER: u64 = 2_000_000;
const STOP: Duration = Duration::from_secs(5);

/// A core machine with a runtime of its own, so that it ends without the others.
struct Running {
    runtime: Runtime,
    core: ReplicaHandle,
    charter: MembershipRecord,
    folder: PathBuf,
}

fn runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
}

async fn start(
    machine: Machine,
    seeds: Vec<String>,
    first: bool,
) -> (MembershipRecord, ReplicaHandle) {
    let (charter, store, writes) = machine.settle(&seeds, first).await;
    let mut settings = machine.core(&seeds, Some(charter), REPLACE_AFTER);
    settings.snapshot_every_entries = SNAPSHOT_EVERY;
    let core = ReplicaHandle::start_on(settings, store, writes, model::logging::discard_logger())
        .expect("a replica");
    tokio::spawn(control::updates::server::listen(
        core.clone(),
        machine.listener,
    ));
    (charter, core)
}

impl Running {
    /// Ends it, and waits until its disk is let go.
    fn stop(self) -> PathBuf {
        drop(self.core);
        self.runtime.shutdown_timeout(STOP);
        while ReplicaStore::open(&self.folder).is_err() {
            thread::sleep(Duration::from_millis(20));
        }
        self.folder
    }
}

fn founded() -> Vec<Running> {
    let runtimes: Vec<Runtime> = (0..REPLICAS).map(|_| runtime()).collect();
    let made = runtimes.iter().enumerate();
    let machines: Vec<Machine> = made
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
    let mut running = Vec::new();
    for ((runtime, start), folder) in runtimes.into_iter().zip(starts).zip(folders) {
        let (charter, core) = runtime.block_on(start).expect("a replica");
        running.push(Running {
            runtime,
            core,
            charter,
            folder,
        });
    }
    running.sort_by_key(|running| running.charter.replica_id);
    running
}

fn accepted(running: &Running, entry: Entry) {
    let outcome = running.runtime.block_on(running.core.submit(entry));
    assert!(
        matches!(outcome, Some(Outcome::Accepted { .. })),
        "{outcome:?}"
    );
}

/// Each replica in turn suggests one.
fn submitted(running: &[Running], entries: Vec<Entry>) {
    for (entry, number) in entries.into_iter().zip(0..) {
        accepted(&running[number % running.len()], entry);
    }
}

fn all_in_touch(running: &[Running]) {
    for replica in running {
        let core = &replica.core;
        let holds =
            || core.status.load().voting && core.status.load().connected_replicas == running.len();
        replica.runtime.block_on(until("a vote", holds));
    }
}

/// The latest entry is applied, and known to be, at each.
fn all_alike(running: &[Running]) {
    for replica in running {
        replica
            .runtime
            .block_on(replica.core.read_barrier())
            .expect("a majority that answers");
    }
}

pub(crate) fn write_fixtures(folder: &Path) {
    let mut running = founded();
    all_in_touch(&running);
    submitted(&running, before_the_replacement());
    all_alike(&running);

    let away = running.pop().expect("a replica");
    let number = away.charter.replica_id;
    let replaced = away.stop();
    submitted(&running, while_one_is_away());
    for replica in &running {
        let vacant = || replica.core.status.load().vacant_replicas == [number];
        replica.runtime.block_on(until("a vacancy", vacant));
    }

    let own = runtime();
    let machine = own.block_on(Machine::new("writes", REPLICAS));
    let disk = machine.folder.clone();
    let seeds: Vec<String> = running
        .iter()
        .map(|replica| {
            replica
                .core
                .handshake(transport::Purpose::Consensus)
                .address
        })
        .collect();
    let (charter, core) = own
        .block_on(own.spawn(start(machine, seeds, false)))
        .expect("a replica");
    assert_eq!((charter.replica_id, charter.founded), (number, false));
    running.push(Running {
        runtime: own,
        core,
        charter,
        folder: disk,
    });
    all_in_touch(&running);
    for replica in &running {
        let core = &replica.core;
        let past = || core.status.load().compacted_below > mencius::VOTING_WINDOW;
        replica
            .runtime
            .block_on(until("a snapshot past the replacement", past));
    }
    submitted(&running, after_the_replacement());
    all_alike(&running);

    fs::create_dir_all(folder).expect("the folder of fixtures");
    let answered: Vec<String> = running
        .iter()
        .map(|replica| replica.runtime.block_on(answered_by(&replica.core)))
        .collect();
    assert!(
        answered.windows(2).all(|pair| pair[0] == pair[1]),
        "{answered:?}"
    );
    fs::write(folder.join("confirmed.txt"), &answered[0]).expect("a fixture");
    for replica in running {
        let name = format!("replica-{}", replica.charter.replica_id);
        keep(folder, &name, &replica.stop());
    }
    keep(folder, "replaced", &replaced);
}

/// Squeezed, as most of the file is empty; beside it what it holds when it is opened next.
fn keep(folder: &Path, name: &str, disk: &Path) {
    let bytes = fs::read(disk.join("core.redb")).expect("a disk that was let go");
    fs::write(
        folder.join(format!("{name}.redb.packed")),
        compression::compress(bytes),
    )
    .expect("a fixture");
    let opened = ReplicaStore::open(disk).expect("a disk that opens");
    fs::write(
        folder.join(format!("{name}.txt")),
        Held::read(&opened.store, opened.writes).to_string(),
    )
    .expect("a fixture");
    drop(opened.store);
    fs::remove_dir_all(disk).expect("the disk is removed");
}
