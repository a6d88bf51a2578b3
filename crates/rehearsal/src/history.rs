//! What stand-ins saw, one JSON line each, and what must hold over all of it (design 9.5).

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A back end began to run a request; written before anything else happens.
    Began {
        run: String,
        try_id: String,
        at: u64,
        by: String,
        life: u64,
        /// Two live back ends may bear one name: an old one that slept, and its successor.
        process: u32,
        service: String,
        meant_for: String,
        sender: String,
        path: String,
        key: Option<String>,
    },
    Ended {
        run: String,
        at: u64,
    },
    /// A sender was told how its try ended; `again`: this was not its first arrival.
    Told {
        try_id: String,
        asked: u64,
        at: u64,
        wait: u64,
        again: bool,
        by: String,
        service: String,
        target: String,
        path: String,
        key: Option<String>,
        status: u16,
        verdict: Option<String>,
        cause: Option<String>,
        come_back: bool,
        whole: bool,
    },
    /// A back end asked to be drained, or was killed, at this time.
    Leaving {
        by: String,
        at: u64,
    },
    /// An operator's change of a lane: sent, and (`accepted`) answered.
    Lane {
        sender: String,
        service: String,
        path: String,
        allowed: bool,
        accepted: bool,
        at: u64,
    },
}

#[derive(Debug, Default, serde::Serialize)]
pub struct Report {
    pub asked: usize,
    /// Second arrivals of the same tries.
    pub again: usize,
    pub served: usize,
    pub not_run: usize,
    pub may_have_run: usize,
    pub causes: std::collections::BTreeMap<String, usize>,
    pub figures: crate::figures::Figures,
    pub invariants: std::collections::BTreeMap<String, Vec<String>>,
}

impl Report {
    pub fn held(&self) -> bool {
        self.invariants.values().all(Vec::is_empty)
    }
}

pub fn read(folder: &std::path::Path) -> std::io::Result<Vec<Record>> {
    let files: Vec<_> = std::fs::read_dir(folder)?.filter_map(Result::ok).filter(|file| file.path().extension().is_some_and(|end| end == "history")).collect();
    // A killed process may leave its last line unfinished.
    let lines = files.into_iter().map(|file| std::fs::read_to_string(file.path())).collect::<Result<Vec<_>, _>>()?;
    Ok(lines.iter().flat_map(|text| text.lines()).filter_map(|line| serde_json::from_str(line).ok()).collect())
}

/// Paths whose requests may run twice; everything else must not.
pub fn check(records: &[Record], repeatable: &[&str], allowed: &[(&str, &str)], planned: bool) -> Report {
    let mut report = Report::default();
    let began: Vec<&Record> = records.iter().filter(|record| matches!(record, Record::Began { .. })).collect();
    let runs = began.iter().fold(std::collections::HashMap::<&str, usize>::new(), |mut runs, record| {
        if let Record::Began { try_id, .. } = record {
            *runs.entry(try_id).or_default() += 1;
        }
        runs
    });
    let mut broken = |name: &str, found: Vec<String>| drop(report.invariants.insert(name.to_string(), found));
    broken(
        "nothing_runs_twice",
        began
            .iter()
            .filter_map(|record| match record {
                Record::Began { try_id, path, .. } if !repeatable.iter().any(|start| path.starts_with(start)) && runs[try_id.as_str()] > 1 => {
                    Some(format!("{try_id} {path}"))
                }
                _ => None,
            })
            .collect(),
    );
    broken(
        "not_run_did_not_run",
        told(records)
            // What could not even be asked was refused by nobody.
            .filter(|(_, _, _, cause)| *cause != Some("own_usher_down"))
            .filter(|(try_id, verdict, _, _)| *verdict == Some("not-run") && runs.contains_key(try_id))
            .map(|(try_id, ..)| try_id.to_string())
            .collect(),
    );
    broken(
        "success_is_whole",
        told(records)
            .filter(|(try_id, verdict, whole, _)| verdict.is_none() && (!whole || !runs.contains_key(try_id)))
            .map(|(try_id, ..)| try_id.to_string())
            .collect(),
    );
    broken(
        "routes_are_kept",
        began
            .iter()
            .filter_map(|record| match record {
                Record::Began { try_id, service, meant_for, sender, .. } if service != meant_for || !allowed.contains(&(sender.as_str(), service.as_str())) => {
                    Some(format!("{try_id} for {meant_for} at {service}"))
                }
                _ => None,
            })
            .collect(),
    );
    broken(
        "senders_are_told_truly",
        began
            .iter()
            .filter_map(|record| match record {
                Record::Began { try_id, sender, .. } if service_of(try_id) != Some(sender.as_str()) => Some(format!("{try_id} told as {sender}")),
                _ => None,
            })
            .collect(),
    );
    broken("one_holder_a_key", crate::promises::overlaps(records));
    broken("drained_gets_nothing_new", crate::promises::after_leaving(records));
    broken("changes_are_in_force", crate::promises::after_forbidding(records));
    broken("service_is_back", crate::promises::silent_at_the_end(records));
    if planned {
        broken("planned_ends_cut_nothing", crate::promises::cut_off(records));
    }
    let firsts: Vec<Record> = records.iter().filter(|record| !matches!(record, Record::Told { again: true, .. })).cloned().collect();
    let times: Vec<u64> = records.iter().filter_map(|record| if let Record::Told { at, .. } = record { Some(*at) } else { None }).collect();
    let span = times.iter().max().zip(times.iter().min()).map(|(last, first)| last - first).unwrap_or(0).max(1);
    report.figures.requests_per_second = times.len() as f64 * 1e6 / span as f64;
    report.asked = told(&firsts).count();
    report.again = told(records).count() - report.asked;
    report.served = told(&firsts).filter(|(_, verdict, ..)| verdict.is_none()).count();
    report.not_run = told(&firsts).filter(|(_, verdict, ..)| *verdict == Some("not-run")).count();
    report.may_have_run = report.asked - report.served - report.not_run;
    told(records).filter_map(|(.., cause)| cause).for_each(|cause| *report.causes.entry(cause.to_string()).or_default() += 1);
    report
}

/// A stand-in writes its own service into its tries, behind the registration's prefix.
fn service_of(try_id: &str) -> Option<&str> {
    try_id.rsplit('.').next().and_then(|rest| rest.split('/').next())
}

type Telling<'a> = (&'a str, Option<&'a str>, bool, Option<&'a str>);

fn told(records: &[Record]) -> impl Iterator<Item = Telling<'_>> {
    records.iter().filter_map(|record| match record {
        Record::Told { try_id, verdict, whole, cause, .. } => Some((try_id.as_str(), verdict.as_deref(), *whole, cause.as_deref())),
        _ => None,
    })
}
