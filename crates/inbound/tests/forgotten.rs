//! A stand-in back end that forgets every conn it has answered on: the next thing sent there is reset (design 13.9).

use std::sync::Arc;
use std::sync::Mutex;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// The requests in the order of their arrival: the number of the conn, how many came on it before, and the method.
type Arrivals = Arc<Mutex<Vec<(usize, usize, String)>>>;

async fn back_end() -> (String, Arrivals) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let arrivals = Arrivals::default();
    let seen = arrivals.clone();
    tokio::spawn(async move {
        for conn in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            tokio::spawn(attend(conn, stream, seen.clone()));
        }
    });
    (address, arrivals)
}

async fn attend(conn: usize, mut stream: tokio::net::TcpStream, seen: Arrivals) {
    for before in 0.. {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_string();
        let method = head.split(' ').next().unwrap_or_default().to_string();
        seen.lock().expect("whole").push((conn, before, method));
        if before > 0 {
            // What it read and never answers makes the close a reset.
            return;
        }
        let try_id = head
            .lines()
            .find_map(|line| line.strip_prefix("x-gradeford-try: "))
            .unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-gradeford-try: {try_id}\r\nx-gradeford-seal: s\r\ncontent-length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn cue(repeatable: bool, number: usize) -> transport::ForwardedRequest {
    transport::ForwardedRequest {
        backend: "b".into(),
        caller: "seat".into(),
        method: if repeatable { "GET" } else { "PUT" }.into(),
        target: "/seat/1".into(),
        headers: vec![("x-gradeford-try".into(), format!("t{number}").into_bytes())],
        body: Vec::new(),
        shard_key: None,
        time_left: 30_000_000,
        latency_target: 30_000_000,
        priority: 0,
        idempotent: repeatable,
        force: false,
    }
}

#[tokio::test]
async fn what_must_not_run_twice_is_sent_on_new_conns_only_and_the_rest_is_left_to_the_budget() {
    let (address, arrivals) = back_end().await;
    let door = inbound::BackendClient::new(http_util::headers::DEFAULT_HEADER_NAMES);
    let mut outcomes = Vec::new();
    for number in 0..40 {
        let repeatable = number % 2 == 0;
        outcomes.push((
            repeatable,
            door.forward(&address, &cue(repeatable, number), 30_000_000)
                .await,
        ));
    }
    let seen = arrivals.lock().expect("whole").clone();
    assert!(
        outcomes
            .iter()
            .all(|(repeatable, outcome)| *repeatable || outcome.is_ok()),
        "{outcomes:?}"
    );
    assert!(
        seen.iter()
            .all(|(_, before, method)| method != "PUT" || *before == 0),
        "{seen:?}"
    );
    // Each was sent once: a repeat is an arrival that the near side has to pay for.
    assert_eq!(seen.len(), 40);
    let lost: Vec<_> = outcomes
        .iter()
        .filter_map(|(_, outcome)| outcome.as_ref().err())
        .collect();
    assert!(lost.len() >= 10, "kept conns were used: {}", lost.len());
    assert!(
        lost.iter()
            .all(|trouble| trouble.execution_status == model::ExecutionStatus::MayHaveRun)
    );
}

#[tokio::test]
async fn a_kept_conn_outlives_requests_that_may_not_ride_on_it() {
    let (address, arrivals) = back_end().await;
    let door = inbound::BackendClient::new(http_util::headers::DEFAULT_HEADER_NAMES);
    door.forward(&address, &cue(true, 0), 30_000_000)
        .await
        .expect("the first on its conn");
    for number in 1..4 {
        door.forward(&address, &cue(false, number), 30_000_000)
            .await
            .expect("on a conn of its own");
    }
    for number in 4..6 {
        drop(door.forward(&address, &cue(true, number), 30_000_000).await);
    }
    let seen: Vec<(usize, usize)> = arrivals
        .lock()
        .expect("whole")
        .iter()
        .map(|(conn, before, _)| (*conn, *before))
        .collect();
    assert_eq!(
        seen[4..],
        [(3, 1), (2, 1)],
        "the conn used last, then the one before it, and no new one"
    );
}
