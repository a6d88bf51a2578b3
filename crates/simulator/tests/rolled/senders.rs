//! Live senders, each try with an identity of its own, and an operator who adds a route now and then.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// Its own answer, all of it.
    Whole,
    Other,
    Status(u16),
    /// No conn, or one that ended without an answer.
    Broken,
}

#[derive(Clone, Debug)]
pub(crate) struct Try {
    pub id: String,
    pub effectful: bool,
    /// The number of its route, and of the newest one its node had served from when it was sent.
    pub lane: u64,
    pub shown: u64,
    /// Nothing was killed from its beginning to its end.
    pub clean: bool,
    pub outcome: Outcome,
}

pub(crate) struct Shared {
    fronts: Vec<String>,
    pub tries: Mutex<Vec<Try>>,
    pub served: Vec<AtomicU64>,
    shown: Vec<AtomicU64>,
    /// The newest route that was accepted.
    accepted: AtomicU64,
    pub killing: AtomicBool,
    pub phase: AtomicU64,
    over: AtomicBool,
}

pub(crate) struct Senders {
    pub shared: Arc<Shared>,
    tasks: Mutex<Vec<tokio::task::JoinHandle<()>>>,
}

const SENDERS: usize = 8;

impl Senders {
    pub(crate) fn start(fronts: Vec<String>) -> Senders {
        let counts = || (0..fronts.len()).map(|_| AtomicU64::new(0)).collect();
        let (served, shown) = (counts(), counts());
        let shared = Shared {
            fronts,
            tries: Default::default(),
            served,
            shown,
            accepted: Default::default(),
            killing: Default::default(),
            phase: Default::default(),
            over: Default::default(),
        };
        let shared = Arc::new(shared);
        let tasks = (0..SENDERS)
            .map(|sender| tokio::spawn(send(sender, shared.clone())))
            .collect();
        Senders {
            shared,
            tasks: Mutex::new(tasks),
        }
    }

    pub(crate) async fn end(&self) {
        self.shared.over.store(true, Ordering::SeqCst);
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("tasks"));
        for task in tasks {
            task.await.expect("a sender");
        }
    }
}

async fn send(sender: usize, shared: Arc<Shared>) {
    let mut number = 0;
    while !shared.over.load(Ordering::SeqCst) {
        number += 1;
        let at = (sender + number) % shared.fronts.len();
        let (effectful, newest) = (
            !number.is_multiple_of(3),
            shared.accepted.load(Ordering::SeqCst),
        );
        let shown = shared.shown[at].load(Ordering::SeqCst);
        // The newest there is, and by turns the newest this node has served from.
        let lane = if number.is_multiple_of(2) {
            newest
        } else {
            shown.max(1)
        };
        if newest == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let before = (
            shared.phase.load(Ordering::SeqCst),
            shared.killing.load(Ordering::SeqCst),
        );
        let id = format!("try-{sender}-{number}");
        let kind = if effectful { "e" } else { "p" };
        let outcome = one(
            &shared.fronts[at],
            &id,
            &format!("/{kind}{lane}/x"),
            (sender * 8_191 + number * 131) as u16,
        )
        .await;
        let clean = !before.1 && before.0 == shared.phase.load(Ordering::SeqCst);
        if outcome == Outcome::Whole {
            shared.served[at].fetch_add(1, Ordering::SeqCst);
            shared.shown[at].fetch_max(lane, Ordering::SeqCst);
        }
        if matches!(outcome, Outcome::Broken | Outcome::Status(_)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        shared.tries.lock().expect("tries").push(Try {
            id,
            effectful,
            lane,
            shown,
            clean,
            outcome,
        });
    }
}

async fn one(front: &str, id: &str, path: &str, key: u16) -> Outcome {
    let Ok(mut stream) = tokio::net::TcpStream::connect(front).await else {
        return Outcome::Broken;
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-gradeford-try: {id}\r\nx-gradeford-key: {key}\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"
    );
    let mut heard = Vec::new();
    if stream.write_all(head.as_bytes()).await.is_err()
        || stream.read_to_end(&mut heard).await.is_err()
    {
        return Outcome::Broken;
    }
    let heard = String::from_utf8_lossy(&heard).to_ascii_lowercase();
    let Some((head, body)) = heard.split_once("\r\n\r\n") else {
        return Outcome::Broken;
    };
    let Some(status) = head
        .strip_prefix("http/1.1 ")
        .and_then(|rest| rest.get(..3)?.parse().ok())
    else {
        return Outcome::Other;
    };
    let own = crate::back_end::said(head, "x-gradeford-try").as_deref() == Some(id);
    match status {
        _ if !own => Outcome::Other,
        200 if body == format!("ran {id}") => Outcome::Whole,
        200 => Outcome::Other,
        status => Outcome::Status(status),
    }
}

/// A pair of routes after the other, for as long as senders send.
pub(crate) async fn operate(cores: Vec<control::ReplicaHandle>, shared: Arc<Shared>) {
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
    while !shared.over.load(Ordering::SeqCst) {
        number += 1;
        let service_name = ["seat", "ledger"][number as usize % 2].to_string();
        let lane = |kind: &str, repeatable| {
            let shares = vec![(service_name.clone(), 1)];
            let (host, prefix) = ("a.example".to_string(), format!("/{kind}{number}/"));
            let lane = Route {
                host,
                prefix,
                idempotent: repeatable,
                wait_us: 60_000_000,
                latency_target_us: 2_000_000,
                rank: 0,
                dispatches: 2,
                shares,
            };
            put(format!("{kind}{number}"), ItemBody::Route(lane))
        };
        let puts = vec![
            service("seat", true),
            service("ledger", false),
            lane("e", false),
            lane("p", true),
        ];
        let outcome = cores[number as usize % cores.len()]
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
