//! Operators of a run: they change single or many routes in a call, send invalid calls, repeat
//! acknowledged calls and read the configuration back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::clock::{Clock, Micros};
use crate::history::{
    CallRecord, ConfigurationRead, Effect, Finding, History, RouteHistory, RouteVersion,
};
use crate::http::{self, HttpRequest};
use crate::site::{
    BATCH_HOST, BATCH_SERVICE, CONTROL_PORT, Machine, ROUTED_SERVICES, SERVICES, Site,
};

const AMEND_PATH: &str = "/Config.Amend";
const READ_PATH: &str = "/Config.Read";
/// Timeout of a call, after which an operator tries another core machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the timeout for each route in the call.
const CALL_TIMEOUT_PER_ROUTE: Duration = Duration::from_millis(3);
/// Delay before the first retry of a call; it doubles with each retry up to the maximum.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of concurrent calls of one operator.
const MAX_CONCURRENT_CALLS: usize = 8;
/// Number of routes that are in the first configuration and never change.
const STABLE_ROUTE_COUNT: usize = 8;
/// Number of hosts over which the routes are spread.
const HOST_COUNT: usize = 6;
/// Interval between two reads of the configuration.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of the configuration for a body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Timeout and latency target of the route to the batch service.
const BATCH_TIMEOUT: &str = "20s";
const OK: u16 = 200;
/// Statuses of refusals after which a call is not retried.
const FINAL_REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];

/// The core machines that operators can call, by number; updated when one is replaced.
pub type CallableCores = watch::Receiver<Vec<usize>>;

/// Rate and size of an operator's calls.
#[derive(Clone, Copy, Debug)]
pub struct OperatorPace {
    /// Longest pause between two calls, in milliseconds.
    pub max_pause_ms: u64,
    /// Number of routes that the largest calls add.
    pub largest_addition: usize,
}

/// Sends calls and reads to the core machines and records their results; shared by the tasks of all
/// operators.
#[derive(Clone)]
pub struct ConfigurationClient {
    /// The site of the run.
    pub site: Arc<Site>,
    /// The clock of the run.
    pub clock: Clock,
    /// Records of the run.
    pub history: Arc<History>,
    /// The core machines to call.
    pub cores: CallableCores,
}

/// New versions of routes that are sent in one call.
#[derive(Clone, Debug)]
struct Change {
    routes: Vec<(String, RouteVersion)>,
    /// Index of the call in the records, once it is recorded.
    call: usize,
}

impl Change {
    fn new(routes: Vec<(String, RouteVersion)>) -> Change {
        Change { routes, call: 0 }
    }
}

/// The answer that ended a call: an acknowledgement or a final refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FinalAnswer {
    status: u16,
    at: Micros,
}

impl ConfigurationClient {
    /// Sends the first configuration, with retries, until a core machine accepts or refuses it.
    pub async fn send_first_configuration(&self) {
        let services = SERVICES.iter().enumerate().map(|(index, name)| {
            json!({
                "kind_tag": "service_list",
                "metadata": { "name": name, "version": "00000001" },
                "definition": {
                    "health_path": "/health", "max_conns": 500, "protocol": "h1", "tls": false,
                    "sharded": index == 0, "warm": "0s", "grant_list": "heartbeat",
                },
            })
        });
        let limits = json!({
            "kind_tag": "limit_set",
            "metadata": { "version": "00000001" },
            "definition": {
                "max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
                "header_timeout": "3000ms", "idle_timeout": "15000ms",
            },
        });
        let routes: Vec<(String, RouteVersion)> = (0..STABLE_ROUTE_COUNT)
            .map(|index| {
                let effect = Effect::Service(index % ROUTED_SERVICES);
                (format!("stable-{index}"), self.version(1, effect))
            })
            .collect();
        let mut change = Change::new(routes);
        let batch_route = json!({
            "kind_tag": "route_list",
            "metadata": { "name": "batch", "version": "00000001" },
            "definition": {
                "host_name": BATCH_HOST, "path_prefix": "/", "variant": "effectful",
                "timeout": BATCH_TIMEOUT, "target": BATCH_TIMEOUT, "priority": 1,
                "service_ref": BATCH_SERVICE, "max_tries": 2,
            },
        });
        let mut items: Vec<Value> = services.chain([limits, batch_route]).collect();
        items.extend(self.record(&mut change, true));
        let body = json!({ "upserts": { "resource_list": items } }).to_string();
        let answer = self.call(&body, change.routes.len(), 0).await;
        self.record_result(&change, answer);
    }

