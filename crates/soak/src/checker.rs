//! Checks the records of a run: acknowledged changes must be in force in time and must not be reverted.
//!
//! A machine, or the core as a whole, counts as settled once it has been undisturbed for
//! [`Bounds::quiet`]. Late changes are violations only at nodes that are settled and while a majority
//! of the core machines runs.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Micros;
use crate::history::{
    BatchRequest, CallRecord, ConfigurationRead, Effect, EventKind, Finding, MachineEvent, Probe,
    Records, RequestEnd, RouteHistory, RouteVersion,
};
use crate::site::{Bounds, Machine};

/// The status of an answer to a request that may have run and whose answer was lost.
const BAD_GATEWAY: u16 = 502;

/// A violation of a rule, with the observation that shows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A settled node gave an answer that only a superseded version allows.
    NotInForce {
        /// The request.
        probe: Probe,
        /// The oldest acknowledged version that should have been in force and wasn't.
        version: u64,
        /// Time from the acknowledgement of that version until the request was sent.
        lateness: Micros,
    },
    /// A process showed an older version after a newer one.
    Reverted {
        /// The request.
        probe: Probe,
        /// The version that the process had shown before.
        shown: u64,
    },
    /// A route that is in every configuration of the run was answered with 404.
    StableRouteRefused {
        /// The request.
        probe: Probe,
    },
    /// A read returned an older version than had been acknowledged before the read was sent.
    StaleRead {
        /// The core machine that answered.
        core: usize,
        /// When the read was sent.
        sent_at: Micros,
        /// Name of the route.
        route: String,
        /// The version in the answer, if the route is in it.
        read: Option<u64>,
        /// The latest version that had been acknowledged.
        acknowledged: u64,
    },
    /// A valid call was not acknowledged in time although the core was settled.
    NotAcknowledged {
        /// The call.
        call: CallRecord,
        /// Longest continuous time for which the call waited while the core was settled.
        waited: Micros,
    },
    /// The connection of a request ended without a complete answer while its node was being stopped.
    CutWhileStopping {
        /// The request.
        request: BatchRequest,
        /// When the node was sent SIGTERM.
        terminated_at: Micros,
    },
    /// A request was broken off, or cut, while no machine had been disturbed for a while.
    BrokenOffInCalm {
        /// The request.
        request: BatchRequest,
    },
    /// A violation detected during the run.
    Recorded(Finding),
}

/// The result of checking a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// All violations.
    pub violations: Vec<Violation>,
    /// Number of requests that showed a superseded version later than [`Bounds::apply`] allows while no
    /// bound was in effect: the node was not settled, or no majority of the core machines ran.
    pub late_without_bound: usize,
    /// Longest time after an acknowledgement at which a request was still answered by a superseded
    /// version, counting only requests for which a bound was in effect.
    pub longest_lateness: Micros,
    /// Number of requests that were checked.
    pub probes: usize,
    /// Number of reads that were checked.
    pub reads: usize,
    /// Number of requests to the batch service that ended while their node was being stopped.
    pub ended_while_stopping: usize,
}

/// Checks the records of a run against the bounds.
pub fn check(records: &Records, bounds: &Bounds, core_count: usize) -> Verdict {
    let disturbances = Disturbances::from_events(&records.events, bounds, core_count);
    let mut verdict = Verdict {
        probes: records.probes.len(),
        reads: records.reads.len(),
        ..Verdict::default()
    };
    let findings = records.findings.iter().cloned().map(Violation::Recorded);
    verdict.violations.extend(findings);
    for probe in &records.probes {
        if let Some(route) = records.routes.get(&probe.route) {
            check_probe(&mut verdict, probe, route, bounds, &disturbances);
        }
    }
    check_reversions(&mut verdict, records, bounds);
    for request in &records.batch_requests {
        check_batch_request(&mut verdict, request, &records.events, bounds);
    }
    for call in &records.calls {
        check_call(&mut verdict, *call, bounds, &disturbances, records.ended_at);
    }
    for read in &records.reads {
        check_read(&mut verdict, read, &records.routes);
    }
    verdict
}

