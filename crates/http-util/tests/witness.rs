//! The answers that every HTTP peer shares, as golden files (`tests/golden/`). How they are written anew stands at the
//! head of `crates/test-support/tests/golden_files/mod.rs`: `GRADEFORD_WRITE_GOLDEN=1`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use golden_files::compare;
use http_util::HttpServer;
use model::{Change, Error, ErrorKind};
use salvo::{Request, Response, Router};
use std::fmt::Write as _;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Troubled;
struct Reader;

#[salvo::handler]
impl Troubled {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let code = request.param::<String>("code").unwrap_or_default();
        let cause = ErrorKind::ALL
            .iter()
            .find(|cause| cause.code() == code)
            .expect("a cause");
        let trouble = Error::new(*cause, "in words");
        match request.uri().query() {
            Some("later") => http_util::write_error(
                response,
                Some("desk/1"),
                &trouble.with_retry_after(1_200_000),
            ),
            _ => http_util::write_error(response, None, &trouble),
        }
    }
}

#[salvo::handler]
impl Reader {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match http_util::read_json::<Change>(request).await {
            Ok(change) => http_util::write_json(response, 200, &change),
            Err(fault) => http_util::write_json(response, 400, &fault),
        }
    }
}

/// Status line, the headers that are the product's own, and the body.
async fn answer(serving: &HttpServer, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(serving.address)
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
    let own = |line: &&str| {
        line.starts_with("HTTP/")
            || line.starts_with("x-gradeford")
            || line.starts_with("retry-after")
            || line.starts_with("content-type")
    };
    let mut lines: Vec<&str> = head.split("\r\n").filter(own).collect();
    lines[1..].sort_unstable();
    format!("{}\n{body}\n", lines.join("\n"))
}

#[tokio::test]
async fn every_cause_of_trouble_keeps_its_status_headers_and_body() {
    let serving = HttpServer::start("127.0.0.1:0", Router::with_path("{code}").get(Troubled))
        .await
        .expect("http");
    let mut told = String::new();
    for cause in ErrorKind::ALL {
        for query in ["", "?later"] {
            let path = format!("/{}{query}", cause.code());
            writeln!(
                told,
                "GET {path}\n{}",
                answer(&serving, "GET", &path, "").await
            )
            .expect("text");
        }
    }
    compare("troubles.txt", &told, &[]);
}

#[tokio::test]
async fn a_body_that_cannot_be_read_keeps_its_fault() {
    let serving = HttpServer::start("127.0.0.1:0", Router::new().post(Reader))
        .await
        .expect("http");
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
    let mut told = String::new();
    for body in bodies {
        writeln!(
            told,
            "POST {body}\n{}",
            answer(&serving, "POST", "/", body).await
        )
        .expect("text");
    }
    let large = " ".repeat(http_util::MAX_BODY_BYTES + 1);
    writeln!(
        told,
        "POST one byte over the limit\n{}",
        answer(&serving, "POST", "/", &large).await
    )
    .expect("text");
    compare("bodies.txt", &told, &[]);
}

#[test]
fn the_products_own_header_words_stay() {
    let words = http_util::headers::DEFAULT_HEADER_NAMES;
    let all = [
        words.attempt_id,
        words.time_left_ms,
        words.seal,
        words.target_backend,
        words.not_run,
        words.caller,
        words.shard_key,
    ];
    compare("words.txt", &format!("{}\n", all.join("\n")), &[]);
}
