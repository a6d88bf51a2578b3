//! Flags of the command. All invalid flags are reported together, and nothing starts unless all are valid.

use super::{NodeParts, Plan};
use std::fmt::Display;
use std::str::FromStr;

pub const HELP: &str = "
       rehearsal hollow --nodes N --services S --zones Z --regions R [flags]

hollow plays the control side of N nodes in one process, without requests (docs/CAPACITY.md):
  --seats, --lanes      core seats (default 5) and lanes of the site (default 3 a service)
  --seconds             how long it rests, and over how long changes and restarts are spread (default 20)
  --changes, --restarts so many of them, after the rest
  --lost                so many machines go at once, without a word, and come back
  --hop, --cut          microseconds one way between regions; for how many seconds the last region is cut off
  --parts               whole (default), troupe or following: less of each node, so that a difference is a part's cost
  --counted             only what the code alone says of that size, without conns
stdout: a table, then one line of JSON
";

type FlagErrors = Vec<String>;

/// Parses a flag. Without a default the flag is required.
fn parse_flag<T: FromStr>(
    arguments: &mut pico_args::Arguments,
    errors: &mut FlagErrors,
    flag: &'static str,
    default: Option<T>,
) -> Option<T>
where
    T::Err: Display,
{
    match arguments.opt_value_from_str(flag) {
        Ok(None) if default.is_none() => errors.push(format!("{flag}: is missing")),
        Ok(value) => return value.or(default),
        Err(error) => errors.push(format!("{flag}: {error}")),
    }
    None
}

/// Returns the plan and whether it is only counted.
pub fn read(mut arguments: pico_args::Arguments) -> Result<(Plan, bool), String> {
    let mut errors = FlagErrors::new();
    let count_only = arguments.contains("--counted");
    let mut count_flag = |flag, default| {
        parse_flag::<usize>(&mut arguments, &mut errors, flag, default).unwrap_or(1)
    };
    let (nodes, services, zones, regions) = (
        count_flag("--nodes", None),
        count_flag("--services", None),
        count_flag("--zones", None),
        count_flag("--regions", None),
    );
    let (replicas, routes) = (
        count_flag("--seats", Some(5)),
        count_flag("--lanes", Some(services.saturating_mul(3))),
    );
    let (changes, restarts, lost_machines) = (
        count_flag("--changes", Some(0)),
        count_flag("--restarts", Some(0)),
        count_flag("--lost", Some(0)),
    );
    let mut time_flag = |flag, default| {
        parse_flag::<u64>(&mut arguments, &mut errors, flag, Some(default)).unwrap_or(default)
    };
    let (seconds, hop_us, cut_seconds) = (
        time_flag("--seconds", 20),
        time_flag("--hop", 0),
        time_flag("--cut", 0),
    );
    let parts = parse_flag(
        &mut arguments,
        &mut errors,
        "--parts",
        Some("whole".to_string()),
    )
    .unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("gradeford-hollow-{}", std::process::id()));
    errors.extend(arguments.finish().into_iter().map(|argument| {
        format!(
            "{}: is not a flag of this command",
            argument.to_string_lossy()
        )
    }));
    let known_parts = NodeParts::named(&parts);
    errors.extend(
        known_parts
            .is_none()
            .then(|| format!("--parts: unknown value {parts:?}")),
    );
    let parts = known_parts.unwrap_or(NodeParts::Full);
    let plan = Plan {
        nodes,
        services,
        zones,
        regions,
        replicas,
        routes,
        seconds,
        changes,
        restarts,
        lost_machines,
        hop_us,
        cut_seconds,
        parts,
        folder,
    };
    if errors.is_empty() {
        errors.extend(
            plan.flag_errors(!count_only)
                .into_iter()
                .map(|(flag, reason)| format!("{flag}: {reason}")),
        );
    }
    if errors.is_empty() {
        Ok((plan, count_only))
    } else {
        Err(errors.join("; "))
    }
}
