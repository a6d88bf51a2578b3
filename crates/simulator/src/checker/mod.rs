//! What must hold over all that stand-ins saw (design 9.5).

mod desired_state;
mod promises;
mod serving;

use crate::history::{Record, Report};
use std::collections::HashMap;

/// What is allowed at this site and in this scenario.
pub struct Rules<'a> {
    /// Paths whose requests may run twice; everything else must not.
    pub idempotent_paths: &'a [&'a str],
    /// Sender and service.
    pub allowed: &'a [(&'a str, &'a str)],
    /// Only planned ends: nothing that was passed on may be cut off.
    pub planned_stops_only: bool,
    /// Extra dispatches of one service, over the fleet, beside one in five.
    pub retry_allowance: usize,
    /// What has to be seen, or the scenario proves nothing.
    pub must_observe: &'a [&'a str],
}

pub fn check(records: &[Record], rules: &Rules) -> Report {
    let mut report = Report::default();
    let began: Vec<&Record> = records
        .iter()
        .filter(|record| matches!(record, Record::RunBegan { .. }))
        .collect();
    let runs = began
        .iter()
        .fold(HashMap::<&str, usize>::new(), |mut runs, record| {
            if let Record::RunBegan {
                attempt_id: try_id, ..
            } = record
            {
                *runs.entry(try_id).or_default() += 1;
            }
            runs
        });
    let mut broken =
        |name: &str, found: Vec<String>| drop(report.invariants.insert(name.to_string(), found));
    broken(
        "nothing_runs_twice",
        began
            .iter()
            .filter_map(|record| match record {
                Record::RunBegan {
                    attempt_id: try_id,
                    path,
                    ..
                } if !rules
                    .idempotent_paths
                    .iter()
                    .any(|start| path.starts_with(start))
                    && runs[try_id.as_str()] > 1 =>
                {
                    Some(format!("{try_id} {path}"))
                }
                _ => None,
            })
            .collect(),
    );
    broken(
        "not_run_did_not_run",
        answers(records)
            // What could not even be asked was refused by nobody.
            .filter(|(_, _, _, cause)| *cause != Some("own_usher_down"))
            .filter(|(try_id, verdict, _, _)| {
                *verdict == Some("not-run") && runs.contains_key(try_id)
            })
            .map(|(try_id, ..)| try_id.to_string())
            .collect(),
    );
    broken(
        "success_is_whole",
        answers(records)
            .filter(|(try_id, verdict, whole, _)| {
                verdict.is_none() && (!whole || !runs.contains_key(try_id))
            })
            .map(|(try_id, ..)| try_id.to_string())
            .collect(),
    );
    broken(
        "routes_are_kept",
        began
            .iter()
            .filter_map(|record| match record {
                Record::RunBegan {
                    attempt_id: try_id,
                    service,
                    intended_service: meant_for,
                    client: sender,
                    ..
                } if service != meant_for
                    || !rules.allowed.contains(&(sender.as_str(), service.as_str())) =>
                {
                    Some(format!("{try_id} for {meant_for} at {service}"))
                }
                _ => None,
            })
            .collect(),
    );
    broken(
        "senders_are_told_truly",
        began
            .iter()
            .filter_map(|record| match record {
                Record::RunBegan {
                    attempt_id: try_id,
                    client: sender,
                    ..
                } if client_service(try_id) != Some(sender.as_str()) => {
                    Some(format!("{try_id} told as {sender}"))
                }
                _ => None,
            })
            .collect(),
    );
    broken(
        "addresses_change_hands_safely",
        promises::misrouted_requests(records),
    );
    broken("one_holder_a_key", promises::overlapping_runs(records));
    broken(
        "drained_gets_nothing_new",
        promises::runs_after_leaving(records),
    );
    broken(
        "changes_are_in_force",
        promises::runs_on_removed_routes(records),
    );
    broken(
        "every_change_is_in_force_everywhere",
        desired_state::late_changes(records),
    );
    broken(
        "no_version_slides_back",
        desired_state::regressed_positions(records),
    );
    broken(
        "what_is_read_back_was_accepted",
        desired_state::inconsistent_reads(records),
    );
    broken(
        "accepted_changes_stay",
        desired_state::lost_changes(records),
    );
    broken(
        "extras_keep_to_their_budget",
        serving::retry_budget_overruns(records, rules.retry_allowance),
    );
    broken(
        "refusals_say_when_to_come_back",
        serving::rejections_without_retry_after(records),
    );
    broken(
        "given_up_means_answered_at_once",
        serving::late_rejections(records),
    );
    broken(
        "others_are_served_beside_a_hot_key",
        serving::starved_keys(records),
    );
    let (back, late) = serving::recovery_times(records);
    broken(
        "service_is_back",
        promises::services_not_served_at_the_end(records)
            .into_iter()
            .chain(late)
            .collect(),
    );
    if rules.planned_stops_only {
        broken(
            "planned_ends_cut_nothing",
            promises::interrupted_runs(records),
        );
    }
    report.recovery_us = back;
    report.not_observed = rules
        .must_observe
        .iter()
        .filter(|what| !serving::observed(records, what))
        .map(|what| what.to_string())
        .collect();
    let firsts = || {
        answers(
            records
                .iter()
                .filter(|record| !matches!(record, Record::ClientAnswered { repeated: true, .. })),
        )
    };
    let times: Vec<u64> = records
        .iter()
        .filter_map(|record| {
            if let Record::ClientAnswered { at, .. } = record {
                Some(*at)
            } else {
                None
            }
        })
        .collect();
    let span = times
        .iter()
        .max()
        .zip(times.iter().min())
        .map(|(last, first)| last - first)
        .unwrap_or(0)
        .max(1);
    report.measurements.requests_per_second = times.len() as f64 * 1e6 / span as f64;
    report.asked = firsts().count();
    report.repeated = answers(records).count() - report.asked;
    report.served = firsts()
        .filter(|(_, verdict, ..)| verdict.is_none())
        .count();
    report.not_run = firsts()
        .filter(|(_, verdict, ..)| *verdict == Some("not-run"))
        .count();
    report.may_have_run = report.asked - report.served - report.not_run;
    answers(records)
        .filter_map(|(.., cause)| cause)
        .for_each(|cause| *report.causes.entry(cause.to_string()).or_default() += 1);
    report
}

/// A stand-in writes its own service into its tries, behind the registration's prefix.
fn client_service(try_id: &str) -> Option<&str> {
    try_id
        .rsplit('.')
        .next()
        .and_then(|rest| rest.split('/').next())
}

type AnswerSummary<'a> = (&'a str, Option<&'a str>, bool, Option<&'a str>);

fn answers<'a>(
    records: impl IntoIterator<Item = &'a Record>,
) -> impl Iterator<Item = AnswerSummary<'a>> {
    records.into_iter().filter_map(|record| match record {
        Record::ClientAnswered {
            attempt_id: try_id,
            execution_status: verdict,
            complete: whole,
            error_kind: cause,
            ..
        } => Some((
            try_id.as_str(),
            verdict.as_deref(),
            *whole,
            cause.as_deref(),
        )),
        _ => None,
    })
}
