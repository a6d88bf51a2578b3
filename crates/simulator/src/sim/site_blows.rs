//! Back ends' beats, operators' changes, and what strikes (design 9.8).

use super::site::{Event, Site};
use super::site_plan::{Blow, LANES, NODES, founding, grouping, order};
use model::{Entry, Operation, endpoint_status::EndpointReport};

impl Site {
    pub(super) fn beat(&mut self, process: usize) {
        let now = self.now;
        let (alive, beats, at) = (
            self.processes[process].alive,
            self.processes[process].beats,
            self.processes[process].node,
        );
        if !alive || !beats {
            return;
        }
        let (secret, draining) = (
            self.processes[process].secret.clone(),
            self.processes[process].drained.is_some() && !self.plan.without.drains,
        );
        let known = !secret.is_empty()
            && self.nodes[at]
                .house
                .heartbeat(now, &secret, draining, Some(4))
                .is_some();
        if !known && self.processes[process].drained.is_none() {
            self.register(process);
        }
        self.at(now + 300_000, Event::Beat(process));
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
            zone: super::site_plan::zone(at),
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
            .house
            .reserve(now, logged, registration, secret.clone())
        else {
            return;
        };
        let back_end = node.house.backend(&name);
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
    pub(super) fn operate(&mut self) {
        let (now, seat) = (self.now, self.draw(0..self.plan.seats as u64) as u16);
        self.at(now + 350_000, Event::Operate);
        let base = (0..self.plan.seats)
            .map(|seat| self.core.book(seat).desired.version)
            .max()
            .unwrap_or(0);
        self.operated += 1;
        let turn = self.operated;
        let harmless = |name: &str| grouping(name, "z0", Some(turn));
        let kind = self.draw(0..6);
        match kind {
            _ if base == 0 => self.change(seat, "site".into(), 0, founding()),
            0 => self.change(
                seat,
                format!("stale-{turn}"),
                base - 1,
                vec![harmless("seat")],
            ),
            1 => self.change(
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
                self.change(
                    (seat + step) % self.plan.seats,
                    format!("twice-{turn}"),
                    base,
                    vec![harmless("desk")],
                )
            }),
            _ => (0..2).for_each(|step| {
                self.change(
                    (seat + step) % self.plan.seats,
                    format!("race-{turn}-{step}"),
                    base,
                    vec![harmless(["seat", "desk"][step as usize])],
                )
            }),
        }
    }

    fn change(&mut self, seat: u16, id: String, base: u64, edits: Vec<model::Edit>) {
        if !self.core.up(seat) {
            return;
        }
        self.numbers += 1;
        let (origin, sequence) = (format!("core-{seat}"), self.numbers);
        let act = Operation::Change(model::Change {
            id: id.clone(),
            base_version: base,
            edits,
        });
        self.core.submit(
            seat,
            &Entry {
                origin: origin.clone(),
                incarnation: 1,
                sequence,
                operation: act,
            },
        );
        self.changes.insert((origin, 1, sequence), id.clone());
        if self.plan.without.commit {
            self.judge
                .accepted(self.now, self.core.book(seat).position + 1, base + 1, &id);
        }
    }

    pub(super) fn blow(&mut self, blow: Blow) {
        let now = self.now;
        match blow {
            Blow::Core(fault) => self.core.world.at_fault(now, fault),
            Blow::Freeze(at) => self.nodes[at].frozen = true,
            Blow::Wake(at) => {
                self.nodes[at].frozen = false;
                std::mem::take(&mut self.nodes[at].late)
                    .into_iter()
                    .for_each(|event| self.happen(event));
            }
            Blow::Cut(at) => self.nodes[at].cut = true,
            Blow::Mend(at) => self.nodes[at].cut = false,
            Blow::Restart(at) => {
                self.lose(at, false);
                let late = std::mem::take(&mut self.nodes[at].late);
                self.restart(at);
                // Timers of the machine go on; what lay in the dead process is gone with it.
                late.into_iter()
                    .filter(|event| {
                        matches!(
                            event,
                            Event::Pump(_)
                                | Event::Ask(_)
                                | Event::Beat(_)
                                | Event::Send(_, u64::MAX)
                                | Event::RunEnds(_)
                        )
                    })
                    .for_each(|event| self.at(now, event));
            }
            Blow::Stop(at) => {
                self.nodes[at].house.drain();
                self.nodes[at].leaving = true;
            }
            Blow::Kill(at) => {
                self.main_process(at)
                    .into_iter()
                    .for_each(|process| self.die(process));
                self.at(now + 2_000_000, Event::Come(at));
            }
            Blow::Silence(at) => {
                self.main_process(at)
                    .into_iter()
                    .for_each(|process| self.processes[process].beats = false);
                self.at(now + 2_000_000, Event::Come(at));
            }
            Blow::Drain(at) => {
                if let Some(process) = self.main_process(at).filter(|process| {
                    self.processes[*process].drained.is_none() && !self.nodes[at].frozen
                }) {
                    let secret = self.processes[process].secret.clone();
                    if self.plan.without.drains
                        || self.nodes[at]
                            .house
                            .heartbeat(now, &secret, true, None)
                            .is_some()
                    {
                        self.processes[process].drained = Some(now);
                    }
                    self.at(now + 5_000_000, Event::Blow(Blow::Kill(at)));
                }
            }
            Blow::Usurp(at) => {
                let Some(process) = self.main_process(at) else {
                    return;
                };
                let address = self
                    .addresses
                    .iter()
                    .find(|(_, held)| **held == process)
                    .map(|(address, _)| *address);
                self.die(process);
                let (other, name) = ((at + 2) % NODES, format!("u{}", self.processes.len()));
                let service = if self.processes[process].service == "seat" {
                    "desk"
                } else {
                    "seat"
                };
                self.new_process(other, name, service, address);
                self.at(now + 2_000_000, Event::Come(at));
            }
            Blow::Lane(lane, allowed) => {
                let base = (0..self.plan.seats)
                    .map(|seat| self.core.book(seat).desired.version)
                    .max()
                    .unwrap_or(0);
                let edit = if allowed {
                    order(&LANES[lane])
                } else {
                    model::Edit::DropOrder {
                        name: format!("{}-{}", LANES[lane].0, &LANES[lane].2[1..]),
                    }
                };
                let seat = (0..self.plan.seats)
                    .find(|seat| self.core.up(*seat))
                    .unwrap_or(0);
                self.change(seat, format!("lane-{now}"), base, vec![edit]);
            }
        }
    }
}
