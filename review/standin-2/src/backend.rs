//! A backend as the pages describe it: it answers requests, sends beats, and holds the keys that it is given.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Head, Outcome};
use crate::json;
use crate::site::Record;

/// A row of keys that a backend holds: first key, last key, fence.
pub type Row = (u16, u16, u64);

/// What a backend is.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub capacity: usize,
    pub sharded: bool,
    pub work: Duration,
    pub answer_bytes: usize,
    pub beat: Duration,
}

#[derive(Default)]
struct Keys {
    held: Vec<Row>,
    /// Let go and not acknowledged yet.
    released: Vec<(u16, u16, String)>,
    until: Option<Instant>,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub begun: f64,
    pub ended: Option<f64>,
}

/// One life of a backend.
pub struct Backend {
    pub plan: Plan,
    record: Record,
    keys: Mutex<Keys>,
    alive: AtomicBool,
    beats: AtomicU64,
    /// When the last beat was acknowledged.
    pub last_beat: Mutex<Option<Instant>>,
    free: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
    /// The longest answer to a beat, in bytes.
    pub longest_answer: AtomicUsize,
    handover: AtomicU64,
}

/// How many requests a backend queues beyond its slots.
const QUEUE: usize = 36;

impl Backend {
    /// Starts a life: it listens, and beats if `beats` is set.
    pub fn start(plan: Plan, record: &Record, beats: bool) -> Arc<Backend> {
        let listener = loop {
            match TcpListener::bind(plan.address) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        record.line(format!("backend {} starts at {}", plan.id, plan.address));
        let backend = Arc::new(Backend {
            free: Mutex::new(plan.capacity),
            plan,
            record: record.clone(),
            keys: Mutex::default(),
            alive: AtomicBool::new(true),
            beats: AtomicU64::new(0),
            last_beat: Mutex::new(None),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            runs: Mutex::default(),
            longest_answer: AtomicUsize::new(0),
            handover: AtomicU64::new(0x5c0e_7a21_d94b_0000),
        });
        let own = backend.clone();
        thread::spawn(move || own.accept(&listener));
        if beats {
            let own = backend.clone();
            thread::spawn(move || own.beat_on());
        }
        backend
    }

    /// Ends without a word, as a backend that crashes.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        self.record
            .line(format!("backend {} crashes", self.plan.id));
    }

