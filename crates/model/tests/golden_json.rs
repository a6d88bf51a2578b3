//! Compares the JSON of the model's types with golden files (`tests/golden/`): what operators
//! write, including the defaults of omitted fields, and the responses. The head of
//! `crates/test-support/tests/golden_files/mod.rs` describes how to rewrite the files with
//! `GRADEFORD_WRITE_GOLDEN=1`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use golden_files::compare;
use model::cluster_state::{
    BackendRecord, Item, ItemBody, ItemCall, ItemKind, Limits, NodeRecord, Route, Service,
    ShardRange,
};
use model::leases::Lease;
use model::validation::Fault;
use model::{
    Backend, BackendPhase, Change, DesiredState, Edit, EndpointStatus, Entry, Error, ErrorKind,
    ExecutionStatus, Grouping, Node, Operation, Outcome, ReplicaReplacement, Selector,
    StandingOrder, StateMachine, StateSlice, VersionConflict,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Formats one line: a label and the JSON of a value.
fn line<T: Serialize>(label: &str, value: &T) -> String {
    format!("{label}: {}\n", serde_json::to_string(value).expect("JSON"))
}

/// Returns the input and its JSON after parsing, after checking that this JSON parses to the same
/// value.
fn round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str) -> String {
    match serde_json::from_str::<T>(text) {
        Ok(value) => {
            let written = serde_json::to_string(&value).expect("JSON");
            assert_eq!(
                serde_json::from_str::<T>(&written).expect("the written JSON parses"),
                value
            );
            format!("{text}\n  {written}\n")
        }
        Err(error) => format!("{text}\n  refused: {error}\n"),
    }
}

