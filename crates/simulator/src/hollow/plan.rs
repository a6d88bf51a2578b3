//! How many of what a hollow site has, what befalls it, and what of that does not fit this machine.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::PathBuf;

/// What of a node is played: all of it, or less, so that the difference of two runs is one part's cost.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Parts {
    /// Only the line to a core seat; what it is told of others is made up.
    Following,
    /// And the owner of the back end beside it, with its reports.
    Troupe,
    /// All that the daemon starts: also the ring and the duty of placing keys.
    Whole,
}

impl Parts {
    pub fn named(name: &str) -> Option<Parts> {
        [
            ("following", Parts::Following),
            ("troupe", Parts::Troupe),
            ("whole", Parts::Whole),
        ]
        .into_iter()
        .find(|(held, _)| *held == name)
        .map(|(_, parts)| parts)
    }
}

#[derive(Clone, Debug, serde::Serialize)]
pub struct Plan {
    pub nodes: usize,
    pub services: usize,
    pub zones: usize,
    pub regions: usize,
    pub seats: usize,
    pub lanes: usize,
    /// How long it rests, and over how long changes and restarts are spread.
    pub seconds: u64,
    pub changes: usize,
    pub restarts: usize,
    /// Machines that go at once and without a word.
    pub lost: usize,
    /// One way between regions, in microseconds; above 0 links stand before every process.
    pub hop: u64,
    /// For how many seconds the last region is cut off.
    pub cut: u64,
    pub parts: Parts,
    #[serde(skip)]
    pub folder: PathBuf,
}

/// A flag and what is wrong with it.
pub type Fault = (&'static str, String);

/// As far as a hollow site may go with this machine's memory: somewhat less than half of it.
const MEMORY_PART: u64 = 45;
/// Bytes a node was seen to need, whatever the site, and for each other back end it knows (docs/CAPACITY.md).
const NODE_BYTES: u64 = 1_400_000;
const KNOWN_BYTES: u64 = 1_300;

impl Plan {
    /// `conns`: it is to be played, not only counted.
    pub fn faults(&self, conns: bool) -> Vec<Fault> {
        let range = |flag: &'static str, held: usize, least: usize, most: usize| {
            (held < least || held > most)
                .then(|| (flag, format!("{held} is not from {least} to {most}")))
        };
        let ranges = [
            range("--nodes", self.nodes, 1, 4_096),
            range("--services", self.services, 1, self.nodes),
            range("--zones", self.zones, 1, self.nodes.min(200)),
            range("--regions", self.regions, 1, self.zones),
            range("--seats", self.seats, 1, 15),
            range("--lanes", self.lanes, 1, 100_000),
            range("--seconds", self.seconds as usize, 1, 3_600),
            range("--changes", self.changes, 0, 100_000),
            range("--restarts", self.restarts, 0, self.nodes),
            range("--lost", self.lost, 0, self.nodes.saturating_sub(1)),
            range("--hop", self.hop as usize, 0, 1_000_000),
            range("--cut", self.cut as usize, 0, 3_600),
        ];
        let alone = (self.cut > 0 && self.regions < 2)
            .then(|| ("--cut", "there is only one region".to_string()));
        let partly = (self.parts != Parts::Whole
            && (self.restarts + self.lost) as u64 + self.cut > 0)
            .then(|| {
                (
                    "--parts",
                    "restarts, lost machines and cuts are for whole nodes".to_string(),
                )
            });
        let (needed, allowed) = (self.descriptors(), descriptors_allowed());
        let files = (conns && needed > allowed).then(|| {
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
            (memory_of_machine() / 100 * MEMORY_PART) >> 20,
        );
        let memory = (conns && needed > allowed).then(|| {
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
            .chain(alone)
            .chain(partly)
            .chain(files)
            .chain(memory)
            .collect()
    }

    /// Both ends of every conn are in this process; a link makes four of two.
    pub fn descriptors(&self) -> u64 {
        let own = match self.parts {
            Parts::Following => 8,
            Parts::Troupe => 11,
            Parts::Whole => 17,
        };
        self.nodes as u64 * if self.linked() { own * 2 } else { own } + 500
    }

    pub fn memory(&self) -> u64 {
        let nodes = self.nodes as u64;
        nodes * (NODE_BYTES * if self.linked() { 2 } else { 1 } + nodes * KNOWN_BYTES)
    }

    pub fn linked(&self) -> bool {
        self.hop > 0 || self.cut > 0
    }

    pub fn zone(&self, at: usize) -> String {
        format!("z{}", at % self.zones)
    }

    pub fn region(&self, at: usize) -> usize {
        at % self.zones % self.regions
    }

    pub fn service(&self, at: usize) -> String {
        format!("s{}", at % self.services)
    }

    /// Every other service is divided by key.
    pub fn keyed(&self, service: usize) -> bool {
        service.is_multiple_of(2)
    }

    fn lane(&self, at: usize, version: u64) -> model::cluster_state::items::ItemPut {
        let body = model::cluster_state::ItemBody::Route(model::cluster_state::Route {
            host: format!("h{}.site", at % self.services),
            prefix: format!("/p{at}/"),
            idempotent: true,
            wait_us: 3_000_000,
            latency_target_us: 400_000 + version,
            rank: (at % 4) as u8,
            dispatches: 2,
            shares: vec![(self.service(at), 1)],
        });
        model::cluster_state::items::ItemPut {
            name: format!("l{at}"),
            version,
            text: serde_json::to_string(&body).unwrap_or_default(),
            body,
        }
    }

    /// All services and lanes, as the operators first write them.
    pub fn first_call(&self) -> model::cluster_state::ItemCall {
        let services = (0..self.services).map(|at| {
            let service = model::cluster_state::Service {
                health_path: "/health".into(),
                max_connections: 0,
                keyed: self.keyed(at),
                slow_start_us: 0,
            };
            let body = model::cluster_state::ItemBody::Service(service);
            model::cluster_state::items::ItemPut {
                name: self.service(at),
                version: 1,
                text: serde_json::to_string(&body).unwrap_or_default(),
                body,
            }
        });
        let lanes = (0..self.lanes).map(|at| self.lane(at, 1));
        model::cluster_state::ItemCall {
            puts: services.chain(lanes).collect(),
            drops: Vec::new(),
        }
    }

    /// One lane is written anew.
    pub fn change(&self, number: usize) -> model::cluster_state::ItemCall {
        model::cluster_state::ItemCall {
            puts: vec![self.lane(number % self.lanes, number as u64 + 2)],
            drops: Vec::new(),
        }
    }

    /// An address of the loopback for each process; other sites on this machine have others.
    pub fn host(&self, at: usize) -> crate::network::Host {
        let site = 64 + std::process::id() % 128;
        IpAddr::V4(Ipv4Addr::new(
            127,
            site as u8,
            (at / 250) as u8 + 1,
            (at % 250) as u8 + 1,
        ))
    }
}

fn descriptors_allowed() -> u64 {
    rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX)
}

fn memory_of_machine() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("MemTotal:"));
    line.and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kilobytes| kilobytes.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}
