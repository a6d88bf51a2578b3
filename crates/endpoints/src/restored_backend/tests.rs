//! Tests which backend a restarted node restores from the log, and which keys the backend holds.

use std::iter;

use super::restored_backend;
use model::BackendPhase;
use model::cluster_state::{
    BackendRecord, Delta, ItemBody, ItemKind, Service, StateSnapshot, shard_map,
};

const NODE: &str = "n0";

fn backend(name: &str, phase: BackendPhase) -> Delta {
    let record = BackendRecord {
        service: "seat".into(),
        zone: "z0".into(),
        node: NODE.into(),
        slots: 4,
        phase,
        changed_at: 1,
    };
    Delta::Backend(name.into(), Some(record))
}

fn snapshot_of(deltas: Vec<Delta>) -> StateSnapshot {
    let body = ItemBody::Service(Service {
        health_path: String::new(),
        max_connections: 0,
        keyed: true,
        slow_start_us: 0,
    });
    let service = Delta::Item(ItemKind::Service, "seat".into(), 1, Some(body));
    StateSnapshot::default().updated(true, 9, iter::once(service).chain(deltas).collect())
}

#[test]
fn a_restored_backend_holds_its_ranges_that_no_earlier_holder_may_still_have() {
    let first = shard_map::reassign(
        shard_map::unassigned(),
        &[(0, 99, "a".into()), (100, u16::MAX, "b".into())],
        3,
    );
    let moved = shard_map::reassign(first, &[(200, 299, "a".into())], 5);
    let snapshot = snapshot_of(vec![
        backend("a", BackendPhase::Registered),
        Delta::ShardRanges("seat".into(), 5, moved),
    ]);
    let local = restored_backend(&snapshot, NODE, "here", 70).expect("the backend in the log");
    assert_eq!(
        (
            local.name.as_str(),
            local.address.as_str(),
            local.slots,
            local.drains_at
        ),
        ("a", "here", 4, Some(70))
    );
    let held_keys = local.held_keys.expect("a keyed service");
    assert!(
        held_keys.holds(69, 99)
            && !held_keys.holds(69, 100)
            && !held_keys.holds(69, 250)
            && !held_keys.holds(70, 99)
    );
}

#[test]
fn a_draining_backend_or_one_of_two_is_not_restored() {
    let registered = || backend("a", BackendPhase::Registered);
    let is_restored = |deltas| restored_backend(&snapshot_of(deltas), NODE, "here", 70).is_some();
    assert!(is_restored(vec![registered()]));
    assert!(!is_restored(vec![
        registered(),
        backend("b", BackendPhase::Registered)
    ]));
    assert!(!is_restored(vec![
        registered(),
        backend("b", BackendPhase::Draining)
    ]));
    assert!(!is_restored(vec![backend("a", BackendPhase::Draining)]));
    assert!(!is_restored(vec![backend("a", BackendPhase::PresumedGone)]));
    assert!(!is_restored(Vec::new()));
}
