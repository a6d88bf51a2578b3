//! Checks the invariants of a simulated site during a run and at its end (design 9.8).

use model::{Error, ExecutionStatus, Microseconds, Position};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Time within which accepted changes and drains are in force, in microseconds.
const IN_FORCE_WITHIN_US: Microseconds = 2_000_000;
/// Length of the windows in which the retry budget is checked, in microseconds.
const BUDGET_WINDOW_US: Microseconds = 10_000_000;

/// Begin, end and process of a run.
type RunSpan = (Microseconds, Microseconds, usize);

/// The recorded events of a simulated site, and the violations found.
#[derive(Default)]
pub struct SiteChecks {
    pub violations: Vec<String>,
    pub runs: usize,
    pub served: usize,
    pub rejected: usize,
    pub retries: usize,
    /// Number of moves of a key to another backend process.
    pub moves: usize,
    /// Maps each attempt id to the number of its runs.
    run_counts: BTreeMap<String, usize>,
    not_run: BTreeSet<String>,
    /// Maps each service and key to the runs on it.
    spans: BTreeMap<(String, String), Vec<RunSpan>>,
    /// The accepted changes: time, position, version and id.
    accepted: Vec<(Microseconds, Position, u64, String)>,
    positions: BTreeMap<(usize, u64), Position>,
    proved: BTreeMap<usize, Position>,
    first_attempts: BTreeMap<String, Vec<Microseconds>>,
    retry_times: BTreeMap<String, Vec<Microseconds>>,
    served_at: BTreeMap<String, Microseconds>,
}

impl SiteChecks {
    fn violation(&mut self, name: &str, description: String) {
        self.violations.push(format!("{name}: {description}"));
    }

    /// Checks and records a run that begins at a node that holds `position`. `process` is the number of the backend process
    /// and the time at which it began to drain.
    pub(super) fn check_run_start(
        &mut self,
        now: Microseconds,
        request: &transport::AttemptRequest,
        process: (usize, Option<Microseconds>),
        position: Position,
        until: Microseconds,
    ) {
        self.runs += 1;
        let count = self
            .run_counts
            .entry(request.attempt_id.clone())
            .or_default();
        *count += 1;
        let is_idempotent = request.path == "/check" || request.path == "/note";
        if *count > 1 && !is_idempotent {
            self.violation(
                "duplicate-run",
                format!("{} {} at {now}", request.attempt_id, request.path),
            );
        }
        if self.not_run.contains(&request.attempt_id) {
            self.violation(
                "not-run",
                format!(
                    "{} ran at {now} after it was reported as not run",
                    request.attempt_id
                ),
            );
        }
        let required = self
            .accepted
            .iter()
            .filter(|(accepted_at, ..)| accepted_at + IN_FORCE_WITHIN_US < now)
            .map(|(_, position, ..)| *position)
            .max()
            .unwrap_or(0);
        if position < required {
            self.violation(
                "in-force",
                format!("a run at {now} by position {position}, {required} was accepted"),
            );
        }
        if process
            .1
            .is_some_and(|drained_at| now > drained_at + IN_FORCE_WITHIN_US)
        {
            self.violation(
                "drained",
                format!("process {} got {} at {now}", process.0, request.attempt_id),
            );
        }
        if let Some(key) = &request.shard_key {
            self.spans
                .entry((request.service.clone(), key.clone()))
                .or_default()
                .push((now, until, process.0));
        }
    }

    /// Records that a run ended before its planned end, because its process ended.
    pub(super) fn record_run_end(
        &mut self,
        now: Microseconds,
        request: &transport::AttemptRequest,
        process: usize,
    ) {
        if let Some(key) = &request.shard_key {
            let spans = self
                .spans
                .entry((request.service.clone(), key.clone()))
                .or_default();
            spans
                .iter_mut()
                .rev()
                .filter(|(_, to, worker)| *worker == process && *to > now)
                .take(1)
                .for_each(|span| span.1 = now);
        }
    }

    /// Checks and records the answer to an attempt.
    pub(super) fn record_answer(
        &mut self,
        now: Microseconds,
        service: &str,
        attempt_id: &str,
        error: Option<&Error>,
    ) {
        match error {
            None => {
                self.served += 1;
                self.served_at.insert(service.to_string(), now);
                if !self.run_counts.contains_key(attempt_id) {
                    self.violation(
                        "answered-without-run",
                        format!("{attempt_id} was answered and never ran"),
                    );
                }
            }
            Some(error) => {
                self.rejected += 1;
                if error.execution_status == ExecutionStatus::NotRun {
                    if self.run_counts.contains_key(attempt_id) {
                        self.violation(
                            "not-run",
                            format!(
                                "{attempt_id} was reported at {now} as not run ({}), but had run",
                                error.kind.code()
                            ),
                        );
                    }
                    self.not_run.insert(attempt_id.to_string());
                }
                if error.kind.may_retry_later() && error.retry_after.is_none() {
                    self.violation(
                        "retry-after",
                        format!("{} has no Retry-After", error.kind.code()),
                    );
                }
            }
        }
    }

