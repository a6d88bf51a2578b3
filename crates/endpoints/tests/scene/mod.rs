//! A log of one seat in this process, and the owner of the back end beside a node over it.

use model::cluster_state::{BackendRecord, ClusterOperation, ClusterReport, Service};
use model::{BackendPhase, Microseconds};
use std::sync::Arc;
use std::time::Duration;

pub const BEAT: Microseconds = 40_000;
pub const MOST: Microseconds = 1_200_000;
pub const BOUND: Duration = Duration::from_secs(30);

pub type Heard = (Microseconds, ClusterReport);

/// A log that orders what it is told and shows its node all of it at once.
pub struct Scene {
    pub troupe: endpoints::LeaseTableHandle,
    pub heard: tokio::sync::watch::Receiver<Vec<Heard>>,
    /// Whether the log answers.
    pub answers: tokio::sync::watch::Sender<bool>,
    /// Takes conns and says nothing: a process that lives.
    pub process: tokio::net::TcpListener,
    pub pit: inbound::ConcurrencyLimiter,
}

pub fn player(node: &str) -> BackendRecord {
    BackendRecord {
        service: "seat".into(),
        zone: "z0".into(),
        node: node.into(),
        slots: 4,
        phase: BackendPhase::Registered,
        changed_at: 0,
    }
}

pub fn joined(name: &str, node: &str) -> ClusterReport {
    ClusterReport::BackendJoined {
        name: name.into(),
        backend: player(node),
    }
}

pub fn all(base: u64, name: &str) -> ClusterReport {
    ClusterReport::ShardsReassigned {
        service: "seat".into(),
        base_placement: base,
        ranges: vec![(0, u16::MAX, name.into())],
    }
}

