//! What a node answers to the back ends and senders beside it, as golden files (`tests/golden/`): without a core, and
//! with a core of one seat in this process. How the files are written anew stands at the head of
//! `crates/test-support/tests/golden_files/mod.rs`: `GRADEFORD_WRITE_GOLDEN=1`.

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

/// The bound of every wait here.
const PATIENCE: Duration = Duration::from_secs(60);

fn folder(name: &str) -> PathBuf {
    env::temp_dir().join(format!("gradeford-witness-node-{name}-{}", process::id()))
}

/// A core of one seat that knows the services `seat` and `desk`, and its mates' address.
async fn core(folder: &Path) -> (ReplicaHandle, String) {
    let mates = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = mates.local_addr().expect("an address").to_string();
    let env = ReplicaConfig {
        name: "core-0".into(),
        zone: "z".into(),
        replica_id: 0,
        replica_count: 1,
        address: address.clone(),
        seeds: vec![address.clone()],
        folder: folder.to_path_buf(),
        timing: Default::default(),
        snapshot_every_entries: 100,
        replace_after: 500_000,
        membership: None,
    };
    let core = ReplicaHandle::start(env, model::logging::discard_logger()).expect("a core");
    tokio::spawn(server::listen(core.clone(), mates));
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
        .expect("a change");
    assert!(matches!(
        core.change(change).await,
        Some(Outcome::Accepted { .. })
    ));
    (core, address)
}

/// A node's program, ended with its owner.
struct Node {
    child: Child,
    address: String,
    told: String,
}

