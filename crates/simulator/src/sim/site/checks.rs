//! What must never happen at a simulated site, judged while it runs and at its end (design 9.8).

use model::{Error, ExecutionStatus, Microseconds, Position};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The promise to operators and back ends.
const IN_FORCE_WITHIN_US: Microseconds = 2_000_000;
const BUDGET_WINDOW_US: Microseconds = 10_000_000;

/// From, to, process.
type RunSpan = (Microseconds, Microseconds, usize);

#[derive(Default)]
pub struct SiteChecks {
    pub violations: Vec<String>,
    pub runs: usize,
    pub served: usize,
    pub refused: usize,
    pub retries: usize,
    pub moves: usize,
    /// Try to how often it ran.
    ran: BTreeMap<String, usize>,
    not_run: BTreeSet<String>,
    /// Service and key to who worked on it, from, to.
    spans: BTreeMap<(String, String), Vec<RunSpan>>,
    accepted: Vec<(Microseconds, Position, u64, String)>,
    positions: BTreeMap<(usize, u64), Position>,
    proved: BTreeMap<usize, Position>,
    first_attempts: BTreeMap<String, Vec<Microseconds>>,
    retry_times: BTreeMap<String, Vec<Microseconds>>,
    served_at: BTreeMap<String, Microseconds>,
}

impl SiteChecks {
    fn violation(&mut self, name: &str, told: String) {
        self.violations.push(format!("{name}: {told}"));
    }

    /// A run begins: which one, at a node that holds `position`, in a process that drained or died at a time.
    pub(super) fn began(
        &mut self,
        now: Microseconds,
        dispatch: &transport::AttemptRequest,
        process: (usize, Option<Microseconds>),
        position: Position,
        until: Microseconds,
    ) {
        self.runs += 1;
        let count = self.ran.entry(dispatch.attempt_id.clone()).or_default();
        *count += 1;
        let repeatable = dispatch.path == "/check" || dispatch.path == "/note";
        if *count > 1 && !repeatable {
            self.violation(
                "twice",
                format!("{} {} at {now}", dispatch.attempt_id, dispatch.path),
            );
        }
        if self.not_run.contains(&dispatch.attempt_id) {
            self.violation(
                "not-run",
                format!(
                    "{} ran at {now} after it was said not to",
                    dispatch.attempt_id
                ),
            );
        }
        let due = self
            .accepted
            .iter()
            .filter(|(at, ..)| at + IN_FORCE_WITHIN_US < now)
            .map(|(_, position, ..)| *position)
            .max()
            .unwrap_or(0);
        if position < due {
            self.violation(
                "in-force",
                format!("a run at {now} by position {position}, {due} was accepted"),
            );
        }
        if process
            .1
            .is_some_and(|drained| now > drained + IN_FORCE_WITHIN_US)
        {
            self.violation(
                "drained",
                format!("process {} got {} at {now}", process.0, dispatch.attempt_id),
            );
        }
        if let Some(key) = &dispatch.shard_key {
            self.spans
                .entry((dispatch.service.clone(), key.clone()))
                .or_default()
                .push((now, until, process.0));
        }
    }

