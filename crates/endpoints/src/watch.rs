//! Beats to this node's watchers on the ring of nodes, and the watch over its wards (design 5.10).

use model::bill::Report;

pub struct WatchEnv {
    pub node: String,
    pub life: model::Incarnation,
    pub beat_every: model::Micros,
    pub patience: model::Micros,
}

pub fn start(
    env: WatchEnv,
    outlook: control::SharedOutlook,
    reports: control::Reports,
    greet: std::sync::Arc<dyn Fn(transport::Purpose) -> transport::Greeting + Send + Sync>,
) -> outbound::Heard {
    let (heard, mut hears) = tokio::sync::mpsc::channel::<(String, u64)>(1_024);
    tokio::spawn(async move {
        let (mut watch, mut stand) = (control::ring::Watch::default(), control::ring::Stand::default());
        let mut lines: std::collections::BTreeMap<String, tokio::sync::mpsc::Sender<transport::Frame>> = Default::default();
        let mut every = tokio::time::interval(std::time::Duration::from_micros(env.beat_every));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                told = hears.recv() => match told {
                    Some((node, life)) => watch.heard(model::now(), &node, life),
                    None => return,
                },
                _ = every.tick() => {
                    stand.look(&outlook.load().programme.places, &env.node);
                    lines.retain(|address, line| stand.watchers.contains(address) && line.try_send(transport::Frame::Beat).is_ok());
                    stand.watchers.iter().filter(|address| !lines.contains_key(*address)).cloned().collect::<Vec<_>>().into_iter().for_each(|address| {
                        let (line, beats) = tokio::sync::mpsc::channel(4);
                        lines.insert(address.clone(), line);
                        tokio::spawn(carry(address, (greet)(transport::Purpose::Watch), beats));
                    });
                    // A node that hears no proof is cut off itself and blames nobody; the pause then forgives all.
                    let outlook = outlook.load();
                    let proved = outlook.proved + env.patience * 2 / 3 > model::now();
                    // Before it is registered the log takes no word from it.
                    let registered = outlook.programme.places.get(&env.node).is_some_and(|place| place.life == env.life);
                    let missed = if proved && registered { watch.look(model::now(), &stand.wards, &env.node, env.patience) } else { Vec::new() };
                    let told: Vec<Report> = missed.into_iter().filter_map(|report| match report {
                        model::standing::Report::Watch { watcher, node, incarnation, missed } => Some(Report::Watch { watcher, node, life: incarnation, missed }),
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

async fn carry(address: String, own: transport::Greeting, mut beats: tokio::sync::mpsc::Receiver<transport::Frame>) {
    let Ok(conn) = transport::dial(&address, own).await else { return };
    drop(conn.sender.send(transport::Frame::Beat).await);
    while let Some(beat) = beats.recv().await {
        if conn.sender.send(beat).await.is_err() {
            return;
        }
    }
}