    pub(super) fn record_first_attempt(&mut self, now: Microseconds, service: &str) {
        self.first_attempts
            .entry(service.to_string())
            .or_default()
            .push(now);
    }

    pub(super) fn record_retry(&mut self, now: Microseconds, service: &str) {
        self.retries += 1;
        self.retry_times
            .entry(service.to_string())
            .or_default()
            .push(now);
    }

    /// Records a change for which an operator received "accepted".
    pub(super) fn record_accepted_change(
        &mut self,
        now: Microseconds,
        position: Position,
        version: u64,
        id: &str,
    ) {
        self.accepted.push((now, position, version, id.to_string()));
    }

    /// Checks the position that a node holds. `fresh` is set if the node has a valid freshness proof for it.
    pub(super) fn check_held_position(
        &mut self,
        now: Microseconds,
        node: usize,
        incarnation: u64,
        position: Position,
        fresh: bool,
    ) {
        let previous = self
            .positions
            .insert((node, incarnation), position)
            .unwrap_or(0);
        let proved = self.proved.get(&node).copied().unwrap_or(0);
        if position < previous || fresh && position < proved {
            self.violation(
                "regression",
                format!("n{node} at {now}: {position} after {previous}, {proved} proved"),
            );
        }
        if fresh {
            self.proved.insert(node, proved.max(position));
        }
    }

    pub(super) fn check_misrouted(
        &mut self,
        now: Microseconds,
        died_at: Option<Microseconds>,
        description: String,
    ) {
        if died_at.is_none_or(|died_at| now > died_at + IN_FORCE_WITHIN_US) {
            self.violation("route", format!("{description} at {now}"));
        }
    }

    pub(super) fn record_interruption(&mut self, description: String) {
        self.violation("interrupted", description);
    }

    pub(super) fn check_final_state(
        &mut self,
        log_violations: Vec<String>,
        accepted_changes: &BTreeMap<u64, (String, Position)>,
        served_after: Microseconds,
        nodes: usize,
    ) {
        log_violations
            .into_iter()
            .for_each(|description| self.violation("log", description));
        let lost: Vec<String> = self
            .accepted
            .iter()
            .filter(|(_, position, version, id)| {
                accepted_changes.get(version) != Some(&(id.clone(), *position))
            })
            .map(|(_, _, version, id)| {
                format!("{id} at version {version} was accepted and is not in the log")
            })
            .collect();
        lost.into_iter()
            .for_each(|description| self.violation("lost-change", description));
        let unserved: Vec<String> = ["seat", "desk"]
            .iter()
            .filter(|service| {
                self.served_at
                    .get(**service)
                    .is_none_or(|last_served_at| *last_served_at < served_after)
            })
            .map(|service| service.to_string())
            .collect();
        unserved.into_iter().for_each(|service| {
            self.violation(
                "recovery",
                format!("{service} is not served after all faults"),
            )
        });
        let mut overlaps = Vec::new();
        self.spans.iter_mut().for_each(|((service, key), spans)| {
            spans.sort();
            let mut latest = (0, usize::MAX);
            spans.iter().for_each(|(from, to, worker)| {
                if latest.1 != usize::MAX && latest.1 != *worker {
                    self.moves += 1;
                }
                if *from < latest.0 && *worker != latest.1 {
                    overlaps.push(format!(
                        "{service} {key} at {from} by {worker} and {}",
                        latest.1
                    ));
                }
                if *to > latest.0 {
                    latest = (*to, *worker);
                }
            });
        });
        overlaps
            .into_iter()
            .for_each(|description| self.violation("overlapping-runs", description));
        let count_in_window = |times: &[Microseconds], from: Microseconds| {
            times
                .iter()
                .filter(|time| (from..from + BUDGET_WINDOW_US).contains(time))
                .count()
        };
        let overruns: Vec<String> = self
            .retry_times
            .iter()
            .flat_map(|(service, retries)| {
                let first_attempts = self
                    .first_attempts
                    .get(service)
                    .map(Vec::as_slice)
                    .unwrap_or_default();
                retries
                    .iter()
                    .filter(move |from| {
                        count_in_window(retries, **from)
                            > count_in_window(first_attempts, **from) / 5 + nodes
                    })
                    .map(move |from| format!("{service} from {from}"))
            })
            .collect();
        overruns
            .into_iter()
            .for_each(|description| self.violation("retry-budget", description));
    }
}
