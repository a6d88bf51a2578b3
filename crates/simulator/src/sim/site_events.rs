//! What happens at a simulated site: news, proofs, reports, beats, operators and blows (design 9.8).

use super::site::{Event, Site};
use model::{Entry, Microseconds, Operation, Outcome, endpoint_status::EndpointReport};
use std::sync::Arc;

const ASK_EVERY: Microseconds = 250_000;
const PATIENCE: Microseconds = 750_000;

impl Site {
    fn place_of(event: &Event) -> Option<usize> {
        match event {
            Event::Pump(at)
            | Event::Ask(at)
            | Event::Proved(at, ..)
            | Event::Send(at, _)
            | Event::Arrive(_, at, ..) => Some(*at),
            Event::AtHome(at, ..) | Event::Reported(at, ..) => Some(*at),
            _ => None,
        }
    }

    pub(super) fn happen(&mut self, event: Event) {
        let waits = match &event {
            Event::Reply(number, _) | Event::Late(number) => {
                self.courses.get(number).map(|trying| trying.node)
            }
            Event::RunEnds(number) => self.runs.get(number).map(|run| run.node),
            Event::Beat(process) => Some(self.processes[*process].node),
            other => Site::place_of(other),
        };
        if let Some(at) = waits.filter(|at| self.nodes[*at].frozen) {
            return self.nodes[at].late.push(event);
        }
        let now = self.now;
        match event {
            Event::Blow(blow) => self.blow(blow),
            Event::Pump(at) => {
                self.pump(at);
                self.at(now + 20_000, Event::Pump(at));
            }
            Event::Ask(at) => {
                self.ask(at);
                self.at(now + ASK_EVERY, Event::Ask(at));
            }
            Event::AtCore(at, seat, asked) => {
                if self.core.up(seat) {
                    self.numbers += 1;
                    self.reads.insert(self.numbers, (at, asked));
                    let token = self.numbers;
                    self.core.world.read(seat, token);
                }
            }
            Event::AtHome(home, from, asked) => {
                let direct = self.nodes[home].direct;
                if direct && !self.nodes[home].cut {
                    self.nodes[home].askers.push((from, asked, now));
                    self.ask(home);
                }
            }
            Event::Proved(at, asked, slice) => self.proved(at, asked, *slice),
            Event::Beat(process) => self.beat(process),
            Event::Report(at, life, seat, entry) => {
                let reaches =
                    self.nodes[at].life == life && !self.nodes[at].cut && self.core.up(seat);
                if reaches {
                    self.reports.insert(
                        (entry.origin.clone(), entry.incarnation, entry.sequence),
                        at,
                    );
                    self.core.submit(seat, &entry);
                }
            }
            Event::Reported(at, life, sequence, outcome) => {
                self.reported(at, life, sequence, outcome)
            }
            Event::Operate => self.operate(),
            Event::Send(at, number) => self.send(at, number),
            Event::Arrive(number, at, dispatch, sent) => self.arrive(number, at, *dispatch, sent),
            Event::Reply(number, answer) => self.reply(number, answer),
            Event::Late(number) => self.reply(
                number,
                Err(model::Error::new(
                    model::ErrorKind::TimedOut,
                    "no answer in time",
                )),
            ),
            Event::RunEnds(number) => self.run_ends(number),
            Event::Come(at) => self.come(at),
        }
    }

    /// What the core's seats applied and proved since the last event.
    pub(super) fn hear_core(&mut self) {
        let (answered, proofs) = self.core.advance(self.now);
        answered.into_iter().for_each(|(seat, key, outcome)| {
            if let Some(at) = self.reports.get(&key).copied() {
                let time = self.now + self.hop();
                self.at(time, Event::Reported(at, key.1, key.2, outcome.clone()));
            }
            let own = key.0 == format!("core-{seat}");
            if let Some(id) = self.changes.get(&key).cloned().filter(|_| own)
                && let Outcome::Accepted { position, version } = outcome
            {
                self.changes.remove(&key);
                self.judge.accepted(self.now, position, version, &id);
            }
        });
        proofs.into_iter().for_each(|(token, seat)| {
            let Some((at, asked)) = self.reads.remove(&token) else {
                return;
            };
            let slice = model::StateSlice::for_services(
                self.core.book(seat),
                &self.nodes[at].house.services(),
            );
            let time = self.now + self.hop();
            self.at(time, Event::Proved(at, asked, Box::new(slice)));
        });
    }

