//! Each invariant of the history checker finds the violation that was planted for it, and a clean history has none
//! (design 9.5).

use simulator::checker::{Rules, check};
use simulator::history::Record;

const SECOND: u64 = 1_000_000;

fn began(run: &str, try_id: &str, at: u64, by: &str) -> Record {
    Record::RunBegan {
        process: by.bytes().map(u32::from).sum(),
        run: run.into(),
        attempt_id: try_id.into(),
        at,
        backend: by.into(),
        incarnation: 1,
        service: "seat".into(),
        intended_service: "seat".into(),
        client: "desk".into(),
        path: "/take".into(),
        key: Some("k".into()),
    }
}

fn ended(run: &str, at: u64) -> Record {
    Record::RunEnded {
        run: run.into(),
        at,
    }
}

fn told(try_id: &str, at: u64, verdict: Option<&str>, cause: Option<&str>, whole: bool) -> Record {
    Record::ClientAnswered {
        attempt_id: try_id.into(),
        asked: at - 100,
        wait_us: 3 * SECOND,
        repeated: false,
        key: None,
        has_retry_after: true,
        at,
        client: "desk-0".into(),
        service: "desk".into(),
        target: "seat".into(),
        path: "/take".into(),
        status: 200,
        execution_status: verdict.map(str::to_string),
        error_kind: cause.map(str::to_string),
        complete: whole,
    }
}

fn clean() -> Vec<Record> {
    vec![
        began("r1", "desk/1", SECOND, "a"),
        ended("r1", SECOND + 100),
        told("desk/1", SECOND + 200, None, None, true),
        told(
            "desk/2",
            SECOND + 300,
            Some("not-run"),
            Some("overloaded"),
            false,
        ),
        began("r3", "desk/3", 2 * SECOND, "b"),
        ended("r3", 2 * SECOND + 100),
        told("desk/3", 2 * SECOND + 200, None, None, true),
    ]
}

fn broken(records: Vec<Record>) -> Vec<String> {
    let report = check(
        &records,
        &Rules {
            idempotent_paths: &["/check"],
            allowed: &[("desk", "seat")],
            planned_stops_only: true,
            retry_allowance: 2,
            must_observe: &[],
        },
    );
    report
        .invariants
        .into_iter()
        .filter(|(_, found)| !found.is_empty())
        .map(|(name, _)| name)
        .collect()
}

fn with(extra: Vec<Record>) -> Vec<String> {
    broken(clean().into_iter().chain(extra).collect())
}

#[test]
fn a_clean_history_breaks_nothing() {
    assert_eq!(broken(clean()), Vec::<String>::new());
}

#[test]
fn each_planted_violation_is_found_under_its_own_name() {
    let late = 9 * SECOND;
    let seen = |extra: Vec<Record>, name: &str| {
        let found = with(extra);
        assert!(
            found.iter().any(|held| held == name),
            "{name} was not found, but {found:?}"
        );
    };
    seen(
        vec![began("r4", "desk/1", late, "a"), ended("r4", late + 1)],
        "nothing_runs_twice",
    );
    seen(
        vec![began("r4", "desk/2", late, "a"), ended("r4", late + 1)],
        "not_run_did_not_run",
    );
    seen(
        vec![told("desk/1", late, None, None, false)],
        "success_is_whole",
    );
    seen(
        vec![told("desk/9", late, None, None, true)],
        "success_is_whole",
    );
    let stray = |change: fn(&mut Record)| {
        let mut record = began("r4", "desk/4", late, "a");
        change(&mut record);
        vec![record]
    };
    let misled = stray(|record| {
        if let Record::RunBegan {
            intended_service: meant_for,
            ..
        } = record
        {
            *meant_for = "other".into();
        }
    });
    seen(misled, "routes_are_kept");
    let false_name = stray(|record| {
        if let Record::RunBegan { client: sender, .. } = record {
            *sender = "vault".into();
        }
    });
    seen(false_name.clone(), "senders_are_told_truly");
    seen(false_name, "routes_are_kept");
    seen(
        vec![
            began("r4", "desk/4", SECOND + 50, "b"),
            ended("r4", SECOND + 150),
        ],
        "one_holder_a_key",
    );
    let mut namesake = began("r4", "desk/4", SECOND + 50, "a");
    if let Record::RunBegan { process, .. } = &mut namesake {
        *process = 77;
    }
    seen(
        vec![namesake, ended("r4", SECOND + 150)],
        "one_holder_a_key",
    );
    let leaving = Record::BackendLeaving {
        backend: "a".into(),
        at: 2 * SECOND,
    };
    seen(
        vec![leaving, began("r4", "desk/4", 5 * SECOND, "a")],
        "drained_gets_nothing_new",
    );
    let lane = |allowed, accepted, at| Record::RouteChange {
        client: "desk".into(),
        service: "seat".into(),
        path: "/take".into(),
        allowed,
        accepted,
        at,
    };
    seen(
        vec![
            lane(false, true, 3 * SECOND),
            began("r4", "desk/4", 6 * SECOND, "a"),
        ],
        "changes_are_in_force",
    );
    assert!(
        !with(vec![
            lane(false, true, 3 * SECOND),
            lane(true, false, 4 * SECOND),
            began("r4", "desk/4", 6 * SECOND, "a"),
            ended("r4", 6 * SECOND + 1)
        ])
        .contains(&"changes_are_in_force".to_string())
    );
    seen(
        vec![told(
            "desk/5",
            late,
            Some("not-run"),
            Some("not_fresh"),
            false,
        )],
        "service_is_back",
    );
    seen(
        vec![told(
            "desk/1",
            late,
            Some("may-have-run"),
            Some("mate_lost"),
            false,
        )],
        "planned_ends_cut_nothing",
    );
}
