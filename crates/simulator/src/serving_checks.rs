//! Budgets, refusals, returns: what senders are promised beside their verdicts (design 5.4, 5.6).

use crate::history::Record;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

const WINDOW: u64 = 10_000_000;
/// Between a request's asking and its counting at the node.
const ON_THE_WAY: u64 = 50_000;
const BACK_WITHIN: u64 = 15_000_000;

struct Told<'a> {
    service: &'a str,
    asked: u64,
    at: u64,
    wait: u64,
    status: u16,
    verdict: Option<&'a str>,
    cause: Option<&'a str>,
    come_back: bool,
    key: Option<&'a str>,
}

/// First arrivals at the service they were meant for.
fn told(records: &[Record]) -> impl Iterator<Item = Told<'_>> {
    records.iter().filter_map(|record| match record {
        Record::Told {
            target,
            asked,
            at,
            wait,
            status,
            verdict,
            cause,
            come_back,
            key,
            again: false,
            ..
        } => Some(Told {
            service: target,
            asked: *asked,
            at: *at,
            wait: *wait,
            status: *status,
            verdict: verdict.as_deref(),
            cause: cause.as_deref(),
            come_back: *come_back,
            key: key.as_deref(),
        }),
        _ => None,
    })
}

/// In any ten seconds, over the fleet: the worst windows begin with an extra dispatch.
pub(crate) fn over_budget(records: &[Record], allowance: usize) -> Vec<String> {
    let extras = records.iter().filter_map(|record| match record {
        Record::Extra { service, at, .. } => Some((service.as_str(), *at)),
        _ => None,
    });
    let gathered = |mut table: BTreeMap<String, Vec<u64>>, (service, at): (&str, u64)| {
        table.entry(service.to_string()).or_default().push(at);
        table
    };
    let mut extras = extras.fold(Default::default(), gathered);
    let mut asked = told(records)
        .map(|told| (told.service, told.asked))
        .fold(Default::default(), gathered);
    extras
        .values_mut()
        .chain(asked.values_mut())
        .for_each(|times| times.sort());
    let inside = |times: &[u64], from: u64, to: u64| {
        times.partition_point(|time| *time < to) - times.partition_point(|time| *time < from)
    };
    extras
        .iter()
        .flat_map(|(service, times)| {
            let requests = asked.get(service).map(Vec::as_slice).unwrap_or_default();
            times.iter().filter_map(move |from| {
                let (spent, earned) = (inside(times, *from, from + WINDOW), inside(requests, from.saturating_sub(ON_THE_WAY), from + WINDOW));
                (spent > earned / 5 + allowance).then(|| format!("{service}: {spent} extra dispatches and {earned} requests in ten seconds from {from}"))
            })
        })
        .collect()
}

/// Refused for the moment, and not told when to come back.
pub(crate) fn silent_refusals(records: &[Record]) -> Vec<String> {
    let silent = told(records).filter(|told| {
        told.verdict == Some("not-run") && matches!(told.status, 429 | 503) && !told.come_back
    });
    silent
        .map(|told| {
            format!(
                "{} at {}: {} does not say when",
                told.service,
                told.at,
                told.cause.unwrap_or("?")
            )
        })
        .collect()
}

/// Kept until near the deadline though there was nothing more to wait for. Whoever waited in a buffer until
/// a more important one came, or until its time was over, had something to wait for.
pub(crate) fn held_back(records: &[Record]) -> Vec<String> {
    const WAITED: [&str; 2] = ["too_late", "overloaded"];
    let late = told(records).filter(|told| {
        told.verdict == Some("not-run") && told.at - told.asked > told.wait * 9 / 10
    });
    // An usher that stands still answers nothing, at either end; nobody has given the try up meanwhile.
    let stood = |record: &Record| {
        if let Record::Stood { from, to, .. } = record {
            Some((*from, *to))
        } else {
            None
        }
    };
    let stood: Vec<(u64, u64)> = records.iter().filter_map(stood).collect();
    let late = late.filter(|told| {
        !stood
            .iter()
            .any(|(from, to)| told.asked < *to && told.at > *from)
    });
    let late = late.filter(|told| !told.cause.is_some_and(|cause| WAITED.contains(&cause)));
    late.map(|told| {
        format!(
            "{}: {} after {} of {}",
            told.service,
            told.cause.unwrap_or("?"),
            told.at - told.asked,
            told.wait
        )
    })
    .collect()
}

