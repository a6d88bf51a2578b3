//! Golden-file tests (`tests/golden/`) for the operators' API: requests, their answers and the serialized
//! types. `GRADEFORD_WRITE_GOLDEN=1` regenerates the files, see
//! `crates/test-support/tests/golden_files/mod.rs`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use control::{ReplicaConfig, ReplicaHandle, updates::server};
use golden_files::{Volatile, compare};
use http_util::HttpServer;
use operator_api::OperatorApi;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::{env, fs, process};
use tokio::net::TcpListener;
use tokio::task::yield_now;
use transport::KnownReplica;

/// A replica in this process with its operators' API, and a transcript of the requests to it.
struct TestServer {
    replica: ReplicaHandle,
    http_server: HttpServer,
    accepting_work: Arc<AtomicBool>,
    transcript: String,
}

impl TestServer {
    async fn start(temp_dir: &Path, replica_count: u16) -> TestServer {
        let peer_listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = peer_listener
            .local_addr()
            .expect("a bound address")
            .to_string();
        let config = ReplicaConfig {
            name: "core-0".into(),
            zone: "z0".into(),
            replica_id: 0,
            replica_count,
            address: address.clone(),
            seeds: vec![address],
            folder: temp_dir.to_path_buf(),
            timing: Default::default(),
            snapshot_every_entries: 100,
            replace_after: 500_000,
            membership: None,
        };
        let replica = ReplicaHandle::start(config, model::logging::discard_logger())
            .expect("the replica starts");
        tokio::spawn(server::listen(replica.clone(), peer_listener));
        let accepting_work = Arc::new(AtomicBool::new(true));
        let router = operator_api::router(OperatorApi {
            replica: replica.clone(),
            accepting_work: accepting_work.clone(),
        });
        let http_server = HttpServer::start("127.0.0.1:0", router)
            .await
            .expect("the HTTP server starts");
        TestServer {
            replica,
            http_server,
            accepting_work,
            transcript: String::new(),
        }
    }

    /// Sends a request and appends the request and its answer to the transcript.
    async fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) {
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("a client");
        let method = method.parse::<reqwest::Method>().expect("a method");
        let request = client
            .request(
                method.clone(),
                format!("http://{}{path}", self.http_server.address),
            )
            .body(body.to_string());
        let request = headers.iter().fold(request, |request, (name, value)| {
            request.header(*name, *value)
        });
        let response = request.send().await.expect("an answer");
        let status = response.status().as_u16();
        let header_line = |name: &str| {
            response
                .headers()
                .get(name)
                .map(|value| format!("{name}: {}\n", value.to_str().expect("text")))
                .unwrap_or_default()
        };
        let relevant_headers = ["content-type", "etag", "retry-after"]
            .map(header_line)
            .concat();
        let answer = response.text().await.expect("text");
        let shown_answer = if answer.starts_with("<!DOCTYPE") {
            "(a page of the HTTP library)"
        } else {
            &answer
        };
        let header_lines: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\n"))
            .collect();
        self.transcript.push_str(&format!(
            "{method} {path}\n{header_lines}{body}\n{status}\n{relevant_headers}{shown_answer}\n\n"
        ));
    }

    async fn change(&mut self, id: &str, base: u64, edits: Value) {
        let body = json!({ "id": id, "base": base, "edits": edits }).to_string();
        self.call("POST", "/v1/changes", &[], &body).await;
    }
}

async fn wait_until_voting(replica: &ReplicaHandle) {
    while !replica.status.load().voting {
        yield_now().await;
    }
}

fn temp_dir(name: &str) -> PathBuf {
    env::temp_dir().join(format!("gradeford-golden-{name}-{}", process::id()))
}

/// Log positions vary between runs, because the core itself also appends entries to the log.
const POSITION_FIELDS: [Volatile; 2] = [Volatile::Field("position"), Volatile::Field("since")];

