//! Sends a node's reports to the log: one entry at a time, which is resent unchanged until it is answered
//! (design 5.8, 11.2).

use super::harness::{Event, LeaseHarness};
use model::cluster_state::{BackendRecord, ClusterReport};
use model::{BackendPhase, Microseconds, Outcome, Position};
use std::collections::VecDeque;

/// The part of a node that issued a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ReportSource {
    LeaseTable,
    Placement,
}

/// Reports to the log: the queue, and the entry in flight with its sequence number.
#[derive(Default)]
pub(super) struct Outbox {
    pub sequence: u64,
    pub queue: VecDeque<(ReportSource, Vec<ClusterReport>)>,
    pub in_flight: Option<(ReportSource, Vec<ClusterReport>)>,
    pub notifying: bool,
    /// Position and time before which the lease table sends no more reports. Until the node reaches that position, it would
    /// derive the same reports again.
    pub resend_not_before: Option<(Position, Microseconds)>,
}

impl super::node::Node {
    /// Returns the reports for all differences between the state of this node and the log.
    fn needed_reports(&self, plan: &super::LeasePlan, now: Microseconds) -> Vec<ClusterReport> {
        let (record, incarnation) = (self.state.nodes.get(&self.name), self.incarnation());
        let registered =
            record.is_some_and(|record| record.incarnation == incarnation && record.present);
        let replaces = record
            .filter(|_| !plan.disabled.registration)
            .map_or(0, |record| record.incarnation);
        let node = ClusterReport::NodeRegistered {
            node: self.name.clone(),
            zone: "z0".into(),
            address: self.name.clone(),
            incarnation,
            replaces,
        };
        let backend_reports = self
            .backend
            .iter()
            .filter(|local_backend| !self.ended.contains_key(&local_backend.heartbeat.name))
            .flat_map(|local_backend| {
                let name = local_backend.heartbeat.name.clone();
                let phase = self.state.backends.get(&name).map(|record| record.phase);
                let backend = BackendRecord {
                    service: local_backend.heartbeat.service.clone(),
                    zone: "z0".into(),
                    node: self.name.clone(),
                    slots: local_backend.heartbeat.slots,
                    phase: phase.unwrap_or(BackendPhase::Registered),
                    changed_at: 0,
                };
                let joined = (phase.is_none() && !local_backend.silent).then(|| {
                    ClusterReport::BackendJoined {
                        name: name.clone(),
                        backend,
                    }
                });
                let silent = phase == Some(BackendPhase::Registered) && local_backend.silent
                    || phase == Some(BackendPhase::PresumedGone) && !local_backend.silent;
                let silent = silent.then(|| ClusterReport::BackendSilent {
                    name: name.clone(),
                    silent: local_backend.silent,
                });
                let draining = (local_backend.drained
                    && phase.is_none_or(|phase| phase == BackendPhase::Registered))
                .then_some(ClusterReport::BackendDraining { name });
                [joined, silent, draining].into_iter().flatten()
            });
        let already_reported = |name: &str, confirmed: bool| {
            !confirmed
                && !plan.disabled.end_reported_once
                && !self.state.backends.contains_key(name)
        };
        let end_reports = self
            .ended
            .iter()
            .filter(|(name, confirmed)| !already_reported(name, **confirmed))
            .map(|(name, confirmed)| ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *confirmed,
            });
        let unknown_reports = self
            .unknown_backends(now > self.started_at + plan.heartbeat_interval * 3)
            .into_iter()
            .filter(|_| !plan.disabled.unknown_backends);
        (!registered)
            .then_some(node)
            .into_iter()
            .chain(self.pending_reports.clone())
            .chain(backend_reports)
            .chain(end_reports)
            .chain(unknown_reports)
            .collect()
    }

    /// Returns reports on other backends that the log lists at this node. A machine has one backend, so each of them is
    /// either an earlier incarnation or one that has not sent a heartbeat yet.
    fn unknown_backends(&self, grace_period_over: bool) -> Vec<ClusterReport> {
        let own_name = self
            .backend
            .as_ref()
            .map(|local_backend| local_backend.heartbeat.name.as_str());
        let listed_here = self.state.backends.iter().filter(|(name, backend)| {
            backend.node == self.name && own_name != Some(name) && !self.ended.contains_key(*name)
        });
        let certain = self.backend.as_ref().is_some_and(|local_backend| {
            local_backend.has_repeated_heartbeats
                || !self
                    .state
                    .backends
                    .contains_key(&local_backend.heartbeat.name)
        });
        listed_here
            .filter_map(|(name, backend)| match own_name {
                Some(_) => certain.then(|| ClusterReport::BackendEnded {
                    name: name.clone(),
                    process_gone: true,
                }),
                None => {
                    (grace_period_over && backend.phase == BackendPhase::Registered).then(|| {
                        ClusterReport::BackendSilent {
                            name: name.clone(),
                            silent: true,
                        }
                    })
                }
            })
            .collect()
    }
}

