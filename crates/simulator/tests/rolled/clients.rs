//! Clients that send attempts with distinct ids throughout the test, and an operator that adds routes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The complete answer to this attempt.
    Complete,
    /// An answer to another attempt, or one that cannot be parsed.
    Invalid,
    Status(u16),
    /// No connection, or one that ended without an answer.
    NoAnswer,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub id: String,
    pub effectful: bool,
    /// Number of the attempt's route.
    pub route: u64,
    /// Number of the newest route that the node had served when the attempt was sent.
    pub newest_served: u64,
    /// Whether no node may have been killed between the start and the end of the attempt.
    pub undisturbed: bool,
    pub outcome: Outcome,
}

pub(crate) struct Shared {
    /// The addresses at which the nodes accept client connections.
    client_addresses: Vec<String>,
    pub attempts: Mutex<Vec<Attempt>>,
    pub served: Vec<AtomicU64>,
    newest_served: Vec<AtomicU64>,
    /// Number of the newest accepted route.
    accepted: AtomicU64,
    /// Whether the test may kill nodes at present.
    pub kills_allowed: AtomicBool,
    /// Changes whenever `kills_allowed` is set.
    pub kill_phase: AtomicU64,
    stopped: AtomicBool,
}

pub(crate) struct Clients {
    pub shared: Arc<Shared>,
    tasks: Mutex<Vec<tokio::task::JoinHandle<()>>>,
}

const CLIENT_COUNT: usize = 8;

impl Clients {
    pub(crate) fn start(client_addresses: Vec<String>) -> Clients {
        let counts = || {
            (0..client_addresses.len())
                .map(|_| AtomicU64::new(0))
                .collect()
        };
        let (served, newest_served) = (counts(), counts());
        let shared = Shared {
            client_addresses,
            attempts: Default::default(),
            served,
            newest_served,
            accepted: Default::default(),
            kills_allowed: Default::default(),
            kill_phase: Default::default(),
            stopped: Default::default(),
        };
        let shared = Arc::new(shared);
        let tasks = (0..CLIENT_COUNT)
            .map(|client_index| tokio::spawn(run_client(client_index, shared.clone())))
            .collect();
        Clients {
            shared,
            tasks: Mutex::new(tasks),
        }
    }

    pub(crate) async fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("tasks"));
        for task in tasks {
            task.await.expect("a client task");
        }
    }
}

async fn run_client(client_index: usize, shared: Arc<Shared>) {
    let mut number = 0;
    while !shared.stopped.load(Ordering::SeqCst) {
        number += 1;
        let index = (client_index + number) % shared.client_addresses.len();
        let (effectful, newest_accepted) = (
            !number.is_multiple_of(3),
            shared.accepted.load(Ordering::SeqCst),
        );
        let newest_served = shared.newest_served[index].load(Ordering::SeqCst);
        // Alternates between the newest route and the newest route that this node has served.
        let route = if number.is_multiple_of(2) {
            newest_accepted
        } else {
            newest_served.max(1)
        };
        if newest_accepted == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let before = (
            shared.kill_phase.load(Ordering::SeqCst),
            shared.kills_allowed.load(Ordering::SeqCst),
        );
        let id = format!("try-{client_index}-{number}");
        let path_kind = if effectful { "e" } else { "p" };
        let outcome = send_one(
            &shared.client_addresses[index],
            &id,
            &format!("/{path_kind}{route}/x"),
            (client_index * 8_191 + number * 131) as u16,
        )
        .await;
        let undisturbed = !before.1 && before.0 == shared.kill_phase.load(Ordering::SeqCst);
        if outcome == Outcome::Complete {
            shared.served[index].fetch_add(1, Ordering::SeqCst);
            shared.newest_served[index].fetch_max(route, Ordering::SeqCst);
        }
        if matches!(outcome, Outcome::NoAnswer | Outcome::Status(_)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        shared.attempts.lock().expect("attempts").push(Attempt {
            id,
            effectful,
            route,
            newest_served,
            undisturbed,
            outcome,
        });
    }
}

async fn send_one(client_address: &str, id: &str, path: &str, key: u16) -> Outcome {
    let Ok(mut stream) = tokio::net::TcpStream::connect(client_address).await else {
        return Outcome::NoAnswer;
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-gradeford-try: {id}\r\nx-gradeford-key: {key}\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"
    );
    let mut response_bytes = Vec::new();
    if stream.write_all(head.as_bytes()).await.is_err()
        || stream.read_to_end(&mut response_bytes).await.is_err()
    {
        return Outcome::NoAnswer;
    }
    let response = String::from_utf8_lossy(&response_bytes).to_ascii_lowercase();
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return Outcome::NoAnswer;
    };
    let Some(status) = head
        .strip_prefix("http/1.1 ")
        .and_then(|rest| rest.get(..3)?.parse().ok())
    else {
        return Outcome::Invalid;
    };
    let is_own = crate::backend::header_value(head, "x-gradeford-try").as_deref() == Some(id);
    match status {
        _ if !is_own => Outcome::Invalid,
        200 if body == format!("ran {id}") => Outcome::Complete,
        200 => Outcome::Invalid,
        status => Outcome::Status(status),
    }
}

/// Adds one pair of routes after another until the clients stop.
pub(crate) async fn add_routes(replicas: Vec<control::ReplicaHandle>, shared: Arc<Shared>) {
    use model::cluster_state::{ItemBody, ItemCall, Route, Service};
    let put = |name: String, body| model::cluster_state::items::ItemPut {
        name,
        version: 1,
        body,
        text: String::new(),
    };
    let service = |name: &str, keyed| {
        put(
            name.into(),
            ItemBody::Service(Service {
                health_path: String::new(),
                max_connections: 0,
                keyed,
                slow_start_us: 0,
            }),
        )
    };
    let mut number = 0;
    while !shared.stopped.load(Ordering::SeqCst) {
        number += 1;
        let service_name = ["seat", "ledger"][number as usize % 2].to_string();
        let route = |path_kind: &str, idempotent| {
            let shares = vec![(service_name.clone(), 1)];
            let (host, prefix) = ("a.example".to_string(), format!("/{path_kind}{number}/"));
            let route = Route {
                host,
                prefix,
                idempotent,
                wait_us: 60_000_000,
                latency_target_us: 2_000_000,
                rank: 0,
                dispatches: 2,
                shares,
            };
            put(format!("{path_kind}{number}"), ItemBody::Route(route))
        };
        let puts = vec![
            service("seat", true),
            service("ledger", false),
            route("e", false),
            route("p", true),
        ];
        let outcome = replicas[number as usize % replicas.len()]
            .change_items(ItemCall {
                puts,
                drops: Vec::new(),
            })
            .await;
        if matches!(outcome, Some(model::Outcome::Accepted { .. })) {
            shared.accepted.store(number, Ordering::SeqCst);
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}
