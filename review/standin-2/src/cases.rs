//! The cases. Each starts a site, plays the disruption, and judges by what clients and backends saw.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::backend::{Backend, Plan};
use crate::http::{self, Connection, Outcome};
use crate::site::{self, Record, SWANREACH, Site};

const BEAT: Duration = Duration::from_millis(1_500);
const HOST: &str = "wuka97.example";

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn plan(site: &Site, node: usize, id: &str) -> Plan {
    Plan {
        id: id.into(),
        service: site.services[node],
        zone: site.zone(node),
        address: site.app(node),
        control: site.control(node),
        capacity: 12,
        sharded: false,
        work: milliseconds(20),
        answer_bytes: 400,
        beat: BEAT,
    }
}

/// A client's request and what became of it.
struct Try {
    id: String,
    sent: f64,
    ended: f64,
    outcome: Outcome,
}

fn request(id: &str, method: &str, path: &str, time_left_ms: u64, body: &[u8]) -> Vec<u8> {
    let left = time_left_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Gradeford-Attempt-Id", id),
        ("Gradeford-Time-Left-Ms", left.as_str()),
    ];
    http::request(method, path, &headers, body)
}

/// Sends a request in a thread of its own, on a new connection.
fn send(
    record: &Record,
    to: SocketAddr,
    id: String,
    bytes: Vec<u8>,
    limit: Duration,
) -> JoinHandle<Try> {
    let record = record.clone();
    thread::spawn(move || {
        let opened = Connection::open(to);
        let sent = record.now();
        record.line(format!("client sends request {id} to {to}"));
        let outcome = match opened {
            Ok(mut connection) => connection.call(&bytes, limit),
            Err(_) => Outcome::NotSent,
        };
        record.line(format!("client's request {id}: {}", outcome.text()));
        Try {
            id,
            sent,
            ended: record.now(),
            outcome,
        }
    })
}

/// Waits until a request on each of these paths is answered with 200 at a node.
fn wait_served(site: &Site, node: usize, paths: &[(&str, &str)]) -> bool {
    for turn in 0..150 {
        let served = paths.iter().all(|(method, path)| {
            let bytes = request(&format!("warm-{node}-{turn}"), method, path, 4_000, b"");
            http::call_once(site.outbound(node), &bytes, milliseconds(4_500)).status() == 200
        });
        if served {
            return true;
        }
        sleep(milliseconds(100));
    }
    site.record.line("no request was served");
    false
}

// ---------------------------------------------------------------------------------------------------------------------

/// How long a request takes at the backend of each machine, in milliseconds: `speeds = [0.7, 1.0, 1.0, 1.5]`.
const SPEEDS: [u64; 7] = [42, 90, 90, 90, 90, 90, 90];

