//! The command's flags: every fault is named, and nothing starts before.

use super::{Parts, Plan};
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

type Faults = Vec<String>;

/// A flag that must be there, or one with a default.
fn number<T: FromStr>(
    arguments: &mut pico_args::Arguments,
    faults: &mut Faults,
    flag: &'static str,
    otherwise: Option<T>,
) -> Option<T>
where
    T::Err: Display,
{
    match arguments.opt_value_from_str(flag) {
        Ok(None) if otherwise.is_none() => faults.push(format!("{flag}: is missing")),
        Ok(held) => return held.or(otherwise),
        Err(error) => faults.push(format!("{flag}: {error}")),
    }
    None
}

/// The plan, and whether it is only to be counted.
pub fn read(mut arguments: pico_args::Arguments) -> Result<(Plan, bool), String> {
    let mut faults = Faults::new();
    let counted = arguments.contains("--counted");
    let mut size = |flag, otherwise| {
        number::<usize>(&mut arguments, &mut faults, flag, otherwise).unwrap_or(1)
    };
    let (nodes, services, zones, regions) = (
        size("--nodes", None),
        size("--services", None),
        size("--zones", None),
        size("--regions", None),
    );
    let (seats, lanes) = (
        size("--seats", Some(5)),
        size("--lanes", Some(services.saturating_mul(3))),
    );
    let (changes, restarts, lost) = (
        size("--changes", Some(0)),
        size("--restarts", Some(0)),
        size("--lost", Some(0)),
    );
    let mut time = |flag, otherwise| {
        number::<u64>(&mut arguments, &mut faults, flag, Some(otherwise)).unwrap_or(otherwise)
    };
    let (seconds, hop, cut) = (time("--seconds", 20), time("--hop", 0), time("--cut", 0));
    let parts = number(
        &mut arguments,
        &mut faults,
        "--parts",
        Some("whole".to_string()),
    )
    .unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("gradeford-hollow-{}", std::process::id()));
    faults.extend(
        arguments
            .finish()
            .into_iter()
            .map(|left| format!("{}: is not a flag of this command", left.to_string_lossy())),
    );
    let named = Parts::named(&parts);
    faults.extend(
        named
            .is_none()
            .then(|| format!("--parts: there is no {parts:?}")),
    );
    let parts = named.unwrap_or(Parts::Whole);
    let plan = Plan {
        nodes,
        services,
        zones,
        regions,
        seats,
        lanes,
        seconds,
        changes,
        restarts,
        lost,
        hop,
        cut,
        parts,
        folder,
    };
    if faults.is_empty() {
        faults.extend(
            plan.faults(!counted)
                .into_iter()
                .map(|(flag, told)| format!("{flag}: {told}")),
        );
    }
    if faults.is_empty() {
        Ok((plan, counted))
    } else {
        Err(faults.join("; "))
    }
}
