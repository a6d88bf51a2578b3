use super::{Attempt, ReplicaRotation};

fn after(attempts: &[Attempt]) -> ReplicaRotation {
    attempts
        .iter()
        .fold(ReplicaRotation::default(), |rotation, attempt| {
            rotation.after_attempt(5, *attempt)
        })
}

#[test]
fn a_node_whose_network_is_back_begins_with_its_own_zone_at_once() {
    let cut: Vec<Attempt> = vec![Attempt::Unreachable; 17];
    assert_eq!(after(&cut).turn, 17);
    // The first that is reached is a replica that is itself cut off.
    assert_eq!(
        after(&[cut, vec![Attempt::Unproved]].concat()),
        ReplicaRotation::default()
    );
}

#[test]
fn a_dead_replica_and_one_that_proves_nothing_do_not_keep_a_node_from_the_third() {
    assert_eq!(after(&[Attempt::Unreachable, Attempt::Unproved]).turn, 2);
    assert_eq!(
        after(&[Attempt::Unreachable, Attempt::Unproved, Attempt::Proved]),
        ReplicaRotation::default()
    );
}
