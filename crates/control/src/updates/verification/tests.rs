use model::cluster_state::items::ItemPut;
use model::cluster_state::{ClusterOperation, ItemBody, ItemCall, Service};
use tokio::sync::mpsc;

use super::*;
use crate::updates::publisher::{EntryId, UpdatePublisher};

/// Returns an update of one service that ends at the position `to`.
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
fn state_is_verified_only_by_a_proof_of_its_position_requested_on_the_same_connection() {
    let mut follower = StateFollower::default();
    let mut requests = ProofRequests::default();
    assert_eq!(
        follower.handle_frame(update(5), &mut requests),
        UpdateOutcome::Updated
    );
    assert!(follower.verified().is_none());
    requests.request(100);
    let proof = |request_id, position| Frame::Proof {
        request_id,
        position,
    };
    assert_eq!(
        follower.handle_frame(proof(1, 6), &mut requests),
        UpdateOutcome::Inconsistent,
        "the proof is for a position that was never received"
    );
    assert!(follower.verified().is_none());
    requests.request(200);
    requests = ProofRequests::default();
    assert_eq!(follower.held_position(), 5);
    assert_eq!(
        follower.handle_frame(proof(2, 5), &mut requests),
        UpdateOutcome::Ignored,
        "the proof was requested on an earlier connection"
    );
    requests.request(300);
    assert_eq!(
        follower.handle_frame(proof(1, 5), &mut requests),
        UpdateOutcome::Verified
    );
    let verified = follower.verified().expect("a proof");
    assert_eq!((verified.snapshot.position, verified.verified_at), (5, 300));
}

#[test]
fn an_older_update_that_arrives_late_is_dropped() {
    let mut follower = StateFollower::default();
    let mut requests = ProofRequests::default();
    assert_eq!(
        (
            follower.handle_frame(update(5), &mut requests),
            follower.handle_frame(update(4), &mut requests),
            follower.handle_frame(update(5), &mut requests)
        ),
        (
            UpdateOutcome::Updated,
            UpdateOutcome::Ignored,
            UpdateOutcome::Ignored
        )
    );
    assert_eq!(follower.received().position, 5);
}
