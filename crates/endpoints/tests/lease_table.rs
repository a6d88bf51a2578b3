//! The lease table of a node, over a log of one replica in this process (design sections 11.2 and 11.5).

mod harness;

use harness::{
    HEARTBEAT_INTERVAL, MAX_LEASE, TIMEOUT, all, joined, start_harness, start_harness_with,
};
use model::cluster_state::ClusterReport;
use transport::ForwardedRequest;

fn ends(report: &ClusterReport, who: &str) -> bool {
    matches!(report, ClusterReport::BackendEnded { name, .. } if name == who)
}

fn silent(report: &ClusterReport, who: &str, wanted: bool) -> bool {
    matches!(report, ClusterReport::BackendSilent { name, silent } if name == who && *silent == wanted)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_backend_whose_process_lives_comes_back_under_its_name() {
    let mut harness = start_harness(false, Vec::new()).await;
    harness.heartbeat("a", 1, Vec::new()).await;
    harness
        .wait_for_report("it is there", |report| {
            matches!(report, ClusterReport::BackendJoined { .. })
        })
        .await;
    let (_, first) = harness
        .wait_for_report("it is silent, or gone", |report| {
            silent(report, "a", true) || ends(report, "a")
        })
        .await;
    assert!(
        silent(&first, "a", true),
        "nobody knows that its process is gone: {first:?}"
    );
    harness.heartbeat("a", 2, Vec::new()).await;
    harness
        .wait_for_report("it is heard again", |report| silent(report, "a", false))
        .await;
    assert_eq!(harness.count(|report| ends(report, "a")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn leases_of_an_earlier_process_of_the_node_are_waited_out() {
    // The log has moved its keys on; whoever got them waits until it holds them no more.
    let before = vec![
        joined("a", "n0"),
        joined("b", "n1"),
        all(0, "a"),
        all(4, "b"),
    ];
    let mut harness = start_harness(true, before).await;
    harness.heartbeat("a", 9, vec![(0, u16::MAX, 4)]).await;
    let heard = model::now();
    let over = |report: &ClusterReport| {
        ends(report, "a")
            || matches!(report, ClusterReport::ShardsReleased { name, .. } if name == "a")
    };
    let (told, report) = harness.wait_for_report("it holds nothing", over).await;
    assert!(
        told >= heard + MAX_LEASE - HEARTBEAT_INTERVAL,
        "{report:?} after {}",
        told - heard
    );
    assert!(!ends(&report, "a"), "it may be heard again: {report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_that_ended_while_the_node_was_down_is_reported_as_ended() {
    let mut harness = start_harness(
        true,
        vec![joined("old", "n0"), joined("other", "n1"), all(0, "old")],
    )
    .await;
    // While no backend is heard it may still be there.
    harness
        .wait_for_report("it is silent", |report| silent(report, "old", true))
        .await;
    assert_eq!(harness.count(|report| ends(report, "old")), 0);
    harness.heartbeat("new", 1, Vec::new()).await;
    let (_, ended) = harness
        .wait_for_report("it has ended", |report| ends(report, "old"))
        .await;
    assert_eq!(
        ended,
        ClusterReport::BackendEnded {
            name: "old".into(),
            process_gone: true
        },
        "there is one backend to a machine"
    );
    harness
        .wait_for_report(
            "the new one is there",
            |report| matches!(report, ClusterReport::BackendJoined { name, .. } if name == "new"),
        )
        .await;
    assert_eq!(harness.count(|report| ends(report, "other")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_end_is_reported_once() {
    let mut harness = start_harness(false, Vec::new()).await;
    harness.heartbeat("a", 1, Vec::new()).await;
    harness
        .wait_for_report("it is there", |report| {
            matches!(report, ClusterReport::BackendJoined { .. })
        })
        .await;
    harness
        .lease_table
        .deregister("a".into())
        .await
        .expect("the task runs");
    harness
        .wait_for_report("it has ended", |report| ends(report, "a"))
        .await;
    // The task sends its reports after each command; what it would report again it has reported by then.
    for sequence in 2..400 {
        harness.heartbeat("a", sequence, Vec::new()).await;
    }
    assert!(
        harness.count(|report| ends(report, "a")) <= 2,
        "that it deregistered, and that it is gone"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_whose_end_the_log_has_is_not_reported_for_ever() {
    let mut harness = start_harness(
        false,
        vec![ClusterReport::BackendEnded {
            name: "gone".into(),
            process_gone: true,
        }],
    )
    .await;
    harness.heartbeat("gone", 1, Vec::new()).await;
    harness
        .wait_for_report("it is there", |report| {
            matches!(report, ClusterReport::BackendJoined { .. })
        })
        .await;
    for sequence in 2..400 {
        harness.heartbeat("gone", sequence, Vec::new()).await;
    }
    let joined = harness.count(|report| matches!(report, ClusterReport::BackendJoined { .. }));
    assert!(
        joined <= 2,
        "once beside the node, and once alone, which changes nothing: {joined}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_heartbeat_of_an_earlier_incarnation_does_not_end_the_later_one() {
    let mut harness = start_harness(false, vec![joined("a", "n0")]).await;
    // This process has just begun; what the earlier incarnation had sent is read after the new one's first, while the log
    // has not answered yet.
    harness.answers.send_replace(false);
    harness
        .wait_for_report("the node is there", |report| {
            matches!(report, ClusterReport::NodeRegistered { .. })
        })
        .await;
    harness.heartbeat("b", 1, Vec::new()).await;
    harness.heartbeat("a", 7, Vec::new()).await;
    harness.answers.send_replace(true);
    harness
        .wait_for_report(
            "the new one is there",
            |report| matches!(report, ClusterReport::BackendJoined { name, .. } if name == "b"),
        )
        .await;
    harness
        .wait_for_report("the earlier one has ended", |report| ends(report, "a"))
        .await;
    harness.heartbeat("a", 8, Vec::new()).await;
    harness
        .wait_for_report("the new one is silent", |report| silent(report, "b", true))
        .await;
    // By now the log has forgotten where the earlier one was.
    harness.heartbeat("a", 9, Vec::new()).await;
    harness.heartbeat("b", 2, Vec::new()).await;
    harness
        .wait_for_report("the new one is heard again", |report| {
            silent(report, "b", false) || ends(report, "b")
        })
        .await;
    assert_eq!(harness.count(|report| ends(report, "b")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_heartbeat_read_first_does_not_keep_out_the_living_backend() {
    let harness = start_harness(false, vec![joined("a", "n0"), joined("b", "n0")]).await;
    // The node has begun anew; the log knows both, and the one that is over is read first.
    harness.heartbeat("a", 7, Vec::new()).await;
    let beats = async {
        for sequence in 1.. {
            harness.heartbeat("b", sequence, Vec::new()).await;
            tokio::task::yield_now().await;
            if harness.count(|report| ends(report, "a")) > 0 {
                return sequence;
            }
        }
        0
    };
    let sequence = tokio::time::timeout(TIMEOUT, beats)
        .await
        .expect("the one that beats is taken for the one that lives");
    harness.heartbeat("b", sequence + 1, Vec::new()).await;
    assert_eq!(
        harness.count(|report| ends(report, "b")),
        0,
        "and the other one's beat has ended nobody"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_gives_requests_to_the_logged_backend_before_its_first_heartbeat() {
    // No backend sends heartbeats here.
    let harness = start_harness_with(
        600_000_000,
        true,
        vec![joined("a", "n0"), joined("other", "n1"), all(0, "a")],
    )
    .await;
    let request = ForwardedRequest {
        backend: "a".into(),
        caller: "seat".into(),
        method: "GET".into(),
        target: "/".into(),
        headers: Vec::new(),
        body: Vec::new(),
        shard_key: Some(7),
        time_left: 60_000_000,
        latency_target: 60_000_000,
        priority: 0,
        idempotent: true,
        force: false,
    };
    let given = async {
        loop {
            harness
                .limiter
                .perform(Box::new(request.clone()))
                .await
                .0
                .expect_err("it never answers");
        }
    };
    let given = async {
        tokio::select! { taken = harness.process.accept() => taken.is_ok(), () = given => false }
    };
    assert!(
        tokio::time::timeout(TIMEOUT, given)
            .await
            .expect("it was never given its request")
    );
}
