//! Counters read from the processes of a running site (docs/measurements.md).

use crate::fleet::Fleet;
use std::collections::BTreeMap;
use std::time::Duration;

/// Measurements of one run, most of them taken before its first fault.
#[derive(Debug, Default, serde::Serialize)]
pub struct Measurements {
    pub requests_per_second: f64,
    /// Time from the operator's answer until the last node holds the version, for each change in microseconds.
    pub in_force_us: Vec<u64>,
    pub core_syncs: u64,
    pub core_frames: u64,
    pub entries: u64,
    pub frames_within_zones: u64,
    pub bytes_within_zones: u64,
    pub frames_across_zones: u64,
    pub bytes_across_zones: u64,
    pub seconds: f64,
    /// Requests and repeated dispatches of each service, summed over the nodes at the end of the run.
    #[serde(rename = "requests_and_extras")]
    pub requests_and_retries: BTreeMap<String, (u64, u64)>,
}

type CounterSums = BTreeMap<&'static str, u64>;

/// Sums the counters of all processes that answer.
pub async fn counter_sums(fleet: &Fleet) -> CounterSums {
    let mut sums = CounterSums::new();
    let mut add = |name: &'static str, value: u64| *sums.entry(name).or_default() += value;
    for replica in &fleet.replicas {
        if let Some((200, status)) = fleet.get(&replica.operators_address, "/v1/status").await {
            add("syncs", status["syncs"].as_u64().unwrap_or(0));
            add("frames", status["frames"].as_u64().unwrap_or(0));
            add_traffic(&mut add, &status);
        }
    }
    for machine in &fleet.machines {
        if let Some((200, status)) = fleet.get(&machine.local_address, "/status").await {
            add_traffic(&mut add, &status);
        }
    }
    sums
}

/// Sums the requests and repeated dispatches of each service over the nodes that answer.
pub async fn requests_and_retries(fleet: &Fleet) -> BTreeMap<String, (u64, u64)> {
    let mut totals = BTreeMap::<String, (u64, u64)>::new();
    for machine in &fleet.machines {
        if let Some((200, status)) = fleet.get(&machine.local_address, "/status").await {
            status["requests_and_extras"]
                .as_object()
                .into_iter()
                .flatten()
                .for_each(|(service, counts)| {
                    let total = totals.entry(service.clone()).or_default();
                    total.0 += counts[0].as_u64().unwrap_or(0);
                    total.1 += counts[1].as_u64().unwrap_or(0);
                });
        }
    }
    totals
}

fn add_traffic(add: &mut impl FnMut(&'static str, u64), status: &serde_json::Value) {
    let counter =
        |scope: usize, field: usize| status["traffic"][scope][field].as_u64().unwrap_or(0);
    [
        ("within_frames", 0, 0),
        ("within_bytes", 0, 1),
        ("across_frames", 1, 0),
        ("across_bytes", 1, 1),
    ]
    .into_iter()
    .for_each(|(name, scope, field)| add(name, counter(scope, field)));
}

/// Makes `count` changes one after the other and times each until every node holds it.
pub async fn measure_changes(fleet: &Fleet, count: u64) -> Result<Vec<u64>, String> {
    let mut times = Vec::new();
    let mut base_version = fleet.version().await?;
    for change_number in 0..count {
        // The importance of the last route alternates between 4 and 5.
        let edits = fleet.deployment.edits();
        let edit = edits.last().cloned().map(|mut edit| {
            edit["put_order"]["order"]["importance"] = (change_number % 2 + 4).into();
            edit
        });
        let (version, position) = fleet
            .apply(
                &format!("measure-{change_number}"),
                base_version,
                edit.into_iter().collect(),
            )
            .await?;
        let started = model::now();
        base_version = version;
        let all_nodes = async {
            for machine in &fleet.machines {
                wait_until_held(fleet, &machine.local_address, position).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(60), all_nodes)
            .await
            .map_err(|_| "a change was not in force on every node within 60 seconds")?;
        times.push(model::now() - started);
    }
    Ok(times)
}

/// Waits until the node's position reaches that of the change. A freshness proof advances the position even if the change
/// affects nothing that the node subscribes to.
async fn wait_until_held(fleet: &Fleet, address: &str, position: u64) {
    loop {
        match fleet.get(address, "/status").await {
            Some((200, status)) if status["position"].as_u64() >= Some(position) => return,
            _ => tokio::time::sleep(Duration::from_millis(2)).await,
        }
    }
}