fn greets(address: &str) -> transport::Handshake {
    transport::Handshake {
        purpose: transport::Purpose::Subscribe,
        node_name: "n0".into(),
        zone: "z0".into(),
        address: address.into(),
        incarnation: 1,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

pub async fn scene(keyed: bool, before: Vec<ClusterReport>) -> Scene {
    scene_with(BEAT, keyed, before).await
}

pub async fn scene_with(
    beat_every: Microseconds,
    keyed: bool,
    before: Vec<ClusterReport>,
) -> Scene {
    let mut bill = model::ClusterState::default();
    let body = model::cluster_state::ItemBody::Service(Service {
        health_path: String::new(),
        max_connections: 0,
        keyed,
        slow_start_us: 0,
    });
    let put = model::cluster_state::items::ItemPut {
        name: "seat".into(),
        version: 1,
        body,
        text: String::new(),
    };
    bill.apply(
        "operator",
        1,
        0,
        ClusterOperation::Items(model::cluster_state::ItemCall {
            puts: vec![put],
            drops: Vec::new(),
        }),
    );
    before.into_iter().zip(1..).for_each(|(report, sequence)| {
        drop(bill.apply(
            "earlier",
            1,
            sequence,
            ClusterOperation::Reports(vec![report]),
        ))
    });
    let (moved, watch) = tokio::sync::watch::channel(0);
    let following = control::FollowerHandle {
        verified_state: Default::default(),
        changes: watch,
    };
    // A proof there was, so that reports are told, and long ago, so that nothing is granted.
    let show = |bill: &model::ClusterState, outlook: &control::SharedVerifiedState| {
        let programme = model::cluster_state::StateSnapshot::default().updated(
            true,
            bill.position,
            bill.full_deltas(),
        );
        outlook.store(Arc::new(control::VerifiedState {
            snapshot: Arc::new(programme),
            verified_at: 1,
        }));
    };
    show(&bill, &following.verified_state);
    let log = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = log.local_addr().expect("an address").to_string();
    let known = control::discovery::empty();
    control::discovery::merge(
        &known,
        vec![transport::KnownReplica {
            replica_id: 0,
            disk_id: 1,
            address: address.clone(),
            zone: "z0".into(),
            start_count: 1,
        }],
    );
    let (told, heard) = tokio::sync::watch::channel(Vec::new());
    let outlook = following.verified_state.clone();
    let (answers, mut answering) = tokio::sync::watch::channel(true);
    tokio::spawn(async move {
        while let Ok((stream, _)) = log.accept().await {
            let own = greets(&address);
            let Ok(mut conn) = transport::accept(stream, |_| async { Ok(own) }).await else {
                continue;
            };
            while let Some(frame) = conn.receiver.recv().await {
                let transport::Frame::ForwardEntry {
                    request_id: number,
                    entry,
                } = frame
                else {
                    continue;
                };
                let model::Operation::ClusterState(ClusterOperation::Reports(reports)) =
                    entry.operation
                else {
                    continue;
                };
                told.send_modify(|told| {
                    told.extend(reports.iter().map(|report| (model::now(), report.clone())))
                });
                drop(answering.wait_for(|answers| *answers).await);
                let outcome = bill
                    .apply(
                        &entry.origin,
                        entry.incarnation,
                        entry.sequence,
                        ClusterOperation::Reports(reports),
                    )
                    .0;
                show(&bill, &outlook);
                moved.send_modify(|moved| *moved += 1);
                drop(
                    conn.sender
                        .send(transport::Frame::EntryOutcome {
                            request_id: number,
                            outcome: Some(outcome),
                        })
                        .await,
                );
            }
        }
    });
    let process = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let keys = endpoints::LeaseConfig {
        proof_validity: 1_000_000,
        clock_guard: 0,
        max_duration: MOST,
    };
    let back_end = process
        .local_addr()
        .ok()
        .map(|address| address.to_string())
        .filter(|_| beat_every != BEAT);
    let env = endpoints::LeaseTableConfig {
        node: "n0".into(),
        zone: "z0".into(),
        address: "n0".into(),
        incarnation: 1,
        leases: keys,
        heartbeat_interval: beat_every,
        backend_address: back_end,
        drain_timeout: 1_000_000,
    };
    let reporting = control::StatusReporterConfig {
        node: "n0".into(),
        incarnation: 1,
        logger: model::logging::discard_logger(),
    };
    let reports = control::StatusReporter::start(reporting, known, || greets("127.0.0.1:0"));
    let pit = inbound::ConcurrencyLimiter::start(inbound::ConcurrencyLimiterConfig {
        header_names: http_util::headers::DEFAULT_HEADER_NAMES,
        extra_runs: 0,
    });
    let troupe = endpoints::LeaseTableHandle::start(
        env,
        following,
        pit.clone(),
        reports,
        model::logging::discard_logger(),
    );
    Scene {
        troupe,
        heard,
        answers,
        process,
        pit,
    }
}

impl Scene {
    pub async fn beat(&self, name: &str, sequence: u64, holds: Vec<(u16, u16, u64)>) {
        let address = self.process.local_addr().expect("an address").to_string();
        let (name, service, zone) = (name.to_string(), "seat".to_string(), "z0".to_string());
        let beat = endpoints::Heartbeat {
            name,
            service,
            address,
            zone,
            slots: 4,
            draining: false,
            sequence,
            held_ranges: holds,
            released_ranges: Vec::new(),
        };
        assert_eq!(
            self.troupe.heartbeat(beat).await,
            Some(None),
            "nothing can be granted"
        );
    }

    /// The first report that fits, and when it was heard.
    pub async fn hears(&mut self, what: &str, fits: impl Fn(&ClusterReport) -> bool) -> Heard {
        let found = |heard: &Vec<Heard>| heard.iter().find(|(_, report)| fits(report)).cloned();
        let waited =
            tokio::time::timeout(BOUND, self.heard.wait_for(|heard| found(heard).is_some())).await;
        let heard = waited
            .unwrap_or_else(|_| panic!("it was never told: {what}"))
            .expect("the log is there");
        found(&heard).expect("it fits")
    }

    pub fn count(&self, fits: impl Fn(&ClusterReport) -> bool) -> usize {
        self.heard
            .borrow()
            .iter()
            .filter(|(_, report)| fits(report))
            .count()
    }
}
