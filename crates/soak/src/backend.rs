//! Backends of a run: they serve requests, send heartbeats and hold the shard ranges granted to them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::clock::{Clock, MILLISECOND, Micros, SECOND};
use crate::http::{self, KeptConnection};
use crate::site::{BACKEND_PORT, BATCH_SERVICE, CONTROL_PORT, Machine, SERVICES, Site};

/// Request header with the length of the answer that the batch service is to send, in bytes.
pub const ANSWER_LENGTH_HEADER: &str = "x-soak-answer-length";
/// Response header with the index of the service that processed the request.
pub const SERVICE_HEADER: &str = "x-soak-service";

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(780);
/// Delay before the heartbeat that reports released shard ranges.
const RELEASE_DELAY: Duration = Duration::from_millis(60);
/// Timeout for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a draining backend continues to serve, slightly longer than `drain` in the settings.
const DRAIN_DURATION: Duration = Duration::from_millis(2_300);
/// Delay before the next incarnation of a backend starts.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(600);
/// Maximum processing time of a request, in milliseconds.
const MAX_PROCESSING_MS: u64 = 8;
/// Capacity that a backend reports in its heartbeats.
const CAPACITY_SLOTS: u32 = 32;
/// Capacity of a backend of the batch service.
const BATCH_CAPACITY_SLOTS: u32 = 1;
/// Shortest and longest processing time of a request of the batch service, in milliseconds. A run
/// that begins before a stopping node withdraws its requests ends before the node does.
const BATCH_PROCESSING_MS: (u64, u64) = (150, 700);
const ACCEPT_BACKLOG: u32 = 1_024;
/// Status of an answer to a request that the backend didn't run, as it was sent to another incarnation
/// or for a key that the backend doesn't hold.
const MISDIRECTED_REQUEST: u16 = 421;

/// A command to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCommand {
    /// Drain, deregister and end; a new incarnation follows.
    Replace,
    /// End without draining or deregistering; a new incarnation follows.
    Crash,
}

/// A shard range under lease, with inclusive bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LeasedRange {
    first: u16,
    last: u16,
    fencing_token: u64,
}

/// Shard ranges that one incarnation of a backend holds or has released.
#[derive(Default)]
struct ShardLeases {
    held: Vec<LeasedRange>,
    /// Released ranges that no heartbeat has reported yet: the first key, the last key and an identifier
    /// of the handover.
    released: Vec<(u16, u16, String)>,
    /// When the leases of all held ranges expire.
    expires_at: Micros,
}

/// One incarnation of a backend.
struct Incarnation {
    id: String,
    service: usize,
    clock: Clock,
    leases: Mutex<ShardLeases>,
}

/// Runs the backend beside a node, one incarnation after the other, until the run ends.
pub async fn run(
    site: Arc<Site>,
    node: usize,
    clock: Clock,
    commands: mpsc::Receiver<BackendCommand>,
) {
    let machine = Machine::Node(node);
    let service = site.service_of(node);
    let service = SERVICES.iter().position(|name| *name == service);
    let mut machine = BackendMachine {
        address: site.address(machine, BACKEND_PORT),
        control: site.address(machine, CONTROL_PORT),
        zone: format!("zone-{}", site.zone(machine)),
        service: service.unwrap_or_default(),
        node,
        clock,
        commands,
    };
    let mut generation = 0;
    while machine.run_incarnation(generation).await.is_some() {
        generation += 1;
        sleep(REPLACEMENT_DELAY).await;
    }
}

struct BackendMachine {
    address: SocketAddr,
    control: SocketAddr,
    zone: String,
    service: usize,
    node: usize,
    clock: Clock,
    commands: mpsc::Receiver<BackendCommand>,
}