    /// Reads the configuration at regular intervals until the run ends.
    pub async fn poll_configuration(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        loop {
            sleep(READ_INTERVAL).await;
            let Some(core) = self.choose_core(&mut rng) else {
                continue;
            };
            let address = self.site.address(Machine::Core(core), CONTROL_PORT);
            let sent_at = self.clock.now();
            let answer = http::call_once(address, read_request(), CALL_TIMEOUT).await;
            let Ok(answer) = answer else { continue };
            if answer.status().as_u16() == OK {
                let read = ConfigurationRead {
                    core,
                    sent_at,
                    answered_at: self.clock.now(),
                    versions: route_versions(answer.body()),
                };
                self.history.lock().reads.push(read);
            }
        }
    }

    fn version(&self, version: u64, effect: Effect) -> RouteVersion {
        RouteVersion {
            version,
            effect,
            sent_at: self.clock.now(),
            acknowledged_at: None,
        }
    }

    /// Records the call and the versions of a change as sent, and returns the items of those versions
    /// that set a route.
    fn record(&self, change: &mut Change, is_stable: bool) -> Vec<Value> {
        let mut records = self.history.lock();
        let mut items = Vec::new();
        change.call = records.calls.len();
        if let Some((_, version)) = change.routes.first() {
            records.calls.push(CallRecord {
                sent_at: version.sent_at,
                routes: change.routes.len(),
                acknowledged_at: None,
            });
        }
        for (name, version) in &change.routes {
            let host = format!("host-{}.example", name.len() * 7 % HOST_COUNT);
            let prefix = format!("/{name}/");
            let entry = records.routes.entry(name.clone());
            let route = entry.or_insert_with(|| RouteHistory {
                host,
                prefix,
                versions: Vec::new(),
                is_stable,
            });
            route.versions.push(*version);
            items.extend(route_item(name, route, version));
        }
        items
    }

