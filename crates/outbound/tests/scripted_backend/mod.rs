//! A backend that does what the path of a request says, and a relay that breaks connections.

use std::sync::Arc;
use std::time::Duration;

use http_util::headers::DEFAULT_HEADER_NAMES;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// The request of this number has been read.
    Began(usize),
    /// Its connection was closed from the other side while it was under way.
    Abandoned(usize),
}

pub(crate) struct ScriptedBackend {
    pub address: String,
    events: watch::Receiver<Vec<Event>>,
    /// Those that are silent answer once it moves.
    released: watch::Sender<u64>,
}

impl ScriptedBackend {
    pub(crate) async fn start() -> ScriptedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (tell, events) = watch::channel(Vec::new());
        let (released, releases) = watch::channel(0);
        let tell = Arc::new(tell);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(attend(stream, tell.clone(), releases.clone()));
            }
        });
        ScriptedBackend {
            address,
            events,
            released,
        }
    }

    pub(crate) fn count(&self, number: usize) -> usize {
        self.events
            .borrow()
            .iter()
            .filter(|event| **event == Event::Began(number))
            .count()
    }

    pub(crate) fn ran(&self, number: usize) -> bool {
        self.count(number) > 0
    }

    pub(crate) fn saw(&self, fits: impl Fn(&Event) -> bool) -> bool {
        self.events.borrow().iter().any(fits)
    }

    pub(crate) async fn until(&self, fits: impl Fn(&Event) -> bool) {
        let mut events = self.events.clone();
        events
            .wait_for(|events| events.iter().any(&fits))
            .await
            .expect("the backend is there");
    }

    pub(crate) fn release(&self) {
        self.released.send_modify(|released| *released += 1);
    }
}

async fn head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).to_string())
}

type Tell = Arc<watch::Sender<Vec<Event>>>;

async fn attend(mut stream: TcpStream, tell: Tell, releases: watch::Receiver<u64>) {
    while let Some(head) = head(&mut stream).await {
        let script = head
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .trim_start_matches('/')
            .to_string();
        let prefix = format!("{}: ", DEFAULT_HEADER_NAMES.attempt_id);
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
            .unwrap_or_default()
            .to_string();
        let number: usize = id.trim_start_matches('t').parse().expect("a number");
        tell.send_modify(|events| events.push(Event::Began(number)));
        if script == "silent" && !released(&mut stream, releases.clone()).await {
            return tell.send_modify(|events| events.push(Event::Abandoned(number)));
        }
        if !perform(&script, &id, &mut stream).await {
            return;
        }
    }
}

/// False once the other side has closed the connection.
async fn released(stream: &mut TcpStream, mut releases: watch::Receiver<u64>) -> bool {
    releases.mark_unchanged();
    let mut byte = [0];
    tokio::select! {
        moved = releases.changed() => moved.is_ok(),
        _ = stream.read(&mut byte) => false,
    }
}

fn whole(id: &str, extra: &str) -> String {
    let body = format!("whole {id}");
    format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s\r\n{extra}content-length: {}\r\n\r\n{body}",
        DEFAULT_HEADER_NAMES.attempt_id,
        DEFAULT_HEADER_NAMES.seal,
        body.len()
    )
}

/// Whether the connection stays open.
async fn perform(script: &str, id: &str, stream: &mut TcpStream) -> bool {
    let (said, open) = match script {
        "ok" | "silent" => (whole(id, ""), true),
        "other" => (whole("t424242", ""), true),
        "half" => (whole(id, "").trim_end_matches(id).to_string(), false),
        "garbage" => ("\x01\x02 no answer at all\r\n\r\n".to_string(), false),
        "surplus" => (format!("{}{}", whole(id, ""), whole("t31", "")), true),
        "unsealed" => (
            whole(id, "").replace(DEFAULT_HEADER_NAMES.seal, "x-else"),
            true,
        ),
        "encoded" => (whole(id, "content-encoding: gzip\r\n"), true),
        "continue" => (
            format!("HTTP/1.1 100 Continue\r\n\r\n{}", whole(id, "")),
            true,
        ),
        "endless" | "endless-reset" => {
            let body = if script == "endless" {
                format!("whole {id}")
            } else {
                "who".to_string()
            };
            (
                format!(
                    "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s\r\nconnection: close\r\n\r\n{body}",
                    DEFAULT_HEADER_NAMES.attempt_id, DEFAULT_HEADER_NAMES.seal
                ),
                false,
            )
        }
        // `reset` and `close`.
        _ => (String::new(), false),
    };
    if stream.write_all(said.as_bytes()).await.is_err() {
        return false;
    }
    if script.ends_with("reset") {
        drop(SockRef::from(&*stream).set_linger(Some(Duration::ZERO)));
    }
    open
}

pub(crate) struct Relay {
    pub address: String,
    broken: watch::Sender<u64>,
}

impl Relay {
    pub(crate) async fn start(to: String) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (broken, breaks) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((mut from, _)) = listener.accept().await {
                let (to, mut breaks) = (to.clone(), breaks.clone());
                breaks.mark_unchanged();
                tokio::spawn(async move {
                    let Ok(mut to) = TcpStream::connect(to).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut from, &mut to) => {}
                        _ = breaks.changed() => {}
                    }
                });
            }
        });
        Relay { address, broken }
    }

    pub(crate) fn break_all(&self) {
        self.broken.send_modify(|broken| *broken += 1);
    }
}
