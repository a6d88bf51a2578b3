//! A backend of the users' platform: it beats, holds keys and runs requests as PROTOCOL.md says.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::site::{APP, CONTROL, Machine, Record, Site};

pub const BEAT: Duration = Duration::from_millis(1_500);
/// The largest answer that acknowledges a beat.
pub const MAX_ANSWER: usize = 4_096;

pub type Row = (u16, u16, u64);

#[derive(Default)]
struct Keys {
    held: Vec<Row>,
    /// When the hold of all of them runs out.
    until: Option<Instant>,
    /// Rows let go since the last acknowledged beat.
    released: Vec<(u16, u16, String)>,
    highest: BTreeMap<(u16, u16), u64>,
}

pub struct Life {
    pub id: String,
    pub service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    sharded: bool,
    slots: u32,
    up: AtomicBool,
    /// While set, no beat is sent.
    pub silent: AtomicBool,
    sequence: AtomicU64,
    running: AtomicU32,
    keys: Mutex<Keys>,
    connections: Mutex<Vec<TcpStream>>,
    /// When the newest beat was sent.
    last_beat: Mutex<Option<Instant>>,
    /// Work of a request in milliseconds.
    pub work: AtomicU64,
    record: Arc<Record>,
}

impl Life {
    /// Starts a life of the backend on a machine.
    pub fn start(site: &Site, node: usize, id: &str, sharded: bool) -> Arc<Life> {
        let machine = Machine::Node(node);
        let life = Arc::new(Life {
            id: id.to_string(),
            service: site.services[node].clone(),
            zone: site.zone(machine).to_string(),
            address: site.address(machine, APP),
            control: site.address(machine, CONTROL),
            sharded,
            slots: 12,
            up: AtomicBool::new(true),
            silent: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            keys: Mutex::default(),
            connections: Mutex::default(),
            last_beat: Mutex::default(),
            work: AtomicU64::new(20),
            record: site.record.clone(),
        });
        let listener = TcpListener::bind(life.address).expect("the backend's address");
        listener.set_nonblocking(true).expect("listener");
        let (serving, beating) = (life.clone(), life.clone());
        thread::spawn(move || serving.serve(listener));
        thread::spawn(move || beating.beat());
        life.record.line(format!(
            "{id} of {} starts beside {}",
            life.service,
            machine.name()
        ));
        life
    }

    /// The process is gone: its connections are reset and its address refuses new ones.
    pub fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The accepting thread closes its listener within 10 ms.
        thread::sleep(Duration::from_millis(30));
        self.record.line(format!("{} crashes", self.id));
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// The rows that the backend holds now.
    pub fn held(&self) -> Vec<Row> {
        let keys = self.keys.lock().unwrap();
        match keys.until {
            Some(until) if self.is_up() && Instant::now() < until => keys.held.clone(),
            _ => Vec::new(),
        }
    }

    /// The time since the newest beat was sent.
    pub fn since_beat(&self) -> Duration {
        self.last_beat
            .lock()
            .unwrap()
            .map_or(Duration::ZERO, |sent_at| sent_at.elapsed())
    }

    pub fn hold_left(&self) -> Duration {
        let keys = self.keys.lock().unwrap();
        keys.until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// The next beat as it would be sent now: path and body.
    pub fn next_beat(&self) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let held = self.held();
        let keys = self.keys.lock().unwrap();
        let rows: Vec<String> = held
            .iter()
            .map(|(from, to, fence)| format!("[{from},{to},{fence}]"))
            .collect();
        let released: Vec<String> = keys
            .released
            .iter()
            .map(|(from, to, handover)| format!("[{from},{to},\"{handover}\"]"))
            .collect();
        let holds = match self.sharded {
            true => format!(
                r#","hold_list":[{}],"released":[{}]"#,
                rows.join(","),
                released.join(",")
            ),
            false => String::new(),
        };
        let body = format!(
            r#"{{"address":"{}","summary":{{"service_ref":"{}","version":"v1","zone":"{}","capacity":{}}},"condition":{{"state":"ready","call_seq":{sequence},"cold_left":"0ms"}}{holds}}}"#,
            self.address, self.service, self.zone, self.slots
        );
        (format!("/Instances.Heartbeat/{}", self.id), body)
    }

