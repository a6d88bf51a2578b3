//! Judges the records of a run: is a confirmed change in force in time, and does nothing go back?

use std::collections::BTreeMap;

use crate::clock::Micros;
use crate::history::{
    CallRecord, ConfigurationRead, Effect, EventKind, Finding, MachineEvent, Probe, Records,
    RouteHistory, RouteVersion,
};
use crate::site::{Bounds, Machine};

/// A rule that was broken, with what shows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A machine in touch answered as only an overtaken version allows.
    NotInForce {
        /// The request.
        probe: Probe,
        /// The newest version that had to be in force.
        version: u64,
        /// How long after its acknowledgement the request was sent.
        lateness: Micros,
    },
    /// A process showed a newer version before.
    WentBack {
        /// The request.
        probe: Probe,
        /// The version that it showed before.
        shown: u64,
    },
    /// A route that all configurations of the run have was refused with 404.
    StableRouteRefused {
        /// The request.
        probe: Probe,
    },
    /// A read answered with an older version than was acknowledged before it was sent.
    OlderRead {
        /// The core machine that answered.
        core: usize,
        /// When it was asked.
        sent_at: Micros,
        /// The route.
        route: String,
        /// The version that was answered, if any.
        read: Option<u64>,
        /// The version that had been acknowledged.
        acknowledged: u64,
    },
    /// A valid call was not acknowledged in time, though the core was calm.
    NotAcknowledged {
        /// The call.
        call: CallRecord,
        /// How long it waited in one calm stretch.
        waited: Micros,
    },
    /// Seen while the run was on.
    Found(Finding),
}

/// What the records of a run come to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Requests that were late by the same measure at machines that were not in touch.
    pub late_out_of_touch: usize,
    /// The longest time after an acknowledgement at which a request at a machine in touch was still
    /// answered by an overtaken version.
    pub longest_lateness: Micros,
    /// Requests that were judged.
    pub probes: usize,
    /// Reads that were judged.
    pub reads: usize,
}

