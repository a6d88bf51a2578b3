//! A whole rehearsal: start a site, load it, break something, check what everyone saw (design 9.5).

use std::path::PathBuf;
use std::time::Duration;

pub struct Plan {
    pub site: String,
    pub scenario: String,
    pub seconds: u64,
    pub seed: u64,
    pub corrupted_per_mille: u32,
    pub folder: PathBuf,
    /// Given to every node, for paired runs.
    pub node_flags: Vec<String>,
    /// Operators' changes to make and time before anything is broken.
    pub changes: u64,
}

pub async fn run(plan: Plan) -> Result<crate::history::Report, String> {
    let mut deployment = crate::deployment::named(&plan.site)
        .ok_or_else(|| format!("there is no site {:?}", plan.site))?;
    let size = (
        deployment.backends().len(),
        deployment.replica_count,
        deployment.zone_count,
    );
    let scenario = match plan.scenario.as_str() {
        "midway" => midway_scenario(&deployment, &plan),
        "day" => crate::scenario_more::day(size.0, size.1, plan.seed, plan.seconds),
        name => crate::scenario::named(name, size, plan.seed)
            .ok_or_else(|| format!("there is no scenario {name:?}"))?,
    };
    // Work so long that one key can fill its back end.
    deployment.work_us = if scenario.name == "hot-key" {
        deployment.slow_work_us
    } else {
        deployment.work_us
    };
    let fleet = crate::fleet::Fleet::plan(
        deployment.clone(),
        plan.folder.clone(),
        plan.seed,
        plan.corrupted_per_mille,
        &plan.node_flags,
    )?;
    let fleet = crate::fleet::Fleet {
        simulated_disks: scenario.name.starts_with("disk-"),
        ..fleet
    };
    let mut stage = crate::supervisor::Supervisor::new(fleet);
    stage.fleet.start().await?;
    let began = tokio::time::Instant::now();
    let quiet = scenario
        .steps
        .first()
        .map(|(at, _)| *at)
        .unwrap_or(scenario.length);
    let company = Participants::start(&stage.fleet, &plan, &deployment);
    let figures = measure(&stage.fleet, &plan, Duration::from_millis(quiet)).await?;
    for (at, step) in scenario.steps {
        tokio::time::sleep_until(began + Duration::from_millis(at)).await;
        let told = format!("{step:?}");
        stage
            .perform(step)
            .await
            .map_err(|error| format!("{told}: {error}"))?;
    }
    tokio::time::sleep_until(began + Duration::from_millis(scenario.length)).await;
    stage.heal_all()?;
    company.stop().await?;
    let requests_and_extras = crate::measurements::requests_and_retries(&stage.fleet).await;
    let nodes = stage.fleet.machines.len();
    stage.fleet.stop().await;
    let told = |error: std::io::Error| error.to_string();
    let records: Vec<_> = crate::history::read(&plan.folder)
        .map_err(told)?
        .into_iter()
        .chain(crate::history::repeated_attempts(&plan.folder).map_err(told)?)
        .collect();
    let repeatable: Vec<&str> = deployment
        .routes
        .iter()
        .filter(|lane| lane.3)
        .map(|lane| lane.2)
        .collect();
    let allowed: Vec<(&str, &str)> = deployment
        .routes
        .iter()
        .map(|lane| (lane.0, lane.1))
        .collect();
    // Measured changes are made by one operator alone, so nothing is refused there.
    let provokes = if plan.changes == 0 {
        scenario.must_observe
    } else {
        &[]
    };
    let rules = crate::checker::Rules {
        repeatable: &repeatable,
        allowed: &allowed,
        planned_ends_only: scenario.planned_ends_only,
        retry_allowance: nodes,
        must_observe: provokes,
    };
    let report = crate::checker::check(&records, &rules);
    let requests_per_second = report.measurements.requests_per_second;
    Ok(crate::history::Report {
        measurements: crate::measurements::Measurements {
            requests_per_second,
            requests_and_retries: requests_and_extras,
            ..figures
        },
        ..report
    })
}

