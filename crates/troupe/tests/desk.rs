//! The owner of the back end beside a node, over a log of one seat in this process (design 11.2, 11.5).

use playbill::bill::{Act, Player, Report, Service};
use playbill::{Micros, Phase};

const BEAT: Micros = 40_000;
const MOST: Micros = 1_200_000;
const BOUND: std::time::Duration = std::time::Duration::from_secs(30);

type Heard = (Micros, Report);

/// A log that orders what it is told and shows its node all of it at once.
struct Scene {
    troupe: troupe::Troupe,
    heard: tokio::sync::watch::Receiver<Vec<Heard>>,
    /// Whether the log answers.
    answers: tokio::sync::watch::Sender<bool>,
    /// Takes conns and says nothing: a process that lives.
    process: tokio::net::TcpListener,
}

fn player(node: &str) -> Player {
    Player { service: "seat".into(), zone: "z0".into(), node: node.into(), slots: 4, phase: Phase::Registered, since: 0 }
}

fn joined(name: &str, node: &str) -> Report {
    Report::Joined { name: name.into(), player: player(node) }
}

fn all(base: u64, name: &str) -> Report {
    Report::Recast { service: "seat".into(), base, rows: vec![(0, u16::MAX, name.into())] }
}

fn greets(address: &str) -> wings::Greeting {
    wings::Greeting {
        purpose: wings::Purpose::Subscribe,
        name: "n0".into(),
        zone: "z0".into(),
        address: address.into(),
        incarnation: 1,
        core: None,
        blank: false,
        expects: None,
        known: Vec::new(),
    }
}

async fn scene(keyed: bool, before: Vec<Report>) -> Scene {
    let mut bill = playbill::Bill::default();
    let body = playbill::bill::Body::Service(Service { health_path: String::new(), conns: 0, keyed, warm_us: 0 });
    let put = playbill::bill::items::Put { name: "seat".into(), version: 1, body, text: String::new() };
    bill.apply("operator", 1, 0, Act::Items(playbill::bill::Call { puts: vec![put], drops: Vec::new() }));
    before.into_iter().zip(1..).for_each(|(report, sequence)| drop(bill.apply("earlier", 1, sequence, Act::Reports(vec![report]))));
    let (moved, watch) = tokio::sync::watch::channel(0);
    let following = gallery::Following { outlook: Default::default(), moved: watch };
    // A proof there was, so that reports are told, and long ago, so that nothing is granted.
    let show = |bill: &playbill::Bill, outlook: &gallery::SharedOutlook| {
        let programme = playbill::bill::Programme::default().told(true, bill.position, bill.whole());
        outlook.store(std::sync::Arc::new(gallery::Outlook { programme: std::sync::Arc::new(programme), proved: 1 }));
    };
    show(&bill, &following.outlook);
    let log = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = log.local_addr().expect("an address").to_string();
    let known = gallery::acquaint::nobody();
    gallery::acquaint::merge(&known, vec![wings::CoreSeat { seat: 0, identity: 1, address: address.clone(), zone: "z0".into(), started: 1 }]);
    let (told, heard) = tokio::sync::watch::channel(Vec::new());
    let outlook = following.outlook.clone();
    let (answers, mut answering) = tokio::sync::watch::channel(true);
    tokio::spawn(async move {
        while let Ok((stream, _)) = log.accept().await {
            let own = greets(&address);
            let Ok(mut conn) = wings::accept(stream, |_| async { Ok(own) }).await else { continue };
            while let Some(frame) = conn.receiver.recv().await {
                let wings::Frame::Forward { number, entry } = frame else { continue };
                let playbill::Act::Bill(Act::Reports(reports)) = entry.act else { continue };
                told.send_modify(|told| told.extend(reports.iter().map(|report| (playbill::now(), report.clone()))));
                drop(answering.wait_for(|answers| *answers).await);
                let outcome = bill.apply(&entry.origin, entry.life, entry.sequence, Act::Reports(reports)).0;
                show(&bill, &outlook);
                moved.send_modify(|moved| *moved += 1);
                drop(conn.sender.send(wings::Frame::Answer { number, outcome: Some(outcome) }).await);
            }
        }
    });
    let process = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let keys = troupe::KeysEnv { bound: 1_000_000, guard: 0, most: MOST };
    let env =
        troupe::TroupeEnv { node: "n0".into(), zone: "z0".into(), address: "n0".into(), life: 1, keys, beat_every: BEAT, back_end: None, drain: 1_000_000 };
    let reporting = gallery::ReportingEnv { name: "n0".into(), life: 1, logger: playbill::log::quiet() };
    let reports = gallery::Reports::start(reporting, known, || greets("127.0.0.1:0"));
    let pit = pit::Pit::start(pit::PitEnv { words: lobby::words::OWN, ahead: 0 });
    Scene { troupe: troupe::Troupe::start(env, following, pit, reports, playbill::log::quiet()), heard, answers, process }
}

impl Scene {
    async fn beat(&self, name: &str, sequence: u64, holds: Vec<(u16, u16, u64)>) {
        let address = self.process.local_addr().expect("an address").to_string();
        let (name, service, zone) = (name.to_string(), "seat".to_string(), "z0".to_string());
        let beat = troupe::Beat { name, service, address, zone, slots: 4, draining: false, sequence, holds, freed: Vec::new() };
        assert_eq!(self.troupe.beat(beat).await, Some(None), "nothing can be granted");
    }