/// OWNER: a first beat that comes seconds late, of a life that has ended, while its successor holds keys.
pub fn late_beat(record: Record, folder: &Path, trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone(), folder, &["seatdesk"; 7], SWANREACH);
    site.start_all();
    let lives: Arc<Mutex<Vec<Arc<Backend>>>> = Arc::default();
    let start = |node: usize, id: &str, beats: bool| {
        let own = Plan {
            sharded: true,
            capacity: 4,
            work: milliseconds(SPEEDS[node]),
            ..plan(&site, node, id)
        };
        let backend = Backend::start(own, &record, beats);
        lives.lock().unwrap().push(backend.clone());
        backend
    };
    let first_life = start(0, "i-machine0-life1", true);
    for machine in 1..SPEEDS.len() {
        start(machine, &format!("i-machine{machine}-life1"), true);
    }
    let items = [
        site::service("seatdesk", 1, true),
        site::route(
            "r-check", 1, HOST, "/check/", false, 1_200, 300, "seatdesk", 2,
        ),
        site::limits(1, 16_384),
    ];
    if !site.order("the first configuration", &site::upserts(&items)) || !site.wait_ready() {
        return Verdict::CouldNotRun;
    }
    let held = |backend: &Backend| -> u32 {
        backend
            .holds()
            .iter()
            .map(|row| u32::from(row.1 - row.0) + 1)
            .sum()
    };
    let total = || -> u32 { lives.lock().unwrap().iter().map(|life| held(life)).sum() };
    let until = Instant::now() + Duration::from_secs(20);
    while total() != 65_536 && Instant::now() < until {
        sleep(milliseconds(50));
    }
    if total() != 65_536 {
        record.line(format!("only {} keys are held", total()));
        return Verdict::CouldNotRun;
    }
    record.line("all keys are held");
    let watch = Watch::start(&record, &lives);
    let traffic = Traffic::start(&site, 15, false);
    sleep(milliseconds(6_000));

    // The backend of machine 0 crashes; its next life crashes soon after its first beat was sent; the third one stays.
    first_life.crash();
    sleep(milliseconds(600));
    let second_life = start(0, "i-machine0-life2", false);
    let (body, _) = second_life.beat_body();
    let beat = second_life.beat_request(&body);
    record.line("backend i-machine0-life2 sends its first beat");
    let beat_sent = Instant::now();
    let control = site.control(0);
    let (beat_to, pass_on) = if trouble {
        hold_back(site.proxy(2), control)
    } else {
        (control, None)
    };
    let waited = thread::spawn(move || http::call_once(beat_to, &beat, milliseconds(850)));
    sleep(milliseconds(900));
    second_life.crash();
    let answer = waited.join().map(|outcome| outcome.text());
    record.line(format!("the first beat of i-machine0-life2: {answer:?}"));
    sleep(milliseconds(600));
    let third_life = start(0, "i-machine0-life3", true);
    let until = Instant::now() + Duration::from_secs(12);
    while held(&third_life) == 0 && Instant::now() < until {
        sleep(milliseconds(20));
    }
    record.line(format!(
        "backend i-machine0-life3 holds {} keys",
        held(&third_life)
    ));
    if held(&third_life) == 0 {
        return Verdict::CouldNotRun;
    }
    if trouble {
        // The beat of the second life arrives some seconds late, between two beats of the third life.
        while beat_sent.elapsed() < milliseconds(7_000) {
            sleep(milliseconds(5));
        }
        loop {
            let since = third_life.last_beat.lock().unwrap().map(|at| at.elapsed());
            if since.is_some_and(|since| (500..700).contains(&since.as_millis())) {
                break;
            }
            sleep(milliseconds(5));
        }
        record.line(format!(
            "the first beat of i-machine0-life2 arrives, {} ms late",
            beat_sent.elapsed().as_millis()
        ));
        if let Some(pass_on) = pass_on {
            let _ = pass_on.send(());
        }
    }
    sleep(milliseconds(14_000));
    record.line(format!(
        "backend i-machine0-life3 holds {} keys at the end",
        held(&third_life)
    ));
    traffic.stop(&record);
    let longest = watch.stop();
    record.line(format!(
        "two backends that were up held the same keys for {longest:.2} s at the longest; the bound is 0.5 s"
    ));
    if longest > 0.5 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A proxy before a node's `control_addr`: it reads a beat and passes it on only when it is told to.
fn hold_back(at: SocketAddr, to: SocketAddr) -> (SocketAddr, Option<mpsc::Sender<()>>) {
    let listener = TcpListener::bind(at).expect("an address for the proxy");
    let (pass_on, told) = mpsc::channel();
    thread::spawn(move || {
        let Ok((mut from, _)) = listener.accept() else {
            return;
        };
        let mut bytes = Vec::new();
        // The sender closes its connection when it crashes.
        drop(from.read_to_end(&mut bytes));
        if told.recv().is_ok() {
            http::call_once(to, &bytes, Duration::from_secs(1));
        }
    });
    (at, Some(pass_on))
}

/// Clients of all nodes, which ask for keys at random; some keys are far busier than others.
struct Traffic {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<HashMap<u16, u32>>>,
}

