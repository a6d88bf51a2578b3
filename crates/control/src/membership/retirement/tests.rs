use super::PeerAnswers;

#[test]
fn a_disk_retires_only_when_half_of_the_replicas_know_another_and_none_knows_this_one() {
    let retires = |still_member, superseded, replicas| {
        PeerAnswers {
            still_member,
            superseded,
        }
        .should_retire(replicas)
    };
    assert!(retires(0, 1, 3) && retires(0, 2, 4) && retires(0, 3, 7));
    assert!(
        !retires(0, 0, 3) && !retires(0, 1, 4) && !retires(0, 2, 7),
        "too few replicas answered"
    );
    assert!(
        !retires(1, 2, 4) && !retires(1, 5, 7),
        "one replica knows this disk as the holder"
    );
}