    /// The first report that fits, and when it was heard.
    async fn hears(&mut self, what: &str, fits: impl Fn(&Report) -> bool) -> Heard {
        let found = |heard: &Vec<Heard>| heard.iter().find(|(_, report)| fits(report)).cloned();
        let waited = tokio::time::timeout(BOUND, self.heard.wait_for(|heard| found(heard).is_some())).await;
        let heard = waited.unwrap_or_else(|_| panic!("it was never told: {what}")).expect("the log is there");
        found(&heard).expect("it fits")
    }

    fn count(&self, fits: impl Fn(&Report) -> bool) -> usize {
        self.heard.borrow().iter().filter(|(_, report)| fits(report)).count()
    }
}

fn ends(report: &Report, who: &str) -> bool {
    matches!(report, Report::Ended { name, .. } if name == who)
}

fn silent(report: &Report, who: &str, wanted: bool) -> bool {
    matches!(report, Report::Silent { name, silent } if name == who && *silent == wanted)
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_is_not_heard_though_its_process_lives_comes_back_under_its_name() {
    let mut scene = scene(false, Vec::new()).await;
    scene.beat("a", 1, Vec::new()).await;
    scene.hears("it is there", |report| matches!(report, Report::Joined { .. })).await;
    let (_, first) = scene.hears("it is silent, or gone", |report| silent(report, "a", true) || ends(report, "a")).await;
    assert!(silent(&first, "a", true), "nobody knows that its process is gone: {first:?}");
    scene.beat("a", 2, Vec::new()).await;
    scene.hears("it is heard again", |report| silent(report, "a", false)).await;
    assert_eq!(scene.count(|report| ends(report, "a")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_an_earlier_process_of_the_node_granted_is_not_taken_for_over() {
    // The log has moved its keys on; whoever got them waits until it holds them no more.
    let before = vec![joined("a", "n0"), joined("b", "n1"), all(0, "a"), all(4, "b")];
    let mut scene = scene(true, before).await;
    scene.beat("a", 9, vec![(0, u16::MAX, 4)]).await;
    let heard = playbill::now();
    let over = |report: &Report| ends(report, "a") || matches!(report, Report::Released { name, .. } if name == "a");
    let (told, report) = scene.hears("it holds nothing", over).await;
    assert!(told >= heard + MOST - BEAT, "{report:?} after {}", told - heard);
    assert!(!ends(&report, "a"), "it may be heard again: {report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_life_that_ended_while_the_node_did_not_run_is_told_as_ended() {
    let mut scene = scene(true, vec![joined("old", "n0"), joined("other", "n1"), all(0, "old")]).await;
    // While nobody beats it may still be there.
    scene.hears("it is silent", |report| silent(report, "old", true)).await;
    assert_eq!(scene.count(|report| ends(report, "old")), 0);
    scene.beat("new", 1, Vec::new()).await;
    let (_, ended) = scene.hears("it has ended", |report| ends(report, "old")).await;
    assert_eq!(ended, Report::Ended { name: "old".into(), surely: true }, "there is one back end to a machine");
    scene.hears("the new one is there", |report| matches!(report, Report::Joined { name, .. } if name == "new")).await;
    assert_eq!(scene.count(|report| ends(report, "other")), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_end_is_told_once() {
    let mut scene = scene(false, Vec::new()).await;
    scene.beat("a", 1, Vec::new()).await;
    scene.hears("it is there", |report| matches!(report, Report::Joined { .. })).await;
    scene.troupe.sign_off("a".into()).await.expect("the owner is there");
    scene.hears("it has ended", |report| ends(report, "a")).await;
    // The owner sees to its reports at each word it gets; what it is to tell again it has told by then.
    for sequence in 2..400 {
        scene.beat("a", sequence, Vec::new()).await;
    }
    assert!(scene.count(|report| ends(report, "a")) <= 2, "that it signed off, and that it is gone");
}

#[tokio::test(flavor = "multi_thread")]
async fn whose_end_the_log_has_is_not_told_to_it_for_ever() {
    let mut scene = scene(false, vec![Report::Ended { name: "gone".into(), surely: true }]).await;
    scene.beat("gone", 1, Vec::new()).await;
    scene.hears("it is there", |report| matches!(report, Report::Joined { .. })).await;
    for sequence in 2..400 {
        scene.beat("gone", sequence, Vec::new()).await;
    }
    let joined = scene.count(|report| matches!(report, Report::Joined { .. }));
    assert!(joined <= 2, "once beside the node, and once alone, which changes nothing: {joined}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_beat_of_an_earlier_life_does_not_end_the_one_that_came_after_it() {
    let mut scene = scene(false, vec![joined("a", "n0")]).await;
    // This process has just begun; what the earlier life had sent is read after the new one's first, while the log
    // has not answered yet.
    scene.answers.send_replace(false);
    scene.hears("the node is there", |report| matches!(report, Report::Node { .. })).await;
    scene.beat("b", 1, Vec::new()).await;
    scene.beat("a", 7, Vec::new()).await;
    scene.answers.send_replace(true);
    scene.hears("the new one is there", |report| matches!(report, Report::Joined { name, .. } if name == "b")).await;
    scene.hears("the earlier one has ended", |report| ends(report, "a")).await;
    scene.beat("a", 8, Vec::new()).await;
    scene.hears("the new one is silent", |report| silent(report, "b", true)).await;
    // By now the log has forgotten where the earlier one was.
    scene.beat("a", 9, Vec::new()).await;
    scene.beat("b", 2, Vec::new()).await;
    scene.hears("the new one is heard again", |report| silent(report, "b", false) || ends(report, "b")).await;
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
    let sequence = tokio::time::timeout(BOUND, beats).await.expect("the one that beats is taken for the one that lives");
    scene.beat("b", sequence + 1, Vec::new()).await;
    assert_eq!(scene.count(|report| ends(report, "b")), 0, "and the other one's beat has ended nobody");
}