impl BackendMachine {
    /// Runs one incarnation until a command ends it. Returns `None` once no more commands can come.
    async fn run_incarnation(&mut self, generation: u64) -> Option<()> {
        let incarnation = Arc::new(Incarnation {
            id: format!("i-{}-{generation}", self.node),
            service: self.service,
            clock: self.clock,
            leases: Mutex::default(),
        });
        let Ok(listener) = listen(self.address) else {
            return Some(());
        };
        // Dropping the set at the end closes all connections.
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(incarnation.clone(), listener));
        let mut sequence = 0;
        let command = self
            .heartbeat_until_command(&incarnation, &mut sequence)
            .await?;
        if command == BackendCommand::Replace {
            let drained = self.heartbeat_while_draining(&incarnation, &mut sequence);
            drop(timeout(DRAIN_DURATION, drained).await);
            let path = format!("/Instances.Deregister/{}", incarnation.id);
            let request = http::post_json(&path, "{}".into());
            // The incarnation ends even without an answer.
            drop(http::call_once(self.control, request, HEARTBEAT_TIMEOUT).await);
        }
        Some(())
    }

    async fn heartbeat_until_command(
        &mut self,
        incarnation: &Incarnation,
        sequence: &mut u64,
    ) -> Option<BackendCommand> {
        let mut connection = KeptConnection::new(self.control);
        loop {
            *sequence += 1;
            let heartbeat = self.heartbeat(incarnation, false);
            let pause = heartbeat.send(&mut connection, *sequence).await;
            tokio::select! {
                command = self.commands.recv() => return command,
                () = sleep(pause) => {}
            }
        }
    }

    async fn heartbeat_while_draining(&self, incarnation: &Incarnation, sequence: &mut u64) {
        let mut connection = KeptConnection::new(self.control);
        loop {
            *sequence += 1;
            let heartbeat = self.heartbeat(incarnation, true);
            let pause = heartbeat.send(&mut connection, *sequence).await;
            sleep(pause).await;
        }
    }

    fn heartbeat<'run>(
        &'run self,
        incarnation: &'run Incarnation,
        draining: bool,
    ) -> Heartbeat<'run> {
        Heartbeat {
            address: self.address,
            zone: &self.zone,
            incarnation,
            draining,
        }
    }
}

/// Listens with `SO_REUSEADDR`, so that the address can be bound right after an earlier incarnation
/// has ended.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// One heartbeat; its answer updates the leases of the incarnation.
struct Heartbeat<'run> {
    address: SocketAddr,
    zone: &'run str,
    incarnation: &'run Incarnation,
    draining: bool,
}

impl Heartbeat<'_> {
    /// Sends the heartbeat, applies the answer and returns the delay before the next heartbeat.
    async fn send(&self, connection: &mut KeptConnection, sequence: u64) -> Duration {
        let sent_at = self.incarnation.clock.now();
        let (body, released) = self.body(sequence);
        let path = format!("/Instances.Heartbeat/{}", self.incarnation.id);
        let request = http::post_json(&path, body.to_string());
        let Ok(open) = connection.get().await else {
            return HEARTBEAT_INTERVAL / 4;
        };
        match open.call(request, HEARTBEAT_TIMEOUT).await {
            Ok(response) if response.status().is_success() => {
                let answer = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
                self.incarnation.apply_grants(sent_at, &answer, released)
            }
            _ => {
                connection.close();
                HEARTBEAT_INTERVAL / 4
            }
        }
    }

    /// Returns the body and the number of released ranges that it reports.
    fn body(&self, sequence: u64) -> (Value, usize) {
        let now = self.incarnation.clock.now();
        let mut leases = self.incarnation.leases();
        if now > leases.expires_at {
            // Expired ranges are not reported as released.
            leases.held.clear();
        }
        let ranges = leases.held.iter();
        let held: Vec<_> = ranges.map(|r| (r.first, r.last, r.fencing_token)).collect();
        let body = json!({
            "address": self.address.to_string(),
            "summary": {
                "service_ref": SERVICES[self.incarnation.service],
                "version": "v1", "zone": self.zone, "capacity": self.incarnation.capacity(),
            },
            "condition": {
                "state": if self.draining { "draining" } else { "ready" },
                "call_seq": sequence, "cold_left": "0ms",
            },
            "hold_list": held,
            "released": leases.released,
        });
        (body, leases.released.len())
    }
}

