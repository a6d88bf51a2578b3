//! Simulates leases in virtual time under random faults, with all guards of the protocol and without one guard each
//! (design 11.4, 11.5).

use simulator::lease_sim::{
    DisabledGuards, FAULTS, Fault, LeaseHarness, LeasePlan, ScheduledFault, draw_faults, simulate,
};
use std::ops::Range;

/// Runs `work` for all seeds in parallel on all processors. Returns the results in the order of the seeds.
fn map_seeds<T: Send>(seeds: Range<u64>, work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let thread_count = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(1) as u64;
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let work = &work;
        let threads = (0..thread_count).map(|thread_index| {
            let own_seeds = seeds
                .clone()
                .filter(move |seed| seed % thread_count == thread_index);
            scope.spawn(move || own_seeds.map(|seed| (seed, work(seed))).collect::<Vec<_>>())
        });
        threads
            .collect::<Vec<_>>()
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run panicked"))
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, value)| value).collect()
}

#[test]
fn after_drawn_faults_each_key_has_one_holder_and_all_keys_are_held_again() {
    let counts = map_seeds(0..300, |seed| {
        let (violations, LeaseHarness { checks, .. }) =
            simulate(LeasePlan::new(seed), &draw_faults(&FAULTS, seed, 14));
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        (checks.ranges_taken, checks.ranges_handed_over)
    });
    let (acquired, handed_over) = counts.into_iter().fold((0, 0), |totals, count| {
        (totals.0 + count.0, totals.1 + count.1)
    });
    assert!(
        acquired > 50_000 && handed_over > 1_000,
        "{acquired} ranges acquired, {handed_over} handed over"
    );
}

/// Asserts that some seed violates the given invariant without the guard, and that no seed tried violates any invariant
/// with all guards under the same faults.
fn assert_detected(
    disabled: DisabledGuards,
    plan: impl Fn(u64) -> LeasePlan + Sync,
    faults: impl Fn(u64) -> Vec<ScheduledFault> + Sync,
    invariant: &str,
) {
    let is_violated = |seed: u64| {
        let with_guards = simulate(plan(seed), &faults(seed)).0;
        assert_eq!(
            with_guards,
            Vec::<String>::new(),
            "seed {seed}: violations with all guards"
        );
        let violations = simulate(
            LeasePlan {
                disabled,
                ..plan(seed)
            },
            &faults(seed),
        )
        .0;
        violations
            .iter()
            .any(|violation| violation.starts_with(invariant))
    };
    assert!(
        (0..6u64).any(|round| map_seeds(round * 8..round * 8 + 8, is_violated).contains(&true)),
        "{disabled:?}: no violation of {invariant:?} was found"
    );
}

fn drawn_faults(kinds: &'static [Fault]) -> impl Fn(u64) -> Vec<ScheduledFault> + Sync {
    move |seed| draw_faults(kinds, seed, 12)
}

/// Returns three rounds of the same sequence of faults, `interval` microseconds apart.
fn repeat_rounds(
    interval: u64,
    single_round: impl Fn(u64) -> Vec<ScheduledFault>,
) -> Vec<ScheduledFault> {
    (0..3)
        .flat_map(|round| single_round(5_000_000 + round * interval))
        .collect()
}

