//! Command-line program that executes soak runs; see `soak --help`.

use std::collections::BTreeMap;
use std::env;
use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use soak::Error;
use soak::checker::Violation;
use soak::clock::SECOND;
use soak::history::Records;
use soak::operator::OperatorPace;
use soak::plan::Profile;
use soak::run::{self, Outcome, RunConfig};
use tokio::runtime::Runtime;
use tokio::signal::ctrl_c;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
soak: gradeford-platform as real processes under drawn faults, and whether each confirmed change was in force in time

usage: soak [flags]

  --seed N          the first seed (1)
  --runs N          runs, each with the next seed (1)
  --cores N         core machines (7)
  --nodes N         nodes, each with a backend (14)
  --zones N         zones (4)
  --losses N        core machines that may be lost at once (2)
  --seconds N       how long each run lasts (40)
  --profile NAME    calm, mixed, zone-freeze, closing, overlap, stops (mixed)
  --clients N       clients at each node (2)
  --client-pause N  the longest pause of a client, in milliseconds (120)
  --batch N         clients of the batch service at each node (0)
  --pause N         the longest pause of an operator, in milliseconds (400)
  --addition N      routes that the largest calls add (40)
  --network N       the second number of all addresses, 127.N.x.y (90)
  --folder PATH     for settings, disks and logs; kept if a rule was broken
  --keep            keep the folder in any case

exit codes: 0 no rule broken, 1 a rule broken, 2 flags or the harness at fault
";

/// Maximum number of violations printed for one run.
const MAX_PRINTED: usize = 12;

struct Flags {
    config: RunConfig,
    runs: u64,
    keep: bool,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let failed_runs = parse(arguments).and_then(run_all);
    match failed_runs {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}

fn parse(mut arguments: Arguments) -> Result<Flags, Error> {
    let to_flags_error = |error: pico_args::Error| Error::Flags(error.to_string());
    let mut number = |name: &'static str, default: u64| {
        let value = arguments.opt_value_from_str::<_, u64>(name);
        value
            .map(|value| value.unwrap_or(default))
            .map_err(to_flags_error)
    };
    let pace = OperatorPace {
        max_pause_ms: number("--pause", 400)?,
        largest_addition: number("--addition", 40)? as usize,
    };
    let runs = number("--runs", 1)?;
    let mut config = RunConfig {
        seed: number("--seed", 1)?,
        cores: number("--cores", 7)? as usize,
        nodes: number("--nodes", 14)? as usize,
        zones: number("--zones", 4)?.max(1) as usize,
        machine_losses: number("--losses", 2)? as usize,
        duration: number("--seconds", 40)? * SECOND,
        profile: Profile::Mixed,
        clients_per_node: number("--clients", 2)? as usize,
        client_pause_ms: number("--client-pause", 120)?,
        batch_clients_per_node: number("--batch", 0)? as usize,
        pace,
        network: number("--network", 90)? as u8,
        folder: env::temp_dir().join(format!("gradeford-soak-{}", std::process::id())),
    };
    let profile = arguments.opt_value_from_str::<_, String>("--profile");
    if let Some(name) = profile.map_err(to_flags_error)? {
        let unknown = || Error::Flags(format!("unknown profile {name}"));
        config.profile = Profile::parse(&name).ok_or_else(unknown)?;
    }
    let folder = arguments.opt_value_from_os_str("--folder", |path| {
        Ok::<_, std::convert::Infallible>(PathBuf::from(path))
    });
    if let Some(folder) = folder.map_err(to_flags_error)? {
        config.folder = folder;
    }
    let keep = arguments.contains("--keep");
    let rest: Vec<OsString> = arguments.finish();
    match rest.first() {
        Some(unknown) => Err(Error::Flags(format!("unknown argument {unknown:?}"))),
        None => Ok(Flags { config, runs, keep }),
    }
}

/// Executes a run. SIGTERM or SIGINT aborts it, which kills the processes that it started.
async fn run_unless_stopped(config: RunConfig) -> Result<Outcome, Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::io("signals"))?;
    tokio::select! {
        outcome = run::run(config) => outcome,
        _ = terminate.recv() => Err(Error::Stopped),
        _ = ctrl_c() => Err(Error::Stopped),
    }
}

/// Executes all runs and returns the number of runs with violations.
fn run_all(flags: Flags) -> Result<u64, Error> {
    let runtime = Runtime::new().map_err(Error::io("runtime"))?;
    let mut failed_runs = 0;
    for run in 0..flags.runs {
        let mut config = flags.config.clone();
        config.seed += run;
        config.folder = flags.config.folder.join(format!("seed-{}", config.seed));
        let folder = config.folder.clone();
        let seed = config.seed;
        let outcome = runtime.block_on(run_unless_stopped(config))?;
        let has_violations = !outcome.verdict.violations.is_empty();
        print_report(seed, &outcome);
        if has_violations {
            failed_runs += 1;
            print_violations(&outcome);
            println!("  logs: {}", folder.display());
        } else if !flags.keep {
            drop(fs::remove_dir_all(folder));
        }
    }
    println!("{} runs, {failed_runs} with a rule broken", flags.runs);
    Ok(failed_runs)
}

fn print_report(seed: u64, outcome: &Outcome) {
    let verdict = &outcome.verdict;
    let records = &outcome.records;
    let acknowledgement_times = records.acknowledgement_times();
    let slowest = acknowledgement_times.iter().max();
    println!(
        "seed {seed}: {} violations, longest lateness in touch {} ms, {} late out of touch, {} probes, {} reads, \
         {} routes, {} calls acknowledged, the slowest after {} ms, {} machine events, {} ended while loading, \
         answers {:?}, {} batch requests, {} of them ended while their node stopped, {}",
        verdict.violations.len(),
        verdict.longest_lateness / 1_000,
        verdict.late_without_bound,
        verdict.probes,
        verdict.reads,
        records.routes.len(),
        acknowledgement_times.len(),
        slowest.copied().unwrap_or_default() / 1_000,
        records.events.len(),
        records.ended_while_loading,
        records.statuses,
        records.batch_requests.len(),
        verdict.ended_while_stopping,
        batch_ends(records),
    );
}

/// Returns how many requests to the batch service ended in which way.
fn batch_ends(records: &Records) -> String {
    let mut counts = BTreeMap::<String, usize>::new();
    for request in &records.batch_requests {
        *counts.entry(format!("{:?}", request.end)).or_default() += 1;
    }
    format!("{counts:?}")
}

fn print_violations(outcome: &Outcome) {
    for violation in outcome.verdict.violations.iter().take(MAX_PRINTED) {
        println!("  {violation:?}");
        let probe = match violation {
            Violation::NotInForce { probe, .. } | Violation::Reverted { probe, .. } => probe,
            _ => continue,
        };
        let nearby_events = outcome.records.events.iter().filter(|event| {
            event.at <= probe.answered_at && event.at + 15 * SECOND >= probe.sent_at
        });
        let nearby_events: Vec<String> = nearby_events
            .map(|event| {
                let name = outcome.site.name(event.machine);
                format!("{:.2} {name} {:?}", event.at as f64 / 1e6, event.kind)
            })
            .collect();
        println!("    events: {}", nearby_events.join(", "));
    }
}
