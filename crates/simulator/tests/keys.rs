//! Keys in virtual time under drawn blows, and variants that each lack one guard (design 11.4, 11.5).

use simulator::keysim::{BLOWS, Blow, KeyPlan, Stage, Struck, Without, draw, play};
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
        let (broken, Stage { judge, .. }) = play(KeyPlan::new(seed), &draw(&BLOWS, seed, 14));
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
        (judge.taken, judge.handed_over)
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
    without: Without,
    plan: impl Fn(u64) -> KeyPlan + Sync,
    blows: impl Fn(u64) -> Vec<Struck> + Sync,
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
            KeyPlan {
                without,
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

fn drawn(kinds: &'static [Blow]) -> impl Fn(u64) -> Vec<Struck> + Sync {
    move |seed| draw(kinds, seed, 12)
}

/// Blows that come one after the other on purpose, three times; the first at node 0.
fn rounds(every: u64, one: impl Fn(u64) -> Vec<Struck>) -> Vec<Struck> {
    (0..3)
        .flat_map(|turn| one(5_000_000 + turn * every))
        .collect()
}

#[test]
fn holders_that_do_not_wait_are_caught() {
    caught(
        Without {
            wait: true,
            ..Default::default()
        },
        KeyPlan::new,
        drawn(&[Blow::Shares, Blow::Cut, Blow::Shares, Blow::Outage]),
        "owner",
    );
}

#[test]
fn grants_without_a_proof_are_caught() {
    caught(
        Without {
            proof: true,
            ..Default::default()
        },
        KeyPlan::new,
        drawn(&[Blow::Shares, Blow::Cut, Blow::Cut]),
        "owner",
    );
}

#[test]
fn ends_said_surely_of_back_ends_that_live_are_caught() {
    caught(
        Without {
            honest_ends: true,
            ..Default::default()
        },
        KeyPlan::new,
        drawn(&[Blow::Mute, Blow::Crash]),
        "owner",
    );
}

#[test]
fn earlier_lives_that_nobody_ends_are_caught() {
    caught(
        Without {
            strangers: true,
            ..Default::default()
        },
        KeyPlan::new,
        drawn(&[Blow::Power]),
        "unheld",
    );
}

#[test]
fn silent_back_ends_taken_for_ended_are_caught() {
    caught(
        Without {
            return_of_silent: true,
            ..Default::default()
        },
        KeyPlan::new,
        drawn(&[Blow::Mute, Blow::FreezePlayer, Blow::Freeze]),
        "idle",
    );
}

#[test]
fn ends_told_over_and_over_are_caught() {
    caught(
        Without {
            rest: true,
            ..Default::default()
        },
        KeyPlan::new,
        drawn(&[Blow::Drain, Blow::Kill, Blow::Drain]),
        "restless",
    );
}

#[test]
fn registrations_that_do_not_ask_the_log_are_caught() {
    caught(
        Without {
            registration: true,
            ..Default::default()
        },
        KeyPlan::new,
        drawn(&[Blow::Power, Blow::Kill]),
        "idle",
    );
}

#[test]
fn late_beats_taken_for_the_latest_are_caught() {
    // Two lives come and go while the node stands still; what they sent is read in any order.
    let blows = |seed: u64| {
        rounds(16_000_000, |at| {
            let crash = |after: u64, length: u64| (at + after, Blow::Crash, 0, length);
            vec![
                (at, Blow::Freeze, 0, 10_000_000),
                crash(1_000_000 + seed * 10_000, 700_000),
                crash(5_000_000, 600_000),
            ]
        })
    };
    caught(
        Without {
            late: true,
            ..Default::default()
        },
        KeyPlan::new,
        blows,
        "idle",
    );
}

#[test]
fn holds_that_trust_a_slow_clock_are_caught() {
    // Often asked and often told, so that the last hold of one that hears no more reaches as far as it may.
    let plan = |seed| KeyPlan {
        beat_every: 100_000,
        ask_every: 50_000,
        ..KeyPlan::new(seed)
    };
    let blows = |seed: u64| {
        rounds(14_000_000, |at| {
            vec![
                (at, Blow::Cut, 0, 11_000_000),
                (at, Blow::Mute, 0, 11_000_000),
                (at + 5_000 + seed, Blow::Shares, 1, 0),
            ]
        })
    };
    caught(
        Without {
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
                (at + seed * 30_000, Blow::Kill, 0, 100_000),
                (at + seed * 30_000 + 50_000, Blow::Outage, 0, 2_000_000),
                (at + seed * 30_000 + 1_900_000, Blow::Mute, 0, 9_000_000),
            ]
        };
        rounds(25_000_000, once)
    };
    caught(
        Without {
            memory: true,
            ..Default::default()
        },
        KeyPlan::new,
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
            let crashes = (1..3).map(|node| (at + 3_000_000, Blow::Crash, node, 2_000_000));
            let rest = [
                (at, Blow::Dumb, 0, told - at),
                (at + 100_000, Blow::Shares, 1, 0),
                (at + 8_500_000, Blow::Shares, 1, 0),
            ];
            rest.into_iter().chain(crashes).collect()
        })
    };
    let plan = |seed| KeyPlan {
        nodes: 3,
        ..KeyPlan::new(seed)
    };
    caught(
        Without {
            through: true,
            ..Default::default()
        },
        plan,
        blows,
        "owner",
    );
}
