//! The owner of the back end beside a node, over a log of one seat in this process (design 11.2, 11.5).

mod harness;

use harness::{BEAT, BOUND, MOST, all, joined, scene, scene_with};
use model::cluster_state::ClusterReport;

fn ends(report: &ClusterReport, who: &str) -> bool {
    matches!(report, ClusterReport::BackendEnded { name, .. } if name == who)
}

fn silent(report: &ClusterReport, who: &str, wanted: bool) -> bool {
    matches!(report, ClusterReport::BackendSilent { name, silent } if name == who && *silent == wanted)
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_is_not_heard_though_its_process_lives_comes_back_under_its_name() {
    let mut scene = scene(false, Vec::new()).await;
    scene.beat("a", 1, Vec::new()).await;
    scene
        .hears("it is there", |report| {
            matches!(report, ClusterReport::BackendJoined { .. })
        })
        .await;
    let (_, first) = scene
        .hears("it is silent, or gone", |report| {
            silent(report, "a", true) || ends(report, "a")
        })
        .await;
    assert!(
        silent(&first, "a", true),
        "nobody knows that its process is gone: {first:?}"
    );
    scene.beat("a", 2, Vec::new()).await;
    scene
        .hears("it is heard again", |report| silent(report, "a", false))
        .await;
    assert_eq!(scene.count(|report| ends(report, "a")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_an_earlier_process_of_the_node_granted_is_not_taken_for_over() {
    // The log has moved its keys on; whoever got them waits until it holds them no more.
    let before = vec![
        joined("a", "n0"),
        joined("b", "n1"),
        all(0, "a"),
        all(4, "b"),
    ];
    let mut scene = scene(true, before).await;
    scene.beat("a", 9, vec![(0, u16::MAX, 4)]).await;
    let heard = model::now();
    let over = |report: &ClusterReport| {
        ends(report, "a")
            || matches!(report, ClusterReport::ShardsReleased { name, .. } if name == "a")
    };
    let (told, report) = scene.hears("it holds nothing", over).await;
    assert!(
        told >= heard + MOST - BEAT,
        "{report:?} after {}",
        told - heard
    );
    assert!(!ends(&report, "a"), "it may be heard again: {report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_life_that_ended_while_the_node_did_not_run_is_told_as_ended() {
    let mut scene = scene(
        true,
        vec![joined("old", "n0"), joined("other", "n1"), all(0, "old")],
    )
    .await;
    // While nobody beats it may still be there.
    scene
        .hears("it is silent", |report| silent(report, "old", true))
        .await;
    assert_eq!(scene.count(|report| ends(report, "old")), 0);
    scene.beat("new", 1, Vec::new()).await;
    let (_, ended) = scene
        .hears("it has ended", |report| ends(report, "old"))
        .await;
    assert_eq!(
        ended,
        ClusterReport::BackendEnded {
            name: "old".into(),
            process_gone: true
        },
        "there is one back end to a machine"
    );
    scene
        .hears(
            "the new one is there",
            |report| matches!(report, ClusterReport::BackendJoined { name, .. } if name == "new"),
        )
        .await;
    assert_eq!(scene.count(|report| ends(report, "other")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_end_is_told_once() {
    let mut scene = scene(false, Vec::new()).await;
    scene.beat("a", 1, Vec::new()).await;
    scene
        .hears("it is there", |report| {
            matches!(report, ClusterReport::BackendJoined { .. })
        })
        .await;
    scene
        .lease_table
        .deregister("a".into())
        .await
        .expect("the owner is there");
    scene
        .hears("it has ended", |report| ends(report, "a"))
        .await;
    // The owner sees to its reports at each word it gets; what it is to tell again it has told by then.
    for sequence in 2..400 {
        scene.beat("a", sequence, Vec::new()).await;
    }
    assert!(
        scene.count(|report| ends(report, "a")) <= 2,
        "that it signed off, and that it is gone"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn whose_end_the_log_has_is_not_told_to_it_for_ever() {
    let mut scene = scene(
        false,
        vec![ClusterReport::BackendEnded {
            name: "gone".into(),
            process_gone: true,
        }],
    )
    .await;
    scene.beat("gone", 1, Vec::new()).await;
    scene
        .hears("it is there", |report| {
            matches!(report, ClusterReport::BackendJoined { .. })
        })
        .await;
    for sequence in 2..400 {
        scene.beat("gone", sequence, Vec::new()).await;
    }
    let joined = scene.count(|report| matches!(report, ClusterReport::BackendJoined { .. }));
    assert!(
        joined <= 2,
        "once beside the node, and once alone, which changes nothing: {joined}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_beat_of_an_earlier_life_does_not_end_the_one_that_came_after_it() {
    let mut scene = scene(false, vec![joined("a", "n0")]).await;
    // This process has just begun; what the earlier life had sent is read after the new one's first, while the log
    // has not answered yet.
    scene.answers.send_replace(false);
    scene
        .hears("the node is there", |report| {
            matches!(report, ClusterReport::NodeRegistered { .. })
        })
        .await;
    scene.beat("b", 1, Vec::new()).await;
    scene.beat("a", 7, Vec::new()).await;
    scene.answers.send_replace(true);
    scene
        .hears(
            "the new one is there",
            |report| matches!(report, ClusterReport::BackendJoined { name, .. } if name == "b"),
        )
        .await;
    scene
        .hears("the earlier one has ended", |report| ends(report, "a"))
        .await;
    scene.beat("a", 8, Vec::new()).await;
    scene
        .hears("the new one is silent", |report| silent(report, "b", true))
        .await;
    // By now the log has forgotten where the earlier one was.
    scene.beat("a", 9, Vec::new()).await;
    scene.beat("b", 2, Vec::new()).await;
    scene
        .hears("the new one is heard again", |report| {
            silent(report, "b", false) || ends(report, "b")
        })
        .await;
    assert_eq!(scene.count(|report| ends(report, "b")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_beat_read_first_does_not_keep_out_the_one_that_lives() {
    let scene = scene(false, vec![joined("a", "n0"), joined("b", "n0")]).await;
    // The node has begun anew; the log knows both, and the one that is over is read first.
    scene.beat("a", 7, Vec::new()).await;
    let beats = async {
        for sequence in 1.. {
            scene.beat("b", sequence, Vec::new()).await;
            tokio::task::yield_now().await;
            if scene.count(|report| ends(report, "a")) > 0 {
                return sequence;
            }
        }
        0
    };
    let sequence = tokio::time::timeout(BOUND, beats)
        .await
        .expect("the one that beats is taken for the one that lives");
    scene.beat("b", sequence + 1, Vec::new()).await;
    assert_eq!(
        scene.count(|report| ends(report, "b")),
        0,
        "and the other one's beat has ended nobody"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_again_gives_work_to_the_back_end_that_the_log_has_before_it_beats() {
    // Nothing beats here at all.
    let scene = scene_with(
        600_000_000,
        true,
        vec![joined("a", "n0"), joined("other", "n1"), all(0, "a")],
    )
    .await;
    let cue = transport::ForwardedRequest {
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
            scene
                .pit
                .perform(Box::new(cue.clone()))
                .await
                .0
                .expect_err("it never answers");
        }
    };
    let given = async {
        tokio::select! { taken = scene.process.accept() => taken.is_ok(), () = given => false }
    };
    assert!(
        tokio::time::timeout(BOUND, given)
            .await
            .expect("it was never given its request")
    );
}
