use std::iter;

use model::cluster_state::items::ItemPut;
use model::cluster_state::{ItemBody, ItemCall, Service, StateSnapshot};
use tokio::sync::mpsc;

use super::*;

fn publish_change(publisher: &mut UpdatePublisher, number: u64, health_path: &str) {
    let body = ItemBody::Service(Service {
        health_path: health_path.into(),
        max_connections: 0,
        keyed: false,
        slow_start_us: 0,
    });
    let put = ItemPut {
        name: format!("s{}", number % 10),
        version: number,
        body,
        text: String::new(),
    };
    let entry_id = EntryId {
        origin: "operator".into(),
        incarnation: 1,
        sequence: number,
    };
    let operation = ClusterOperation::Items(ItemCall {
        puts: vec![put],
        drops: Vec::new(),
    });
    assert!(matches!(
        publisher.apply(&entry_id, operation),
        Outcome::Accepted { .. }
    ));
    publisher.publish();
}

/// The number of frames sent to a follower, their total size in bytes, and the resulting snapshot.
type Received = (usize, usize, StateSnapshot);

/// Adds a follower that holds `held`, and applies the frames sent to it.
fn follow(publisher: &mut UpdatePublisher, held: StateSnapshot) -> Received {
    let (sender, mut frames) = mpsc::channel(1_024);
    publisher.add_follower(held.position, sender);
    iter::from_fn(|| frames.try_recv().ok()).fold((0, 0, held), |(count, length, held), frame| {
        let Frame::ClusterStateUpdate {
            is_snapshot,
            from,
            to,
            deltas,
        } = frame
        else {
            unreachable!()
        };
        assert!(is_snapshot || from == held.position);
        (
            count + 1,
            length + deltas.len(),
            held.updated(
                is_snapshot,
                to,
                decode_deltas(&deltas).expect("valid deltas"),
            ),
        )
    })
}

#[test]
fn the_shorter_of_history_and_snapshot_is_sent() {
    let mut publisher = UpdatePublisher::default();
    (1..=20).for_each(|number| publish_change(&mut publisher, number, "/healthz"));
    let early = follow(&mut publisher, Default::default());
    assert_eq!(early.0, 20, "a short history is sent as updates");
    let incompressible: String = (0..40)
        .map(|part| format!("{:x}", model::leases::stable_hash(&format!("{part}"))))
        .collect();
    (21..=500).for_each(|number| {
        publish_change(&mut publisher, number, &incompressible[number as usize..])
    });
    let snapshot_bytes = encode_deltas(publisher.cluster_state.full_deltas()).len();
    let expected = StateSnapshot::default().updated(
        true,
        publisher.cluster_state.position,
        publisher.cluster_state.full_deltas(),
    );
    let new = follow(&mut publisher, Default::default());
    assert!(
        new.0 == 1 && new.1 <= snapshot_bytes,
        "a new follower was sent {} frames, {} bytes instead of {snapshot_bytes}",
        new.0,
        new.1
    );
    let far_behind = follow(&mut publisher, early.2);
    assert!(
        far_behind.1 <= snapshot_bytes,
        "a follower far behind was sent {} bytes instead of {snapshot_bytes}",
        far_behind.1
    );
    (501..=503).for_each(|number| publish_change(&mut publisher, number, "/healthz"));
    let slightly_behind = follow(&mut publisher, new.2);
    assert!(
        slightly_behind.0 == 3 && slightly_behind.1 < 1_000,
        "a follower slightly behind was sent {} frames, {} bytes instead of three updates",
        slightly_behind.0,
        slightly_behind.1
    );
    assert_eq!(far_behind.2, expected);
    assert_eq!(
        slightly_behind.2,
        follow(&mut publisher, Default::default()).2
    );
}

#[test]
fn one_round_proves_all_requests_within_a_short_time() {
    let mut publisher = UpdatePublisher::default();
    let (sender, mut proofs) = mpsc::channel(1_024);
    let mut rounds = Vec::new();
    // Two hundred followers request one proof each within a second. The id of a request is its
    // time.
    (0..1_000_000u64).step_by(5_000).for_each(|now| {
        let requested_at = 10_000_000 + now;
        publisher.request_proof(requested_at, sender.clone());
        if publisher.begin_proof_round(requested_at, rounds.len() as u64) {
            rounds.push(requested_at);
        }
    });
    assert_eq!(
        rounds[0], 10_000_000,
        "the first round after a pause was delayed"
    );
    assert_eq!(rounds.len(), 20, "rounds for 200 requests");
    assert!(
        publisher.begin_proof_round(12_000_000, rounds.len() as u64),
        "the last requests were left without a round"
    );
    // A proof answers only requests made before its round began.
    let proved: Vec<Vec<u64>> = (0..=rounds.len() as u64)
        .map(|token| {
            publisher.send_proofs(token);
            iter::from_fn(|| proofs.try_recv().ok())
                .map(|frame| {
                    if let Frame::Proof { request_id, .. } = frame {
                        request_id
                    } else {
                        0
                    }
                })
                .collect()
        })
        .collect();
    assert_eq!(proved.iter().map(Vec::len).sum::<usize>(), 200);
    assert!(proved.iter().zip(&rounds).all(|(requests, began_at)| {
        requests.iter().all(|requested_at| {
            requested_at <= began_at && began_at - requested_at <= PROOF_ROUND_INTERVAL
        })
    }));
}
