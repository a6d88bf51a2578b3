//! Checks the recorded history of a run against the invariants of the service mesh (design 9.5).

mod desired_state;
mod runs;
mod serving;

use crate::history::{Record, Report};
use std::collections::HashMap;

/// Rules of the deployment and the scenario: the allowed behaviour, and the situations that the scenario must produce.
pub struct Rules<'a> {
    /// Prefixes of the paths whose requests may run more than once.
    pub idempotent_paths: &'a [&'a str],
    /// Pairs of a client service and a service that it may call.
    pub allowed: &'a [(&'a str, &'a str)],
    /// Whether processes are only stopped gracefully, so that no forwarded request may be interrupted.
    pub planned_stops_only: bool,
    /// Number of retries of one service over the whole fleet that are allowed in addition to one for every five requests.
    pub retry_allowance: usize,
    /// Situations that must occur in the run, because without them the scenario tests nothing.
    pub must_observe: &'a [&'a str],
}

/// Checks the records against all invariants, and counts the outcomes.
pub fn check(records: &[Record], rules: &Rules) -> Report {
    let mut report = Report::default();
    let begun_runs: Vec<&Record> = records
        .iter()
        .filter(|record| matches!(record, Record::RunBegan { .. }))
        .collect();
    let runs = begun_runs
        .iter()
        .fold(HashMap::<&str, usize>::new(), |mut runs, record| {
            if let Record::RunBegan { attempt_id, .. } = record {
                *runs.entry(attempt_id).or_default() += 1;
            }
            runs
        });
    let mut add_violations =
        |name: &str, found: Vec<String>| drop(report.invariants.insert(name.to_string(), found));
    add_violations(
        "nothing_runs_twice",
        begun_runs
            .iter()
            .filter_map(|record| match record {
                Record::RunBegan {
                    attempt_id, path, ..
                } if !rules
                    .idempotent_paths
                    .iter()
                    .any(|prefix| path.starts_with(prefix))
                    && runs[attempt_id.as_str()] > 1 =>
                {
                    Some(format!("{attempt_id} {path}"))
                }
                _ => None,
            })
            .collect(),
    );
    add_violations(
        "not_run_did_not_run",
        answers(records)
            // The client itself records `own_usher_down` when it cannot connect to its node. No node rejected the request.
            .filter(|(_, _, _, error_kind)| *error_kind != Some("own_usher_down"))
            .filter(|(attempt_id, execution_status, _, _)| {
                *execution_status == Some("not-run") && runs.contains_key(attempt_id)
            })
            .map(|(attempt_id, ..)| attempt_id.to_string())
            .collect(),
    );
    add_violations(
        "success_is_whole",
        answers(records)
            .filter(|(attempt_id, execution_status, complete, _)| {
                execution_status.is_none() && (!complete || !runs.contains_key(attempt_id))
            })
            .map(|(attempt_id, ..)| attempt_id.to_string())
            .collect(),
    );
    add_violations(
        "routes_are_kept",
        begun_runs
            .iter()
            .filter_map(|record| match record {
                Record::RunBegan {
                    attempt_id,
                    service,
                    intended_service,
                    client,
                    ..
                } if service != intended_service
                    || !rules.allowed.contains(&(client.as_str(), service.as_str())) =>
                {
                    Some(format!("{attempt_id} for {intended_service} at {service}"))
                }
                _ => None,
            })
            .collect(),
    );
    add_violations(
        "senders_are_told_truly",
        begun_runs
            .iter()
            .filter_map(|record| match record {
                Record::RunBegan {
                    attempt_id, client, ..
                } if client_service(attempt_id) != Some(client.as_str()) => {
                    Some(format!("{attempt_id} arrived as one of {client}"))
                }
                _ => None,
            })
            .collect(),
    );
    add_violations(
        "addresses_change_hands_safely",
        runs::misrouted_requests(records),
    );
    add_violations("one_holder_a_key", runs::overlapping_runs(records));
    add_violations(
        "drained_gets_nothing_new",
        runs::runs_after_leaving(records),
    );
    add_violations(
        "changes_are_in_force",
        runs::runs_on_removed_routes(records),
    );
    add_violations(
        "every_change_is_in_force_everywhere",
        desired_state::late_changes(records),
    );
    add_violations(
        "no_version_slides_back",
        desired_state::regressed_positions(records),
    );
    add_violations(
        "what_is_read_back_was_accepted",
        desired_state::inconsistent_reads(records),
    );
    add_violations(
        "accepted_changes_stay",
        desired_state::lost_changes(records),
    );
    add_violations(
        "extras_keep_to_their_budget",
        serving::retry_budget_overruns(records, rules.retry_allowance),
    );
    add_violations(
        "refusals_say_when_to_come_back",
        serving::rejections_without_retry_after(records),
    );
    add_violations(
        "given_up_means_answered_at_once",
        serving::late_rejections(records),
    );
    add_violations(
        "others_are_served_beside_a_hot_key",
        serving::starved_keys(records),
    );
    let (recovery_us, late) = serving::recovery_times(records);
    add_violations(
        "service_is_back",
        runs::services_not_served_at_the_end(records)
            .into_iter()
            .chain(late)
            .collect(),
    );
    if rules.planned_stops_only {
        add_violations("planned_ends_cut_nothing", runs::interrupted_runs(records));
    }
    report.recovery_us = recovery_us;
    report.not_observed = rules
        .must_observe
        .iter()
        .filter(|situation| !serving::is_observed(records, situation))
        .map(|situation| situation.to_string())
        .collect();
    let first_answers = || {
        answers(
            records
                .iter()
                .filter(|record| !matches!(record, Record::AnswerReceived { repeated: true, .. })),
        )
    };
    let answer_times: Vec<u64> = records
        .iter()
        .filter_map(|record| {
            if let Record::AnswerReceived { at, .. } = record {
                Some(*at)
            } else {
                None
            }
        })
        .collect();
    let span = answer_times
        .iter()
        .max()
        .zip(answer_times.iter().min())
        .map(|(last, first)| last - first)
        .unwrap_or(0)
        .max(1);
    report.measurements.requests_per_second = answer_times.len() as f64 * 1e6 / span as f64;
    report.attempts = first_answers().count();
    report.repeated = answers(records).count() - report.attempts;
    report.served = first_answers()
        .filter(|(_, execution_status, ..)| execution_status.is_none())
        .count();
    report.not_run = first_answers()
        .filter(|(_, execution_status, ..)| *execution_status == Some("not-run"))
        .count();
    report.may_have_run = report.attempts - report.served - report.not_run;
    answers(records)
        .filter_map(|(.., error_kind)| error_kind)
        .for_each(|error_kind| *report.causes.entry(error_kind.to_string()).or_default() += 1);
    report
}

/// Returns the client's service, which a stand-in writes into its attempt ids after the prefix of its registration.
fn client_service(attempt_id: &str) -> Option<&str> {
    attempt_id
        .rsplit('.')
        .next()
        .and_then(|rest| rest.split('/').next())
}

/// Attempt id, execution status, completeness and error kind of an answer.
type AnswerSummary<'a> = (&'a str, Option<&'a str>, bool, Option<&'a str>);

fn answers<'a>(
    records: impl IntoIterator<Item = &'a Record>,
) -> impl Iterator<Item = AnswerSummary<'a>> {
    records.into_iter().filter_map(|record| match record {
        Record::AnswerReceived {
            attempt_id,
            execution_status,
            complete,
            error_kind,
            ..
        } => Some((
            attempt_id.as_str(),
            execution_status.as_deref(),
            *complete,
            error_kind.as_deref(),
        )),
        _ => None,
    })
}
