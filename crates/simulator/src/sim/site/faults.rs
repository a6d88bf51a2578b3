//! Back ends' beats, operators' changes, and what strikes (design 9.8).

use super::plan::{NODES, ROUTES, SiteFault, initial_edits, put_grouping, put_order};
use super::{Event, Site};
use model::{Entry, Operation, endpoint_status::EndpointReport};

impl Site {
    pub(super) fn heartbeat(&mut self, process: usize) {
        let now = self.now;
        let (alive, beats, at) = (
            self.processes[process].alive,
            self.processes[process].heartbeats,
            self.processes[process].node,
        );
        if !alive || !beats {
            return;
        }
        let (secret, draining) = (
            self.processes[process].secret.clone(),
            self.processes[process].drained.is_some() && !self.plan.disabled.drains,
        );
        let known = !secret.is_empty()
            && self.nodes[at]
                .slot_owner
                .heartbeat(now, &secret, draining, Some(4))
                .is_some();
        if !known && self.processes[process].drained.is_none() {
            self.register(process);
        }
        self.schedule(now + 300_000, Event::Heartbeat(process));
    }

    fn register(&mut self, process: usize) {
        let (now, at) = (self.now, self.processes[process].node);
        let address = self
            .addresses
            .iter()
            .find(|(_, held)| **held == process)
            .map(|(address, _)| *address)
            .unwrap_or(0);
        let (name, service) = (
            self.processes[process].name.clone(),
            self.processes[process].service,
        );
        let registration = legacy_proxy::slot_owner::Registration {
            name: name.clone(),
            service: service.into(),
            zone: super::plan::zone(at),
            labels: Default::default(),
            slots: 4,
            address: format!("127.0.0.1:{address}"),
        };
        let secret = format!("secret {process} {now}");
        let node = &mut self.nodes[at];
        let logged = node
            .view
            .slice
            .backends
            .get(&name)
            .map_or(0, |held| held.incarnation);
        let Ok(incarnation) = node
            .slot_owner
            .reserve(now, logged, registration, secret.clone())
        else {
            return;
        };
        let back_end = node.slot_owner.backend(&name);
        node.outbox
            .extend(back_end.map(|back_end| EndpointReport::BackendRegistered {
                name: name.clone(),
                backend: back_end,
            }));
        (
            self.processes[process].secret,
            self.processes[process].prefix,
        ) = (
            secret,
            legacy_proxy::forwarded_attempts::attempt_prefix(&name, incarnation),
        );
    }

    /// Right, stale, broken, two at once, the same twice; at whatever seat.
    pub(super) fn operator_turn(&mut self) {
        let (now, seat) = (
            self.now,
            self.draw(0..self.plan.replica_count as u64) as u16,
        );
        self.schedule(now + 350_000, Event::OperatorTurn);
        let base = (0..self.plan.replica_count)
            .map(|seat| self.replicas.state_machine(seat).desired.version)
            .max()
            .unwrap_or(0);
        self.operator_turns += 1;
        let turn = self.operator_turns;
        let harmless = |name: &str| put_grouping(name, "z0", Some(turn));
        let kind = self.draw(0..6);
        match kind {
            _ if base == 0 => self.submit_change(seat, "site".into(), 0, initial_edits()),
            0 => self.submit_change(
                seat,
                format!("stale-{turn}"),
                base - 1,
                vec![harmless("seat")],
            ),
            1 => self.submit_change(
                seat,
                format!("broken-{turn}"),
                base,
                vec![
                    harmless("seat"),
                    model::Edit::DropOrder {
                        name: "nobodys".into(),
                    },
                ],
            ),
            2 => (0..2).for_each(|step| {
                self.submit_change(
                    (seat + step) % self.plan.replica_count,
                    format!("twice-{turn}"),
                    base,
                    vec![harmless("desk")],
                )
            }),
            _ => (0..2).for_each(|step| {
                self.submit_change(
                    (seat + step) % self.plan.replica_count,
                    format!("race-{turn}-{step}"),
                    base,
                    vec![harmless(["seat", "desk"][step as usize])],
                )
            }),
        }
    }

