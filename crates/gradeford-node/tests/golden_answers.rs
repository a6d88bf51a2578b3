//! Golden-file tests (`tests/golden/`) for the answers of a node to local backends and clients, with no
//! core and with a single replica in this process. `GRADEFORD_WRITE_GOLDEN=1` regenerates the files,
//! see `crates/test-support/tests/golden_files/mod.rs`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use control::{ReplicaConfig, ReplicaHandle, updates::server};
use golden_files::{Volatile, compare, with_placeholders};
use model::{Change, Outcome};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs, process, thread};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::task::yield_now;

/// Timeout of every wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(60);

fn temp_dir(name: &str) -> PathBuf {
    env::temp_dir().join(format!("gradeford-golden-node-{name}-{}", process::id()))
}

/// Starts a single replica that knows the services `seat` and `desk`; returns it with its peer
/// address.
async fn start_core(temp_dir: &Path) -> (ReplicaHandle, String) {
    let peer_listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = peer_listener
        .local_addr()
        .expect("a bound address")
        .to_string();
    let config = ReplicaConfig {
        name: "core-0".into(),
        zone: "z".into(),
        replica_id: 0,
        replica_count: 1,
        address: address.clone(),
        seeds: vec![address.clone()],
        folder: temp_dir.to_path_buf(),
        timing: Default::default(),
        snapshot_every_entries: 100,
        replace_after: 500_000,
        membership: None,
    };
    let core =
        ReplicaHandle::start(config, model::logging::discard_logger()).expect("the replica starts");
    tokio::spawn(server::listen(core.clone(), peer_listener));
    while !core.status.load().voting {
        yield_now().await;
    }
    let order = json!({ "selector": { "from": ["seat"], "service": "desk" }, "wait_us": 5000000 });
    let edits = json!([
        { "put_grouping": { "name": "seat", "grouping": { "service": "seat", "zone": "z" } } },
        { "put_grouping": { "name": "desk", "grouping": { "service": "desk", "zone": "z" } } },
        { "put_order": { "name": "seat-desk", "order": order } }
    ]);
    let change: Change = serde_json::from_value(json!({ "id": "site", "base": 0, "edits": edits }))
        .expect("a valid change");
    assert!(matches!(
        core.change(change).await,
        Some(Outcome::Accepted { .. })
    ));
    (core, address)
}

/// A running node program that is killed on drop.
struct Node {
    child: Child,
    address: String,
    transcript: String,
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both calls fail if the program has already ended; then nothing is left to do.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    fn start(seed: &str) -> Node {
        let arguments = [
            "--name",
            "n",
            "--zone",
            "z",
            "--mates-address",
            "127.0.0.1:0",
            "--local-address",
            "127.0.0.1:0",
            "--seeds",
            seed,
        ];
        let mut child = Command::new(env!("CARGO_BIN_EXE_gradeford-node"))
            .args(arguments)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program can be started");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"))
            .lines()
            .map_while(Result::ok);
        let listening = log
            .find(|line| line.contains("\"listening\""))
            .expect("the node logs that it listens");
        thread::spawn(move || log.for_each(drop));
        let listening: Value = serde_json::from_str(&listening).expect("JSON");
        Node {
            child,
            address: listening["local"].as_str().expect("an address").to_string(),
            transcript: String::new(),
        }
    }

    fn send_request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> String {
        let mut stream = TcpStream::connect(&self.address).expect("a connection");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("the read timeout can be set");
        let headers: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n",
            body.len()
        );
        stream
            .write_all(format!("{head}{body}").as_bytes())
            .expect("the request can be sent");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .expect("an answer arrives in time");
        let (head, answer) = text.split_once("\r\n\r\n").expect("a head and a body");
        let mut lines = head.split("\r\n");
        let status = lines.next().unwrap_or_default();
        let mut relevant_headers: Vec<&str> = lines
            .filter(|line| {
                ["content-type", "retry-after", "x-gradeford-"]
                    .iter()
                    .any(|name| line.starts_with(name))
            })
            .collect();
        relevant_headers.sort_unstable();
        format!("{status}\n{}\n{answer}\n\n", relevant_headers.join("\n"))
    }

    /// Sends a request and appends the request and its answer to the transcript.
    fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
        let answer = self.send_request(method, path, headers, body);
        let header_lines: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\n"))
            .collect();
        self.transcript
            .push_str(&format!("{method} {path}\n{header_lines}{body}\n{answer}"));
        answer
    }

    /// Polls `/ready` until the node is ready and appends that answer to the transcript.
    fn wait_until_ready(&mut self) {
        let started_at = Instant::now();
        let ready = loop {
            let answer = self.send_request("GET", "/ready", &[], "");
            if answer.contains(" 200 ") {
                break answer;
            }
            assert!(started_at.elapsed() < TIMEOUT, "the node becomes ready");
            thread::yield_now();
        };
        self.transcript.push_str(&format!("GET /ready\n\n{ready}"));
    }
}

fn registration() -> Value {
    json!({ "name": "seat-0", "service": "seat", "zone": "z", "slots": 4, "labels": { "tier": "gold" }, "address": "127.0.0.1:1" })
}

/// Registrations that the node rejects without consulting the log.
fn invalid_registrations() -> Vec<Value> {
    let invalid = [
        ("name", json!("Bad Name")),
        ("service", json!("")),
        ("zone", json!("elsewhere")),
        ("slots", json!(4097)),
        ("slots", json!(-1)),
        ("labels", json!([])),
        ("address", json!("here")),
        ("speed", json!(1)),
    ];
    let with_field = |(key, value): (&str, Value)| {
        let mut request = registration();
        request[key] = value;
        request
    };
    let without_field = |key: &str| {
        let mut request = registration();
        request.as_object_mut().expect("an object").remove(key);
        request
    };
    invalid
        .into_iter()
        .map(with_field)
        .chain(["name", "service", "zone", "slots", "address"].map(without_field))
        .collect()
}

