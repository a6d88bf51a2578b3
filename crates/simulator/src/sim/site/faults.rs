//! Heartbeats of backends, changes by operators, and faults of a simulated site (design 9.8).

use super::plan::{NODE_COUNT, ROUTES, SiteFault, initial_edits, put_grouping, put_order};
use super::{Event, Site};
use model::{Entry, Operation, endpoint_status::EndpointReport};

impl Site {
    pub(super) fn heartbeat(&mut self, process: usize) {
        let now = self.now;
        let (alive, sends_heartbeats, node_index) = (
            self.processes[process].alive,
            self.processes[process].sends_heartbeats,
            self.processes[process].node,
        );
        if !alive || !sends_heartbeats {
            return;
        }
        let (secret, draining) = (
            self.processes[process].secret.clone(),
            self.processes[process].drained_at.is_some() && !self.plan.disabled.draining,
        );
        let is_registered = !secret.is_empty()
            && self.nodes[node_index]
                .slot_owner
                .heartbeat(now, &secret, draining, Some(4))
                .is_some();
        if !is_registered && self.processes[process].drained_at.is_none() {
            self.register(process);
        }
        self.schedule(now + 300_000, Event::Heartbeat(process));
    }

    fn register(&mut self, process: usize) {
        let (now, node_index) = (self.now, self.processes[process].node);
        let address = self
            .addresses
            .iter()
            .find(|(_, owner)| **owner == process)
            .map(|(address, _)| *address)
            .unwrap_or(0);
        let (name, service) = (
            self.processes[process].name.clone(),
            self.processes[process].service,
        );
        let registration = legacy_proxy::slot_owner::Registration {
            name: name.clone(),
            service: service.into(),
            zone: super::plan::zone(node_index),
            labels: Default::default(),
            slots: 4,
            address: format!("127.0.0.1:{address}"),
        };
        let secret = format!("secret {process} {now}");
        let node = &mut self.nodes[node_index];
        let registered_incarnation = node
            .view
            .slice
            .backends
            .get(&name)
            .map_or(0, |backend| backend.incarnation);
        let Ok(incarnation) =
            node.slot_owner
                .reserve(now, registered_incarnation, registration, secret.clone())
        else {
            return;
        };
        let backend = node.slot_owner.backend(&name);
        node.outbox
            .extend(backend.map(|backend| EndpointReport::BackendRegistered {
                name: name.clone(),
                backend,
            }));
        (
            self.processes[process].secret,
            self.processes[process].attempt_prefix,
        ) = (
            secret,
            legacy_proxy::forwarded_attempts::attempt_prefix(&name, incarnation),
        );
    }

    /// Submits the initial edits at a random replica, and once they are accepted one of these at random: a stale change, an
    /// invalid change, the same change at two replicas, or two competing changes.
    pub(super) fn submit_operator_change(&mut self) {
        let (now, replica_id) = (
            self.now,
            self.draw(0..self.plan.replica_count as u64) as u16,
        );
        self.schedule(now + 350_000, Event::OperatorChange);
        let base = (0..self.plan.replica_count)
            .map(|replica_id| self.replicas.state_machine(replica_id).desired.version)
            .max()
            .unwrap_or(0);
        self.operator_change_count += 1;
        let number = self.operator_change_count;
        let grouping_edit = |name: &str| put_grouping(name, "z0", Some(number));
        let kind = self.draw(0..6);
        match kind {
            _ if base == 0 => self.submit_change(replica_id, "site".into(), 0, initial_edits()),
            0 => self.submit_change(
                replica_id,
                format!("stale-{number}"),
                base - 1,
                vec![grouping_edit("seat")],
            ),
            1 => self.submit_change(
                replica_id,
                format!("broken-{number}"),
                base,
                vec![
                    grouping_edit("seat"),
                    model::Edit::DropOrder {
                        name: "nobodys".into(),
                    },
                ],
            ),
            2 => (0..2).for_each(|step| {
                self.submit_change(
                    (replica_id + step) % self.plan.replica_count,
                    format!("twice-{number}"),
                    base,
                    vec![grouping_edit("desk")],
                )
            }),
            _ => (0..2).for_each(|step| {
                self.submit_change(
                    (replica_id + step) % self.plan.replica_count,
                    format!("race-{number}-{step}"),
                    base,
                    vec![grouping_edit(["seat", "desk"][step as usize])],
                )
            }),
        }
    }

