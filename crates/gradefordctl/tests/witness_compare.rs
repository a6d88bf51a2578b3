//! `gradefordctl compare` between two stand-in mates as golden files (`tests/golden/`). How the files are written anew
//! stands at the head of `crates/test-support/tests/golden_files/mod.rs`: `GRADEFORD_WRITE_GOLDEN=1`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use golden_files::compare;
use serde_json::{Value, json};
use std::process::Command;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use transport::{Error, Frame, Handshake, Purpose};

fn greeting() -> Handshake {
    Handshake {
        purpose: Purpose::Inspect,
        node_name: "mate".into(),
        zone: "z".into(),
        address: String::new(),
        incarnation: 1,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

/// A mate that shows this to one that looks; `None`: it refuses.
async fn mate(seen: Option<Value>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let judged = seen.is_some();
        let accepted = transport::accept(stream, |_| async move {
            if judged {
                Ok(greeting())
            } else {
                Err("not this one".into())
            }
        })
        .await;
        if let (Ok(mut conn), Some(seen)) = (accepted, seen) {
            assert_eq!(conn.receiver.recv().await, Some(Frame::Inspect));
            conn.sender
                .send(Frame::Inspection(seen.to_string().into_bytes()))
                .await
                .expect("it listens");
            // Until the other side has what it wants.
            while conn.receiver.recv().await.is_some() {}
        }
    });
    address
}

/// What the command says of the two, and its exit code; once more where the machine stood still for longer than the
/// command's own patience.
fn compared(one: Option<Value>, two: Option<Value>) -> String {
    let slow = Error::TimedOut.to_string();
    let mut tries = (0..60).map(|_| compared_once(one.clone(), two.clone()));
    tries
        .find(|told| !told.contains("no answer in time") && !told.contains(&slow))
        .expect("a machine that does not stand still")
}

fn compared_once(one: Option<Value>, two: Option<Value>) -> String {
    let runtime = Runtime::new().expect("a runtime");
    let [one, two] = [one, two].map(|seen| runtime.block_on(mate(seen)));
    let output = Command::new(env!("CARGO_BIN_EXE_gradefordctl"))
        .args(["compare", &one, &two])
        .output()
        .expect("it runs");
    let [out, err] =
        [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
    format!(
        "exit code {:?}\n--- out\n{out}--- err\n{err}\n",
        output.status.code()
    )
    .replace(&one, "<first>")
    .replace(&two, "<second>")
}

fn slice() -> Value {
    json!({
        "position": 5, "version": 2, "services": ["desk", "seat"], "groupings": { "g": { "service": "seat", "zone": "z", "labels": {} } },
        "orders": { "o": { "wait_us": 1 } }, "back_ends": { "b": { "phase": "registered", "since": 3 } },
        "nodes": { "n": { "present": true, "since": 2 } }, "terms": { "seat": [] }
    })
}

#[test]
fn two_nodes_that_believe_the_same_are_alike() {
    compare(
        "compare_alike.txt",
        &compared(Some(slice()), Some(slice())),
        &[],
    );
}

#[test]
fn where_two_nodes_differ_is_told_part_by_part() {
    let mut other = slice();
    other["position"] = json!(7);
    other["services"] = json!(["seat", "till"]);
    other["orders"]["o"]["wait_us"] = json!(2);
    other["back_ends"]["b"] = json!({ "phase": "draining", "since": 6 });
    other["nodes"]["n"]["present"] = json!(false);
    other["terms"]["seat"] = json!([1]);
    other["groupings"]["more"] = json!({ "service": "till" });
    compare(
        "compare_differ.txt",
        &compared(Some(slice()), Some(other)),
        &[],
    );
}

#[test]
fn a_core_and_a_node_are_brought_to_one_shape() {
    let node = slice();
    let core = json!({
        "position": 5, "desired": { "version": 2, "groupings": node["groupings"], "orders": { "o": { "wait_us": 2 } } },
        "standing": { "back_ends": node["back_ends"], "nodes": node["nodes"] }, "terms": node["terms"]
    });
    compare("compare_core.txt", &compared(Some(core), Some(node)), &[]);
}

#[test]
fn a_mate_that_refuses_is_told() {
    compare("compare_refused.txt", &compared(Some(slice()), None), &[]);
}