    /// A dead process's run ends with it; others when they say so.
    pub(super) fn ended(
        &mut self,
        now: Microseconds,
        dispatch: &transport::AttemptRequest,
        process: usize,
    ) {
        if let Some(key) = &dispatch.shard_key {
            let spans = self
                .spans
                .entry((dispatch.service.clone(), key.clone()))
                .or_default();
            spans
                .iter_mut()
                .rev()
                .filter(|(_, to, who)| *who == process && *to > now)
                .take(1)
                .for_each(|span| span.1 = now);
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Microseconds,
        service: &str,
        try_id: &str,
        trouble: Option<&Error>,
    ) {
        match trouble {
            None => {
                self.served += 1;
                self.served_at.insert(service.to_string(), now);
                if !self.ran.contains_key(try_id) {
                    self.violation("whole", format!("{try_id} was answered and never ran"));
                }
            }
            Some(trouble) => {
                self.refused += 1;
                if trouble.execution_status == ExecutionStatus::NotRun {
                    if self.ran.contains_key(try_id) {
                        self.violation(
                            "not-run",
                            format!(
                                "{try_id} was said not to have run at {now} ({}), and had",
                                trouble.kind.code()
                            ),
                        );
                    }
                    self.not_run.insert(try_id.to_string());
                }
                if trouble.kind.may_retry_later() && trouble.retry_after.is_none() {
                    self.violation("come-back", format!("{} says no time", trouble.kind.code()));
                }
            }
        }
    }

    pub(super) fn first_attempt(&mut self, now: Microseconds, service: &str) {
        self.first_attempts
            .entry(service.to_string())
            .or_default()
            .push(now);
    }

    pub(super) fn retry(&mut self, now: Microseconds, service: &str) {
        self.retries += 1;
        self.retry_times
            .entry(service.to_string())
            .or_default()
            .push(now);
    }

    pub(super) fn accepted(
        &mut self,
        now: Microseconds,
        position: Position,
        version: u64,
        id: &str,
    ) {
        self.accepted.push((now, position, version, id.to_string()));
    }

    /// What a node now holds; `fresh` if it may act on it.
    pub(super) fn state_held(
        &mut self,
        now: Microseconds,
        node: usize,
        life: u64,
        position: Position,
        fresh: bool,
    ) {
        let held = self.positions.insert((node, life), position).unwrap_or(0);
        let proved = self.proved.get(&node).copied().unwrap_or(0);
        if position < held || fresh && position < proved {
            self.violation(
                "slid-back",
                format!("n{node} at {now}: {position} after {held}, {proved} proved"),
            );
        }
        if fresh {
            self.proved.insert(node, proved.max(position));
        }
    }

    pub(super) fn misrouted(
        &mut self,
        now: Microseconds,
        died: Option<Microseconds>,
        told: String,
    ) {
        if died.is_none_or(|died| now > died + IN_FORCE_WITHIN_US) {
            self.violation("route", format!("{told} at {now}"));
        }
    }

    pub(super) fn interrupted(&mut self, told: String) {
        self.violation("cut-off", told);
    }

    pub(super) fn check_final_state(
        &mut self,
        core: Vec<String>,
        story: &BTreeMap<u64, (String, Position)>,
        back_by: Microseconds,
        nodes: usize,
    ) {
        core.into_iter()
            .for_each(|told| self.violation("log", told));
        let lost: Vec<String> = self
            .accepted
            .iter()
            .filter(|(_, position, version, id)| {
                story.get(version) != Some(&(id.clone(), *position))
            })
            .map(|(_, _, version, id)| {
                format!("{id} at version {version} was accepted and is not in the log")
            })
            .collect();
        lost.into_iter()
            .for_each(|told| self.violation("vanished", told));
        let late: Vec<String> = ["seat", "desk"]
            .iter()
            .filter(|service| self.served_at.get(**service).is_none_or(|at| *at < back_by))
            .map(|service| service.to_string())
            .collect();
        late.into_iter().for_each(|told| {
            self.violation("back", format!("{told} is not served after all faults"))
        });
        let mut clashes = Vec::new();
        self.spans.iter_mut().for_each(|((service, key), spans)| {
            spans.sort();
            let mut latest = (0, usize::MAX);
            spans.iter().for_each(|(from, to, who)| {
                if latest.1 != usize::MAX && latest.1 != *who {
                    self.moves += 1;
                }
                if *from < latest.0 && *who != latest.1 {
                    clashes.push(format!(
                        "{service} {key} at {from} by {who} and {}",
                        latest.1
                    ));
                }
                if *to > latest.0 {
                    latest = (*to, *who);
                }
            });
        });
        clashes
            .into_iter()
            .for_each(|told| self.violation("two-holders", told));
        let inside = |times: &[Microseconds], from: Microseconds| {
            times
                .iter()
                .filter(|time| (from..from + BUDGET_WINDOW_US).contains(time))
                .count()
        };
        let over: Vec<String> = self
            .retry_times
            .iter()
            .flat_map(|(service, spent)| {
                let firsts = self
                    .first_attempts
                    .get(service)
                    .map(Vec::as_slice)
                    .unwrap_or_default();
                spent
                    .iter()
                    .filter(move |from| inside(spent, **from) > inside(firsts, **from) / 5 + nodes)
                    .map(move |from| format!("{service} from {from}"))
            })
            .collect();
        over.into_iter()
            .for_each(|told| self.violation("extras", told));
    }
}
