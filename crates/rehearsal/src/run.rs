//! A whole rehearsal: start a site, load it, break something, check what everyone saw (design 9.5).

pub struct Plan {
    pub site: String,
    pub scenario: String,
    pub seconds: u64,
    pub seed: u64,
    pub spoil: u32,
    pub folder: std::path::PathBuf,
    /// Given to every usher, for paired runs.
    pub usher_flags: Vec<String>,
    /// Operators' changes to make and time before anything is broken.
    pub changes: u64,
}

pub async fn run(plan: Plan) -> Result<crate::history::Report, String> {
    let deployment = crate::deployment::named(&plan.site).ok_or_else(|| format!("there is no site {:?}", plan.site))?;
    let scenario = match plan.scenario.as_str() {
        "midway" => midway(&deployment, &plan),
        name => {
            crate::scenario::named(name, deployment.back_ends().len(), deployment.cores, plan.seed).ok_or_else(|| format!("there is no scenario {name:?}"))?
        }
    };
    let fleet = crate::fleet::Fleet::plan(deployment.clone(), plan.folder.clone(), plan.seed, plan.spoil, &plan.usher_flags)?;
    let mut stage = crate::stagehand::Stagehand::new(fleet);
    stage.fleet.start().await?;
    let began = tokio::time::Instant::now();
    let quiet = scenario.steps.first().map(|(at, _)| *at).unwrap_or(scenario.length);
    let figures = measure(&stage.fleet, &plan, std::time::Duration::from_millis(quiet)).await?;
    for (at, step) in scenario.steps {
        tokio::time::sleep_until(began + std::time::Duration::from_millis(at)).await;
        stage.take(step).await?;
    }
    tokio::time::sleep_until(began + std::time::Duration::from_millis(scenario.length)).await;
    stage.settle();
    let requests_and_extras = crate::figures::extras(&stage.fleet).await;
    let nodes = stage.fleet.machines.len() as u64;
    stage.fleet.stop().await;
    let records = crate::history::read(&plan.folder).map_err(|error| error.to_string())?;
    let repeatable: Vec<&str> = deployment.lanes.iter().filter(|lane| lane.3).map(|lane| lane.2).collect();
    let allowed: Vec<(&str, &str)> = deployment.lanes.iter().map(|lane| (lane.0, lane.1)).collect();
    let report = crate::history::check(&records, &repeatable, &allowed, scenario.planned);
    let requests_per_second = report.figures.requests_per_second;
    let spent = requests_and_extras.iter().filter(|(_, (requests, extras))| *extras > requests / 5 + nodes);
    let over = spent.map(|(service, (requests, extras))| format!("{service}: {extras} extra dispatches for {requests} requests")).collect();
    let invariants = report.invariants.into_iter().chain([("extras_keep_to_their_budget".to_string(), over)]).collect();
    Ok(crate::history::Report { figures: crate::figures::Figures { requests_per_second, requests_and_extras, ..figures }, invariants, ..report })
}

/// A core seat dies without a word after a third, a back end after two.
fn midway(deployment: &crate::deployment::Deployment, plan: &Plan) -> crate::scenario::Scenario {
    use crate::scenario::{Step, Who};
    let length = plan.seconds * 1_000;
    let (seat, at) = (plan.seed as usize % deployment.cores, plan.seed as usize % deployment.back_ends().len());
    let steps = vec![(length / 3, Step::Kill(Who::Core(seat))), (length * 2 / 3, Step::Kill(Who::BackEnd(at)))];
    crate::scenario::Scenario { name: "midway", steps, length, planned: false }
}

/// The quiet third: load, a few changes, nothing broken.
async fn measure(fleet: &crate::fleet::Fleet, plan: &Plan, third: std::time::Duration) -> Result<crate::figures::Figures, String> {
    let (began, before, version) = (playbill::now(), crate::figures::sums(fleet).await, fleet.version().await?);
    let in_force_us = crate::figures::changes(fleet, plan.changes).await?;
    tokio::time::sleep(third.saturating_sub(std::time::Duration::from_micros(playbill::now() - began))).await;
    let after = crate::figures::sums(fleet).await;
    let grown = |name: &str| after.get(name).copied().unwrap_or(0) - before.get(name).copied().unwrap_or(0);
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
        seconds: (playbill::now() - began) as f64 / 1e6,
        requests_and_extras: Default::default(),
    })
}
