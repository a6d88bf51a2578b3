//! HTTP/1.1 over blocking sockets: what a client sends and reads, and what a backend reads.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(own, _)| own == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if the first line holds none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The end of an exchange.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete answer.
    Answer(Head, Vec<u8>),
    /// The connection ended after this many bytes of an answer that is not complete.
    Cut(usize),
    /// No connection, or the request could not be sent.
    NotSent,
    /// No complete answer within the client's time.
    TimedOut,
}

impl Outcome {
    /// The status of the answer; 0 without a complete answer.
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answer(head, _) => head.status(),
            _ => 0,
        }
    }

    /// A short text for the record.
    pub fn text(&self) -> String {
        match self {
            Outcome::Answer(head, body) => {
                format!("status {} with {} bytes", head.status(), body.len())
            }
            Outcome::Cut(bytes) => format!("cut after {bytes} bytes, no complete answer"),
            Outcome::NotSent => "not sent".into(),
            Outcome::TimedOut => "no answer in the client's time".into(),
        }
    }
}

impl Connection {
    /// Connects within a second.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection::over(stream))
    }

    /// Wraps an open stream.
    pub fn over(stream: TcpStream) -> Connection {
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 65_536];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_string();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_string()))
                    .collect();
                return Ok(Some(Head {
                    first_line,
                    headers,
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body of the length that the head names; `None` if the connection ends before.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Option<Vec<u8>>> {
        let length = head.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    /// Reads one answer within `limit`.
    pub fn read_answer(&mut self, limit: Duration) -> Outcome {
        let until = Instant::now() + limit;
        let mut head: Option<Head> = None;
        let mut seen = 0;
        loop {
            if head.is_none() && self.buffer.windows(4).any(|four| four == b"\r\n\r\n") {
                head = self.read_head().ok().flatten();
            }
            if let Some(known) = &head {
                let length = known.header("content-length");
                let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
                if self.buffer.len() >= length {
                    let body = self.buffer.drain(..length).collect();
                    return Outcome::Answer(known.clone(), body);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Outcome::TimedOut;
            }
            drop(self.stream.set_read_timeout(Some(left)));
            match self.fill() {
                Ok(0) => return Outcome::Cut(seen),
                Ok(count) => seen += count,
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Outcome::TimedOut;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Outcome::Cut(seen),
            }
        }
    }

    /// Sends a request and reads its answer within `limit`.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> Outcome {
        if self.stream.write_all(request).is_err() {
            return Outcome::NotSent;
        }
        self.read_answer(limit)
    }
}

/// Writes a request with a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads its answer.
pub fn call_once(address: SocketAddr, request: &[u8], limit: Duration) -> Outcome {
    match Connection::open(address) {
        Ok(mut connection) => connection.call(request, limit),
        Err(_) => Outcome::NotSent,
    }
}
