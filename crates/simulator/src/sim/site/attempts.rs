//! Simulated clients, and the attempt loops of their requests at the client's node (design 9.8).

use super::plan::{CLIENT_TIMEOUT_US, ROUTES, SiteRoute};
use super::{Event, Site};
use model::{Error, ErrorKind, ExecutionStatus};

/// An attempt that a client may send more than once.
pub(super) struct ClientAttempt {
    pub id: String,
    pub route: SiteRoute,
    pub key: String,
    pub process: usize,
}

/// A forwarded attempt whose response the client's node is waiting for.
pub(super) struct PendingAttempt {
    pub node: usize,
    attempt_loop: legacy_proxy::attempt_loop::AttemptLoop,
    selected: String,
    attempt_id: String,
}

impl Site {
    /// Sends a new attempt if `number` is `u64::MAX`. Otherwise resends an earlier attempt, possibly to a restarted node.
    pub(super) fn send_attempt(&mut self, node_index: usize, number: u64) {
        let number = if number == u64::MAX {
            let pause = self.draw(20_000..60_000);
            self.schedule(self.now + pause, Event::SendAttempt(node_index, u64::MAX));
            let Some(process) = self
                .main_process(node_index)
                .filter(|process| !self.processes[*process].attempt_prefix.is_empty())
            else {
                return;
            };
            let client = self.processes[process].service;
            let routes: Vec<SiteRoute> = ROUTES
                .iter()
                .filter(|route| route.0 == client)
                .copied()
                .collect();
            let (route, key) = (
                routes[self.draw(0..routes.len() as u64) as usize],
                format!("k{}", self.draw(0..5)),
            );
            let id = format!(
                "{}{}/{}",
                self.processes[process].attempt_prefix,
                client,
                self.attempts.len()
            );
            self.attempts.push(ClientAttempt {
                id,
                route,
                key,
                process,
            });
            let number = self.attempts.len() as u64 - 1;
            if self.draw(0..8) == 0 {
                let delay = self.draw(0..4_000_000);
                self.schedule(self.now + delay, Event::SendAttempt(node_index, number));
            }
            number
        } else {
            number
        };
        let (now, attempt) = (self.now, &self.attempts[number as usize]);
        // The client uses the secret of its current registration, although the attempt id may be of an earlier one.
        let secret = self
            .main_process(node_index)
            .filter(|process| *process == attempt.process)
            .map(|process| self.processes[process].secret.clone());
        let Some(secret) = secret else { return };
        let (attempt_id, route, key) = (attempt.id.clone(), attempt.route, attempt.key.clone());
        let accepted = self.accept_attempt(node_index, &secret, &attempt_id);
        let started = accepted.and_then(|client| {
            if self.nodes[node_index].stopping {
                return Err(Error::new(ErrorKind::ShuttingDown, "the node is stopping"));
            }
            let request = legacy_proxy::Request {
                attempt_id: attempt_id.clone(),
                service: route.1.into(),
                method: "POST".into(),
                path: route.2.into(),
                query: String::new(),
                headers: vec![],
                body: vec![],
                shard_key: route.3.then_some(key),
                timeout: Some(CLIENT_TIMEOUT_US),
            };
            legacy_proxy::attempt_loop::AttemptLoop::begin(
                &self.nodes[node_index].view,
                now,
                client,
                request,
            )
        });
        match started {
            Ok(attempt_loop) => {
                self.nodes[node_index].retry_budget.deposit(route.1);
                self.checks.record_first_attempt(now, route.1);
                self.dispatch(PendingAttempt {
                    node: node_index,
                    attempt_loop,
                    selected: String::new(),
                    attempt_id,
                });
            }
            Err(error) => self.answer(node_index, route.1, &attempt_id, Err(error)),
        }
    }

    fn accept_attempt(
        &mut self,
        node_index: usize,
        secret: &str,
        attempt_id: &str,
    ) -> Result<legacy_proxy::ClientId, Error> {
        let skips_deduplication = self.plan.disabled.attempt_deduplication;
        let node = &mut self.nodes[node_index];
        let client = node
            .slot_owner
            .clients()
            .get(secret)
            .cloned()
            .ok_or_else(|| Error::new(ErrorKind::UnknownClient, "no such secret"))?;
        if skips_deduplication {
            return Ok(client);
        }
        if !attempt_id.starts_with(&client.attempt_prefix) {
            return Err(Error::new(
                ErrorKind::EarlierIncarnation,
                "the attempt id is of another registration",
            ));
        }
        node.accepted_attempts.accept(attempt_id).map(|()| client)
    }

