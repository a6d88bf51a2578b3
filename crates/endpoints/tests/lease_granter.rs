//! Tests the granting of leases in the presence of earlier holders and slow clocks (design section 11.5).

use endpoints::{LeaseConfig, LeaseGranter};
use model::cluster_state::{ShardKey, ShardMap, shard_map};

const CONFIG: LeaseConfig = LeaseConfig {
    proof_validity: 9_000_000,
    clock_margin: 300_000,
    max_duration: 10_000_000,
};

fn moved_from_a_to_b() -> ShardMap {
    let all = |name: &str| vec![(0, ShardKey::MAX, name.to_string())];
    shard_map::reassign(
        shard_map::reassign(shard_map::unassigned(), &all("a"), 3),
        &all("b"),
        7,
    )
}

#[test]
fn the_next_holder_waits_for_the_release_or_until_earlier_leases_expire() {
    let mut granter = LeaseGranter::new(CONFIG);
    let first = granter
        .grant(1_000_000, 900_000, &moved_from_a_to_b(), "b", &[])
        .expect("a valid proof");
    assert!(
        first.ranges.is_empty() && first.pending == vec![(0, ShardKey::MAX)],
        "{first:?}"
    );
    let released = shard_map::release(
        moved_from_a_to_b(),
        "a",
        7,
        &[(0, ShardKey::MAX, "token".into())],
    );
    let second = granter
        .grant(1_100_000, 900_000, &released, "b", &[])
        .expect("a valid proof");
    assert_eq!(second.ranges, vec![(0, ShardKey::MAX, 7, "token".into())]);
    assert!(
        granter
            .grant(10_200_000, 9_900_000, &moved_from_a_to_b(), "b", &[])
            .expect("a valid proof")
            .ranges
            .is_empty(),
        "validity and guard are counted from when the range was first seen"
    );
    let third = granter
        .grant(10_300_000, 9_900_000, &moved_from_a_to_b(), "b", &[])
        .expect("a valid proof");
    assert_eq!((third.ranges.len(), third.expired_releases.len()), (1, 1));
}

#[test]
fn a_lease_expires_before_the_proof_does_on_a_slow_clock_too() {
    let mut granter = LeaseGranter::new(CONFIG);
    let held = shard_map::reassign(
        shard_map::unassigned(),
        &[(0, ShardKey::MAX, "a".into())],
        3,
    );
    assert_eq!(granter.grant(50, 0, &held, "a", &[]), None, "no proof yet");
    let grant = granter
        .grant(5_000_000, 1_000_000, &held, "a", &[])
        .expect("a valid proof");
    assert!(5_000_000 + grant.duration * 102 / 100 < 10_000_000);
    assert_eq!(
        granter.grant(10_000_000, 1_000_000, &held, "a", &[]),
        None,
        "the proof is too old"
    );
}