    /// To the zone's home, or to a core seat; whoever proves nothing is left for another.
    fn ask(&mut self, at: usize) {
        let (now, wait) = (self.now, self.hop());
        let seats = self.plan.seats;
        let node = &mut self.nodes[at];
        let home = control::updates::zone_relay::select_zone_relay(
            &node.view.slice,
            &super::site_plan::zone(at),
            &node.house.services(),
        );
        let home = home
            .and_then(|(name, _)| name[1..].parse::<usize>().ok())
            .filter(|home| *home != at);
        if now > node.proved + PATIENCE {
            node.proved = now;
            node.seat = (node.seat + 1) % seats;
            node.passed_over = home.map(|home| (home, now + 3_000_000));
        }
        let home = home.filter(|home| {
            node.passed_over
                .is_none_or(|(passed, until)| passed != *home || now >= until)
        });
        node.direct = home.is_none();
        if node.cut {
            return;
        }
        let seat = node.seat;
        match home {
            Some(home) => self.at(now + wait, Event::AtHome(home, at, now)),
            None => self.at(now + wait, Event::AtCore(at, seat, now)),
        }
    }

    fn proved(&mut self, at: usize, asked: Microseconds, mut slice: model::StateSlice) {
        if self.plan.without.key_waits {
            slice.longest_requests.clear();
        }
        let (now, bound, position) = (self.now, self.plan.bound(), slice.position);
        let any_order = self.plan.without.news_order;
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
        let (life, held, fresh) = (node.life, node.view.slice.clone(), node.view.is_fresh(now));
        let (ready, later): (Vec<_>, Vec<_>) = std::mem::take(&mut node.askers)
            .into_iter()
            .partition(|(.., arrived)| *arrived <= asked);
        node.askers = later;
        self.judge.holds(now, at, life, held.position, fresh);
        ready.into_iter().for_each(|(from, asked, _)| {
            let wanted = self.nodes[from].house.services();
            if wanted.is_subset(&held.services)
                && held.position >= self.nodes[from].view.slice.position
            {
                let time = now + self.hop();
                self.at(
                    time,
                    Event::Proved(from, asked, Box::new(held.narrowed_to(&wanted))),
                );
            }
        });
    }

    fn pump(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let view = node.view.clone();
        let granted = node.house.admit_queued(now, &view);
        let mut reports = node.house.take_reports();
        if self.plan.without.drains {
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
        if self.nodes[at].leaving && (self.idle(at) || self.plan.without.patience) {
            self.lose(at, true);
            self.restart(at);
        }
        self.post(at);
    }

    /// One report at a time, through another seat when one does not answer.
    fn post(&mut self, at: usize) {
        let (now, wait, seats) = (self.now, self.hop(), self.plan.seats);
        let node = &mut self.nodes[at];
        if node.entry.is_none()
            && let Some(report) = node.outbox.pop_front()
        {
            node.sequence += 1;
            let entry = Entry {
                origin: format!("n{at}"),
                incarnation: node.life,
                sequence: node.sequence,
                operation: Operation::EndpointReport(report),
            };
            node.entry = Some((entry, 0));
        }
        let (life, seat) = (node.life, node.seat);
        let Some((entry, sent)) = node
            .entry
            .as_mut()
            .filter(|(_, sent)| *sent == 0 || now > *sent + 700_000)
        else {
            return;
        };
        if *sent > 0 {
            node.seat = (seat + 1) % seats;
        }
        *sent = now;
        let entry = Box::new(entry.clone());
        let seat = node.seat;
        self.at(now + wait, Event::Report(at, life, seat, entry));
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
                .house
                .confirm(self.now, &name, back_end.incarnation, false),
            other => node.outbox.push_front(other),
        }
        node.outbox.push_front(registration);
    }

    fn reported(&mut self, at: usize, life: u64, sequence: u64, outcome: Outcome) {
        let node = &mut self.nodes[at];
        let own = node.life == life
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
            node.house
                .confirm(self.now, &name, back_end.incarnation, accepted);
        }
        self.post(at);
    }
}
