//! Operators against a core in this process: faults, races, repeats, and no majority (design 2.2, 4.1).

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

struct TestReplica {
    handle: control::ReplicaHandle,
    http_server: http_util::HttpServer,
}

async fn start_replica(
    folder: &Path,
    replica_id: u16,
    replica_count: u16,
    seeds: Vec<String>,
) -> (TestReplica, String) {
    let peers = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = peers.local_addr().expect("an address").to_string();
    let config = control::ReplicaConfig {
        name: format!("core-{replica_id}"),
        zone: "z0".into(),
        replica_id,
        replica_count,
        address: address.clone(),
        seeds: seeds.into_iter().chain([address.clone()]).collect(),
        folder: folder.join(replica_id.to_string()),
        timing: Default::default(),
        snapshot_every_entries: 100,
        replace_after: 500_000,
        membership: None,
    };
    let replica = control::ReplicaHandle::start(config, model::logging::discard_logger())
        .expect("a core seat");
    tokio::spawn(control::updates::server::listen(replica.clone(), peers));
    let accepting_work = Arc::new(AtomicBool::new(true));
    let router = operator_api::router(operator_api::OperatorApi {
        replica: replica.clone(),
        accepting_work,
    });
    let http_server = http_util::HttpServer::start("127.0.0.1:0", router)
        .await
        .expect("http");
    (
        TestReplica {
            handle: replica,
            http_server,
        },
        address,
    )
}

