//! The operators' interface as golden files (`tests/golden/`): each call, its answer, and the serde types behind them.
//! How the files are written anew stands at the head of `crates/test-support/tests/golden_files/mod.rs`:
//! `GRADEFORD_WRITE_GOLDEN=1`.

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

struct Office {
    core: ReplicaHandle,
    serving: HttpServer,
    staying: Arc<AtomicBool>,
    told: String,
}

impl Office {
    async fn start(folder: &Path, seats: u16) -> Office {
        let mates = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = mates.local_addr().expect("an address").to_string();
        let env = ReplicaConfig {
            name: "core-0".into(),
            zone: "z0".into(),
            replica_id: 0,
            replica_count: seats,
            address: address.clone(),
            seeds: vec![address],
            folder: folder.to_path_buf(),
            timing: Default::default(),
            snapshot_every_entries: 100,
            replace_after: 500_000,
            membership: None,
        };
        let core = ReplicaHandle::start(env, model::logging::discard_logger()).expect("a core");
        tokio::spawn(server::listen(core.clone(), mates));
        let staying = Arc::new(AtomicBool::new(true));
        let router = operator_api::router(OperatorApi {
            replica: core.clone(),
            accepting_work: staying.clone(),
        });
        let serving = HttpServer::start("127.0.0.1:0", router)
            .await
            .expect("http");
        Office {
            core,
            serving,
            staying,
            told: String::new(),
        }
    }

    /// Sends one call and writes down call and answer.
    async fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) {
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("a client");
        let method = method.parse::<reqwest::Method>().expect("a method");
        let request = client
            .request(
                method.clone(),
                format!("http://{}{path}", self.serving.address),
            )
            .body(body.to_string());
        let request = headers.iter().fold(request, |request, (name, value)| {
            request.header(*name, *value)
        });
        let response = request.send().await.expect("an answer");
        let status = response.status().as_u16();
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .map(|value| format!("{name}: {}\n", value.to_str().expect("text")))
                .unwrap_or_default()
        };
        let named = ["content-type", "etag", "retry-after"].map(header).concat();
        let answer = response.text().await.expect("text");
        let told = if answer.starts_with("<!DOCTYPE") {
            "(a page of the HTTP library)"
        } else {
            &answer
        };
        let sent: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\n"))
            .collect();
        self.told.push_str(&format!(
            "{method} {path}\n{sent}{body}\n{status}\n{named}{told}\n\n"
        ));
    }

    async fn change(&mut self, id: &str, base: u64, edits: Value) {
        let body = json!({ "id": id, "base": base, "edits": edits }).to_string();
        self.call("POST", "/v1/changes", &[], &body).await;
    }
}

async fn until_started(core: &ReplicaHandle) {
    while !core.status.load().voting {
        yield_now().await;
    }
}

fn folder(name: &str) -> PathBuf {
    env::temp_dir().join(format!("gradeford-witness-{name}-{}", process::id()))
}

/// Where in the log a change came depends on what the core itself wrote meanwhile.
const POSITIONS: [Volatile; 2] = [Volatile::Field("position"), Volatile::Field("since")];

