//! Rehearsals for gradeford. Test-only: the one program here that starts others.

use std::path::Path;
use std::path::PathBuf;

const HELP: &str = "\
simulator: tries gradeford on one machine

usage: simulator run SITE [--scenario NAME] [--seconds N] [flags]
       simulator all [SITE ...] [--only NAME,NAME] [flags]
       simulator simulate [--from SEED] [--count N] [--blows HEX | --length N]
       simulator count
       simulator understudy --name N --service S --zone Z ...

  SITE        swanreach, kurasa or small
  --scenario  midway (a core seat and a back end die; --seconds says how long), or one of those `all` lists,
              or day (faults drawn from the seed, over --seconds)
  --seed      picks who is struck, and the traffic (default 1)
  --spoil     of a thousand back-end replies, how many are spoilt (default 5)
  --changes   operators' changes to make and time before the first fault (default 5)
  --node-flags    flags for every node, in one word, for paired runs
  --folder    where logs and histories go
exit codes: 0 every invariant held, 1 one was broken or the run failed, 2 wrong usage
";

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return print!("{HELP}{}", simulator::hollow::flags::HELP);
    }
    let runtime = tokio::runtime::Runtime::new();
    let ended = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| match arguments.subcommand() {
            Ok(Some(word)) if word == "run" => runtime.block_on(perform(arguments)),
            Ok(Some(word)) if word == "all" => runtime.block_on(all(arguments)),
            Ok(Some(word)) if word == "simulate" => simulate(arguments),
            Ok(Some(word)) if word == "count" => {
                count();
                Ok(())
            }
            Ok(Some(word)) if word == "hollow" => runtime.block_on(hollow(arguments)),
            Ok(Some(word)) if word == "seat" => runtime.block_on(seat(arguments)),
            Ok(Some(word)) if word == "understudy" => runtime.block_on(understudy(arguments)),
            _ => {
                eprint!("{HELP}");
                std::process::exit(2)
            }
        });
    if let Err(trouble) = ended {
        eprintln!("simulator: {trouble}");
        std::process::exit(1);
    }
}

/// Whole sites in virtual time: many seeds, or one with the blows named.
fn simulate(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let from: u64 = usage(arguments.opt_value_from_str("--from")).unwrap_or(1);
    let count: u64 = usage(arguments.opt_value_from_str("--count")).unwrap_or(100);
    let length: usize = usage(arguments.opt_value_from_str("--length")).unwrap_or(8);
    let blows: Option<String> = usage(arguments.opt_value_from_str("--blows"));
    nothing_left(arguments);
    if count == 0 || length == 0 || length > 1_000 || from.checked_add(count).is_none() {
        wrong("--count is at least 1, --length from 1 to 1000");
    }
    let bytes = blows.map(|text| {
        simulator::sim::trial::parse_hexadecimal(&text)
            .unwrap_or_else(|| wrong("--blows is hexadecimal, six digits a blow"))
    });
    let sum = match bytes {
        Some(bytes) => simulator::sim::trial::run_one(from, &bytes),
        None => simulator::sim::trial::run_many(from, count, length),
    };
    println!(
        "{} sites, {} runs, {} served, {} dispatched again, {} moves of keys",
        sum.sites, sum.runs, sum.served, sum.retries, sum.moves
    );
    sum.violations
        .iter()
        .for_each(|(seed, blows, told)| println!("broken: --from {seed} --blows {blows}: {told}"));
    if sum.violations.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "{} of {} sites broke a promise",
            sum.violations.len(),
            sum.sites
        ))
    }
}

fn wrong(told: &str) -> ! {
    eprintln!("simulator: {told}");
    std::process::exit(2)
}

fn nothing_left(arguments: pico_args::Arguments) {
    let left = arguments.finish();
    if !left.is_empty() {
        wrong(&format!("not known here: {left:?}"));
    }
}

/// An earlier run's disks and histories would be taken for this one's.
fn unused(folder: &Path) {
    if folder.join("rehearsal.history").exists() {
        wrong(&format!("{} holds an earlier run", folder.display()));
    }
}

/// Names are checked before anything is started.
fn checked(site: &str, scenario: &str, folder: &Path) {
    if simulator::deployment::named(site).is_none() {
        wrong(&format!("there is no site {site:?}"));
    }
    if !simulator::scenario::NAMES.contains(&scenario) && !["midway", "day"].contains(&scenario) {
        wrong(&format!("there is no scenario {scenario:?}"));
    }
    if let Err(error) = std::fs::create_dir_all(folder) {
        wrong(&format!("{}: {error}", folder.display()));
    }
}