#[test]
fn not_waiting_for_pending_releases_is_detected() {
    assert_detected(
        DisabledGuards {
            pending_releases: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn_faults(&[
            Fault::ChangeShares,
            Fault::CutFromLog,
            Fault::ChangeShares,
            Fault::LogOutage,
        ]),
        "owner",
    );
}

#[test]
fn grants_without_a_freshness_proof_are_detected() {
    assert_detected(
        DisabledGuards {
            freshness_proof: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn_faults(&[Fault::ChangeShares, Fault::CutFromLog, Fault::CutFromLog]),
        "owner",
    );
}

#[test]
fn presuming_the_end_of_a_live_process_is_detected() {
    assert_detected(
        DisabledGuards {
            confirmed_ends: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn_faults(&[Fault::LoseHeartbeats, Fault::CrashBackend]),
        "owner",
    );
}

#[test]
fn earlier_incarnations_not_reported_as_ended_are_detected() {
    assert_detected(
        DisabledGuards {
            unknown_backends: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn_faults(&[Fault::PowerLoss]),
        "unheld",
    );
}

#[test]
fn silent_backends_reported_as_ended_are_detected() {
    assert_detected(
        DisabledGuards {
            return_of_silent: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn_faults(&[
            Fault::LoseHeartbeats,
            Fault::FreezeBackend,
            Fault::FreezeNode,
        ]),
        "idle",
    );
}

#[test]
fn repeated_reports_of_the_same_end_are_detected() {
    assert_detected(
        DisabledGuards {
            end_reported_once: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn_faults(&[Fault::DrainBackend, Fault::KillNode, Fault::DrainBackend]),
        "continued-reports",
    );
}

#[test]
fn registrations_that_do_not_name_the_replaced_incarnation_are_detected() {
    assert_detected(
        DisabledGuards {
            registration: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn_faults(&[Fault::PowerLoss, Fault::KillNode]),
        "idle",
    );
}

#[test]
fn late_heartbeats_taken_for_the_latest_are_detected() {
    // Two incarnations of the backend end while the node is frozen. The node then reads their heartbeats in any order.
    let faults = |seed: u64| {
        repeat_rounds(16_000_000, |at| {
            let crash = |after: u64, length: u64| (at + after, Fault::CrashBackend, 0, length);
            vec![
                (at, Fault::FreezeNode, 0, 10_000_000),
                crash(1_000_000 + seed * 10_000, 700_000),
                crash(5_000_000, 600_000),
            ]
        })
    };
    assert_detected(
        DisabledGuards {
            late_heartbeats: true,
            ..Default::default()
        },
        LeasePlan::new,
        faults,
        "idle",
    );
}

#[test]
fn leases_that_rely_on_a_slow_clock_are_detected() {
    // With frequent proofs and heartbeats the last lease before the disconnection lasts nearly as long as it may.
    let plan = |seed| LeasePlan {
        heartbeat_interval: 100_000,
        proof_interval: 50_000,
        ..LeasePlan::new(seed)
    };
    let faults = |seed: u64| {
        repeat_rounds(14_000_000, |at| {
            vec![
                (at, Fault::CutFromLog, 0, 11_000_000),
                (at, Fault::LoseHeartbeats, 0, 11_000_000),
                (at + 5_000 + seed, Fault::ChangeShares, 1, 0),
            ]
        })
    };
    assert_detected(
        DisabledGuards {
            slow_clock: true,
            ..Default::default()
        },
        plan,
        faults,
        "owner",
    );
}

#[test]
fn a_restarted_node_that_ignores_earlier_grants_is_detected() {
    // The backend sends a heartbeat to the new process before that process has a freshness proof. No heartbeat arrives
    // afterwards.
    let faults = |seed: u64| {
        let single_round = |at| {
            vec![
                (at + seed * 30_000, Fault::KillNode, 0, 100_000),
                (at + seed * 30_000 + 50_000, Fault::LogOutage, 0, 2_000_000),
                (
                    at + seed * 30_000 + 1_900_000,
                    Fault::LoseHeartbeats,
                    0,
                    9_000_000,
                ),
            ]
        };
        repeat_rounds(25_000_000, single_round)
    };
    assert_detected(
        DisabledGuards {
            earlier_grants: true,
            ..Default::default()
        },
        LeasePlan::new,
        faults,
        "owner",
    );
}

#[test]
fn releases_that_cover_later_losses_are_detected() {
    // The report of a release arrives only after the backend has received the keys again and lost them once more.
    let faults = |seed: u64| {
        repeat_rounds(14_000_000, |at| {
            let reports_restored_at = at + 8_600_000 + seed * 20_000;
            let crashes = (1..3).map(|node| (at + 3_000_000, Fault::CrashBackend, node, 2_000_000));
            let rest = [
                (at, Fault::LoseReports, 0, reports_restored_at - at),
                (at + 100_000, Fault::ChangeShares, 1, 0),
                (at + 8_500_000, Fault::ChangeShares, 1, 0),
            ];
            rest.into_iter().chain(crashes).collect()
        })
    };
    let plan = |seed| LeasePlan {
        node_count: 3,
        ..LeasePlan::new(seed)
    };
    assert_detected(
        DisabledGuards {
            release_position: true,
            ..Default::default()
        },
        plan,
        faults,
        "owner",
    );
}