fn heated(records: &[Record]) -> Option<u64> {
    records.iter().find_map(|record| {
        if let Record::Heated { at } = record {
            Some(*at)
        } else {
            None
        }
    })
}

/// Served share of the other keys, before one key swamps the rest and after.
pub(crate) fn crowded_out(records: &[Record]) -> Vec<String> {
    let Some(heated) = heated(records) else {
        return Vec::new();
    };
    let share = |hot: bool| {
        let others: Vec<bool> = told(records)
            .filter(|told| told.key.is_some_and(|key| key != "hot") && (told.asked > heated) == hot)
            .map(|told| told.verdict.is_none())
            .collect();
        others.iter().filter(|served| **served).count() * 1_000 / others.len().max(1)
    };
    let (before, after) = (share(false), share(true));
    let fell = before.saturating_sub(after) > 50;
    fell.then(|| format!("of the other keys' requests {before} in a thousand were served before, {after} beside the hot key")).into_iter().collect()
}

/// Service to how long after the last fault it was served, and whoever was not in time.
pub(crate) fn back(records: &[Record]) -> (BTreeMap<String, u64>, Vec<String>) {
    let healed = records
        .iter()
        .filter_map(|record| {
            if let Record::Healed { at } = record {
                Some(*at)
            } else {
                None
            }
        })
        .max();
    let Some(healed) = healed else {
        return Default::default();
    };
    let end = told(records).map(|told| told.at).max().unwrap_or(0);
    let after = || told(records).filter(move |told| told.asked >= healed);
    let services: BTreeSet<String> = told(records).map(|told| told.service.to_string()).collect();
    let served = after().filter(|told| told.verdict.is_none()).fold(
        BTreeMap::<String, u64>::new(),
        |mut served, told| {
            let since = told.at - healed;
            served
                .entry(told.service.to_string())
                .and_modify(|held| *held = since.min(*held))
                .or_insert(since);
            served
        },
    );
    let late = services.iter().filter(|service| {
        served
            .get(*service)
            .map_or(end > healed + BACK_WITHIN, |since| *since > BACK_WITHIN)
    });
    let late = late
        .map(|service| format!("{service} was not served within 15 s of the end of the last fault"))
        .collect();
    (served, late)
}

/// Whether the run brought about what its scenario is for.
pub(crate) fn provoked(records: &[Record], what: &str) -> bool {
    match what {
        "not-run" => told(records).any(|told| told.verdict == Some("not-run") && told.cause != Some("own_usher_down")),
        "a second arrival" => records.iter().any(|record| matches!(record, Record::Told { again: true, status: 409, .. })),
        "an accepted change" => records.iter().filter(|record| matches!(record, Record::Change { version: Some(_), .. })).count() > 1,
        "a refused change" => records.iter().any(|record| matches!(record, Record::Change { refused: true, .. })),
        "an address reused" => records.iter().any(|record| matches!(record, Record::Began { by, .. } if by.starts_with("heir-"))),
        "a hot key" => {
            heated(records).is_some_and(|heated| told(records).any(|told| told.key == Some("hot") && told.asked > heated && told.verdict == Some("not-run")))
        }
        "a forger refused" => records.iter().any(|record| matches!(record, Record::Told { by, status: 401 | 409 | 403, .. } if by.starts_with("forger"))),
        "a moved key" => {
            let began = records.iter().filter_map(|record| match record {
                Record::Began { service, key: Some(key), process, .. } => Some(((service, key), *process)),
                _ => None,
            });
            let holders = began.fold(BTreeMap::<_, BTreeSet<u32>>::new(), |mut holders, (key, process)| {
                holders.entry(key).or_default().insert(process);
                holders
            });
            holders.values().any(|held| held.len() > 1)
        }
        _ => false,
    }
}