fn usage<T>(read: Result<T, pico_args::Error>) -> T {
    read.unwrap_or_else(|error| {
        eprintln!("simulator: {error}");
        std::process::exit(2)
    })
}

/// Costs of an entry under some settings of α and τ, with one or all seats suggesting, sparsely or in a burst.
fn count() {
    println!("{}", simulator::sim::entry_cost::TABLE_HEAD);
    let settings = [
        (20, 50_000),
        (20, 10_000),
        (20, 200_000),
        (1, 50_000),
        (200, 50_000),
    ];
    settings.iter().for_each(|(alpha, tau)| {
        [(20_000, true), (20_000, false), (200, true), (200, false)]
            .iter()
            .for_each(|(gap, one_seat)| {
                println!(
                    "{}",
                    simulator::sim::entry_cost::table_line(5, *alpha, *tau, *gap, 400, *one_seat)
                );
            });
    });
}

/// What `run` and `all` share: everything but the site and the scenario.
fn plan(arguments: &mut pico_args::Arguments) -> simulator::run::Plan {
    let folder: Option<PathBuf> = usage(arguments.opt_value_from_str("--folder"));
    let usher_flags: Option<String> = usage(arguments.opt_value_from_str("--node-flags"));
    simulator::run::Plan {
        site: String::new(),
        scenario: usage(arguments.opt_value_from_str("--scenario"))
            .unwrap_or_else(|| "midway".into()),
        seconds: usage(arguments.opt_value_from_str("--seconds")).unwrap_or(30),
        seed: usage(arguments.opt_value_from_str("--seed")).unwrap_or(1),
        corrupted_per_mille: usage(arguments.opt_value_from_str("--spoil")).unwrap_or(5),
        folder: folder.unwrap_or_else(|| {
            std::env::temp_dir().join(format!("gradeford-rehearsal-{}", std::process::id()))
        }),
        node_flags: usher_flags
            .unwrap_or_default()
            .split_whitespace()
            .map(str::to_string)
            .collect(),
        changes: usage(arguments.opt_value_from_str("--changes")).unwrap_or(5),
    }
}

async fn perform(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let plan = plan(&mut arguments);
    let site: String = usage(arguments.free_from_str());
    nothing_left(arguments);
    checked(&site, &plan.scenario, &plan.folder);
    unused(&plan.folder);
    let report = simulator::run::run(simulator::run::Plan { site, ..plan }).await?;
    println!(
        "{}",
        serde_json::to_string_pretty(&report).unwrap_or_default()
    );
    if report.holds() {
        Ok(())
    } else {
        Err("an invariant was broken".into())
    }
}