impl Incarnation {
    fn leases(&self) -> MutexGuard<'_, ShardLeases> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_batch(&self) -> bool {
        SERVICES[self.service] == BATCH_SERVICE
    }

    fn capacity(&self) -> u32 {
        match self.is_batch() {
            true => BATCH_CAPACITY_SLOTS,
            false => CAPACITY_SLOTS,
        }
    }

    /// Runs a request of the batch service: reads its body and returns that of the answer.
    async fn run_batch(&self, request: Request<Incoming>) -> Bytes {
        let length = request.headers().get(ANSWER_LENGTH_HEADER);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        // A body that breaks off ends the connection, so nobody receives the answer.
        drop(request.into_body().collect().await);
        let (shortest, longest) = BATCH_PROCESSING_MS;
        let processing_ms = rand::rng().random_range(shortest..=longest);
        sleep(Duration::from_millis(processing_ms)).await;
        Bytes::from(vec![b'a'; length.unwrap_or_default()])
    }

    fn holds(&self, key: u16) -> bool {
        let leases = self.leases();
        let mut held = leases.held.iter();
        self.clock.now() <= leases.expires_at
            && held.any(|range| (range.first..=range.last).contains(&key))
    }

    /// Holds the ranges granted by the answer and releases all others. Returns the delay before the next
    /// heartbeat, which is shorter if it has releases to report.
    fn apply_grants(&self, sent_at: Micros, answer: &Value, reported_releases: usize) -> Duration {
        let mut leases = self.leases();
        leases.released.drain(..reported_releases);
        let Some(rows) = answer["hold_list"].as_array() else {
            return HEARTBEAT_INTERVAL;
        };
        let granted: Vec<LeasedRange> = rows.iter().filter_map(parse_range).collect();
        let covered = |range: &LeasedRange| {
            granted
                .iter()
                .any(|new| new.first <= range.first && range.last <= new.last)
        };
        let withdrawn: Vec<LeasedRange> = leases
            .held
            .iter()
            .filter(|r| !covered(r))
            .copied()
            .collect();
        for range in &withdrawn {
            let handover = format!("{:016x}", rand::rng().random::<u64>());
            leases.released.push((range.first, range.last, handover));
        }
        leases.held = granted;
        leases.expires_at = sent_at + answer["hold"].as_str().map_or(0, parse_milliseconds);
        if withdrawn.is_empty() {
            HEARTBEAT_INTERVAL
        } else {
            RELEASE_DELAY
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(String::from)
        };
        if request.uri().path() == "/health" {
            let response = Response::builder().header("gradeford-instance-id", &self.id);
            return response.body(Full::default()).unwrap_or_default();
        }
        let attempt_id = header("gradeford-attempt-id").unwrap_or_default();
        let for_other_instance =
            header("gradeford-target-instance").is_some_and(|target| target != self.id);
        let key = header("gradeford-shard-key").and_then(|key| key.parse().ok());
        let not_held = self.service == 0 && !key.is_some_and(|key| self.holds(key));
        if for_other_instance || not_held {
            let response = Response::builder()
                .status(MISDIRECTED_REQUEST)
                .header("gradeford-attempt-id", attempt_id)
                .header("gradeford-not-run", "1");
            return response.body(Full::default()).unwrap_or_default();
        }
        let body = if self.is_batch() {
            self.run_batch(request).await
        } else {
            let processing_ms = rand::rng().random_range(0..=MAX_PROCESSING_MS);
            sleep(Duration::from_millis(processing_ms)).await;
            Bytes::from_static(b"done")
        };
        let response = Response::builder()
            .header("gradeford-attempt-id", attempt_id)
            .header("gradeford-server-seal", &self.id)
            .header(SERVICE_HEADER, self.service);
        response.body(Full::new(body)).unwrap_or_default()
    }
}

fn parse_range(row: &Value) -> Option<LeasedRange> {
    Some(LeasedRange {
        first: u16::try_from(row[0].as_u64()?).ok()?,
        last: u16::try_from(row[1].as_u64()?).ok()?,
        fencing_token: row[2].as_u64()?,
    })
}

/// Parses a duration such as `4000ms` or `4s`, in microseconds.
fn parse_milliseconds(text: &str) -> Micros {
    let whole = |number: &str| number.parse::<f64>().unwrap_or_default();
    match text.strip_suffix("ms") {
        Some(number) => (whole(number) * MILLISECOND as f64) as Micros,
        None => (whole(text.trim_end_matches('s')) * SECOND as f64) as Micros,
    }
}

async fn serve(incarnation: Arc<Incarnation>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        drop(stream.set_nodelay(true));
        let incarnation = incarnation.clone();
        let service = service_fn(move |request| {
            let incarnation = incarnation.clone();
            async move { Ok::<_, Infallible>(incarnation.answer(request).await) }
        });
        connections.spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}
