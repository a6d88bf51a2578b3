//! What a node tells the log: one entry at a time, the same until it is answered (design 5.8, 11.2).

use super::harness::{Event, LeaseHarness};
use model::cluster_state::{BackendRecord, ClusterReport};
use model::{BackendPhase, Microseconds, Outcome, Position};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ReportSource {
    LeaseTable,
    Placement,
}

/// Reports on their way: the one that is out, by number, and who waits for the log to have come so far.
#[derive(Default)]
pub(super) struct Outbox {
    pub sequence: u64,
    pub queue: VecDeque<(ReportSource, Vec<ClusterReport>)>,
    pub in_flight: Option<(ReportSource, Vec<ClusterReport>)>,
    pub notifying: bool,
    /// Until the news of it is here, or this long, the same would be wanted again.
    pub resend_not_before: Option<(Position, Microseconds)>,
}

impl super::node::Node {
    /// All that differs between what is so here and what the log says.
    fn wanted_reports(&self, plan: &super::LeasePlan, now: Microseconds) -> Vec<ClusterReport> {
        let (held, life) = (self.state.nodes.get(&self.name), self.incarnation());
        let place = held.is_some_and(|held| held.incarnation == life && held.present);
        let replaces = held
            .filter(|_| !plan.disabled.registration)
            .map_or(0, |held| held.incarnation);
        let node = ClusterReport::NodeRegistered {
            node: self.name.clone(),
            zone: "z0".into(),
            address: self.name.clone(),
            incarnation: life,
            replaces,
        };
        let own = self
            .backend
            .iter()
            .filter(|own| !self.ended.contains_key(&own.heartbeat.name))
            .flat_map(|own| {
                let name = own.heartbeat.name.clone();
                let phase = self.state.backends.get(&name).map(|held| held.phase);
                let player = BackendRecord {
                    service: own.heartbeat.service.clone(),
                    zone: "z0".into(),
                    node: self.name.clone(),
                    slots: own.heartbeat.slots,
                    phase: phase.unwrap_or(BackendPhase::Registered),
                    changed_at: 0,
                };
                let joined =
                    (phase.is_none() && !own.silent).then(|| ClusterReport::BackendJoined {
                        name: name.clone(),
                        backend: player,
                    });
                let silent = phase == Some(BackendPhase::Registered) && own.silent
                    || phase == Some(BackendPhase::PresumedGone) && !own.silent;
                let silent = silent.then(|| ClusterReport::BackendSilent {
                    name: name.clone(),
                    silent: own.silent,
                });
                let drains = (own.drained
                    && phase.is_none_or(|phase| phase == BackendPhase::Registered))
                .then_some(ClusterReport::BackendDraining { name });
                [joined, silent, drains].into_iter().flatten()
            });
        let stands = |name: &str, surely: bool| {
            !surely && !plan.disabled.end_reported_once && !self.state.backends.contains_key(name)
        };
        let ends = self
            .ended
            .iter()
            .filter(|(name, surely)| !stands(name, **surely))
            .map(|(name, surely)| ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *surely,
            });
        let others = self
            .unknown_backends(now > self.started_at + plan.heartbeat_interval * 3)
            .into_iter()
            .filter(|_| !plan.disabled.unknown_backends);
        (!place)
            .then_some(node)
            .into_iter()
            .chain(self.pending_reports.clone())
            .chain(own)
            .chain(ends)
            .chain(others)
            .collect()
    }

    /// One back end to a machine: whoever else the log has here is an earlier life, or is not heard.
    fn unknown_backends(&self, patient: bool) -> Vec<ClusterReport> {
        let own = self.backend.as_ref().map(|own| own.heartbeat.name.as_str());
        let here = self.state.backends.iter().filter(|(name, player)| {
            player.node == self.name && own != Some(name) && !self.ended.contains_key(*name)
        });
        let sure = self.backend.as_ref().is_some_and(|own| {
            own.heard_repeatedly || !self.state.backends.contains_key(&own.heartbeat.name)
        });
        here.filter_map(|(name, player)| match own {
            Some(_) => sure.then(|| ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: true,
            }),
            None => (patient && player.phase == BackendPhase::Registered).then(|| {
                ClusterReport::BackendSilent {
                    name: name.clone(),
                    silent: true,
                }
            }),
        })
        .collect()
    }
}

