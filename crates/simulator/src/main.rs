//! Test-only command line for the simulators and for whole deployments on one machine. It is the only program here
//! that starts other processes.

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
    let result = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| match arguments.subcommand() {
            Ok(Some(name)) if name == "run" => runtime.block_on(run_scenario(arguments)),
            Ok(Some(name)) if name == "all" => runtime.block_on(run_all(arguments)),
            Ok(Some(name)) if name == "simulate" => simulate(arguments),
            Ok(Some(name)) if name == "count" => {
                print_entry_costs();
                Ok(())
            }
            Ok(Some(name)) if name == "hollow" => runtime.block_on(run_hollow(arguments)),
            Ok(Some(name)) if name == "seat" => runtime.block_on(run_replica(arguments)),
            Ok(Some(name)) if name == "understudy" => runtime.block_on(run_stand_in(arguments)),
            _ => {
                eprint!("{HELP}");
                std::process::exit(2)
            }
        });
    if let Err(error) = result {
        eprintln!("simulator: {error}");
        std::process::exit(1);
    }
}

/// Simulates whole sites in virtual time: a range of seeds, or one seed with the given faults.
fn simulate(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let from: u64 = parsed_or_exit(arguments.opt_value_from_str("--from")).unwrap_or(1);
    let count: u64 = parsed_or_exit(arguments.opt_value_from_str("--count")).unwrap_or(100);
    let length: usize = parsed_or_exit(arguments.opt_value_from_str("--length")).unwrap_or(8);
    let faults: Option<String> = parsed_or_exit(arguments.opt_value_from_str("--blows"));
    reject_unknown_arguments(arguments);
    if count == 0 || length == 0 || length > 1_000 || from.checked_add(count).is_none() {
        exit_with_usage_error("--count must be at least 1, and --length from 1 to 1000");
    }
    let fault_bytes = faults.map(|digits| {
        simulator::sim::trial::parse_hexadecimal(&digits).unwrap_or_else(|| {
            exit_with_usage_error("--blows must be hexadecimal, with six digits per fault")
        })
    });
    let totals = match fault_bytes {
        Some(fault_bytes) => simulator::sim::trial::run_one(from, &fault_bytes),
        None => simulator::sim::trial::run_many(from, count, length),
    };
    println!(
        "{} sites, {} runs, {} served, {} dispatched again, {} moves of keys",
        totals.sites, totals.runs, totals.served, totals.retries, totals.moves
    );
    totals
        .violations
        .iter()
        .for_each(|(seed, faults, violation)| {
            println!("broken: --from {seed} --blows {faults}: {violation}")
        });
    if totals.violations.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "{} of {} sites violated an invariant",
            totals.violations.len(),
            totals.sites
        ))
    }
}

fn exit_with_usage_error(message: &str) -> ! {
    eprintln!("simulator: {message}");
    std::process::exit(2)
}

fn reject_unknown_arguments(arguments: pico_args::Arguments) {
    let remaining = arguments.finish();
    if !remaining.is_empty() {
        exit_with_usage_error(&format!("unknown arguments: {remaining:?}"));
    }
}

/// Rejects a folder that holds the files of an earlier run, whose stores and histories would be read as those of this run.
fn require_unused_folder(folder: &Path) {
    if folder.join("rehearsal.history").exists() {
        exit_with_usage_error(&format!(
            "{} holds the files of an earlier run",
            folder.display()
        ));
    }
}

/// Checks the site, the scenario and the folder before any process starts.
fn check_arguments(site: &str, scenario: &str, folder: &Path) {
    if simulator::deployment::named(site).is_none() {
        exit_with_usage_error(&format!("there is no site {site:?}"));
    }
    if !simulator::scenario::NAMES.contains(&scenario) && !["midway", "day"].contains(&scenario) {
        exit_with_usage_error(&format!("there is no scenario {scenario:?}"));
    }
    if let Err(error) = std::fs::create_dir_all(folder) {
        exit_with_usage_error(&format!("{}: {error}", folder.display()));
    }
}