fn site() -> Value {
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
async fn changes_and_what_is_read_back_keep_their_answers() {
    let folder = folder("changes");
    let mut office = Office::start(&folder, 1).await;
    until_started(&office.core).await;
    office.call("GET", "/v1/desired", &[], "").await;
    office.change("site", 0, site()).await;
    office.change("site", 0, site()).await;
    office
        .change("site", 1, json!([{ "drop_order": { "name": "check" } }]))
        .await;
    office
        .change("late", 0, json!([{ "drop_order": { "name": "check" } }]))
        .await;
    office.change("same", 1, site()).await;
    office.call("GET", "/v1/desired", &[], "").await;
    for path in [
        "/v1/groupings/seat-z1",
        "/v1/orders/check",
        "/v1/orders/full",
        "/v1/orders/keyed",
        "/v1/groupings/none",
        "/v1/orders/none",
        "/v1/standing",
    ] {
        office.call("GET", path, &[], "").await;
    }
    let named = |base, id| [("if-match", base), ("x-change-id", id)];
    let grouping = r#"{"service":"seat","zone":"z2"}"#;
    let order = r#"{"selector":{"from":["seat"],"service":"seat"},"wait_us":5000}"#;
    office
        .call(
            "PUT",
            "/v1/groupings/more",
            &named("\"1\"", "more"),
            grouping,
        )
        .await;
    office
        .call("PUT", "/v1/orders/more", &named("2", "order"), order)
        .await;
    office
        .call("PUT", "/v1/orders/more", &named("\"1\"", "stale"), order)
        .await;
    office.call("PUT", "/v1/orders/more", &[], order).await;
    office
        .call("PUT", "/v1/orders/more", &[("if-match", "\"3\"")], order)
        .await;
    office
        .call("PUT", "/v1/orders/more", &named("\"3\"", "bad"), "{}")
        .await;
    office
        .call("DELETE", "/v1/orders/more", &named("\"3\"", "drop"), "")
        .await;
    office
        .call("DELETE", "/v1/orders/more", &named("\"4\"", "absent"), "")
        .await;
    office.call("DELETE", "/v1/groupings/more", &[], "").await;
    office
        .call("DELETE", "/v1/groupings/more", &named("\"4\"", "away"), "")
        .await;
    compare("changes.txt", &office.told, &POSITIONS);
    fs::remove_dir_all(folder).expect("clean");
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_of_a_change_keeps_its_path_and_words() {
    let folder = folder("faults");
    let mut office = Office::start(&folder, 1).await;
    until_started(&office.core).await;
    office.change("site", 0, site()).await;
    for body in [
        "",
        "not JSON",
        "{}",
        r#"{"id":"a","base":1,"edits":[],"speed":9}"#,
        r#"{"id":"a","base":1,"edits":[{"put_speed":{}}]}"#,
    ] {
        office.call("POST", "/v1/changes", &[], body).await;
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
        // What is no fault is accepted, and the next goes on from there.
        let version = office.core.state_machine.load().desired.version;
        office
            .change(&format!("fault-{number}"), version, edits)
            .await;
    }
    compare("faults.txt", &office.told, &POSITIONS);
    fs::remove_dir_all(folder).expect("clean");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_status_answer_keeps_its_fields() {
    let folder = folder("status");
    let mut office = Office::start(&folder, 1).await;
    until_started(&office.core).await;
    let identity = format!("{:016x}", office.core.disk_id());
    office.call("GET", "/v1/status", &[], "").await;
    let seat = KnownReplica {
        replica_id: 1,
        disk_id: 2,
        address: "127.0.0.1:3".into(),
        zone: "z".into(),
        start_count: 4,
    };
    office.told.push_str(&format!(
        "a known seat: {}\n",
        serde_json::to_string(&seat).expect("JSON")
    ));
    let counts = [
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
    let volatile: Vec<Volatile> = counts
        .map(Volatile::Field)
        .into_iter()
        .chain([Volatile::Value(&identity, "identity")])
        .collect();
    compare("status.txt", &office.told, &volatile);
    fs::remove_dir_all(folder).expect("clean");
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_and_the_taking_over_of_a_seat_keep_their_answers() {
    let folder = folder("ready");
    let mut office = Office::start(&folder, 1).await;
    until_started(&office.core).await;
    let identity = format!("{:016x}", office.core.disk_id());
    office.call("GET", "/live", &[], "").await;
    office.call("GET", "/ready", &[], "").await;
    office.call("GET", "/v1/none", &[], "").await;
    for body in [
        "",
        "{}",
        r#"{"seat":0,"from":"1","to":"2","speed":1}"#,
        r#"{"seat":4,"from":"x","to":"y"}"#,
        r#"{"seat":0,"from":"1","to":"2"}"#,
    ] {
        office.call("POST", "/v1/seats", &[], body).await;
    }
    let zero = json!({ "seat": 0, "from": identity, "to": identity }).to_string();
    office.call("POST", "/v1/seats", &[], &zero).await;
    office.staying.store(false, Ordering::Relaxed);
    office.call("GET", "/ready", &[], "").await;
    let own = [
        Volatile::Value(&identity, "identity"),
        Volatile::Field("position"),
    ];
    compare("ready_and_seats.txt", &office.told, &own);
    fs::remove_dir_all(folder).expect("clean");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_seat_without_a_majority_keeps_its_answers() {
    let folder = folder("lonely");
    let mut office = Office::start(&folder, 3).await;
    let identity = format!("{:016x}", office.core.disk_id());
    office.change("early", 0, site()).await;
    let body = json!({ "seat": 0, "from": identity, "to": "1" }).to_string();
    office.call("POST", "/v1/seats", &[], &body).await;
    office.call("GET", "/ready", &[], "").await;
    office.call("GET", "/live", &[], "").await;
    compare(
        "no_majority.txt",
        &office.told,
        &[Volatile::Value(&identity, "identity")],
    );
    fs::remove_dir_all(folder).expect("clean");
}
