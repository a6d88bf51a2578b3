//! Two nodes over the loopback, the real near and far side, and a scripted back end that does every wrong thing: no
//! answer meets another caller, what must not run twice runs once, and nobody works for a caller that is gone
//! (design 13.2, 13.4; docs/control-plane.md, point 5).

use std::sync::Arc;
use std::task::Poll;

mod back_end;

use back_end::{BackEnd, Event};
use model::{ErrorKind, ExecutionStatus};
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(300);
const NAME: &str = "back-end";

struct Site {
    near: outbound::PeerConnections,
    far: String,
    back_end: BackEnd,
    pit: inbound::ConcurrencyLimiter,
    /// Conns from the near to the far node go through it, so that they can be broken.
    relay: back_end::Relay,
}

fn greeting(purpose: transport::Purpose, address: &str) -> transport::Handshake {
    let (name, zone) = (address.to_string(), "z0".to_string());
    transport::Handshake {
        purpose,
        node_name: name,
        zone,
        address: address.into(),
        incarnation: 1,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

async fn site(slots: u32) -> Site {
    let back_end = BackEnd::start().await;
    let pit = inbound::ConcurrencyLimiter::start(inbound::ConcurrencyLimiterConfig {
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        extra_runs: 0,
    });
    pit.set_backend(Some(inbound::LocalBackend {
        name: NAME.into(),
        address: back_end.address.clone(),
        slots,
        drains_at: None,
        held_keys: None,
    }))
    .await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let far = listener.local_addr().expect("an address").to_string();
    let relay = back_end::Relay::start(far).await;
    let greet: outbound::HandshakeInfo = Arc::new(|purpose| greeting(purpose, "127.0.0.1:0"));
    let (heard, _) = tokio::sync::mpsc::channel(8);
    let (loads, _) = tokio::sync::mpsc::channel(8);
    tokio::spawn(outbound::serve_peers(
        listener,
        greet.clone(),
        control::membership::discovery::empty(),
        pit.clone(),
        (heard, loads),
    ));
    Site {
        near: outbound::PeerConnections::start(greet),
        far: relay.address.clone(),
        back_end,
        pit,
        relay,
    }
}

fn cue(
    number: usize,
    script: &str,
    repeatable: bool,
    left: u64,
) -> Box<transport::ForwardedRequest> {
    Box::new(transport::ForwardedRequest {
        backend: NAME.into(),
        caller: "seat".into(),
        method: "GET".into(),
        target: format!("/{script}"),
        headers: vec![(
            http_util::headers::DEFAULT_HEADER_NAMES.attempt_id.into(),
            format!("t{number}").into_bytes(),
        )],
        body: Vec::new(),
        shard_key: None,
        time_left: left,
        latency_target: left,
        priority: 0,
        idempotent: repeatable,
        force: true,
    })
}

impl Site {
    async fn call(
        &self,
        number: usize,
        script: &str,
        repeatable: bool,
    ) -> Result<transport::ForwardedResponse, model::Error> {
        let call = self
            .near
            .call(&self.far, cue(number, script, repeatable, 600_000_000));
        tokio::time::timeout(BOUND, call)
            .await
            .expect("an outcome in time")
            .0
    }

    /// Sent again, as a caller does it, after each certain refusal.
    async fn until_served(&self, number: usize) -> transport::ForwardedResponse {
        loop {
            match self.call(number, "ok", false).await {
                Ok(take) => return take,
                Err(trouble) => assert_eq!(
                    trouble.execution_status,
                    ExecutionStatus::NotRun,
                    "{trouble:?}"
                ),
            }
        }
    }
}

/// All that a back end may do wrong, and what right answers look like between.
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
async fn every_answer_is_whole_and_its_own_callers_whatever_the_back_end_does() {
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
            Ok(take) => {
                assert_eq!(
                    String::from_utf8_lossy(&take.body),
                    format!("whole t{number}"),
                    "{script}"
                );
                assert!(
                    ["ok", "surplus", "endless", "continue"].contains(&script),
                    "{script} brought a success"
                );
            }
            Err(trouble) if trouble.execution_status == ExecutionStatus::NotRun => {
                assert!(
                    !site.back_end.ran(number),
                    "{script}: it ran and was said not to have run: {trouble:?}"
                );
            }
            Err(_) => {}
        }
    }
    for number in 0..240 {
        assert!(
            site.back_end.count(number) <= 1,
            "request {number} reached the back end {} times",
            site.back_end.count(number)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn conns_between_nodes_that_break_leave_requests_undecided_and_none_is_sent_twice() {
    let site = site(16).await;
    for round in 0..6 {
        let numbers: Vec<usize> = (round * 8..round * 8 + 8).collect();
        let calls = numbers
            .iter()
            .map(|number| site.call(*number, "silent", false));
        let all_began = async {
            for number in &numbers {
                site.back_end
                    .until(|event| *event == Event::Began(*number))
                    .await;
            }
            site.relay.break_all();
        };
        let (outcomes, ()) = tokio::join!(futures(calls), all_began);
        let verdicts: Vec<_> = outcomes
            .into_iter()
            .map(|outcome| outcome.expect_err("nobody answers").execution_status)
            .collect();
        assert!(
            verdicts
                .iter()
                .all(|verdict| *verdict == ExecutionStatus::MayHaveRun),
            "{verdicts:?}"
        );
        // The same node answers again, each caller its own.
        let number = 1_000 + round;
        let take = site.until_served(number).await;
        assert_eq!(take.body, format!("whole t{number}").into_bytes());
        site.back_end.release();
    }
    assert!((0..48).all(|number| site.back_end.count(number) == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_may_be_repeated_ends_when_its_caller_has_left() {
    let site = site(4).await;
    let left = site
        .near
        .call(&site.far, cue(1, "silent", true, 600_000_000));
    tokio::select! {
        _ = left => panic!("nobody answers"),
        () = site.back_end.until(|event| *event == Event::Began(1)) => {}
    }
    tokio::time::timeout(
        BOUND,
        site.back_end.until(|event| *event == Event::Abandoned(1)),
    )
    .await
    .expect("it is broken off");
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_must_not_run_twice_goes_on_when_its_caller_has_left() {
    let site = site(4).await;
    tokio::select! {
        _ = site.near.call(&site.far, cue(1, "silent", false, 600_000_000)) => panic!("nobody answers"),
        () = site.back_end.until(|event| *event == Event::Began(1)) => {}
    }
    // Said after it on the same conn, so the far side has heard that the caller left.
    site.call(2, "ok", false).await.expect("it is served");
    assert!(!site.back_end.saw(|event| *event == Event::Abandoned(1)));
    site.back_end.release();
}

#[tokio::test(flavor = "multi_thread")]
async fn what_waits_for_a_slot_never_begins_once_its_caller_has_left() {
    let site = site(1).await;
    let holds = site.call(0, "silent", false);
    let rest = async {
        site.back_end.until(|event| *event == Event::Began(0)).await;
        for number in 1..6 {
            let waits = site
                .near
                .call(&site.far, cue(number, "ok", number % 2 == 0, 600_000_000));
            tokio::select! {
                outcome = waits => panic!("the slot is taken: {outcome:?}"),
                // It waits there, and then its caller leaves.
                () = until_waiting(&site.pit) => {}
            }
            until_told(&site).await;
        }
        site.back_end.release();
    };
    let (held, ()) = tokio::join!(holds, rest);
    assert!(held.is_ok());
    let last = site.call(9, "ok", false).await;
    assert!(last.is_ok(), "{last:?}");
    assert!(
        (1..6).all(|number| site.back_end.count(number) == 0),
        "one began for nobody"
    );
}

async fn until_waiting(pit: &inbound::ConcurrencyLimiter) {
    while pit.load().await.1 == 0 {
        tokio::task::yield_now().await;
    }
}

/// What was said on the conn before has been heard: a refused request comes back after it.
async fn until_told(site: &Site) {
    let mut other = cue(99, "ok", false, 600_000_000);
    other.backend = "another".into();
    let (outcome, _) = site.near.call(&site.far, other).await;
    assert_eq!(
        outcome.expect_err("it is not there").kind,
        ErrorKind::WrongIncarnation
    );
}

async fn futures<T>(calls: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut pending: Vec<_> = calls.map(|call| (Box::pin(call), None)).collect();
    std::future::poll_fn(|context| {
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
