//! HTTP/1.1 over blocking sockets, for the stand-ins' own calls and answers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    /// The first line, then the headers with names in lower case.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `Ok(None)` if the connection ended before its first byte.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 65_536];
    let head_end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return match bytes.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        bytes.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
    };
    let mut rest = bytes.split_off(head_end + 4);
    let mut more = |rest: &mut Vec<u8>| -> io::Result<()> {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&chunk[..count]);
        Ok(())
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let Some(end) = find(&rest, b"\r\n") else {
                more(&mut rest)?;
                continue;
            };
            let size = String::from_utf8_lossy(&rest[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while rest.len() < end + 2 + size + 2 {
                more(&mut rest)?;
            }
            message
                .body
                .extend_from_slice(&rest[end + 2..end + 2 + size]);
            rest.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while rest.len() < length {
        more(&mut rest)?;
    }
    rest.truncate(length);
    message.body = rest;
    Ok(Some(message))
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Sends one request on a new connection and reads the whole answer within `patience`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Message> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, patience.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = |began: Instant| {
        patience
            .checked_sub(began.elapsed())
            .filter(|left| !left.is_zero())
    };
    stream.set_write_timeout(left(began))?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    stream.set_read_timeout(Some(left(began).unwrap_or(Duration::from_millis(1))))?;
    read_message(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str("Host: gradeford\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn answer_bytes(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} {}\r\n",
        if status < 300 { "OK" } else { "No" }
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
