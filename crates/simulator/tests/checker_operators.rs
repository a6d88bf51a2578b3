//! What operators and nodes are promised: each planted violation is found under its own name (design 9.5).

use simulator::checker::{Rules, check};
use simulator::history::Record;

const SECOND: u64 = 1_000_000;

fn grouping(name: &str, turn: u64) -> serde_json::Value {
    let labels = serde_json::json!({ "turn": turn.to_string() });
    serde_json::json!({ "put_grouping": { "name": name, "grouping": { "service": "seat", "zone": "z0", "labels": labels } } })
}

fn change(
    id: &str,
    at: u64,
    version: Option<u64>,
    refused: bool,
    edits: Vec<serde_json::Value>,
) -> Record {
    let status = if refused {
        422
    } else {
        version.map(|_| 200).unwrap_or(0)
    };
    Record::DesiredChange {
        id: id.into(),
        edits,
        asked: at - 100,
        at,
        status,
        version,
        position: version.map(|version| version * 10),
        refused,
    }
}

fn read_back(asked: u64, version: u64, held: &[(&str, u64)]) -> Record {
    let groupings: serde_json::Map<String, serde_json::Value> = held
        .iter()
        .map(|(name, turn)| {
            (
                name.to_string(),
                grouping(name, *turn)["put_grouping"]["grouping"].clone(),
            )
        })
        .collect();
    Record::StateRead {
        asked,
        at: asked + 100,
        desired: serde_json::json!({ "version": version, "groupings": groupings, "orders": {} }),
    }
}

fn seen(node: &str, life: u64, asked: u64, position: u64, fresh: bool) -> Record {
    Record::NodeObserved {
        node: node.into(),
        incarnation: life,
        asked,
        position,
        fresh,
    }
}

fn told(
    target: &str,
    asked: u64,
    cause: Option<&str>,
    status: u16,
    come_back: bool,
    took: u64,
) -> Record {
    Record::ClientAnswered {
        attempt_id: format!("desk-0.1.desk/{asked}"),
        asked,
        at: asked + took,
        wait_us: 3 * SECOND,
        repeated: false,
        client: "desk-0".into(),
        service: "desk".into(),
        target: target.into(),
        path: "/take".into(),
        key: None,
        status,
        execution_status: cause.map(|_| "not-run".to_string()),
        error_kind: cause.map(str::to_string),
        has_retry_after: come_back,
        complete: cause.is_none(),
    }
}

fn clean() -> Vec<Record> {
    vec![
        change("a", SECOND, Some(1), false, vec![grouping("one", 1)]),
        change("b", 2 * SECOND, None, true, vec![grouping("bad", 1)]),
        // Its answer was lost, and it did take effect.
        change("c", 3 * SECOND, None, false, vec![grouping("two", 1)]),
        change("d", 4 * SECOND, Some(3), false, vec![grouping("one", 2)]),
        read_back(5 * SECOND, 3, &[("one", 2), ("two", 1)]),
        seen("n0", 1, 2 * SECOND, 10, true),
        seen("n0", 2, 3 * SECOND, 0, false),
        seen("n0", 2, 4 * SECOND, 10, true),
        seen("n0", 2, 8 * SECOND, 30, true),
        told("seat", 5 * SECOND, Some("overloaded"), 429, true, 1_000),
    ]
}

