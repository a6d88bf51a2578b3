//! What must hold between times: keys, drains, changes, returns (design 9.5).

use crate::history::Record;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

/// What operators and back ends are promised, with the half second the brief leaves.
const IN_FORCE_WITHIN_US: u64 = 2_500_000;

/// From, to, by which process: two of one name are two live back ends.
type RunSpan = (u64, u64, u32);

/// Two back ends at work on one key of one service at the same time.
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
            // A run without an end was killed with its back end: it did nothing after its beginning.
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
                    let clash = *from < latest.0 && *process != latest.1;
                    if *to > latest.0 {
                        latest = (*to, *process);
                    }
                    clash.then(|| {
                        format!("{service} {key} at {from} by process {process} and another")
                    })
                })
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Two and a half seconds after a back end said it was leaving, that process begins nothing new.
pub(crate) fn runs_after_leaving(records: &[Record]) -> Vec<String> {
    let leavings = records.iter().filter_map(|record| match record {
        Record::BackendLeaving { backend: by, at } => Some((by, *at)),
        _ => None,
    });
    leavings
        .flat_map(|(leaver, left)| {
            let began = records.iter().filter_map(move |record| match record {
                Record::RunBegan {
                    attempt_id: try_id,
                    backend: by,
                    process,
                    at,
                    ..
                } if by == leaver => Some((try_id, *process, *at)),
                _ => None,
            });
            // The process that left; its successor of the same name may begin what it likes.
            let left_process = began
                .clone()
                .filter(|(_, _, at)| *at <= left)
                .max_by_key(|(_, _, at)| *at)
                .map(|(_, process, _)| process);
            let late = began.filter(move |(_, process, at)| {
                *at > left + IN_FORCE_WITHIN_US && Some(*process) == left_process
            });
            late.map(move |(try_id, ..)| format!("{try_id} at {leaver}"))
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Between a lane's end being accepted, and its return being asked for, nothing goes through it.
pub(crate) fn runs_on_removed_routes(records: &[Record]) -> Vec<String> {
    let lanes: Vec<(&str, &str, &str, bool, bool, u64)> = records
        .iter()
        .filter_map(|record| match record {
            Record::RouteChange {
                client: sender,
                service,
                path,
                allowed,
                accepted,
                at,
            } => Some((
                sender.as_str(),
                service.as_str(),
                path.as_str(),
                *allowed,
                *accepted,
                *at,
            )),
            _ => None,
        })
        .collect();
    let forbidden = lanes.iter().filter(|lane| !lane.3 && lane.4).map(|lane| {
        let back = lanes
            .iter()
            .filter(|other| other.3 && !other.4 && other.5 > lane.5)
            .map(|other| other.5)
            .min();
        (lane, lane.5 + IN_FORCE_WITHIN_US, back.unwrap_or(u64::MAX))
    });
    forbidden
        .flat_map(|(lane, from, to)| {
            records.iter().filter_map(move |record| match record {
                Record::RunBegan {
                    attempt_id: try_id,
                    at,
                    client: sender,
                    service,
                    path,
                    ..
                } if (sender.as_str(), service.as_str()) == (lane.0, lane.1)
                    && path == lane.2
                    && (from..to).contains(at) =>
                {
                    Some(format!(
                        "{try_id} {} after the change",
                        at - from + IN_FORCE_WITHIN_US
                    ))
                }
                _ => None,
            })
        })
        .collect()
}

/// Every service that sends is served again in the last two and a half seconds.
pub(crate) fn services_not_served_at_the_end(records: &[Record]) -> Vec<String> {
    let told = records.iter().filter_map(|record| match record {
        Record::ClientAnswered {
            service,
            at,
            execution_status: verdict,
            ..
        } => Some((service.as_str(), *at, verdict.is_none())),
        _ => None,
    });
    let end = told.clone().map(|(_, at, _)| at).max().unwrap_or(0);
    let senders: BTreeSet<&str> = told.clone().map(|(service, ..)| service).collect();
    let served: BTreeSet<&str> = told
        .filter(|(_, at, fine)| *fine && *at + IN_FORCE_WITHIN_US >= end)
        .map(|(service, ..)| service)
        .collect();
    senders
        .difference(&served)
        .map(|service| format!("{service} is not served at the end"))
        .collect()
}

/// A request that reached another service than it was meant for, longer after the address' owner died than it may take.
pub(crate) fn misrouted_requests(records: &[Record]) -> Vec<String> {
    let left: Vec<u64> = records
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
                backend: by,
                intended_service: meant_for,
                at,
            } if !left
                .iter()
                .any(|left| (*left..*left + IN_FORCE_WITHIN_US).contains(at)) =>
            {
                Some(format!("a request for {meant_for} reached {by} at {at}"))
            }
            _ => None,
        })
        .collect()
}

/// Requests that ran, or were running, and whose senders never got the answer because of a planned end.
pub(crate) fn interrupted_runs(records: &[Record]) -> Vec<String> {
    let began: HashSet<&str> = records
        .iter()
        .filter_map(|record| match record {
            Record::RunBegan {
                attempt_id: try_id, ..
            } => Some(try_id.as_str()),
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
            Record::ClientAnswered {
                attempt_id: try_id,
                error_kind: Some(cause),
                ..
            } if INTERRUPTIONS.contains(&cause.as_str()) && began.contains(try_id.as_str()) => {
                Some(format!("{try_id}: {cause}"))
            }
            _ => None,
        })
        .collect()
}
