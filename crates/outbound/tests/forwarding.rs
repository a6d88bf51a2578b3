//! Two nodes over the loopback with the real outbound and inbound side, and a scripted backend that
//! does every wrong thing: no response meets another caller, what must not run twice runs once, and
//! nobody works for a caller that is gone (design 13.2, 13.4; docs/control-plane.md, point 5).

mod scripted_backend;

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use http_util::headers::DEFAULT_HEADER_NAMES;
use inbound::{ConcurrencyLimiter, ConcurrencyLimiterConfig, LocalBackend};
use model::{Error, ErrorKind, ExecutionStatus};
use outbound::{HandshakeFactory, PeerConnections};
use scripted_backend::{Event, Relay, ScriptedBackend};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use transport::{ForwardedRequest, ForwardedResponse, Handshake, Purpose};

const OUTCOME_TIMEOUT: Duration = Duration::from_secs(300);
const NAME: &str = "back-end";
const TEN_MINUTES: u64 = 600_000_000;

struct Site {
    peers: PeerConnections,
    far_address: String,
    backend: ScriptedBackend,
    limiter: ConcurrencyLimiter,
    /// Connections to the far node go through it, so that they can be broken.
    relay: Relay,
}

fn handshake(purpose: Purpose, address: &str) -> Handshake {
    Handshake {
        purpose,
        node_name: address.to_string(),
        zone: "z0".to_string(),
        address: address.into(),
        incarnation: 1,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

async fn site(slots: u32) -> Site {
    let backend = ScriptedBackend::start().await;
    let config = ConcurrencyLimiterConfig {
        header_names: DEFAULT_HEADER_NAMES,
        extra_runs: 0,
    };
    let limiter = ConcurrencyLimiter::start(config);
    let local = LocalBackend {
        name: NAME.into(),
        address: backend.address.clone(),
        slots,
        drains_at: None,
        held_keys: None,
    };
    limiter.set_backend(Some(local)).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Relay::start(listener.local_addr().expect("an address").to_string()).await;
    let info: HandshakeFactory = Arc::new(|purpose| handshake(purpose, "127.0.0.1:0"));
    let (heartbeats, _) = mpsc::channel(8);
    let (load_reports, _) = mpsc::channel(8);
    let known_replicas = control::membership::discovery::empty();
    let senders = (heartbeats, load_reports);
    tokio::spawn(outbound::serve_peers(
        listener,
        info.clone(),
        known_replicas,
        limiter.clone(),
        senders,
    ));
    let far_address = relay.address.clone();
    Site {
        peers: PeerConnections::start(info),
        far_address,
        backend,
        limiter,
        relay,
    }
}

fn request(number: usize, script: &str, idempotent: bool) -> Box<ForwardedRequest> {
    Box::new(ForwardedRequest {
        backend: NAME.into(),
        caller: "seat".into(),
        method: "GET".into(),
        target: format!("/{script}"),
        headers: vec![(
            DEFAULT_HEADER_NAMES.attempt_id.into(),
            format!("t{number}").into_bytes(),
        )],
        body: Vec::new(),
        shard_key: None,
        time_left: TEN_MINUTES,
        latency_target: TEN_MINUTES,
        priority: 0,
        idempotent,
        force: true,
    })
}

impl Site {
    async fn call(
        &self,
        number: usize,
        script: &str,
        idempotent: bool,
    ) -> Result<ForwardedResponse, Error> {
        let call = self
            .peers
            .call(&self.far_address, request(number, script, idempotent));
        tokio::time::timeout(OUTCOME_TIMEOUT, call)
            .await
            .expect("an outcome in time")
            .0
    }

    /// Sent again, as a caller does it, after each certain refusal.
    async fn until_served(&self, number: usize) -> ForwardedResponse {
        loop {
            match self.call(number, "ok", false).await {
                Ok(response) => return response,
                Err(error) => {
                    assert_eq!(error.execution_status, ExecutionStatus::NotRun, "{error:?}")
                }
            }
        }
    }
}

/// All that a backend may do wrong, and what right answers look like between.
const SCRIPTS: [&str; 12] = [
    "ok",
    "other",
    "half",
    "garbage",
    "reset",
    "close",
    "surplus",
    "unsealed",
    "encoded",
    "endless-reset",
    "endless",
    "continue",
];

#[tokio::test(flavor = "multi_thread")]
async fn every_response_is_complete_and_its_own_callers_whatever_the_backend_does() {
    let site = site(4).await;
    let calls = (0..240).map(|number| {
        let script = SCRIPTS[(number * 7 + number / 12) % SCRIPTS.len()];
        let site = &site;
        async move {
            (
                number,
                script,
                site.call(number, script, number % 3 != 0).await,
            )
        }
    });
    for (number, script, outcome) in futures(calls).await {
        match outcome {
            Ok(response) => {
                assert_eq!(
                    String::from_utf8_lossy(&response.body),
                    format!("whole t{number}"),
                    "{script}"
                );
                assert!(
                    ["ok", "surplus", "endless", "continue"].contains(&script),
                    "{script} brought a success"
                );
            }
            Err(error) if error.execution_status == ExecutionStatus::NotRun => {
                assert!(
                    !site.backend.ran(number),
                    "{script}: it ran and was said not to have run: {error:?}"
                );
            }
            Err(_) => {}
        }
    }
    for number in 0..240 {
        assert!(
            site.backend.count(number) <= 1,
            "request {number} reached the backend {} times",
            site.backend.count(number)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_between_nodes_that_break_leave_requests_undecided_and_none_is_sent_twice() {
    let site = site(16).await;
    for round in 0..6 {
        let numbers: Vec<usize> = (round * 8..round * 8 + 8).collect();
        let calls = numbers
            .iter()
            .map(|number| site.call(*number, "silent", false));
        let all_began = async {
            for number in &numbers {
                site.backend
                    .until(|event| *event == Event::Began(*number))
                    .await;
            }
            site.relay.break_all();
        };
        let (outcomes, ()) = tokio::join!(futures(calls), all_began);
        let statuses: Vec<_> = outcomes
            .into_iter()
            .map(|outcome| outcome.expect_err("nobody answers").execution_status)
            .collect();
        assert!(
            statuses
                .iter()
                .all(|status| *status == ExecutionStatus::MayHaveRun),
            "{statuses:?}"
        );
        // The same node answers again, each caller its own.
        let number = 1_000 + round;
        let response = site.until_served(number).await;
        assert_eq!(response.body, format!("whole t{number}").into_bytes());
        site.backend.release();
    }
    assert!((0..48).all(|number| site.backend.count(number) == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_broken_off_when_its_caller_has_left() {
    let site = site(4).await;
    let left = site
        .peers
        .call(&site.far_address, request(1, "silent", true));
    tokio::select! {
        _ = left => panic!("nobody answers"),
        () = site.backend.until(|event| *event == Event::Began(1)) => {}
    }
    tokio::time::timeout(
        OUTCOME_TIMEOUT,
        site.backend.until(|event| *event == Event::Abandoned(1)),
    )
    .await
    .expect("it is broken off");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_must_not_run_twice_goes_on_when_its_caller_has_left() {
    let site = site(4).await;
    tokio::select! {
        _ = site.peers.call(&site.far_address, request(1, "silent", false)) => panic!("nobody answers"),
        () = site.backend.until(|event| *event == Event::Began(1)) => {}
    }
    // Said after it on the same connection, so the far node has heard that the caller left.
    site.call(2, "ok", false).await.expect("it is served");
    assert!(!site.backend.saw(|event| *event == Event::Abandoned(1)));
    site.backend.release();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_queued_for_a_slot_never_begins_once_its_caller_has_left() {
    let site = site(1).await;
    let holds = site.call(0, "silent", false);
    let rest = async {
        site.backend.until(|event| *event == Event::Began(0)).await;
        for number in 1..6 {
            let waits = site
                .peers
                .call(&site.far_address, request(number, "ok", number % 2 == 0));
            tokio::select! {
                outcome = waits => panic!("the slot is taken: {outcome:?}"),
                // It waits there, and then its caller leaves.
                () = until_waiting(&site.limiter) => {}
            }
            until_cancellations_arrived(&site).await;
        }
        site.backend.release();
    };
    let (held, ()) = tokio::join!(holds, rest);
    assert!(held.is_ok());
    let last = site.call(9, "ok", false).await;
    assert!(last.is_ok(), "{last:?}");
    assert!(
        (1..6).all(|number| site.backend.count(number) == 0),
        "one began for nobody"
    );
}

async fn until_waiting(limiter: &ConcurrencyLimiter) {
    while limiter.load().await.1 == 0 {
        tokio::task::yield_now().await;
    }
}

/// What was said on the connectionection before has been heard: a refused request comes back after it.
async fn until_cancellations_arrived(site: &Site) {
    let mut other = request(99, "ok", false);
    other.backend = "another".into();
    let (outcome, _) = site.peers.call(&site.far_address, other).await;
    assert_eq!(
        outcome.expect_err("it is not there").kind,
        ErrorKind::WrongIncarnation
    );
}

async fn futures<T>(calls: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut pending: Vec<_> = calls.map(|call| (Box::pin(call), None)).collect();
    poll_fn(|context| {
        for (call, done) in pending.iter_mut().filter(|(_, done)| done.is_none()) {
            if let Poll::Ready(outcome) = call.as_mut().poll(context) {
                *done = Some(outcome);
            }
        }
        if pending.iter().all(|(_, done)| done.is_some()) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    pending.into_iter().filter_map(|(_, done)| done).collect()
}
