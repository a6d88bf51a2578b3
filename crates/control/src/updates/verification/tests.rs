use model::cluster_state::items::ItemPut;
use model::cluster_state::{ClusterOperation, ItemBody, ItemCall, Service};
use tokio::sync::mpsc;

use super::*;
use crate::updates::publisher::{EntryId, UpdatePublisher};

fn update(to: Position) -> Frame {
    let put = ItemPut {
        name: "s".into(),
        version: to,
        body: ItemBody::Service(Service {
            health_path: String::new(),
            max_connections: 0,
            keyed: false,
            slow_start_us: 0,
        }),
        text: String::new(),
    };
    let mut publisher = UpdatePublisher::default();
    drop(publisher.apply(
        &EntryId {
            origin: "o".into(),
            incarnation: 1,
            sequence: 1,
        },
        ClusterOperation::Items(ItemCall {
            puts: vec![put],
            drops: Vec::new(),
        }),
    ));
    publisher.cluster_state.position = to;
    let (sender, mut frames) = mpsc::channel(8);
    publisher.add_follower(0, sender);
    frames.try_recv().expect("an update")
}

#[test]
fn nothing_is_verified_before_a_proof_requested_on_this_connection_for_what_was_received() {
    let mut follower = StateFollower::default();
    follower.begin_connection();
    assert_eq!(follower.handle_frame(update(5)), UpdateOutcome::Updated);
    assert!(follower.verified().is_none());
    follower.request_proof(100);
    assert_eq!(
        follower.handle_frame(Frame::Proof {
            request_id: 1,
            position: 6
        }),
        UpdateOutcome::Ignored,
        "it speaks of what was never received"
    );
    follower.request_proof(200);
    assert_eq!(follower.begin_connection(), 5);
    assert_eq!(
        follower.handle_frame(Frame::Proof {
            request_id: 2,
            position: 5
        }),
        UpdateOutcome::Ignored,
        "it was requested on an earlier connection"
    );
    follower.request_proof(300);
    assert_eq!(
        follower.handle_frame(Frame::Proof {
            request_id: 3,
            position: 5
        }),
        UpdateOutcome::Verified
    );
    let verified = follower.verified().expect("a proof");
    assert_eq!((verified.snapshot.position, verified.verified_at), (5, 300));
}

#[test]
fn an_older_update_that_arrives_late_is_dropped() {
    let mut follower = StateFollower::default();
    follower.begin_connection();
    assert_eq!(
        (
            follower.handle_frame(update(5)),
            follower.handle_frame(update(4)),
            follower.handle_frame(update(5))
        ),
        (
            UpdateOutcome::Updated,
            UpdateOutcome::Ignored,
            UpdateOutcome::Ignored
        )
    );
    assert_eq!(follower.received().position, 5);
}
