//! The history checker reports each planted violation of the invariants for operators and nodes under its own name
//! (design 9.5).

use simulator::checker::{Rules, check};
use simulator::history::Record;

const SECOND: u64 = 1_000_000;

fn grouping(name: &str, label: u64) -> serde_json::Value {
    let labels = serde_json::json!({ "turn": label.to_string() });
    serde_json::json!({ "put_grouping": { "name": name, "grouping": { "service": "seat", "zone": "z0", "labels": labels } } })
}

fn change(
    id: &str,
    at: u64,
    version: Option<u64>,
    rejected: bool,
    edits: Vec<serde_json::Value>,
) -> Record {
    let status = if rejected {
        422
    } else {
        version.map(|_| 200).unwrap_or(0)
    };
    Record::DesiredChange {
        id: id.into(),
        edits,
        sent_at: at - 100,
        at,
        status,
        version,
        position: version.map(|version| version * 10),
        rejected,
    }
}

fn state_read(sent_at: u64, version: u64, groupings: &[(&str, u64)]) -> Record {
    let groupings: serde_json::Map<String, serde_json::Value> = groupings
        .iter()
        .map(|(name, label)| {
            (
                name.to_string(),
                grouping(name, *label)["put_grouping"]["grouping"].clone(),
            )
        })
        .collect();
    Record::StateRead {
        sent_at,
        at: sent_at + 100,
        desired: serde_json::json!({ "version": version, "groupings": groupings, "orders": {} }),
    }
}

fn node_observed(node: &str, incarnation: u64, sent_at: u64, position: u64, fresh: bool) -> Record {
    Record::NodeObserved {
        node: node.into(),
        incarnation,
        sent_at,
        position,
        fresh,
    }
}

fn answer_received(
    target: &str,
    sent_at: u64,
    error_kind: Option<&str>,
    status: u16,
    has_retry_after: bool,
    duration: u64,
) -> Record {
    Record::AnswerReceived {
        attempt_id: format!("desk-0.1.desk/{sent_at}"),
        sent_at,
        at: sent_at + duration,
        wait_us: 3 * SECOND,
        repeated: false,
        client: "desk-0".into(),
        service: "desk".into(),
        target: target.into(),
        path: "/take".into(),
        key: None,
        status,
        execution_status: error_kind.map(|_| "not-run".to_string()),
        error_kind: error_kind.map(str::to_string),
        has_retry_after,
        complete: error_kind.is_none(),
    }
}

fn valid_history() -> Vec<Record> {
    vec![
        change("a", SECOND, Some(1), false, vec![grouping("one", 1)]),
        change("b", 2 * SECOND, None, true, vec![grouping("bad", 1)]),
        // The answer to this change was lost, but the change took effect.
        change("c", 3 * SECOND, None, false, vec![grouping("two", 1)]),
        change("d", 4 * SECOND, Some(3), false, vec![grouping("one", 2)]),
        state_read(5 * SECOND, 3, &[("one", 2), ("two", 1)]),
        node_observed("n0", 1, 2 * SECOND, 10, true),
        node_observed("n0", 2, 3 * SECOND, 0, false),
        node_observed("n0", 2, 4 * SECOND, 10, true),
        node_observed("n0", 2, 8 * SECOND, 30, true),
        answer_received("seat", 5 * SECOND, Some("overloaded"), 429, true, 1_000),
    ]
}

fn violated_invariants(extra: Vec<Record>, allowance: usize) -> Vec<String> {
    let records: Vec<Record> = valid_history().into_iter().chain(extra).collect();
    let rules = Rules {
        idempotent_paths: &[],
        allowed: &[("desk", "seat")],
        planned_stops_only: false,
        retry_allowance: allowance,
        must_observe: &["a moved key"],
    };
    let report = check(&records, &rules);
    assert_eq!(report.not_observed, ["a moved key"], "no key moved here");
    report
        .invariants
        .into_iter()
        .filter(|(name, found)| name != "service_is_back" && !found.is_empty())
        .map(|(name, _)| name)
        .collect()
}

#[test]
fn a_valid_history_violates_no_invariant() {
    assert_eq!(violated_invariants(vec![], 0), Vec::<String>::new());
}

