//! Beats to this node's watchers, and the watch over its wards (design 5.10).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

pub struct MonitorConfig {
    pub node: String,
    pub heartbeat_interval: model::Microseconds,
    pub failure_timeout: model::Microseconds,
}

const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Tells the watch that a ward was heard.
pub type HeartbeatSender = tokio::sync::mpsc::Sender<(String, model::Incarnation)>;

pub fn start<G: Fn() -> transport::Handshake + Send + 'static>(
    env: MonitorConfig,
    view: crate::view::SharedView,
    reports: crate::StatusReporter,
    greeting: G,
) -> HeartbeatSender {
    let (heard, mut hears) = tokio::sync::mpsc::channel::<(String, u64)>(1_024);
    let (name, patience, watched) = (env.node.clone(), env.failure_timeout, view.clone());
    let (outbox, mut outgoing) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut watch = crate::ring::FailureDetector::default();
        let mut every = tokio::time::interval(Duration::from_micros(patience / 10));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                heard = hears.recv() => match heard {
                    Some((node, life)) => watch.heartbeat_received(model::now(), &node, life),
                    None => return,
                },
                _ = every.tick() => {
                    let missed = watch.tick(model::now(), &watched.load().slice.nodes, &name, patience);
                    missed.into_iter().for_each(|report| outbox.send(report).unwrap_or_default());
                }
            }
        }
    });
    tokio::spawn(async move {
        while let Some(report) = outgoing.recv().await {
            // Until this process is registered the log takes no word from it.
            while let Some(model::Outcome::Superseded { .. }) =
                reports.report_endpoint_status(report.clone()).await
            {
                tokio::time::sleep(REPORT_RETRY_INTERVAL).await;
            }
        }
    });
    tokio::spawn(send_heartbeats(env, view, greeting));
    heard
}

async fn send_heartbeats<G: Fn() -> transport::Handshake + Send + 'static>(
    env: MonitorConfig,
    view: crate::view::SharedView,
    greeting: G,
) {
    let mut lines: BTreeMap<String, tokio::task::JoinHandle<()>> = Default::default();
    loop {
        let slice = view.load().slice.clone();
        let addresses: BTreeSet<String> = crate::ring::monitors_of(&slice.nodes, &env.node)
            .into_iter()
            .filter_map(|watcher| slice.nodes.get(&watcher).map(|node| node.address.clone()))
            .collect();
        lines.retain(|address, line| {
            let kept = addresses.contains(address) && !line.is_finished();
            if !kept {
                line.abort();
            }
            kept
        });
        addresses.into_iter().for_each(|address| {
            let own = greeting();
            let every = Duration::from_micros(env.heartbeat_interval);
            lines
                .entry(address.clone())
                .or_insert_with(|| tokio::spawn(heartbeat_connection(address, own, every)));
        });
        tokio::time::sleep(Duration::from_micros(env.heartbeat_interval)).await;
    }
}

async fn heartbeat_connection(address: String, own: transport::Handshake, every: Duration) {
    if let Ok(conn) = transport::dial(&address, own).await {
        while conn.sender.try_send(transport::Frame::Heartbeat).is_ok() {
            tokio::time::sleep(every).await;
        }
    }
}