    /// Sends the same call to one core machine after the other until a final answer arrives.
    async fn call(&self, body: &str, routes: usize, seed: u64) -> FinalAnswer {
        let mut rng = StdRng::seed_from_u64(seed);
        let call_timeout = CALL_TIMEOUT + CALL_TIMEOUT_PER_ROUTE * routes as u32;
        let mut pause = FIRST_RETRY_DELAY;
        let mut attempt = rng.random_range(0..self.site.cores);
        loop {
            if let Some(core) = self.core_for_attempt(attempt) {
                let address = self.site.address(Machine::Core(core), CONTROL_PORT);
                let request = http::post_json(AMEND_PATH, body.to_string());
                let answer = http::call_once(address, request, call_timeout).await;
                let status = answer.map_or(0, |answer| answer.status().as_u16());
                if status == OK || FINAL_REFUSALS.contains(&status) {
                    let at = self.clock.now();
                    return FinalAnswer { status, at };
                }
            }
            attempt += 1;
            sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn choose_core(&self, rng: &mut StdRng) -> Option<usize> {
        self.cores.borrow().choose(rng).copied()
    }

    /// Returns the core machine for an attempt: each retry goes to the next machine.
    fn core_for_attempt(&self, attempt: usize) -> Option<usize> {
        let cores = self.cores.borrow();
        cores.get(attempt % cores.len().max(1)).copied()
    }

    fn record_result(&self, change: &Change, answer: FinalAnswer) {
        for (route, version) in &change.routes {
            if answer.status == OK {
                self.history
                    .record_acknowledgement(route, version.version, answer.at);
            }
        }
        let mut records = self.history.lock();
        if answer.status == OK {
            if let Some(call) = records.calls.get_mut(change.call) {
                call.acknowledged_at.get_or_insert(answer.at);
            }
        } else {
            let route = change.routes.first().map(|(route, _)| route.clone());
            records.findings.push(Finding::ValidCallRefused {
                route: route.unwrap_or_default(),
                status: answer.status,
            });
        }
    }
}

/// An operator that changes its own set of routes.
pub struct Operator {
    config_client: ConfigurationClient,
    /// Number of the operator, which is part of the names of its routes.
    number: usize,
    pace: OperatorPace,
    rng: StdRng,
    /// The operator's routes with their latest versions.
    routes: BTreeMap<String, RouteVersion>,
    /// Routes with a call in progress.
    routes_in_progress: BTreeSet<String>,
    added: usize,
}

/// The change of a finished call; `None` for an invalid call, which changes nothing.
type FinishedCall = Option<Change>;

impl Operator {
    /// Creates an operator; the seed determines its calls and pauses.
    pub fn new(
        config_client: ConfigurationClient,
        number: usize,
        pace: OperatorPace,
        seed: u64,
    ) -> Operator {
        Operator {
            config_client,
            number,
            pace,
            rng: StdRng::seed_from_u64(seed),
            routes: BTreeMap::new(),
            routes_in_progress: BTreeSet::new(),
            added: 0,
        }
    }

    /// Sends calls, several of them concurrently, until the run ends.
    pub async fn run(mut self) {
        let mut calls: JoinSet<FinishedCall> = JoinSet::new();
        loop {
            while let Some(finished) = calls.try_join_next() {
                self.finish(finished.ok().flatten());
            }
            if calls.len() >= MAX_CONCURRENT_CALLS {
                if let Some(finished) = calls.join_next().await {
                    self.finish(finished.ok().flatten());
                }
                continue;
            }
            // A burst starts several calls without a pause between them.
            let burst = if self.rng.random_bool(0.1) { 8 } else { 1 };
            for _ in 0..burst {
                self.start_call(&mut calls);
            }
            let pause = self.rng.random_range(0..=self.pace.max_pause_ms);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    fn finish(&mut self, finished: FinishedCall) {
        for (route, _) in finished.into_iter().flat_map(|change| change.routes) {
            self.routes_in_progress.remove(&route);
        }
    }

    fn start_call(&mut self, calls: &mut JoinSet<FinishedCall>) {
        match self.rng.random_range(0..100) {
            0..8 => self.send_invalid(calls),
            8..12 => {
                let count = self.pace.largest_addition;
                self.add_routes(calls, count);
            }
            12..45 => {
                let count = self.rng.random_range(1..=3);
                self.add_routes(calls, count);
            }
            _ => self.change_routes(calls),
        }
    }

    fn add_routes(&mut self, calls: &mut JoinSet<FinishedCall>, count: usize) {
        let routes = (0..count)
            .map(|_| {
                self.added += 1;
                let name = format!("op{}-{}", self.number, self.added);
                let effect = Effect::Service(self.rng.random_range(0..ROUTED_SERVICES));
                (name, self.config_client.version(1, effect))
            })
            .collect();
        self.send(calls, Change::new(routes));
    }

    fn change_routes(&mut self, calls: &mut JoinSet<FinishedCall>) {
        let free: Vec<String> = self
            .routes
            .keys()
            .filter(|name| !self.routes_in_progress.contains(*name))
            .cloned()
            .collect();
        let count = self.rng.random_range(1..=4);
        let chosen = free.choose_multiple(&mut self.rng, count).cloned();
        let chosen: Vec<String> = chosen.collect();
        let routes = chosen
            .into_iter()
            .map(|name| {
                let before = self.routes[&name];
                let version = before.version + self.rng.random_range(1..=5);
                let effect = self.other_effect(before.effect);
                (name, self.config_client.version(version, effect))
            })
            .collect();
        self.send(calls, Change::new(routes));
    }

    fn other_effect(&mut self, before: Effect) -> Effect {
        match before {
            Effect::Absent => Effect::Service(self.rng.random_range(0..ROUTED_SERVICES)),
            Effect::Service(_) if self.rng.random_bool(0.3) => Effect::Absent,
            Effect::Service(service) => Effect::Service((service + 1) % ROUTED_SERVICES),
        }
    }

    fn send(&mut self, calls: &mut JoinSet<FinishedCall>, mut change: Change) {
        if change.routes.is_empty() {
            return;
        }
        for (name, version) in &change.routes {
            self.routes_in_progress.insert(name.clone());
            self.routes.insert(name.clone(), *version);
        }
        let config_client = self.config_client.clone();
        let items = config_client.record(&mut change, false);
        let dropped: Vec<Value> = change
            .routes
            .iter()
            .filter(|(_, version)| version.effect == Effect::Absent)
            .map(|(name, version)| json!({ "name": name, "version": hex(version.version) }))
            .collect();
        let body = json!({
            "upserts": { "resource_list": items },
            "removals": { "route_list": dropped },
        })
        .to_string();
        let seed = self.rng.random();
        let repeats = usize::from(self.rng.random_bool(0.1));
        calls.spawn(async move {
            let answer = config_client.call(&body, change.routes.len(), seed).await;
            config_client.record_result(&change, answer);
            for repeat in 0..repeats {
                // A repeated call that was accepted before must be acknowledged again.
                let seed = seed.wrapping_add(repeat as u64 + 1);
                let answer = config_client.call(&body, change.routes.len(), seed).await;
                if answer.status != OK {
                    config_client.record_result(&change, answer);
                }
            }
            Some(change)
        });
    }

    fn send_invalid(&mut self, calls: &mut JoinSet<FinishedCall>) {
        let mut definition = route_definition("invalid.example", "/invalid/", 0);
        let fault = match self.rng.random_range(0..4) {
            0 => {
                definition["service_ref"] = json!("nowhere");
                "names an unknown service"
            }
            1 => {
                definition["timeout"] = json!("0ms");
                "has no time"
            }
            2 => {
                definition["host_name"] = json!("");
                "has no host"
            }
            _ => {
                definition["timeout"] = json!("601s");
                "is over ten minutes"
            }
        };
        let item = json!({
            "kind_tag": "route_list",
            "metadata": { "name": "invalid", "version": "00000001" },
            "definition": definition,
        });
        let body = json!({ "upserts": { "resource_list": [item] } }).to_string();
        let config_client = self.config_client.clone();
        let seed = self.rng.random();
        calls.spawn(async move {
            let answer = config_client.call(&body, 1, seed).await;
            if answer.status == OK {
                let finding = Finding::InvalidCallAcknowledged {
                    fault: fault.into(),
                };
                config_client.history.lock().findings.push(finding);
            }
            None
        });
    }
}

fn hex(version: u64) -> String {
    format!("{version:08x}")
}

fn route_definition(host: &str, prefix: &str, service: usize) -> Value {
    json!({
        "host_name": host, "path_prefix": prefix, "variant": "pure",
        "timeout": "1500ms", "target": "500ms", "priority": 1,
        "service_ref": SERVICES[service], "max_tries": 2,
    })
}

/// Returns the item of a version that sets its route, or `None` if the version removes the route.
fn route_item(name: &str, route: &RouteHistory, version: &RouteVersion) -> Option<Value> {
    let Effect::Service(service) = version.effect else {
        return None;
    };
    Some(json!({
        "kind_tag": "route_list",
        "metadata": { "name": name, "version": hex(version.version) },
        "definition": route_definition(&route.host, &route.prefix, service),
    }))
}

fn read_request() -> HttpRequest {
    let request = Request::get(READ_PATH).header("host", "gradeford");
    request.body(Full::new(Bytes::new())).unwrap_or_default()
}

/// Returns the versions of all routes in an answer; routes that can't be parsed are left out.
fn route_versions(body: &[u8]) -> BTreeMap<String, u64> {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let items = body["upserts"]["resource_list"]
        .as_array()
        .or_else(|| body["resource_list"].as_array());
    let routes = items.into_iter().flatten().filter_map(|item| {
        if item["kind_tag"] != "route_list" {
            return None;
        }
        let name = item["metadata"]["name"].as_str()?;
        let version = item["metadata"]["version"].as_str()?;
        Some((name.to_string(), u64::from_str_radix(version, 16).ok()?))
    });
    routes.collect()
}