impl Drop for Node {
    fn drop(&mut self) {
        // Ended already, or a failed test leaves it behind.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    fn start(seed: &str) -> Node {
        let words = [
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
            .args(words)
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"))
            .lines()
            .map_while(Result::ok);
        let listening = log
            .find(|line| line.contains("\"listening\""))
            .expect("it listens");
        thread::spawn(move || log.for_each(drop));
        let listening: Value = serde_json::from_str(&listening).expect("JSON");
        Node {
            child,
            address: listening["local"].as_str().expect("an address").to_string(),
            told: String::new(),
        }
    }

    fn ask(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
        let mut stream = TcpStream::connect(&self.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a bound");
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
            .expect("a request");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer");
        let (head, answer) = text.split_once("\r\n\r\n").expect("a head and a body");
        let mut lines = head.split("\r\n");
        let status = lines.next().unwrap_or_default();
        let mut own: Vec<&str> = lines
            .filter(|line| {
                ["content-type", "retry-after", "x-gradeford-"]
                    .iter()
                    .any(|name| line.starts_with(name))
            })
            .collect();
        own.sort_unstable();
        format!("{status}\n{}\n{answer}\n\n", own.join("\n"))
    }

    /// Sends one call and writes down call and answer.
    fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
        let answer = self.ask(method, path, headers, body);
        let sent: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\n"))
            .collect();
        self.told
            .push_str(&format!("{method} {path}\n{sent}{body}\n{answer}"));
        answer
    }

    /// Asks until it is ready, and writes down that answer.
    fn until_ready(&mut self) {
        let begin = Instant::now();
        let ready = loop {
            let answer = self.ask("GET", "/ready", &[], "");
            if answer.contains(" 200 ") {
                break answer;
            }
            assert!(begin.elapsed() < PATIENCE, "a node that is ready");
            thread::yield_now();
        };
        self.told.push_str(&format!("GET /ready\n\n{ready}"));
    }
}

fn registration() -> Value {
    json!({ "name": "seat-0", "service": "seat", "zone": "z", "slots": 4, "labels": { "tier": "gold" }, "address": "127.0.0.1:1" })
}

/// Registrations that the node refuses by itself.
fn wrong_registrations() -> Vec<Value> {
    let wrong = [
        ("name", json!("Bad Name")),
        ("service", json!("")),
        ("zone", json!("elsewhere")),
        ("slots", json!(4097)),
        ("slots", json!(-1)),
        ("labels", json!([])),
        ("address", json!("here")),
        ("speed", json!(1)),
    ];
    let with = |(key, value): (&str, Value)| {
        let mut ask = registration();
        ask[key] = value;
        ask
    };
    let without = |key: &str| {
        let mut ask = registration();
        ask.as_object_mut().expect("an object").remove(key);
        ask
    };
    wrong
        .into_iter()
        .map(with)
        .chain(["name", "service", "zone", "slots", "address"].map(without))
        .collect()
}

const BEAT: &str = r#"{"service":"seat","zone":"z","slots":4,"state":"serving"}"#;

#[test]
fn a_node_without_a_core_keeps_its_answers() {
    // Nobody listens on port 1 of the loopback.
    let mut node = Node::start("127.0.0.1:1");
    node.call("GET", "/live", &[], "");
    node.call("GET", "/ready", &[], "");
    node.call("GET", "/status", &[], "");
    for body in ["", "{}"] {
        node.call("POST", "/back-end/register", &[], body);
    }
    for ask in wrong_registrations() {
        node.call("POST", "/back-end/register", &[], &ask.to_string());
    }
    let bearer = [("authorization", "Bearer none")];
    let wrong = [
        "",
        "{}",
        &BEAT.replace("serving", "dancing"),
        &BEAT.replace(":4", ":4097"),
        &BEAT.replace("}", ",\"speed\":1}"),
        BEAT,
    ];
    for body in wrong {
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
    let named = [
        ("x-gradeford-try", "n/seat-0/1/one"),
        ("authorization", "Bearer none"),
    ];
    node.call("GET", "/call/desk/x", &named, "");
    compare(
        "node_without_a_core.txt",
        &node.told,
        &["life", "traffic"].map(Volatile::Field),
    );
}

/// From registration to sign-off beside a node that has just started. `None`: the machine stood still for so long that
/// the node rightly took its back end for gone, or its own state for old.
fn life(address: &str) -> Option<String> {
    let mut node = Node::start(address);
    node.until_ready();
    let begin = Instant::now();
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
    let bearer = format!("Bearer {secret}");
    let bearer = [("authorization", bearer.as_str())];
    node.call("POST", "/back-end/beat", &bearer, BEAT);
    node.call(
        "POST",
        "/back-end/beat",
        &bearer,
        &BEAT.replace("}", ",\"keys\":[3]}"),
    );
    node.call(
        "POST",
        "/back-end/beat",
        &bearer,
        &BEAT.replace("\"seat\"", "\"desk\""),
    );
    node.call(
        "POST",
        "/back-end/beat",
        &bearer,
        &BEAT.replace("\"z\"", "\"y\""),
    );
    let prefix = body["try_prefix"].as_str().expect("a prefix").to_string();
    let calls = [
        ("/call/seat/x", "one"),
        ("/call/none/x", "two"),
        ("/call/desk/a/../b", "three"),
        ("/call/desk/x", "four"),
        ("/call/desk/x", "four"),
    ];
    for (path, name) in calls {
        let try_id = format!("{prefix}{name}");
        node.call("GET", path, &[("x-gradeford-try", &try_id), bearer[0]], "");
    }
    let try_id = format!("{prefix}five");
    node.call(
        "GET",
        "/call/desk/x",
        &[
            ("x-gradeford-try", &try_id),
            ("x-gradeford-wait", "soon"),
            bearer[0],
        ],
        "",
    );
    node.call("GET", "/status", &[], "");
    node.call("POST", "/back-end/drain", &bearer, "");
    node.call("POST", "/back-end/sign-off", &bearer, "");
    node.call("POST", "/back-end/beat", &bearer, BEAT);
    if begin.elapsed() > Duration::from_millis(900) || node.told.contains("not_fresh") {
        return None;
    }
    let volatile = [
        "life",
        "traffic",
        "known",
        "position",
        "fresh_for_us",
        "incarnation",
        "left_us",
    ]
    .map(Volatile::Field);
    let values = [
        Volatile::Value(&secret, "secret"),
        Volatile::Value(&prefix, "prefix"),
    ];
    Some(with_placeholders(
        &node.told,
        &volatile.into_iter().chain(values).collect::<Vec<_>>(),
    ))
}

#[test]
fn a_back_ends_life_keeps_its_answers() {
    let folder = folder("life");
    let runtime = Runtime::new().expect("a runtime");
    let (core, address) = runtime.block_on(core(&folder));
    let begin = Instant::now();
    let told = loop {
        if let Some(told) = life(&address) {
            break told;
        }
        assert!(
            begin.elapsed() < PATIENCE,
            "a life without a standstill of the machine"
        );
    };
    drop(core);
    runtime.shutdown_background();
    fs::remove_dir_all(folder).expect("clean");
    compare("a_back_ends_life.txt", &told, &[]);
}