fn parsed_or_exit<T>(read: Result<T, pico_args::Error>) -> T {
    read.unwrap_or_else(|error| {
        eprintln!("simulator: {error}");
        std::process::exit(2)
    })
}

/// Prints the costs of an entry for several values of α and τ, with one or all replicas suggesting, at a low and a high
/// rate.
fn print_entry_costs() {
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
            .for_each(|(gap, single_proposer)| {
                println!(
                    "{}",
                    simulator::sim::entry_cost::table_line(
                        5,
                        *alpha,
                        *tau,
                        *gap,
                        400,
                        *single_proposer
                    )
                );
            });
    });
}

/// Reads the arguments that `run` and `all` share: everything but the site.
fn read_plan(arguments: &mut pico_args::Arguments) -> simulator::run::Plan {
    let folder: Option<PathBuf> = parsed_or_exit(arguments.opt_value_from_str("--folder"));
    let node_flags: Option<String> = parsed_or_exit(arguments.opt_value_from_str("--node-flags"));
    simulator::run::Plan {
        site: String::new(),
        scenario: parsed_or_exit(arguments.opt_value_from_str("--scenario"))
            .unwrap_or_else(|| "midway".into()),
        seconds: parsed_or_exit(arguments.opt_value_from_str("--seconds")).unwrap_or(30),
        seed: parsed_or_exit(arguments.opt_value_from_str("--seed")).unwrap_or(1),
        corrupted_per_mille: parsed_or_exit(arguments.opt_value_from_str("--spoil")).unwrap_or(5),
        folder: folder.unwrap_or_else(|| {
            std::env::temp_dir().join(format!("gradeford-rehearsal-{}", std::process::id()))
        }),
        node_flags: node_flags
            .unwrap_or_default()
            .split_whitespace()
            .map(str::to_string)
            .collect(),
        changes: parsed_or_exit(arguments.opt_value_from_str("--changes")).unwrap_or(5),
    }
}

async fn run_scenario(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let plan = read_plan(&mut arguments);
    let site: String = parsed_or_exit(arguments.free_from_str());
    reject_unknown_arguments(arguments);
    check_arguments(&site, &plan.scenario, &plan.folder);
    require_unused_folder(&plan.folder);
    let report = simulator::run::run(simulator::run::Plan { site, ..plan }).await?;
    println!(
        "{}",
        serde_json::to_string_pretty(&report).unwrap_or_default()
    );
    if report.has_no_violations() {
        Ok(())
    } else {
        Err("an invariant was broken".into())
    }
}

