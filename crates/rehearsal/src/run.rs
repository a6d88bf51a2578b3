//! A whole rehearsal: start a site, load it, break something, check what everyone saw (design 9.5).

pub struct Plan {
    pub site: String,
    pub seconds: u64,
    pub seed: u64,
    pub spoil: u32,
    pub folder: std::path::PathBuf,
}

pub async fn run(plan: Plan) -> Result<crate::history::Report, String> {
    let deployment = crate::deployment::named(&plan.site).ok_or_else(|| format!("there is no site {:?}", plan.site))?;
    let mut fleet = crate::fleet::Fleet::plan(deployment.clone(), plan.folder.clone(), plan.seed, plan.spoil)?;
    fleet.start().await?;
    let third = std::time::Duration::from_millis(plan.seconds * 1_000 / 3);
    tokio::time::sleep(third).await;
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
    Ok(crate::history::check(&records, &repeatable, &allowed))
}

fn note_killed(folder: &std::path::Path, name: &str) -> Result<(), String> {
    let record = crate::history::Record::Leaving { by: name.to_string(), at: playbill::now() };
    let line = serde_json::to_string(&record).unwrap_or_default() + "\n";
    std::fs::write(folder.join(format!("{name}-killed.history")), line).map_err(|error| error.to_string())
}
