//! Sizes and faults of a run, and the checks that they are valid and fit this machine.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::PathBuf;

/// Parts of a node that run. The difference between two runs with different parts is the cost of one part.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeParts {
    /// Only the follower of the log. The records of other nodes are synthetic.
    #[serde(rename = "following")]
    Follower,
    /// The follower, and the lease table for the local backend with its status reports.
    #[serde(rename = "troupe")]
    LeaseTable,
    /// Everything that the daemon starts, including the monitoring ring and the rebalancing of shards.
    #[serde(rename = "whole")]
    Full,
}

impl NodeParts {
    /// Returns the parts that a value of `--parts` names.
    pub fn named(name: &str) -> Option<NodeParts> {
        [
            ("following", NodeParts::Follower),
            ("troupe", NodeParts::LeaseTable),
            ("whole", NodeParts::Full),
        ]
        .into_iter()
        .find(|(known, _)| *known == name)
        .map(|(_, parts)| parts)
    }
}

/// Sizes, stages and faults of a run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Plan {
    pub nodes: usize,
    pub services: usize,
    pub zones: usize,
    pub regions: usize,
    /// Replicas of the log.
    #[serde(rename = "seats")]
    pub replicas: usize,
    #[serde(rename = "lanes")]
    pub routes: usize,
    /// Length of the stage without events, and the time over which changes and restarts are spread, in seconds.
    pub seconds: u64,
    /// Route changes, one after the other.
    pub changes: usize,
    /// Planned restarts of nodes.
    pub restarts: usize,
    /// Machines that fail at the same time without notice.
    #[serde(rename = "lost")]
    pub lost_machines: usize,
    /// One-way delay between regions, in microseconds. Above 0, every process is reached through a simulated link.
    #[serde(rename = "hop")]
    pub hop_us: u64,
    /// Time for which the last region is partitioned from the others, in seconds.
    #[serde(rename = "cut")]
    pub cut_seconds: u64,
    pub parts: NodeParts,
    /// Folder of the replicas' files. It is deleted after the run.
    #[serde(skip)]
    pub folder: PathBuf,
}

