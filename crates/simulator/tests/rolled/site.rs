//! The site of the test, with three replicas, nodes that are stopped and started, and an operator that adds routes.

use crate::clients::{Attempt, Clients};
use crate::node::RunningNode;
use std::collections::HashMap;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub(crate) const NODE_COUNT: usize = 4;
const REPLICA_COUNT: u16 = 3;
const WAIT_LIMIT: Duration = Duration::from_secs(240);

/// Number of runs of each attempt.
pub(crate) type Runs = Arc<Mutex<HashMap<String, usize>>>;
/// The lease table of the node's current process, as its backend reaches it.
pub(crate) type LeaseTableSender = tokio::sync::watch::Sender<Option<endpoints::LeaseTableHandle>>;

/// Addresses at which clients, other nodes and the backend reach a node.
pub(crate) struct NodeAddresses {
    pub client_address: String,
    pub peer_address: String,
    pub lease_table: LeaseTableSender,
}

pub(crate) struct Site {
    pub runs: Runs,
    node_addresses: Arc<Vec<NodeAddresses>>,
    seeds: Vec<String>,
    nodes: Vec<RunningNode>,
    last_incarnation: u64,
    /// The newest position that was observed at each node, over all of its processes.
    last_positions: Vec<u64>,
    clients: Clients,
    folder: PathBuf,
}

/// Returns the service of the backend beside a node. The service of nodes with an even index is keyed.
pub(crate) fn service(index: usize) -> String {
    ["seat", "ledger"][index % 2].into()
}

pub(crate) async fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let polling = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, polling)
        .await
        .unwrap_or_else(|_| panic!("condition not reached: {condition}"));
}

fn free_address(host: &str) -> String {
    let listener = TcpListener::bind((host, 0)).expect("a port");
    listener.local_addr().expect("an address").to_string()
}

async fn start_replicas(folder: &Path) -> (Vec<control::ReplicaHandle>, Vec<String>) {
    let mut listeners = Vec::new();
    for _ in 0..REPLICA_COUNT {
        listeners.push(
            tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port"),
        );
    }
    let replica_addresses: Vec<String> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address").to_string())
        .collect();
    let starting = listeners
        .into_iter()
        .zip(0u16..)
        .map(|(listener, replica_index)| {
            let config = control::ReplicaConfig {
                name: format!("core-{replica_index}"),
                zone: "z0".into(),
                replica_id: replica_index,
                replica_count: REPLICA_COUNT,
                address: replica_addresses[replica_index as usize].clone(),
                seeds: replica_addresses.clone(),
                folder: folder.join(format!("core-{replica_index}")),
                timing: Default::default(),
                snapshot_every_entries: 100,
                replace_after: 0,
                membership: None,
            };
            let replica = control::ReplicaHandle::start(config, model::logging::discard_logger())
                .expect("a replica");
            tokio::spawn(control::updates::server::listen(replica.clone(), listener));
            replica
        });
    let replicas: Vec<control::ReplicaHandle> = starting.collect();
    wait_until("every replica votes", || {
        replicas.iter().all(|replica| replica.status.load().voting)
    })
    .await;
    (replicas, replica_addresses)
}

impl Site {
    pub(crate) async fn start() -> Site {
        let folder = std::env::temp_dir().join(format!("gradeford-rolled-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&folder));
        let (replicas, seeds) = start_replicas(&folder).await;
        // The hosts are used by this test alone, so that no other process binds the port of a stopped node.
        let addresses = |index: usize| {
            let host = format!("127.61.7.{}", index + 1);
            NodeAddresses {
                client_address: free_address(&host),
                peer_address: free_address(&host),
                lease_table: tokio::sync::watch::Sender::new(None),
            }
        };
        let node_addresses: Arc<Vec<NodeAddresses>> =
            Arc::new((0..NODE_COUNT).map(addresses).collect());
        let runs = Runs::default();
        (0..NODE_COUNT)
            .for_each(|index| crate::backend::start(index, node_addresses.clone(), runs.clone()));
        let clients = Clients::start(
            node_addresses
                .iter()
                .map(|addresses| addresses.client_address.clone())
                .collect(),
        );
        tokio::spawn(crate::clients::add_routes(replicas, clients.shared.clone()));
        let mut site = Site {
            runs,
            node_addresses,
            seeds,
            nodes: Vec::new(),
            last_incarnation: 0,
            last_positions: vec![0; NODE_COUNT],
            clients,
            folder,
        };
        for index in 0..NODE_COUNT {
            site.last_incarnation += 1;
            site.nodes.push(RunningNode::start(
                index,
                site.last_incarnation,
                &site.node_addresses[index],
                site.seeds.clone(),
            ));
        }
        site
    }

    pub(crate) fn attempts(&self) -> Vec<Attempt> {
        self.clients
            .shared
            .attempts
            .lock()
            .expect("attempts")
            .clone()
    }

    pub(crate) fn allow_kills(&self, kills_allowed: bool) {
        self.clients
            .shared
            .kills_allowed
            .store(kills_allowed, Ordering::SeqCst);
        self.clients
            .shared
            .kill_phase
            .fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn start_node(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.nodes[index] = RunningNode::start(
            index,
            self.last_incarnation,
            &self.node_addresses[index],
            self.seeds.clone(),
        );
    }

    pub(crate) fn shut_down(&self, index: usize) {
        self.nodes[index].shut_down();
    }

    pub(crate) fn kill_node(&self, index: usize) {
        self.nodes[index].kill();
    }

    pub(crate) async fn wait_until_ended(&mut self, index: usize) {
        self.nodes[index].wait_until_ended().await;
        self.last_positions[index] = self.last_positions[index].max(self.nodes[index].position());
    }

    pub(crate) async fn stop_node(&mut self, index: usize) {
        self.shut_down(index);
        self.wait_until_ended(index).await;
    }

    /// Waits until the current process of the node has served a client. Its state must not be older than that of the previous
    /// process.
    pub(crate) async fn wait_until_serving(&self, index: usize) {
        let (node, shared) = (&self.nodes[index], &self.clients.shared);
        wait_until("a node holds a state", || node.position() > 0).await;
        assert!(
            node.position() >= self.last_positions[index],
            "node {index} restarted at position {}, it had {}",
            node.position(),
            self.last_positions[index]
        );
        let before = shared.served[index].load(Ordering::SeqCst);
        wait_until("a node serves", || {
            shared.served[index].load(Ordering::SeqCst) > before
        })
        .await;
    }

    pub(crate) async fn wait_until_all_serving(&self) {
        for index in 0..NODE_COUNT {
            self.wait_until_serving(index).await;
        }
    }

    pub(crate) async fn stop_all(&self) {
        self.clients.stop().await;
        std::fs::remove_dir_all(&self.folder).unwrap_or_default();
    }
}
