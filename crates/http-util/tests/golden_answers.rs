//! Golden-file tests (`tests/golden/`) for the answers that all HTTP APIs share.
//! `GRADEFORD_WRITE_GOLDEN=1` regenerates the files, see
//! `crates/test-support/tests/golden_files/mod.rs`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use golden_files::compare;
use http_util::HttpServer;
use model::{Change, Error, ErrorKind};
use salvo::{Request, Response, Router};
use std::fmt::Write as _;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Answers with the error whose code is the path.
struct ErrorHandler;
/// Answers with the change that the body contains.
struct EchoHandler;

#[salvo::handler]
impl ErrorHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let code = request.param::<String>("code").unwrap_or_default();
        let kind = ErrorKind::ALL
            .iter()
            .find(|kind| kind.code() == code)
            .expect("a known error code");
        let error = Error::new(*kind, "in words");
        match request.uri().query() {
            Some("later") => {
                http_util::write_error(response, Some("desk/1"), &error.with_retry_after(1_200_000))
            }
            _ => http_util::write_error(response, None, &error),
        }
    }
}

#[salvo::handler]
impl EchoHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match http_util::read_json::<Change>(request).await {
            Ok(change) => http_util::write_json(response, 200, &change),
            Err(error) => http_util::write_json(response, 400, &error),
        }
    }
}

/// Sends a request and returns the status line, the headers that gradeford sets and the body.
async fn send_request(http_server: &HttpServer, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(http_server.address)
        .await
        .expect("a connection");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .expect("a request");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("an answer");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
    let is_relevant = |line: &&str| {
        line.starts_with("HTTP/")
            || line.starts_with("x-gradeford")
            || line.starts_with("retry-after")
            || line.starts_with("content-type")
    };
    let mut lines: Vec<&str> = head.split("\r\n").filter(is_relevant).collect();
    lines[1..].sort_unstable();
    format!("{}\n{body}\n", lines.join("\n"))
}

#[tokio::test]
async fn every_error_kind_keeps_its_status_headers_and_body() {
    let http_server =
        HttpServer::start("127.0.0.1:0", Router::with_path("{code}").get(ErrorHandler))
            .await
            .expect("the HTTP server starts");
    let mut transcript = String::new();
    for kind in ErrorKind::ALL {
        for query in ["", "?later"] {
            let path = format!("/{}{query}", kind.code());
            writeln!(
                transcript,
                "GET {path}\n{}",
                send_request(&http_server, "GET", &path, "").await
            )
            .expect("writing to a string succeeds");
        }
    }
    compare("troubles.txt", &transcript, &[]);
}

#[tokio::test]
async fn invalid_bodies_keep_their_faults() {
    let http_server = HttpServer::start("127.0.0.1:0", Router::new().post(EchoHandler))
        .await
        .expect("the HTTP server starts");
    let bodies = [
        r#"{"id":"a","base":1,"edits":[]}"#,
        "",
        "{",
        "[]",
        r#"{"id":"a"}"#,
        r#"{"id":"a","base":-1,"edits":[]}"#,
        r#"{"id":"a","base":1,"edits":[],"speed":9}"#,
        r#"{"id":"a","base":1,"edits":[{"put_speed":{}}]}"#,
        r#"{"id":"a","base":1,"edits":[{"drop_order":{"name":"a","more":1}}]}"#,
    ];
    let mut transcript = String::new();
    for body in bodies {
        writeln!(
            transcript,
            "POST {body}\n{}",
            send_request(&http_server, "POST", "/", body).await
        )
        .expect("writing to a string succeeds");
    }
    let large = " ".repeat(http_util::MAX_BODY_BYTES + 1);
    writeln!(
        transcript,
        "POST one byte over the limit\n{}",
        send_request(&http_server, "POST", "/", &large).await
    )
    .expect("writing to a string succeeds");
    compare("bodies.txt", &transcript, &[]);
}

#[test]
fn default_header_names_are_unchanged() {
    let names = http_util::headers::DEFAULT_HEADER_NAMES;
    let all_names = [
        names.attempt_id,
        names.time_left_ms,
        names.seal,
        names.target_backend,
        names.not_run,
        names.caller,
        names.shard_key,
    ];
    compare("words.txt", &format!("{}\n", all_names.join("\n")), &[]);
}