    fn answer(
        &mut self,
        node_index: usize,
        service: &str,
        attempt_id: &str,
        answer: Result<(), Error>,
    ) {
        if let Err(error) = answer.as_ref().map_err(Clone::clone)
            && error.execution_status == ExecutionStatus::NotRun
        {
            self.nodes[node_index]
                .accepted_attempts
                .record_not_run(attempt_id, error);
        }
        self.checks
            .record_answer(self.now, service, attempt_id, answer.as_ref().err());
    }

    /// Selects a backend and forwards the attempt to it, or answers with the final error.
    fn dispatch(&mut self, mut pending: PendingAttempt) {
        let (node_index, now) = (pending.node, self.now);
        let zone = super::plan::zone(node_index);
        let sequence = self.last_number;
        let node = &mut self.nodes[node_index];
        let candidates = match pending.attempt_loop.candidates(&node.view, now, &zone) {
            Ok(candidates) => candidates,
            Err(error) => return self.answer_pending(pending, Err(error)),
        };
        let Some(selected_backend) = node.selector.select(now, &candidates, sequence) else {
            let error = pending.attempt_loop.no_backend_error();
            return self.answer_pending(pending, Err(error));
        };
        let next_attempt = pending.attempt_loop.next_attempt(
            &node.view,
            now,
            &selected_backend,
            &format!("n{node_index}"),
        );
        pending.selected = selected_backend;
        self.last_number += 1;
        let (number, deadline) = (self.last_number, pending.attempt_loop.deadline());
        self.pending_attempts.insert(number, pending);
        match next_attempt {
            Ok((request, None)) => self.schedule(
                now,
                Event::RequestArrives(number, node_index, Box::new(request), now),
            ),
            Ok((request, Some((address, incarnation)))) => {
                let target: usize = address
                    .rsplit(':')
                    .next()
                    .and_then(|port| port.parse().ok())
                    .unwrap_or(0);
                let time = now + self.draw_delay();
                if self.nodes[target].incarnation == incarnation {
                    self.schedule(
                        time,
                        Event::RequestArrives(number, target, Box::new(request), now),
                    );
                } else {
                    self.schedule(
                        time,
                        Event::ResponseArrives(
                            number,
                            Err(Error::new(ErrorKind::Unreachable, "the node was restarted")),
                        ),
                    );
                }
            }
            Err(error) => self.schedule(now, Event::ResponseArrives(number, Err(error))),
        }
        self.schedule(deadline.max(now + 1), Event::DeadlinePassed(number));
    }

    fn answer_pending(&mut self, pending: PendingAttempt, answer: Result<(), Error>) {
        let service = pending.attempt_loop.service().to_string();
        self.answer(pending.node, &service, &pending.attempt_id, answer);
    }

    /// Handles the response to a forwarded attempt, or its timeout, at the client's node.
    pub(super) fn receive_response(&mut self, number: u64, answer: Result<(), Error>) {
        let now = self.now;
        let Some(mut pending) = self.pending_attempts.remove(&number) else {
            return;
        };
        let node = &mut self.nodes[pending.node];
        let is_failure = matches!(&answer, Err(error) if error.kind != ErrorKind::DuplicateAttempt);
        node.selector
            .attempt_finished(now, &pending.selected, is_failure);
        let Err(mut error) = answer else {
            return self.answer_pending(pending, Ok(()));
        };
        if self.plan.disabled.unknown_execution
            && matches!(error.kind, ErrorKind::PeerLost | ErrorKind::BackendLost)
        {
            error.execution_status = ExecutionStatus::NotRun;
        }
        let selected_backend = pending.selected.clone();
        let service = pending.attempt_loop.service().to_string();
        if pending.attempt_loop.may_retry(&selected_backend, &error)
            && self.nodes[pending.node].retry_budget.withdraw(&service)
        {
            self.checks.record_retry(now, &service);
            return self.dispatch(pending);
        }
        let final_error = pending.attempt_loop.final_error(error);
        self.answer_pending(pending, Err(final_error));
    }
}
