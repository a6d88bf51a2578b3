//! How processes learn where the replicas are: every handshake carries what its sender knows
//! (design 4.3).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mencius::ReplicaId;
use storage::DiskId;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use transport::{Handshake, KnownReplica, Purpose};

#[cfg(test)]
mod tests;

/// Between two rounds while fewer replicas are known than wanted.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Between two rounds once enough are known.
const REFRESH_INTERVAL: Duration = Duration::from_millis(5_000);

/// The latest known location of each replica, by replica and disk. The lock of the watch channel
/// is a leaf: nothing is awaited or locked while it is held (design 8.1).
pub type KnownReplicas = Arc<watch::Sender<BTreeMap<(ReplicaId, DiskId), KnownReplica>>>;

/// A table that holds no replica yet.
pub fn empty() -> KnownReplicas {
    Arc::new(watch::Sender::new(BTreeMap::new()))
}

/// All known locations, by replica.
pub fn list(known_replicas: &KnownReplicas) -> Vec<KnownReplica> {
    known_replicas.borrow().values().cloned().collect()
}

/// Adds locations. Of one disk the location with the higher start count stays: an address that
/// moved is learned, and an old one never comes back.
pub fn merge(known_replicas: &KnownReplicas, received: Vec<KnownReplica>) {
    known_replicas.send_if_modified(|table| {
        let mut modified = false;
        for location in received {
            let key = (location.replica_id, location.disk_id);
            let held = table.get(&key);
            if held.is_none_or(|held| held.start_count < location.start_count) {
                table.insert(key, location);
                modified = true;
            }
        }
        modified
    });
}

/// Waits until the watched value changes, for `at_most` so long.
pub async fn changed_within<T>(watched: &mut watch::Receiver<T>, at_most: Duration) {
    // Both ends of the wait lead the caller to look again.
    drop(timeout(at_most, watched.changed()).await);
}

/// Asks seeds and known replicas for what they know, for ever: all of them in short intervals
/// until `wanted` locations are known, then one at a time in long ones.
pub async fn run(
    known_replicas: KnownReplicas,
    seeds: Vec<String>,
    handshake: impl Fn() -> Handshake + Send + 'static,
    wanted: impl Fn() -> usize + Send,
) {
    let mut turn = 0usize;
    loop {
        let addresses = addresses_to_ask(&known_replicas, &seeds);
        let complete = known_replicas.borrow().len() >= wanted();
        let asked = if complete {
            let next = addresses.get(turn % addresses.len().max(1));
            next.cloned().into_iter().collect()
        } else {
            addresses
        };
        turn += 1;
        // All at once: one that is silent would keep the others waiting.
        let asked = asked.into_iter().map(|address| {
            let known_replicas = known_replicas.clone();
            let handshake = handshake();
            async move { ask(&known_replicas, &address, handshake).await }
        });
        asked.collect::<JoinSet<()>>().join_all().await;
        sleep(if complete {
            REFRESH_INTERVAL
        } else {
            SEARCH_INTERVAL
        })
        .await;
    }
}

/// The seeds, and after them the known replicas that are not among them.
fn addresses_to_ask(known_replicas: &KnownReplicas, seeds: &[String]) -> Vec<String> {
    let mut addresses = seeds.to_vec();
    for location in list(known_replicas) {
        if !seeds.contains(&location.address) {
            addresses.push(location.address);
        }
    }
    addresses
}

async fn ask(known_replicas: &KnownReplicas, address: &str, handshake: Handshake) {
    let own_handshake = Handshake {
        purpose: Purpose::Discover,
        known_replicas: list(known_replicas),
        ..handshake
    };
    if let Ok(connection) = transport::dial(address, own_handshake).await {
        merge(known_replicas, connection.peer_handshake.known_replicas);
    }
}