impl LeaseHarness {
    pub(super) fn notify(&mut self, at: usize) {
        let (now, clock) = (self.now, self.clock(at));
        let node = &mut self.nodes[at];
        node.outbox
            .resend_not_before
            .take_if(|(position, until)| node.state.position >= *position || now >= *until);
        if node.outbox.notifying || node.outbox.resend_not_before.is_some() || node.proved_at == 0 {
            return;
        }
        let wanted = node.wanted_reports(&self.plan, clock);
        if !wanted.is_empty() {
            node.outbox.notifying = true;
            node.reported_ended
                .extend(wanted.iter().filter_map(|wanted| {
                    if let ClusterReport::BackendEnded { name, .. } = wanted {
                        Some(name.clone())
                    } else {
                        None
                    }
                }));
            self.enqueue(at, ReportSource::LeaseTable, wanted);
        }
    }

    pub(super) fn enqueue(&mut self, at: usize, whose: ReportSource, reports: Vec<ClusterReport>) {
        self.nodes[at].outbox.queue.push_back((whose, reports));
        self.send_next(at);
    }

    fn send_next(&mut self, at: usize) {
        let post = &mut self.nodes[at].outbox;
        if post.in_flight.is_some() {
            return;
        }
        post.in_flight = post.queue.pop_front();
        if post.in_flight.is_some() {
            post.sequence += 1;
            let sequence = post.sequence;
            self.send_entry(at, sequence);
        }
    }

    /// The same entry, sequence and all, until it is answered.
    pub(super) fn send_entry(&mut self, at: usize, sequence: u64) {
        let node = &self.nodes[at];
        let Some((_, reports)) = node
            .outbox
            .in_flight
            .clone()
            .filter(|_| node.outbox.sequence == sequence)
        else {
            return;
        };
        let (life, lost) = (node.start_number, node.cut_from_log || node.reports_lost);
        if !lost {
            self.schedule_within(
                (500, 20_000),
                Event::EntryArrives(at, life, sequence, reports),
            );
        }
        self.schedule_within((700_000, 720_000), Event::ResendEntry(at, life, sequence));
    }

    pub(super) fn entry_arrives(
        &mut self,
        at: usize,
        life: u64,
        sequence: u64,
        reports: Vec<ClusterReport>,
    ) {
        let outcome = self.append((
            self.nodes[at].name.clone(),
            super::node::incarnation(&self.nodes[at].name, life),
            sequence,
            reports,
        ));
        let hears = !self.nodes[at].cut_from_log && !self.nodes[at].reports_lost;
        outcome.filter(|_| hears).into_iter().for_each(|outcome| {
            self.schedule_within(
                (500, 20_000),
                Event::EntryAnswered(at, life, sequence, outcome),
            )
        });
    }

    pub(super) fn append(&mut self, entry: super::log::LogEntry) -> Option<Outcome> {
        if self.log.unavailable_until > self.now {
            return None;
        }
        let outcome = self.log.order(self.now, entry);
        (0..self.log.replicas.len())
            .for_each(|seat| self.schedule_within((200, 15_000), Event::ReplicaApplies(seat)));
        Some(outcome)
    }

    pub(super) fn entry_answered(&mut self, at: usize, sequence: u64, outcome: Outcome) {
        let now = self.now;
        let post = &mut self.nodes[at].outbox;
        let Some((whose, told)) = post.in_flight.take_if(|_| post.sequence == sequence) else {
            return;
        };
        let here = match outcome {
            Outcome::Accepted { position, .. } => Some(position),
            _ => None,
        };
        let node = &mut self.nodes[at];
        match whose {
            ReportSource::LeaseTable => {
                node.outbox.notifying = false;
                node.outbox.resend_not_before = here.map(|position| (position, now + 500_000));
                node.pending_reports.retain(|fact| !told.contains(fact));
                node.ended.retain(|name, surely| {
                    !(*surely
                        && told.contains(&ClusterReport::BackendEnded {
                            name: name.clone(),
                            process_gone: true,
                        }))
                });
            }
            ReportSource::Placement => node.placement.answered(here, now),
        }
        self.send_next(at);
        self.notify(at);
    }
}
