//! The replacements of a replica's disk that end the voting range of a disk (design 4.4).

use mencius::{Config, Effect, Input, Instance, Replica, Write, first_instance_of};

use crate::harness::REPLICA_COUNT;

fn suggests(replica: &mut Replica) -> bool {
    replica.step(1, Input::Submit(b"value".to_vec()));
    let accepts = |write: &Write| matches!(write, Write::Accept { .. });
    replica.take_effects().iter().any(
        |effect| matches!(effect, Effect::Persist { writes, .. } if writes.iter().any(accepts)),
    )
}

/// Creates a replica whose disk votes after instance `last` and has caught up.
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
fn a_replacement_between_earlier_disks_does_not_end_the_voting_range() {
    let mut replica = replica_voting_after(5_000_000);
    replica.step(0, Input::StopVotingAfter(2_000_000));
    assert_eq!(replica.replaced_after(), None);
    assert!(
        suggests(&mut replica),
        "the current disk of the replica cannot vote"
    );
}

#[test]
fn a_replacement_above_the_start_of_the_voting_range_ends_it() {
    let mut replica = replica_voting_after(5_000_000);
    replica.step(0, Input::StopVotingAfter(5_000_000));
    assert_eq!(
        replica.replaced_after(),
        None,
        "the replacement that installed this disk ended its voting range"
    );
    replica.step(0, Input::StopVotingAfter(5_000_001));
    assert_eq!(replica.replaced_after(), Some(5_000_001));
    assert!(
        suggests(&mut replica),
        "the disk cannot vote in the last instance of its range"
    );
    replica.step(2, Input::Submit(b"another".to_vec()));
    assert!(!suggests(&mut replica));
}
