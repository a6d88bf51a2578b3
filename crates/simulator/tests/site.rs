//! Runs whole sites in virtual time under random faults. Further tests leave out one guard each and expect the violation
//! that the guard prevents (design 9.8).

use simulator::sim::trial::simulate;
use simulator::sim::{DisabledGuards, SitePlan};

#[test]
fn a_site_without_faults_serves_and_violates_no_invariant() {
    let (violations, site) = simulate(SitePlan::new(1), &[]);
    assert_eq!(violations, Vec::<String>::new());
    assert!(site.checks.served > 500, "{} served", site.checks.served);
}

#[test]
fn random_faults_violate_no_invariant() {
    test_support::check_generated::<(u64, [u8; 24])>(100, |(seed, bytes)| {
        let (violations, site) = simulate(SitePlan::new(*seed), bytes);
        assert!(
            violations.is_empty(),
            "seed {seed} {bytes:?}: {:#?}",
            violations.iter().take(8).collect::<Vec<_>>()
        );
        assert!(site.checks.served > 0 && site.checks.runs > 0);
    });
}

/// Asserts that these faults violate no invariant with all guards, and that some seed violates one of `invariants` without
/// the guards in `disabled`.
fn assert_caught(disabled: DisabledGuards, faults: [u8; 6], invariants: &[&str]) {
    let is_violated = |seed: u64| {
        let bytes: Vec<u8> = (0..6u8)
            .flat_map(|round| {
                [
                    faults[round as usize],
                    round.wrapping_mul(seed as u8 + 1),
                    200,
                ]
            })
            .collect();
        let guarded = simulate(SitePlan::new(seed), &bytes).0;
        assert_eq!(
            guarded,
            Vec::<String>::new(),
            "seed {seed}: a violation with all guards"
        );
        let unguarded = simulate(
            SitePlan {
                disabled,
                ..SitePlan::new(seed)
            },
            &bytes,
        )
        .0;
        unguarded
            .iter()
            .filter_map(|violation| violation.split(':').next())
            .any(|name| invariants.contains(&name))
    };
    assert!(
        (0..30u64).any(is_violated),
        "{disabled:?}: no violation of {invariants:?}"
    );
}

const FREEZE_NODE: u8 = 0;
const CUT_NODE: u8 = 1;
const RESTART_NODE: u8 = 3;
const GRACEFUL_STOP: u8 = 4;
const KILL_BACKEND: u8 = 5;
const STOP_HEARTBEATS: u8 = 6;
const DRAIN_BACKEND: u8 = 7;
const REUSE_ADDRESS: u8 = 8;
const CRASH_ALL_REPLICAS: u8 = 14;
const REMOVE_ROUTE: u8 = 15;

#[test]
fn attempts_that_are_accepted_twice_run_twice() {
    assert_caught(
        DisabledGuards {
            attempt_deduplication: true,
            ..Default::default()
        },
        [
            RESTART_NODE,
            KILL_BACKEND,
            RESTART_NODE,
            CUT_NODE,
            RESTART_NODE,
            KILL_BACKEND,
        ],
        &["duplicate-run"],
    );
}

#[test]
fn a_lost_peer_reported_as_not_run_is_caught() {
    assert_caught(
        DisabledGuards {
            unknown_execution: true,
            ..Default::default()
        },
        [
            RESTART_NODE,
            KILL_BACKEND,
            RESTART_NODE,
            RESTART_NODE,
            RESTART_NODE,
            KILL_BACKEND,
        ],
        &["not-run"],
    );
}

#[test]
fn unlimited_retries_are_caught() {
    assert_caught(
        DisabledGuards {
            retry_budget: true,
            ..Default::default()
        },
        [
            KILL_BACKEND,
            RESTART_NODE,
            KILL_BACKEND,
            GRACEFUL_STOP,
            KILL_BACKEND,
            RESTART_NODE,
        ],
        &["retry-budget"],
    );
}

#[test]
fn new_key_owners_that_do_not_wait_are_caught() {
    assert_caught(
        DisabledGuards {
            key_handover_wait: true,
            ..Default::default()
        },
        [
            RESTART_NODE,
            CUT_NODE,
            RESTART_NODE,
            STOP_HEARTBEATS,
            CUT_NODE,
            RESTART_NODE,
        ],
        &["overlapping-runs"],
    );
}

#[test]
fn proofs_that_do_not_expire_are_caught() {
    assert_caught(
        DisabledGuards {
            proof_expiry: true,
            ..Default::default()
        },
        [
            CUT_NODE,
            REMOVE_ROUTE,
            CUT_NODE,
            CUT_NODE,
            REMOVE_ROUTE,
            CUT_NODE,
        ],
        &["in-force"],
    );
}

#[test]
fn older_states_that_are_accepted_are_caught() {
    assert_caught(
        DisabledGuards {
            update_order: true,
            ..Default::default()
        },
        [
            CUT_NODE,
            FREEZE_NODE,
            CUT_NODE,
            FREEZE_NODE,
            CUT_NODE,
            FREEZE_NODE,
        ],
        &["regression"],
    );
}

#[test]
fn changes_that_are_answered_before_they_are_in_the_log_are_caught() {
    assert_caught(
        DisabledGuards {
            commit_wait: true,
            ..Default::default()
        },
        [
            CRASH_ALL_REPLICAS,
            REMOVE_ROUTE,
            CRASH_ALL_REPLICAS,
            REMOVE_ROUTE,
            CRASH_ALL_REPLICAS,
            REMOVE_ROUTE,
        ],
        &["lost-change"],
    );
}

#[test]
fn graceful_stops_that_do_not_wait_are_caught() {
    assert_caught(
        DisabledGuards {
            graceful_stop: true,
            ..Default::default()
        },
        [
            GRACEFUL_STOP,
            GRACEFUL_STOP,
            GRACEFUL_STOP,
            GRACEFUL_STOP,
            GRACEFUL_STOP,
            GRACEFUL_STOP,
        ],
        &["interrupted"],
    );
}

#[test]
fn backends_without_heartbeats_that_count_as_alive_are_caught_when_their_address_is_reused() {
    assert_caught(
        DisabledGuards {
            heartbeat_timeout: true,
            ..Default::default()
        },
        [
            REUSE_ADDRESS,
            KILL_BACKEND,
            REUSE_ADDRESS,
            REUSE_ADDRESS,
            KILL_BACKEND,
            REUSE_ADDRESS,
        ],
        &["route"],
    );
}

#[test]
fn ignored_drains_are_caught() {
    assert_caught(
        DisabledGuards {
            draining: true,
            ..Default::default()
        },
        [
            DRAIN_BACKEND,
            DRAIN_BACKEND,
            DRAIN_BACKEND,
            DRAIN_BACKEND,
            DRAIN_BACKEND,
            DRAIN_BACKEND,
        ],
        &["drained"],
    );
}

#[test]
fn disks_that_report_a_sync_too_early_are_caught() {
    assert_caught(
        DisabledGuards {
            disk_sync: true,
            ..Default::default()
        },
        [
            CRASH_ALL_REPLICAS,
            CRASH_ALL_REPLICAS,
            CRASH_ALL_REPLICAS,
            CRASH_ALL_REPLICAS,
            CRASH_ALL_REPLICAS,
            CRASH_ALL_REPLICAS,
        ],
        &["log", "lost-change"],
    );
}
