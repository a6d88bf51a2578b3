//! Tests of the operators' API with replicas in this process: faults, concurrent changes, repeated
//! changes, and a missing majority (design 2.2, 4.1).

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

struct TestReplica {
    handle: control::ReplicaHandle,
    http_server: http_util::HttpServer,
}

async fn start_replica(
    temp_dir: &Path,
    replica_id: u16,
    replica_count: u16,
    seeds: Vec<String>,
) -> (TestReplica, String) {
    let peers = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = peers.local_addr().expect("a bound address").to_string();
    let config = control::ReplicaConfig {
        name: format!("core-{replica_id}"),
        zone: "z0".into(),
        replica_id,
        replica_count,
        address: address.clone(),
        seeds: seeds.into_iter().chain([address.clone()]).collect(),
        folder: temp_dir.join(replica_id.to_string()),
        timing: Default::default(),
        snapshot_every_entries: 100,
        replace_after: 500_000,
        membership: None,
    };
    let replica = control::ReplicaHandle::start(config, model::logging::discard_logger())
        .expect("the replica starts");
    tokio::spawn(control::updates::server::listen(replica.clone(), peers));
    let accepting_work = Arc::new(AtomicBool::new(true));
    let router = operator_api::router(operator_api::OperatorApi {
        replica: replica.clone(),
        accepting_work,
    });
    let http_server = http_util::HttpServer::start("127.0.0.1:0", router)
        .await
        .expect("the HTTP server starts");
    (
        TestReplica {
            handle: replica,
            http_server,
        },
        address,
    )
}