fn check_probe(
    verdict: &mut Verdict,
    probe: &Probe,
    route: &RouteHistory,
    bounds: &Bounds,
    disturbances: &Disturbances,
) {
    if route.is_stable && probe.effect == Effect::Absent {
        let probe = probe.clone();
        verdict
            .violations
            .push(Violation::StableRouteRefused { probe });
        return;
    }
    let Some(superseding) = find_superseding_version(probe, route) else {
        return;
    };
    let lateness = probe.sent_at - superseding.acknowledged_at.unwrap_or(probe.sent_at);
    let Some(allowed) = disturbances.allowed_lateness(probe, bounds) else {
        verdict.late_without_bound += usize::from(lateness > bounds.apply);
        return;
    };
    verdict.longest_lateness = verdict.longest_lateness.max(lateness);
    if lateness > allowed {
        verdict.violations.push(Violation::NotInForce {
            probe: probe.clone(),
            version: superseding.version,
            lateness,
        });
    }
}

/// Returns the oldest acknowledged version that the answer shows not to be in force, if there is one:
/// neither it nor any later version that may have been in force has the effect that the answer shows.
fn find_superseding_version(probe: &Probe, route: &RouteHistory) -> Option<RouteVersion> {
    let may_have_effect = |from: usize| {
        let versions = route.versions[from..].iter();
        let sent = versions.take_while(|version| version.sent_at <= probe.answered_at);
        sent.into_iter()
            .any(|version| version.effect == probe.effect)
    };
    let acknowledged_before = |version: &RouteVersion| {
        version
            .acknowledged_at
            .is_some_and(|at| at <= probe.sent_at)
    };
    let newest = route.versions.iter().rposition(acknowledged_before)?;
    if may_have_effect(newest) {
        return None;
    }
    // The first acknowledged version after the latest one that has this effect.
    let shown = route.versions[..newest]
        .iter()
        .rposition(|version| version.effect == probe.effect);
    let first = shown.map_or(0, |shown| shown + 1);
    let mut candidates = route.versions[first..=newest].iter();
    candidates
        .find(|version| acknowledged_before(version))
        .copied()
}

fn check_call(
    verdict: &mut Verdict,
    call: CallRecord,
    bounds: &Bounds,
    disturbances: &Disturbances,
    run_ended_at: Micros,
) {
    let until = call.acknowledged_at.unwrap_or(run_ended_at);
    let waited = disturbances.longest_settled_period(call.sent_at, until);
    let allowed = bounds.acknowledge + bounds.acknowledge_per_route * call.routes as Micros;
    if waited > allowed {
        verdict
            .violations
            .push(Violation::NotAcknowledged { call, waited });
    }
}

fn check_batch_request(
    verdict: &mut Verdict,
    request: &BatchRequest,
    events: &[MachineEvent],
    bounds: &Bounds,
) {
    let terminated_at = stopped_by(request, events, bounds);
    verdict.ended_while_stopping += usize::from(terminated_at.is_some());
    // A request may cross the closing of its connection, and is then not read by the node.
    let may_have_crossed = request.ended_at - request.sent_at <= bounds.loss_slack;
    let is_cut = request.end == RequestEnd::Cut && !may_have_crossed;
    if let (Some(terminated_at), true) = (terminated_at, is_cut) {
        verdict.violations.push(Violation::CutWhileStopping {
            request: request.clone(),
            terminated_at,
        });
    }
    let is_broken_off = is_cut || request.end == RequestEnd::Answered(BAD_GATEWAY);
    let calm_since = request.sent_at.saturating_sub(bounds.quiet);
    let mut during = events
        .iter()
        .filter(|event| (calm_since..=request.ended_at).contains(&event.at));
    if is_broken_off && during.next().is_none() {
        verdict.violations.push(Violation::BrokenOffInCalm {
            request: request.clone(),
        });
    }
}

/// Returns when the request's node was sent SIGTERM, if the request ended between then and the end
/// of `grace`, and the node had no other trouble from `quiet` before the request on.
fn stopped_by(request: &BatchRequest, events: &[MachineEvent], bounds: &Bounds) -> Option<Micros> {
    let since = request.sent_at.saturating_sub(bounds.quiet);
    let own = events.iter().filter(|event| {
        event.machine == Machine::Node(request.node)
            && (since..=request.ended_at).contains(&event.at)
            && event.kind != EventKind::BackendEnded
    });
    let mut terminated_at = None;
    for event in own {
        match event.kind {
            EventKind::Terminated => terminated_at = Some(event.at),
            // The process ended by itself, and its slot is cleared after that.
            EventKind::Exited if terminated_at.is_some() => break,
            EventKind::Reloaded => {}
            _ => return None,
        }
    }
    terminated_at.filter(|at| request.ended_at <= at + bounds.grace)
}

