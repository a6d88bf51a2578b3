//! Budgets, refusals, returns: what senders are promised beside their verdicts (design 5.4, 5.6).

use crate::history::Record;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

const BUDGET_WINDOW_US: u64 = 10_000_000;
/// Between a request's asking and its counting at the node.
const COUNTING_DELAY_US: u64 = 50_000;
const RECOVERY_LIMIT_US: u64 = 15_000_000;

struct FirstAnswer<'a> {
    service: &'a str,
    asked: u64,
    at: u64,
    wait_us: u64,
    status: u16,
    execution_status: Option<&'a str>,
    error_kind: Option<&'a str>,
    has_retry_after: bool,
    key: Option<&'a str>,
}

/// First arrivals at the service they were meant for.
fn first_answers(records: &[Record]) -> impl Iterator<Item = FirstAnswer<'_>> {
    records.iter().filter_map(|record| match record {
        Record::ClientAnswered {
            target,
            asked,
            at,
            wait_us: wait,
            status,
            execution_status: verdict,
            error_kind: cause,
            has_retry_after: come_back,
            key,
            repeated: false,
            ..
        } => Some(FirstAnswer {
            service: target,
            asked: *asked,
            at: *at,
            wait_us: *wait,
            status: *status,
            execution_status: verdict.as_deref(),
            error_kind: cause.as_deref(),
            has_retry_after: *come_back,
            key: key.as_deref(),
        }),
        _ => None,
    })
}

/// In any ten seconds, over the fleet: the worst windows begin with an extra dispatch.
pub(crate) fn retry_budget_overruns(records: &[Record], allowance: usize) -> Vec<String> {
    let extras = records.iter().filter_map(|record| match record {
        Record::AttemptRepeated { service, at, .. } => Some((service.as_str(), *at)),
        _ => None,
    });
    let gathered = |mut table: BTreeMap<String, Vec<u64>>, (service, at): (&str, u64)| {
        table.entry(service.to_string()).or_default().push(at);
        table
    };
    let mut extras = extras.fold(Default::default(), gathered);
    let mut asked = first_answers(records)
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
                let (spent, earned) = (inside(times, *from, from + BUDGET_WINDOW_US), inside(requests, from.saturating_sub(COUNTING_DELAY_US), from + BUDGET_WINDOW_US));
                (spent > earned / 5 + allowance).then(|| format!("{service}: {spent} extra dispatches and {earned} requests in ten seconds from {from}"))
            })
        })
        .collect()
}

/// Refused for the moment, and not told when to come back.
pub(crate) fn rejections_without_retry_after(records: &[Record]) -> Vec<String> {
    let silent = first_answers(records).filter(|told| {
        told.execution_status == Some("not-run")
            && matches!(told.status, 429 | 503)
            && !told.has_retry_after
    });
    silent
        .map(|told| {
            format!(
                "{} at {}: {} does not say when",
                told.service,
                told.at,
                told.error_kind.unwrap_or("?")
            )
        })
        .collect()
}

/// Kept until near the deadline though there was nothing more to wait for. Whoever waited in a buffer until
/// a more important one came, or until its time was over, had something to wait for.
pub(crate) fn late_rejections(records: &[Record]) -> Vec<String> {
    const QUEUED_ERROR_KINDS: [&str; 2] = ["too_late", "overloaded"];
    let late = first_answers(records).filter(|told| {
        told.execution_status == Some("not-run") && told.at - told.asked > told.wait_us * 9 / 10
    });
    // An usher that stands still answers nothing, at either end; nobody has given the try up meanwhile.
    let stood = |record: &Record| {
        if let Record::NodeStalled { from, to, .. } = record {
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
    let late = late.filter(|told| {
        !told
            .error_kind
            .is_some_and(|cause| QUEUED_ERROR_KINDS.contains(&cause))
    });
    late.map(|told| {
        format!(
            "{}: {} after {} of {}",
            told.service,
            told.error_kind.unwrap_or("?"),
            told.at - told.asked,
            told.wait_us
        )
    })
    .collect()
}

fn hot_key_start(records: &[Record]) -> Option<u64> {
    records.iter().find_map(|record| {
        if let Record::HotKeyStarted { at } = record {
            Some(*at)
        } else {
            None
        }
    })
}

/// Served share of the other keys, before one key swamps the rest and after.
pub(crate) fn starved_keys(records: &[Record]) -> Vec<String> {
    let Some(heated) = hot_key_start(records) else {
        return Vec::new();
    };
    let share = |hot: bool| {
        let others: Vec<bool> = first_answers(records)
            .filter(|told| told.key.is_some_and(|key| key != "hot") && (told.asked > heated) == hot)
            .map(|told| told.execution_status.is_none())
            .collect();
        others.iter().filter(|served| **served).count() * 1_000 / others.len().max(1)
    };
    let (before, after) = (share(false), share(true));
    let fell = before.saturating_sub(after) > 50;
    fell.then(|| format!("of the other keys' requests {before} in a thousand were served before, {after} beside the hot key")).into_iter().collect()
}

/// Service to how long after the last fault it was served, and whoever was not in time.
pub(crate) fn recovery_times(records: &[Record]) -> (BTreeMap<String, u64>, Vec<String>) {
    let healed = records
        .iter()
        .filter_map(|record| {
            if let Record::FaultHealed { at } = record {
                Some(*at)
            } else {
                None
            }
        })
        .max();
    let Some(healed) = healed else {
        return Default::default();
    };
    let end = first_answers(records)
        .map(|told| told.at)
        .max()
        .unwrap_or(0);
    let after = || first_answers(records).filter(move |told| told.asked >= healed);
    let services: BTreeSet<String> = first_answers(records)
        .map(|told| told.service.to_string())
        .collect();
    let served = after().filter(|told| told.execution_status.is_none()).fold(
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
            .map_or(end > healed + RECOVERY_LIMIT_US, |since| {
                *since > RECOVERY_LIMIT_US
            })
    });
    let late = late
        .map(|service| format!("{service} was not served within 15 s of the end of the last fault"))
        .collect();
    (served, late)
}

/// Whether the run brought about what its scenario is for.
pub(crate) fn observed(records: &[Record], what: &str) -> bool {
    match what {
        "not-run" => first_answers(records).any(|told| told.execution_status == Some("not-run") && told.error_kind != Some("own_usher_down")),
        "a second arrival" => records.iter().any(|record| matches!(record, Record::ClientAnswered { repeated: true, status: 409, .. })),
        "an accepted change" => records.iter().filter(|record| matches!(record, Record::DesiredChange { version: Some(_), .. })).count() > 1,
        "a refused change" => records.iter().any(|record| matches!(record, Record::DesiredChange { refused: true, .. })),
        "an address reused" => records.iter().any(|record| matches!(record, Record::RunBegan { backend, .. } if backend.starts_with("heir-"))),
        "a hot key" => {
            hot_key_start(records).is_some_and(|heated| first_answers(records).any(|told| told.key == Some("hot") && told.asked > heated && told.execution_status == Some("not-run")))
        }
        "a forger refused" => records.iter().any(|record| matches!(record, Record::ClientAnswered { client, status: 401 | 409 | 403, .. } if client.starts_with("forger"))),
        "a moved key" => {
            let began = records.iter().filter_map(|record| match record {
                Record::RunBegan { service, key: Some(key), process, .. } => Some(((service, key), *process)),
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
