use std::time::Duration;

use tokio::time::timeout;
use transport::KnownReplica;

use super::{changed_within, empty, merge};

#[tokio::test]
async fn a_task_that_waits_for_a_location_continues_as_soon_as_it_is_known() {
    let known_replicas = empty();
    let mut watched = known_replicas.subscribe();
    watched.mark_unchanged();
    let replica = KnownReplica {
        replica_id: 1,
        disk_id: 7,
        address: "127.0.0.1:1".into(),
        zone: "z0".into(),
        start_count: 1,
    };
    merge(&known_replicas, vec![replica]);
    // Without the notification the wait would last a day.
    let wait = changed_within(&mut watched, Duration::from_secs(86_400));
    assert!(timeout(Duration::from_secs(30), wait).await.is_ok());
}
