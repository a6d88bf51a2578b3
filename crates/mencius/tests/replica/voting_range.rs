//! Which changes of a replica's disk end a disk's right to vote (design 4.4).

use mencius::{Config, Effect, Input, Instance, Replica, Write, first_instance_of};

use crate::harness::REPLICA_COUNT;

fn suggests(replica: &mut Replica) -> bool {
    replica.step(1, Input::Submit(b"value".to_vec()));
    let accepts = |write: &Write| matches!(write, Write::Accept { .. });
    replica.take_effects().iter().any(
        |effect| matches!(effect, Effect::Persist { writes, .. } if writes.iter().any(accepts)),
    )
}

/// A disk that votes after instance `last` and has caught up.
fn replica_voting_after(last: Instance) -> Replica {
    let writes = vec![
        Write::VotingRangeStart(last + 1),
        Write::Index(first_instance_of(last + 1, 0, REPLICA_COUNT)),
        Write::Snapshot {
            next_instance: last + 1,
            state: Vec::new(),
        },
    ];
    let mut replica = Replica::restore(0, REPLICA_COUNT, 9, Config::default(), 0, writes);
    replica.take_effects();
    replica.take_effects();
    replica
}

#[test]
fn a_change_between_disks_before_this_one_takes_nothing_from_it() {
    let mut replica = replica_voting_after(5_000_000);
    replica.step(0, Input::StopVotingAfter(2_000_000));
    assert_eq!(replica.replaced_after(), None);
    assert!(
        suggests(&mut replica),
        "it may not vote though it is the replica's disk"
    );
}

#[test]
fn a_change_above_where_this_disk_begins_ends_its_vote_there() {
    let mut replica = replica_voting_after(5_000_000);
    replica.step(0, Input::StopVotingAfter(5_000_000));
    assert_eq!(
        replica.replaced_after(),
        None,
        "that is the change that made it the disk"
    );
    replica.step(0, Input::StopVotingAfter(5_000_001));
    assert_eq!(replica.replaced_after(), Some(5_000_001));
    assert!(suggests(&mut replica), "the last instance that is its own");
    replica.step(2, Input::Submit(b"another".to_vec()));
    assert!(!suggests(&mut replica));
}
