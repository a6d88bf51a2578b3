//! Opens disks written by an earlier build: those of three replicas after changes, snapshots and
//! the replacement of one replica's disk, and the replaced disk.
//!
//! The compressed disks are in `tests/fixtures/disks`, each with a text that describes its
//! contents. After an intended change of the layout, record them again with
//! `GRADEFORD_WRITE_FIXTURES=1 cargo test -p control --test disks`, which runs four replicas and
//! writes the files before they are compared.

mod entries;
mod held;
#[allow(dead_code, reason = "only the membership tests use all of this module")]
#[path = "../membership/machines.rs"]
mod machines;
mod writing;

use held::{DiskContents, confirmed_state, fixture_folder, read_disk};
use machines::{Machine, wait_until, within_timeout};
use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::Once;

/// The disks of the three replicas, in the order of their numbers, and the replaced disk.
const DISKS: [&str; 4] = ["replica-0", "replica-1", "replica-2", "replaced"];
/// A replacement delay, in microseconds, that is longer than any test.
const NEVER_REPLACED: u64 = 3_600_000_000;

static WRITTEN: Once = Once::new();

/// Writes the fixtures first if the environment requests it.
fn prepare_fixtures() {
    if env::var_os("GRADEFORD_WRITE_FIXTURES").is_some() {
        WRITTEN.call_once(|| writing::write_fixtures(&fixture_folder()));
    }
}

/// A copy of a recorded disk in a folder that is removed when the value is dropped.
struct CopiedDisk(PathBuf);

impl CopiedDisk {
    fn of(test: &str, name: &str) -> CopiedDisk {
        let folder = env::temp_dir().join(format!("gradeford-{test}-{name}-{}", process::id()));
        drop(fs::remove_dir_all(&folder));
        CopiedDisk::into(folder, name)
    }

    fn into(folder: PathBuf, name: &str) -> CopiedDisk {
        fs::create_dir_all(&folder).expect("the folder is created");
        fs::write(folder.join("core.redb"), read_disk(name)).expect("the disk is copied");
        CopiedDisk(folder)
    }
}

impl Drop for CopiedDisk {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn recorded_text(name: &str) -> String {
    let path = fixture_folder().join(format!("{name}.txt"));
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn contents_of(folder: &Path) -> DiskContents {
    let opened = storage::ReplicaStore::open(folder).expect("the disk opens");
    DiskContents::read(&opened.store, opened.writes)
}

#[test]
fn a_disk_of_an_earlier_build_opens_with_the_same_state() {
    prepare_fixtures();
    for name in DISKS {
        let disk = CopiedDisk::of("opens", name);
        assert_eq!(
            contents_of(&disk.0).to_string(),
            recorded_text(name),
            "{name}"
        );
    }
}

#[test]
fn a_disk_of_an_earlier_build_is_unchanged_when_it_is_opened_again() {
    prepare_fixtures();
    for name in DISKS {
        let disk = CopiedDisk::of("again", name);
        let first = contents_of(&disk.0);
        let second = contents_of(&disk.0);
        assert_eq!(
            second,
            DiskContents {
                start_count: first.start_count + 1,
                ..first
            },
            "{name}"
        );
    }
}

#[test]
fn the_recorded_disks_hold_snapshots_entries_above_them_and_a_replacement() {
    prepare_fixtures();
    let [one, two, three, replaced] = DISKS.map(|name| {
        let disk = CopiedDisk::of("all-kinds", name);
        contents_of(&disk.0)
    });
    for disk in [&one, &two, &three, &replaced] {
        assert!(disk.snapshot_end > 0, "{disk}");
        assert!(
            disk.state_machine_position > 0 && disk.cluster_state_position > 0,
            "{disk}"
        );
    }
    for disk in [&one, &two, &replaced] {
        assert!(disk.entries_after_snapshot > 0, "{disk}");
    }
    assert!(
        [&one, &two]
            .iter()
            .all(|disk| disk.pinned_disks.contains(&(2, three.disk_id)))
    );
    assert_ne!(
        replaced.disk_id, three.disk_id,
        "the disk of the replica was not replaced"
    );
    assert!(
        three.votes_from > mencius::VOTING_WINDOW,
        "the new disk may vote before the end of the replacement"
    );
    assert!(replaced.applied_below < three.applied_below);
    let all = [&one, &two, &three, &replaced];
    let kinds: BTreeSet<&str> = all
        .iter()
        .flat_map(|disk| disk.write_counts.keys().copied())
        .collect();
    assert_eq!(kinds.len(), held::WRITE_KINDS, "{kinds:?}");
}

/// The replicas vote, finish the instances whose outcome no single disk determines, hold everything
/// that was confirmed before, and accept further changes.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_on_disks_of_an_earlier_build_hold_all_confirmed_changes_and_accept_new_ones() {
    tokio::task::spawn_blocking(prepare_fixtures)
        .await
        .expect("the fixtures are written");
    let machines = Machine::all("continues", 3).await;
    let addresses: Vec<String> = machines
        .iter()
        .map(|machine| machine.address.clone())
        .collect();
    let (mut replicas, mut copies) = (Vec::new(), Vec::new());
    for (machine, name) in machines.into_iter().zip(DISKS) {
        copies.push(CopiedDisk::into(machine.folder.clone(), name));
        let storage::RecoveredStore { store, writes } = machine.store();
        let config = machine.replica_config(&addresses, store.membership, NEVER_REPLACED);
        let replica = control::ReplicaHandle::start_on(
            config,
            store,
            writes,
            model::logging::discard_logger(),
        );
        let replica = replica.expect("the replica starts");
        tokio::spawn(control::updates::server::listen(
            replica.clone(),
            machine.listener,
        ));
        replicas.push(replica);
    }
    for replica in &replicas {
        wait_until("a voting replica connected to both others", || {
            replica.status.load().voting && replica.status.load().connected_replicas == 3
        })
        .await;
    }
    for replica in &replicas {
        assert_eq!(confirmed_state(replica).await, recorded_text("confirmed"));
    }
    let version = replicas[0].state_machine.load().desired.version;
    let accepted = replicas[2].change(entries::next_change(version)).await;
    assert!(
        matches!(accepted, Some(model::Outcome::Accepted { .. })),
        "{accepted:?}"
    );
    for replica in &replicas {
        within_timeout("a read", replica.read_barrier())
            .await
            .expect("a majority answers");
        assert_eq!(replica.state_machine.load().desired.version, version + 1);
    }
}
