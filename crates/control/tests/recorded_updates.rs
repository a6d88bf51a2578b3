//! Compares the encoded updates sent to followers with the bytes recorded from an earlier build,
//! and checks that a follower decodes the recorded bytes.

use control::updates::publisher::{EntryId, UpdatePublisher};
use control::updates::verification::{ProofRequests, StateFollower};
use model::cluster_state::items::ItemPut;
use model::cluster_state::{ClusterOperation, ItemBody, ItemCall, Limits, Service, StateSnapshot};
use recorded::RecordedBytes;
use tokio::sync::mpsc;
use transport::Frame;

#[path = "../../test-support/tests/recorded/mod.rs"]
mod recorded;

fn publish_item(publisher: &mut UpdatePublisher, version: u64, name: &str, body: ItemBody) {
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
    publisher.apply(&entry_id, ClusterOperation::Items(call));
    publisher.publish();
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

fn frames_for(publisher: &mut UpdatePublisher, held: u64) -> Vec<Frame> {
    let (sender, mut frames) = mpsc::channel(64);
    publisher.add_follower(held, sender);
    std::iter::from_fn(|| frames.try_recv().ok()).collect()
}

/// Compares the deltas of the frames with the recorded bytes, and passes the recorded bytes to the
/// follower.
fn check_frames(
    recorded: &mut RecordedBytes,
    name: &str,
    follower: &mut StateFollower,
    frames: Vec<Frame>,
) {
    for (number, frame) in frames.into_iter().enumerate() {
        let Frame::ClusterStateUpdate {
            is_snapshot,
            from,
            to,
            deltas,
        } = frame
        else {
            panic!("expected an update, not {frame:?}")
        };
        let deltas = recorded.check(&format!("{name}-{number}"), &deltas);
        let update = Frame::ClusterStateUpdate {
            is_snapshot,
            from,
            to,
            deltas,
        };
        follower.handle_frame(update, &mut ProofRequests::default());
    }
}

#[test]
fn updates_sent_to_followers_have_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("updates");
    let mut publisher = UpdatePublisher::default();
    let mut follower = StateFollower::default();
    let held = follower.held_position();
    for version in 1..=3 {
        publish_item(
            &mut publisher,
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
    publish_item(&mut publisher, 4, "", ItemBody::Limits(limits));
    check_frames(
        &mut recorded,
        "history",
        &mut follower,
        frames_for(&mut publisher, held),
    );
    assert_eq!(**follower.received(), snapshot_of(&publisher));

    let cluster_state = publisher.cluster_state.clone();
    publisher.install(cluster_state);
    let mut follower = StateFollower::default();
    let held = follower.held_position();
    check_frames(
        &mut recorded,
        "snapshot",
        &mut follower,
        frames_for(&mut publisher, held),
    );
    assert_eq!(**follower.received(), snapshot_of(&publisher));

    publish_item(&mut publisher, 5, "s2", service(&"/healthz".repeat(200)));
    let held = follower.received().position;
    check_frames(
        &mut recorded,
        "compressed",
        &mut follower,
        frames_for(&mut publisher, held),
    );
    assert_eq!(**follower.received(), snapshot_of(&publisher));
    recorded.finish();
}

fn snapshot_of(publisher: &UpdatePublisher) -> StateSnapshot {
    StateSnapshot::default().updated(
        true,
        publisher.cluster_state.position,
        publisher.cluster_state.full_deltas(),
    )
}