/// Runs the chosen scenarios at each given site and prints one line for each, with the violated invariants.
async fn run_all(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let plan = read_plan(&mut arguments);
    let only_names: Option<String> = parsed_or_exit(arguments.opt_value_from_str("--only"));
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
        .for_each(|site| check_arguments(site, "quiet", &plan.folder));
    let is_known = |name: &str| simulator::scenario::NAMES.contains(&name) || name == "day";
    if let Some(name) = only_names
        .iter()
        .flat_map(|only_names| only_names.split(','))
        .find(|name| !is_known(name))
    {
        exit_with_usage_error(&format!("there is no scenario {name:?}"));
    }
    let folders = sites.iter().flat_map(|site| {
        simulator::scenario::NAMES
            .iter()
            .map(move |name| format!("{site}-{name}"))
    });
    folders.for_each(|name| require_unused_folder(&plan.folder.join(name)));
    let mut failed_count = 0;
    println!(
        "{:<11} {:<20} {:>4} {:>7} {:>7} {:>7} {:>7}  invariants",
        "site", "scenario", "seed", "asked", "served", "not-run", "may"
    );
    for site in &sites {
        let selected = simulator::scenario::NAMES
            .iter()
            .chain(&["day"])
            .filter(|name| {
                only_names
                    .as_deref()
                    .is_none_or(|only_names| only_names.split(',').any(|listed| listed == **name))
                    && (**name != "day" || only_names.is_some())
            });
        for name in selected {
            let folder = plan.folder.join(format!("{site}-{name}"));
            let scenario_plan = simulator::run::Plan {
                site: site.clone(),
                scenario: name.to_string(),
                folder,
                changes: 0,
                node_flags: plan.node_flags.clone(),
                ..plan
            };
            let (report, verdict) = match simulator::run::run(scenario_plan).await {
                Ok(report) if report.has_no_violations() && report.not_observed.is_empty() => {
                    let recovery = report
                        .recovery_us
                        .values()
                        .max()
                        .map(|recovery| format!(", back after {} ms", recovery / 1_000))
                        .unwrap_or_default();
                    (report, format!("held{recovery}"))
                }
                Ok(report) if report.has_no_violations() => {
                    let summary = format!("NOT PROVOKED: {}", report.not_observed.join(", "));
                    (report, summary)
                }
                Ok(report) => {
                    let violations = report
                        .invariants
                        .iter()
                        .filter(|(_, violations)| !violations.is_empty());
                    let summary = violations
                        .map(|(name, violations)| {
                            format!(
                                "{name} BROKEN {} times, first {}",
                                violations.len(),
                                violations[0]
                            )
                        })
                        .collect::<Vec<_>>()
                        .join("; ");
                    (report, summary)
                }
                Err(error) => (Default::default(), format!("did not run: {error}")),
            };
            failed_count += !verdict.starts_with("held") as usize;
            let counts = [
                report.attempts,
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
    if failed_count == 0 {
        Ok(())
    } else {
        Err(format!("{failed_count} scenarios broke an invariant"))
    }
}

/// Runs the fleet of hollow nodes, and prints a table and then one line of JSON to standard output.
async fn run_hollow(arguments: pico_args::Arguments) -> Result<(), String> {
    let (plan, is_count_only) = simulator::hollow::flags::read(arguments)
        .unwrap_or_else(|message| exit_with_usage_error(&message));
    if is_count_only {
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

/// Runs a replica over a simulated disk. Takes the flags of `gradeford-core`, and the delay of each sync as `--sync`.
async fn run_replica(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let mut required_text =
        |flag: &'static str| parsed_or_exit(arguments.value_from_str::<_, String>(flag));
    let (peer_address, operators_address, seeds) = (
        required_text("--mates-address"),
        required_text("--operators-address"),
        required_text("--seeds"),
    );
    let config = control::ReplicaConfig {
        name: required_text("--name"),
        zone: required_text("--zone"),
        address: required_text("--advertised-address"),
        folder: required_text("--folder").into(),
        replica_id: parsed_or_exit(arguments.value_from_str("--seat")),
        replica_count: parsed_or_exit(arguments.value_from_str("--seats")),
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
    let sync_us: u64 = parsed_or_exit(arguments.value_from_str("--sync"));
    reject_unknown_arguments(arguments);
    simulator::disk::run_replica(config, peer_address, operators_address, sync_us).await
}

/// Runs a stand-in backend.
async fn run_stand_in(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let requests: String = parsed_or_exit(arguments.value_from_str("--sends"));
    let config = simulator::backend_stand_in::StandInConfig {
        name: parsed_or_exit(arguments.value_from_str("--name")),
        service: parsed_or_exit(arguments.value_from_str("--service")),
        zone: parsed_or_exit(arguments.value_from_str("--zone")),
        slots: parsed_or_exit(arguments.value_from_str("--slots")),
        node_address: parsed_or_exit(arguments.value_from_str("--node")),
        listen: parsed_or_exit(arguments.value_from_str("--listen")),
        history: parsed_or_exit(arguments.value_from_str("--history")),
        work_us: parsed_or_exit(arguments.value_from_str("--work")),
        corrupted_per_mille: parsed_or_exit(arguments.value_from_str("--spoil")),
        seed: parsed_or_exit(arguments.value_from_str("--seed")),
        requests_per_second: parsed_or_exit(arguments.value_from_str("--rate")),
        hot_key_per_mille: parsed_or_exit(arguments.value_from_str("--hot")),
        requests: serde_json::from_str(&requests).map_err(|error| error.to_string())?,
    };
    simulator::backend_stand_in::run(config).await
}