impl LeaseHarness {
    pub(super) fn notify(&mut self, index: usize) {
        let (now, clock) = (self.now, self.clock(index));
        let node = &mut self.nodes[index];
        node.outbox
            .resend_not_before
            .take_if(|(position, until)| node.state.position >= *position || now >= *until);
        if node.outbox.notifying || node.outbox.resend_not_before.is_some() || node.proved_at == 0 {
            return;
        }
        let reports = node.needed_reports(&self.plan, clock);
        if !reports.is_empty() {
            node.outbox.notifying = true;
            node.reported_ended
                .extend(reports.iter().filter_map(|report| {
                    if let ClusterReport::BackendEnded { name, .. } = report {
                        Some(name.clone())
                    } else {
                        None
                    }
                }));
            self.enqueue(index, ReportSource::LeaseTable, reports);
        }
    }

    pub(super) fn enqueue(
        &mut self,
        index: usize,
        source: ReportSource,
        reports: Vec<ClusterReport>,
    ) {
        self.nodes[index].outbox.queue.push_back((source, reports));
        self.send_next(index);
    }

    fn send_next(&mut self, index: usize) {
        let outbox = &mut self.nodes[index].outbox;
        if outbox.in_flight.is_some() {
            return;
        }
        outbox.in_flight = outbox.queue.pop_front();
        if outbox.in_flight.is_some() {
            outbox.sequence += 1;
            let sequence = outbox.sequence;
            self.send_entry(index, sequence);
        }
    }

    /// Sends the entry in flight, and schedules the next send with the same sequence number.
    pub(super) fn send_entry(&mut self, index: usize, sequence: u64) {
        let node = &self.nodes[index];
        let Some((_, reports)) = node
            .outbox
            .in_flight
            .clone()
            .filter(|_| node.outbox.sequence == sequence)
        else {
            return;
        };
        let (start_number, lost) = (node.start_number, node.cut_from_log || node.reports_lost);
        if !lost {
            self.schedule_within(
                (500, 20_000),
                Event::EntryArrives(index, start_number, sequence, reports),
            );
        }
        self.schedule_within(
            (700_000, 720_000),
            Event::ResendEntry(index, start_number, sequence),
        );
    }

    pub(super) fn entry_arrives(
        &mut self,
        index: usize,
        start_number: u64,
        sequence: u64,
        reports: Vec<ClusterReport>,
    ) {
        let outcome = self.append((
            self.nodes[index].name.clone(),
            super::node::incarnation(&self.nodes[index].name, start_number),
            sequence,
            reports,
        ));
        let answer_arrives = !self.nodes[index].cut_from_log && !self.nodes[index].reports_lost;
        outcome
            .filter(|_| answer_arrives)
            .into_iter()
            .for_each(|outcome| {
                self.schedule_within(
                    (500, 20_000),
                    Event::EntryAnswered(index, start_number, sequence, outcome),
                )
            });
    }

    pub(super) fn append(&mut self, entry: super::log::LogEntry) -> Option<Outcome> {
        if self.log.unavailable_until > self.now {
            return None;
        }
        let outcome = self.log.order(self.now, entry);
        (0..self.log.replicas.len()).for_each(|replica| {
            self.schedule_within((200, 15_000), Event::ReplicaApplies(replica))
        });
        Some(outcome)
    }

    pub(super) fn entry_answered(&mut self, index: usize, sequence: u64, outcome: Outcome) {
        let now = self.now;
        let outbox = &mut self.nodes[index].outbox;
        let Some((source, reports)) = outbox.in_flight.take_if(|_| outbox.sequence == sequence)
        else {
            return;
        };
        let accepted_at = match outcome {
            Outcome::Accepted { position, .. } => Some(position),
            _ => None,
        };
        let node = &mut self.nodes[index];
        match source {
            ReportSource::LeaseTable => {
                node.outbox.notifying = false;
                node.outbox.resend_not_before =
                    accepted_at.map(|position| (position, now + 500_000));
                node.pending_reports
                    .retain(|report| !reports.contains(report));
                node.ended.retain(|name, confirmed| {
                    !(*confirmed
                        && reports.contains(&ClusterReport::BackendEnded {
                            name: name.clone(),
                            process_gone: true,
                        }))
                });
            }
            ReportSource::Placement => node.placement.answered(accepted_at, now),
        }
        self.send_next(index);
        self.notify(index);
    }
}