/// A flag and the reason why its value is invalid.
pub type FlagError = (&'static str, String);

/// Share of this machine's memory that a run may use, in percent: somewhat less than half.
const MEMORY_PERCENT: u64 = 45;
/// Memory of a node without the records of other nodes, in bytes (docs/CAPACITY.md).
const NODE_BYTES: u64 = 1_400_000;
/// Memory of a node for each other backend that it knows, in bytes (docs/CAPACITY.md).
const KNOWN_BACKEND_BYTES: u64 = 1_300;

impl Plan {
    /// Returns the invalid flags. `is_run` is false if the plan is only counted, which needs no descriptors and
    /// little memory.
    pub fn flag_errors(&self, is_run: bool) -> Vec<FlagError> {
        let check_range = |flag: &'static str, value: usize, min: usize, max: usize| {
            (value < min || value > max)
                .then(|| (flag, format!("{value} is not from {min} to {max}")))
        };
        let ranges = [
            check_range("--nodes", self.nodes, 1, 4_096),
            check_range("--services", self.services, 1, self.nodes),
            check_range("--zones", self.zones, 1, self.nodes.min(200)),
            check_range("--regions", self.regions, 1, self.zones),
            check_range("--seats", self.replicas, 1, 15),
            check_range("--lanes", self.routes, 1, 100_000),
            check_range("--seconds", self.seconds as usize, 1, 3_600),
            check_range("--changes", self.changes, 0, 100_000),
            check_range("--restarts", self.restarts, 0, self.nodes),
            check_range(
                "--lost",
                self.lost_machines,
                0,
                self.nodes.saturating_sub(1),
            ),
            check_range("--hop", self.hop_us as usize, 0, 1_000_000),
            check_range("--cut", self.cut_seconds as usize, 0, 3_600),
        ];
        let cut_error = (self.cut_seconds > 0 && self.regions < 2)
            .then(|| ("--cut", "there is only one region".to_string()));
        let parts_error = (self.parts != NodeParts::Full
            && (self.restarts + self.lost_machines) as u64 + self.cut_seconds > 0)
            .then(|| {
                (
                    "--parts",
                    "restarts, lost machines and cuts need whole nodes".to_string(),
                )
            });
        let (needed, allowed) = (self.descriptors(), descriptor_limit());
        let descriptor_error = (is_run && needed > allowed).then(|| {
            (
                "--nodes",
                format!(
                    "{} nodes need {needed} descriptors, {allowed} are allowed",
                    self.nodes
                ),
            )
        });
        let (needed, allowed) = (
            self.memory() >> 20,
            (machine_memory() / 100 * MEMORY_PERCENT) >> 20,
        );
        let memory_error = (is_run && needed > allowed).then(|| {
            (
                "--nodes",
                format!(
                    "{} nodes need {needed} MB, {allowed} may be used",
                    self.nodes
                ),
            )
        });
        ranges
            .into_iter()
            .flatten()
            .chain(cut_error)
            .chain(parts_error)
            .chain(descriptor_error)
            .chain(memory_error)
            .collect()
    }

    /// Returns an estimate of the file descriptors needed. Both ends of every connection are in this process, and
    /// with links the relay's two ends come in addition.
    pub fn descriptors(&self) -> u64 {
        let per_node = match self.parts {
            NodeParts::Follower => 8,
            NodeParts::LeaseTable => 11,
            NodeParts::Full => 17,
        };
        self.nodes as u64
            * if self.has_links() {
                per_node * 2
            } else {
                per_node
            }
            + 500
    }

    /// Returns an estimate of the memory needed, in bytes.
    pub fn memory(&self) -> u64 {
        let nodes = self.nodes as u64;
        nodes * (NODE_BYTES * if self.has_links() { 2 } else { 1 } + nodes * KNOWN_BACKEND_BYTES)
    }

    /// Returns whether the processes are connected through simulated links.
    pub fn has_links(&self) -> bool {
        self.hop_us > 0 || self.cut_seconds > 0
    }

    pub fn zone(&self, index: usize) -> String {
        format!("z{}", index % self.zones)
    }

    pub fn region(&self, index: usize) -> usize {
        index % self.zones % self.regions
    }

    pub fn service(&self, index: usize) -> String {
        format!("s{}", index % self.services)
    }

    /// Returns whether a service is sharded by key, as every second one is.
    pub fn keyed(&self, service: usize) -> bool {
        service.is_multiple_of(2)
    }

    fn route_put(&self, index: usize, version: u64) -> model::cluster_state::items::ItemPut {
        let body = model::cluster_state::ItemBody::Route(model::cluster_state::Route {
            host: format!("h{}.site", index % self.services),
            prefix: format!("/p{index}/"),
            idempotent: true,
            wait_us: 3_000_000,
            latency_target_us: 400_000 + version,
            rank: (index % 4) as u8,
            dispatches: 2,
            shares: vec![(self.service(index), 1)],
        });
        model::cluster_state::items::ItemPut {
            name: format!("l{index}"),
            version,
            text: serde_json::to_string(&body).unwrap_or_default(),
            body,
        }
    }

    /// Returns the change that creates all services and routes.
    pub fn initial_items(&self) -> model::cluster_state::ItemCall {
        let services = (0..self.services).map(|index| {
            let service = model::cluster_state::Service {
                health_path: "/health".into(),
                max_connections: 0,
                keyed: self.keyed(index),
                slow_start_us: 0,
            };
            let body = model::cluster_state::ItemBody::Service(service);
            model::cluster_state::items::ItemPut {
                name: self.service(index),
                version: 1,
                text: serde_json::to_string(&body).unwrap_or_default(),
                body,
            }
        });
        let routes = (0..self.routes).map(|index| self.route_put(index, 1));
        model::cluster_state::ItemCall {
            puts: services.chain(routes).collect(),
            drops: Vec::new(),
        }
    }

    /// Returns the change of the given number, which rewrites one route.
    pub fn route_change(&self, number: usize) -> model::cluster_state::ItemCall {
        model::cluster_state::ItemCall {
            puts: vec![self.route_put(number % self.routes, number as u64 + 2)],
            drops: Vec::new(),
        }
    }

    /// Returns a loopback address for each process. Other runs on this machine use other addresses.
    pub fn host(&self, index: usize) -> crate::network::Host {
        let run = 64 + std::process::id() % 128;
        IpAddr::V4(Ipv4Addr::new(
            127,
            run as u8,
            (index / 250) as u8 + 1,
            (index % 250) as u8 + 1,
        ))
    }
}

fn descriptor_limit() -> u64 {
    rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX)
}

/// Returns the machine's memory in bytes, or 0 if it is unknown.
fn machine_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("MemTotal:"));
    line.and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kilobytes| kilobytes.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}