    fn submit_change(&mut self, seat: u16, id: String, base: u64, edits: Vec<model::Edit>) {
        if !self.replicas.is_running(seat) {
            return;
        }
        self.last_number += 1;
        let (origin, sequence) = (format!("core-{seat}"), self.last_number);
        let act = Operation::Change(model::Change {
            id: id.clone(),
            base_version: base,
            edits,
        });
        self.replicas.submit(
            seat,
            &Entry {
                origin: origin.clone(),
                incarnation: 1,
                sequence,
                operation: act,
            },
        );
        self.changes.insert((origin, 1, sequence), id.clone());
        if self.plan.disabled.commit {
            self.checks.accepted(
                self.now,
                self.replicas.state_machine(seat).position + 1,
                base + 1,
                &id,
            );
        }
    }

    pub(super) fn apply_fault(&mut self, blow: SiteFault) {
        let now = self.now;
        match blow {
            SiteFault::Replica(fault) => self.replicas.world.schedule_fault(now, fault),
            SiteFault::Freeze(at) => self.nodes[at].frozen = true,
            SiteFault::Unfreeze(at) => {
                self.nodes[at].frozen = false;
                std::mem::take(&mut self.nodes[at].deferred)
                    .into_iter()
                    .for_each(|event| self.handle(event));
            }
            SiteFault::Cut(at) => self.nodes[at].cut = true,
            SiteFault::Heal(at) => self.nodes[at].cut = false,
            SiteFault::Restart(at) => {
                self.lose_node(at, false);
                let late = std::mem::take(&mut self.nodes[at].deferred);
                self.restart(at);
                // Timers of the machine go on; what lay in the dead process is gone with it.
                late.into_iter()
                    .filter(|event| {
                        matches!(
                            event,
                            Event::PumpSlots(_)
                                | Event::AskForProof(_)
                                | Event::Heartbeat(_)
                                | Event::Send(_, u64::MAX)
                                | Event::RunEnds(_)
                        )
                    })
                    .for_each(|event| self.schedule(now, event));
            }
            SiteFault::PlannedStop(at) => {
                self.nodes[at].slot_owner.drain();
                self.nodes[at].leaving = true;
            }
            SiteFault::KillBackend(at) => {
                self.main_process(at)
                    .into_iter()
                    .for_each(|process| self.end_process(process));
                self.schedule(now + 2_000_000, Event::BackendStarts(at));
            }
            SiteFault::SilenceBackend(at) => {
                self.main_process(at)
                    .into_iter()
                    .for_each(|process| self.processes[process].heartbeats = false);
                self.schedule(now + 2_000_000, Event::BackendStarts(at));
            }
            SiteFault::DrainBackend(at) => {
                if let Some(process) = self.main_process(at).filter(|process| {
                    self.processes[*process].drained.is_none() && !self.nodes[at].frozen
                }) {
                    let secret = self.processes[process].secret.clone();
                    if self.plan.disabled.drains
                        || self.nodes[at]
                            .slot_owner
                            .heartbeat(now, &secret, true, None)
                            .is_some()
                    {
                        self.processes[process].drained = Some(now);
                    }
                    self.schedule(now + 5_000_000, Event::Fault(SiteFault::KillBackend(at)));
                }
            }
            SiteFault::ReuseAddress(at) => {
                let Some(process) = self.main_process(at) else {
                    return;
                };
                let address = self
                    .addresses
                    .iter()
                    .find(|(_, held)| **held == process)
                    .map(|(address, _)| *address);
                self.end_process(process);
                let (other, name) = ((at + 2) % NODES, format!("u{}", self.processes.len()));
                let service = if self.processes[process].service == "seat" {
                    "desk"
                } else {
                    "seat"
                };
                self.new_process(other, name, service, address);
                self.schedule(now + 2_000_000, Event::BackendStarts(at));
            }
            SiteFault::SetRoute(lane, allowed) => {
                let base = (0..self.plan.replica_count)
                    .map(|seat| self.replicas.state_machine(seat).desired.version)
                    .max()
                    .unwrap_or(0);
                let edit = if allowed {
                    put_order(&ROUTES[lane])
                } else {
                    model::Edit::DropOrder {
                        name: format!("{}-{}", ROUTES[lane].0, &ROUTES[lane].2[1..]),
                    }
                };
                let seat = (0..self.plan.replica_count)
                    .find(|seat| self.replicas.is_running(*seat))
                    .unwrap_or(0);
                self.submit_change(seat, format!("lane-{now}"), base, vec![edit]);
            }
        }
    }
}
