//! Forwarded requests at the backend's node, and their runs in backends (design 9.8).

use super::plan::CLIENT_TIMEOUT_US;
use super::{Event, Site};
use model::{Error, ErrorKind, Microseconds};

/// A request that a backend is running.
pub(super) struct Run {
    pub node: usize,
    number: u64,
    incarnation: u64,
    permit: legacy_proxy::slot_owner::Permit,
    request: transport::AttemptRequest,
    process: usize,
    /// Whether the backend's node was lost. The backend continues the run, but its response is discarded.
    pub orphaned: bool,
}

impl Site {
    /// Handles a forwarded request that arrives at the backend's node. Reduces the time left until its deadline by the age
    /// of the request.
    pub(super) fn receive_request(
        &mut self,
        number: u64,
        node_index: usize,
        mut request: transport::AttemptRequest,
        sent_at: Microseconds,
    ) {
        let now = self.now;
        let from = self
            .pending_attempts
            .get(&number)
            .map(|pending| pending.node);
        let is_cut =
            self.nodes[node_index].cut_off || from.is_some_and(|from| self.nodes[from].cut_off);
        if is_cut && from != Some(node_index) {
            return;
        }
        let age = (now - sent_at).saturating_sub(300_000);
        request.time_left = request.time_left.saturating_sub(age);
        let view = self.nodes[node_index].view.clone();
        self.queued_attempts.insert(number, request.clone());
        let admissions = self.nodes[node_index]
            .slot_owner
            .admit(now, &view, number, request);
        self.handle_admissions(node_index, admissions);
    }

    pub(super) fn handle_admissions(
        &mut self,
        node_index: usize,
        admissions: legacy_proxy::slot_owner::Admissions,
    ) {
        admissions.into_iter().for_each(|(number, admission)| {
            let Some(request) = self.queued_attempts.remove(&number) else {
                return;
            };
            match admission {
                Ok(permit) => self.run(node_index, number, permit, request),
                Err(error) => self.schedule_response(node_index, number, Err(error)),
            }
        });
    }

    fn schedule_response(&mut self, node_index: usize, number: u64, response: Result<(), Error>) {
        let Some(from) = self
            .pending_attempts
            .get(&number)
            .map(|pending| pending.node)
        else {
            return;
        };
        let wait = if from == node_index {
            0
        } else {
            self.draw_delay()
        };
        if from == node_index || !(self.nodes[node_index].cut_off || self.nodes[from].cut_off) {
            self.schedule(self.now + wait, Event::ResponseArrives(number, response));
        }
    }

    /// Runs the request in the process that listens on the permit's address at present, at most until the deadline.
    fn run(
        &mut self,
        node_index: usize,
        number: u64,
        permit: legacy_proxy::slot_owner::Permit,
        request: transport::AttemptRequest,
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
            self.nodes[node_index].slot_owner.finish(&permit, true);
            return self.schedule_response(
                node_index,
                number,
                Err(Error::new(ErrorKind::Unreachable, "no connection")),
            );
        };
        if self.processes[process].service != request.service {
            let died_at = self
                .processes
                .iter()
                .filter(|process| process.name == request.backend)
                .filter_map(|process| process.died_at)
                .max();
            self.checks.check_misrouted(
                now,
                died_at,
                format!(
                    "{} for {} reached {}",
                    request.attempt_id, request.service, self.processes[process].name
                ),
            );
            self.nodes[node_index].slot_owner.finish(&permit, false);
            return self.schedule_response(
                node_index,
                number,
                Err(Error::new(
                    ErrorKind::BadSeal,
                    "rejected by another service",
                )),
            );
        }
        let length = self.draw(1_000..CLIENT_TIMEOUT_US / 3);
        let end = (now + length).min(permit.deadline);
        let drained_at = self.processes[process].drained_at;
        self.checks.check_run_start(
            now,
            &request,
            (process, drained_at),
            self.nodes[node_index].view.slice.position,
            end,
        );
        let incarnation = self.nodes[node_index].incarnation;
        self.runs.insert(
            number,
            Run {
                node: node_index,
                number,
                incarnation,
                permit,
                request,
                process,
                orphaned: false,
            },
        );
        self.schedule(end, Event::RunEnds(number));
    }

    pub(super) fn end_run(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let has_ended = !self.processes[run.process].alive;
        if run.orphaned || self.nodes[run.node].incarnation != run.incarnation {
            return;
        }
        let loses_response = self.draw(0..50) == 0;
        self.nodes[run.node].slot_owner.finish(&run.permit, false);
        let response = if has_ended || loses_response {
            Err(Error::new(ErrorKind::BackendLost, "no response"))
        } else {
            Ok(())
        };
        self.schedule_response(run.node, run.number, response);
    }

    /// Ends a backend process and its runs.
    pub(super) fn end_process(&mut self, process: usize) {
        let now = self.now;
        (
            self.processes[process].alive,
            self.processes[process].died_at,
        ) = (false, Some(now));
        let requests: Vec<transport::AttemptRequest> = self
            .runs
            .values()
            .filter(|run| run.process == process)
            .map(|run| run.request.clone())
            .collect();
        requests
            .iter()
            .for_each(|request| self.checks.record_run_end(now, request, process));
    }

    /// Returns whether no request from or to this node is under way.
    pub(super) fn is_idle(&self, node_index: usize) -> bool {
        self.nodes[node_index].slot_owner.running() == 0
            && !self
                .pending_attempts
                .values()
                .any(|pending| pending.node == node_index)
    }

    /// Reports the loss of a node to the nodes that wait for its responses. In a planned loss, each running request is a
    /// violation.
    pub(super) fn lose_node(&mut self, node_index: usize, planned: bool) {
        let waiting: Vec<u64> = self
            .runs
            .values()
            .filter(|run| run.node == node_index && !run.orphaned)
            .map(|run| run.number)
            .collect();
        waiting.into_iter().for_each(|number| {
            if planned {
                self.checks
                    .record_interruption(format!("run {number} at n{node_index}"));
            }
            if self
                .pending_attempts
                .get(&number)
                .is_some_and(|pending| pending.node != node_index)
            {
                self.schedule_response(
                    node_index,
                    number,
                    Err(Error::new(ErrorKind::PeerLost, "the remote node was lost")),
                );
            }
        });
    }
}
