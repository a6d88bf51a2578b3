//! A process that starts registers on top of what the log has, whatever was drawn, and stops once another one did so
//! after it (design section 11.2).

use endpoints::{Registration, RegistrationStatus};
use model::cluster_state::{ClusterOperation, ClusterReport, NodeRecord};
use model::{ClusterState, Outcome};

fn node_record(incarnation: u64) -> NodeRecord {
    NodeRecord {
        zone: "z0".into(),
        address: "n0:1".into(),
        incarnation,
        present: true,
        suspected_by: Default::default(),
        changed_at: 1,
    }
}

#[test]
fn a_process_registers_on_top_of_any_incarnation_that_the_log_has() {
    for held in [1, u64::MAX] {
        let mut registration = Registration::new(500);
        assert_eq!(
            registration.observe(None),
            RegistrationStatus::Unregistered { replaces: 0 }
        );
        assert_eq!(
            registration.observe(Some(&node_record(held))),
            RegistrationStatus::Unregistered { replaces: held }
        );
        assert_eq!(
            registration.observe(Some(&node_record(500))),
            RegistrationStatus::Registered
        );
    }
}

#[test]
fn a_registered_process_that_finds_another_one_is_superseded() {
    let mut registration = Registration::new(500);
    registration.observe(Some(&node_record(500)));
    assert_eq!(
        registration.observe(Some(&node_record(3))),
        RegistrationStatus::Superseded
    );
    assert_eq!(
        registration.observe(None),
        RegistrationStatus::Unregistered { replaces: 0 },
        "names that were away for long are forgotten"
    );
}

/// Processes of one node start one after the other, each with a drawn incarnation; what they send arrives in any order
/// and any number of times. The last one is registered in the end, and no earlier one's words hold after its own.
#[test]
fn the_process_that_started_last_is_registered_in_the_end() {
    test_support::drawn::<[(u64, u8, u8); 12]>(400, |drawn| {
        let mut state = ClusterState::default();
        let mut late: Vec<(u64, u64)> = Vec::new();
        let mut last = 0;
        for (incarnation, from, again) in drawn.iter().filter(|(incarnation, ..)| *incarnation != 0)
        {
            let register = |state: &mut ClusterState, incarnation: u64, replaces: u64| {
                let node = ClusterReport::NodeRegistered {
                    node: "n0".into(),
                    zone: "z0".into(),
                    address: "n0:1".into(),
                    incarnation,
                    replaces,
                };
                state
                    .apply("n0", incarnation, 1, ClusterOperation::Reports(vec![node]))
                    .0
            };
            let mut registration = Registration::new(*incarnation);
            // It may die before its word is taken, and be heard later.
            if let RegistrationStatus::Unregistered { replaces } =
                registration.observe(state.nodes.get("n0"))
            {
                late.push((*incarnation, replaces));
                if from % 3 != 0 {
                    register(&mut state, *incarnation, replaces);
                }
            }
            for at in 0..usize::from(again % 4) {
                let (earlier, replaces) = late[(usize::from(*from) + at) % late.len()];
                register(&mut state, earlier, replaces);
            }
            // The one that lives looks again until it stands; each look finds what stands now.
            let mut looks = 0;
            while let RegistrationStatus::Unregistered { replaces } =
                registration.observe(state.nodes.get("n0"))
            {
                looks += 1;
                assert!(looks <= 2, "it asks in circles");
                register(&mut state, *incarnation, replaces);
            }
            last = *incarnation;
            let refused =
                late.iter()
                    .filter(|(earlier, _)| *earlier != last)
                    .all(|(earlier, replaces)| {
                        let outcome = register(&mut state, *earlier, *replaces);
                        matches!(outcome, Outcome::Superseded { .. })
                    });
            assert!(refused, "an earlier process took the node back");
        }
        assert_eq!(
            state.nodes.get("n0").map_or(0, |held| held.incarnation),
            last
        );
    });
}