/// Every scenario at every site named, one line each, and a table of what was broken.
async fn all(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let plan = plan(&mut arguments);
    let only: Option<String> = usage(arguments.opt_value_from_str("--only"));
    let sites: Vec<String> = arguments
        .finish()
        .into_iter()
        .map(|site| site.to_string_lossy().into_owned())
        .collect();
    let sites = if sites.is_empty() {
        vec!["swanreach".to_string(), "kurasa".to_string()]
    } else {
        sites
    };
    sites
        .iter()
        .for_each(|site| checked(site, "quiet", &plan.folder));
    let known = |word: &str| simulator::scenario::NAMES.contains(&word) || word == "day";
    if let Some(word) = only
        .iter()
        .flat_map(|only| only.split(','))
        .find(|word| !known(word))
    {
        wrong(&format!("there is no scenario {word:?}"));
    }
    let folders = sites.iter().flat_map(|site| {
        simulator::scenario::NAMES
            .iter()
            .map(move |name| format!("{site}-{name}"))
    });
    folders.for_each(|name| unused(&plan.folder.join(name)));
    let mut broken = 0;
    println!(
        "{:<11} {:<20} {:>4} {:>7} {:>7} {:>7} {:>7}  invariants",
        "site", "scenario", "seed", "asked", "served", "not-run", "may"
    );
    for site in &sites {
        let chosen = simulator::scenario::NAMES
            .iter()
            .chain(&["day"])
            .filter(|name| {
                only.as_deref()
                    .is_none_or(|only| only.split(',').any(|word| word == **name))
                    && (**name != "day" || only.is_some())
            });
        for name in chosen {
            let folder = plan.folder.join(format!("{site}-{name}"));
            let one = simulator::run::Plan {
                site: site.clone(),
                scenario: name.to_string(),
                folder,
                changes: 0,
                node_flags: plan.node_flags.clone(),
                ..plan
            };
            let (report, verdict) = match simulator::run::run(one).await {
                Ok(report) if report.holds() && report.not_observed.is_empty() => {
                    let back = report
                        .recovery_us
                        .values()
                        .max()
                        .map(|back| format!(", back after {} ms", back / 1_000))
                        .unwrap_or_default();
                    (report, format!("held{back}"))
                }
                Ok(report) if report.holds() => {
                    let told = format!("NOT PROVOKED: {}", report.not_observed.join(", "));
                    (report, told)
                }
                Ok(report) => {
                    let found = report
                        .invariants
                        .iter()
                        .filter(|(_, found)| !found.is_empty());
                    let told = found
                        .map(|(name, found)| {
                            format!("{name} BROKEN {} times, first {}", found.len(), found[0])
                        })
                        .collect::<Vec<_>>()
                        .join("; ");
                    (report, told)
                }
                Err(trouble) => (Default::default(), format!("did not run: {trouble}")),
            };
            broken += !verdict.starts_with("held") as usize;
            let counts = [
                report.asked,
                report.served,
                report.not_run,
                report.may_have_run,
            ];
            println!(
                "{site:<11} {name:<20} {:>4} {:>7} {:>7} {:>7} {:>7}  {verdict}",
                plan.seed, counts[0], counts[1], counts[2], counts[3]
            );
        }
    }
    if broken == 0 {
        Ok(())
    } else {
        Err(format!("{broken} scenarios broke an invariant"))
    }
}

/// Stdout: a table, then one line of JSON.
async fn hollow(arguments: pico_args::Arguments) -> Result<(), String> {
    let (plan, counted) =
        simulator::hollow::flags::read(arguments).unwrap_or_else(|told| wrong(&told));
    if counted {
        println!(
            "{}",
            serde_json::to_string(&simulator::hollow::counted::count(&plan)).unwrap_or_default()
        );
        return Ok(());
    }
    let report = simulator::hollow::run(plan, true).await?;
    println!("{}\n{}", report.table(), report.json());
    Ok(())
}

/// Takes what `gradeford-core` takes, and how long a sync is.
async fn seat(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let mut text = |flag: &'static str| usage(arguments.value_from_str::<_, String>(flag));
    let (mates, operators, seeds) = (
        text("--mates-address"),
        text("--operators-address"),
        text("--seeds"),
    );
    let env = control::ReplicaConfig {
        name: text("--name"),
        zone: text("--zone"),
        address: text("--advertised-address"),
        folder: text("--folder").into(),
        replica_id: usage(arguments.value_from_str("--seat")),
        replica_count: usage(arguments.value_from_str("--seats")),
        seeds: seeds
            .split(',')
            .filter(|seed| !seed.is_empty())
            .map(str::to_string)
            .collect(),
        timing: Default::default(),
        snapshot_every_entries: 500,
        replace_after: 3_000_000,
        membership: None,
    };
    let sync_us: u64 = usage(arguments.value_from_str("--sync"));
    nothing_left(arguments);
    simulator::disk::run_replica(env, mates, operators, sync_us).await
}

async fn understudy(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let sends: String = usage(arguments.value_from_str("--sends"));
    let part = simulator::backend_stand_in::StandInConfig {
        name: usage(arguments.value_from_str("--name")),
        service: usage(arguments.value_from_str("--service")),
        zone: usage(arguments.value_from_str("--zone")),
        slots: usage(arguments.value_from_str("--slots")),
        node_address: usage(arguments.value_from_str("--node")),
        listen: usage(arguments.value_from_str("--listen")),
        history: usage(arguments.value_from_str("--history")),
        work_us: usage(arguments.value_from_str("--work")),
        corrupted_per_mille: usage(arguments.value_from_str("--spoil")),
        seed: usage(arguments.value_from_str("--seed")),
        requests_per_second: usage(arguments.value_from_str("--rate")),
        hot_key_per_mille: usage(arguments.value_from_str("--hot")),
        requests: serde_json::from_str(&sends).map_err(|error| error.to_string())?,
    };
    simulator::backend_stand_in::run(part).await
}