fn check_reversions(verdict: &mut Verdict, records: &Records, bounds: &Bounds) {
    let mut by_process: BTreeMap<(usize, usize, &str), Vec<&Probe>> = BTreeMap::new();
    for probe in &records.probes {
        let incarnation = incarnation_at(&records.events, probe.node, probe.sent_at);
        let key = (probe.node, incarnation, probe.route.as_str());
        by_process.entry(key).or_default().push(probe);
    }
    for ((_, _, route), mut probes) in by_process {
        let Some(route) = records.routes.get(route) else {
            continue;
        };
        probes.sort_by_key(|probe| probe.answered_at);
        check_process_reversions(verdict, &probes, route, bounds);
    }
}

/// Counts the starts of a node up to a time.
fn incarnation_at(events: &[MachineEvent], node: usize, at: Micros) -> usize {
    let starts = events.iter().filter(|event| {
        event.machine == Machine::Node(node) && event.kind == EventKind::Started && event.at <= at
    });
    starts.count()
}

fn check_process_reversions(
    verdict: &mut Verdict,
    probes: &[&Probe],
    route: &RouteHistory,
    bounds: &Bounds,
) {
    // Index of the oldest version that the process can hold after each answer, in order of answers.
    let mut shown: Vec<(Micros, usize)> = Vec::new();
    for probe in probes {
        let established = shown
            .iter()
            .rev()
            .find(|(answered_at, _)| answered_at + bounds.revert_slack < probe.sent_at);
        let minimum = established.map_or(0, |(_, index)| *index);
        let possible = (minimum..route.versions.len()).find(|index| {
            let version = &route.versions[*index];
            version.effect == probe.effect && version.sent_at <= probe.answered_at
        });
        match possible {
            Some(index) => {
                let highest = shown.last().map_or(index, |(_, last)| index.max(*last));
                shown.push((probe.answered_at, highest));
            }
            None if established.is_some() => verdict.violations.push(Violation::Reverted {
                probe: (*probe).clone(),
                shown: route.versions[minimum].version,
            }),
            None => {}
        }
    }
}

fn check_read(
    verdict: &mut Verdict,
    read: &ConfigurationRead,
    routes: &BTreeMap<String, RouteHistory>,
) {
    for (name, route) in routes {
        let acknowledged = route
            .versions
            .iter()
            .rfind(|version| version.acknowledged_at.is_some_and(|at| at <= read.sent_at));
        let Some(acknowledged) = acknowledged else {
            continue;
        };
        let answered = read.versions.get(name).copied();
        let dropped_later = || {
            let mut versions = route.versions.iter();
            versions.any(|version| {
                version.version >= acknowledged.version
                    && version.effect == Effect::Absent
                    && version.sent_at <= read.answered_at
            })
        };
        let is_fine = match answered {
            Some(version) => version >= acknowledged.version,
            None => dropped_later(),
        };
        if !is_fine {
            verdict.violations.push(Violation::StaleRead {
                core: read.core,
                sent_at: read.sent_at,
                route: name.clone(),
                read: answered,
                acknowledged: acknowledged.version,
            });
        }
    }
}

/// A disturbance of a node.
struct NodeEvent {
    at: Micros,
    /// Whether the process runs after the event.
    is_running: bool,
}

/// Disturbances of machines during the run, which determine when nodes and the core were settled.
struct Disturbances {
    quiet: Micros,
    core_rest: Micros,
    node_events: BTreeMap<usize, Vec<NodeEvent>>,
    core_events: Vec<Micros>,
    /// Number of core machines that run from a time on, in order of time.
    running_cores: Vec<(Micros, usize)>,
    core_count: usize,
}

/// Returns the number of core machines that run from a time on, in order of time. A machine that
/// replaces another one counts once it has had the time to catch up.
fn running_cores(
    events: &[MachineEvent],
    bounds: &Bounds,
    core_count: usize,
) -> Vec<(Micros, usize)> {
    let mut changes: Vec<(Micros, usize, CoreChange)> = Vec::new();
    let mut members: BTreeSet<usize> = (0..core_count).collect();
    for event in events {
        let Machine::Core(core) = event.machine else {
            continue;
        };
        let change = match event.kind {
            EventKind::Killed | EventKind::Terminated | EventKind::Frozen => CoreChange::Stopped,
            EventKind::Started | EventKind::Resumed => CoreChange::Running,
            _ => continue,
        };
        changes.push((event.at, core, change));
        if change == CoreChange::Running && members.insert(core) {
            changes.push((event.at + bounds.catch_up, core, CoreChange::CaughtUp));
        }
    }
    changes.sort_by_key(|(at, _, _)| *at);
    let mut running: BTreeSet<usize> = (0..core_count).collect();
    let mut caught_up = running.clone();
    let mut counts = vec![(0, core_count)];
    for (at, core, change) in changes {
        match change {
            CoreChange::Running => running.insert(core),
            CoreChange::Stopped => running.remove(&core),
            CoreChange::CaughtUp => caught_up.insert(core),
        };
        counts.push((at, running.intersection(&caught_up).count()));
    }
    counts
}

