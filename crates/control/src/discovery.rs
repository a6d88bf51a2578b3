//! How processes learn where the core seats are: greetings carry what each knows (design 4.3).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Seat and disk to the latest known place. A watch channel is the table; its lock is a leaf (design 8.1).
pub type KnownReplicas =
    Arc<tokio::sync::watch::Sender<BTreeMap<(u16, u64), transport::KnownReplica>>>;

pub fn empty() -> KnownReplicas {
    Arc::new(tokio::sync::watch::Sender::new(Default::default()))
}

pub fn list(known: &KnownReplicas) -> Vec<transport::KnownReplica> {
    known.borrow().values().cloned().collect()
}

/// Of one disk the later start wins: an address that moved is learned, an old one never comes back.
pub fn merge(known: &KnownReplicas, told: Vec<transport::KnownReplica>) {
    known.send_if_modified(|table| {
        told.into_iter()
            .filter(|seat| {
                let newer = table
                    .get(&(seat.replica_id, seat.disk_id))
                    .is_none_or(|held| held.start_count < seat.start_count);
                if newer {
                    table.insert((seat.replica_id, seat.disk_id), seat.clone());
                }
                newer
            })
            .count()
            > 0
    });
}

/// Until something new is known, and no longer than that.
pub async fn changed_within<T>(known: &mut tokio::sync::watch::Receiver<T>, most: Duration) {
    drop(tokio::time::timeout(most, known.changed()).await);
}

/// Asks seeds and known seats in turn; quick until the core is complete, then now and then.
pub async fn run(
    known: KnownReplicas,
    seeds: Vec<String>,
    greeting: impl Fn() -> transport::Handshake + Send + 'static,
    seats: impl Fn() -> usize + Send,
) {
    let mut turn = 0usize;
    loop {
        let told: Vec<String> = list(&known).into_iter().map(|seat| seat.address).collect();
        let places: Vec<String> = seeds
            .iter()
            .chain(told.iter().filter(|address| !seeds.contains(address)))
            .cloned()
            .collect();
        let complete = known.borrow().len() >= seats();
        // All seeds while the core is not yet known, one place a round after that.
        let asked = if complete {
            places
                .iter()
                .cycle()
                .skip(turn % places.len().max(1))
                .take(1)
                .cloned()
                .collect()
        } else {
            places
        };
        turn += 1;
        for address in asked {
            let own = transport::Handshake {
                purpose: transport::Purpose::Discover,
                known_replicas: list(&known),
                ..greeting()
            };
            if let Ok(conn) = transport::dial(&address, own).await {
                merge(&known, conn.peer_handshake.known_replicas);
            }
        }
        let pause = if complete { 5_000 } else { 200 };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

#[cfg(test)]
mod tests {
    #[tokio::test]
    async fn whoever_waits_for_a_seat_goes_on_as_soon_as_it_is_known() {
        let known = crate::discovery::empty();
        let mut heard = known.subscribe();
        heard.mark_unchanged();
        let seat = transport::KnownReplica {
            replica_id: 1,
            disk_id: 7,
            address: "there".into(),
            zone: "z0".into(),
            start_count: 1,
        };
        crate::discovery::merge(&known, vec![seat]);
        // Without the news it would be a day.
        let waits =
            crate::discovery::changed_within(&mut heard, std::time::Duration::from_secs(86_400));
        assert!(
            tokio::time::timeout(std::time::Duration::from_secs(30), waits)
                .await
                .is_ok()
        );
    }
}