#[test]
fn omitted_fields_keep_their_defaults() {
    let order = r#"{"selector":{"from":["a"],"service":"b"},"wait_us":5}"#;
    let all = [
        round_trip::<Grouping>(r#"{"service":"a","zone":"z"}"#),
        round_trip::<Grouping>(r#"{"service":"a","zone":"z","labels":{"k":"v"},"more":1}"#),
        round_trip::<Grouping>(r#"{"service":"a"}"#),
        round_trip::<Grouping>(r#"{"zone":"z"}"#),
        round_trip::<Selector>(r#"{"from":["a"],"service":"b"}"#),
        round_trip::<Selector>(
            r#"{"from":["a"],"service":"b","methods":["GET"],"path_prefix":"/x","labels":{"k":"v"}}"#,
        ),
        round_trip::<Selector>(r#"{"from":["a"]}"#),
        round_trip::<Selector>(r#"{"service":"b"}"#),
        round_trip::<Selector>(r#"{"from":["a"],"service":"b","more":1}"#),
        round_trip::<StandingOrder>(order),
        round_trip::<StandingOrder>(
            r#"{"selector":{"from":[],"service":"b"},"wait_us":5,"importance":1,"repeatable":true,"keyed":true,"leave_zone":false}"#,
        ),
        round_trip::<StandingOrder>(r#"{"selector":{"from":[],"service":"b"}}"#),
        round_trip::<StandingOrder>(r#"{"wait_us":5}"#),
        round_trip::<StandingOrder>(
            r#"{"selector":{"from":[],"service":"b"},"wait_us":5,"more":1}"#,
        ),
        round_trip::<Edit>(
            r#"{"put_grouping":{"name":"n","grouping":{"service":"a","zone":"z"}}}"#,
        ),
        round_trip::<Edit>(r#"{"drop_grouping":{"name":"n"}}"#),
        round_trip::<Edit>(&format!(
            r#"{{"put_order":{{"name":"n","order":{order}}}}}"#
        )),
        round_trip::<Edit>(r#"{"drop_order":{"name":"n"}}"#),
        round_trip::<Edit>(r#"{"drop_order":{"name":"n","more":1}}"#),
        round_trip::<Edit>(r#"{"other":{}}"#),
        round_trip::<Change>(r#"{"id":"i","base":1,"edits":[{"drop_order":{"name":"n"}}]}"#),
        round_trip::<Change>(r#"{"base":1,"edits":[]}"#),
        round_trip::<Change>(r#"{"id":"i","edits":[]}"#),
        round_trip::<Change>(r#"{"id":"i","base":1}"#),
        round_trip::<Change>(r#"{"id":"i","base":1,"edits":[],"more":1}"#),
        round_trip::<ReplicaReplacement>(r#"{"seat":1,"from":2,"to":3}"#),
        round_trip::<ReplicaReplacement>(r#"{"seat":1,"from":2,"to":3,"more":1}"#),
        round_trip::<DesiredState>(r#"{"version":1,"groupings":{},"orders":{}}"#),
    ];
    compare("written.txt", &all.concat(), &[]);
}

#[test]
fn item_calls_keep_their_fields_and_defaults() {
    let all = [
        round_trip::<Route>(
            r#"{"host":"h","prefix":"/","repeatable":true,"wait_us":1,"dispatches":1,"shares":[["s",1]]}"#,
        ),
        round_trip::<Route>(
            r#"{"host":"h","prefix":"/","repeatable":true,"wait_us":1,"aim_us":2,"rank":3,"dispatches":1,"shares":[],"more":1}"#,
        ),
        round_trip::<Route>("{}"),
        round_trip::<Service>("{}"),
        round_trip::<Service>(r#"{"health_path":"/h","conns":1,"keyed":true,"warm_us":2}"#),
        round_trip::<Service>(r#"{"more":1}"#),
        round_trip::<Limits>(r#"{"header_bytes":1,"body_bytes":2,"header_wait_us":3,"idle_us":4}"#),
        round_trip::<Limits>(r#"{"more":1}"#),
        round_trip::<ItemBody>(r#"{"service":{}}"#),
        round_trip::<ItemBody>(
            r#"{"limits":{"header_bytes":1,"body_bytes":2,"header_wait_us":3,"idle_us":4}}"#,
        ),
        round_trip::<ItemBody>(
            r#"{"lane":{"host":"h","prefix":"/","repeatable":true,"wait_us":1,"dispatches":1,"shares":[]}}"#,
        ),
        round_trip::<ItemBody>(r#"{"other":{}}"#),
        round_trip::<Item>(r#"{"version":1,"body":null,"text":""}"#),
        round_trip::<ItemCall>("{}"),
        round_trip::<ItemCall>(
            r#"{"puts":[{"name":"n","version":1,"body":{"service":{}}}],"drops":[["lane","n",2],["service","n",3],["limits","",4]]}"#,
        ),
        round_trip::<ItemCall>(
            r#"{"puts":[{"name":"n","version":1,"body":{"service":{}},"text":"t","more":1}]}"#,
        ),
        round_trip::<ItemCall>(r#"{"more":1}"#),
        line(
            "kinds",
            &[ItemKind::Route, ItemKind::Service, ItemKind::Limits],
        ),
    ];
    compare("items.txt", &all.concat(), &[]);
}

fn backend() -> Backend {
    let labels = [("k".to_string(), "v".to_string())].into();
    Backend {
        service: "s".into(),
        zone: "z".into(),
        labels,
        slots: 1,
        node: "n".into(),
        incarnation: 2,
        phase: BackendPhase::Registered,
        changed_at: 3,
    }
}

fn node() -> Node {
    Node {
        zone: "z".into(),
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        present: true,
        suspected_by: ["r".to_string()].into(),
        changed_at: 2,
    }
}

#[test]
fn outcomes_keep_their_json() {
    let fault = Fault {
        path: "p".into(),
        message: "f".into(),
    };
    let conflict = VersionConflict {
        kind: ItemKind::Route,
        name: "n".into(),
        sent_version: 1,
        current_version: 2,
    };
    let all = [
        line(
            "accepted",
            &Outcome::Accepted {
                position: 1,
                version: 2,
            },
        ),
        line("unchanged", &Outcome::Unchanged { position: 1 }),
        line("stale", &Outcome::Stale { version: 1 }),
        line(
            "invalid",
            &Outcome::Invalid {
                faults: vec![fault],
            },
        ),
        line("reused", &Outcome::Reused { version: 1 }),
        line("refused", &Outcome::Refused { reason: "r".into() }),
        line("superseded", &Outcome::Superseded { position: 1 }),
        line(
            "conflict",
            &Outcome::Conflict {
                conflicts: vec![conflict],
            },
        ),
    ];
    compare("outcomes.txt", &all.concat(), &[]);
}

#[test]
fn endpoint_status_and_leases_keep_their_json() {
    let backend_record = BackendRecord {
        service: "s".into(),
        zone: "z".into(),
        node: "n".into(),
        slots: 1,
        phase: BackendPhase::Draining,
        changed_at: 2,
    };
    let node_record = NodeRecord {
        zone: "z".into(),
        address: "a".into(),
        incarnation: 1,
        present: true,
        suspected_by: ["m".to_string()].into(),
        changed_at: 2,
    };
    let shard_range = ShardRange {
        first_key: Default::default(),
        last_key: Default::default(),
        holder: Some("h".into()),
        fencing_token: 1,
        pending_releases: vec![("o".into(), 2)],
        handover_token: "t".into(),
    };
    let lease = Lease {
        holder: Some(("h".into(), 1)),
        fencing_token: 2,
        pending_releases: vec![(("o".into(), 3), 4)],
    };
    let endpoint_status = EndpointStatus {
        backends: [("b".to_string(), backend())].into(),
        nodes: [("n".to_string(), node())].into(),
    };
    let slice = StateSlice {
        services: ["s".to_string()].into(),
        position: 1,
        version: 2,
        backends: endpoint_status.backends.clone(),
        nodes: endpoint_status.nodes.clone(),
        leases: [("s".to_string(), vec![lease.clone()])].into(),
        longest_requests: [("s".to_string(), 3)].into(),
        ..Default::default()
    };
    let mut state_machine = StateMachine::default();
    let grouping = Grouping {
        service: "s".into(),
        zone: "z".into(),
        labels: Default::default(),
    };
    let change = Change {
        id: "c".into(),
        base_version: 0,
        edits: vec![Edit::PutGrouping {
            name: "g".into(),
            grouping,
        }],
    };
    state_machine.apply(Entry {
        origin: "o".into(),
        incarnation: 1,
        sequence: 1,
        operation: Operation::Change(change),
    });
    let phases = [
        BackendPhase::Registered,
        BackendPhase::Draining,
        BackendPhase::Deregistered,
        BackendPhase::PresumedGone,
    ];
    let all = [
        line("phases", &phases),
        line("standing", &endpoint_status),
        line("term", &lease),
        line("slice of a node", &slice),
        line("book of a core", &state_machine),
        line("back end of a site", &backend_record),
        line("node of a site", &node_record),
        line("row of keys", &shard_range),
    ];
    compare("standing.txt", &all.concat(), &[]);
}

#[test]
fn every_error_keeps_its_code_status_and_text() {
    let errors = ErrorKind::ALL.iter().map(|kind| {
        let error = Error::new(*kind, "in words");
        format!(
            "{} {} {}\n  {error}\n  {}",
            kind.code(),
            kind.http_status(),
            kind.may_retry_later(),
            line("trouble", &error)
        )
    });
    let execution_statuses = line(
        "verdicts",
        &[ExecutionStatus::NotRun, ExecutionStatus::MayHaveRun],
    );
    compare(
        "troubles.txt",
        &format!("{execution_statuses}{}", errors.collect::<String>()),
        &[],
    );
}