    fn submit_change(&mut self, replica_id: u16, id: String, base: u64, edits: Vec<model::Edit>) {
        if !self.replicas.is_running(replica_id) {
            return;
        }
        self.last_number += 1;
        let (origin, sequence) = (format!("core-{replica_id}"), self.last_number);
        let operation = Operation::Change(model::Change {
            id: id.clone(),
            base_version: base,
            edits,
        });
        self.replicas.submit(
            replica_id,
            &Entry {
                origin: origin.clone(),
                incarnation: 1,
                sequence,
                operation,
            },
        );
        self.changes.insert((origin, 1, sequence), id.clone());
        if self.plan.disabled.commit_wait {
            self.checks.record_accepted_change(
                self.now,
                self.replicas.state_machine(replica_id).position + 1,
                base + 1,
                &id,
            );
        }
    }

    pub(super) fn apply_fault(&mut self, fault: SiteFault) {
        let now = self.now;
        match fault {
            SiteFault::Replica(fault) => self.replicas.world.schedule_fault(now, fault),
            SiteFault::Freeze(node_index) => self.nodes[node_index].frozen = true,
            SiteFault::Unfreeze(node_index) => {
                self.nodes[node_index].frozen = false;
                std::mem::take(&mut self.nodes[node_index].deferred)
                    .into_iter()
                    .for_each(|event| self.handle(event));
            }
            SiteFault::Cut(node_index) => self.nodes[node_index].cut_off = true,
            SiteFault::Heal(node_index) => self.nodes[node_index].cut_off = false,
            SiteFault::Restart(node_index) => {
                self.lose_node(node_index, false);
                let deferred = std::mem::take(&mut self.nodes[node_index].deferred);
                self.restart(node_index);
                // Timers continue after the restart. Messages that waited in the killed process are lost.
                deferred
                    .into_iter()
                    .filter(|event| {
                        matches!(
                            event,
                            Event::NodeTick(_)
                                | Event::RequestProof(_)
                                | Event::Heartbeat(_)
                                | Event::SendAttempt(_, u64::MAX)
                                | Event::RunEnds(_)
                        )
                    })
                    .for_each(|event| self.schedule(now, event));
            }
            SiteFault::GracefulStop(node_index) => {
                self.nodes[node_index].slot_owner.drain();
                self.nodes[node_index].stopping = true;
            }
            SiteFault::KillBackend(node_index) => {
                self.main_process(node_index)
                    .into_iter()
                    .for_each(|process| self.end_process(process));
                self.schedule(now + 2_000_000, Event::BackendStarts(node_index));
            }
            SiteFault::StopHeartbeats(node_index) => {
                self.main_process(node_index)
                    .into_iter()
                    .for_each(|process| self.processes[process].sends_heartbeats = false);
                self.schedule(now + 2_000_000, Event::BackendStarts(node_index));
            }
            SiteFault::DrainBackend(node_index) => {
                if let Some(process) = self.main_process(node_index).filter(|process| {
                    self.processes[*process].drained_at.is_none() && !self.nodes[node_index].frozen
                }) {
                    let secret = self.processes[process].secret.clone();
                    if self.plan.disabled.draining
                        || self.nodes[node_index]
                            .slot_owner
                            .heartbeat(now, &secret, true, None)
                            .is_some()
                    {
                        self.processes[process].drained_at = Some(now);
                    }
                    self.schedule(
                        now + 5_000_000,
                        Event::Fault(SiteFault::KillBackend(node_index)),
                    );
                }
            }
            SiteFault::ReuseAddress(node_index) => {
                let Some(process) = self.main_process(node_index) else {
                    return;
                };
                let address = self
                    .addresses
                    .iter()
                    .find(|(_, owner)| **owner == process)
                    .map(|(address, _)| *address);
                self.end_process(process);
                let (other_node, name) = (
                    (node_index + 2) % NODE_COUNT,
                    format!("u{}", self.processes.len()),
                );
                let service = if self.processes[process].service == "seat" {
                    "desk"
                } else {
                    "seat"
                };
                self.new_process(other_node, name, service, address);
                self.schedule(now + 2_000_000, Event::BackendStarts(node_index));
            }
            SiteFault::SetRoute(route, allowed) => {
                let base = (0..self.plan.replica_count)
                    .map(|replica_id| self.replicas.state_machine(replica_id).desired.version)
                    .max()
                    .unwrap_or(0);
                let edit = if allowed {
                    put_order(&ROUTES[route])
                } else {
                    model::Edit::DropOrder {
                        name: format!("{}-{}", ROUTES[route].0, &ROUTES[route].2[1..]),
                    }
                };
                let replica_id = (0..self.plan.replica_count)
                    .find(|replica_id| self.replicas.is_running(*replica_id))
                    .unwrap_or(0);
                self.submit_change(replica_id, format!("route-{now}"), base, vec![edit]);
            }
        }
    }
}
