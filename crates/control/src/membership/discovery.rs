//! Discovery of the replicas: every handshake carries the locations known to its sender (design
//! 4.3).

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

/// Interval between two rounds while fewer locations are known than the target count.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two rounds once enough locations are known.
const REFRESH_INTERVAL: Duration = Duration::from_millis(5_000);

/// The latest known location of each replica, by replica and disk. The lock of the watch channel is
/// a leaf lock: nothing is awaited and no other lock taken while it is held (design 8.1).
pub type KnownReplicas = Arc<watch::Sender<BTreeMap<(ReplicaId, DiskId), KnownReplica>>>;

/// Creates a table without locations.
pub fn empty() -> KnownReplicas {
    Arc::new(watch::Sender::new(BTreeMap::new()))
}

/// Returns all known locations, ordered by replica.
pub fn list(known_replicas: &KnownReplicas) -> Vec<KnownReplica> {
    known_replicas.borrow().values().cloned().collect()
}

/// Adds locations to the table. For each disk the location with the highest start count is kept, so
/// that a new address replaces an old one and never the reverse.
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

/// Waits until the watched value changes, but no longer than `max_wait`.
pub async fn changed_within<T>(watched: &mut watch::Receiver<T>, max_wait: Duration) {
    // The caller reads the value again in either case.
    drop(timeout(max_wait, watched.changed()).await);
}

/// Exchanges known locations with the seeds and the known replicas as long as the process runs.
/// While fewer than `target_count` locations are known, all of them are contacted at a short
/// interval; after that, one at a time at a long interval.
pub async fn run(
    known_replicas: KnownReplicas,
    seeds: Vec<String>,
    handshake: impl Fn() -> Handshake + Send + 'static,
    target_count: impl Fn() -> usize + Send,
) {
    let mut round = 0usize;
    loop {
        let addresses = addresses_to_contact(&known_replicas, &seeds);
        let is_complete = known_replicas.borrow().len() >= target_count();
        let contacted = if is_complete {
            let next = addresses.get(round % addresses.len().max(1));
            next.cloned().into_iter().collect()
        } else {
            addresses
        };
        round += 1;
        // The exchanges run concurrently, so that one that does not answer does not delay the
        // others.
        let exchanges = contacted.into_iter().map(|address| {
            let known_replicas = known_replicas.clone();
            let handshake = handshake();
            async move { exchange_locations(&known_replicas, &address, handshake).await }
        });
        exchanges.collect::<JoinSet<()>>().join_all().await;
        sleep(if is_complete {
            REFRESH_INTERVAL
        } else {
            SEARCH_INTERVAL
        })
        .await;
    }
}

/// Returns the addresses of the seeds, followed by those of the known replicas that are not seeds.
fn addresses_to_contact(known_replicas: &KnownReplicas, seeds: &[String]) -> Vec<String> {
    let mut addresses = seeds.to_vec();
    for location in list(known_replicas) {
        if !seeds.contains(&location.address) {
            addresses.push(location.address);
        }
    }
    addresses
}

async fn exchange_locations(known_replicas: &KnownReplicas, address: &str, handshake: Handshake) {
    let own_handshake = Handshake {
        purpose: Purpose::Discover,
        known_replicas: list(known_replicas),
        ..handshake
    };
    if let Ok(connection) = transport::dial(address, own_handshake).await {
        merge(known_replicas, connection.peer_handshake.known_replicas);
    }
}
