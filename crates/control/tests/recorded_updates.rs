//! The bytes of changes told to followers, made by a replica's desk and taken by a follower's book,
//! as an earlier build wrote them.

use control::updates::publisher::{EntryId, UpdatePublisher};
use control::updates::verification::{ProofRequests, StateFollower};
use model::cluster_state::items::ItemPut;
use model::cluster_state::{ClusterOperation, ItemBody, ItemCall, Limits, Service, StateSnapshot};
use recorded::RecordedBytes;
use tokio::sync::mpsc;
use transport::Frame;

#[path = "../../test-support/tests/recorded/mod.rs"]
mod recorded;

fn put(desk: &mut UpdatePublisher, version: u64, name: &str, body: ItemBody) {
    let put = ItemPut {
        name: name.to_string(),
        version,
        body,
        text: String::new(),
    };
    let call = ItemCall {
        puts: vec![put],
        drops: Vec::new(),
    };
    let entry_id = EntryId {
        origin: "operator".to_string(),
        incarnation: 1,
        sequence: version,
    };
    desk.apply(&entry_id, ClusterOperation::Items(call));
    desk.publish();
}

fn service(path: &str) -> ItemBody {
    let health_path = path.to_string();
    ItemBody::Service(Service {
        health_path,
        max_connections: 8,
        keyed: false,
        slow_start_us: 0,
    })
}

fn frames_for(desk: &mut UpdatePublisher, held: u64) -> Vec<Frame> {
    let (sender, mut frames) = mpsc::channel(64);
    desk.add_follower(held, sender);
    std::iter::from_fn(|| frames.try_recv().ok()).collect()
}

/// Compares the changes in these frames with what was recorded, and gives a follower the recorded.
fn tell(
    recorded: &mut RecordedBytes,
    name: &str,
    follower: &mut StateFollower,
    frames: Vec<Frame>,
) {
    for (number, frame) in frames.into_iter().enumerate() {
        let Frame::ClusterStateUpdate {
            is_snapshot: afresh,
            from,
            to,
            deltas,
        } = frame
        else {
            panic!("a follower is told changes, not {frame:?}")
        };
        let deltas = recorded.check(&format!("{name}-{number}"), &deltas);
        let update = Frame::ClusterStateUpdate {
            is_snapshot: afresh,
            from,
            to,
            deltas,
        };
        follower.handle_frame(update, &mut ProofRequests::default());
    }
}

#[test]
fn changes_told_to_followers_have_the_recorded_bytes() {
    let mut recorded = RecordedBytes::of("updates");
    let mut desk = UpdatePublisher::default();
    let mut follower = StateFollower::default();
    let held = follower.held_position();
    for version in 1..=3 {
        put(
            &mut desk,
            version,
            &format!("s{version}"),
            service("/healthz"),
        );
    }
    let limits = Limits {
        header_bytes: 512,
        body_bytes: 9,
        header_wait_us: 10,
        idle_us: 11,
    };
    put(&mut desk, 4, "", ItemBody::Limits(limits));
    tell(
        &mut recorded,
        "history",
        &mut follower,
        frames_for(&mut desk, held),
    );
    assert_eq!(**follower.received(), whole(&desk));

    let bill = desk.cluster_state.clone();
    desk.install(bill);
    let mut follower = StateFollower::default();
    let held = follower.held_position();
    tell(
        &mut recorded,
        "snapshot",
        &mut follower,
        frames_for(&mut desk, held),
    );
    assert_eq!(**follower.received(), whole(&desk));

    put(&mut desk, 5, "s2", service(&"/healthz".repeat(200)));
    let held = follower.received().position;
    tell(
        &mut recorded,
        "compressed",
        &mut follower,
        frames_for(&mut desk, held),
    );
    assert_eq!(**follower.received(), whole(&desk));
    recorded.finish();
}

fn whole(desk: &UpdatePublisher) -> StateSnapshot {
    StateSnapshot::default().updated(
        true,
        desk.cluster_state.position,
        desk.cluster_state.full_deltas(),
    )
}
