//! Tests that a starting process replaces the incarnation in the log, whatever the random numbers, and stops once
//! another process has replaced it (design section 11.2).

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
fn a_process_replaces_any_incarnation_that_the_log_has() {
    for registered in [1, u64::MAX] {
        let mut registration = Registration::new(500);
        assert_eq!(
            registration.observe(None),
            RegistrationStatus::Unregistered { replaces: 0 }
        );
        assert_eq!(
            registration.observe(Some(&node_record(registered))),
            RegistrationStatus::Unregistered {
                replaces: registered
            }
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
        "the log removes nodes that were absent for long"
    );
}

/// Processes of one node start one after the other with random incarnations; their registrations arrive in any order
/// and any number of times. The last process has to be registered in the end, and registrations of earlier processes
/// must be rejected from then on.
#[test]
fn the_process_that_started_last_is_registered_in_the_end() {
    test_support::check_generated::<[(u64, u8, u8); 12]>(400, |processes| {
        let mut state = ClusterState::default();
        let mut delayed: Vec<(u64, u64)> = Vec::new();
        let mut latest = 0;
        for (incarnation, choice, delayed_count) in processes
            .iter()
            .filter(|(incarnation, ..)| *incarnation != 0)
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
            // The process may end before its registration is applied; the registration may still arrive later.
            if let RegistrationStatus::Unregistered { replaces } =
                registration.observe(state.nodes.get("n0"))
            {
                delayed.push((*incarnation, replaces));
                if choice % 3 != 0 {
                    register(&mut state, *incarnation, replaces);
                }
            }
            for at in 0..usize::from(delayed_count % 4) {
                let (earlier, replaces) = delayed[(usize::from(*choice) + at) % delayed.len()];
                register(&mut state, earlier, replaces);
            }
            // The running process retries with the current state of the log until it is registered.
            let mut attempts = 0;
            while let RegistrationStatus::Unregistered { replaces } =
                registration.observe(state.nodes.get("n0"))
            {
                attempts += 1;
                assert!(attempts <= 2, "the process does not get registered");
                register(&mut state, *incarnation, replaces);
            }
            latest = *incarnation;
            let all_rejected = delayed
                .iter()
                .filter(|(earlier, _)| *earlier != latest)
                .all(|(earlier, replaces)| {
                    let outcome = register(&mut state, *earlier, *replaces);
                    matches!(outcome, Outcome::Superseded { .. })
                });
            assert!(all_rejected, "an earlier process replaced the last one");
        }
        assert_eq!(
            state
                .nodes
                .get("n0")
                .map_or(0, |registered| registered.incarnation),
            latest
        );
    });
}