#[test]
fn each_planted_violation_is_found() {
    let assert_found = |extra: Vec<Record>, name: &str| {
        let found = violated_invariants(extra, 0);
        assert!(
            found.iter().any(|invariant| invariant == name),
            "{name} was not found, but {found:?}"
        );
    };
    assert_found(
        vec![state_read(
            6 * SECOND,
            3,
            &[("one", 2), ("two", 1), ("bad", 1)],
        )],
        "what_is_read_back_was_accepted",
    );
    assert_found(
        vec![state_read(6 * SECOND, 3, &[("one", 2)])],
        "what_is_read_back_was_accepted",
    );
    assert_found(
        vec![change(
            "e",
            6 * SECOND,
            Some(3),
            false,
            vec![grouping("three", 1)],
        )],
        "what_is_read_back_was_accepted",
    );
    assert_found(
        vec![state_read(6 * SECOND, 1, &[("one", 1)])],
        "accepted_changes_stay",
    );
    assert_found(
        vec![node_observed("n0", 2, 9 * SECOND, 20, false)],
        "no_version_slides_back",
    );
    assert_found(
        vec![node_observed("n0", 3, 9 * SECOND, 20, true)],
        "no_version_slides_back",
    );
    assert_found(
        vec![node_observed("n1", 1, 7 * SECOND, 20, true)],
        "every_change_is_in_force_everywhere",
    );
    assert_found(
        vec![answer_received(
            "seat",
            6 * SECOND,
            Some("no_back_end"),
            503,
            false,
            1_000,
        )],
        "refusals_say_when_to_come_back",
    );
    assert_found(
        vec![answer_received(
            "seat",
            6 * SECOND,
            Some("no_back_end"),
            503,
            true,
            2_900_000,
        )],
        "given_up_means_answered_at_once",
    );
    assert_found(
        vec![Record::Misrouted {
            backend: "b".into(),
            intended_service: "seat".into(),
            at: SECOND,
        }],
        "addresses_change_hands_safely",
    );
}

#[test]
fn retries_are_checked_in_every_ten_seconds_over_the_fleet() {
    let requests = |from: u64| {
        (0..10u64)
            .map(move |step| answer_received("seat", from + step * 1_000, None, 200, false, 100))
    };
    let retry = |node: &str, at: u64| Record::AttemptRepeated {
        node: node.into(),
        service: "seat".into(),
        at,
    };
    let within_budget = requests(21 * SECOND)
        .chain([retry("n0", 21 * SECOND), retry("n1", 22 * SECOND)])
        .collect();
    assert!(
        !violated_invariants(within_budget, 1).contains(&"extras_keep_to_their_budget".to_string())
    );
    // The requests were sent long before, so the window of the retries contains none.
    let over_budget = requests(20 * SECOND)
        .chain([retry("n0", 40 * SECOND), retry("n1", 41 * SECOND)])
        .collect();
    assert!(
        violated_invariants(over_budget, 1).contains(&"extras_keep_to_their_budget".to_string())
    );
}

#[test]
fn starved_keys_and_a_service_that_does_not_recover_are_found() {
    let with_key = |at: u64, is_served: bool| match answer_received(
        "seat",
        at,
        (!is_served).then_some("key_crowded"),
        429,
        true,
        100,
    ) {
        Record::AnswerReceived {
            attempt_id,
            sent_at,
            at,
            wait_us,
            repeated,
            client,
            service,
            target,
            path,
            status,
            execution_status,
            error_kind,
            has_retry_after,
            complete,
            ..
        } => Record::AnswerReceived {
            key: Some("cool".into()),
            attempt_id,
            sent_at,
            at,
            wait_us,
            repeated,
            client,
            service,
            target,
            path,
            status,
            execution_status,
            error_kind,
            has_retry_after,
            complete,
        },
        other => other,
    };
    let hot_key_history = vec![
        with_key(10 * SECOND, true),
        Record::HotKeyStarted { at: 11 * SECOND },
        with_key(12 * SECOND, false),
    ];
    assert!(
        violated_invariants(hot_key_history, 0)
            .contains(&"others_are_served_beside_a_hot_key".to_string())
    );
    let records = [
        Record::FaultHealed { at: 10 * SECOND },
        with_key(11 * SECOND, false),
        with_key(26 * SECOND, false),
    ];
    let rules = Rules {
        idempotent_paths: &[],
        allowed: &[],
        planned_stops_only: false,
        retry_allowance: 0,
        must_observe: &[],
    };
    let report = check(&records, &rules);
    assert!(!report.invariants["service_is_back"].is_empty());
}
