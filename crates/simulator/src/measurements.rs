//! Counts taken from the processes of a running site (docs/measurements.md).

use crate::fleet::Fleet;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Default, serde::Serialize)]
pub struct Measurements {
    pub requests_per_second: f64,
    /// From the operator's answer until the last node holds the version.
    pub in_force_us: Vec<u64>,
    pub core_syncs: u64,
    pub core_frames: u64,
    pub entries: u64,
    pub frames_within_zones: u64,
    pub bytes_within_zones: u64,
    pub frames_across_zones: u64,
    pub bytes_across_zones: u64,
    pub seconds: f64,
    /// Service to requests and extra dispatches, summed over the nodes at the end.
    #[serde(rename = "requests_and_extras")]
    pub requests_and_retries: BTreeMap<String, (u64, u64)>,
}

type CounterSums = BTreeMap<&'static str, u64>;

/// Sums over all processes that answer.
pub async fn counter_sums(fleet: &Fleet) -> CounterSums {
    let mut sums = CounterSums::new();
    let mut add = |name: &'static str, value: u64| *sums.entry(name).or_default() += value;
    for core in &fleet.replicas {
        if let Some((200, status)) = fleet.get(&core.operators_address, "/v1/status").await {
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

/// What each usher spent of its budget of extra dispatches, and the sum.
pub async fn requests_and_retries(fleet: &Fleet) -> BTreeMap<String, (u64, u64)> {
    let mut sum = BTreeMap::<String, (u64, u64)>::new();
    for machine in &fleet.machines {
        if let Some((200, status)) = fleet.get(&machine.local_address, "/status").await {
            status["requests_and_extras"]
                .as_object()
                .into_iter()
                .flatten()
                .for_each(|(service, spent)| {
                    let held = sum.entry(service.clone()).or_default();
                    held.0 += spent[0].as_u64().unwrap_or(0);
                    held.1 += spent[1].as_u64().unwrap_or(0);
                });
        }
    }
    sum
}

fn add_traffic(add: &mut impl FnMut(&'static str, u64), status: &serde_json::Value) {
    let at = |place: usize, part: usize| status["traffic"][place][part].as_u64().unwrap_or(0);
    [
        ("within_frames", 0, 0),
        ("within_bytes", 0, 1),
        ("across_frames", 1, 0),
        ("across_bytes", 1, 1),
    ]
    .into_iter()
    .for_each(|(name, place, part)| add(name, at(place, part)));
}

/// Makes `count` changes one after the other and times each until every node holds it.
pub async fn measure_changes(fleet: &Fleet, count: u64) -> Result<Vec<u64>, String> {
    let mut times = Vec::new();
    let mut base = fleet.version().await?;
    for number in 0..count {
        // One order's importance goes up and down.
        let edits = fleet.deployment.edits();
        let edit = edits.last().cloned().map(|mut edit| {
            edit["put_order"]["order"]["importance"] = (number % 2 + 4).into();
            edit
        });
        let (version, position) = fleet
            .apply(
                &format!("measure-{number}"),
                base,
                edit.into_iter().collect(),
            )
            .await?;
        let began = model::now();
        base = version;
        let everywhere = async {
            for machine in &fleet.machines {
                until_held(fleet, &machine.local_address, position).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(60), everywhere)
            .await
            .map_err(|_| "a change never came into force")?;
        times.push(model::now() - began);
    }
    Ok(times)
}

/// A proof moves the position on even where the change touches nothing the node subscribes to.
async fn until_held(fleet: &Fleet, address: &str, position: u64) {
    loop {
        match fleet.get(address, "/status").await {
            Some((200, status)) if status["position"].as_u64() >= Some(position) => return,
            _ => tokio::time::sleep(Duration::from_millis(2)).await,
        }
    }
}