const HEARTBEAT: &str = r#"{"service":"seat","zone":"z","slots":4,"state":"serving"}"#;

#[test]
fn a_node_without_a_core_keeps_its_answers() {
    // No process listens on port 1 of the loopback address.
    let mut node = Node::start("127.0.0.1:1");
    node.call("GET", "/live", &[], "");
    node.call("GET", "/ready", &[], "");
    node.call("GET", "/status", &[], "");
    for body in ["", "{}"] {
        node.call("POST", "/back-end/register", &[], body);
    }
    for request in invalid_registrations() {
        node.call("POST", "/back-end/register", &[], &request.to_string());
    }
    let bearer = [("authorization", "Bearer none")];
    let invalid = [
        "",
        "{}",
        &HEARTBEAT.replace("serving", "dancing"),
        &HEARTBEAT.replace(":4", ":4097"),
        &HEARTBEAT.replace("}", ",\"speed\":1}"),
        HEARTBEAT,
    ];
    for body in invalid {
        node.call("POST", "/back-end/beat", &bearer, body);
    }
    node.call("POST", "/back-end/drain", &bearer, "");
    node.call("POST", "/back-end/sign-off", &bearer, "");
    node.call("GET", "/call/desk/x", &[], "");
    node.call(
        "GET",
        "/call/desk/x",
        &[("x-gradeford-try", "nameless")],
        "",
    );
    let attempt_headers = [
        ("x-gradeford-try", "n/seat-0/1/one"),
        ("authorization", "Bearer none"),
    ];
    node.call("GET", "/call/desk/x", &attempt_headers, "");
    compare(
        "node_without_a_core.txt",
        &node.transcript,
        &["life", "traffic"].map(Volatile::Field),
    );
}

/// Runs a backend from registration to deregistration beside a newly started node. Returns `None` if
/// the machine stalled for so long that the node rightly considered its backend gone or its own state
/// stale.
fn run_lifecycle(address: &str) -> Option<String> {
    let mut node = Node::start(address);
    node.wait_until_ready();
    let started_at = Instant::now();
    let registered = node.call(
        "POST",
        "/back-end/register",
        &[],
        &registration().to_string(),
    );
    let body = registered
        .lines()
        .find(|line| line.starts_with('{'))
        .expect("JSON");
    let body: Value = serde_json::from_str(body).expect("JSON");
    let secret = body["secret"].as_str().expect("a secret").to_string();
    let authorization = format!("Bearer {secret}");
    let bearer = [("authorization", authorization.as_str())];
    node.call("POST", "/back-end/beat", &bearer, HEARTBEAT);
    node.call(
        "POST",
        "/back-end/beat",
        &bearer,
        &HEARTBEAT.replace("}", ",\"keys\":[3]}"),
    );
    node.call(
        "POST",
        "/back-end/beat",
        &bearer,
        &HEARTBEAT.replace("\"seat\"", "\"desk\""),
    );
    node.call(
        "POST",
        "/back-end/beat",
        &bearer,
        &HEARTBEAT.replace("\"z\"", "\"y\""),
    );
    let prefix = body["try_prefix"].as_str().expect("a prefix").to_string();
    let attempts = [
        ("/call/seat/x", "one"),
        ("/call/none/x", "two"),
        ("/call/desk/a/../b", "three"),
        ("/call/desk/x", "four"),
        ("/call/desk/x", "four"),
    ];
    for (path, name) in attempts {
        let attempt_id = format!("{prefix}{name}");
        node.call(
            "GET",
            path,
            &[("x-gradeford-try", &attempt_id), bearer[0]],
            "",
        );
    }
    let attempt_id = format!("{prefix}five");
    node.call(
        "GET",
        "/call/desk/x",
        &[
            ("x-gradeford-try", &attempt_id),
            ("x-gradeford-wait", "soon"),
            bearer[0],
        ],
        "",
    );
    node.call("GET", "/status", &[], "");
    node.call("POST", "/back-end/drain", &bearer, "");
    node.call("POST", "/back-end/sign-off", &bearer, "");
    node.call("POST", "/back-end/beat", &bearer, HEARTBEAT);
    if started_at.elapsed() > Duration::from_millis(900) || node.transcript.contains("not_fresh") {
        return None;
    }
    let volatile_fields = [
        "life",
        "traffic",
        "known",
        "position",
        "fresh_for_us",
        "incarnation",
        "left_us",
    ]
    .map(Volatile::Field);
    let volatile_values = [
        Volatile::Value(&secret, "secret"),
        Volatile::Value(&prefix, "prefix"),
    ];
    Some(with_placeholders(
        &node.transcript,
        &volatile_fields
            .into_iter()
            .chain(volatile_values)
            .collect::<Vec<_>>(),
    ))
}

#[test]
fn the_life_cycle_of_a_backend_keeps_its_answers() {
    let temp_dir = temp_dir("life");
    let runtime = Runtime::new().expect("a runtime");
    let (core, address) = runtime.block_on(start_core(&temp_dir));
    let started_at = Instant::now();
    let transcript = loop {
        if let Some(transcript) = run_lifecycle(&address) {
            break transcript;
        }
        assert!(
            started_at.elapsed() < TIMEOUT,
            "the life cycle completes without a stall of the machine"
        );
    };
    drop(core);
    runtime.shutdown_background();
    fs::remove_dir_all(temp_dir).expect("the directory can be removed");
    compare("a_back_ends_life.txt", &transcript, &[]);
}