impl Traffic {
    fn start(site: &Site, clients_per_node: usize, shift: bool) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let client = |number: usize| {
            let (stop, to) = (stopped.clone(), site.outbound(number % site.services.len()));
            thread::spawn(move || Traffic::ask(number, to, &stop, shift))
        };
        let threads = (0..clients_per_node * site.services.len()).map(client);
        Traffic {
            threads: threads.collect(),
            stopped,
        }
    }

    fn ask(number: usize, to: SocketAddr, stop: &AtomicBool, shift: bool) -> HashMap<u16, u32> {
        let mut statuses = HashMap::new();
        let mut state = number as u64 * 0x9e37_79b9_7f4a_7c15 + 1;
        let began = Instant::now();
        let mut connection = None;
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            // The square of an even draw: low keys are asked for more often.
            let draw = (state >> 40) as f64 / (1u64 << 24) as f64;
            // With a shift, the busy keys lie elsewhere every few seconds.
            let offset = if shift {
                (began.elapsed().as_secs() / 3 * 9_973) as u16
            } else {
                0
            };
            let key = ((draw * draw * 65_536.0) as u16)
                .wrapping_add(offset)
                .to_string();
            count += 1;
            let id = format!("check-{number}-{count}");
            let headers = [
                ("Host", HOST),
                ("Gradeford-Attempt-Id", id.as_str()),
                ("Gradeford-Time-Left-Ms", "1200"),
                ("Gradeford-Shard-Key", key.as_str()),
            ];
            let bytes = http::request("GET", "/check/a", &headers, b"");
            if connection.is_none() {
                connection = Connection::open(to).ok();
            }
            let outcome = connection.as_mut().map_or(Outcome::NotSent, |open| {
                open.call(&bytes, milliseconds(1_400))
            });
            if !matches!(outcome, Outcome::Answer(..)) {
                connection = None;
            }
            *statuses.entry(outcome.status()).or_insert(0) += 1;
            sleep(milliseconds(150 + (state >> 32) % 100));
        }
        statuses
    }

    fn stop(self, record: &Record) {
        self.stopped.store(true, Ordering::SeqCst);
        let mut total: HashMap<u16, u32> = HashMap::new();
        for statuses in self
            .threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
        {
            for (status, count) in statuses {
                *total.entry(status).or_insert(0) += count;
            }
        }
        let mut total: Vec<_> = total.into_iter().collect();
        total.sort_unstable();
        record.line(format!(
            "the clients' answers by status (0: none): {total:?}"
        ));
    }
}

/// Looks every 10 ms which keys two backends that are up hold at the same time.
struct Watch {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<f64>,
}

impl Watch {
    fn start(record: &Record, lives: &Arc<Mutex<Vec<Arc<Backend>>>>) -> Watch {
        let (record, lives) = (record.clone(), lives.clone());
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = stopped.clone();
        let thread = thread::spawn(move || {
            let mut since: HashMap<(String, String), f64> = HashMap::new();
            let mut longest: f64 = 0.0;
            while !stop.load(Ordering::SeqCst) {
                let now = record.now();
                let holders: Vec<_> = lives
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|life| (life.plan.id.clone(), life.holds()))
                    .collect();
                for (index, (one, rows)) in holders.iter().enumerate() {
                    for (other, other_rows) in &holders[index + 1..] {
                        let pair = (one.clone(), other.clone());
                        let shared: u32 = rows
                            .iter()
                            .flat_map(|row| other_rows.iter().map(move |other| (row, other)))
                            .map(|(row, other)| {
                                let from = u32::from(row.0.max(other.0));
                                let to = u32::from(row.1.min(other.1));
                                (to + 1).saturating_sub(from)
                            })
                            .sum();
                        if shared == 0 {
                            if let Some(began) = since.remove(&pair) {
                                record.line(format!("{one} and {other} hold no key in common any more, after {:.2} s", now - began));
                            }
                            continue;
                        }
                        let began = *since.entry(pair).or_insert_with(|| {
                            record.line(format!("{one} and {other} both hold {shared} keys"));
                            now
                        });
                        longest = longest.max(now - began);
                    }
                }
                sleep(milliseconds(10));
            }
            longest
        });
        Watch { stopped, thread }
    }

    fn stop(self) -> f64 {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or(0.0)
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/// Starts a site of two nodes: clients send to the first, and the second is beside the only backend of `entitlements`.
fn two_nodes(
    record: &Record,
    folder: &Path,
    items: &[String],
    change: impl Fn(Plan) -> Plan,
) -> Option<(Site, Arc<Backend>)> {
    let mut site = Site::new(
        record.clone(),
        folder,
        &["seatdesk", "entitlements"],
        SWANREACH,
    );
    site.start_all();
    Backend::start(plan(&site, 0, "i-seatdesk"), record, true);
    let backend = Backend::start(change(plan(&site, 1, "i-entitlements")), record, true);
    let ready = site.order("the first configuration", &site::upserts(items)) && site.wait_ready();
    ready.then_some((site, backend))
}

fn wait_ended(site: &mut Site, node: usize, limit: Duration) {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let ended = site.nodes[node]
            .as_mut()
            .is_none_or(|process| process.has_ended());
        if ended {
            site.record
                .line(format!("the process of sidecar-{node} has ended"));
            return;
        }
        sleep(milliseconds(10));
    }
}