fn initial_edits() -> Value {
    json!([
        { "put_grouping": { "name": "seat-z0", "grouping": { "service": "seat", "zone": "z0" } } },
        { "put_grouping": { "name": "seat-z1", "grouping": { "service": "seat", "zone": "z1", "labels": { "tier": "gold" } } } },
        { "put_order": { "name": "check", "order": { "selector": { "from": ["seat"], "service": "seat", "path_prefix": "/check" }, "wait_us": 1000000 } } },
        { "put_order": { "name": "full", "order": { "selector": { "from": ["seat"], "service": "seat", "methods": ["GET"], "path_prefix": "/full",
            "labels": { "tier": "gold" } }, "wait_us": 2000000, "importance": 9, "repeatable": true, "leave_zone": false } } },
        { "put_order": { "name": "keyed", "order": { "selector": { "from": ["seat"], "service": "seat", "path_prefix": "/keyed" }, "wait_us": 5000, "keyed": true } } }
    ])
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_and_queries_keep_their_answers() {
    let temp_dir = temp_dir("changes");
    let mut server = TestServer::start(&temp_dir, 1).await;
    wait_until_voting(&server.replica).await;
    server.call("GET", "/v1/desired", &[], "").await;
    server.change("site", 0, initial_edits()).await;
    server.change("site", 0, initial_edits()).await;
    server
        .change("site", 1, json!([{ "drop_order": { "name": "check" } }]))
        .await;
    server
        .change("late", 0, json!([{ "drop_order": { "name": "check" } }]))
        .await;
    server.change("same", 1, initial_edits()).await;
    server.call("GET", "/v1/desired", &[], "").await;
    for path in [
        "/v1/groupings/seat-z1",
        "/v1/orders/check",
        "/v1/orders/full",
        "/v1/orders/keyed",
        "/v1/groupings/none",
        "/v1/orders/none",
        "/v1/standing",
    ] {
        server.call("GET", path, &[], "").await;
    }
    let change_headers = |base, id| [("if-match", base), ("x-change-id", id)];
    let grouping = r#"{"service":"seat","zone":"z2"}"#;
    let order = r#"{"selector":{"from":["seat"],"service":"seat"},"wait_us":5000}"#;
    server
        .call(
            "PUT",
            "/v1/groupings/more",
            &change_headers("\"1\"", "more"),
            grouping,
        )
        .await;
    server
        .call(
            "PUT",
            "/v1/orders/more",
            &change_headers("2", "order"),
            order,
        )
        .await;
    server
        .call(
            "PUT",
            "/v1/orders/more",
            &change_headers("\"1\"", "stale"),
            order,
        )
        .await;
    server.call("PUT", "/v1/orders/more", &[], order).await;
    server
        .call("PUT", "/v1/orders/more", &[("if-match", "\"3\"")], order)
        .await;
    server
        .call(
            "PUT",
            "/v1/orders/more",
            &change_headers("\"3\"", "bad"),
            "{}",
        )
        .await;
    server
        .call(
            "DELETE",
            "/v1/orders/more",
            &change_headers("\"3\"", "drop"),
            "",
        )
        .await;
    server
        .call(
            "DELETE",
            "/v1/orders/more",
            &change_headers("\"4\"", "absent"),
            "",
        )
        .await;
    server.call("DELETE", "/v1/groupings/more", &[], "").await;
    server
        .call(
            "DELETE",
            "/v1/groupings/more",
            &change_headers("\"4\"", "away"),
            "",
        )
        .await;
    compare("changes.txt", &server.transcript, &POSITION_FIELDS);
    fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_of_a_change_keep_their_path_and_message() {
    let temp_dir = temp_dir("faults");
    let mut server = TestServer::start(&temp_dir, 1).await;
    wait_until_voting(&server.replica).await;
    server.change("site", 0, initial_edits()).await;
    for body in [
        "",
        "not JSON",
        "{}",
        r#"{"id":"a","base":1,"edits":[],"speed":9}"#,
        r#"{"id":"a","base":1,"edits":[{"put_speed":{}}]}"#,
    ] {
        server.call("POST", "/v1/changes", &[], body).await;
    }
    let order = |key: &str, value: Value| {
        let mut order =
            json!({ "selector": { "from": ["seat"], "service": "seat" }, "wait_us": 5000 });
        order[key] = value;
        json!([{ "put_order": { "name": "a", "order": order } }])
    };
    let selector = |key: &str, value: Value| {
        let mut selector = json!({ "from": ["seat"], "service": "seat" });
        selector[key] = value;
        order("selector", selector)
    };
    let grouping = |key: &str, value: Value| {
        let mut grouping = json!({ "service": "seat", "zone": "z0" });
        grouping[key] = value;
        json!([{ "put_grouping": { "name": "a", "grouping": grouping } }])
    };
    let edits = [
        json!([]),
        order("wait_us", json!(999)),
        json!([{ "put_order": { "name": "a", "order": { "selector": { "from": ["seat"], "service": "seat", "labels": { "tier": "gold" } },
            "wait_us": 5000, "keyed": true, "leave_zone": false } } }]),
        order("wait_us", json!(60_000_001)),
        order("wait_us", json!("soon")),
        order("importance", json!(10)),
        order("repeatable", json!(1)),
        order("keyed", json!(1)),
        order("leave_zone", json!(1)),
        order("speed", json!(1)),
        selector("from", json!([])),
        selector("from", json!(["Bad Name"])),
        selector("from", json!(["absent"])),
        selector("labels", json!({ "tier": "copper" })),
        selector("service", json!("Bad Name")),
        selector("service", json!("absent")),
        selector("methods", json!(["get"])),
        selector("methods", json!([""])),
        selector("path_prefix", json!("x")),
        selector("path_prefix", json!("/a?b")),
        selector("path_prefix", json!("/a//b")),
        selector("labels", json!({ "Bad Name": "x" })),
        selector("speed", json!(1)),
        grouping("service", json!("")),
        grouping("zone", json!("Z")),
        grouping("labels", json!({ "": "" })),
        grouping("speed", json!(1)),
        json!([{ "put_grouping": { "name": "Bad Name", "grouping": { "service": "seat", "zone": "z0" } } }]),
        json!([{ "drop_order": { "name": "absent" } }, { "drop_grouping": { "name": "absent" } }]),
        json!([{ "drop_grouping": { "name": "seat-z0" } }, { "drop_grouping": { "name": "seat-z1" } }]),
        json!([{ "drop_order": { "name": "check" } }, { "drop_order": { "name": "check" } }]),
    ];
    for (number, edits) in edits.into_iter().enumerate() {
        // Valid edits are accepted and raise the version, on which the next change is based.
        let version = server.replica.state_machine.load().desired.version;
        server
            .change(&format!("fault-{number}"), version, edits)
            .await;
    }
    compare("faults.txt", &server.transcript, &POSITION_FIELDS);
    fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_status_answer_keeps_its_fields() {
    let temp_dir = temp_dir("status");
    let mut server = TestServer::start(&temp_dir, 1).await;
    wait_until_voting(&server.replica).await;
    let disk_id = format!("{:016x}", server.replica.disk_id());
    server.call("GET", "/v1/status", &[], "").await;
    let known_replica = KnownReplica {
        replica_id: 1,
        disk_id: 2,
        address: "127.0.0.1:3".into(),
        zone: "z".into(),
        start_count: 4,
    };
    server.transcript.push_str(&format!(
        "a known seat: {}\n",
        serde_json::to_string(&known_replica).expect("JSON")
    ));
    let volatile_fields = [
        "applied",
        "floor",
        "frames",
        "highest",
        "index",
        "open_reads",
        "syncs",
        "traffic",
        "known",
        "position",
        "in_touch",
        "met",
    ];
    let volatile: Vec<Volatile> = volatile_fields
        .map(Volatile::Field)
        .into_iter()
        .chain([Volatile::Value(&disk_id, "identity")])
        .collect();
    compare("status.txt", &server.transcript, &volatile);
    fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_and_replacement_of_a_member_keep_their_answers() {
    let temp_dir = temp_dir("ready");
    let mut server = TestServer::start(&temp_dir, 1).await;
    wait_until_voting(&server.replica).await;
    let disk_id = format!("{:016x}", server.replica.disk_id());
    server.call("GET", "/live", &[], "").await;
    server.call("GET", "/ready", &[], "").await;
    server.call("GET", "/v1/none", &[], "").await;
    for body in [
        "",
        "{}",
        r#"{"seat":0,"from":"1","to":"2","speed":1}"#,
        r#"{"seat":4,"from":"x","to":"y"}"#,
        r#"{"seat":0,"from":"1","to":"2"}"#,
    ] {
        server.call("POST", "/v1/seats", &[], body).await;
    }
    let replacement = json!({ "seat": 0, "from": disk_id, "to": disk_id }).to_string();
    server.call("POST", "/v1/seats", &[], &replacement).await;
    server.accepting_work.store(false, Ordering::Relaxed);
    server.call("GET", "/ready", &[], "").await;
    let volatile = [
        Volatile::Value(&disk_id, "identity"),
        Volatile::Field("position"),
    ];
    compare("ready_and_seats.txt", &server.transcript, &volatile);
    fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_a_majority_keeps_its_answers() {
    let temp_dir = temp_dir("no-majority");
    let mut server = TestServer::start(&temp_dir, 3).await;
    let disk_id = format!("{:016x}", server.replica.disk_id());
    server.change("early", 0, initial_edits()).await;
    let body = json!({ "seat": 0, "from": disk_id, "to": "1" }).to_string();
    server.call("POST", "/v1/seats", &[], &body).await;
    server.call("GET", "/ready", &[], "").await;
    server.call("GET", "/live", &[], "").await;
    compare(
        "no_majority.txt",
        &server.transcript,
        &[Volatile::Value(&disk_id, "identity")],
    );
    fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}
