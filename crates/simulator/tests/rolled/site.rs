//! The site of the test: three seats, nodes that come and go, an operator who adds routes.

use crate::node::Running;
use crate::senders::{Senders, Try};
use std::collections::HashMap;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub(crate) const NODES: usize = 4;
const SEATS: u16 = 3;
const BOUND: Duration = Duration::from_secs(240);

/// Try to how often it ran.
pub(crate) type Runs = Arc<Mutex<HashMap<String, usize>>>;
/// A node as those beside it find it: a later life takes the place.
pub(crate) type Beside = tokio::sync::watch::Sender<Option<endpoints::LeaseTableHandle>>;

pub(crate) struct Place {
    pub front: String,
    pub mates: String,
    pub beside: Beside,
}

pub(crate) struct Site {
    pub runs: Runs,
    places: Arc<Vec<Place>>,
    seeds: Vec<String>,
    nodes: Vec<Running>,
    lives: u64,
    /// The newest bill each node was seen with, in any life.
    had: Vec<u64>,
    senders: Senders,
    folder: PathBuf,
}

/// Even nodes stand beside a service that is divided by key.
pub(crate) fn service(at: usize) -> String {
    ["seat", "ledger"][at % 2].into()
}

pub(crate) async fn until(what: &str, holds: impl Fn() -> bool) {
    let turns = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(BOUND, turns)
        .await
        .unwrap_or_else(|_| panic!("in vain: {what}"));
}

fn free(host: &str) -> String {
    let listener = TcpListener::bind((host, 0)).expect("a port");
    listener.local_addr().expect("an address").to_string()
}

async fn seats(folder: &Path) -> (Vec<control::ReplicaHandle>, Vec<String>) {
    let mut bound = Vec::new();
    for _ in 0..SEATS {
        bound.push(
            tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port"),
        );
    }
    let places: Vec<String> = bound
        .iter()
        .map(|listener| listener.local_addr().expect("an address").to_string())
        .collect();
    let started = bound.into_iter().zip(0u16..).map(|(listener, seat)| {
        let env = control::ReplicaConfig {
            name: format!("core-{seat}"),
            zone: "z0".into(),
            replica_id: seat,
            replica_count: SEATS,
            address: places[seat as usize].clone(),
            seeds: places.clone(),
            folder: folder.join(format!("core-{seat}")),
            timing: Default::default(),
            snapshot_every_entries: 100,
            replace_after: 0,
            membership: None,
        };
        let core = control::ReplicaHandle::start(env, model::logging::discard_logger())
            .expect("a core seat");
        tokio::spawn(control::updates::server::listen(core.clone(), listener));
        core
    });
    let cores: Vec<control::ReplicaHandle> = started.collect();
    until("every seat votes", || {
        cores.iter().all(|core| core.status.load().voting)
    })
    .await;
    (cores, places)
}

impl Site {
    pub(crate) async fn start() -> Site {
        let folder = std::env::temp_dir().join(format!("gradeford-rolled-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&folder));
        let (cores, seeds) = seats(&folder).await;
        // Addresses of their own, so that no conn of another process takes one while its node is away.
        let place = |at: usize| {
            let host = format!("127.61.7.{}", at + 1);
            Place {
                front: free(&host),
                mates: free(&host),
                beside: tokio::sync::watch::Sender::new(None),
            }
        };
        let places: Arc<Vec<Place>> = Arc::new((0..NODES).map(place).collect());
        let runs = Runs::default();
        (0..NODES).for_each(|at| crate::back_end::start(at, places.clone(), runs.clone()));
        let senders = Senders::start(places.iter().map(|place| place.front.clone()).collect());
        tokio::spawn(crate::senders::operate(cores, senders.shared.clone()));
        let mut site = Site {
            runs,
            places,
            seeds,
            nodes: Vec::new(),
            lives: 0,
            had: vec![0; NODES],
            senders,
            folder,
        };
        for at in 0..NODES {
            site.lives += 1;
            site.nodes.push(Running::start(
                at,
                site.lives,
                &site.places[at],
                site.seeds.clone(),
            ));
        }
        site
    }

    pub(crate) fn tries(&self) -> Vec<Try> {
        self.senders.shared.tries.lock().expect("tries").clone()
    }

    pub(crate) fn killing(&self, killing: bool) {
        self.senders.shared.killing.store(killing, Ordering::SeqCst);
        self.senders.shared.phase.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn begin(&mut self, at: usize) {
        self.lives += 1;
        self.nodes[at] = Running::start(at, self.lives, &self.places[at], self.seeds.clone());
    }

    pub(crate) fn leave(&self, at: usize) {
        self.nodes[at].leave();
    }

    pub(crate) fn kill(&self, at: usize) {
        self.nodes[at].kill();
    }

    pub(crate) async fn gone(&mut self, at: usize) {
        self.nodes[at].gone().await;
        self.had[at] = self.had[at].max(self.nodes[at].position());
    }

    pub(crate) async fn stop(&mut self, at: usize) {
        self.leave(at);
        self.gone(at).await;
    }

    /// This life of the node has served a sender; what it believes is no older than what it had.
    pub(crate) async fn serves(&self, at: usize) {
        let (node, shared) = (&self.nodes[at], &self.senders.shared);
        until("a node believes something", || node.position() > 0).await;
        assert!(
            node.position() >= self.had[at],
            "node {at} came back at {}, it had {}",
            node.position(),
            self.had[at]
        );
        let before = shared.served[at].load(Ordering::SeqCst);
        until("a node serves", || {
            shared.served[at].load(Ordering::SeqCst) > before
        })
        .await;
    }

    pub(crate) async fn all_serve(&self) {
        for at in 0..NODES {
            self.serves(at).await;
        }
    }

    pub(crate) async fn end(&self) {
        self.senders.end().await;
        std::fs::remove_dir_all(&self.folder).unwrap_or_default();
    }
}