/// LOST: SIGTERM while requests that the node has read wait for a slot beside the backend.
pub fn term_queue(record: Record, folder: &Path, trouble: bool) -> Verdict {
    const TIMEOUT_MS: u32 = 20_000;
    let items = [
        site::service("seatdesk", 1, false),
        site::service("entitlements", 1, false),
        site::route(
            "r-renew",
            1,
            HOST,
            "/renew/",
            true,
            TIMEOUT_MS,
            18_000,
            "entitlements",
            1,
        ),
        site::route(
            "r-own", 1, HOST, "/own/", true, TIMEOUT_MS, 18_000, "seatdesk", 1,
        ),
        site::limits(1, 16_384),
    ];
    let slow = |plan: Plan| Plan {
        capacity: 1,
        work: milliseconds(2_500),
        ..plan
    };
    let Some((mut site, backend)) = two_nodes(&record, folder, &items, slow) else {
        return Verdict::CouldNotRun;
    };
    if !wait_served(&site, 0, &[("POST", "/own/a")]) {
        return Verdict::CouldNotRun;
    }
    sleep(milliseconds(1_000));
    let tries: Vec<_> = (0..8)
        .map(|number| {
            sleep(milliseconds(20));
            let id = format!("renew-{number}");
            let bytes = request(&id, "POST", "/renew/a", u64::from(TIMEOUT_MS), b"lease");
            send(
                &record,
                site.outbound(0),
                id,
                bytes,
                Duration::from_secs(21),
            )
        })
        .collect();
    sleep(milliseconds(300));
    let stopped = record.now();
    if trouble {
        record.line("SIGTERM to sidecar-0");
        site.nodes[0]
            .as_ref()
            .inspect(|process| process.terminate());
        wait_ended(&mut site, 0, Duration::from_secs(6));
    }
    let tries: Vec<Try> = tries
        .into_iter()
        .filter_map(|handle| handle.join().ok())
        .collect();
    judge_lost(&record, &tries, &backend, stopped, 6.0)
}

/// Counts the requests that LOST counts: read by the machine that got SIGTERM, and ended without a complete answer.
/// `grace` is in seconds.
fn judge_lost(
    record: &Record,
    tries: &[Try],
    backend: &Backend,
    stopped: f64,
    grace: f64,
) -> Verdict {
    let mut lost = 0;
    for one in tries {
        if !matches!(one.outcome, Outcome::Cut(_)) {
            continue;
        }
        let runs = backend.runs.lock().unwrap();
        let run = runs.iter().find(|run| run.request == one.id);
        // A backend still at work in the last sixth of `grace` on a request sent no later than 3 s after SIGTERM.
        let last_sixth = stopped + grace * 5.0 / 6.0;
        let at_work = run.is_some_and(|run| {
            run.begun < stopped + grace && run.ended.is_none_or(|ended| ended > last_sixth)
        });
        let in_window = one.ended <= stopped + grace + 1.0;
        let passed_on = run.is_some() || one.ended > one.sent + 0.2;
        let counts = !at_work && in_window && passed_on;
        record.line(format!(
            "request {} ended without a complete answer {:.2} s after SIGTERM; {}; counts as lost: {counts}",
            one.id,
            one.ended - stopped,
            match run {
                Some(run) if at_work => format!("its backend began it at {:.2} s and was still at work", run.begun),
                Some(run) => format!("its backend ran it from {:.2} s to {:?}", run.begun, run.ended),
                None => "no backend had begun it".into(),
            }
        ));
        lost += i32::from(counts);
    }
    record.line(format!("{lost} of {} requests count as lost", tries.len()));
    if tries
        .iter()
        .any(|one| matches!(one.outcome, Outcome::NotSent))
    {
        return Verdict::CouldNotRun;
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// LOST: SIGTERM while a long answer is on its way to a client over a link with a bandwidth.
pub fn term_large(record: Record, folder: &Path, trouble: bool) -> Verdict {
    const ANSWER_BYTES: usize = 12_000_000;
    /// The link of the client, in bytes in each slice of 10 ms.
    const LINK_BYTES: usize = 30_000;
    let items = [
        site::service("seatdesk", 1, false),
        site::service("entitlements", 1, false),
        site::route(
            "r-list",
            1,
            HOST,
            "/list/",
            false,
            20_000,
            10_000,
            "entitlements",
            1,
        ),
        site::route(
            "r-own", 1, HOST, "/own/", true, 20_000, 18_000, "seatdesk", 1,
        ),
        site::limits(1, 16_384),
    ];
    let long = |plan: Plan| Plan {
        answer_bytes: ANSWER_BYTES,
        work: milliseconds(100),
        ..plan
    };
    let Some((mut site, backend)) = two_nodes(&record, folder, &items, long) else {
        return Verdict::CouldNotRun;
    };
    if !wait_served(&site, 0, &[("POST", "/own/a"), ("GET", "/list/a")]) {
        return Verdict::CouldNotRun;
    }
    let link = Link::start(site.proxy(1), site.outbound(0), LINK_BYTES);
    sleep(milliseconds(1_000));
    let stopped = record.now();
    if trouble {
        record.line("SIGTERM to sidecar-0");
        site.nodes[0]
            .as_ref()
            .inspect(|process| process.terminate());
    }
    let tries: Vec<_> = (0..3)
        .map(|number| {
            let id = format!("list-{number}");
            let bytes = request(&id, "GET", "/list/a", 20_000, b"");
            send(&record, link, id, bytes, Duration::from_secs(21))
        })
        .collect();
    if trouble {
        wait_ended(&mut site, 0, Duration::from_secs(7));
    }
    let tries: Vec<Try> = tries
        .into_iter()
        .filter_map(|handle| handle.join().ok())
        .collect();
    judge_lost(&record, &tries, &backend, stopped, 6.0)
}

/// A link between clients and a node: answers come through at a rate, with a small window.
struct Link;

impl Link {
    fn start(at: SocketAddr, to: SocketAddr, bytes_per_slice: usize) -> SocketAddr {
        let listener = TcpListener::bind(at).expect("an address for the link");
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                thread::spawn(move || Link::carry(client, to, bytes_per_slice));
            }
        });
        at
    }

    fn carry(mut client: TcpStream, to: SocketAddr, bytes_per_slice: usize) {
        let Ok(mut node) = TcpStream::connect(to) else {
            return;
        };
        let (Ok(mut from_client), Ok(mut to_node)) = (client.try_clone(), node.try_clone()) else {
            return;
        };
        thread::spawn(move || drop(std::io::copy(&mut from_client, &mut to_node)));
        let mut slice = vec![0; bytes_per_slice];
        loop {
            let began = Instant::now();
            match node.read(&mut slice) {
                Ok(0) | Err(_) => break,
                Ok(count) if client.write_all(&slice[..count]).is_err() => break,
                // The link is busy for the time that these bytes take.
                Ok(count) => sleep(
                    (milliseconds(10) * count as u32 / bytes_per_slice as u32)
                        .saturating_sub(began.elapsed()),
                ),
            }
        }
        drop(client.shutdown(std::net::Shutdown::Both));
    }
}

