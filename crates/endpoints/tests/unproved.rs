//! A node that has just begun, before its first proof: it says so at once and runs nothing on what it was told
//! (design 11.6).

use model::ErrorKind;
use model::cluster_state::{ClusterOperation, ItemBody, ItemCall, Limits, Route, Service};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const BOUND: Duration = Duration::from_secs(60);

fn greets(purpose: transport::Purpose) -> transport::Handshake {
    let (name, zone, address) = ("core-0".to_string(), "z0".to_string(), String::new());
    transport::Handshake {
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

fn env(address: &str) -> endpoints::NodeConfig {
    let keys = endpoints::LeaseConfig {
        proof_validity: 9_000_000,
        clock_guard: 200_000,
        max_duration: 10_000_000,
    };
    let (node, zone) = ("n0".to_string(), "z0".to_string());
    endpoints::NodeConfig {
        lease_table: endpoints::LeaseTableConfig {
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
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        selection: outbound::SelectorConfig {
            zone_crossing_cost: 0,
            retry_deposit: 8,
        },
        queued_ahead: 1,
        proof_interval: 50_000,
        monitor_interval: 1_000_000,
        monitor_timeout: 3_500_000,
    }
}

/// A lane, a service divided by key, and limits that take hardly any body.
fn desk() -> control::publisher::UpdatePublisher {
    let put = |name: &str, body| model::cluster_state::items::ItemPut {
        name: name.into(),
        version: 1,
        body,
        text: String::new(),
    };
    let (host, prefix) = ("a.example".to_string(), "/x/".to_string());
    let lane = Route {
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
        put("x", ItemBody::Route(lane)),
        put("", ItemBody::Limits(limits)),
    ];
    let mut desk = control::publisher::UpdatePublisher::default();
    let (outcome, _) = desk.cluster_state.apply(
        "operator",
        1,
        1,
        ClusterOperation::Items(ItemCall {
            puts,
            drops: Vec::new(),
        }),
    );
    assert!(
        matches!(outcome, model::Outcome::Accepted { .. }),
        "{outcome:?}"
    );
    desk
}

/// A seat that tells what it holds, and proves it only once it may. `held`: what followers last said they hold.
async fn seat(
    listener: tokio::net::TcpListener,
    held: tokio::sync::watch::Sender<u64>,
    proves: tokio::sync::watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (held, proves) = (held.clone(), proves.clone());
        tokio::spawn(async move {
            let Ok(mut conn) = transport::accept(stream, |_| async {
                Ok(greets(transport::Purpose::Subscribe))
            })
            .await
            else {
                return;
            };
            let mut desk = desk();
            while let Some(frame) = conn.receiver.recv().await {
                match frame {
                    transport::Frame::FollowClusterState {
                        held_position: told,
                    } => {
                        held.send_modify(|held| *held = told.max(*held));
                        desk.add_follower(told, conn.sender.clone());
                    }
                    transport::Frame::RequestProof { request_id: number } if *proves.borrow() => {
                        desk.request_proof(number, conn.sender.clone());
                        desk.begin_proof_round(number * 1_000_000, number);
                        desk.send_proofs(number);
                    }
                    _ => {}
                }
            }
        });
    }
}

async fn says(address: &str, path: &str, body: usize) -> String {
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("a conn");
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

async fn soon<T>(what: &str, work: impl Future<Output = T>) -> T {
    tokio::time::timeout(BOUND, work)
        .await
        .unwrap_or_else(|_| panic!("it never came: {what}"))
}

struct Scene {
    node: endpoints::Node,
    front: String,
    held: tokio::sync::watch::Receiver<u64>,
    proves: tokio::sync::watch::Sender<bool>,
}

async fn scene() -> Scene {
    let bind = async || {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        (listener, address)
    };
    let ((core, core_address), (mates, address), (outbound, front)) =
        (bind().await, bind().await, bind().await);
    let ((tell_held, held), (proves, may_prove)) = (
        tokio::sync::watch::channel(0),
        tokio::sync::watch::channel(false),
    );
    tokio::spawn(seat(core, tell_held, may_prove));
    let node = endpoints::Node::start(env(&address), mates, model::logging::discard_logger());
    node.serve(outbound);
    control::discovery::merge(
        &node.known_replicas,
        vec![transport::KnownReplica {
            replica_id: 0,
            disk_id: 1,
            address: core_address,
            zone: "z0".into(),
            start_count: 1,
        }],
    );
    Scene {
        node,
        front,
        held,
        proves,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_told_and_not_proved_is_not_served_and_whoever_asks_hears_so_at_once() {
    let mut scene = scene().await;
    // A second conn that begins with what the first one told: the bill is here, and unproved.
    drop(
        soon("what is held", scene.held.wait_for(|held| *held > 0))
            .await
            .expect("a seat"),
    );
    for (path, body) in [("/x/1", 2), ("/nowhere/", 2), ("/x/1", 5_000)] {
        let heard = soon("an answer", says(&scene.front, path, body)).await;
        assert!(
            heard.starts_with("http/1.1 503"),
            "neither 404 nor 413: {heard}"
        );
        assert!(
            heard.contains("retry-after: 0.3") && heard.contains("x-gradeford-try: t-1"),
            "{heard}"
        );
    }
    assert!(!scene.node.is_ready());
    assert_eq!(
        scene.node.follower.verified_state.load().snapshot.position,
        0,
        "nobody in this process sees what is not proved"
    );
    scene.proves.send_replace(true);
    let mut moved = scene.node.follower.changes.clone();
    while !scene.node.is_ready() {
        drop(soon("a proof", moved.changed()).await);
    }
    assert!(
        soon("an answer", says(&scene.front, "/nowhere/", 2))
            .await
            .starts_with("http/1.1 404")
    );
    assert!(
        soon("an answer", says(&scene.front, "/x/1", 5_000))
            .await
            .starts_with("http/1.1 413")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_not_served_for_mates_before_it_is_known_who_holds_it() {
    let scene = scene().await;
    let process = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = process.local_addr().expect("an address").to_string();
    // It was granted all keys before the node began anew; who holds them now nobody here can say.
    let holds = vec![(0, u16::MAX, 1)];
    let (name, service, zone) = ("a".to_string(), "seat".to_string(), "z0".to_string());
    let beat = endpoints::Heartbeat {
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
        soon("an answer", scene.node.lease_table.heartbeat(beat)).await,
        Some(None),
        "nothing can be granted"
    );
    let cue = transport::ForwardedRequest {
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
    // Until the owner of the slots has heard of the back end it knows nobody of that name.
    let cause = async {
        loop {
            let trouble = scene
                .node
                .listener
                .proxy
                .limiter
                .perform(Box::new(cue.clone()))
                .await
                .0
                .expect_err("nobody answers there");
            if trouble.kind != ErrorKind::WrongIncarnation {
                return trouble.kind;
            }
            tokio::task::yield_now().await;
        }
    };
    assert_eq!(soon("a refusal", cause).await, ErrorKind::KeyWithoutHolder);
}
