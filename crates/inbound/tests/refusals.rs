//! What a backend answers with a status that promises it did not run, with and without the word that it did not
//! (design 13.4).

use model::{ErrorKind, ExecutionStatus};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Answers each request with the head that its path names.
async fn start_backend() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a head"));
            }
            let head = String::from_utf8_lossy(&head).to_string();
            let mut asked = head
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .trim_start_matches('/')
                .split('/');
            let (status, marked) = (
                asked.next().unwrap_or_default(),
                asked.next() == Some("marked"),
            );
            let mark = if marked {
                "x-gradeford-not-run: 1\r\n"
            } else {
                ""
            };
            let answer = format!(
                "HTTP/1.1 {status} x\r\nx-gradeford-try: t\r\n{mark}connection: close\r\ncontent-length: 0\r\n\r\n"
            );
            stream
                .write_all(answer.as_bytes())
                .await
                .expect("it is read");
        }
    });
    address
}

async fn answered(address: &str, target: &str) -> Result<u16, (ErrorKind, ExecutionStatus)> {
    let request = transport::ForwardedRequest {
        backend: "b".into(),
        caller: "seat".into(),
        method: "PUT".into(),
        target: target.into(),
        headers: vec![("x-gradeford-try".into(), b"t".to_vec())],
        body: Vec::new(),
        shard_key: None,
        time_left: 30_000_000,
        latency_target: 30_000_000,
        priority: 0,
        idempotent: false,
        force: false,
    };
    let outcome = inbound::BackendClient::new(http_util::headers::DEFAULT_HEADER_NAMES)
        .forward(address, &request, 30_000_000)
        .await;
    outcome
        .map(|take| take.status)
        .map_err(|error| (error.kind, error.execution_status))
}

#[tokio::test]
async fn a_status_that_promises_is_passed_on_only_with_the_backends_word() {
    let address = start_backend().await;
    for status in [408, 421, 429, 503] {
        let marked = answered(&address, &format!("/{status}/marked")).await;
        assert_eq!(
            marked,
            Err((ErrorKind::Refused, ExecutionStatus::NotRun)),
            "{status}"
        );
    }
    for status in [408, 429, 503] {
        let bare = answered(&address, &format!("/{status}/bare")).await;
        assert_eq!(
            bare,
            Err((ErrorKind::BackendLost, ExecutionStatus::MayHaveRun)),
            "{status}: nobody said that it did not run"
        );
    }
    // A backend that is not the one asked for says so by the status alone; all else is its own answer.
    assert_eq!(
        answered(&address, "/421/bare").await,
        Err((ErrorKind::Refused, ExecutionStatus::NotRun))
    );
    for status in [400, 404, 409, 500, 504] {
        assert_eq!(
            answered(&address, &format!("/{status}/bare")).await,
            Ok(status)
        );
    }
}
