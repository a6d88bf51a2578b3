//! A log of one seat in this process, and the owner of the back end beside a node over it.

use model::bill::{Act, Player, Report, Service};
use model::{Micros, Phase};

pub const BEAT: Micros = 40_000;
pub const MOST: Micros = 1_200_000;
pub const BOUND: std::time::Duration = std::time::Duration::from_secs(30);

pub type Heard = (Micros, Report);

/// A log that orders what it is told and shows its node all of it at once.
pub struct Scene {
    pub troupe: endpoints::Troupe,
    pub heard: tokio::sync::watch::Receiver<Vec<Heard>>,
    /// Whether the log answers.
    pub answers: tokio::sync::watch::Sender<bool>,
    /// Takes conns and says nothing: a process that lives.
    pub process: tokio::net::TcpListener,
    pub pit: inbound::Pit,
}

pub fn player(node: &str) -> Player {
    Player { service: "seat".into(), zone: "z0".into(), node: node.into(), slots: 4, phase: Phase::Registered, since: 0 }
}

pub fn joined(name: &str, node: &str) -> Report {
    Report::Joined { name: name.into(), player: player(node) }
}

pub fn all(base: u64, name: &str) -> Report {
    Report::Recast { service: "seat".into(), base, rows: vec![(0, u16::MAX, name.into())] }
}

fn greets(address: &str) -> transport::Greeting {
    transport::Greeting {
        purpose: transport::Purpose::Subscribe,
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

pub async fn scene(keyed: bool, before: Vec<Report>) -> Scene {
    scene_with(BEAT, keyed, before).await
}

pub async fn scene_with(beat_every: Micros, keyed: bool, before: Vec<Report>) -> Scene {
    let mut bill = model::Bill::default();
    let body = model::bill::Body::Service(Service { health_path: String::new(), conns: 0, keyed, warm_us: 0 });
    let put = model::bill::items::Put { name: "seat".into(), version: 1, body, text: String::new() };
    bill.apply("operator", 1, 0, Act::Items(model::bill::Call { puts: vec![put], drops: Vec::new() }));
    before.into_iter().zip(1..).for_each(|(report, sequence)| drop(bill.apply("earlier", 1, sequence, Act::Reports(vec![report]))));
    let (moved, watch) = tokio::sync::watch::channel(0);
    let following = control::Following { outlook: Default::default(), moved: watch };
    // A proof there was, so that reports are told, and long ago, so that nothing is granted.
    let show = |bill: &model::Bill, outlook: &control::SharedOutlook| {
        let programme = model::bill::Programme::default().told(true, bill.position, bill.whole());
        outlook.store(std::sync::Arc::new(control::Outlook { programme: std::sync::Arc::new(programme), proved: 1 }));
    };
    show(&bill, &following.outlook);
    let log = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = log.local_addr().expect("an address").to_string();
    let known = control::acquaint::nobody();
    control::acquaint::merge(&known, vec![transport::CoreSeat { seat: 0, identity: 1, address: address.clone(), zone: "z0".into(), starts: 1 }]);
    let (told, heard) = tokio::sync::watch::channel(Vec::new());
    let outlook = following.outlook.clone();
    let (answers, mut answering) = tokio::sync::watch::channel(true);
    tokio::spawn(async move {
        while let Ok((stream, _)) = log.accept().await {
            let own = greets(&address);
            let Ok(mut conn) = transport::accept(stream, |_| async { Ok(own) }).await else { continue };
            while let Some(frame) = conn.receiver.recv().await {
                let transport::Frame::Forward { number, entry } = frame else { continue };
                let model::Act::Bill(Act::Reports(reports)) = entry.act else { continue };
                told.send_modify(|told| told.extend(reports.iter().map(|report| (model::now(), report.clone()))));
                drop(answering.wait_for(|answers| *answers).await);
                let outcome = bill.apply(&entry.origin, entry.life, entry.sequence, Act::Reports(reports)).0;
                show(&bill, &outlook);
                moved.send_modify(|moved| *moved += 1);
                drop(conn.sender.send(transport::Frame::Answer { number, outcome: Some(outcome) }).await);
            }
        }
    });
    let process = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let keys = endpoints::KeysEnv { bound: 1_000_000, guard: 0, most: MOST };
    let back_end = process.local_addr().ok().map(|address| address.to_string()).filter(|_| beat_every != BEAT);
    let env = endpoints::TroupeEnv { node: "n0".into(), zone: "z0".into(), address: "n0".into(), life: 1, keys, beat_every, back_end, drain: 1_000_000 };
    let reporting = control::ReportingEnv { name: "n0".into(), life: 1, logger: model::log::quiet() };
    let reports = control::Reports::start(reporting, known, || greets("127.0.0.1:0"));
    let pit = inbound::Pit::start(inbound::PitEnv { words: http_util::words::OWN, ahead: 0 });
    let troupe = endpoints::Troupe::start(env, following, pit.clone(), reports, model::log::quiet());
    Scene { troupe, heard, answers, process, pit }
}

impl Scene {
    pub async fn beat(&self, name: &str, sequence: u64, holds: Vec<(u16, u16, u64)>) {
        let address = self.process.local_addr().expect("an address").to_string();
        let (name, service, zone) = (name.to_string(), "seat".to_string(), "z0".to_string());
        let beat = endpoints::Beat { name, service, address, zone, slots: 4, draining: false, sequence, holds, freed: Vec::new() };
        assert_eq!(self.troupe.beat(beat).await, Some(None), "nothing can be granted");
    }

    /// The first report that fits, and when it was heard.
    pub async fn hears(&mut self, what: &str, fits: impl Fn(&Report) -> bool) -> Heard {
        let found = |heard: &Vec<Heard>| heard.iter().find(|(_, report)| fits(report)).cloned();
        let waited = tokio::time::timeout(BOUND, self.heard.wait_for(|heard| found(heard).is_some())).await;
        let heard = waited.unwrap_or_else(|_| panic!("it was never told: {what}")).expect("the log is there");
        found(&heard).expect("it fits")
    }

    pub fn count(&self, fits: impl Fn(&Report) -> bool) -> usize {
        self.heard.borrow().iter().filter(|(_, report)| fits(report)).count()
    }
}
