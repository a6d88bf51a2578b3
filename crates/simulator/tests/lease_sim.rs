//! Keys in virtual time under drawn blows, and variants that each lack one guard (design 11.4, 11.5).

use simulator::lease_sim::{
    DisabledGuards, FAULTS, Fault, LeaseHarness, LeasePlan, ScheduledFault, draw_faults, play,
};
use std::ops::Range;

/// Seeds over the machine's cores, in the order of the seeds.
fn over<T: Send>(seeds: Range<u64>, work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let cores = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(1) as u64;
    let mut done: Vec<(u64, T)> = std::thread::scope(|scope| {
        let work = &work;
        let turns = (0..cores).map(|core| {
            let own = seeds.clone().filter(move |seed| seed % cores == core);
            scope.spawn(move || own.map(|seed| (seed, work(seed))).collect::<Vec<_>>())
        });
        turns
            .collect::<Vec<_>>()
            .into_iter()
            .flat_map(|turn| turn.join().expect("a run"))
            .collect()
    });
    done.sort_by_key(|(seed, _)| *seed);
    done.into_iter().map(|(_, value)| value).collect()
}

#[test]
fn drawn_blows_leave_one_holder_to_each_key_and_all_are_held_again() {
    let played = over(0..300, |seed| {
        let (broken, LeaseHarness { checks: judge, .. }) =
            play(LeasePlan::new(seed), &draw_faults(&FAULTS, seed, 14));
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
        (judge.ranges_taken, judge.ranges_handed_over)
    });
    let (taken, handed_over) = played
        .into_iter()
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(
        taken > 50_000 && handed_over > 1_000,
        "{taken} rows taken, {handed_over} handed over"
    );
}

/// Seeds and blows alike: held with every guard, and without one the promise is seen broken.
fn caught(
    without: DisabledGuards,
    plan: impl Fn(u64) -> LeasePlan + Sync,
    blows: impl Fn(u64) -> Vec<ScheduledFault> + Sync,
    promise: &str,
) {
    let breaks = |seed: u64| {
        let whole = play(plan(seed), &blows(seed)).0;
        assert_eq!(
            whole,
            Vec::<String>::new(),
            "seed {seed}: it holds with its guards"
        );
        let broken = play(
            LeasePlan {
                disabled: without,
                ..plan(seed)
            },
            &blows(seed),
        )
        .0;
        broken.iter().any(|told| told.starts_with(promise))
    };
    assert!(
        (0..6u64).any(|turn| over(turn * 8..turn * 8 + 8, breaks).contains(&true)),
        "{without:?}: {promise} was not seen broken"
    );
}

fn drawn(kinds: &'static [Fault]) -> impl Fn(u64) -> Vec<ScheduledFault> + Sync {
    move |seed| draw_faults(kinds, seed, 12)
}

/// Blows that come one after the other on purpose, three times; the first at node 0.
fn rounds(every: u64, one: impl Fn(u64) -> Vec<ScheduledFault>) -> Vec<ScheduledFault> {
    (0..3)
        .flat_map(|turn| one(5_000_000 + turn * every))
        .collect()
}

#[test]
fn holders_that_do_not_wait_are_caught() {
    caught(
        DisabledGuards {
            owed_ranges: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn(&[
            Fault::ChangeShares,
            Fault::CutFromLog,
            Fault::ChangeShares,
            Fault::LogOutage,
        ]),
        "owner",
    );
}

#[test]
fn grants_without_a_proof_are_caught() {
    caught(
        DisabledGuards {
            proof: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn(&[Fault::ChangeShares, Fault::CutFromLog, Fault::CutFromLog]),
        "owner",
    );
}

#[test]
fn ends_said_surely_of_back_ends_that_live_are_caught() {
    caught(
        DisabledGuards {
            confirmed_ends: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn(&[Fault::LoseHeartbeats, Fault::CrashBackend]),
        "owner",
    );
}

#[test]
fn earlier_lives_that_nobody_ends_are_caught() {
    caught(
        DisabledGuards {
            unknown_backends: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn(&[Fault::PowerLoss]),
        "unheld",
    );
}

#[test]
fn silent_back_ends_taken_for_ended_are_caught() {
    caught(
        DisabledGuards {
            return_of_silent: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn(&[
            Fault::LoseHeartbeats,
            Fault::FreezeBackend,
            Fault::FreezeNode,
        ]),
        "idle",
    );
}

#[test]
fn ends_told_over_and_over_are_caught() {
    caught(
        DisabledGuards {
            end_reported_once: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn(&[Fault::DrainBackend, Fault::KillNode, Fault::DrainBackend]),
        "restless",
    );
}

#[test]
fn registrations_that_do_not_ask_the_log_are_caught() {
    caught(
        DisabledGuards {
            registration: true,
            ..Default::default()
        },
        LeasePlan::new,
        drawn(&[Fault::PowerLoss, Fault::KillNode]),
        "idle",
    );
}

#[test]
fn late_beats_taken_for_the_latest_are_caught() {
    // Two lives come and go while the node stands still; what they sent is read in any order.
    let blows = |seed: u64| {
        rounds(16_000_000, |at| {
            let crash = |after: u64, length: u64| (at + after, Fault::CrashBackend, 0, length);
            vec![
                (at, Fault::FreezeNode, 0, 10_000_000),
                crash(1_000_000 + seed * 10_000, 700_000),
                crash(5_000_000, 600_000),
            ]
        })
    };
    caught(
        DisabledGuards {
            late_heartbeats: true,
            ..Default::default()
        },
        LeasePlan::new,
        blows,
        "idle",
    );
}

#[test]
fn holds_that_trust_a_slow_clock_are_caught() {
    // Often asked and often told, so that the last hold of one that hears no more reaches as far as it may.
    let plan = |seed| LeasePlan {
        heartbeat_interval: 100_000,
        proof_interval: 50_000,
        ..LeasePlan::new(seed)
    };
    let blows = |seed: u64| {
        rounds(14_000_000, |at| {
            vec![
                (at, Fault::CutFromLog, 0, 11_000_000),
                (at, Fault::LoseHeartbeats, 0, 11_000_000),
                (at + 5_000 + seed, Fault::ChangeShares, 1, 0),
            ]
        })
    };
    caught(
        DisabledGuards {
            slow_clock: true,
            ..Default::default()
        },
        plan,
        blows,
        "owner",
    );
}

#[test]
fn a_node_that_forgot_what_it_granted_is_caught() {
    // The back end beats at the new process before that has a proof, and is not heard any more.
    let blows = |seed: u64| {
        let once = |at| {
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
        rounds(25_000_000, once)
    };
    caught(
        DisabledGuards {
            earlier_grants: true,
            ..Default::default()
        },
        LeasePlan::new,
        blows,
        "owner",
    );
}

#[test]
fn releases_that_speak_of_later_losses_are_caught() {
    // What it let go is told late: meanwhile it had the keys back, and lost them once more.
    let blows = |seed: u64| {
        rounds(14_000_000, |at| {
            let told = at + 8_600_000 + seed * 20_000;
            let crashes = (1..3).map(|node| (at + 3_000_000, Fault::CrashBackend, node, 2_000_000));
            let rest = [
                (at, Fault::LoseReports, 0, told - at),
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
    caught(
        DisabledGuards {
            release_position: true,
            ..Default::default()
        },
        plan,
        blows,
        "owner",
    );
}
