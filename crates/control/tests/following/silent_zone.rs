//! What users saw: routes that had been added were refused with 404 for a little more than the two
//! seconds that a change may take, by all nodes of one zone and no others.
//!
//! The order of events, from the logs of a soak: both replicas of the zone freeze. Its nodes notice,
//! and follow a replica of another zone. Two seconds later they leave that one, which works, to look
//! for one of their own zone again; each frozen replica accepts the connection and answers nothing
//! for a second. A change that is confirmed as they leave reaches them after both seconds.
//!
//! The evidence: `replica left … reason OwnZone proved true`, and `followed again … gap_us 2173432`
//! at every node of that zone, with the refusals inside the gap. With one frozen replica the gap was
//! 1.1 s and no refusal was late.

use std::time::{Duration, Instant};

use control::membership::discovery;
use control::updates::follower::{self, FollowerConfig};
use transport::Purpose;

use super::replicas::{SharedPublisher, apply_change, handshake, listen, serve};

/// Changes come so far apart.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Longer than a node waits before it looks for a replica of its own zone for the first time.
const WATCHED: Duration = Duration::from_secs(6);
/// A node is without updates for less than this, whichever replicas are silent.
const LONGEST_GAP: Duration = Duration::from_millis(1_000);

async fn publish_changes(publisher: SharedPublisher) {
    let mut ticks = tokio::time::interval(CHANGE_INTERVAL);
    for number in 1.. {
        ticks.tick().await;
        let mut publisher = publisher.lock().expect("no test panicked here");
        apply_change(&mut publisher, number);
        publisher.publish();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_whose_own_zone_is_silent_goes_on_receiving_updates() {
    // Connections to these are accepted by the system, and nobody ever answers on them.
    let (_silent, first) = listen(0, "own").await;
    let (_silent_too, second) = listen(1, "own").await;
    let (listener, elsewhere) = listen(2, "other").await;
    let publisher = SharedPublisher::default();
    tokio::spawn(serve(listener, "other", publisher.clone()));
    tokio::spawn(publish_changes(publisher));
    let known_replicas = discovery::empty();
    discovery::merge(&known_replicas, vec![first, second, elsewhere]);
    let config = FollowerConfig {
        node: "n".into(),
        zone: "own".into(),
        proof_interval: 500_000,
        proof_timeout: 500_000,
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let handshake = || handshake(Purpose::Subscribe, "own");
    let mut handle = follower::start(config, known_replicas, handshake, logger);
    handle.changes.changed().await.expect("the follower runs");

    let began_at = Instant::now();
    let mut updated_at = began_at;
    let mut longest_gap = Duration::ZERO;
    while began_at.elapsed() < WATCHED {
        handle.changes.changed().await.expect("the follower runs");
        longest_gap = longest_gap.max(updated_at.elapsed());
        updated_at = Instant::now();
    }
    assert!(
        longest_gap < LONGEST_GAP,
        "{longest_gap:?} without an update, though a replica works"
    );
}
