//! Disks that an earlier build wrote: three replicas after changes, snapshots and the replacement of
//! one of them, and the disk that was replaced.
//!
//! The disks are below `tests/fixtures/disks`, squeezed, and beside each a text of what it holds. A
//! layout that changes on purpose is recorded anew with
//! `GRADEFORD_WRITE_FIXTURES=1 cargo test -p control --test disks`, which runs four replicas and
//! writes the files before they are compared.

mod contents;
mod entries;
mod fixture_writer;
#[allow(
    dead_code,
    reason = "the tests of founding and replacement use more of it"
)]
#[path = "../membership/machines.rs"]
mod machines;

use contents::{Held, answered_by, disk_of, fixtures};
use machines::{Machine, soon, until};
use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::Once;

/// The three that hold a replica, by its number, and the one that lost its replica.
const DISKS: [&str; 4] = ["replica-0", "replica-1", "replica-2", "replaced"];
const NEVER: u64 = 3_600_000_000;

static WRITTEN: Once = Once::new();

/// Writes the fixtures first where that is asked for.
fn prepared() {
    if env::var_os("GRADEFORD_WRITE_FIXTURES").is_some() {
        WRITTEN.call_once(|| fixture_writer::write_fixtures(&fixtures()));
    }
}

/// A recorded disk, in a folder that the test may change and that is removed with the value.
struct CopiedDisk(PathBuf);

impl CopiedDisk {
    fn of(test: &str, name: &str) -> CopiedDisk {
        let folder = env::temp_dir().join(format!("gradeford-{test}-{name}-{}", process::id()));
        drop(fs::remove_dir_all(&folder));
        CopiedDisk::into(folder, name)
    }

    fn into(folder: PathBuf, name: &str) -> CopiedDisk {
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("core.redb"), disk_of(name)).expect("a copy of the disk");
        CopiedDisk(folder)
    }
}

impl Drop for CopiedDisk {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn recorded(name: &str) -> String {
    let path = fixtures().join(format!("{name}.txt"));
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn held_by(folder: &Path) -> Held {
    let opened = storage::ReplicaStore::open(folder).expect("a disk that opens");
    Held::read(&opened.store, opened.writes)
}

#[test]
fn a_disk_of_an_earlier_build_opens_with_the_same_state() {
    prepared();
    for name in DISKS {
        let disk = CopiedDisk::of("opens", name);
        assert_eq!(held_by(&disk.0).to_string(), recorded(name), "{name}");
    }
}

#[test]
fn a_disk_of_an_earlier_build_is_the_same_after_it_was_opened_again() {
    prepared();
    for name in DISKS {
        let disk = CopiedDisk::of("again", name);
        let first = held_by(&disk.0);
        let second = held_by(&disk.0);
        assert_eq!(
            second,
            Held {
                starts: first.starts + 1,
                ..first
            },
            "{name}"
        );
    }
}

#[test]
fn the_recorded_disks_hold_snapshots_entries_above_them_and_a_replacement() {
    prepared();
    let [one, two, three, replaced] = DISKS.map(|name| {
        let disk = CopiedDisk::of("all-kinds", name);
        held_by(&disk.0)
    });
    for held in [&one, &two, &three, &replaced] {
        assert!(held.snapshot_through > 0, "{held}");
        assert!(held.book_position > 0 && held.items_position > 0, "{held}");
    }
    for held in [&one, &two, &replaced] {
        assert!(held.entries_above > 0, "{held}");
    }
    assert!(
        [&one, &two]
            .iter()
            .all(|held| held.others.contains(&(2, three.identity)))
    );
    assert_ne!(
        replaced.identity, three.identity,
        "another disk holds the replica"
    );
    assert!(
        three.votes_from > mencius::VOTING_WINDOW,
        "it votes only after the replacement"
    );
    assert!(replaced.applied < three.applied);
    let all = [&one, &two, &three, &replaced];
    let kinds: BTreeSet<&str> = all
        .iter()
        .flat_map(|held| held.writes.keys().copied())
        .collect();
    assert_eq!(kinds.len(), contents::KINDS_OF_WRITES, "{kinds:?}");
}

/// The replicas as they run: they vote, finish what one disk alone does not tell, hold all that was
/// confirmed before, and go on from there.
#[tokio::test(flavor = "multi_thread")]
async fn three_replicas_on_disks_of_an_earlier_build_hold_all_that_was_confirmed_and_go_on() {
    tokio::task::spawn_blocking(prepared)
        .await
        .expect("fixtures");
    let machines = Machine::all("goes-on", 3).await;
    let addresses: Vec<String> = machines
        .iter()
        .map(|machine| machine.address.clone())
        .collect();
    let (mut cores, mut copies) = (Vec::new(), Vec::new());
    for (machine, name) in machines.into_iter().zip(DISKS) {
        copies.push(CopiedDisk::into(machine.folder.clone(), name));
        let storage::RecoveredStore { store, writes } = machine.store();
        let settings = machine.core(&addresses, store.membership, NEVER);
        let core = control::ReplicaHandle::start_on(
            settings,
            store,
            writes,
            model::logging::discard_logger(),
        );
        let core = core.expect("a replica");
        tokio::spawn(control::updates::server::listen(
            core.clone(),
            machine.listener,
        ));
        cores.push(core);
    }
    for core in &cores {
        until("a vote", || {
            core.status.load().voting && core.status.load().connected_replicas == 3
        })
        .await;
    }
    for core in &cores {
        assert_eq!(answered_by(core).await, recorded("confirmed"));
    }
    let version = cores[0].state_machine.load().desired.version;
    let accepted = cores[2].change(entries::next_change(version)).await;
    assert!(
        matches!(accepted, Some(model::Outcome::Accepted { .. })),
        "{accepted:?}"
    );
    for core in &cores {
        soon("a read", core.read_barrier())
            .await
            .expect("a majority that answers");
        assert_eq!(core.state_machine.load().desired.version, version + 1);
    }
}