    fn beat(&self) {
        while self.is_up() {
            if self.silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let sent_at = Instant::now();
            *self.last_beat.lock().unwrap() = Some(sent_at);
            let (path, body) = self.next_beat();
            let sent_releases = self.keys.lock().unwrap().released.len();
            let headers = [("Content-Type", "application/json".to_string())];
            let patience = Duration::from_secs(1);
            let answer = http::call(
                self.control,
                "POST",
                &path,
                &headers,
                body.as_bytes(),
                patience,
            );
            let again = match answer {
                Ok(answer)
                    if (200..300).contains(&answer.status())
                        && answer.body.len() <= MAX_ANSWER
                        && sent_at.elapsed() < patience =>
                {
                    self.take(sent_at, &answer, sent_releases)
                }
                Ok(answer) => {
                    let line = format!(
                        "{}: beat not acknowledged: {} of {} bytes",
                        self.id,
                        answer.status(),
                        answer.body.len()
                    );
                    self.record.line(line);
                    Duration::from_millis(300)
                }
                Err(_) => Duration::from_millis(200),
            };
            let due = Instant::now() + again;
            while self.is_up() && Instant::now() < due {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Takes the answer to a beat; returns the time until the next beat.
    fn take(&self, sent_at: Instant, answer: &Message, sent_releases: usize) -> Duration {
        let mut keys = self.keys.lock().unwrap();
        keys.released.drain(..sent_releases);
        let json = Json::parse(&answer.text()).unwrap_or(Json::Null);
        let Some(rows) = json.get("hold_list") else {
            return BEAT;
        };
        if keys.until.is_some_and(|until| Instant::now() >= until) {
            // What ran out is not told as released.
            keys.held.clear();
        }
        let number = |row: &Json, at: usize| row.list().get(at).map_or(0.0, Json::number);
        let mut granted: Vec<Row> = Vec::new();
        for row in rows.list() {
            let row = (
                number(row, 0) as u16,
                number(row, 1) as u16,
                number(row, 2) as u64,
            );
            let higher = keys
                .highest
                .iter()
                .any(|((from, to), fence)| *from <= row.1 && row.0 <= *to && *fence > row.2);
            if !higher {
                granted.push(row);
            }
        }
        let covered = |(from, to, _): &Row| {
            (*from..=*to).all(|key| {
                granted
                    .iter()
                    .any(|(from, to, _)| (*from..=*to).contains(&key))
            })
        };
        let lost: Vec<Row> = keys
            .held
            .iter()
            .filter(|row| !covered(row))
            .copied()
            .collect();
        for (from, to, fence) in &lost {
            // Only the keys that are no longer granted are let go.
            let mut start = None;
            for key in u32::from(*from)..=u32::from(*to) + 1 {
                let gone = key <= u32::from(*to)
                    && !granted
                        .iter()
                        .any(|(from, to, _)| (u32::from(*from)..=u32::from(*to)).contains(&key));
                match (start, gone) {
                    (None, true) => start = Some(key),
                    (Some(first), false) => {
                        let handover = format!("{:08x}{:08x}", first * 7_919 + 13, *fence as u32);
                        keys.released
                            .push((first as u16, (key - 1) as u16, handover));
                        start = None;
                    }
                    _ => {}
                }
            }
        }
        for (from, to, fence) in &granted {
            keys.highest.insert((*from, *to), *fence);
        }
        keys.held = granted;
        keys.until = json.get("hold").map(|hold| sent_at + duration(hold.text()));
        if lost.is_empty() {
            BEAT
        } else {
            Duration::from_millis(60)
        }
    }

    fn serve(self: Arc<Life>, listener: TcpListener) {
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(own) = stream.try_clone() {
                        self.connections.lock().unwrap().push(own);
                    }
                    let life = self.clone();
                    thread::spawn(move || life.serve_connection(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        while let Ok(Some(request)) = http::read_message(&mut stream) {
            if !self.is_up() {
                return;
            }
            let (status, headers, body) = self.answer(&request);
            if !self.is_up()
                || stream
                    .write_all(&http::answer_bytes(status, &headers, &body))
                    .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<(&'static str, String)>, Vec<u8>) {
        let mut words = request.first.split(' ');
        let path = words.nth(1).unwrap_or_default();
        if path == "/health" {
            return (
                200,
                vec![("Gradeford-Instance-Id", self.id.clone())],
                Vec::new(),
            );
        }
        let attempt = request
            .header("gradeford-attempt-id")
            .unwrap_or_default()
            .to_string();
        let id = ("Gradeford-Attempt-Id", attempt.clone());
        let not_run = ("Gradeford-Not-Run", "1".to_string());
        if attempt.is_empty() {
            return (400, vec![not_run], Vec::new());
        }
        let other = request
            .header("gradeford-target-instance")
            .is_some_and(|target| target != self.id);
        let key: Option<u16> = request
            .header("gradeford-shard-key")
            .and_then(|key| key.parse().ok());
        let holds = || {
            self.held()
                .iter()
                .any(|(from, to, _)| key.is_some_and(|key| (*from..=*to).contains(&key)))
        };
        if other || self.sharded && !holds() {
            return (421, vec![id, not_run], Vec::new());
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots + 48 {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return (503, vec![id, not_run], Vec::new());
        }
        self.record.line(format!("{} runs {attempt}", self.id));
        thread::sleep(Duration::from_millis(self.work.load(Ordering::SeqCst)));
        self.running.fetch_sub(1, Ordering::SeqCst);
        let seal = ("Gradeford-Server-Seal", format!("{}.{attempt}", self.id));
        (200, vec![id, seal], format!("done {attempt}").into_bytes())
    }
}

/// Reads a time such as `4000ms` or `2.5s`.
fn duration(text: &str) -> Duration {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.trim_end_matches('s'), 1.0),
    };
    Duration::from_secs_f64(number.parse::<f64>().unwrap_or(0.0) * unit)
}