/// Operators, watchers and forgers who are there through the whole run.
struct Participants {
    stop: tokio::sync::watch::Sender<bool>,
    workers: Vec<tokio::task::JoinHandle<Result<(), String>>>,
    watchers: Vec<tokio::task::JoinHandle<Result<(), String>>>,
}

impl Participants {
    fn start(
        fleet: &crate::fleet::Fleet,
        plan: &Plan,
        deployment: &crate::deployment::Deployment,
    ) -> Participants {
        let stop = tokio::sync::watch::Sender::new(false);
        let service = deployment.services[0].0;
        let teams = match plan.scenario.as_str() {
            _ if plan.changes > 0 => 0,
            "operators-race" => 3,
            _ => 1,
        };
        let operators = (0..teams).map(|team| {
            tokio::spawn(crate::operators::run_operators(
                fleet.operator(),
                service,
                plan.seed * 10 + team,
                stop.subscribe(),
            ))
        });
        let forgers = (plan.scenario == "forged").then(|| {
            tokio::spawn(crate::forging_clients::run(
                crate::forging_clients::ForgingClient::beside(fleet),
                stop.subscribe(),
            ))
        });
        let watchers = fleet.machines.iter().map(|machine| {
            let watched = crate::operators::observe_node(
                machine.name.clone(),
                machine.local_address.clone(),
                fleet.http.clone(),
                fleet.history_writer(),
            );
            tokio::spawn(watched)
        });
        Participants {
            workers: operators.chain(forgers).collect(),
            watchers: watchers.collect(),
            stop,
        }
    }

    /// What was left open is settled first.
    async fn stop(self) -> Result<(), String> {
        self.stop.send_replace(true);
        for worker in self.workers {
            let ended = tokio::time::timeout(Duration::from_secs(60), worker).await;
            ended
                .map_err(|_| "an operator was never told what became of a change")?
                .map_err(|error| error.to_string())??;
        }
        self.watchers
            .into_iter()
            .for_each(|watcher| watcher.abort());
        Ok(())
    }
}

/// A core seat dies without a word after a third, a back end after two.
fn midway_scenario(
    deployment: &crate::deployment::Deployment,
    plan: &Plan,
) -> crate::scenario::Scenario {
    use crate::scenario::{Step, Target};
    let length = plan.seconds * 1_000;
    let (seat, at) = (
        plan.seed as usize % deployment.replica_count,
        plan.seed as usize % deployment.backends().len(),
    );
    let steps = vec![
        (length / 3, Step::Kill(Target::Replica(seat))),
        (length * 2 / 3, Step::Kill(Target::Backend(at))),
    ];
    crate::scenario::Scenario {
        name: "midway",
        steps,
        length,
        planned_ends_only: false,
        must_observe: &[],
    }
}

/// The quiet third: load, a few changes, nothing broken.
async fn measure(
    fleet: &crate::fleet::Fleet,
    plan: &Plan,
    third: Duration,
) -> Result<crate::measurements::Measurements, String> {
    let (began, before, version) = (
        model::now(),
        crate::measurements::counter_sums(fleet).await,
        fleet.version().await?,
    );
    let in_force_us = crate::measurements::measure_changes(fleet, plan.changes).await?;
    tokio::time::sleep(third.saturating_sub(Duration::from_micros(model::now() - began))).await;
    let after = crate::measurements::counter_sums(fleet).await;
    let grown =
        |name: &str| after.get(name).copied().unwrap_or(0) - before.get(name).copied().unwrap_or(0);
    Ok(crate::measurements::Measurements {
        requests_per_second: 0.0,
        in_force_us,
        core_syncs: grown("syncs"),
        core_frames: grown("frames"),
        entries: fleet.version().await? - version,
        frames_within_zones: grown("within_frames"),
        bytes_within_zones: grown("within_bytes"),
        frames_across_zones: grown("across_frames"),
        bytes_across_zones: grown("across_bytes"),
        seconds: (model::now() - began) as f64 / 1e6,
        requests_and_retries: Default::default(),
    })
}
