//! Tests the shutdown of a node (design section 13.7).

use control::VerifiedState;
use endpoints::{LeaseConfig, LeaseTableConfig, Node, NodeConfig};
use http_util::headers::DEFAULT_HEADER_NAMES;
use model::cluster_state::{Delta, ItemBody, ItemKind, Route, StateSnapshot};
use model::logging::discard_logger;
use outbound::SelectorConfig;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(30);
const DAY: Duration = Duration::from_secs(86_400);

async fn node() -> (Node, String) {
    let leases = LeaseConfig {
        proof_validity: 9_000_000,
        clock_margin: 200_000,
        max_duration: 10_000_000,
    };
    let identity = (
        "n0".to_string(),
        "z0".to_string(),
        "127.0.0.1:1".to_string(),
    );
    let config = NodeConfig {
        lease_table: LeaseTableConfig {
            node: identity.0,
            zone: identity.1,
            address: identity.2,
            incarnation: 1,
            leases,
            heartbeat_interval: 1_500_000,
            backend_address: None,
            drain_timeout: 2_000_000,
        },
        service: "seat".into(),
        seeds: Vec::new(),
        header_names: DEFAULT_HEADER_NAMES,
        selection: SelectorConfig {
            zone_crossing_cost: 15_000,
            retry_deposit: 8,
        },
        extra_runs: 1,
        proof_interval: 1_000_000,
        monitor_interval: 500_000,
        monitor_timeout: 3_000_000,
    };
    let bind = async || TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let node = Node::start(config, bind().await, discard_logger());
    let shares = vec![("seat".to_string(), 1)];
    let route = Route {
        host: "h".into(),
        prefix: "/a/".into(),
        idempotent: true,
        wait_us: 1_000_000,
        latency_target_us: 1_000_000,
        rank: 0,
        dispatches: 1,
        shares,
    };
    let snapshot = StateSnapshot::default().updated(
        true,
        1,
        vec![Delta::Item(
            ItemKind::Route,
            "a".into(),
            1,
            Some(ItemBody::Route(route)),
        )],
    );
    node.follower.verified_state.store(Arc::new(VerifiedState {
        snapshot: Arc::new(snapshot),
        verified_at: 1,
    }));
    let client_listener = bind().await;
    let address = client_listener
        .local_addr()
        .expect("an address")
        .to_string();
    node.serve(client_listener);
    (node, address)
}

/// Sends a request on a new connection and returns the status line of the response.
async fn send_request(address: &str) -> io::Result<String> {
    let mut connection = TcpStream::connect(address).await?;
    let request = format!(
        "GET /b/ HTTP/1.1\r\nhost: h\r\n{}: t1\r\nconnection: close\r\n\r\n",
        DEFAULT_HEADER_NAMES.attempt_id
    );
    connection.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await?;
    Ok(answer.lines().next().unwrap_or_default().to_string())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_shuts_down_is_not_ready_but_serves_for_the_notice_period() {
    let (node, address) = node().await;
    assert!(node.is_ready());
    // No route has this prefix, so the node answers itself for as long as it serves requests.
    let responses = async {
        let first = send_request(&address).await;
        let ready = node.is_ready();
        (
            first.unwrap_or_default(),
            ready,
            send_request(&address).await.unwrap_or_default(),
        )
    };
    let responses_before_shutdown = async {
        tokio::select! { biased; () = node.shut_down(DAY, TIMEOUT) => None, responses = responses => Some(responses) }
    };
    let (first, ready, second) = tokio::time::timeout(TIMEOUT, responses_before_shutdown)
        .await
        .expect("a response")
        .expect("the node still serves requests");
    assert!(!ready, "clients see that the node is not ready");
    assert!(
        first.contains("404") && second.contains("404"),
        "{first:?} {second:?}"
    );
    tokio::time::timeout(TIMEOUT, node.shut_down(Duration::ZERO, TIMEOUT))
        .await
        .expect("no requests are in flight");
    assert!(
        send_request(&address).await.is_err(),
        "the node serves no more requests"
    );
}
