//! Which backend of the log a node that has just started gives requests to.

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
fn a_restored_backend_holds_what_the_log_gave_it_and_nobody_else_may_still_have() {
    let first = shard_map::reassign(
        shard_map::unassigned(),
        &[(0, 99, "a".into()), (100, u16::MAX, "b".into())],
        3,
    );
    let moved = shard_map::reassign(first, &[(200, 299, "a".into())], 5);
    let programme = snapshot_of(vec![
        backend("a", BackendPhase::Registered),
        Delta::ShardRanges("seat".into(), 5, moved),
    ]);
    let local = restored_backend(&programme, NODE, "here", 70).expect("the one that the log has");
    assert_eq!(
        (
            local.name.as_str(),
            local.address.as_str(),
            local.slots,
            local.drains_at
        ),
        ("a", "here", 4, Some(70))
    );
    let holding = local.held_keys.expect("a service divided by key");
    assert!(
        holding.holds(69, 99)
            && !holding.holds(69, 100)
            && !holding.holds(69, 250)
            && !holding.holds(70, 99)
    );
}

#[test]
fn a_draining_backend_or_one_of_two_is_not_restored() {
    let registered = || backend("a", BackendPhase::Registered);
    let found = |deltas| restored_backend(&snapshot_of(deltas), NODE, "here", 70).is_some();
    assert!(found(vec![registered()]));
    assert!(!found(vec![
        registered(),
        backend("b", BackendPhase::Registered)
    ]));
    assert!(!found(vec![
        registered(),
        backend("b", BackendPhase::Draining)
    ]));
    assert!(!found(vec![backend("a", BackendPhase::Draining)]));
    assert!(!found(vec![backend("a", BackendPhase::PresumedGone)]));
    assert!(!found(Vec::new()));
}
