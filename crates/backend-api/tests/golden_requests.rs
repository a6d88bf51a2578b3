//! Golden-file tests (`tests/golden/`) for the requests to backends, the header names and the seals of
//! responses. `GRADEFORD_WRITE_GOLDEN=1` regenerates the files, see
//! `crates/test-support/tests/golden_files/mod.rs`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use backend_api::{BackendClient, seal};
use golden_files::compare;
use legacy_proxy::BackendConnector;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::thread;
use transport::AttemptRequest;

fn attempt_request(
    shard_key: Option<&str>,
    fencing_token: Option<u64>,
    body: &str,
) -> AttemptRequest {
    AttemptRequest {
        request_id: 1,
        attempt_id: "desk/1".into(),
        ordinal: 2,
        client_service: "desk".into(),
        route: "l".into(),
        service: "seat".into(),
        backend: "seat-0".into(),
        incarnation: 3,
        method: "PUT".into(),
        path: "/a/b".into(),
        query: "?c=d".into(),
        headers: vec![
            ("x-app-note".into(), b"n".to_vec()),
            ("content-type".into(), b"text/plain".to_vec()),
        ],
        body: body.into(),
        shard_key: shard_key.map(str::to_string),
        fencing_token,
        time_left: 5_000_000,
        priority: 5,
        last_watermark: 0,
    }
}

/// Forwards the attempt to a stub backend. Returns the request that the backend received, with its
/// headers sorted by name, and the response that the client returned.
async fn forward_to_stub(attempt_request: AttemptRequest) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let attempt_id = attempt_request.attempt_id.clone();
    let backend = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let mut reader = BufReader::new(stream);
        let mut lines: Vec<String> = reader
            .by_ref()
            .lines()
            .map(|line| line.expect("valid UTF-8"))
            .take_while(|line| !line.is_empty())
            .collect();
        let length = lines
            .iter()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().expect("a length"));
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("a body");
        let seal = seal::seal(&attempt_id, 200, b"done");
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\ncontent-type: text/plain\r\nx-app-note: back\r\nx-more: left out\r\n";
        reader
            .into_inner()
            .write_all(format!("{head}x-gradeford-seal: {seal}\r\n\r\ndone").as_bytes())
            .expect("a response");
        lines[1..].sort_unstable();
        format!(
            "{}\n\n{}\n",
            lines.join("\n"),
            String::from_utf8(body).expect("valid UTF-8")
        )
    });
    let response = BackendClient::new()
        .expect("the client is created")
        .forward(&address, &attempt_request, 4_000_000)
        .await
        .expect("a response");
    let headers: String = response
        .headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\n", String::from_utf8_lossy(value)))
        .collect();
    let received = backend
        .join()
        .expect("the backend thread ends")
        .replace(&address, "<back end>");
    format!(
        "{received}---\n{}\n{headers}seal: {}\n{}\n\n",
        response.status,
        response.seal,
        String::from_utf8_lossy(&response.body)
    )
}

#[tokio::test]
async fn requests_to_backends_match_the_golden_file() {
    let transcripts = [
        forward_to_stub(attempt_request(None, None, "")).await,
        forward_to_stub(attempt_request(Some("k-1"), Some(7), "body")).await,
    ];
    compare("dispatches.txt", &transcripts.concat(), &[]);
}

#[test]
fn header_names_match_the_golden_file() {
    let names = [
        backend_api::ATTEMPT_ID_HEADER,
        backend_api::ATTEMPT_ORDINAL_HEADER,
        backend_api::TIME_LEFT_HEADER,
        backend_api::CLIENT_HEADER,
        backend_api::SERVICE_HEADER,
        backend_api::INCARNATION_HEADER,
        backend_api::SHARD_KEY_HEADER,
        backend_api::FENCING_TOKEN_HEADER,
        backend_api::SEAL_HEADER,
    ];
    compare("headers.txt", &format!("{}\n", names.join("\n")), &[]);
}

#[test]
fn seals_match_the_golden_file() {
    let large = vec![7; 70_000];
    let responses: [(&str, u16, &[u8]); 4] = [
        ("desk/1", 200, b""),
        ("desk/1", 200, b"body"),
        ("desk/1", 404, b"body"),
        ("desk/2", 200, &large),
    ];
    let seals: String = responses
        .iter()
        .map(|(attempt_id, status, body)| {
            format!(
                "{attempt_id} {status} {}: {}\n",
                body.len(),
                seal::seal(attempt_id, *status, body)
            )
        })
        .collect();
    compare("seals.txt", &seals, &[]);
}