async fn until_started(replica: &TestReplica) {
    while !replica.handle.status.load().voting
        || replica.handle.status.load().connected_replicas
            <= replica.handle.replica_count() as usize / 2
    {
        tokio::task::yield_now().await;
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client")
}

async fn post(replica: &TestReplica, body: impl Into<reqwest::Body>) -> (u16, serde_json::Value) {
    let url = format!("http://{}/v1/changes", replica.http_server.address);
    let response = client()
        .post(url)
        .body(body)
        .send()
        .await
        .expect("an answer");
    (
        response.status().as_u16(),
        response.json().await.expect("JSON"),
    )
}

fn change(id: &str, base: u64, edits: serde_json::Value) -> String {
    serde_json::json!({ "id": id, "base": base, "edits": edits }).to_string()
}

fn site() -> serde_json::Value {
    serde_json::json!([
        { "put_grouping": { "name": "seat-z0", "grouping": { "service": "seat", "zone": "z0" } } },
        { "put_order": { "name": "check", "order": { "selector": { "from": ["seat"], "service": "seat", "path_prefix": "/check" }, "wait_us": 1000000 } } }
    ])
}

fn temp_dir(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("gradeford-{name}-{}", std::process::id()))
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_named_and_changes_nothing() {
    let folder = temp_dir("faults");
    let (replica, _) = start_replica(&folder, 0, 1, vec![]).await;
    until_started(&replica).await;
    assert_eq!(post(&replica, change("site", 0, site())).await.0, 200);
    let put = |wait: serde_json::Value, extra: &str| {
        format!(
            r#"{{"id":"x","base":1,"edits":[{{"put_order":{{"name":"a","order":{{"selector":{{"from":["seat"],"service":"seat"}},"wait_us":{wait}{extra}}}}}}}]}}"#
        )
    };
    let cases = [
        ("not JSON".to_string(), 400, "body"),
        (put(1_000_000.into(), r#","speed":9"#), 400, "body"),
        (put("soon".into(), ""), 400, "body"),
        (put(5.into(), ""), 422, "edits[0].order.wait_us"),
        (change("y", 1, serde_json::json!([])), 422, "edits"),
        (
            change(
                "z",
                1,
                serde_json::json!([{ "drop_order": { "name": "absent" } }]),
            ),
            422,
            "edits[0].name",
        ),
    ];
    for (body, status, path) in cases {
        let (found, answer) = post(&replica, body.clone()).await;
        assert_eq!(
            (found, answer["faults"][0]["path"].as_str()),
            (status, Some(path)),
            "{body} got {answer}"
        );
    }
    // Single edits name their version and their own id, or are refused without effect.
    let url = format!("http://{}/v1/groupings/more", replica.http_server.address);
    let grouping = serde_json::json!({ "service": "seat", "zone": "z1" });
    let unnamed = client()
        .put(&url)
        .json(&grouping)
        .send()
        .await
        .expect("an answer");
    assert_eq!(unnamed.status().as_u16(), 428);
    let stale = client()
        .put(&url)
        .json(&grouping)
        .header("if-match", "\"7\"")
        .header("x-change-id", "m")
        .send()
        .await
        .expect("an answer");
    assert_eq!(stale.status().as_u16(), 412);
    let absent = client()
        .delete(&url)
        .header("if-match", "\"1\"")
        .header("x-change-id", "n")
        .send()
        .await
        .expect("an answer");
    assert_eq!(absent.status().as_u16(), 422);
    let no_disk = serde_json::json!({ "seat": 4, "from": "x", "to": "1" });
    let no_disk = client()
        .post(format!("http://{}/v1/seats", replica.http_server.address))
        .json(&no_disk)
        .send()
        .await
        .expect("an answer");
    assert_eq!(no_disk.status().as_u16(), 422);
    let state = client()
        .get(format!("http://{}/v1/desired", replica.http_server.address))
        .send()
        .await
        .expect("an answer");
    assert_eq!(
        state
            .headers()
            .get("etag")
            .and_then(|tag| tag.to_str().ok()),
        Some("\"1\"")
    );
    let state: serde_json::Value = state.json().await.expect("JSON");
    assert_eq!(
        state["orders"].as_object().map(|orders| orders.len()),
        Some(1)
    );
    std::fs::remove_dir_all(folder).expect("clean");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_racing_one_wins_and_a_repeat_is_harmless() {
    let folder = temp_dir("race");
    let (first, address) = start_replica(&folder, 0, 3, vec![]).await;
    let (second, second_address) = start_replica(&folder, 1, 3, vec![address.clone()]).await;
    let lonely = post(&first, change("early", 0, site())).await;
    assert_eq!(
        (lonely.0, lonely.1["verdict"].as_str()),
        (503, Some("not-run")),
        "no majority has met yet"
    );
    let (third, _) = start_replica(&folder, 2, 3, vec![address, second_address]).await;
    for replica in [&first, &second, &third] {
        until_started(replica).await;
    }
    assert_eq!(post(&first, change("site", 0, site())).await.0, 200);
    let edit = |path: &str| serde_json::json!([{ "put_order": { "name": "a", "order": { "selector": { "from": ["seat"], "service": "seat", "path_prefix": path }, "wait_us": 1000000 } } }]);
    let (one, two) = tokio::join!(
        post(&first, change("one", 1, edit("/one"))),
        post(&second, change("two", 1, edit("/two")))
    );
    let mut statuses = [one.0, two.0];
    statuses.sort();
    assert_eq!(statuses, [200, 412], "{one:?} {two:?}");
    let (winner, path) = if one.0 == 200 {
        ("one", "/one")
    } else {
        ("two", "/two")
    };
    let again = post(&third, change(winner, 1, edit(path))).await;
    assert_eq!(
        (again.0, again.1["accepted"]["version"].as_u64()),
        (200, Some(2)),
        "{again:?}"
    );
    // Any replica reads back what another accepted.
    let state = client()
        .get(format!("http://{}/v1/orders/a", third.http_server.address))
        .send()
        .await
        .expect("an answer");
    let order: serde_json::Value = state.json().await.expect("JSON");
    assert_eq!(order["selector"]["path_prefix"].as_str(), Some(path));
    std::fs::remove_dir_all(folder).expect("clean");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_emptied_disk_may_not_vote_as_its_former_replica() {
    let folder = temp_dir("emptied");
    let (first, address) = start_replica(&folder, 0, 3, vec![]).await;
    let (second, second_address) = start_replica(&folder, 1, 3, vec![address.clone()]).await;
    let (third, _) =
        start_replica(&folder, 2, 3, vec![address.clone(), second_address.clone()]).await;
    for replica in [&first, &second, &third] {
        until_started(replica).await;
    }
    assert_eq!(post(&first, change("site", 0, site())).await.0, 200);
    // The same replica on an empty disk, at another address.
    let (emptied, _) = start_replica_on_empty_disk(&folder, vec![address, second_address]).await;
    while emptied.handle.status.load().refusal.is_none() {
        tokio::task::yield_now().await;
    }
    assert!(!emptied.handle.status.load().voting);
    let ready = client()
        .get(format!("http://{}/ready", emptied.http_server.address))
        .send()
        .await
        .expect("an answer");
    assert_eq!(ready.status().as_u16(), 503);
    let text = ready.text().await.expect("text");
    assert!(text.contains("another disk"), "{text}");
    std::fs::remove_dir_all(folder).expect("clean");
}

async fn start_replica_on_empty_disk(folder: &Path, seeds: Vec<String>) -> (TestReplica, String) {
    start_replica(&folder.join("emptied"), 0, 3, seeds).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_disk_replaces_its_member_by_itself_once_that_is_gone() {
    let folder = temp_dir("knock");
    let (first, address) = start_replica(&folder, 0, 3, vec![]).await;
    let (second, second_address) = start_replica(&folder, 1, 3, vec![address.clone()]).await;
    // The third replica lives in a runtime of its own, which ends as its machine does.
    let machine = tokio::runtime::Runtime::new().expect("a runtime");
    let (dir, seeds) = (
        folder.clone(),
        vec![address.clone(), second_address.clone()],
    );
    let (third, _) = machine
        .spawn(async move { start_replica(&dir, 2, 3, seeds).await })
        .await
        .expect("a seat");
    for replica in [&first, &second, &third] {
        until_started(replica).await;
    }
    assert_eq!(post(&first, change("site", 0, site())).await.0, 200);
    machine.shutdown_background();
    drop(third);
    let (empty, _) =
        start_replica(&folder.join("emptied"), 2, 3, vec![address, second_address]).await;
    until_started(&empty).await;
    // With one of the two others gone, nothing is accepted without the new disk's vote: it has one, and what was accepted before.
    let state = client()
        .get(format!("http://{}/v1/desired", empty.http_server.address))
        .send()
        .await
        .expect("an answer");
    let state: serde_json::Value = state.json().await.expect("JSON");
    assert_eq!(state["version"].as_u64(), Some(1), "{state}");
    // The other replicas pin theirs to the new disk as they come past the change; the old one counts no more.
    while second.handle.pinned_disks.load().get(&2) != Some(&empty.handle.disk_id()) {
        tokio::task::yield_now().await;
    }
    std::fs::remove_dir_all(folder).expect("clean");
}