    pub fn is_up(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// The rows that this backend holds now; none once it has ended or its hold has run out.
    pub fn holds(&self) -> Vec<Row> {
        let keys = self.keys.lock().unwrap();
        let in_force = keys.until.is_some_and(|until| Instant::now() < until);
        if self.is_up() && in_force {
            keys.held.clone()
        } else {
            Vec::new()
        }
    }

    /// The body of the next beat.
    pub fn beat_body(&self) -> (String, usize) {
        let sequence = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let held: Vec<String> = {
            let rows = self.holds();
            rows.iter()
                .map(|(from, to, fence)| format!("[{from},{to},{fence}]"))
                .collect()
        };
        let keys = self.keys.lock().unwrap();
        let released: Vec<String> = keys
            .released
            .iter()
            .map(|(from, to, handover)| format!("[{from},{to},\"{handover}\"]"))
            .collect();
        let body = format!(
            "{{\"address\":\"{}\",\"summary\":{{\"service_ref\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"capacity\":{}}},\"condition\":{{\"state\":\"ready\",\"call_seq\":{sequence},\"cold_left\":\"0ms\"}},\
             \"hold_list\":[{}],\"released\":[{}]}}",
            self.plan.address,
            self.plan.service,
            self.plan.zone,
            self.plan.capacity,
            held.join(","),
            released.join(","),
        );
        (body, keys.released.len())
    }

    /// The request of a beat with this body.
    pub fn beat_request(&self, body: &str) -> Vec<u8> {
        let path = format!("/Instances.Heartbeat/{}", self.plan.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        http::request("POST", &path, &headers, body.as_bytes())
    }

    fn beat_on(&self) {
        let mut connection: Option<Connection> = None;
        while self.is_up() {
            let sent = Instant::now();
            let (body, reported) = self.beat_body();
            let request = self.beat_request(&body);
            if connection.is_none() {
                connection = Connection::open(self.plan.control).ok();
            }
            let outcome = connection.as_mut().map_or(Outcome::NotSent, |open| {
                open.call(&request, Duration::from_secs(1))
            });
            if let Outcome::Answer(_, body) = &outcome {
                self.longest_answer.fetch_max(body.len(), Ordering::SeqCst);
            }
            let pause = match outcome {
                Outcome::Answer(head, body)
                    if (200..300).contains(&head.status()) && body.len() <= 4_096 =>
                {
                    *self.last_beat.lock().unwrap() = Some(Instant::now());
                    self.take_answer(sent, &String::from_utf8_lossy(&body), reported)
                }
                _ => {
                    connection = None;
                    self.plan.beat / 4
                }
            };
            sleep(
                pause
                    .saturating_sub(sent.elapsed())
                    .max(Duration::from_millis(10)),
            );
        }
    }

    /// Holds what the answer gives and lets go of the rest. Returns the time until the next beat.
    fn take_answer(&self, sent: Instant, text: &str, reported: usize) -> Duration {
        if !self.is_up() {
            return self.plan.beat;
        }
        let mut keys = self.keys.lock().unwrap();
        keys.released.drain(..reported);
        let Some(answer) = json::read(text) else {
            return self.plan.beat;
        };
        // Without `hold_list` nothing is renewed.
        let Some(rows) = answer.get("hold_list").list() else {
            return self.plan.beat;
        };
        let granted: Vec<Row> = rows
            .iter()
            .filter_map(json::Value::list)
            .filter(|row| row.len() >= 3)
            .map(|row| {
                (
                    row[0].number() as u16,
                    row[1].number() as u16,
                    row[2].number() as u64,
                )
            })
            .collect();
        let hold = answer
            .get("hold")
            .text()
            .trim_end_matches("ms")
            .parse::<f64>();
        let hold = Duration::from_secs_f64(hold.unwrap_or(0.0) / 1_000.0);
        let in_force = keys.until.is_some_and(|until| Instant::now() < until);
        let before = if in_force {
            keys.held.clone()
        } else {
            Vec::new()
        };
        let covered = |row: &Row| {
            granted
                .iter()
                .any(|new| new.0 <= row.0 && row.1 <= new.1 && new.2 >= row.2)
        };
        let let_go: Vec<Row> = before.into_iter().filter(|row| !covered(row)).collect();
        for row in &let_go {
            // What the backend keeps of a row under another cut of the keys isn't let go.
            for (from, to) in remaining(*row, &granted) {
                let handover = self.handover.fetch_add(1, Ordering::SeqCst);
                keys.released.push((from, to, format!("{handover:016x}")));
            }
        }
        if keys.held != granted {
            let count: u32 = granted.iter().map(|row| u32::from(row.1 - row.0) + 1).sum();
            self.record.line(format!(
                "backend {} holds {count} keys in {} rows for {} ms",
                self.plan.id,
                granted.len(),
                hold.as_millis()
            ));
        }
        keys.held = granted;
        keys.until = Some(sent + hold);
        if keys.released.is_empty() {
            self.plan.beat
        } else {
            Duration::from_millis(60)
        }
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let own = self.clone();
                    thread::spawn(move || own.serve(stream));
                }
                Err(_) => sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nonblocking(false));
        drop(stream.set_nodelay(true));
        let mut connection = Connection::over(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(Some(body)) = connection.read_body(&head) else {
                return;
            };
            let answer = self.answer(&head, &body);
            if !self.is_up() || connection.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Records a run, but not the many of steady traffic.
    fn note(&self, text: String) {
        if !self.plan.sharded {
            self.record.line(text);
        }
    }

    fn holds_key(&self, key: u16) -> bool {
        self.holds()
            .iter()
            .any(|row| (row.0..=row.1).contains(&key))
    }

    fn answer(&self, head: &Head, _body: &[u8]) -> Vec<u8> {
        let request = head
            .header("gradeford-attempt-id")
            .unwrap_or("")
            .to_string();
        let not_run = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nGradeford-Attempt-Id: {request}\r\nGradeford-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )
            .into_bytes()
        };
        if head.first_line.starts_with("GET /health ") {
            return format!(
                "HTTP/1.1 200 OK\r\nGradeford-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.plan.id
            )
            .into_bytes();
        }
        if request.is_empty() {
            return not_run("400 Bad Request");
        }
        let target = head.header("gradeford-target-instance");
        let key = head
            .header("gradeford-shard-key")
            .and_then(|text| text.parse().ok());
        let other = target.is_some_and(|target| target != self.plan.id);
        if other || self.plan.sharded && !key.is_some_and(|key| self.holds_key(key)) {
            return not_run("421 Misdirected Request");
        }
        let left = head
            .header("gradeford-time-left-ms")
            .and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(600_000));
        {
            let mut free = self.free.lock().unwrap();
            if *free == 0 && self.waiting.load(Ordering::SeqCst) >= QUEUE {
                return not_run("503 Service Unavailable");
            }
            self.waiting.fetch_add(1, Ordering::SeqCst);
            while *free == 0 && Instant::now() < until {
                let wait = until.saturating_duration_since(Instant::now());
                free = self.freed.wait_timeout(free, wait).unwrap().0;
            }
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            if *free == 0 {
                return not_run("503 Service Unavailable");
            }
            *free -= 1;
        }
        let run = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                request: request.clone(),
                begun: self.record.now(),
                ended: None,
            });
            runs.len() - 1
        };
        self.note(format!("backend {} runs request {request}", self.plan.id));
        let left = until.saturating_duration_since(Instant::now());
        sleep(self.plan.work.min(left));
        let late = self.plan.work > left;
        self.runs.lock().unwrap()[run].ended = Some(self.record.now());
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
        self.note(format!("backend {} ends request {request}", self.plan.id));
        let (status, bytes) = if late {
            ("504 Gateway Timeout", 0)
        } else {
            ("200 OK", self.plan.answer_bytes)
        };
        let mut answer = format!(
            "HTTP/1.1 {status}\r\nGradeford-Attempt-Id: {request}\r\nGradeford-Server-Seal: {}.{request}\r\n\
             Content-Length: {bytes}\r\n\r\n",
            self.plan.id
        )
        .into_bytes();
        answer.resize(answer.len() + bytes, b'x');
        answer
    }
}

/// The parts of a row that no other row covers.
fn remaining(row: Row, others: &[Row]) -> Vec<(u16, u16)> {
    let mut parts = vec![(u32::from(row.0), u32::from(row.1))];
    for (from, to, _) in others {
        let (from, to) = (u32::from(*from), u32::from(*to));
        parts = parts
            .into_iter()
            .flat_map(|(low, high)| {
                let mut rest = Vec::new();
                if to < low || high < from {
                    rest.push((low, high));
                    return rest;
                }
                if low < from {
                    rest.push((low, from - 1));
                }
                if to < high {
                    rest.push((to + 1, high));
                }
                rest
            })
            .collect();
    }
    parts
        .into_iter()
        .map(|(low, high)| (low as u16, high as u16))
        .collect()
}