async fn wait_until_connected(replica: &TestReplica) {
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

fn initial_edits() -> serde_json::Value {
    serde_json::json!([
        { "put_grouping": { "name": "seat-z0", "grouping": { "service": "seat", "zone": "z0" } } },
        { "put_order": { "name": "check", "order": { "selector": { "from": ["seat"], "service": "seat", "path_prefix": "/check" }, "wait_us": 1000000 } } }
    ])
}

fn temp_dir(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("gradeford-{name}-{}", std::process::id()))
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_reported_and_change_nothing() {
    let temp_dir = temp_dir("faults");
    let (replica, _) = start_replica(&temp_dir, 0, 1, vec![]).await;
    wait_until_connected(&replica).await;
    assert_eq!(
        post(&replica, change("site", 0, initial_edits())).await.0,
        200
    );
    let put_order_with_wait = |wait: serde_json::Value, extra: &str| {
        format!(
            r#"{{"id":"x","base":1,"edits":[{{"put_order":{{"name":"a","order":{{"selector":{{"from":["seat"],"service":"seat"}},"wait_us":{wait}{extra}}}}}}}]}}"#
        )
    };
    let cases = [
        ("not JSON".to_string(), 400, "body"),
        (
            put_order_with_wait(1_000_000.into(), r#","speed":9"#),
            400,
            "body",
        ),
        (put_order_with_wait("soon".into(), ""), 400, "body"),
        (
            put_order_with_wait(5.into(), ""),
            422,
            "edits[0].order.wait_us",
        ),
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
    // Single edits must name their base version and their id; otherwise they are refused without
    // effect.
    let url = format!("http://{}/v1/groupings/more", replica.http_server.address);
    let grouping = serde_json::json!({ "service": "seat", "zone": "z1" });
    let without_version = client()
        .put(&url)
        .json(&grouping)
        .send()
        .await
        .expect("an answer");
    assert_eq!(without_version.status().as_u16(), 428);
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
    let invalid_replacement = serde_json::json!({ "seat": 4, "from": "x", "to": "1" });
    let invalid_replacement = client()
        .post(format!("http://{}/v1/seats", replica.http_server.address))
        .json(&invalid_replacement)
        .send()
        .await
        .expect("an answer");
    assert_eq!(invalid_replacement.status().as_u16(), 422);
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
    std::fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_wins_and_repeating_it_is_harmless() {
    let temp_dir = temp_dir("race");
    let (first, address) = start_replica(&temp_dir, 0, 3, vec![]).await;
    let (second, second_address) = start_replica(&temp_dir, 1, 3, vec![address.clone()]).await;
    let without_majority = post(&first, change("early", 0, initial_edits())).await;
    assert_eq!(
        (without_majority.0, without_majority.1["verdict"].as_str()),
        (503, Some("not-run")),
        "there is no majority yet"
    );
    let (third, _) = start_replica(&temp_dir, 2, 3, vec![address, second_address]).await;
    for replica in [&first, &second, &third] {
        wait_until_connected(replica).await;
    }
    assert_eq!(
        post(&first, change("site", 0, initial_edits())).await.0,
        200
    );
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
    let repeated = post(&third, change(winner, 1, edit(path))).await;
    assert_eq!(
        (repeated.0, repeated.1["accepted"]["version"].as_u64()),
        (200, Some(2)),
        "{repeated:?}"
    );
    // A replica reads what another replica has accepted.
    let state = client()
        .get(format!("http://{}/v1/orders/a", third.http_server.address))
        .send()
        .await
        .expect("an answer");
    let order: serde_json::Value = state.json().await.expect("JSON");
    assert_eq!(order["selector"]["path_prefix"].as_str(), Some(path));
    std::fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_emptied_disk_may_not_vote_as_its_former_replica() {
    let temp_dir = temp_dir("emptied");
    let (first, address) = start_replica(&temp_dir, 0, 3, vec![]).await;
    let (second, second_address) = start_replica(&temp_dir, 1, 3, vec![address.clone()]).await;
    let (third, _) = start_replica(
        &temp_dir,
        2,
        3,
        vec![address.clone(), second_address.clone()],
    )
    .await;
    for replica in [&first, &second, &third] {
        wait_until_connected(replica).await;
    }
    assert_eq!(
        post(&first, change("site", 0, initial_edits())).await.0,
        200
    );
    // The same replica number with an empty disk and another address.
    let (emptied, _) = start_replica_on_empty_disk(&temp_dir, vec![address, second_address]).await;
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
    std::fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}

async fn start_replica_on_empty_disk(temp_dir: &Path, seeds: Vec<String>) -> (TestReplica, String) {
    start_replica(&temp_dir.join("emptied"), 0, 3, seeds).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_disk_replaces_an_unreachable_member_automatically() {
    let temp_dir = temp_dir("replace");
    let (first, address) = start_replica(&temp_dir, 0, 3, vec![]).await;
    let (second, second_address) = start_replica(&temp_dir, 1, 3, vec![address.clone()]).await;
    // The third replica runs in a runtime of its own; shutting that down simulates the loss of its
    // machine.
    let third_runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (dir, seeds) = (
        temp_dir.clone(),
        vec![address.clone(), second_address.clone()],
    );
    let (third, _) = third_runtime
        .spawn(async move { start_replica(&dir, 2, 3, seeds).await })
        .await
        .expect("the third replica starts");
    for replica in [&first, &second, &third] {
        wait_until_connected(replica).await;
    }
    assert_eq!(
        post(&first, change("site", 0, initial_edits())).await.0,
        200
    );
    third_runtime.shutdown_background();
    drop(third);
    let (empty, _) = start_replica(
        &temp_dir.join("emptied"),
        2,
        3,
        vec![address, second_address],
    )
    .await;
    wait_until_connected(&empty).await;
    // If one of the two other replicas failed now, a majority would need the vote of the new disk. The
    // new disk has that vote, and the state that was accepted before.
    let state = client()
        .get(format!("http://{}/v1/desired", empty.http_server.address))
        .send()
        .await
        .expect("an answer");
    let state: serde_json::Value = state.json().await.expect("JSON");
    assert_eq!(state["version"].as_u64(), Some(1), "{state}");
    // The other replicas pin the member to the new disk once they have applied the replacement; from
    // then on the old disk does not count.
    while second.handle.pinned_disks.load().get(&2) != Some(&empty.handle.disk_id()) {
        tokio::task::yield_now().await;
    }
    std::fs::remove_dir_all(temp_dir).expect("the directory can be removed");
}
