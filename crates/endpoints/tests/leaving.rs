//! A node that is told to go (design 13.7).

use model::bill::{Body, Delta, Kind, Lane, Programme};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const BOUND: std::time::Duration = std::time::Duration::from_secs(30);
const DAY: std::time::Duration = std::time::Duration::from_secs(86_400);

async fn node() -> (endpoints::Node, String) {
    let keys = endpoints::KeysEnv { bound: 9_000_000, guard: 200_000, most: 10_000_000 };
    let own = ("n0".to_string(), "z0".to_string(), "127.0.0.1:1".to_string());
    let env = endpoints::NodeEnv {
        troupe: endpoints::TroupeEnv { node: own.0, zone: own.1, address: own.2, life: 1, keys, beat_every: 1_500_000, back_end: None, drain: 2_000_000 },
        service: "seat".into(),
        seeds: Vec::new(),
        words: http_util::words::OWN,
        pick: outbound::PickEnv { crossing: 15_000, earned_of_100: 8 },
        ahead: 1,
        ask_every: 1_000_000,
        watch_every: 500_000,
        watch_patience: 3_000_000,
    };
    let bind = async || tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let node = endpoints::Node::start(env, bind().await, model::log::quiet());
    let shares = vec![("seat".to_string(), 1)];
    let lane = Lane { host: "h".into(), prefix: "/a/".into(), repeatable: true, wait_us: 1_000_000, aim_us: 1_000_000, rank: 0, dispatches: 1, shares };
    let programme = Programme::default().told(true, 1, vec![Delta::Item(Kind::Lane, "a".into(), 1, Some(Body::Lane(lane)))]);
    node.following.outlook.store(std::sync::Arc::new(control::Outlook { programme: std::sync::Arc::new(programme), proved: 1 }));
    let senders = bind().await;
    let address = senders.local_addr().expect("an address").to_string();
    node.serve(senders);
    (node, address)
}

/// The status of a new conn's first answer.
async fn ask(address: &str) -> std::io::Result<String> {
    let mut conn = tokio::net::TcpStream::connect(address).await?;
    let request = format!("GET /b/ HTTP/1.1\r\nhost: h\r\n{}: t1\r\nconnection: close\r\n\r\n", http_util::words::OWN.try_id);
    conn.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    conn.read_to_string(&mut answer).await?;
    Ok(answer.lines().next().unwrap_or_default().to_string())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_told_to_go_is_not_ready_and_serves_until_its_senders_know() {
    let (node, address) = node().await;
    assert!(node.ready());
    // No lane begins there: an answer of its own, which it gives as long as it serves.
    let answered = async {
        let first = ask(&address).await;
        let ready = node.ready();
        (first.unwrap_or_default(), ready, ask(&address).await.unwrap_or_default())
    };
    let served = async {
        tokio::select! { biased; () = node.stop(DAY, BOUND) => None, answered = answered => Some(answered) }
    };
    let (first, ready, second) = tokio::time::timeout(BOUND, served).await.expect("an answer").expect("it has not gone yet");
    assert!(!ready, "whoever asks is told to send no more");
    assert!(first.contains("404") && second.contains("404"), "{first:?} {second:?}");
    tokio::time::timeout(BOUND, node.stop(std::time::Duration::ZERO, BOUND)).await.expect("nothing is under way");
    assert!(ask(&address).await.is_err(), "nobody is left to answer");
}
