use std::time::Duration;

use tokio::time::timeout;
use transport::KnownReplica;

use super::{changed_within, empty, merge};

#[tokio::test]
async fn a_task_that_waits_for_a_replica_continues_as_soon_as_it_is_known() {
    let known = empty();
    let mut watched = known.subscribe();
    watched.mark_unchanged();
    let replica = KnownReplica {
        replica_id: 1,
        disk_id: 7,
        address: "there".into(),
        zone: "z0".into(),
        start_count: 1,
    };
    merge(&known, vec![replica]);
    // Without the change it would be a day.
    let waits = changed_within(&mut watched, Duration::from_secs(86_400));
    assert!(timeout(Duration::from_secs(30), waits).await.is_ok());
}
