//! At the far node, and in back ends (design 9.8).

use super::plan::WAIT_US;
use super::{Event, Site};
use model::{Error, ErrorKind, Microseconds};

pub(super) struct Run {
    pub node: usize,
    number: u64,
    incarnation: u64,
    permit: legacy_proxy::slot_owner::Permit,
    request: transport::AttemptRequest,
    process: usize,
    /// Its usher died: the back end works on, and nobody hears it.
    pub orphan: bool,
}

impl Site {
    /// At the far node, with what is left of the wait by its marks.
    pub(super) fn arrive(
        &mut self,
        number: u64,
        at: usize,
        mut dispatch: transport::AttemptRequest,
        sent: Microseconds,
    ) {
        let now = self.now;
        let from = self.attempt_loops.get(&number).map(|trying| trying.node);
        let lost = self.nodes[at].cut || from.is_some_and(|from| self.nodes[from].cut);
        if lost && from != Some(at) {
            return;
        }
        let age = (now - sent).saturating_sub(300_000);
        dispatch.time_left = dispatch.time_left.saturating_sub(age);
        let view = self.nodes[at].view.clone();
        self.queued_attempts.insert(number, dispatch.clone());
        let granted = self.nodes[at]
            .slot_owner
            .admit(now, &view, number, dispatch);
        self.grant(at, granted);
    }

    pub(super) fn grant(&mut self, at: usize, granted: legacy_proxy::slot_owner::Admissions) {
        granted.into_iter().for_each(|(number, entered)| {
            let Some(dispatch) = self.queued_attempts.remove(&number) else {
                return;
            };
            match entered {
                Ok(permit) => self.run(at, number, permit, dispatch),
                Err(trouble) => self.reply_later(at, number, Err(trouble)),
            }
        });
    }

    fn reply_later(&mut self, at: usize, number: u64, answer: Result<(), Error>) {
        let Some(from) = self.attempt_loops.get(&number).map(|trying| trying.node) else {
            return;
        };
        let wait = if from == at { 0 } else { self.draw_delay() };
        if from == at || !(self.nodes[at].cut || self.nodes[from].cut) {
            self.schedule(self.now + wait, Event::Reply(number, answer));
        }
    }

    /// Whoever has the address now gets the request; it works at most until its wait is over.
    fn run(
        &mut self,
        at: usize,
        number: u64,
        permit: legacy_proxy::slot_owner::Permit,
        dispatch: transport::AttemptRequest,
    ) {
        let now = self.now;
        let address: u64 = permit
            .address
            .rsplit(':')
            .next()
            .and_then(|port| port.parse().ok())
            .unwrap_or(0);
        let process = self
            .addresses
            .get(&address)
            .copied()
            .filter(|process| self.processes[*process].alive);
        let Some(process) = process else {
            self.nodes[at].slot_owner.finish(&permit, true);
            return self.reply_later(
                at,
                number,
                Err(Error::new(ErrorKind::Unreachable, "no conn")),
            );
        };
        if self.processes[process].service != dispatch.service {
            let former = self
                .processes
                .iter()
                .filter(|held| held.name == dispatch.backend)
                .filter_map(|held| held.died)
                .max();
            self.checks.misrouted(
                now,
                former,
                format!(
                    "{} for {} reached {}",
                    dispatch.attempt_id, dispatch.service, self.processes[process].name
                ),
            );
            self.nodes[at].slot_owner.finish(&permit, false);
            return self.reply_later(
                at,
                number,
                Err(Error::new(ErrorKind::BadSeal, "refused by another service")),
            );
        }
        let length = self.draw(1_000..WAIT_US / 3);
        let end = (now + length).min(permit.deadline);
        let drained = self.processes[process].drained;
        self.checks.began(
            now,
            &dispatch,
            (process, drained),
            self.nodes[at].view.slice.position,
            end,
        );
        let life = self.nodes[at].incarnation;
        self.runs.insert(
            number,
            Run {
                node: at,
                number,
                incarnation: life,
                permit,
                request: dispatch,
                process,
                orphan: false,
            },
        );
        self.schedule(end, Event::RunEnds(number));
    }

    pub(super) fn end_run(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let lost = !self.processes[run.process].alive;
        if run.orphan || self.nodes[run.node].incarnation != run.incarnation {
            return;
        }
        let gone = self.draw(0..50) == 0;
        self.nodes[run.node].slot_owner.finish(&run.permit, false);
        let answer = if lost || gone {
            Err(Error::new(ErrorKind::BackendLost, "no answer"))
        } else {
            Ok(())
        };
        self.reply_later(run.node, run.number, answer);
    }

    /// What a process had begun ends with it.
    pub(super) fn end_process(&mut self, process: usize) {
        let now = self.now;
        (self.processes[process].alive, self.processes[process].died) = (false, Some(now));
        let ended: Vec<transport::AttemptRequest> = self
            .runs
            .values()
            .filter(|run| run.process == process)
            .map(|run| run.request.clone())
            .collect();
        ended
            .iter()
            .for_each(|dispatch| self.checks.ended(now, dispatch, process));
    }

    /// Nothing that was passed on from here or to here is under way.
    pub(super) fn idle(&self, at: usize) -> bool {
        self.nodes[at].slot_owner.running() == 0
            && !self.attempt_loops.values().any(|trying| trying.node == at)
    }

    /// A node ends: whoever waited for it learns that it is lost.
    pub(super) fn lose_node(&mut self, at: usize, planned: bool) {
        let waiting: Vec<u64> = self
            .runs
            .values()
            .filter(|run| run.node == at && !run.orphan)
            .map(|run| run.number)
            .collect();
        waiting.into_iter().for_each(|number| {
            if planned {
                self.checks.interrupted(format!("run {number} at n{at}"));
            }
            if self
                .attempt_loops
                .get(&number)
                .is_some_and(|trying| trying.node != at)
            {
                self.reply_later(
                    at,
                    number,
                    Err(Error::new(ErrorKind::PeerLost, "the far node was lost")),
                );
            }
        });
    }
}
