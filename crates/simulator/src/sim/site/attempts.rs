//! Senders, the courses of their tries, and back ends at work (design 9.8).

use super::plan::{ROUTES, SiteRoute, WAIT_US};
use super::{Event, Site};
use model::{Error, ErrorKind, ExecutionStatus};

/// A try as its sender knows it may send it more than once.
pub(super) struct ClientAttempt {
    pub id: String,
    pub route: SiteRoute,
    pub key: String,
    pub process: usize,
}

/// A dispatch that its own usher waits for.
pub(super) struct PendingAttempt {
    pub node: usize,
    attempt_loop: legacy_proxy::attempt_loop::AttemptLoop,
    selected: String,
    attempt_id: String,
}

impl Site {
    /// A new try, or one that is sent again: at another moment, at a restarted usher, at once.
    pub(super) fn send(&mut self, at: usize, number: u64) {
        let number = if number == u64::MAX {
            let pause = self.draw(20_000..60_000);
            self.schedule(self.now + pause, Event::Send(at, u64::MAX));
            let Some(process) = self
                .main_process(at)
                .filter(|process| !self.processes[*process].prefix.is_empty())
            else {
                return;
            };
            let own = self.processes[process].service;
            let lanes: Vec<SiteRoute> = ROUTES
                .iter()
                .filter(|lane| lane.0 == own)
                .copied()
                .collect();
            let (lane, key) = (
                lanes[self.draw(0..lanes.len() as u64) as usize],
                format!("k{}", self.draw(0..5)),
            );
            let id = format!(
                "{}{}/{}",
                self.processes[process].prefix,
                own,
                self.attempts.len()
            );
            self.attempts.push(ClientAttempt {
                id,
                route: lane,
                key,
                process,
            });
            let number = self.attempts.len() as u64 - 1;
            if self.draw(0..8) == 0 {
                let later = self.draw(0..4_000_000);
                self.schedule(self.now + later, Event::Send(at, number));
            }
            number
        } else {
            number
        };
        let (now, again) = (self.now, &self.attempts[number as usize]);
        // Whoever sends it has the registration of this moment, though the name is of an earlier one.
        let secret = self
            .main_process(at)
            .filter(|process| *process == again.process)
            .map(|process| self.processes[process].secret.clone());
        let Some(secret) = secret else { return };
        let (try_id, lane, key) = (again.id.clone(), again.route, again.key.clone());
        let taken = self.accept_attempt(at, &secret, &try_id);
        let begun = taken.and_then(|sender| {
            if self.nodes[at].leaving {
                return Err(Error::new(ErrorKind::ShuttingDown, "stopping"));
            }
            let ask = legacy_proxy::Request {
                attempt_id: try_id.clone(),
                service: lane.1.into(),
                method: "POST".into(),
                path: lane.2.into(),
                query: String::new(),
                headers: vec![],
                body: vec![],
                shard_key: lane.3.then_some(key),
                timeout: Some(WAIT_US),
            };
            legacy_proxy::attempt_loop::AttemptLoop::begin(&self.nodes[at].view, now, sender, ask)
        });
        match begun {
            Ok(course) => {
                self.nodes[at].retry_budget.deposit(lane.1);
                self.checks.first_attempt(now, lane.1);
                self.dispatch(PendingAttempt {
                    node: at,
                    attempt_loop: course,
                    selected: String::new(),
                    attempt_id: try_id,
                });
            }
            Err(trouble) => self.answer(at, lane.1, &try_id, Err(trouble)),
        }
    }

    fn accept_attempt(
        &mut self,
        at: usize,
        secret: &str,
        try_id: &str,
    ) -> Result<legacy_proxy::ClientId, Error> {
        let without = self.plan.disabled.attempt_identity;
        let node = &mut self.nodes[at];
        let sender = node
            .slot_owner
            .clients()
            .get(secret)
            .cloned()
            .ok_or_else(|| Error::new(ErrorKind::UnknownClient, "no such secret"))?;
        if without {
            return Ok(sender);
        }
        if !try_id.starts_with(&sender.attempt_prefix) {
            return Err(Error::new(
                ErrorKind::EarlierIncarnation,
                "of another registration",
            ));
        }
        node.accepted_attempts.accept(try_id).map(|()| sender)
    }