/// LOST: after SIGTERM, one upload within `max_body_bytes` breaks off the other requests between the same two machines.
pub fn term_upload(record: Record, folder: &Path, trouble: bool) -> Verdict {
    const UPLOAD_BYTES: usize = 20_000_000;
    let items = [
        site::service("seatdesk", 1, false),
        site::service("entitlements", 1, false),
        site::route(
            "r-renew",
            1,
            HOST,
            "/renew/",
            true,
            8_000,
            6_000,
            "entitlements",
            1,
        ),
        site::route(
            "r-put",
            1,
            HOST,
            "/put/",
            true,
            8_000,
            6_000,
            "entitlements",
            1,
        ),
        site::route("r-own", 1, HOST, "/own/", true, 8_000, 6_000, "seatdesk", 1),
        site::limits(1, 16_384),
    ];
    let slow = |plan: Plan| Plan {
        work: milliseconds(1_500),
        ..plan
    };
    let Some((site, backend)) = two_nodes(&record, folder, &items, slow) else {
        return Verdict::CouldNotRun;
    };
    if !wait_served(&site, 0, &[("POST", "/own/a"), ("POST", "/renew/a")]) {
        return Verdict::CouldNotRun;
    }
    sleep(milliseconds(1_000));
    let stopped = record.now();
    if trouble {
        record.line("SIGTERM to sidecar-0");
        site.nodes[0]
            .as_ref()
            .inspect(|process| process.terminate());
    }
    sleep(milliseconds(200));
    let tries: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("renew-{number}");
            let bytes = request(&id, "POST", "/renew/a", 8_000, b"lease");
            send(&record, site.outbound(0), id, bytes, Duration::from_secs(9))
        })
        .collect();
    sleep(milliseconds(500));
    let upload = request("upload", "PUT", "/put/a", 8_000, &vec![b'u'; UPLOAD_BYTES]);
    let upload = send(
        &record,
        site.outbound(0),
        "upload".into(),
        upload,
        Duration::from_secs(9),
    );
    let tries: Vec<Try> = tries
        .into_iter()
        .filter_map(|handle| handle.join().ok())
        .collect();
    drop(upload.join());
    sleep(milliseconds(1_500));
    for (node, process) in site.nodes.iter().enumerate() {
        let peak = process
            .as_ref()
            .map_or(0, |process| process.peak_kilobytes());
        record.line(format!(
            "sidecar-{node} had {peak} kB of memory at the most"
        ));
    }
    let mut broken_off = 0;
    for one in &tries {
        let runs = backend.runs.lock().unwrap();
        let run = runs.iter().find(|run| run.request == one.id);
        let at_work = run.is_some_and(|run| {
            run.begun < one.ended && run.ended.is_none_or(|ended| ended > one.ended)
        });
        let has_seal = matches!(&one.outcome, Outcome::Answer(head, _) if head.header("gradeford-server-seal").is_some());
        if at_work && !has_seal {
            record.line(format!(
                "request {}: its backend worked on it from {:.2} s to {:?}, and the node answered with {} at {:.2} s",
                one.id,
                run.map_or(0.0, |run| run.begun),
                run.and_then(|run| run.ended),
                one.outcome.status(),
                one.ended
            ));
            broken_off += 1;
        }
    }
    record.line(format!(
        "{broken_off} of {} requests were broken off while their backend worked on them, {:.2} s after the mark of SIGTERM",
        tries.len(),
        record.now() - stopped
    ));
    // The rule speaks of the time after a SIGTERM only.
    if trouble && broken_off > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/// DENIED: connections that clients keep go on with the limits of an older configuration.