/// What happened to a core machine.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CoreChange {
    Running,
    Stopped,
    /// A new machine has had the time to become a member.
    CaughtUp,
}

impl Disturbances {
    fn from_events(events: &[MachineEvent], bounds: &Bounds, core_count: usize) -> Disturbances {
        let mut disturbances = Disturbances {
            quiet: bounds.quiet,
            core_rest: bounds.core_rest,
            node_events: BTreeMap::new(),
            core_events: Vec::new(),
            running_cores: running_cores(events, bounds, core_count),
            core_count,
        };
        for event in events {
            // A process that exits on its own counts as running until its restart, which is an event of its
            // own. Neither SIGHUP nor the end of a backend disturbs a machine.
            if matches!(
                event.kind,
                EventKind::Exited | EventKind::Reloaded | EventKind::BackendEnded
            ) {
                continue;
            }
            match event.machine {
                Machine::Node(node) => {
                    let is_down = matches!(event.kind, EventKind::Frozen | EventKind::Killed);
                    disturbances
                        .node_events
                        .entry(node)
                        .or_default()
                        .push(NodeEvent {
                            at: event.at,
                            is_running: !is_down,
                        });
                }
                Machine::Core(_) => disturbances.core_events.push(event.at),
            }
        }
        disturbances
    }

    /// Returns how long after an acknowledgement the request may still be answered by a superseded
    /// version; `None` if the node wasn't settled or no majority of the core machines ran.
    fn allowed_lateness(&self, probe: &Probe, bounds: &Bounds) -> Option<Micros> {
        if !self.node_is_settled(probe.node, probe.sent_at) {
            return None;
        }
        let since = probe
            .sent_at
            .saturating_sub(bounds.apply + bounds.stretch_max);
        let majority_ran = self.majority_ran(since, probe.sent_at);
        let settled = self.core_is_settled(probe.sent_at);
        match (settled, majority_ran) {
            (true, true) => Some(bounds.apply),
            (false, true) => Some(bounds.apply + bounds.stretch_max),
            (_, false) => None,
        }
    }

    /// Returns whether a node is settled. A node whose process is stopped or killed is not, however long
    /// ago that was.
    fn node_is_settled(&self, node: usize, at: Micros) -> bool {
        let events = self.node_events.get(&node);
        let last = events.and_then(|events| events.iter().rfind(|event| event.at <= at));
        last.is_none_or(|event| event.is_running && event.at + self.quiet <= at)
    }

    fn core_is_settled(&self, at: Micros) -> bool {
        let last = self.core_events.iter().rfind(|event| **event <= at);
        last.is_none_or(|event| event + self.core_rest <= at)
    }

    /// Returns the longest continuous time between `from` and `to` in which the core was settled and a
    /// majority of its machines ran.
    fn longest_settled_period(&self, from: Micros, to: Micros) -> Micros {
        let within = self.core_events.iter().filter(|at| **at <= to);
        let starts = within.map(|at| at + self.core_rest);
        let periods = std::iter::once(from).chain(starts).map(|begin| {
            let begin = begin.max(from);
            let next_event = self.core_events.iter().find(|at| **at > begin);
            let end = next_event.map_or(to, |at| (*at).min(to));
            let settled =
                end > begin && self.core_is_settled(begin) && self.majority_ran(begin, end);
            if settled { end - begin } else { 0 }
        });
        periods.max().unwrap_or(0)
    }

    fn majority_ran(&self, from: Micros, to: Micros) -> bool {
        let before = self.running_cores.iter().rfind(|(at, _)| *at <= from);
        let within = self
            .running_cores
            .iter()
            .filter(|(at, _)| *at > from && *at <= to);
        let mut counts = before.into_iter().chain(within);
        counts.all(|(_, running)| running * 2 > self.core_count)
    }
}
