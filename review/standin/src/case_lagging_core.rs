//! A core machine that was away while large changes were made comes back, and cannot catch up. The
//! loss of one further disk then takes the whole configuration with it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::json::Json;
use crate::site::{KURASA_MESH, Machine, Record, Site};
use crate::{Verdict, operator, wait_ready};

/// The largest dose of `big_config` on the pages.
const ROUTES: u32 = 1_480;
const ROUTES_PER_HOST: u32 = 8;
const PARTS: u32 = 10;
/// As many orders as may be under way at once.
const ORDERS: usize = 8;
/// A day may hold hundreds of changes; more than these would take the core machines near their memory.
const MOST_ORDERS: u32 = 95;
const CORES: [usize; 3] = [0, 1, 2];
/// How long the first core machine is down.
const DOWN: Duration = Duration::from_millis(5_000);
/// `catch_up` is 4 s and `quiet` 3 s: the machine is back long before the next loss.
const CALM: Duration = Duration::from_secs(12);

/// Drawn letters and digits, the same for the same seed.
fn word(seed: u64) -> String {
    let mut state = seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let letters = b"abcdefghijklmnopqrstuvwxyz0123456789";
    let letter = |_| {
        state ^= state >> 29;
        state = state.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state ^= state >> 32;
        letters[(state % 36) as usize] as char
    };
    (0..7).map(letter).collect()
}

fn name(route: u32) -> String {
    format!("r-{}", word(u64::from(route)))
}

/// A path prefix of some parts.
fn prefix(route: u32) -> String {
    let parts =
        (0..PARTS).map(|part| format!("/{}", word(2_000_000 + u64::from(part * 10_000 + route))));
    parts.collect::<String>() + "/"
}

/// A change of the time-outs and weights of all routes, under the next version.
fn order(version: u32) -> String {
    let mut items = vec![
        operator::service("catalogue", 1, false),
        operator::service("orders", 1, false),
        operator::limits(1),
    ];
    for route in 0..ROUTES {
        let drawn = u64::from(route) * 7_919 + u64::from(version) * 104_729;
        let (weight, timeout) = (1 + drawn % 98, 1_000 + drawn % 1_500);
        items.push(format!(
            r#"{{"kind_tag":"route_list","metadata":{{"name":"{}","version":"{version:08x}"}},"definition":{{"host_name":"{}.example","path_prefix":"{}","variant":"pure","timeout":"{timeout}ms","target":"{}ms","priority":{},"weighted_sum":[{{"service_ref":"catalogue","weight":{weight}}},{{"service_ref":"orders","weight":{}}}],"max_tries":2}}}}"#,
            name(route),
            word(1_000_000 + u64::from(route / ROUTES_PER_HOST)),
            prefix(route),
            300 + drawn % 600,
            drawn % 4,
            99 - weight,
        ));
    }
    operator::call(&items)
}

/// The versions of the routes that a read returned.
fn versions(read: &str) -> BTreeMap<String, u32> {
    let json = Json::parse(read).unwrap_or(Json::Null);
    let items = json
        .get("resource_list")
        .map(Json::list)
        .unwrap_or_default();
    let mut versions = BTreeMap::new();
    for item in items.iter().filter(|item| {
        item.get("kind_tag")
            .is_some_and(|tag| tag.text() == "route_list")
    }) {
        if let Some(metadata) = item.get("metadata") {
            let text = |field| metadata.get(field).map(Json::text).unwrap_or_default();
            versions.insert(
                text("name").to_string(),
                u32::from_str_radix(text("version"), 16).unwrap_or(0),
            );
        }
    }
    versions
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = Site::new(&KURASA_MESH, 3, &["catalogue", "orders"], record.clone());
    site.start_all();
    let first = order(1);
    record.line(format!(
        "the first call has {ROUTES} routes, {} bytes",
        first.len()
    ));
    if !operator::amend(&site, &CORES, &first, Duration::from_secs(20)).acknowledged
        || !wait_ready(&site, Duration::from_secs(10))
    {
        return Verdict::CouldNotRun("the deployment did not start".into());
    }
    sleep(Duration::from_secs(2));

    let newest = AtomicU32::new(1);
    let (next, stop) = (AtomicU32::new(2), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for worker in 0..ORDERS {
            let (site, next, stop, newest) = (&site, &next, &stop, &newest);
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let version = next.fetch_add(1, Ordering::SeqCst);
                    if version > MOST_ORDERS {
                        return;
                    }
                    let body = order(version);
                    let turn: Vec<usize> = (0..3).map(|core| (core + worker) % 3).collect();
                    let answer = operator::amend(site, &turn, &body, Duration::from_secs(20));
                    site.record.line(format!(
                        "order of version {version}: {} after {} sends",
                        answer.status, answer.sends
                    ));
                    if answer.acknowledged {
                        newest.fetch_max(version, Ordering::SeqCst);
                    }
                }
            });
        }
        sleep(Duration::from_millis(300));
        if trouble {
            record.line("core-2 is killed (DISRUPTION)");
            site.kill(Machine::Core(2));
        }
        sleep(DOWN);
        if trouble {
            record.line("core-2 starts again, with its disk");
            site.start(Machine::Core(2), false);
        }
        sleep(Duration::from_millis(500));
        stop.store(true, Ordering::SeqCst);
    });
    let sent = (next.load(Ordering::SeqCst) - 1).min(MOST_ORDERS);
    record.line(format!(
        "{sent} orders were sent; the newest acknowledged is {}",
        newest.load(Ordering::SeqCst)
    ));
    sleep(CALM);
    for core in CORES {
        let read = operator::read(&site, &[core], Duration::from_secs(2));
        let memory = site.memory(Machine::Core(core));
        record.line(format!(
            "core-{core}: reads {:?} routes; memory now and at most {memory:?} MB",
            read.map(|text| versions(&text).len())
        ));
    }

    // The closing fault: right after an acknowledgement as many machines as the budget allows lose
    // their disks.
    let last = sent + 1;
    let answer = operator::amend(&site, &CORES, &order(last), Duration::from_secs(10));
    record.line(format!(
        "order of version {last}: {} after {} sends",
        answer.status, answer.sends
    ));
    if answer.acknowledged {
        newest.fetch_max(last, Ordering::SeqCst);
    }
    record.line("closing fault: core-1 loses its disk and starts again after 1.6 s; core-0 and core-2 run on");
    site.kill(Machine::Core(1));
    site.wipe(Machine::Core(1));
    sleep(Duration::from_millis(1_600));
    site.start(Machine::Core(1), false);
    let acknowledged = newest.load(Ordering::SeqCst);
    let began = record.now();
    let mut held = false;
    while !held && record.now() < began + 32.0 {
        let read = operator::read(&site, &CORES, Duration::from_secs(4));
        let versions = read.map(|text| versions(&text));
        let current = versions.as_ref().map_or(0, |known| {
            known
                .values()
                .filter(|version| **version >= acknowledged)
                .count()
        });
        record.line(match &versions {
            Some(known) => format!(
                "read back: {} routes, {current} of version {acknowledged} or newer",
                known.len()
            ),
            None => "read back: nothing, from no core machine".into(),
        });
        held = current == ROUTES as usize;
    }
    if held { Verdict::Held } else { Verdict::Broken }
}
