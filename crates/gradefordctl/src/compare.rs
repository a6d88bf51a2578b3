//! What two nodes believe, where they differ, and since which version (docs/operators/gradefordctl.md).

use std::collections::BTreeSet;
use std::time::Duration;

pub async fn run(one: &str, two: &str) -> i32 {
    let (left, right) = (fetch_state(one).await, fetch_state(two).await);
    let (Some(left), Some(right)) = (left, right) else {
        return crate::commands::EXIT_UNREACHABLE;
    };
    let shared: Vec<&str> = left.0.intersection(&right.0).map(String::as_str).collect();
    let parts = ["groupings", "orders", "back_ends", "nodes", "terms"];
    let differences: Vec<serde_json::Value> = parts
        .iter()
        .flat_map(|part| differences(part, &left.1[part], &right.1[part]))
        .collect();
    let positions = [&left.1["position"], &right.1["position"]];
    let answer = serde_json::json!({
        "alike": differences.is_empty(), "positions": positions, "both_subscribe_to": shared, "differences": differences,
    });
    println!(
        "{}",
        serde_json::to_string_pretty(&answer).unwrap_or_default()
    );
    if differences.is_empty() {
        crate::commands::EXIT_DONE
    } else {
        crate::commands::EXIT_REFUSED
    }
}

type NodeState = (BTreeSet<String>, serde_json::Value);

async fn fetch_state(address: &str) -> Option<NodeState> {
    let greeting = transport::Handshake {
        purpose: transport::Purpose::Inspect,
        node_name: "gradefordctl".into(),
        zone: String::new(),
        address: String::new(),
        incarnation: 0,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    };
    let seen = async {
        let mut conn = transport::dial(address, greeting)
            .await
            .map_err(|trouble| trouble.to_string())?;
        conn.sender
            .send(transport::Frame::Inspect)
            .await
            .map_err(|_| "closed".to_string())?;
        match conn.receiver.recv().await {
            Some(transport::Frame::Inspection(bytes)) => {
                serde_json::from_slice::<serde_json::Value>(&bytes)
                    .map_err(|error| error.to_string())
            }
            _ => Err("closed before it answered".into()),
        }
    };
    match tokio::time::timeout(Duration::from_secs(3), seen).await {
        Ok(Ok(seen)) => Some((subscribed_services(&seen), in_node_form(seen))),
        Ok(Err(trouble)) => {
            eprintln!("gradefordctl: {address}: {trouble}");
            None
        }
        Err(_) => {
            eprintln!("gradefordctl: {address}: no answer in time");
            None
        }
    }
}

fn subscribed_services(seen: &serde_json::Value) -> BTreeSet<String> {
    seen["services"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|service| service.as_str().map(str::to_string))
        .collect()
}

/// A core seat shows its book, a node its slice: brought to one shape.
fn in_node_form(seen: serde_json::Value) -> serde_json::Value {
    if !seen["desired"].is_object() {
        return seen;
    }
    serde_json::json!({
        "position": seen["position"], "groupings": seen["desired"]["groupings"], "orders": seen["desired"]["orders"],
        "back_ends": seen["standing"]["back_ends"], "nodes": seen["standing"]["nodes"], "terms": seen["terms"],
    })
}

/// Only what both hold can differ: a node that does not subscribe to a thing does not lack it.
fn differences(
    part: &str,
    left: &serde_json::Value,
    right: &serde_json::Value,
) -> Vec<serde_json::Value> {
    let (Some(left), Some(right)) = (left.as_object(), right.as_object()) else {
        return Vec::new();
    };
    left.iter()
        .filter_map(|(name, held)| right.get(name).filter(|other| *other != held).map(|other| (name, held, other)))
        .map(|(name, held, other)| {
            let since = held["since"].as_u64().max(other["since"].as_u64());
            serde_json::json!({ "part": part, "name": name, "first": held, "second": other, "since": since })
        })
        .collect()
}
