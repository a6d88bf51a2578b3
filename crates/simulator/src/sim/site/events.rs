//! What happens at a simulated site: news, proofs, reports, beats, operators and blows (design 9.8).

use super::{Event, Site};
use model::{Entry, Microseconds, Operation, Outcome, endpoint_status::EndpointReport};
use std::sync::Arc;

const ASK_INTERVAL_US: Microseconds = 250_000;
const PROOF_TIMEOUT_US: Microseconds = 750_000;

impl Site {
    fn node_of(event: &Event) -> Option<usize> {
        match event {
            Event::PumpSlots(at)
            | Event::AskForProof(at)
            | Event::Proved(at, ..)
            | Event::Send(at, _)
            | Event::Arrive(_, at, ..) => Some(*at),
            Event::RelayAsked(at, ..) | Event::ReportAnswered(at, ..) => Some(*at),
            _ => None,
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let waits = match &event {
            Event::Reply(number, _) | Event::DeadlinePassed(number) => {
                self.attempt_loops.get(number).map(|trying| trying.node)
            }
            Event::RunEnds(number) => self.runs.get(number).map(|run| run.node),
            Event::Heartbeat(process) => Some(self.processes[*process].node),
            other => Site::node_of(other),
        };
        if let Some(at) = waits.filter(|at| self.nodes[*at].frozen) {
            return self.nodes[at].deferred.push(event);
        }
        let now = self.now;
        match event {
            Event::Fault(blow) => self.apply_fault(blow),
            Event::PumpSlots(at) => {
                self.pump_slots(at);
                self.schedule(now + 20_000, Event::PumpSlots(at));
            }
            Event::AskForProof(at) => {
                self.ask_for_proof(at);
                self.schedule(now + ASK_INTERVAL_US, Event::AskForProof(at));
            }
            Event::ReplicaAsked(at, seat, asked) => {
                if self.replicas.is_running(seat) {
                    self.last_number += 1;
                    self.reads.insert(self.last_number, (at, asked));
                    let token = self.last_number;
                    self.replicas.world.read(seat, token);
                }
            }
            Event::RelayAsked(home, from, asked) => {
                let direct = self.nodes[home].asks_replicas;
                if direct && !self.nodes[home].cut {
                    self.nodes[home].askers.push((from, asked, now));
                    self.ask_for_proof(home);
                }
            }
            Event::Proved(at, asked, slice) => self.proved(at, asked, *slice),
            Event::Heartbeat(process) => self.heartbeat(process),
            Event::Report(at, life, seat, entry) => {
                let reaches = self.nodes[at].incarnation == life
                    && !self.nodes[at].cut
                    && self.replicas.is_running(seat);
                if reaches {
                    self.reports.insert(
                        (entry.origin.clone(), entry.incarnation, entry.sequence),
                        at,
                    );
                    self.replicas.submit(seat, &entry);
                }
            }
            Event::ReportAnswered(at, life, sequence, outcome) => {
                self.report_answered(at, life, sequence, outcome)
            }
            Event::OperatorTurn => self.operator_turn(),
            Event::Send(at, number) => self.send(at, number),
            Event::Arrive(number, at, dispatch, sent) => self.arrive(number, at, *dispatch, sent),
            Event::Reply(number, answer) => self.reply(number, answer),
            Event::DeadlinePassed(number) => self.reply(
                number,
                Err(model::Error::new(
                    model::ErrorKind::TimedOut,
                    "no answer in time",
                )),
            ),
            Event::RunEnds(number) => self.end_run(number),
            Event::BackendStarts(at) => self.start_backend(at),
        }
    }

    /// What the core's seats applied and proved since the last event.
    pub(super) fn collect_replica_events(&mut self) {
        let (answered, proofs) = self.replicas.advance(self.now);
        answered.into_iter().for_each(|(seat, key, outcome)| {
            if let Some(at) = self.reports.get(&key).copied() {
                let time = self.now + self.draw_delay();
                self.schedule(
                    time,
                    Event::ReportAnswered(at, key.1, key.2, outcome.clone()),
                );
            }
            let own = key.0 == format!("core-{seat}");
            if let Some(id) = self.changes.get(&key).cloned().filter(|_| own)
                && let Outcome::Accepted { position, version } = outcome
            {
                self.changes.remove(&key);
                self.checks.accepted(self.now, position, version, &id);
            }
        });
        proofs.into_iter().for_each(|(token, seat)| {
            let Some((at, asked)) = self.reads.remove(&token) else {
                return;
            };
            let slice = model::StateSlice::for_services(
                self.replicas.state_machine(seat),
                &self.nodes[at].slot_owner.services(),
            );
            let time = self.now + self.draw_delay();
            self.schedule(time, Event::Proved(at, asked, Box::new(slice)));
        });
    }

    /// To the zone's home, or to a core seat; whoever proves nothing is left for another.
    fn ask_for_proof(&mut self, at: usize) {
        let (now, wait) = (self.now, self.draw_delay());
        let seats = self.plan.replica_count;
        let node = &mut self.nodes[at];
        let home = control::updates::zone_relay::select_zone_relay(
            &node.view.slice,
            &super::plan::zone(at),
            &node.slot_owner.services(),
        );
        let home = home
            .and_then(|(name, _)| name[1..].parse::<usize>().ok())
            .filter(|home| *home != at);
        if now > node.proved + PROOF_TIMEOUT_US {
            node.proved = now;
            node.replica_id = (node.replica_id + 1) % seats;
            node.passed_over = home.map(|home| (home, now + 3_000_000));
        }
        let home = home.filter(|home| {
            node.passed_over
                .is_none_or(|(passed, until)| passed != *home || now >= until)
        });
        node.asks_replicas = home.is_none();
        if node.cut {
            return;
        }
        let seat = node.replica_id;
        match home {
            Some(home) => self.schedule(now + wait, Event::RelayAsked(home, at, now)),
            None => self.schedule(now + wait, Event::ReplicaAsked(at, seat, now)),
        }
    }

    fn proved(&mut self, at: usize, asked: Microseconds, mut slice: model::StateSlice) {
        if self.plan.disabled.key_waits {
            slice.longest_requests.clear();
        }
        let (now, bound, position) = (self.now, self.plan.proof_validity(), slice.position);
        let any_order = self.plan.disabled.news_order;
        let node = &mut self.nodes[at];
        if node.cut {
            return;
        }
        node.proved = now;
        match node.view.with_update(slice.clone()) {
            Some(view) => node.view = view,
            None if any_order => {
                node.view = control::View {
                    slice: Arc::new(slice),
                    fresh_until: asked + bound,
                }
            }
            None => {}
        }
        node.view
            .with_proof(asked, position, bound)
            .into_iter()
            .for_each(|view| node.view = view);
        let (life, held, fresh) = (
            node.incarnation,
            node.view.slice.clone(),
            node.view.is_fresh(now),
        );
        let (ready, later): (Vec<_>, Vec<_>) = std::mem::take(&mut node.askers)
            .into_iter()
            .partition(|(.., arrived)| *arrived <= asked);
        node.askers = later;
        self.checks.state_held(now, at, life, held.position, fresh);
        ready.into_iter().for_each(|(from, asked, _)| {
            let wanted = self.nodes[from].slot_owner.services();
            if wanted.is_subset(&held.services)
                && held.position >= self.nodes[from].view.slice.position
            {
                let time = now + self.draw_delay();
                self.schedule(
                    time,
                    Event::Proved(from, asked, Box::new(held.narrowed_to(&wanted))),
                );
            }
        });
    }

    fn pump_slots(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let view = node.view.clone();
        let granted = node.slot_owner.admit_queued(now, &view);
        let mut reports = node.slot_owner.take_reports();
        if self.plan.disabled.drains {
            reports.retain(|report| {
                !matches!(
                    report,
                    EndpointReport::PhaseChanged {
                        phase: model::BackendPhase::Draining,
                        ..
                    }
                )
            });
        }
        node.outbox.extend(reports);
        self.grant(at, granted);
        if self.nodes[at].leaving && (self.idle(at) || self.plan.disabled.patience) {
            self.lose_node(at, true);
            self.restart(at);
        }
        self.send_report(at);
    }

    /// One report at a time, through another seat when one does not answer.
    fn send_report(&mut self, at: usize) {
        let (now, wait, seats) = (self.now, self.draw_delay(), self.plan.replica_count);
        let node = &mut self.nodes[at];
        if node.entry.is_none()
            && let Some(report) = node.outbox.pop_front()
        {
            node.sequence += 1;
            let entry = Entry {
                origin: format!("n{at}"),
                incarnation: node.incarnation,
                sequence: node.sequence,
                operation: Operation::EndpointReport(report),
            };
            node.entry = Some((entry, 0));
        }
        let (life, seat) = (node.incarnation, node.replica_id);
        let Some((entry, sent)) = node
            .entry
            .as_mut()
            .filter(|(_, sent)| *sent == 0 || now > *sent + 700_000)
        else {
            return;
        };
        if *sent > 0 {
            node.replica_id = (seat + 1) % seats;
        }
        *sent = now;
        let entry = Box::new(entry.clone());
        let seat = node.replica_id;
        self.schedule(now + wait, Event::Report(at, life, seat, entry));
    }

    /// The log has another incarnation: it registers on top of that, as its news has it, and says the rest after it.
    fn superseded(&mut self, at: usize, report: EndpointReport) {
        let registration = self.registration(at);
        let node = &mut self.nodes[at];
        match report {
            EndpointReport::NodeRegistered { .. } => {}
            // The back end registers anew, above what the log has.
            EndpointReport::BackendRegistered {
                name,
                backend: back_end,
            } => node
                .slot_owner
                .confirm(self.now, &name, back_end.incarnation, false),
            other => node.outbox.push_front(other),
        }
        node.outbox.push_front(registration);
    }

    fn report_answered(&mut self, at: usize, life: u64, sequence: u64, outcome: Outcome) {
        let node = &mut self.nodes[at];
        let own = node.incarnation == life
            && node
                .entry
                .as_ref()
                .is_some_and(|(entry, _)| entry.sequence == sequence);
        let Some((entry, _)) = node.entry.take_if(|_| own && !node.cut) else {
            return;
        };
        if let (Outcome::Superseded { .. }, Operation::EndpointReport(report)) =
            (&outcome, &entry.operation)
        {
            return self.superseded(at, report.clone());
        }
        let node = &mut self.nodes[at];
        if let Operation::EndpointReport(EndpointReport::BackendRegistered {
            name,
            backend: back_end,
        }) = entry.operation
        {
            let accepted = matches!(
                outcome,
                Outcome::Accepted { .. } | Outcome::Unchanged { .. }
            );
            node.slot_owner
                .confirm(self.now, &name, back_end.incarnation, accepted);
        }
        self.send_report(at);
    }
}
