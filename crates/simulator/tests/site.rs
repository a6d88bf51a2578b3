//! A whole site in virtual time under drawn faults, and variants that each lack one guard (design 9.8).

use simulator::sim::trial::play;
use simulator::sim::{DisabledGuards, SitePlan};

#[test]
fn a_quiet_site_serves_and_breaks_nothing() {
    let (broken, site) = play(SitePlan::new(1), &[]);
    assert_eq!(broken, Vec::<String>::new());
    assert!(site.checks.served > 500, "{} served", site.checks.served);
}

#[test]
fn drawn_faults_break_no_promise() {
    test_support::check_generated::<(u64, [u8; 24])>(100, |(seed, bytes)| {
        let (broken, site) = play(SitePlan::new(*seed), bytes);
        assert!(
            broken.is_empty(),
            "seed {seed} {bytes:?}: {:#?}",
            broken.iter().take(8).collect::<Vec<_>>()
        );
        assert!(site.checks.served > 0 && site.checks.runs > 0);
    });
}

/// Seeds and blows alike: held with every guard, and without one the promise is seen broken.
fn caught(without: DisabledGuards, blows: [u8; 6], promises: &[&str]) {
    let breaks = |seed: u64| {
        let bytes: Vec<u8> = (0..6u8)
            .flat_map(|turn| [blows[turn as usize], turn.wrapping_mul(seed as u8 + 1), 200])
            .collect();
        let whole = play(SitePlan::new(seed), &bytes).0;
        assert_eq!(
            whole,
            Vec::<String>::new(),
            "seed {seed}: it holds with its guards"
        );
        let found = play(
            SitePlan {
                disabled: without,
                ..SitePlan::new(seed)
            },
            &bytes,
        )
        .0;
        found
            .iter()
            .filter_map(|told| told.split(':').next())
            .any(|name| promises.contains(&name))
    };
    assert!(
        (0..30u64).any(breaks),
        "{without:?}: {promises:?} was not seen broken"
    );
}

const FREEZE: u8 = 0;
const CUT: u8 = 1;
const RESTART: u8 = 3;
const STOP: u8 = 4;
const KILL: u8 = 5;
const SILENCE: u8 = 6;
const DRAIN: u8 = 7;
const USURP: u8 = 8;
const POWER: u8 = 14;
const LANE: u8 = 15;

#[test]
fn tries_not_taken_once_run_twice() {
    caught(
        DisabledGuards {
            attempt_identity: true,
            ..Default::default()
        },
        [RESTART, KILL, RESTART, CUT, RESTART, KILL],
        &["twice"],
    );
}

#[test]
fn a_lost_mate_taken_for_not_run_is_caught() {
    caught(
        DisabledGuards {
            honest_verdicts: true,
            ..Default::default()
        },
        [RESTART, KILL, RESTART, RESTART, RESTART, KILL],
        &["not-run"],
    );
}

#[test]
fn free_extra_dispatches_are_caught() {
    caught(
        DisabledGuards {
            budget: true,
            ..Default::default()
        },
        [KILL, RESTART, KILL, STOP, KILL, RESTART],
        &["extras"],
    );
}

#[test]
fn holders_that_do_not_wait_are_caught() {
    caught(
        DisabledGuards {
            key_waits: true,
            ..Default::default()
        },
        [RESTART, CUT, RESTART, SILENCE, CUT, RESTART],
        &["two-holders"],
    );
}

#[test]
fn proofs_trusted_too_long_are_caught() {
    caught(
        DisabledGuards {
            freshness: true,
            ..Default::default()
        },
        [CUT, LANE, CUT, CUT, LANE, CUT],
        &["in-force"],
    );
}

#[test]
fn older_news_taken_up_is_caught() {
    caught(
        DisabledGuards {
            news_order: true,
            ..Default::default()
        },
        [CUT, FREEZE, CUT, FREEZE, CUT, FREEZE],
        &["slid-back"],
    );
}

#[test]
fn answers_before_the_log_has_the_change_are_caught() {
    caught(
        DisabledGuards {
            commit: true,
            ..Default::default()
        },
        [POWER, LANE, POWER, LANE, POWER, LANE],
        &["vanished"],
    );
}

#[test]
fn stops_without_patience_are_caught() {
    caught(
        DisabledGuards {
            patience: true,
            ..Default::default()
        },
        [STOP, STOP, STOP, STOP, STOP, STOP],
        &["cut-off"],
    );
}

#[test]
fn silent_back_ends_taken_for_live_are_caught_when_their_address_is_reused() {
    caught(
        DisabledGuards {
            heartbeats: true,
            ..Default::default()
        },
        [USURP, KILL, USURP, USURP, KILL, USURP],
        &["route"],
    );
}

#[test]
fn drains_not_heard_are_caught() {
    caught(
        DisabledGuards {
            drains: true,
            ..Default::default()
        },
        [DRAIN, DRAIN, DRAIN, DRAIN, DRAIN, DRAIN],
        &["drained"],
    );
}

#[test]
fn disks_that_lie_about_syncs_are_caught() {
    caught(
        DisabledGuards {
            syncs: true,
            ..Default::default()
        },
        [POWER, POWER, POWER, POWER, POWER, POWER],
        &["log", "vanished"],
    );
}
