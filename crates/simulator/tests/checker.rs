//! Each invariant of the history checker detects a violation that the test planted for it, and a valid history violates no
//! invariant (design 9.5).

use simulator::checker::{Rules, check};
use simulator::history::Record;

const SECOND: u64 = 1_000_000;

fn run_began(run: &str, attempt_id: &str, at: u64, backend: &str) -> Record {
    Record::RunBegan {
        process: backend.bytes().map(u32::from).sum(),
        run: run.into(),
        attempt_id: attempt_id.into(),
        at,
        backend: backend.into(),
        incarnation: 1,
        service: "seat".into(),
        intended_service: "seat".into(),
        client: "desk".into(),
        path: "/take".into(),
        key: Some("k".into()),
    }
}

fn run_ended(run: &str, at: u64) -> Record {
    Record::RunEnded {
        run: run.into(),
        at,
    }
}

fn answer_received(
    attempt_id: &str,
    at: u64,
    execution_status: Option<&str>,
    error_kind: Option<&str>,
    complete: bool,
) -> Record {
    Record::AnswerReceived {
        attempt_id: attempt_id.into(),
        sent_at: at - 100,
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
        execution_status: execution_status.map(str::to_string),
        error_kind: error_kind.map(str::to_string),
        complete,
    }
}

fn valid_history() -> Vec<Record> {
    vec![
        run_began("r1", "desk/1", SECOND, "a"),
        run_ended("r1", SECOND + 100),
        answer_received("desk/1", SECOND + 200, None, None, true),
        answer_received(
            "desk/2",
            SECOND + 300,
            Some("not-run"),
            Some("overloaded"),
            false,
        ),
        run_began("r3", "desk/3", 2 * SECOND, "b"),
        run_ended("r3", 2 * SECOND + 100),
        answer_received("desk/3", 2 * SECOND + 200, None, None, true),
    ]
}

fn violated_invariants(records: Vec<Record>) -> Vec<String> {
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

fn violated_with(extra: Vec<Record>) -> Vec<String> {
    violated_invariants(valid_history().into_iter().chain(extra).collect())
}

#[test]
fn a_valid_history_violates_no_invariant() {
    assert_eq!(violated_invariants(valid_history()), Vec::<String>::new());
}

#[test]
fn each_planted_violation_is_found_under_its_own_name() {
    let late = 9 * SECOND;
    let assert_found = |extra: Vec<Record>, name: &str| {
        let found = violated_with(extra);
        assert!(
            found.iter().any(|invariant| invariant == name),
            "{name} was not found, but {found:?}"
        );
    };
    assert_found(
        vec![
            run_began("r4", "desk/1", late, "a"),
            run_ended("r4", late + 1),
        ],
        "nothing_runs_twice",
    );
    assert_found(
        vec![
            run_began("r4", "desk/2", late, "a"),
            run_ended("r4", late + 1),
        ],
        "not_run_did_not_run",
    );
    assert_found(
        vec![answer_received("desk/1", late, None, None, false)],
        "success_is_whole",
    );
    assert_found(
        vec![answer_received("desk/9", late, None, None, true)],
        "success_is_whole",
    );
    let invalid_run = |change: fn(&mut Record)| {
        let mut record = run_began("r4", "desk/4", late, "a");
        change(&mut record);
        vec![record]
    };
    let wrong_service = invalid_run(|record| {
        if let Record::RunBegan {
            intended_service, ..
        } = record
        {
            *intended_service = "other".into();
        }
    });
    assert_found(wrong_service, "routes_are_kept");
    let wrong_client = invalid_run(|record| {
        if let Record::RunBegan { client, .. } = record {
            *client = "vault".into();
        }
    });
    assert_found(wrong_client.clone(), "senders_are_told_truly");
    assert_found(wrong_client, "routes_are_kept");
    assert_found(
        vec![
            run_began("r4", "desk/4", SECOND + 50, "b"),
            run_ended("r4", SECOND + 150),
        ],
        "one_holder_a_key",
    );
    let mut same_name = run_began("r4", "desk/4", SECOND + 50, "a");
    if let Record::RunBegan { process, .. } = &mut same_name {
        *process = 77;
    }
    assert_found(
        vec![same_name, run_ended("r4", SECOND + 150)],
        "one_holder_a_key",
    );
    let leaving = Record::BackendLeaving {
        backend: "a".into(),
        at: 2 * SECOND,
    };
    assert_found(
        vec![leaving, run_began("r4", "desk/4", 5 * SECOND, "a")],
        "drained_gets_nothing_new",
    );
    let route_change = |allowed, accepted, at| Record::RouteChange {
        client: "desk".into(),
        service: "seat".into(),
        path: "/take".into(),
        allowed,
        accepted,
        at,
    };
    assert_found(
        vec![
            route_change(false, true, 3 * SECOND),
            run_began("r4", "desk/4", 6 * SECOND, "a"),
        ],
        "changes_are_in_force",
    );
    assert!(
        !violated_with(vec![
            route_change(false, true, 3 * SECOND),
            route_change(true, false, 4 * SECOND),
            run_began("r4", "desk/4", 6 * SECOND, "a"),
            run_ended("r4", 6 * SECOND + 1)
        ])
        .contains(&"changes_are_in_force".to_string())
    );
    assert_found(
        vec![answer_received(
            "desk/5",
            late,
            Some("not-run"),
            Some("not_fresh"),
            false,
        )],
        "service_is_back",
    );
    assert_found(
        vec![answer_received(
            "desk/1",
            late,
            Some("may-have-run"),
            Some("mate_lost"),
            false,
        )],
        "planned_ends_cut_nothing",
    );
}
