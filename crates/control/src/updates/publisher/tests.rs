use std::iter;

use model::cluster_state::items::ItemPut;
use model::cluster_state::{ItemBody, ItemCall, Service, StateSnapshot};
use tokio::sync::mpsc;

use super::*;

fn change(publisher: &mut UpdatePublisher, turn: u64, text: &str) {
    let body = ItemBody::Service(Service {
        health_path: text.into(),
        max_connections: 0,
        keyed: false,
        slow_start_us: 0,
    });
    let put = ItemPut {
        name: format!("s{}", turn % 10),
        version: turn,
        body,
        text: String::new(),
    };
    let entry_id = EntryId {
        origin: "operator".into(),
        incarnation: 1,
        sequence: turn,
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

type Told = (usize, usize, StateSnapshot);

/// Frames and bytes, and what the follower holds then.
fn told(publisher: &mut UpdatePublisher, held: StateSnapshot) -> Told {
    let (sender, mut frames) = mpsc::channel(1_024);
    publisher.add_follower(held.position, sender);
    iter::from_fn(|| frames.try_recv().ok()).fold((0, 0, held), |(count, length, held), frame| {
        let Frame::ClusterStateUpdate {
            is_snapshot,
            from,
            to,
            deltas: news,
        } = frame
        else {
            unreachable!()
        };
        assert!(is_snapshot || from == held.position);
        (
            count + 1,
            length + news.len(),
            held.updated(is_snapshot, to, decode_deltas(&news).expect("news")),
        )
    })
}

#[test]
fn the_shorter_of_history_and_snapshot_is_sent() {
    let mut publisher = UpdatePublisher::default();
    (1..=20).for_each(|turn| change(&mut publisher, turn, "/healthz"));
    let early = told(&mut publisher, Default::default());
    assert_eq!(early.0, 20, "a short history goes as it is");
    let noise: String = (0..40)
        .map(|part| format!("{:x}", model::leases::stable_hash(&format!("{part}"))))
        .collect();
    (21..=500).for_each(|turn| change(&mut publisher, turn, &noise[turn as usize..]));
    let whole = encode_deltas(publisher.cluster_state.full_deltas()).len();
    let held = StateSnapshot::default().updated(
        true,
        publisher.cluster_state.position,
        publisher.cluster_state.full_deltas(),
    );
    let anew = told(&mut publisher, Default::default());
    assert!(
        anew.0 == 1 && anew.1 <= whole,
        "{} frames, {} bytes instead of {whole}",
        anew.0,
        anew.1
    );
    let behind = told(&mut publisher, early.2);
    assert!(
        behind.1 <= whole,
        "one that was away long, too: {} bytes",
        behind.1
    );
    (501..=503).for_each(|turn| change(&mut publisher, turn, "/healthz"));
    let near = told(&mut publisher, anew.2);
    assert!(
        near.0 == 3 && near.1 < 1_000,
        "one that was away a moment hears what changed: {} frames, {} bytes",
        near.0,
        near.1
    );
    assert_eq!(behind.2, held);
    assert_eq!(near.2, told(&mut publisher, Default::default()).2);
}

#[test]
fn one_round_proves_all_requests_within_a_short_time() {
    let mut publisher = UpdatePublisher::default();
    let (sender, mut proofs) = mpsc::channel(1_024);
    let mut rounds = Vec::new();
    // Two hundred followers, each asks once a second; the owner looks at each ask and each tick.
    (0..1_000_000u64).step_by(5_000).for_each(|now| {
        let asked_at = 10_000_000 + now;
        publisher.request_proof(asked_at, sender.clone());
        if publisher.begin_proof_round(asked_at, rounds.len() as u64) {
            rounds.push(asked_at);
        }
    });
    assert_eq!(rounds[0], 10_000_000, "after a pause at once");
    assert_eq!(rounds.len(), 20, "rounds for 200 asks");
    assert!(
        publisher.begin_proof_round(12_000_000, rounds.len() as u64),
        "the last ones need no further ask"
    );
    // A proof speaks only for what was asked before its round set out.
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
    assert!(proved.iter().zip(&rounds).all(|(asked, at)| {
        asked
            .iter()
            .all(|asked| asked <= at && at - asked <= PROOF_ROUND_INTERVAL)
    }));
}
