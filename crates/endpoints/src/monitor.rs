//! Beats to this node's watchers on the ring of nodes, and the watch over its wards (design 5.10).

use model::cluster_state::ClusterReport;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub struct MonitorConfig {
    pub node: String,
    pub incarnation: model::Incarnation,
    pub heartbeat_interval: model::Microseconds,
    pub detection_timeout: model::Microseconds,
}

pub fn start(
    env: MonitorConfig,
    outlook: control::SharedVerifiedState,
    reports: control::StatusReporter,
    greet: Arc<dyn Fn(transport::Purpose) -> transport::Handshake + Send + Sync>,
) -> outbound::HeartbeatSender {
    let (heard, mut hears) = tokio::sync::mpsc::channel::<(String, u64)>(1_024);
    tokio::spawn(async move {
        let (mut watch, mut stand) = (
            control::failure_detection::ring::FailureDetector::default(),
            control::failure_detection::ring::RingPosition::default(),
        );
        let mut lines: BTreeMap<String, tokio::sync::mpsc::Sender<transport::Frame>> =
            Default::default();
        let mut every = tokio::time::interval(Duration::from_micros(env.heartbeat_interval));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                told = hears.recv() => match told {
                    Some((node, life)) => watch.heartbeat_received(model::now(), &node, life),
                    None => return,
                },
                _ = every.tick() => {
                    stand.update(&outlook.load().snapshot.nodes, &env.node);
                    lines.retain(|address, line| stand.monitor_addresses.contains(address) && line.try_send(transport::Frame::Heartbeat).is_ok());
                    stand.monitor_addresses.iter().filter(|address| !lines.contains_key(*address)).cloned().collect::<Vec<_>>().into_iter().for_each(|address| {
                        let (line, beats) = tokio::sync::mpsc::channel(4);
                        lines.insert(address.clone(), line);
                        tokio::spawn(send_heartbeats(address, (greet)(transport::Purpose::Monitor), beats));
                    });
                    // A node that hears no proof is cut off itself and blames nobody; the pause then forgives all.
                    let outlook = outlook.load();
                    let proved = outlook.verified_at + env.detection_timeout * 2 / 3 > model::now();
                    // Before it is registered the log takes no word from it.
                    let registered = outlook.snapshot.nodes.get(&env.node).is_some_and(|place| place.incarnation == env.incarnation);
                    let missed = if proved && registered { watch.check(model::now(), &stand.monitored_peers, &env.node, env.detection_timeout) } else { Vec::new() };
                    let told: Vec<ClusterReport> = missed.into_iter().filter_map(|report| match report {
                        model::endpoint_status::EndpointReport::NodeObserved { observer, node, incarnation, missed } => Some(ClusterReport::NodeObserved { observer, node, incarnation, missed }),
                        _ => None,
                    }).collect();
                    if !told.is_empty() {
                        let reports = reports.clone();
                        tokio::spawn(async move { drop(reports.report(told).await) });
                    }
                }
            }
        }
    });
    heard
}

async fn send_heartbeats(
    address: String,
    own: transport::Handshake,
    mut beats: tokio::sync::mpsc::Receiver<transport::Frame>,
) {
    let Ok(conn) = transport::dial(&address, own).await else {
        return;
    };
    drop(conn.sender.send(transport::Frame::Heartbeat).await);
    while let Some(beat) = beats.recv().await {
        if conn.sender.send(beat).await.is_err() {
            return;
        }
    }
}
