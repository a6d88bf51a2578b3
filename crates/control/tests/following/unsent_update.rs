//! Guards against a node that stays behind for as long as its connection lasts. A replica drops a
//! follower whose queue is full, but continues to answer its requests for freshness proofs. A node
//! must therefore not ignore a proof for a position that it never received. The failure was found
//! by analysis and has not been observed in a run.

use control::updates::verification::{ProofRequests, StateFollower, UpdateOutcome};
use transport::Frame;

#[test]
fn a_proof_for_a_position_that_was_never_received_is_inconsistent() {
    let mut follower = StateFollower::default();
    let mut requests = ProofRequests::default();
    let Frame::RequestProof { request_id } = requests.request(100) else {
        unreachable!("the frame requests a proof");
    };
    let proof = Frame::Proof {
        request_id,
        position: 7,
    };
    assert_eq!(
        follower.handle_frame(proof, &mut requests),
        UpdateOutcome::Inconsistent
    );
    assert!(follower.verified().is_none());
}
