//! Invariants on the service that clients receive: retry budgets, rejections, keys beside a hot key, and recovery
//! (design 5.4, 5.6).

use crate::history::Record;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

const BUDGET_WINDOW_US: u64 = 10_000_000;
/// Longest time from the sending of a request until the node adds it to the retry budget, in microseconds.
const COUNTING_DELAY_US: u64 = 50_000;
const RECOVERY_LIMIT_US: u64 = 15_000_000;

/// The answer to the first send of an attempt.
struct FirstAnswer<'a> {
    service: &'a str,
    sent_at: u64,
    received_at: u64,
    wait_us: u64,
    status: u16,
    execution_status: Option<&'a str>,
    error_kind: Option<&'a str>,
    has_retry_after: bool,
    key: Option<&'a str>,
}

/// Answers to the first send of each attempt, with the service that the attempt was meant for.
fn first_answers(records: &[Record]) -> impl Iterator<Item = FirstAnswer<'_>> {
    records.iter().filter_map(|record| match record {
        Record::AnswerReceived {
            target,
            sent_at,
            at,
            wait_us,
            status,
            execution_status,
            error_kind,
            has_retry_after,
            key,
            repeated: false,
            ..
        } => Some(FirstAnswer {
            service: target,
            sent_at: *sent_at,
            received_at: *at,
            wait_us: *wait_us,
            status: *status,
            execution_status: execution_status.as_deref(),
            error_kind: error_kind.as_deref(),
            has_retry_after: *has_retry_after,
            key: key.as_deref(),
        }),
        _ => None,
    })
}

/// Retries of one service over the whole fleet that exceed the budget in some window of ten seconds. Only windows that
/// begin with a retry are checked, because the largest excess always occurs in one of them.
pub(crate) fn retry_budget_overruns(records: &[Record], allowance: usize) -> Vec<String> {
    let retries = records.iter().filter_map(|record| match record {
        Record::AttemptRepeated { service, at, .. } => Some((service.as_str(), *at)),
        _ => None,
    });
    let group_by_service = |mut table: BTreeMap<String, Vec<u64>>, (service, at): (&str, u64)| {
        table.entry(service.to_string()).or_default().push(at);
        table
    };
    let mut retries = retries.fold(Default::default(), group_by_service);
    let mut request_times = first_answers(records)
        .map(|answer| (answer.service, answer.sent_at))
        .fold(Default::default(), group_by_service);
    retries
        .values_mut()
        .chain(request_times.values_mut())
        .for_each(|times| times.sort());
    let count_between = |times: &[u64], from: u64, to: u64| {
        times.partition_point(|time| *time < to) - times.partition_point(|time| *time < from)
    };
    retries
        .iter()
        .flat_map(|(service, times)| {
            let requests = request_times.get(service).map(Vec::as_slice).unwrap_or_default();
            times.iter().filter_map(move |from| {
                let (retry_count, request_count) = (count_between(times, *from, from + BUDGET_WINDOW_US), count_between(requests, from.saturating_sub(COUNTING_DELAY_US), from + BUDGET_WINDOW_US));
                (retry_count > request_count / 5 + allowance).then(|| format!("{service}: {retry_count} retries and {request_count} requests in ten seconds from {from}"))
            })
        })
        .collect()
}

/// Temporary rejections without a `Retry-After` time.
pub(crate) fn rejections_without_retry_after(records: &[Record]) -> Vec<String> {
    let rejections = first_answers(records).filter(|answer| {
        answer.execution_status == Some("not-run")
            && matches!(answer.status, 429 | 503)
            && !answer.has_retry_after
    });
    rejections
        .map(|answer| {
            format!(
                "{} at {}: {} has no Retry-After",
                answer.service,
                answer.received_at,
                answer.error_kind.unwrap_or("?")
            )
        })
        .collect()
}

