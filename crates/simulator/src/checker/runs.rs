//! Invariants on runs of requests: key ownership, draining, removed routes, misrouting and interruption. Also checks that
//! requests are served at the end of the run (design 9.5).

use crate::history::Record;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

/// Time after which an accepted change or a drain is in force, in microseconds: the promised two seconds and half a second
/// of tolerance.
const IN_FORCE_WITHIN_US: u64 = 2_500_000;

/// Begin, end and process of a run. Processes are told apart by id, because two live backends may have the same name.
type RunSpan = (u64, u64, u32);

/// Runs of two backends on the same key of a service at the same time.
pub(crate) fn overlapping_runs(records: &[Record]) -> Vec<String> {
    let ends: HashMap<&str, u64> = records
        .iter()
        .filter_map(|record| match record {
            Record::RunEnded { run, at } => Some((run.as_str(), *at)),
            _ => None,
        })
        .collect();
    let mut spans: BTreeMap<(&str, &str), Vec<RunSpan>> = Default::default();
    records.iter().for_each(|record| {
        if let Record::RunBegan {
            run,
            at,
            process,
            service,
            key: Some(key),
            ..
        } = record
        {
            // A run without a recorded end was killed together with its backend. It did no work after its beginning, so its
            // span is empty.
            spans.entry((service, key)).or_default().push((
                *at,
                ends.get(run.as_str()).copied().unwrap_or(*at),
                *process,
            ));
        }
    });
    spans
        .iter_mut()
        .flat_map(|((service, key), spans)| {
            spans.sort();
            let mut latest: (u64, u32) = (0, 0);
            spans
                .iter()
                .filter_map(|(from, to, process)| {
                    let overlaps = *from < latest.0 && *process != latest.1;
                    if *to > latest.0 {
                        latest = (*to, *process);
                    }
                    overlaps.then(|| {
                        format!("{service} {key} at {from} by process {process} and another")
                    })
                })
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Runs that a process begins more than two and a half seconds after its backend announced that it is leaving.
pub(crate) fn runs_after_leaving(records: &[Record]) -> Vec<String> {
    let leavings = records.iter().filter_map(|record| match record {
        Record::BackendLeaving { backend, at } => Some((backend, *at)),
        _ => None,
    });
    leavings
        .flat_map(|(leaving_backend, left_at)| {
            let began = records.iter().filter_map(move |record| match record {
                Record::RunBegan {
                    attempt_id,
                    backend,
                    process,
                    at,
                    ..
                } if backend == leaving_backend => Some((attempt_id, *process, *at)),
                _ => None,
            });
            // Only the process that left is checked, because its successor has the same name and may begin runs.
            let left_process = began
                .clone()
                .filter(|(_, _, at)| *at <= left_at)
                .max_by_key(|(_, _, at)| *at)
                .map(|(_, process, _)| process);
            let late_runs = began.filter(move |(_, process, at)| {
                *at > left_at + IN_FORCE_WITHIN_US && Some(*process) == left_process
            });
            late_runs
                .map(move |(attempt_id, ..)| format!("{attempt_id} at {leaving_backend}"))
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Runs on a removed route: those that begin after the removal is in force and before the route's restoration is
/// requested.
pub(crate) fn runs_on_removed_routes(records: &[Record]) -> Vec<String> {
    let routes: Vec<(&str, &str, &str, bool, bool, u64)> = records
        .iter()
        .filter_map(|record| match record {
            Record::RouteChange {
                client,
                service,
                path,
                allowed,
                accepted,
                at,
            } => Some((
                client.as_str(),
                service.as_str(),
                path.as_str(),
                *allowed,
                *accepted,
                *at,
            )),
            _ => None,
        })
        .collect();
    let removals = routes
        .iter()
        .filter(|route| !route.3 && route.4)
        .map(|route| {
            let restored_at = routes
                .iter()
                .filter(|other| other.3 && !other.4 && other.5 > route.5)
                .map(|other| other.5)
                .min();
            (
                route,
                route.5 + IN_FORCE_WITHIN_US,
                restored_at.unwrap_or(u64::MAX),
            )
        });
    removals
        .flat_map(|(route, from, to)| {
            records.iter().filter_map(move |record| match record {
                Record::RunBegan {
                    attempt_id,
                    at,
                    client,
                    service,
                    path,
                    ..
                } if (client.as_str(), service.as_str()) == (route.0, route.1)
                    && path == route.2
                    && (from..to).contains(at) =>
                {
                    Some(format!(
                        "{attempt_id} {} µs after the change",
                        at - from + IN_FORCE_WITHIN_US
                    ))
                }
                _ => None,
            })
        })
        .collect()
}

/// Client services without a served request in the last two and a half seconds of the run.
pub(crate) fn services_not_served_at_the_end(records: &[Record]) -> Vec<String> {
    let answers = records.iter().filter_map(|record| match record {
        Record::AnswerReceived {
            service,
            at,
            execution_status,
            ..
        } => Some((service.as_str(), *at, execution_status.is_none())),
        _ => None,
    });
    let end = answers.clone().map(|(_, at, _)| at).max().unwrap_or(0);
    let clients: BTreeSet<&str> = answers.clone().map(|(service, ..)| service).collect();
    let served: BTreeSet<&str> = answers
        .filter(|(_, at, served)| *served && *at + IN_FORCE_WITHIN_US >= end)
        .map(|(service, ..)| service)
        .collect();
    clients
        .difference(&served)
        .map(|service| format!("{service} is not served at the end"))
        .collect()
}

/// Requests that reached another service than the one they were meant for, unless a backend had left shortly before and
/// its address may still have been in use.
pub(crate) fn misrouted_requests(records: &[Record]) -> Vec<String> {
    let departures: Vec<u64> = records
        .iter()
        .filter_map(|record| {
            if let Record::BackendLeaving { at, .. } = record {
                Some(*at)
            } else {
                None
            }
        })
        .collect();
    records
        .iter()
        .filter_map(|record| match record {
            Record::Misrouted {
                backend,
                intended_service,
                at,
            } if !departures
                .iter()
                .any(|left| (*left..*left + IN_FORCE_WITHIN_US).contains(at)) =>
            {
                Some(format!(
                    "a request for {intended_service} reached {backend} at {at}"
                ))
            }
            _ => None,
        })
        .collect()
}

/// Requests that began to run and whose clients got an error because a process on the way stopped.
pub(crate) fn interrupted_runs(records: &[Record]) -> Vec<String> {
    let began: HashSet<&str> = records
        .iter()
        .filter_map(|record| match record {
            Record::RunBegan { attempt_id, .. } => Some(attempt_id.as_str()),
            _ => None,
        })
        .collect();
    const INTERRUPTIONS: [&str; 4] = [
        "own_usher_lost",
        "mate_lost",
        "back_end_lost",
        "ran_out_of_time",
    ];
    records
        .iter()
        .filter_map(|record| match record {
            Record::AnswerReceived {
                attempt_id,
                error_kind: Some(error_kind),
                ..
            } if INTERRUPTIONS.contains(&error_kind.as_str())
                && began.contains(attempt_id.as_str()) =>
            {
                Some(format!("{attempt_id}: {error_kind}"))
            }
            _ => None,
        })
        .collect()
}
