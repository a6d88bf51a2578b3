//! A node that has just started, before its first proof: it refuses requests at once and acts on nothing unverified
//! (design section 11.6).

use control::membership::discovery;
use control::updates::publisher::UpdatePublisher;
use endpoints::{Heartbeat, LeaseConfig, LeaseTableConfig, Node, NodeConfig};
use http_util::headers::DEFAULT_HEADER_NAMES;
use model::cluster_state::items::ItemPut;
use model::cluster_state::{ClusterOperation, ItemBody, ItemCall, Limits, Route, Service};
use model::logging::discard_logger;
use model::{ErrorKind, Outcome};
use outbound::SelectorConfig;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use transport::{ForwardedRequest, Frame, Handshake, KnownReplica, Purpose};

const TIMEOUT: Duration = Duration::from_secs(60);

fn handshake(purpose: Purpose) -> Handshake {
    let (name, zone, address) = ("core-0".to_string(), "z0".to_string(), String::new());
    Handshake {
        purpose,
        node_name: name,
        zone,
        address,
        incarnation: 1,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

fn config(address: &str) -> NodeConfig {
    let keys = LeaseConfig {
        proof_validity: 9_000_000,
        clock_guard: 200_000,
        max_duration: 10_000_000,
    };
    let (node, zone) = ("n0".to_string(), "z0".to_string());
    NodeConfig {
        lease_table: LeaseTableConfig {
            node,
            zone,
            address: address.into(),
            incarnation: 1,
            leases: keys,
            heartbeat_interval: 1_500_000,
            drain_timeout: 2_000_000,
            backend_address: None,
        },
        service: "seat".into(),
        seeds: Vec::new(),
        header_names: DEFAULT_HEADER_NAMES,
        selection: SelectorConfig {
            zone_crossing_cost: 0,
            retry_deposit: 8,
        },
        queued_ahead: 1,
        proof_interval: 50_000,
        monitor_interval: 1_000_000,
        monitor_timeout: 3_500_000,
    }
}

/// A route, a service divided by key, and limits that take hardly any body.
fn publisher() -> UpdatePublisher {
    let put = |name: &str, body| ItemPut {
        name: name.into(),
        version: 1,
        body,
        text: String::new(),
    };
    let (host, prefix) = ("a.example".to_string(), "/x/".to_string());
    let route = Route {
        host,
        prefix,
        idempotent: false,
        wait_us: 2_000_000,
        latency_target_us: 400_000,
        rank: 0,
        dispatches: 1,
        shares: vec![("seat".into(), 1)],
    };
    let limits = Limits {
        header_bytes: 16_384,
        body_bytes: 1_024,
        header_wait_us: 3_000_000,
        idle_us: 15_000_000,
    };
    let service = Service {
        health_path: String::new(),
        max_connections: 0,
        keyed: true,
        slow_start_us: 0,
    };
    let puts = vec![
        put("seat", ItemBody::Service(service)),
        put("x", ItemBody::Route(route)),
        put("", ItemBody::Limits(limits)),
    ];
    let mut publisher = UpdatePublisher::default();
    let (outcome, _) = publisher.cluster_state.apply(
        "operator",
        1,
        1,
        ClusterOperation::Items(ItemCall {
            puts,
            drops: Vec::new(),
        }),
    );
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    publisher
}

/// A replica that publishes its state, and proves it only once it may. `held`: what followers last said they hold.
async fn replica(listener: TcpListener, held: watch::Sender<u64>, proves: watch::Receiver<bool>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (held, proves) = (held.clone(), proves.clone());
        tokio::spawn(async move {
            let Ok(mut connection) =
                transport::accept(stream, |_| async { Ok(handshake(Purpose::Subscribe)) }).await
            else {
                return;
            };
            let mut publisher = publisher();
            while let Some(frame) = connection.receiver.recv().await {
                match frame {
                    Frame::FollowClusterState {
                        held_position: told,
                    } => {
                        held.send_modify(|held| *held = told.max(*held));
                        publisher.add_follower(told, connection.sender.clone());
                    }
                    Frame::RequestProof { request_id: number } if *proves.borrow() => {
                        publisher.request_proof(number, connection.sender.clone());
                        publisher.begin_proof_round(number * 1_000_000, number);
                        publisher.send_proofs(number);
                    }
                    _ => {}
                }
            }
        });
    }
}

async fn post(address: &str, path: &str, body: usize) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-gradeford-try: t-1\r\nconnection: close\r\ncontent-length: {body}\r\n\r\n"
    );
    stream
        .write_all(&[head.into_bytes(), vec![b'b'; body]].concat())
        .await
        .expect("it is taken");
    let mut heard = Vec::new();
    stream
        .read_to_end(&mut heard)
        .await
        .expect("a whole answer");
    String::from_utf8_lossy(&heard).to_ascii_lowercase()
}

