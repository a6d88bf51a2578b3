//! The behaviour of the writer thread, observed through its handle.

use std::env::temp_dir;
use std::fs::remove_dir_all;
use std::process;
use std::sync::mpsc::channel;
use std::time::Duration;

use mencius::Write;
use storage::{Error, PinnedDisks, ReplicaStore, StoreWriter, WriterEvent};

use crate::faulty_disk::{Fault, FaultyDisk};

/// The time limit for an event; far longer than a retry takes.
const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_ticket_is_reported_only_after_its_append_succeeds() {
    let disk = FaultyDisk::new();
    let store = disk.open_store().expect("open the store").store;
    let full_from = disk.state().operations + 1;
    disk.state().fault = Fault::Full(full_from);
    let (events, reported) = channel();
    let writer =
        StoreWriter::spawn(store, move |event| drop(events.send(event))).expect("start the writer");
    writer.append(7, vec![Write::Index(3)], false);

    let first = reported.recv_timeout(TIMEOUT).expect("receive an event");
    assert!(
        matches!(first, WriterEvent::AppendFailed(Error::Store(_))),
        "{first:?}"
    );
    disk.state().fault = Fault::None;
    let mut later = reported.recv_timeout(TIMEOUT).expect("receive an event");
    while let WriterEvent::AppendFailed(_) = later {
        later = reported.recv_timeout(TIMEOUT).expect("receive an event");
    }
    assert!(matches!(later, WriterEvent::Recovered), "{later:?}");
    let last = reported.recv_timeout(TIMEOUT).expect("receive an event");
    assert!(matches!(last, WriterEvent::Persisted(7)), "{last:?}");

    // The thread ends when the last handle is dropped, and the appended write is in the store.
    drop(writer);
    assert!(
        reported.recv_timeout(TIMEOUT).is_err(),
        "the writer thread is still running"
    );
    assert_eq!(
        disk.open_store().expect("reopen the store").writes,
        [Write::Index(3)]
    );
}

#[tokio::test]
async fn a_retired_store_is_closed_and_has_a_new_identity_when_retire_returns() {
    let folder = temp_dir().join(format!("gradeford-retired-{}", process::id()));
    let store = ReplicaStore::open(&folder).expect("open the store").store;
    let disk_id = store.disk_id;
    let writer = StoreWriter::spawn(store, |_| {}).expect("start the writer");
    let (done, answer) = channel();
    let pinned_disks = PinnedDisks::from([(1, 11)]);
    writer.replace_pinned_disks(pinned_disks, vec![Write::Index(3)], move |result| {
        drop(done.send(result))
    });
    assert_eq!(
        writer.pin_disk(1, 12).await.expect("pin the disk"),
        11,
        "the calls were not processed in order"
    );
    assert!(
        answer
            .recv_timeout(TIMEOUT)
            .expect("receive the result")
            .is_ok()
    );

    writer.retire().await.expect("retire the disk");
    let reopened = ReplicaStore::open(&folder).expect("the file is closed before retire returns");
    assert!(reopened.store.retired);
    assert_ne!(reopened.store.disk_id, disk_id);
    assert!(reopened.store.pinned_disks.is_empty() && reopened.writes.is_empty());
    let stopped = writer.pin_disk(2, 13).await;
    assert!(matches!(stopped, Err(Error::WriterStopped)), "{stopped:?}");
    remove_dir_all(&folder).expect("remove the folder");
}
