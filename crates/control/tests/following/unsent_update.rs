//! Suspected beside the incident, and not seen in a run: a replica drops a follower whose queue is
//! full but goes on answering its requests for proofs. A node that takes no notice of a proof for a
//! position that it never received stays behind for as long as the connection lives.

use control::updates::verification::{ProofRequests, StateFollower, UpdateOutcome};
use transport::Frame;

#[test]
fn a_proof_of_what_was_never_sent_ends_the_connection() {
    let mut follower = StateFollower::default();
    let mut requests = ProofRequests::default();
    let Frame::RequestProof { request_id } = requests.request(100) else {
        unreachable!("it requests a proof");
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