fn broken(extra: Vec<Record>, allowance: usize) -> Vec<String> {
    let records: Vec<Record> = clean().into_iter().chain(extra).collect();
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
fn a_clean_story_breaks_nothing() {
    assert_eq!(broken(vec![], 0), Vec::<String>::new());
}

#[test]
fn each_planted_violation_is_found() {
    let seen_in = |extra: Vec<Record>, name: &str| {
        let found = broken(extra, 0);
        assert!(
            found.iter().any(|held| held == name),
            "{name} was not found, but {found:?}"
        );
    };
    seen_in(
        vec![read_back(
            6 * SECOND,
            3,
            &[("one", 2), ("two", 1), ("bad", 1)],
        )],
        "what_is_read_back_was_accepted",
    );
    seen_in(
        vec![read_back(6 * SECOND, 3, &[("one", 2)])],
        "what_is_read_back_was_accepted",
    );
    seen_in(
        vec![change(
            "e",
            6 * SECOND,
            Some(3),
            false,
            vec![grouping("three", 1)],
        )],
        "what_is_read_back_was_accepted",
    );
    seen_in(
        vec![read_back(6 * SECOND, 1, &[("one", 1)])],
        "accepted_changes_stay",
    );
    seen_in(
        vec![seen("n0", 2, 9 * SECOND, 20, false)],
        "no_version_slides_back",
    );
    seen_in(
        vec![seen("n0", 3, 9 * SECOND, 20, true)],
        "no_version_slides_back",
    );
    seen_in(
        vec![seen("n1", 1, 7 * SECOND, 20, true)],
        "every_change_is_in_force_everywhere",
    );
    seen_in(
        vec![told(
            "seat",
            6 * SECOND,
            Some("no_back_end"),
            503,
            false,
            1_000,
        )],
        "refusals_say_when_to_come_back",
    );
    seen_in(
        vec![told(
            "seat",
            6 * SECOND,
            Some("no_back_end"),
            503,
            true,
            2_900_000,
        )],
        "given_up_means_answered_at_once",
    );
    seen_in(
        vec![Record::Misrouted {
            backend: "b".into(),
            intended_service: "seat".into(),
            at: SECOND,
        }],
        "addresses_change_hands_safely",
    );
}

#[test]
fn extras_are_judged_in_every_ten_seconds_over_the_fleet() {
    let asked = |from: u64| {
        (0..10u64).map(move |step| told("seat", from + step * 1_000, None, 200, false, 100))
    };
    let extra = |node: &str, at: u64| Record::AttemptRepeated {
        node: node.into(),
        service: "seat".into(),
        at,
    };
    let fine = asked(21 * SECOND)
        .chain([extra("n0", 21 * SECOND), extra("n1", 22 * SECOND)])
        .collect();
    assert!(!broken(fine, 1).contains(&"extras_keep_to_their_budget".to_string()));
    // Earned long before, spent in a window that holds no request.
    let saved = asked(20 * SECOND)
        .chain([extra("n0", 40 * SECOND), extra("n1", 41 * SECOND)])
        .collect();
    assert!(broken(saved, 1).contains(&"extras_keep_to_their_budget".to_string()));
}

#[test]
fn a_key_that_swamps_the_rest_and_a_service_that_stays_away_are_found() {
    let keyed = |at: u64, fine: bool| match told(
        "seat",
        at,
        (!fine).then_some("key_crowded"),
        429,
        true,
        100,
    ) {
        Record::ClientAnswered {
            attempt_id: try_id,
            asked,
            at,
            wait_us: wait,
            repeated: again,
            client: by,
            service,
            target,
            path,
            status,
            execution_status: verdict,
            error_kind: cause,
            has_retry_after: come_back,
            complete: whole,
            ..
        } => Record::ClientAnswered {
            key: Some("cool".into()),
            attempt_id: try_id,
            asked,
            at,
            wait_us: wait,
            repeated: again,
            client: by,
            service,
            target,
            path,
            status,
            execution_status: verdict,
            error_kind: cause,
            has_retry_after: come_back,
            complete: whole,
        },
        other => other,
    };
    let heated = vec![
        keyed(10 * SECOND, true),
        Record::HotKeyStarted { at: 11 * SECOND },
        keyed(12 * SECOND, false),
    ];
    assert!(broken(heated, 0).contains(&"others_are_served_beside_a_hot_key".to_string()));
    let records = [
        Record::FaultHealed { at: 10 * SECOND },
        keyed(11 * SECOND, false),
        keyed(26 * SECOND, false),
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