/// Requests that were rejected only shortly before their deadline, although an earlier rejection was possible. A request
/// that waited in a queue until its deadline, or until a more important request displaced it, is not counted.
pub(crate) fn late_rejections(records: &[Record]) -> Vec<String> {
    const QUEUED_ERROR_KINDS: [&str; 2] = ["too_late", "overloaded"];
    let rejections = first_answers(records).filter(|answer| {
        answer.execution_status == Some("not-run")
            && answer.received_at - answer.sent_at > answer.wait_us * 9 / 10
    });
    // A stalled node sends no answers, be it the client's or the backend's, so a request that overlaps a stall is not
    // counted.
    let stall = |record: &Record| {
        if let Record::NodeStalled { from, to, .. } = record {
            Some((*from, *to))
        } else {
            None
        }
    };
    let stalls: Vec<(u64, u64)> = records.iter().filter_map(stall).collect();
    let rejections = rejections.filter(|answer| {
        !stalls
            .iter()
            .any(|(from, to)| answer.sent_at < *to && answer.received_at > *from)
    });
    let rejections = rejections.filter(|answer| {
        !answer
            .error_kind
            .is_some_and(|error_kind| QUEUED_ERROR_KINDS.contains(&error_kind))
    });
    rejections
        .map(|answer| {
            format!(
                "{}: {} after {} of {}",
                answer.service,
                answer.error_kind.unwrap_or("?"),
                answer.received_at - answer.sent_at,
                answer.wait_us
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

/// Compares the served share of the requests for other keys before and after one key becomes hot; a drop of more than
/// 50 in a thousand is a violation.
pub(crate) fn starved_keys(records: &[Record]) -> Vec<String> {
    let Some(hot_since) = hot_key_start(records) else {
        return Vec::new();
    };
    let served_per_mille = |hot: bool| {
        let outcomes: Vec<bool> = first_answers(records)
            .filter(|answer| {
                answer.key.is_some_and(|key| key != "hot") && (answer.sent_at > hot_since) == hot
            })
            .map(|answer| answer.execution_status.is_none())
            .collect();
        outcomes.iter().filter(|served| **served).count() * 1_000 / outcomes.len().max(1)
    };
    let (before, after) = (served_per_mille(false), served_per_mille(true));
    let is_starved = before.saturating_sub(after) > 50;
    is_starved.then(|| format!("of the requests for other keys {before} in a thousand were served before, {after} beside the hot key")).into_iter().collect()
}

/// Maps each service to the time between the end of the last fault and its next served request, in microseconds, and
/// lists the services that were not served in time.
pub(crate) fn recovery_times(records: &[Record]) -> (BTreeMap<String, u64>, Vec<String>) {
    let healed_at = records
        .iter()
        .filter_map(|record| {
            if let Record::FaultHealed { at } = record {
                Some(*at)
            } else {
                None
            }
        })
        .max();
    let Some(healed_at) = healed_at else {
        return Default::default();
    };
    let end = first_answers(records)
        .map(|answer| answer.received_at)
        .max()
        .unwrap_or(0);
    let after = || first_answers(records).filter(move |answer| answer.sent_at >= healed_at);
    let services: BTreeSet<String> = first_answers(records)
        .map(|answer| answer.service.to_string())
        .collect();
    let served = after()
        .filter(|answer| answer.execution_status.is_none())
        .fold(BTreeMap::<String, u64>::new(), |mut served, answer| {
            let since = answer.received_at - healed_at;
            served
                .entry(answer.service.to_string())
                .and_modify(|earliest| *earliest = since.min(*earliest))
                .or_insert(since);
            served
        });
    let late = services.iter().filter(|service| {
        served
            .get(*service)
            .map_or(end > healed_at + RECOVERY_LIMIT_US, |since| {
                *since > RECOVERY_LIMIT_US
            })
    });
    let late = late
        .map(|service| format!("{service} was not served within 15 s of the end of the last fault"))
        .collect();
    (served, late)
}

/// Returns whether a situation that a scenario must produce occurred in the run.
pub(crate) fn is_observed(records: &[Record], situation: &str) -> bool {
    match situation {
        "not-run" => first_answers(records).any(|answer| answer.execution_status == Some("not-run") && answer.error_kind != Some("own_usher_down")),
        "a second arrival" => records.iter().any(|record| matches!(record, Record::AnswerReceived { repeated: true, status: 409, .. })),
        "an accepted change" => records.iter().filter(|record| matches!(record, Record::DesiredChange { version: Some(_), .. })).count() > 1,
        "a refused change" => records.iter().any(|record| matches!(record, Record::DesiredChange { rejected: true, .. })),
        "an address reused" => records.iter().any(|record| matches!(record, Record::RunBegan { backend, .. } if backend.starts_with("heir-"))),
        "a hot key" => {
            hot_key_start(records).is_some_and(|hot_since| first_answers(records).any(|answer| answer.key == Some("hot") && answer.sent_at > hot_since && answer.execution_status == Some("not-run")))
        }
        "a forger refused" => records.iter().any(|record| matches!(record, Record::AnswerReceived { client, status: 401 | 409 | 403, .. } if client.starts_with("forger"))),
        "a moved key" => {
            let began = records.iter().filter_map(|record| match record {
                Record::RunBegan { service, key: Some(key), process, .. } => Some(((service, key), *process)),
                _ => None,
            });
            let holders = began.fold(BTreeMap::<_, BTreeSet<u32>>::new(), |mut holders, (key, process)| {
                holders.entry(key).or_default().insert(process);
                holders
            });
            holders.values().any(|processes| processes.len() > 1)
        }
        _ => false,
    }
}
