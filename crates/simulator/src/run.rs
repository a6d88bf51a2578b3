//! One run: starts a site, generates load, injects the faults of a scenario and checks the histories (design 9.5).

use std::path::PathBuf;
use std::time::Duration;

/// Parameters of one run.
pub struct Plan {
    pub site: String,
    pub scenario: String,
    /// Duration of the scenarios `midway` and `day`, in seconds; the other scenarios have a fixed duration.
    pub seconds: u64,
    pub seed: u64,
    /// Number of backend replies in a thousand that the stand-ins corrupt.
    pub corrupted_per_mille: u32,
    pub folder: PathBuf,
    /// Additional flags for every node, to compare two runs that differ in them.
    pub node_flags: Vec<String>,
    /// Number of operator changes that are submitted and timed before the first fault.
    pub changes: u64,
}

/// Runs a scenario and returns its report.
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
    // Only with the longer work time does one hot key exhaust the capacity of its backend.
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
    let mut supervisor = crate::supervisor::Supervisor::new(fleet);
    supervisor.fleet.start().await?;
    let started = tokio::time::Instant::now();
    let first_fault_ms = scenario
        .steps
        .first()
        .map(|(step_time, _)| *step_time)
        .unwrap_or(scenario.length);
    let participants = Participants::start(&supervisor.fleet, &plan, &deployment);
    let measurements = measure(
        &supervisor.fleet,
        &plan,
        Duration::from_millis(first_fault_ms),
    )
    .await?;
    for (step_time, step) in scenario.steps {
        tokio::time::sleep_until(started + Duration::from_millis(step_time)).await;
        let step_name = format!("{step:?}");
        supervisor
            .perform(step)
            .await
            .map_err(|error| format!("{step_name}: {error}"))?;
    }
    tokio::time::sleep_until(started + Duration::from_millis(scenario.length)).await;
    supervisor.heal_all()?;
    participants.stop().await?;
    let requests_and_retries = crate::measurements::requests_and_retries(&supervisor.fleet).await;
    let nodes = supervisor.fleet.machines.len();
    supervisor.fleet.stop().await;
    let to_message = |error: std::io::Error| error.to_string();
    let records: Vec<_> = crate::history::read(&plan.folder)
        .map_err(to_message)?
        .into_iter()
        .chain(crate::history::repeated_attempts(&plan.folder).map_err(to_message)?)
        .collect();
    let idempotent_paths: Vec<&str> = deployment
        .routes
        .iter()
        .filter(|route| route.3)
        .map(|route| route.2)
        .collect();
    let allowed: Vec<(&str, &str)> = deployment
        .routes
        .iter()
        .map(|route| (route.0, route.1))
        .collect();
    // With timed changes no other operator runs, so no change is rejected and a rejection cannot be required.
    let must_observe = if plan.changes == 0 {
        scenario.must_observe
    } else {
        &[]
    };
    let rules = crate::checker::Rules {
        idempotent_paths: &idempotent_paths,
        allowed: &allowed,
        planned_stops_only: scenario.planned_stops_only,
        retry_allowance: nodes,
        must_observe,
    };
    let report = crate::checker::check(&records, &rules);
    let requests_per_second = report.measurements.requests_per_second;
    Ok(crate::history::Report {
        measurements: crate::measurements::Measurements {
            requests_per_second,
            requests_and_retries,
            ..measurements
        },
        ..report
    })
}

/// Tasks that are active throughout the run: operators, node observers and forging clients.
struct Participants {
    stop: tokio::sync::watch::Sender<bool>,
    workers: Vec<tokio::task::JoinHandle<Result<(), String>>>,
    observers: Vec<tokio::task::JoinHandle<Result<(), String>>>,
}

impl Participants {
    fn start(
        fleet: &crate::fleet::Fleet,
        plan: &Plan,
        deployment: &crate::deployment::Deployment,
    ) -> Participants {
        let stop = tokio::sync::watch::Sender::new(false);
        let service = deployment.services[0].0;
        let operator_count = match plan.scenario.as_str() {
            _ if plan.changes > 0 => 0,
            "operators-race" => 3,
            _ => 1,
        };
        let operators = (0..operator_count).map(|operator_index| {
            tokio::spawn(crate::operators::run_operators(
                fleet.operator(),
                service,
                plan.seed * 10 + operator_index,
                stop.subscribe(),
            ))
        });
        let forgers = (plan.scenario == "forged").then(|| {
            tokio::spawn(crate::forging_clients::run(
                crate::forging_clients::ForgingClient::for_fleet(fleet),
                stop.subscribe(),
            ))
        });
        let observers = fleet.machines.iter().map(|machine| {
            let observer = crate::operators::observe_node(
                machine.name.clone(),
                machine.local_address.clone(),
                fleet.http.clone(),
                fleet.history_writer(),
            );
            tokio::spawn(observer)
        });
        Participants {
            workers: operators.chain(forgers).collect(),
            observers: observers.collect(),
            stop,
        }
    }

    /// Stops the tasks; operators first resubmit the changes whose outcome they do not know.
    async fn stop(self) -> Result<(), String> {
        self.stop.send_replace(true);
        for worker in self.workers {
            let joined = tokio::time::timeout(Duration::from_secs(60), worker).await;
            joined
                .map_err(|_| "an operator could not settle its open changes within 60 seconds")?
                .map_err(|error| error.to_string())??;
        }
        self.observers
            .into_iter()
            .for_each(|observer_task| observer_task.abort());
        Ok(())
    }
}

/// A scenario that kills a replica after a third of the run, and a backend after two thirds.
fn midway_scenario(
    deployment: &crate::deployment::Deployment,
    plan: &Plan,
) -> crate::scenario::Scenario {
    use crate::scenario::{Step, Target};
    let length = plan.seconds * 1_000;
    let (replica_index, backend_index) = (
        plan.seed as usize % deployment.replica_count,
        plan.seed as usize % deployment.backends().len(),
    );
    let steps = vec![
        (length / 3, Step::Kill(Target::Replica(replica_index))),
        (length * 2 / 3, Step::Kill(Target::Backend(backend_index))),
    ];
    crate::scenario::Scenario {
        name: "midway",
        steps,
        length,
        planned_stops_only: false,
        must_observe: &[],
    }
}

/// Measures the load and the requested number of changes during the time before the first fault.
async fn measure(
    fleet: &crate::fleet::Fleet,
    plan: &Plan,
    quiet_time: Duration,
) -> Result<crate::measurements::Measurements, String> {
    let (started, before, version) = (
        model::now(),
        crate::measurements::counter_sums(fleet).await,
        fleet.version().await?,
    );
    let in_force_us = crate::measurements::measure_changes(fleet, plan.changes).await?;
    tokio::time::sleep(quiet_time.saturating_sub(Duration::from_micros(model::now() - started)))
        .await;
    let after = crate::measurements::counter_sums(fleet).await;
    let increase =
        |name: &str| after.get(name).copied().unwrap_or(0) - before.get(name).copied().unwrap_or(0);
    Ok(crate::measurements::Measurements {
        requests_per_second: 0.0,
        in_force_us,
        core_syncs: increase("syncs"),
        core_frames: increase("frames"),
        entries: fleet.version().await? - version,
        frames_within_zones: increase("within_frames"),
        bytes_within_zones: increase("within_bytes"),
        frames_across_zones: increase("across_frames"),
        bytes_across_zones: increase("across_bytes"),
        seconds: (model::now() - started) as f64 / 1e6,
        requests_and_retries: Default::default(),
    })
}
