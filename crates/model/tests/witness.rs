//! The JSON of the model's types as golden files (`tests/golden/`): what operators write, with the defaults of what they
//! leave out, and what they are told. How the files are written anew stands at the head of
//! `crates/test-support/tests/golden_files/mod.rs`: `GRADEFORD_WRITE_GOLDEN=1`.

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

/// One line: what it is, and its JSON.
fn line<T: Serialize>(what: &str, value: &T) -> String {
    format!("{what}: {}\n", serde_json::to_string(value).expect("JSON"))
}

/// What was written, what it means, and that the meaning is read again as the same.
fn read<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str) -> String {
    match serde_json::from_str::<T>(text) {
        Ok(value) => {
            let told = serde_json::to_string(&value).expect("JSON");
            assert_eq!(
                serde_json::from_str::<T>(&told).expect("it reads what it writes"),
                value
            );
            format!("{text}\n  {told}\n")
        }
        Err(error) => format!("{text}\n  refused: {error}\n"),
    }
}

#[test]
fn what_operators_leave_out_keeps_its_default() {
    let order = r#"{"selector":{"from":["a"],"service":"b"},"wait_us":5}"#;
    let all = [
        read::<Grouping>(r#"{"service":"a","zone":"z"}"#),
        read::<Grouping>(r#"{"service":"a","zone":"z","labels":{"k":"v"},"more":1}"#),
        read::<Grouping>(r#"{"service":"a"}"#),
        read::<Grouping>(r#"{"zone":"z"}"#),
        read::<Selector>(r#"{"from":["a"],"service":"b"}"#),
        read::<Selector>(
            r#"{"from":["a"],"service":"b","methods":["GET"],"path_prefix":"/x","labels":{"k":"v"}}"#,
        ),
        read::<Selector>(r#"{"from":["a"]}"#),
        read::<Selector>(r#"{"service":"b"}"#),
        read::<Selector>(r#"{"from":["a"],"service":"b","more":1}"#),
        read::<StandingOrder>(order),
        read::<StandingOrder>(
            r#"{"selector":{"from":[],"service":"b"},"wait_us":5,"importance":1,"repeatable":true,"keyed":true,"leave_zone":false}"#,
        ),
        read::<StandingOrder>(r#"{"selector":{"from":[],"service":"b"}}"#),
        read::<StandingOrder>(r#"{"wait_us":5}"#),
        read::<StandingOrder>(r#"{"selector":{"from":[],"service":"b"},"wait_us":5,"more":1}"#),
        read::<Edit>(r#"{"put_grouping":{"name":"n","grouping":{"service":"a","zone":"z"}}}"#),
        read::<Edit>(r#"{"drop_grouping":{"name":"n"}}"#),
        read::<Edit>(&format!(
            r#"{{"put_order":{{"name":"n","order":{order}}}}}"#
        )),
        read::<Edit>(r#"{"drop_order":{"name":"n"}}"#),
        read::<Edit>(r#"{"drop_order":{"name":"n","more":1}}"#),
        read::<Edit>(r#"{"other":{}}"#),
        read::<Change>(r#"{"id":"i","base":1,"edits":[{"drop_order":{"name":"n"}}]}"#),
        read::<Change>(r#"{"base":1,"edits":[]}"#),
        read::<Change>(r#"{"id":"i","edits":[]}"#),
        read::<Change>(r#"{"id":"i","base":1}"#),
        read::<Change>(r#"{"id":"i","base":1,"edits":[],"more":1}"#),
        read::<ReplicaReplacement>(r#"{"seat":1,"from":2,"to":3}"#),
        read::<ReplicaReplacement>(r#"{"seat":1,"from":2,"to":3,"more":1}"#),
        read::<DesiredState>(r#"{"version":1,"groupings":{},"orders":{}}"#),
    ];
    compare("written.txt", &all.concat(), &[]);
}

#[test]
fn the_items_of_a_call_keep_their_fields_and_defaults() {
    let all = [
        read::<Route>(
            r#"{"host":"h","prefix":"/","repeatable":true,"wait_us":1,"dispatches":1,"shares":[["s",1]]}"#,
        ),
        read::<Route>(
            r#"{"host":"h","prefix":"/","repeatable":true,"wait_us":1,"aim_us":2,"rank":3,"dispatches":1,"shares":[],"more":1}"#,
        ),
        read::<Route>("{}"),
        read::<Service>("{}"),
        read::<Service>(r#"{"health_path":"/h","conns":1,"keyed":true,"warm_us":2}"#),
        read::<Service>(r#"{"more":1}"#),
        read::<Limits>(r#"{"header_bytes":1,"body_bytes":2,"header_wait_us":3,"idle_us":4}"#),
        read::<Limits>(r#"{"more":1}"#),
        read::<ItemBody>(r#"{"service":{}}"#),
        read::<ItemBody>(
            r#"{"limits":{"header_bytes":1,"body_bytes":2,"header_wait_us":3,"idle_us":4}}"#,
        ),
        read::<ItemBody>(
            r#"{"lane":{"host":"h","prefix":"/","repeatable":true,"wait_us":1,"dispatches":1,"shares":[]}}"#,
        ),
        read::<ItemBody>(r#"{"other":{}}"#),
        read::<Item>(r#"{"version":1,"body":null,"text":""}"#),
        read::<ItemCall>("{}"),
        read::<ItemCall>(
            r#"{"puts":[{"name":"n","version":1,"body":{"service":{}}}],"drops":[["lane","n",2],["service","n",3],["limits","",4]]}"#,
        ),
        read::<ItemCall>(
            r#"{"puts":[{"name":"n","version":1,"body":{"service":{}},"text":"t","more":1}]}"#,
        ),
        read::<ItemCall>(r#"{"more":1}"#),
        line(
            "kinds",
            &[ItemKind::Route, ItemKind::Service, ItemKind::Limits],
        ),
    ];
    compare("items.txt", &all.concat(), &[]);
}

fn back_end() -> Backend {
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
fn what_a_change_came_to_keeps_its_words() {
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
fn what_stands_keeps_its_fields() {
    let player = BackendRecord {
        service: "s".into(),
        zone: "z".into(),
        node: "n".into(),
        slots: 1,
        phase: BackendPhase::Draining,
        changed_at: 2,
    };
    let place = NodeRecord {
        zone: "z".into(),
        address: "a".into(),
        incarnation: 1,
        present: true,
        suspected_by: ["m".to_string()].into(),
        changed_at: 2,
    };
    let row = ShardRange {
        first_key: Default::default(),
        last_key: Default::default(),
        holder: Some("h".into()),
        fencing_token: 1,
        pending_releases: vec![("o".into(), 2)],
        handover_token: "t".into(),
    };
    let term = Lease {
        holder: Some(("h".into(), 1)),
        fencing_token: 2,
        pending_releases: vec![(("o".into(), 3), 4)],
    };
    let standing = EndpointStatus {
        backends: [("b".to_string(), back_end())].into(),
        nodes: [("n".to_string(), node())].into(),
    };
    let slice = StateSlice {
        services: ["s".to_string()].into(),
        position: 1,
        version: 2,
        backends: standing.backends.clone(),
        nodes: standing.nodes.clone(),
        leases: [("s".to_string(), vec![term.clone()])].into(),
        longest_requests: [("s".to_string(), 3)].into(),
        ..Default::default()
    };
    let mut book = StateMachine::default();
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
    book.apply(Entry {
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
        line("standing", &standing),
        line("term", &term),
        line("slice of a node", &slice),
        line("book of a core", &book),
        line("back end of a site", &player),
        line("node of a site", &place),
        line("row of keys", &row),
    ];
    compare("standing.txt", &all.concat(), &[]);
}

#[test]
fn every_trouble_keeps_its_cause_verdict_and_words() {
    let causes = ErrorKind::ALL.iter().map(|cause| {
        let trouble = Error::new(*cause, "in words");
        format!(
            "{} {} {}\n  {trouble}\n  {}",
            cause.code(),
            cause.http_status(),
            cause.may_retry_later(),
            line("trouble", &trouble)
        )
    });
    let verdicts = line(
        "verdicts",
        &[ExecutionStatus::NotRun, ExecutionStatus::MayHaveRun],
    );
    compare(
        "troubles.txt",
        &format!("{verdicts}{}", causes.collect::<String>()),
        &[],
    );
}
