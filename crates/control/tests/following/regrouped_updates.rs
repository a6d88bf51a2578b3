//! What a soak showed beside the incident: a node that comes from another replica is sent updates
//! that it cannot use, leaves again, and meets the same elsewhere.
//!
//! Each replica groups the entries it applies at once into one update, so that the groups of two
//! replicas differ when changes come in bursts. A node that stands inside a group of its new replica
//! was sent an older snapshot and the groups after it, took the group that it stood in for
//! inconsistent, and had to begin anew. The evidence: `replica left … reason Inconsistent` within a
//! millisecond of `following a replica`, seven times in two runs.

use control::updates::publisher::UpdatePublisher;
use control::updates::verification::{ProofRequests, StateFollower, UpdateOutcome};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use transport::Frame;

use super::replicas::apply_change;

/// Applies changes up to `end`, in groups of a drawn size.
fn apply_in_groups(publisher: &mut UpdatePublisher, end: u64, rng: &mut StdRng) {
    while publisher.cluster_state.position < end {
        let group = rng.random_range(1..=5);
        for _ in 0..group {
            if publisher.cluster_state.position < end {
                let number = publisher.cluster_state.position + 1;
                apply_change(publisher, number);
            }
        }
        publisher.publish();
    }
}

/// Follows a replica from the position that is held; whether every update could be used.
fn follow(publisher: &mut UpdatePublisher, follower: &mut StateFollower) -> bool {
    let (sender, mut frames) = mpsc::channel::<Frame>(1_024);
    publisher.add_follower(follower.held_position(), sender);
    let mut requests = ProofRequests::default();
    std::iter::from_fn(|| frames.try_recv().ok())
        .all(|frame| follower.handle_frame(frame, &mut requests) != UpdateOutcome::Inconsistent)
}

#[test]
fn a_node_goes_on_at_a_replica_that_groups_its_updates_otherwise() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut replicas: Vec<UpdatePublisher> = (0..4).map(|_| Default::default()).collect();
        let mut follower = StateFollower::default();
        let mut end = 0;
        for _ in 0..40 {
            end += rng.random_range(1..=20);
            // Nodes that came from nowhere have left each replica with a snapshot of that time.
            for replica in &mut replicas {
                apply_in_groups(replica, end, &mut rng);
                if rng.random_bool(0.2) {
                    assert!(follow(replica, &mut StateFollower::default()));
                }
            }
            // The node's replica is ahead of the others when it dies.
            let ahead = rng.random_range(0..replicas.len());
            apply_in_groups(
                &mut replicas[ahead],
                end + rng.random_range(0..=4),
                &mut rng,
            );
            assert!(follow(&mut replicas[ahead], &mut follower), "seed {seed}");
            end += 5;
            let next = rng.random_range(0..replicas.len());
            apply_in_groups(&mut replicas[next], end, &mut rng);
            assert!(
                follow(&mut replicas[next], &mut follower),
                "seed {seed}: an update from replica {next} cannot be used"
            );
            let held = follower.received();
            let state = &replicas[next].cluster_state;
            assert_eq!(held.position, state.position, "seed {seed}");
            assert_eq!(held.services.len(), state.items.len(), "seed {seed}");
            for (key, item) in &state.items {
                let Some(model::cluster_state::ItemBody::Service(service)) = &item.body else {
                    unreachable!("only services are set");
                };
                assert_eq!(held.services.get(&key.1), Some(service), "seed {seed}");
            }
        }
    }
}