    fn answer(&mut self, at: usize, service: &str, try_id: &str, answer: Result<(), Error>) {
        if let Err(trouble) = answer.as_ref().map_err(Clone::clone)
            && trouble.execution_status == ExecutionStatus::NotRun
        {
            self.nodes[at]
                .accepted_attempts
                .did_not_run(try_id, trouble);
        }
        self.checks
            .answered(self.now, service, try_id, answer.as_ref().err());
    }

    /// Pick and dispatch, or the final answer.
    fn dispatch(&mut self, mut trying: PendingAttempt) {
        let (at, now) = (trying.node, self.now);
        let zone = super::plan::zone(at);
        let turn = self.last_number;
        let node = &mut self.nodes[at];
        let candidates = match trying.attempt_loop.candidates(&node.view, now, &zone) {
            Ok(candidates) => candidates,
            Err(trouble) => return self.answer_pending(trying, Err(trouble)),
        };
        let Some(picked) = node.selector.select(now, &candidates, turn) else {
            let trouble = trying.attempt_loop.no_backend();
            return self.answer_pending(trying, Err(trouble));
        };
        let dispatched =
            trying
                .attempt_loop
                .next_attempt(&node.view, now, &picked, &format!("n{at}"));
        trying.selected = picked;
        self.last_number += 1;
        let (number, until) = (self.last_number, trying.attempt_loop.deadline());
        self.attempt_loops.insert(number, trying);
        match dispatched {
            Ok((dispatch, None)) => {
                self.schedule(now, Event::Arrive(number, at, Box::new(dispatch), now))
            }
            Ok((dispatch, Some((address, life)))) => {
                let to: usize = address
                    .rsplit(':')
                    .next()
                    .and_then(|port| port.parse().ok())
                    .unwrap_or(0);
                let time = now + self.draw_delay();
                if self.nodes[to].incarnation == life {
                    self.schedule(time, Event::Arrive(number, to, Box::new(dispatch), now));
                } else {
                    self.schedule(
                        time,
                        Event::Reply(
                            number,
                            Err(Error::new(ErrorKind::Unreachable, "another life")),
                        ),
                    );
                }
            }
            Err(trouble) => self.schedule(now, Event::Reply(number, Err(trouble))),
        }
        self.schedule(until.max(now + 1), Event::DeadlinePassed(number));
    }

    fn answer_pending(&mut self, trying: PendingAttempt, answer: Result<(), Error>) {
        let service = trying.attempt_loop.service().to_string();
        self.answer(trying.node, &service, &trying.attempt_id, answer);
    }

    /// The far side's answer, or the end of the wait, reaches the own usher.
    pub(super) fn reply(&mut self, number: u64, answer: Result<(), Error>) {
        let now = self.now;
        let Some(mut trying) = self.attempt_loops.remove(&number) else {
            return;
        };
        let node = &mut self.nodes[trying.node];
        let bench = matches!(&answer, Err(trouble) if trouble.kind != ErrorKind::DuplicateAttempt);
        node.selector.attempt_finished(now, &trying.selected, bench);
        let Err(mut trouble) = answer else {
            return self.answer_pending(trying, Ok(()));
        };
        if self.plan.disabled.honest_verdicts
            && matches!(trouble.kind, ErrorKind::PeerLost | ErrorKind::BackendLost)
        {
            trouble.execution_status = ExecutionStatus::NotRun;
        }
        let picked = trying.selected.clone();
        let service = trying.attempt_loop.service().to_string();
        if trying.attempt_loop.may_retry(&picked, &trouble)
            && self.nodes[trying.node].retry_budget.withdraw(&service)
        {
            self.checks.retry(now, &service);
            return self.dispatch(trying);
        }
        let given_up = trying.attempt_loop.final_error(trouble);
        self.answer_pending(trying, Err(given_up));
    }
}
