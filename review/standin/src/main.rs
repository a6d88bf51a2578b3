//! The stand-ins of the review's cases: `standin CASE FOLDER`. See `review/REPORT.md`.

mod backend;
mod case_lagging_core;
mod case_late_beat;
mod case_two_spares;
mod http;
mod json;
mod operator;
mod site;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use site::{Machine, READY, Record, Site, wait_for};

/// How a case ended; the exit code of the program.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(folder.join("record.txt")));
    record.line(format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "late-beat" => case_late_beat::run(&record, trouble),
        "lagging-core" => case_lagging_core::run(&record, trouble),
        "two-spares" => case_two_spares::run(&record, trouble),
        other => Verdict::CouldNotRun(format!("no case {other:?}")),
    };
    let code = match verdict {
        Verdict::Held => {
            record.line("the rule held");
            0
        }
        Verdict::Broken => {
            record.line("THE RULE WAS BROKEN");
            1
        }
        Verdict::CouldNotRun(why) => {
            record.line(format!("the case could not run: {why}"));
            2
        }
    };
    exit(code);
}

/// Whether the platform's readiness question is answered with 200.
pub fn is_ready(site: &Site, node: usize) -> bool {
    let to = site.address(Machine::Node(node), READY);
    http::call(
        to,
        "GET",
        "/readiness",
        &[],
        b"",
        Duration::from_millis(500),
    )
    .is_ok_and(|answer| answer.status() == 200)
}

/// Waits until all nodes are ready.
pub fn wait_ready(site: &Site, patience: Duration) -> bool {
    let nodes = site.services.len();
    wait_for(patience, || (0..nodes).all(|node| is_ready(site, node)))
}
