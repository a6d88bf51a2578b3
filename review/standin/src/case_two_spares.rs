//! Two core machines are replaced one after the other, and both new ones are started first. The one
//! that does not get the first place never asks again.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::json::Json;
use crate::site::{Machine, Record, SWANREACH_LIC, Site};
use crate::{Verdict, operator, wait_ready};

const ROUTES: u32 = 20;
/// The new machine starts so long before the old one is stopped (`replace_core`, planned, x = 2.0).
const NEW_FIRST: Duration = Duration::from_secs(2);
/// `catch_up` is 4 s and `quiet` 3 s: a successor is long a full member by then.
const CALM: Duration = Duration::from_secs(12);

fn order(version: u32) -> String {
    let mut items = vec![
        operator::service("seatdesk", 1, false),
        operator::service("entitlements", 1, false),
        operator::limits(1),
    ];
    for route in 0..ROUTES {
        let (name, prefix) = (format!("r-{route}"), format!("/path{route}/"));
        let timeout = 1_000 + version;
        items.push(operator::route(
            &name,
            version,
            "seats.example",
            &prefix,
            "pure",
            "entitlements",
            timeout,
        ));
    }
    operator::call(&items)
}

/// How many routes a read returned, and how many of them at this version or a newer one.
fn routes(read: &str, version: u32) -> (usize, usize) {
    let json = Json::parse(read).unwrap_or(Json::Null);
    let items = json
        .get("resource_list")
        .map(Json::list)
        .unwrap_or_default();
    let (mut all, mut current) = (0, 0);
    for item in items {
        if item.get("kind_tag").map(Json::text) != Some("route_list") {
            continue;
        }
        let text = item.get("metadata").and_then(|meta| meta.get("version"));
        let known = text.and_then(|text| u32::from_str_radix(text.text(), 16).ok());
        all += 1;
        current += usize::from(known.unwrap_or(0) >= version);
    }
    (all, current)
}

/// Asks each of these machines alone; returns those that answered a read.
fn answering(site: &Site, cores: &[usize]) -> Vec<usize> {
    let answered: Vec<usize> = cores
        .iter()
        .copied()
        .filter(|core| operator::read(site, &[*core], Duration::from_secs(2)).is_some())
        .collect();
    site.record.line(format!(
        "of the core machines {cores:?}, asked alone, these answer a read: {answered:?}"
    ));
    answered
}

fn stop_for_good(site: &Site, core: usize) {
    site.record
        .line(format!("core-{core} gets SIGTERM and is gone for good"));
    site.listed.lock().unwrap().retain(|known| *known != core);
    site.stop(Machine::Core(core), Duration::from_secs(6));
}

fn start_new(site: &Site, core: usize) {
    site.record.line(format!(
        "core-{core} starts, new and empty, at a new address"
    ));
    site.start(Machine::Core(core), false);
    site.listed.lock().unwrap().push(core);
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = Site::new(
        &SWANREACH_LIC,
        4,
        &["seatdesk", "entitlements"],
        record.clone(),
    );
    site.start_all();
    let first = operator::amend(&site, &[0, 1, 2, 3], &order(1), Duration::from_secs(20));
    if !first.acknowledged || !wait_ready(&site, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the deployment did not start".into());
    }
    sleep(Duration::from_secs(4));
    start_new(&site, 4);
    if trouble {
        record.line("the next new machine starts at the same time (DISRUPTION)");
        start_new(&site, 5);
    }
    sleep(NEW_FIRST);
    stop_for_good(&site, 0);
    sleep(CALM);
    let listed = || site.listed.lock().unwrap().clone();
    answering(&site, &listed());
    if !trouble {
        start_new(&site, 5);
        sleep(NEW_FIRST);
    }
    let answer = operator::amend(&site, &listed(), &order(2), Duration::from_secs(10));
    record.line(format!("order of version 2: {}", answer.status));
    stop_for_good(&site, 1);
    sleep(CALM);
    answering(&site, &listed());
    for core in [4, 5] {
        for line in site.log_lines(Machine::Core(core), &["assigned", "admitted"]) {
            record.line(format!("log of core-{core}: {line}"));
        }
    }

    let answer = operator::amend(&site, &listed(), &order(3), Duration::from_secs(10));
    record.line(format!("order of version 3: {}", answer.status));
    let acknowledged = if answer.acknowledged { 3 } else { 2 };
    record.line("closing fault: core-2 loses its disk and starts again after 1.6 s; core-3, core-4 and core-5 run on");
    site.kill(Machine::Core(2));
    site.wipe(Machine::Core(2));
    sleep(Duration::from_millis(1_600));
    site.start(Machine::Core(2), false);
    let began = record.now();
    let mut held = false;
    while !held && record.now() < began + 32.0 {
        let read = operator::read(&site, &listed(), Duration::from_secs(4));
        let counted = read.map(|text| routes(&text, acknowledged));
        record.line(match counted {
            Some((all, current)) => {
                format!("read back: {all} routes, {current} of version {acknowledged} or newer")
            }
            None => "read back: nothing, from no core machine".into(),
        });
        held = counted.is_some_and(|(_, current)| current == ROUTES as usize);
    }
    if held { Verdict::Held } else { Verdict::Broken }
}
