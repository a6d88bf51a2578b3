//! Comparison of the states of two processes: the entries that differ, and since which log position
//! (docs/operators/gradefordctl.md).

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::{Value, json};
use thiserror::Error;
use tokio::time::timeout;
use transport::{Frame, Handshake, Purpose};

use crate::exit;

/// Timeout for the state of one process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Names of the compared tables.
const TABLES: [&str; 5] = ["groupings", "orders", "back_ends", "nodes", "terms"];

/// Error that prevents reading the state of a process.
#[derive(Debug, Error)]
enum Error {
    #[error(transparent)]
    Connection(#[from] transport::Error),
    #[error("closed")]
    Closed,
    #[error("closed before it answered")]
    ClosedBeforeAnswer,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("no answer in time")]
    TimedOut,
}

/// State of a process.
struct NodeState {
    /// Services that the process subscribes to; empty for a replica.
    services: BTreeSet<String>,
    /// Log position and the [`TABLES`].
    state: Value,
}

/// Compares the states of the processes at two peer addresses, prints the differences and returns
/// the exit code.
pub(crate) async fn run(first: &str, second: &str) -> i32 {
    let (first, second) = (fetch_or_report(first).await, fetch_or_report(second).await);
    let (Some(first), Some(second)) = (first, second) else {
        return exit::UNREACHABLE;
    };
    let shared: Vec<&String> = first.services.intersection(&second.services).collect();
    let mut differing_entries = Vec::new();
    for table in TABLES {
        differing_entries.extend(differences(
            table,
            &first.state[table],
            &second.state[table],
        ));
    }
    let answer = json!({
        "alike": differing_entries.is_empty(),
        "positions": [first.state["position"], second.state["position"]],
        "both_subscribe_to": shared,
        "differences": differing_entries,
    });
    println!(
        "{}",
        serde_json::to_string_pretty(&answer).unwrap_or_default()
    );
    if differing_entries.is_empty() {
        exit::DONE
    } else {
        exit::REFUSED
    }
}

async fn fetch_or_report(address: &str) -> Option<NodeState> {
    let fetched = timeout(ANSWER_TIMEOUT, fetch_state(address)).await;
    match fetched.unwrap_or(Err(Error::TimedOut)) {
        Ok(state) => Some(state),
        Err(error) => {
            eprintln!("gradefordctl: {address}: {error}");
            None
        }
    }
}

async fn fetch_state(address: &str) -> Result<NodeState, Error> {
    let mut connection = transport::dial(address, handshake()).await?;
    connection
        .sender
        .send(Frame::Inspect)
        .await
        .map_err(|_| Error::Closed)?;
    let Some(Frame::Inspection(bytes)) = connection.receiver.recv().await else {
        return Err(Error::ClosedBeforeAnswer);
    };
    let state: Value = serde_json::from_slice(&bytes)?;
    Ok(NodeState {
        services: subscribed_services(&state),
        state: in_node_form(state),
    })
}

fn handshake() -> Handshake {
    Handshake {
        purpose: Purpose::Inspect,
        node_name: "gradefordctl".into(),
        zone: String::new(),
        address: String::new(),
        incarnation: 0,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

fn subscribed_services(state: &Value) -> BTreeSet<String> {
    let services = state["services"].as_array().into_iter().flatten();
    services
        .filter_map(|service| service.as_str().map(str::to_string))
        .collect()
}

/// Converts the state machine that a replica returns to the form of the state slice that a node
/// returns.
fn in_node_form(state: Value) -> Value {
    if !state["desired"].is_object() {
        return state;
    }
    json!({
        "position": state["position"],
        "groupings": state["desired"]["groupings"],
        "orders": state["desired"]["orders"],
        "back_ends": state["standing"]["back_ends"],
        "nodes": state["standing"]["nodes"],
        "terms": state["terms"],
    })
}

/// Returns the differing_entries entries of one table. Only entries that both sides have are compared,
/// because a node has no entries for services that it does not subscribe to.
fn differences(table: &str, first: &Value, second: &Value) -> Vec<Value> {
    let (Some(first), Some(second)) = (first.as_object(), second.as_object()) else {
        return Vec::new();
    };
    let mut differing_entries = Vec::new();
    for (name, entry) in first {
        let Some(other) = second.get(name).filter(|other| *other != entry) else {
            continue;
        };
        let since = entry["since"].as_u64().max(other["since"].as_u64());
        differing_entries.push(json!({
            "part": table, "name": name, "first": entry, "second": other, "since": since,
        }));
    }
    differing_entries
}