pub fn limits(record: Record, folder: &Path, trouble: bool) -> Verdict {
    const HEADER_BYTES: usize = 20_000;
    let before = if trouble { 16_384 } else { 65_536 };
    let items = [
        site::service("seatdesk", 1, false),
        site::service("entitlements", 1, false),
        site::route(
            "r-check",
            1,
            HOST,
            "/check/",
            false,
            1_200,
            300,
            "entitlements",
            2,
        ),
        site::route("r-own", 1, HOST, "/own/", true, 1_200, 300, "seatdesk", 1),
        site::limits(1, before),
    ];
    let Some((site, _backend)) = two_nodes(&record, folder, &items, |plan| plan) else {
        return Verdict::CouldNotRun;
    };
    if !wait_served(&site, 0, &[("POST", "/own/a"), ("GET", "/check/a")]) {
        return Verdict::CouldNotRun;
    }
    let mut connections: Vec<Connection> = (0..20)
        .filter_map(|_| Connection::open(site.outbound(0)).ok())
        .collect();
    let mut count = 0;
    let mut denied = 0;
    let mut round = |connections: &mut Vec<Connection>, headers: usize, name: &str| {
        for connection in connections.iter_mut() {
            count += 1;
            let id = format!("{name}-{count}");
            let padding = "p".repeat(headers);
            let list = [
                ("Host", HOST),
                ("Gradeford-Attempt-Id", id.as_str()),
                ("Gradeford-Time-Left-Ms", "1200"),
                ("X-Padding", padding.as_str()),
            ];
            let bytes = http::request("GET", "/check/a", &list, b"");
            let outcome = connection.call(&bytes, milliseconds(1_500));
            record.line(format!(
                "request {id} with a head of {} bytes: {}",
                bytes.len(),
                outcome.text()
            ));
            let status = outcome.status();
            denied += i32::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
        }
    };
    for _ in 0..3 {
        round(&mut connections, 100, "small");
        sleep(milliseconds(500));
    }
    if trouble
        && !site.order(
            "limit_set with max_header_bytes 65536",
            &site::upserts(&[site::limits(2, 65_536)]),
        )
    {
        return Verdict::CouldNotRun;
    }
    // The connections stay in use while `apply` passes.
    for _ in 0..8 {
        sleep(milliseconds(500));
        round(&mut connections, 100, "small");
    }
    round(&mut connections, HEADER_BYTES, "long");
    let bound = 5.0 + f64::from(count) / 500.0;
    record.line(format!(
        "{denied} of {count} requests were ended with a 4xx of the node's own; the bound is {bound:.1}"
    ));
    if f64::from(denied) > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/// Fault: uploads within `max_body_bytes` take a node over `memory_mb`, so that the platform kills it.
pub fn memory(record: Record, folder: &Path, trouble: bool) -> Verdict {
    const MEMORY_MB: u64 = 260;
    const UPLOADS: usize = 4;
    let upload_bytes = if trouble { 60_000_000 } else { 1_000_000 };
    let items = [
        site::service("seatdesk", 1, false),
        site::service("entitlements", 1, false),
        site::route(
            "r-seat", 1, HOST, "/seat/", true, 8_000, 6_000, "seatdesk", 1,
        ),
        site::route(
            "r-renew",
            1,
            HOST,
            "/renew/",
            true,
            8_000,
            6_000,
            "entitlements",
            1,
        ),
        site::limits(1, 16_384),
    ];
    let Some((site, _backend)) = two_nodes(&record, folder, &items, |plan| plan) else {
        return Verdict::CouldNotRun;
    };
    let paths = ["/seat/a", "/renew/a"];
    for node in 0..2 {
        if !wait_served(&site, node, &[("POST", paths[node])]) {
            return Verdict::CouldNotRun;
        }
    }
    sleep(milliseconds(1_000));
    let site = Arc::new(Mutex::new(site));
    // The platform: it kills a process that goes over its memory, and starts it again after a short delay.
    let ends: Arc<Mutex<[u32; 2]>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let platform = {
        let (site, ends, stop, record) = (site.clone(), ends.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for node in 0..2 {
                    let mut site = site.lock().unwrap();
                    let used = site.nodes[node]
                        .as_ref()
                        .map_or(0, site::Process::kilobytes);
                    if used > MEMORY_MB * 1_024 {
                        record.line(format!("sidecar-{node} has {used} kB, more than {MEMORY_MB} MB: the platform kills it"));
                        site.nodes[node] = None;
                        ends.lock().unwrap()[node] += 1;
                        sleep(milliseconds(300));
                        site.start_again(node);
                        record.line(format!("sidecar-{node} starts again"));
                    }
                }
                sleep(milliseconds(1));
            }
        })
    };
    for turn in 0..UPLOADS {
        for (node, path) in paths.iter().enumerate() {
            let (to, ready) = {
                let site = site.lock().unwrap();
                (site.outbound(node), site.ready(node))
            };
            let question = http::request("GET", "/readiness", &[("Host", "ready")], b"");
            let until = Instant::now() + Duration::from_secs(10);
            while http::call_once(ready, &question, Duration::from_secs(1)).status() != 200
                && Instant::now() < until
            {
                sleep(milliseconds(50));
            }
            sleep(milliseconds(1_700));
            let uploads: Vec<_> = ["a", "b", "c"]
                .into_iter()
                .map(|part| {
                    let id = format!("upload-{node}-{turn}-{part}");
                    let body = vec![b'u'; upload_bytes];
                    let bytes = request(&id, "PUT", path, 8_000, &body);
                    send(&record, to, id, bytes, Duration::from_secs(9))
                })
                .collect();
            for upload in uploads {
                drop(upload.join());
            }
        }
    }
    sleep(milliseconds(500));
    stop.store(true, Ordering::SeqCst);
    drop(platform.join());
    let site = site.lock().unwrap();
    for (node, process) in site.nodes.iter().enumerate() {
        let peak = process.as_ref().map_or(0, site::Process::peak_kilobytes);
        record.line(format!(
            "the last process of sidecar-{node} had {peak} kB of memory at the most"
        ));
    }
    let ends = *ends.lock().unwrap();
    record.line(format!(
        "ends for too much memory, without any trouble: {} at sidecar-0, {} at sidecar-1; the bound is three at two of the five machines",
        ends[0], ends[1]
    ));
    if ends.iter().filter(|count| **count >= 3).count() >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/// Fault: one core machine is lost for good within the first second and replaced; nothing is ever served.
