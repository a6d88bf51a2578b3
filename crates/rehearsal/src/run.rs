//! A whole rehearsal: start a site, load it, break something, check what everyone saw (design 9.5).

pub struct Plan {
    pub site: String,
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
    let mut fleet = crate::fleet::Fleet::plan(deployment.clone(), plan.folder.clone(), plan.seed, plan.spoil, &plan.usher_flags)?;
    fleet.start().await?;
    let third = std::time::Duration::from_millis(plan.seconds * 1_000 / 3);
    let figures = measure(&fleet, &plan, third).await?;
    // A core seat dies without a word.
    let seat = plan.seed as usize % fleet.cores.len();
    if let Some(mut process) = fleet.cores[seat].process.take() {
        process.kill();
    }
    tokio::time::sleep(third).await;
    // So does a back end.
    let at = plan.seed as usize % fleet.machines.len();
    if let Some(mut process) = fleet.machines[at].understudy.take() {
        process.kill();
        note_killed(&plan.folder, &fleet.machines[at].name)?;
    }
    tokio::time::sleep(third).await;
    fleet.stop().await;
    let records = crate::history::read(&plan.folder).map_err(|error| error.to_string())?;
    let repeatable: Vec<&str> = deployment.lanes.iter().filter(|lane| lane.3).map(|lane| lane.2).collect();
    let allowed: Vec<(&str, &str)> = deployment.lanes.iter().map(|lane| (lane.0, lane.1)).collect();
    let report = crate::history::check(&records, &repeatable, &allowed);
    let requests_per_second = report.figures.requests_per_second;
    Ok(crate::history::Report { figures: crate::figures::Figures { requests_per_second, ..figures }, ..report })
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
    })
}

fn note_killed(folder: &std::path::Path, name: &str) -> Result<(), String> {
    let record = crate::history::Record::Leaving { by: name.to_string(), at: playbill::now() };
    let line = serde_json::to_string(&record).unwrap_or_default() + "\n";
    std::fs::write(folder.join(format!("{name}-killed.history")), line).map_err(|error| error.to_string())
}
