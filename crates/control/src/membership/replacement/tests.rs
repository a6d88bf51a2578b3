use std::env;
use std::fs;
use std::hint;
use std::process;

use tokio::task::yield_now;

use crate::replica::command::Command;
use crate::{ReplicaConfig, ReplicaHandle};

/// Returns whether the replica votes after it has handled all commands sent so far.
async fn votes(handle: &ReplicaHandle) -> bool {
    // Earlier commands are handled once these ticks have left the queue.
    for _ in 0..50 {
        drop(handle.commands.try_send(Command::Tick));
    }
    while handle.commands.capacity() < handle.commands.max_capacity() {
        yield_now().await;
    }
    for _ in 0..1_000 {
        hint::spin_loop();
    }
    yield_now().await;
    handle.status.load().voting
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_disk_waits_for_the_first_frame_of_every_peer_before_it_votes() {
    let folder = env::temp_dir().join(format!("gradeford-first-frames-{}", process::id()));
    let config = ReplicaConfig {
        name: "core-0".into(),
        zone: "z0".into(),
        replica_id: 0,
        replica_count: 3,
        address: "127.0.0.1:1".into(),
        seeds: vec!["127.0.0.1:1".into()],
        folder: folder.clone(),
        timing: Default::default(),
        snapshot_every_entries: 100,
        replace_after: 0,
        membership: None,
    };
    let handle =
        ReplicaHandle::start(config, model::logging::discard_logger()).expect("the replica starts");
    let running = "the event loop runs";
    handle.peer_pinned(1, 11).await.expect(running);
    handle.peer_pinned(2, 12).await.expect(running);
    handle.first_holder_confirmed(1).await.expect(running);
    assert!(
        !votes(&handle).await,
        "one peer has not sent its first frame yet"
    );
    // The other peer reports that this disk replaces another one and may vote only above an
    // instance.
    let members = vec![(1, 11), (2, 12)];
    handle.admitted(1_000_000, members).await.expect(running);
    while !handle.status.load().voting {
        yield_now().await;
    }
    let status = handle.status.load();
    assert!(status.next_own_instance > 1_000_000, "{status:?}");
    fs::remove_dir_all(folder).expect("the folder is removed");
}