async fn in_time<T>(what: &str, work: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, work)
        .await
        .unwrap_or_else(|_| panic!("it never came: {what}"))
}

struct Harness {
    node: Node,
    client_address: String,
    held: watch::Receiver<u64>,
    proves: watch::Sender<bool>,
}

async fn start_harness() -> Harness {
    let bind = async || {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        (listener, address)
    };
    let ((core, core_address), (peers, address), (outbound, client_address)) =
        (bind().await, bind().await, bind().await);
    let ((tell_held, held), (proves, may_prove)) = (watch::channel(0), watch::channel(false));
    tokio::spawn(replica(core, tell_held, may_prove));
    let node = Node::start(config(&address), peers, discard_logger());
    node.serve(outbound);
    discovery::merge(
        &node.known_replicas,
        vec![KnownReplica {
            replica_id: 0,
            disk_id: 1,
            address: core_address,
            zone: "z0".into(),
            start_count: 1,
        }],
    );
    Harness {
        node,
        client_address,
        held,
        proves,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unverified_state_is_not_served_and_clients_are_refused_at_once() {
    let mut harness = start_harness().await;
    // A second connection that begins with what the first one told: the state is here, and unproved.
    drop(
        in_time("what is held", harness.held.wait_for(|held| *held > 0))
            .await
            .expect("a seat"),
    );
    for (path, body) in [("/x/1", 2), ("/nowhere/", 2), ("/x/1", 5_000)] {
        let heard = in_time("an answer", post(&harness.client_address, path, body)).await;
        assert!(
            heard.starts_with("http/1.1 503"),
            "neither 404 nor 413: {heard}"
        );
        assert!(
            heard.contains("retry-after: 0.3") && heard.contains("x-gradeford-try: t-1"),
            "{heard}"
        );
    }
    assert!(!harness.node.is_ready());
    assert_eq!(
        harness
            .node
            .follower
            .verified_state
            .load()
            .snapshot
            .position,
        0,
        "nothing in this process sees unverified state"
    );
    harness.proves.send_replace(true);
    let mut moved = harness.node.follower.changes.clone();
    while !harness.node.is_ready() {
        drop(in_time("a proof", moved.changed()).await);
    }
    assert!(
        in_time("an answer", post(&harness.client_address, "/nowhere/", 2))
            .await
            .starts_with("http/1.1 404")
    );
    assert!(
        in_time("an answer", post(&harness.client_address, "/x/1", 5_000))
            .await
            .starts_with("http/1.1 413")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_not_served_for_peers_before_its_holder_is_known() {
    let harness = start_harness().await;
    let process = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = process.local_addr().expect("an address").to_string();
    // It was granted all keys before the node began anew; who holds them now nobody here can say.
    let holds = vec![(0, u16::MAX, 1)];
    let (name, service, zone) = ("a".to_string(), "seat".to_string(), "z0".to_string());
    let heartbeat = Heartbeat {
        name,
        service,
        address,
        zone,
        slots: 4,
        draining: false,
        sequence: 1,
        held_ranges: holds,
        released_ranges: Vec::new(),
    };
    assert_eq!(
        in_time("an answer", harness.node.lease_table.heartbeat(heartbeat)).await,
        Ok(None),
        "nothing can be granted"
    );
    let request = ForwardedRequest {
        backend: "a".into(),
        caller: "seat".into(),
        method: "POST".into(),
        target: "/x/1".into(),
        headers: Vec::new(),
        body: Vec::new(),
        shard_key: Some(7),
        time_left: 1_000_000,
        latency_target: 400_000,
        priority: 0,
        idempotent: false,
        force: false,
    };
    // Until the owner of the slots has heard of the backend it knows nobody of that name.
    let cause = async {
        loop {
            let trouble = harness
                .node
                .listener
                .proxy
                .limiter
                .perform(Box::new(request.clone()))
                .await
                .0
                .expect_err("nobody answers there");
            if trouble.kind != ErrorKind::WrongIncarnation {
                return trouble.kind;
            }
            tokio::task::yield_now().await;
        }
    };
    assert_eq!(
        in_time("a refusal", cause).await,
        ErrorKind::KeyWithoutHolder
    );
}
