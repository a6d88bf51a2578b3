//! A node that is told to go (design 13.7).

use model::cluster_state::{Delta, ItemBody, ItemKind, Route, StateSnapshot};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const BOUND: Duration = Duration::from_secs(30);
const DAY: Duration = Duration::from_secs(86_400);

async fn node() -> (endpoints::Node, String) {
    let keys = endpoints::LeaseConfig {
        proof_validity: 9_000_000,
        clock_guard: 200_000,
        max_duration: 10_000_000,
    };
    let own = (
        "n0".to_string(),
        "z0".to_string(),
        "127.0.0.1:1".to_string(),
    );
    let env = endpoints::NodeConfig {
        lease_table: endpoints::LeaseTableConfig {
            node: own.0,
            zone: own.1,
            address: own.2,
            incarnation: 1,
            leases: keys,
            heartbeat_interval: 1_500_000,
            backend_address: None,
            drain_timeout: 2_000_000,
        },
        service: "seat".into(),
        seeds: Vec::new(),
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        selection: outbound::SelectorConfig {
            zone_crossing_cost: 15_000,
            retry_deposit: 8,
        },
        queued_ahead: 1,
        proof_interval: 1_000_000,
        monitor_interval: 500_000,
        monitor_timeout: 3_000_000,
    };
    let bind = async || {
        tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port")
    };
    let node = endpoints::Node::start(env, bind().await, model::logging::discard_logger());
    let shares = vec![("seat".to_string(), 1)];
    let lane = Route {
        host: "h".into(),
        prefix: "/a/".into(),
        idempotent: true,
        wait_us: 1_000_000,
        latency_target_us: 1_000_000,
        rank: 0,
        dispatches: 1,
        shares,
    };
    let programme = StateSnapshot::default().updated(
        true,
        1,
        vec![Delta::Item(
            ItemKind::Route,
            "a".into(),
            1,
            Some(ItemBody::Route(lane)),
        )],
    );
    node.follower
        .verified_state
        .store(Arc::new(control::VerifiedState {
            snapshot: Arc::new(programme),
            verified_at: 1,
        }));
    let senders = bind().await;
    let address = senders.local_addr().expect("an address").to_string();
    node.serve(senders);
    (node, address)
}

/// The status of a new conn's first answer.
async fn ask(address: &str) -> std::io::Result<String> {
    let mut conn = tokio::net::TcpStream::connect(address).await?;
    let request = format!(
        "GET /b/ HTTP/1.1\r\nhost: h\r\n{}: t1\r\nconnection: close\r\n\r\n",
        http_util::headers::DEFAULT_HEADER_NAMES.attempt_id
    );
    conn.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    conn.read_to_string(&mut answer).await?;
    Ok(answer.lines().next().unwrap_or_default().to_string())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_told_to_go_is_not_ready_and_serves_until_its_senders_know() {
    let (node, address) = node().await;
    assert!(node.is_ready());
    // No lane begins there: an answer of its own, which it gives as long as it serves.
    let answered = async {
        let first = ask(&address).await;
        let ready = node.is_ready();
        (
            first.unwrap_or_default(),
            ready,
            ask(&address).await.unwrap_or_default(),
        )
    };
    let served = async {
        tokio::select! { biased; () = node.shut_down(DAY, BOUND) => None, answered = answered => Some(answered) }
    };
    let (first, ready, second) = tokio::time::timeout(BOUND, served)
        .await
        .expect("an answer")
        .expect("it has not gone yet");
    assert!(!ready, "whoever asks is told to send no more");
    assert!(
        first.contains("404") && second.contains("404"),
        "{first:?} {second:?}"
    );
    tokio::time::timeout(BOUND, node.shut_down(Duration::ZERO, BOUND))
        .await
        .expect("nothing is under way");
    assert!(ask(&address).await.is_err(), "nobody is left to answer");
}