/// Judges a run.
pub fn check(records: &Records, bounds: &Bounds, core_count: usize) -> Verdict {
    let calm = CalmTimes::of(&records.events, bounds, core_count);
    let mut verdict = Verdict {
        probes: records.probes.len(),
        reads: records.reads.len(),
        ..Verdict::default()
    };
    let findings = records.findings.iter().cloned().map(Violation::Found);
    verdict.violations.extend(findings);
    for probe in &records.probes {
        if let Some(route) = records.routes.get(&probe.route) {
            check_probe(&mut verdict, probe, route, bounds, &calm);
        }
    }
    check_no_way_back(&mut verdict, records, bounds);
    for call in &records.calls {
        check_call(&mut verdict, *call, bounds, &calm, records.ended_at);
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
    calm: &CalmTimes,
) {
    if route.is_stable && probe.effect == Effect::Absent {
        let probe = probe.clone();
        verdict
            .violations
            .push(Violation::StableRouteRefused { probe });
        return;
    }
    let Some(overtaken) = overtaken_by(probe, route) else {
        return;
    };
    let lateness = probe.sent_at - overtaken.acknowledged_at.unwrap_or(probe.sent_at);
    let Some(allowed) = calm.allowed_lateness(probe, bounds) else {
        verdict.late_out_of_touch += usize::from(lateness > bounds.apply);
        return;
    };
    verdict.longest_lateness = verdict.longest_lateness.max(lateness);
    if lateness > allowed {
        verdict.violations.push(Violation::NotInForce {
            probe: probe.clone(),
            version: overtaken.version,
            lateness,
        });
    }
}

/// The oldest acknowledged version that the answer shows not to be in force: every version from it
/// on that may have been in force allows another effect only.
fn overtaken_by(probe: &Probe, route: &RouteHistory) -> Option<RouteVersion> {
    let may_show = |from: usize| {
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
    if may_show(newest) {
        return None;
    }
    // The first acknowledged version after the latest one that shows this effect.
    let shown = route.versions[..newest]
        .iter()
        .rposition(|version| version.effect == probe.effect);
    let first = shown.map_or(0, |shown| shown + 1);
    let mut overtaking = route.versions[first..=newest].iter();
    overtaking
        .find(|version| acknowledged_before(version))
        .copied()
}

fn check_call(
    verdict: &mut Verdict,
    call: CallRecord,
    bounds: &Bounds,
    calm: &CalmTimes,
    run_ended_at: Micros,
) {
    let until = call.acknowledged_at.unwrap_or(run_ended_at);
    let waited = calm.longest_calm_stretch(call.sent_at, until);
    let allowed = bounds.acknowledge + bounds.acknowledge_per_route * call.routes as Micros;
    if waited > allowed {
        verdict
            .violations
            .push(Violation::NotAcknowledged { call, waited });
    }
}

fn check_no_way_back(verdict: &mut Verdict, records: &Records, bounds: &Bounds) {
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
        check_one_process(verdict, &probes, route, bounds);
    }
}

/// How often a node was started before a time.
fn incarnation_at(events: &[MachineEvent], node: usize, at: Micros) -> usize {
    let starts = events.iter().filter(|event| {
        event.machine == Machine::Node(node) && event.kind == EventKind::Started && event.at <= at
    });
    starts.count()
}

fn check_one_process(
    verdict: &mut Verdict,
    probes: &[&Probe],
    route: &RouteHistory,
    bounds: &Bounds,
) {
    // The oldest version that the process can hold after each answer, in the order of answers.
    let mut shown: Vec<(Micros, usize)> = Vec::new();
    for probe in probes {
        let settled = shown
            .iter()
            .rev()
            .find(|(answered_at, _)| answered_at + bounds.revert_slack < probe.sent_at);
        let least = settled.map_or(0, |(_, index)| *index);
        let possible = (least..route.versions.len()).find(|index| {
            let version = &route.versions[*index];
            version.effect == probe.effect && version.sent_at <= probe.answered_at
        });
        match possible {
            Some(index) => {
                let highest = shown.last().map_or(index, |(_, last)| index.max(*last));
                shown.push((probe.answered_at, highest));
            }
            None if settled.is_some() => verdict.violations.push(Violation::WentBack {
                probe: (*probe).clone(),
                shown: route.versions[least].version,
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
            verdict.violations.push(Violation::OlderRead {
                core: read.core,
                sent_at: read.sent_at,
                route: name.clone(),
                read: answered,
                acknowledged: acknowledged.version,
            });
        }
    }
}

/// Something that takes a node out of touch.
struct NodeEvent {
    at: Micros,
    /// Whether the process runs from then on.
    runs: bool,
}

/// When machines were left alone for long enough.
struct CalmTimes {
    quiet: Micros,
    node_events: BTreeMap<usize, Vec<NodeEvent>>,
    core_events: Vec<Micros>,
    /// From when on how many core machines ran.
    running_cores: Vec<(Micros, usize)>,
    core_count: usize,
}

impl CalmTimes {
    fn of(events: &[MachineEvent], bounds: &Bounds, core_count: usize) -> CalmTimes {
        let mut calm = CalmTimes {
            quiet: bounds.quiet,
            node_events: BTreeMap::new(),
            core_events: Vec::new(),
            running_cores: vec![(0, core_count)],
            core_count,
        };
        let mut stopped: BTreeMap<usize, bool> = BTreeMap::new();
        for event in events {
            // A process that ends by itself counts as running, and its start is its own doing.
            if event.kind == EventKind::EndedByItself {
                continue;
            }
            match event.machine {
                // SIGHUP does not take a machine out of touch.
                Machine::Node(_) if event.kind == EventKind::Reloaded => {}
                Machine::Node(node) => {
                    let stands_still = matches!(event.kind, EventKind::Frozen | EventKind::Killed);
                    calm.node_events.entry(node).or_default().push(NodeEvent {
                        at: event.at,
                        runs: !stands_still,
                    });
                }
                Machine::Core(core) => {
                    if event.kind != EventKind::Reloaded {
                        calm.core_events.push(event.at);
                    }
                    match event.kind {
                        EventKind::Killed | EventKind::Terminated | EventKind::Frozen => {
                            stopped.insert(core, true);
                        }
                        EventKind::Started | EventKind::Thawed => {
                            stopped.insert(core, false);
                        }
                        _ => {}
                    }
                    let away = stopped.values().filter(|stopped| **stopped).count();
                    let running = core_count.saturating_sub(away);
                    calm.running_cores.push((event.at, running));
                }
            }
        }
        calm
    }

    /// How late a request may be answered by an overtaken version; `None` for machines that are not
    /// in touch.
    fn allowed_lateness(&self, probe: &Probe, bounds: &Bounds) -> Option<Micros> {
        if !self.node_is_calm(probe.node, probe.sent_at) {
            return None;
        }
        let since = probe
            .sent_at
            .saturating_sub(bounds.apply + bounds.stretch_max);
        let majority_ran = self.most_cores_ran(since, probe.sent_at);
        let settled = self.core_is_calm(probe.sent_at);
        match (settled, majority_ran) {
            (true, true) => Some(bounds.apply),
            (false, true) => Some(bounds.apply + bounds.stretch_max),
            (_, false) => None,
        }
    }

    /// A node that stands still is not in touch, however long ago it was stopped.
    fn node_is_calm(&self, node: usize, at: Micros) -> bool {
        let events = self.node_events.get(&node);
        let last = events.and_then(|events| events.iter().rfind(|event| event.at <= at));
        last.is_none_or(|event| event.runs && event.at + self.quiet <= at)
    }

    fn core_is_calm(&self, at: Micros) -> bool {
        let last = self.core_events.iter().rfind(|event| **event <= at);
        last.is_none_or(|event| event + self.quiet <= at)
    }

    /// The longest time within these in which the core was calm and a majority of it ran.
    fn longest_calm_stretch(&self, from: Micros, to: Micros) -> Micros {
        let within = self.core_events.iter().filter(|at| **at <= to);
        let begins = within.map(|at| at + self.quiet);
        let stretches = std::iter::once(from).chain(begins).map(|begin| {
            let begin = begin.max(from);
            let next_event = self.core_events.iter().find(|at| **at > begin);
            let end = next_event.map_or(to, |at| (*at).min(to));
            let calm = end > begin && self.core_is_calm(begin) && self.most_cores_ran(begin, end);
            if calm { end - begin } else { 0 }
        });
        stretches.max().unwrap_or(0)
    }

    fn most_cores_ran(&self, from: Micros, to: Micros) -> bool {
        let before = self.running_cores.iter().rfind(|(at, _)| *at <= from);
        let within = self
            .running_cores
            .iter()
            .filter(|(at, _)| *at > from && *at <= to);
        let mut counts = before.into_iter().chain(within);
        counts.all(|(_, running)| running * 2 > self.core_count)
    }
}
