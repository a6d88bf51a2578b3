//! What must hold over all that stand-ins saw (design 9.5).

use crate::history::{Record, Report};
use std::collections::HashMap;

/// What is allowed at this site and in this scenario.
pub struct Rules<'a> {
    /// Paths whose requests may run twice; everything else must not.
    pub repeatable: &'a [&'a str],
    /// Sender and service.
    pub allowed: &'a [(&'a str, &'a str)],
    /// Only planned ends: nothing that was passed on may be cut off.
    pub planned: bool,
    /// Extra dispatches of one service, over the fleet, beside one in five.
    pub allowance: usize,
    /// What has to be seen, or the scenario proves nothing.
    pub provokes: &'a [&'a str],
}

pub fn check(records: &[Record], rules: &Rules) -> Report {
    let mut report = Report::default();
    let began: Vec<&Record> = records
        .iter()
        .filter(|record| matches!(record, Record::Began { .. }))
        .collect();
    let runs = began
        .iter()
        .fold(HashMap::<&str, usize>::new(), |mut runs, record| {
            if let Record::Began { try_id, .. } = record {
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
                Record::Began { try_id, path, .. }
                    if !rules.repeatable.iter().any(|start| path.starts_with(start))
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
        told(records)
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
        told(records)
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
                Record::Began {
                    try_id,
                    service,
                    meant_for,
                    sender,
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
                Record::Began { try_id, sender, .. }
                    if service_of(try_id) != Some(sender.as_str()) =>
                {
                    Some(format!("{try_id} told as {sender}"))
                }
                _ => None,
            })
            .collect(),
    );
    broken(
        "addresses_change_hands_safely",
        crate::promises::misrouted(records),
    );
    broken("one_holder_a_key", crate::promises::overlaps(records));
    broken(
        "drained_gets_nothing_new",
        crate::promises::after_leaving(records),
    );
    broken(
        "changes_are_in_force",
        crate::promises::after_forbidding(records),
    );
    broken(
        "every_change_is_in_force_everywhere",
        crate::desired_checks::late(records),
    );
    broken(
        "no_version_slides_back",
        crate::desired_checks::slid_back(records),
    );
    broken(
        "what_is_read_back_was_accepted",
        crate::desired_checks::read_backs(records),
    );
    broken(
        "accepted_changes_stay",
        crate::desired_checks::vanished(records),
    );
    broken(
        "extras_keep_to_their_budget",
        crate::serving_checks::over_budget(records, rules.allowance),
    );
    broken(
        "refusals_say_when_to_come_back",
        crate::serving_checks::silent_refusals(records),
    );
    broken(
        "given_up_means_answered_at_once",
        crate::serving_checks::held_back(records),
    );
    broken(
        "others_are_served_beside_a_hot_key",
        crate::serving_checks::crowded_out(records),
    );
    let (back, late) = crate::serving_checks::back(records);
    broken(
        "service_is_back",
        crate::promises::silent_at_the_end(records)
            .into_iter()
            .chain(late)
            .collect(),
    );
    if rules.planned {
        broken(
            "planned_ends_cut_nothing",
            crate::promises::cut_off(records),
        );
    }
    report.back_us = back;
    report.not_provoked = rules
        .provokes
        .iter()
        .filter(|what| !crate::serving_checks::provoked(records, what))
        .map(|what| what.to_string())
        .collect();
    let firsts = || {
        told(
            records
                .iter()
                .filter(|record| !matches!(record, Record::Told { again: true, .. })),
        )
    };
    let times: Vec<u64> = records
        .iter()
        .filter_map(|record| {
            if let Record::Told { at, .. } = record {
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
    report.figures.requests_per_second = times.len() as f64 * 1e6 / span as f64;
    report.asked = firsts().count();
    report.again = told(records).count() - report.asked;
    report.served = firsts()
        .filter(|(_, verdict, ..)| verdict.is_none())
        .count();
    report.not_run = firsts()
        .filter(|(_, verdict, ..)| *verdict == Some("not-run"))
        .count();
    report.may_have_run = report.asked - report.served - report.not_run;
    told(records)
        .filter_map(|(.., cause)| cause)
        .for_each(|cause| *report.causes.entry(cause.to_string()).or_default() += 1);
    report
}

/// A stand-in writes its own service into its tries, behind the registration's prefix.
fn service_of(try_id: &str) -> Option<&str> {
    try_id
        .rsplit('.')
        .next()
        .and_then(|rest| rest.split('/').next())
}

type Telling<'a> = (&'a str, Option<&'a str>, bool, Option<&'a str>);

fn told<'a>(records: impl IntoIterator<Item = &'a Record>) -> impl Iterator<Item = Telling<'a>> {
    records.into_iter().filter_map(|record| match record {
        Record::Told {
            try_id,
            verdict,
            whole,
            cause,
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
