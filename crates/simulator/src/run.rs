//! A whole rehearsal: start a site, load it, break something, check what everyone saw (design 9.5).

use std::path::PathBuf;
use std::time::Duration;

pub struct Plan {
    pub site: String,
    pub scenario: String,
    pub seconds: u64,
    pub seed: u64,
    pub spoil: u32,
    pub folder: PathBuf,
    /// Given to every node, for paired runs.
    pub usher_flags: Vec<String>,
    /// Operators' changes to make and time before anything is broken.
    pub changes: u64,
}

pub async fn run(plan: Plan) -> Result<crate::history::Report, String> {
    let mut deployment = crate::deployment::named(&plan.site)
        .ok_or_else(|| format!("there is no site {:?}", plan.site))?;
    let size = (
        deployment.back_ends().len(),
        deployment.cores,
        deployment.zones,
    );
    let scenario = match plan.scenario.as_str() {
        "midway" => midway(&deployment, &plan),
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
        plan.spoil,
        &plan.usher_flags,
    )?;
    let fleet = crate::fleet::Fleet {
        made_up_disks: scenario.name.starts_with("disk-"),
        ..fleet
    };
    let mut stage = crate::stagehand::Stagehand::new(fleet);
    stage.fleet.start().await?;
    let began = tokio::time::Instant::now();
    let quiet = scenario
        .steps
        .first()
        .map(|(at, _)| *at)
        .unwrap_or(scenario.length);
    let company = Company::gather(&stage.fleet, &plan, &deployment);
    let figures = measure(&stage.fleet, &plan, Duration::from_millis(quiet)).await?;
    for (at, step) in scenario.steps {
        tokio::time::sleep_until(began + Duration::from_millis(at)).await;
        let told = format!("{step:?}");
        stage
            .take(step)
            .await
            .map_err(|error| format!("{told}: {error}"))?;
    }
    tokio::time::sleep_until(began + Duration::from_millis(scenario.length)).await;
    stage.settle()?;
    company.leave().await?;
    let requests_and_extras = crate::figures::extras(&stage.fleet).await;
    let nodes = stage.fleet.machines.len();
    stage.fleet.stop().await;
    let told = |error: std::io::Error| error.to_string();
    let records: Vec<_> = crate::history::read(&plan.folder)
        .map_err(told)?
        .into_iter()
        .chain(crate::history::extras(&plan.folder).map_err(told)?)
        .collect();
    let repeatable: Vec<&str> = deployment
        .lanes
        .iter()
        .filter(|lane| lane.3)
        .map(|lane| lane.2)
        .collect();
    let allowed: Vec<(&str, &str)> = deployment
        .lanes
        .iter()
        .map(|lane| (lane.0, lane.1))
        .collect();
    // Measured changes are made by one operator alone, so nothing is refused there.
    let provokes = if plan.changes == 0 {
        scenario.provokes
    } else {
        &[]
    };
    let rules = crate::checker::Rules {
        repeatable: &repeatable,
        allowed: &allowed,
        planned: scenario.planned,
        allowance: nodes,
        provokes,
    };
    let report = crate::checker::check(&records, &rules);
    let requests_per_second = report.figures.requests_per_second;
    Ok(crate::history::Report {
        figures: crate::figures::Figures {
            requests_per_second,
            requests_and_extras,
            ..figures
        },
        ..report
    })
}

/// Operators, watchers and forgers who are there through the whole run.
struct Company {
    stop: tokio::sync::watch::Sender<bool>,
    workers: Vec<tokio::task::JoinHandle<Result<(), String>>>,
    watchers: Vec<tokio::task::JoinHandle<Result<(), String>>>,
}

impl Company {
    fn gather(
        fleet: &crate::fleet::Fleet,
        plan: &Plan,
        deployment: &crate::deployment::Deployment,
    ) -> Company {
        let stop = tokio::sync::watch::Sender::new(false);
        let service = deployment.services[0].0;
        let teams = match plan.scenario.as_str() {
            _ if plan.changes > 0 => 0,
            "operators-race" => 3,
            _ => 1,
        };
        let operators = (0..teams).map(|team| {
            tokio::spawn(crate::operators::work(
                fleet.operator(),
                service,
                plan.seed * 10 + team,
                stop.subscribe(),
            ))
        });
        let forgers = (plan.scenario == "forged").then(|| {
            tokio::spawn(crate::forgers::work(
                crate::forgers::Forger::beside(fleet),
                stop.subscribe(),
            ))
        });
        let watchers = fleet.machines.iter().map(|machine| {
            let watched = crate::operators::watch(
                machine.name.clone(),
                machine.local.clone(),
                fleet.http.clone(),
                fleet.notebook(),
            );
            tokio::spawn(watched)
        });
        Company {
            workers: operators.chain(forgers).collect(),
            watchers: watchers.collect(),
            stop,
        }
    }

    /// What was left open is settled first.
    async fn leave(self) -> Result<(), String> {
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
fn midway(deployment: &crate::deployment::Deployment, plan: &Plan) -> crate::scenario::Scenario {
    use crate::scenario::{Step, Who};
    let length = plan.seconds * 1_000;
    let (seat, at) = (
        plan.seed as usize % deployment.cores,
        plan.seed as usize % deployment.back_ends().len(),
    );
    let steps = vec![
        (length / 3, Step::Kill(Who::Core(seat))),
        (length * 2 / 3, Step::Kill(Who::BackEnd(at))),
    ];
    crate::scenario::Scenario {
        name: "midway",
        steps,
        length,
        planned: false,
        provokes: &[],
    }
}

/// The quiet third: load, a few changes, nothing broken.
async fn measure(
    fleet: &crate::fleet::Fleet,
    plan: &Plan,
    third: Duration,
) -> Result<crate::figures::Figures, String> {
    let (began, before, version) = (
        model::now(),
        crate::figures::sums(fleet).await,
        fleet.version().await?,
    );
    let in_force_us = crate::figures::changes(fleet, plan.changes).await?;
    tokio::time::sleep(third.saturating_sub(Duration::from_micros(model::now() - began))).await;
    let after = crate::figures::sums(fleet).await;
    let grown =
        |name: &str| after.get(name).copied().unwrap_or(0) - before.get(name).copied().unwrap_or(0);
    Ok(crate::figures::Figures {
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
        requests_and_extras: Default::default(),
    })
}