pub fn founder(record: Record, folder: &Path, trouble: bool) -> Verdict {
    const WATCHED: Duration = Duration::from_secs(90);
    let mut site = Site::new(
        record.clone(),
        folder,
        &["seatdesk", "entitlements"],
        SWANREACH,
    );
    site.start_all();
    record.line("all machines start for the first time");
    Backend::start(plan(&site, 0, "i-seatdesk"), &record, true);
    Backend::start(plan(&site, 1, "i-entitlements"), &record, true);
    let items = [
        site::service("seatdesk", 1, false),
        site::service("entitlements", 1, false),
        site::route("r-own", 1, HOST, "/own/", true, 1_500, 400, "seatdesk", 1),
        site::limits(1, 16_384),
    ];
    sleep(milliseconds(600));
    if !site.core_runs(0) {
        return Verdict::CouldNotRun;
    }
    if trouble {
        site.kill_core(0);
        record.line("core-0 is removed for good");
        sleep(milliseconds(2_000));
        let added = site.add_core(0);
        record.line(format!(
            "core-{added} starts at another address, with an empty disk"
        ));
    }
    let began = Instant::now();
    let acknowledged =
        site.order_within("the first configuration", &site::upserts(&items), WATCHED);
    let mut served = 0;
    let mut asked = 0;
    while began.elapsed() < WATCHED && served < 10 {
        asked += 1;
        let bytes = request(&format!("own-{asked}"), "POST", "/own/a", 1_500, b"");
        let outcome = http::call_once(site.outbound(0), &bytes, milliseconds(1_700));
        served += i32::from(outcome.status() == 200);
        record.line(format!("request own-{asked}: {}", outcome.text()));
        sleep(milliseconds(300));
    }
    if asked == 0 {
        let bytes = request("own-last", "POST", "/own/a", 1_500, b"");
        let outcome = http::call_once(site.outbound(0), &bytes, milliseconds(1_700));
        served += i32::from(outcome.status() == 200);
        record.line(format!("request own-last: {}", outcome.text()));
    }
    let listed = site.listed.clone();
    let running = listed
        .into_iter()
        .filter(|core| site.core_runs(*core))
        .count();
    record.line(format!(
        "{:.0} s after all machines were there: {running} of 3 core machines run, the first configuration is acknowledged: {acknowledged}, {served} requests were served",
        began.elapsed().as_secs_f64()
    ));
    if served == 0 && !acknowledged {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/// CONFIG: a machine of the core is replaced while another one is down for seconds; the core never works again.
pub fn replaced(record: Record, folder: &Path, trouble: bool) -> Verdict {
    // The site runs the role `core` on four machines: one in each zone.
    let mut site = Site::new(
        record.clone(),
        folder,
        &["seatdesk", "entitlements"],
        SWANREACH,
    );
    site.set_cores(4);
    site.start_all();
    Backend::start(plan(&site, 0, "i-seatdesk"), &record, true);
    Backend::start(plan(&site, 1, "i-entitlements"), &record, true);
    let own_route = |version: u32| {
        let timeout = 1_500 + version;
        site::route(
            "r-own", version, HOST, "/own/", true, timeout, 400, "seatdesk", 1,
        )
    };
    let items = [
        site::service("seatdesk", 1, false),
        site::service("entitlements", 1, false),
        own_route(1),
        site::limits(1, 16_384),
    ];
    if !site.order("the first configuration", &site::upserts(&items)) || !site.wait_ready() {
        return Verdict::CouldNotRun;
    }
    if !site.order("version 2 of the route", &site::upserts(&[own_route(2)])) {
        return Verdict::CouldNotRun;
    }
    sleep(milliseconds(5_000));
    // Machine 3 is removed for good, and an empty one comes 2 s later. Machine 1 is down for 3.5 s meanwhile.
    if trouble {
        site.kill_core(1);
        record.line("the process of core-1 is killed; its disk stays");
    }
    sleep(milliseconds(200));
    site.kill_core(3);
    record.line("core-3 is removed for good");
    sleep(milliseconds(2_000));
    let added = site.add_core(3);
    record.line(format!(
        "core-{added} starts at another address, with an empty disk"
    ));
    sleep(milliseconds(1_300));
    if trouble {
        site.start_core_again(1);
        record.line("the process of core-1 starts again, with its disk");
    }
    // More than `recover`, which is 15 s, passes with all three machines up.
    for _ in 0..60 {
        sleep(milliseconds(333));
        for core in [0, 1, 2, added] {
            if !site.core_runs(core) && (trouble || core != 1) {
                record.line(format!(
                    "the process of core-{core} ended by itself; the platform starts it again"
                ));
                site.start_core_again(core);
            }
        }
    }
    let read = site.read_back(Duration::from_secs(20));
    let stands = read.is_some_and(|text| text.contains("\"version\":\"00000002\""));
    let limit = Duration::from_secs(20);
    let acknowledged = site.order_within(
        "version 3 of the route",
        &site::upserts(&[own_route(3)]),
        limit,
    );
    let running = [0, 1, 2, added]
        .into_iter()
        .filter(|core| site.core_runs(*core))
        .count();
    record.line(format!(
        "{running} of 4 core machines run; the read returns version 2, which was acknowledged: {stands}; version 3 is acknowledged: {acknowledged}"
    ));
    if stands {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
