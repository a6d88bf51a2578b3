//! Handles the events of a simulated site: freshness proofs with state updates, nodes' reports, heartbeats, operators'
//! changes and faults (design 9.8).

use super::{Event, Site};
use model::{Entry, Microseconds, Operation, Outcome, endpoint_status::EndpointReport};
use std::sync::Arc;

/// Interval between two freshness-proof requests of a node, in microseconds.
const PROOF_INTERVAL_US: Microseconds = 250_000;
/// Time without a freshness proof after which a node switches to another replica and avoids its relay, in microseconds.
const PROOF_TIMEOUT_US: Microseconds = 750_000;

impl Site {
    fn node_of(event: &Event) -> Option<usize> {
        match event {
            Event::NodeTick(node_index)
            | Event::RequestProof(node_index)
            | Event::ProofArrives(node_index, ..)
            | Event::SendAttempt(node_index, _)
            | Event::RequestArrives(_, node_index, ..) => Some(*node_index),
            Event::RelayProofRequest(node_index, ..) | Event::ReportAnswered(node_index, ..) => {
                Some(*node_index)
            }
            _ => None,
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::ResponseArrives(number, _) | Event::DeadlinePassed(number) => self
                .pending_attempts
                .get(number)
                .map(|pending| pending.node),
            Event::RunEnds(number) => self.runs.get(number).map(|run| run.node),
            Event::Heartbeat(process) => Some(self.processes[*process].node),
            other => Site::node_of(other),
        };
        if let Some(node_index) = node.filter(|node_index| self.nodes[*node_index].frozen) {
            return self.nodes[node_index].deferred.push(event);
        }
        let now = self.now;
        match event {
            Event::Fault(fault) => self.apply_fault(fault),
            Event::NodeTick(node_index) => {
                self.pump_slots(node_index);
                self.schedule(now + 20_000, Event::NodeTick(node_index));
            }
            Event::RequestProof(node_index) => {
                self.request_proof(node_index);
                self.schedule(now + PROOF_INTERVAL_US, Event::RequestProof(node_index));
            }
            Event::ReplicaProofRequest(node_index, replica_id, requested_at) => {
                if self.replicas.is_running(replica_id) {
                    self.last_number += 1;
                    self.pending_reads
                        .insert(self.last_number, (node_index, requested_at));
                    let token = self.last_number;
                    self.replicas.world.read(replica_id, token);
                }
            }
            Event::RelayProofRequest(relay, from, requested_at) => {
                let follows_replica = self.nodes[relay].follows_replica;
                if follows_replica && !self.nodes[relay].cut_off {
                    self.nodes[relay]
                        .waiting_nodes
                        .push((from, requested_at, now));
                    self.request_proof(relay);
                }
            }
            Event::ProofArrives(node_index, requested_at, slice) => {
                self.receive_proof(node_index, requested_at, *slice)
            }
            Event::Heartbeat(process) => self.heartbeat(process),
            Event::Report(node_index, incarnation, replica_id, entry) => {
                let is_received = self.nodes[node_index].incarnation == incarnation
                    && !self.nodes[node_index].cut_off
                    && self.replicas.is_running(replica_id);
                if is_received {
                    self.reports.insert(
                        (entry.origin.clone(), entry.incarnation, entry.sequence),
                        node_index,
                    );
                    self.replicas.submit(replica_id, &entry);
                }
            }
            Event::ReportAnswered(node_index, incarnation, sequence, outcome) => {
                self.report_answered(node_index, incarnation, sequence, outcome)
            }
            Event::OperatorChange => self.submit_operator_change(),
            Event::SendAttempt(node_index, number) => self.send_attempt(node_index, number),
            Event::RequestArrives(number, node_index, request, sent_at) => {
                self.receive_request(number, node_index, *request, sent_at)
            }
            Event::ResponseArrives(number, response) => self.receive_response(number, response),
            Event::DeadlinePassed(number) => self.receive_response(
                number,
                Err(model::Error::new(
                    model::ErrorKind::TimedOut,
                    "no response in time",
                )),
            ),
            Event::RunEnds(number) => self.end_run(number),
            Event::BackendStarts(node_index) => self.start_backend(node_index),
        }
    }

    /// Handles the entries that replicas have applied, and the reads that they have proved, since the last event.
    pub(super) fn collect_replica_events(&mut self) {
        let (applied, proofs) = self.replicas.advance(self.now);
        applied.into_iter().for_each(|(replica_id, key, outcome)| {
            if let Some(node_index) = self.reports.get(&key).copied() {
                let time = self.now + self.draw_delay();
                self.schedule(
                    time,
                    Event::ReportAnswered(node_index, key.1, key.2, outcome.clone()),
                );
            }
            let is_own = key.0 == format!("core-{replica_id}");
            if let Some(id) = self.changes.get(&key).cloned().filter(|_| is_own)
                && let Outcome::Accepted { position, version } = outcome
            {
                self.changes.remove(&key);
                self.checks
                    .record_accepted_change(self.now, position, version, &id);
            }
        });
        proofs.into_iter().for_each(|(token, replica_id)| {
            let Some((node_index, requested_at)) = self.pending_reads.remove(&token) else {
                return;
            };
            let slice = model::StateSlice::for_services(
                self.replicas.state_machine(replica_id),
                &self.nodes[node_index].slot_owner.services(),
            );
            let time = self.now + self.draw_delay();
            self.schedule(
                time,
                Event::ProofArrives(node_index, requested_at, Box::new(slice)),
            );
        });
    }

    /// Requests a freshness proof from the zone's relay, or from a replica if there is no relay. A relay or replica that has
    /// sent no proof in time is replaced by another one.
    fn request_proof(&mut self, node_index: usize) {
        let (now, wait) = (self.now, self.draw_delay());
        let replica_count = self.plan.replica_count;
        let node = &mut self.nodes[node_index];
        let relay = control::updates::zone_relay::select_zone_relay(
            &node.view.slice,
            &super::plan::zone(node_index),
            &node.slot_owner.services(),
        );
        let relay = relay
            .and_then(|(name, _)| name[1..].parse::<usize>().ok())
            .filter(|relay| *relay != node_index);
        if now > node.proved_at + PROOF_TIMEOUT_US {
            node.proved_at = now;
            node.replica_id = (node.replica_id + 1) % replica_count;
            node.avoided_relay = relay.map(|relay| (relay, now + 3_000_000));
        }
        let relay = relay.filter(|relay| {
            node.avoided_relay
                .is_none_or(|(avoided, until)| avoided != *relay || now >= until)
        });
        node.follows_replica = relay.is_none();
        if node.cut_off {
            return;
        }
        let replica_id = node.replica_id;
        match relay {
            Some(relay) => {
                self.schedule(now + wait, Event::RelayProofRequest(relay, node_index, now))
            }
            None => self.schedule(
                now + wait,
                Event::ReplicaProofRequest(node_index, replica_id, now),
            ),
        }
    }

    fn receive_proof(
        &mut self,
        node_index: usize,
        requested_at: Microseconds,
        mut slice: model::StateSlice,
    ) {
        if self.plan.disabled.key_handover_wait {
            slice.longest_requests.clear();
        }
        let (now, validity, position) = (self.now, self.plan.proof_validity(), slice.position);
        let accepts_older = self.plan.disabled.update_order;
        let node = &mut self.nodes[node_index];
        if node.cut_off {
            return;
        }
        node.proved_at = now;
        match node.view.with_update(slice.clone()) {
            Some(view) => node.view = view,
            None if accepts_older => {
                node.view = control::View {
                    slice: Arc::new(slice),
                    fresh_until: requested_at + validity,
                }
            }
            None => {}
        }
        node.view
            .with_proof(requested_at, position, validity)
            .into_iter()
            .for_each(|view| node.view = view);
        let (incarnation, state, fresh) = (
            node.incarnation,
            node.view.slice.clone(),
            node.view.is_fresh(now),
        );
        let (answerable, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut node.waiting_nodes)
            .into_iter()
            .partition(|(.., arrived)| *arrived <= requested_at);
        node.waiting_nodes = remaining;
        self.checks
            .check_held_position(now, node_index, incarnation, state.position, fresh);
        answerable.into_iter().for_each(|(from, requested_at, _)| {
            let services = self.nodes[from].slot_owner.services();
            if services.is_subset(&state.services)
                && state.position >= self.nodes[from].view.slice.position
            {
                let time = now + self.draw_delay();
                self.schedule(
                    time,
                    Event::ProofArrives(from, requested_at, Box::new(state.narrowed_to(&services))),
                );
            }
        });
    }

    fn pump_slots(&mut self, node_index: usize) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        let view = node.view.clone();
        let admissions = node.slot_owner.admit_queued(now, &view);
        let mut reports = node.slot_owner.take_reports();
        if self.plan.disabled.draining {
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
        self.handle_admissions(node_index, admissions);
        if self.nodes[node_index].stopping
            && (self.is_idle(node_index) || self.plan.disabled.graceful_stop)
        {
            self.lose_node(node_index, true);
            self.restart(node_index);
        }
        self.send_report(node_index);
    }

    /// Sends one report at a time. If a replica does not answer, the report is resent to the next one.
    fn send_report(&mut self, node_index: usize) {
        let (now, wait, replica_count) = (self.now, self.draw_delay(), self.plan.replica_count);
        let node = &mut self.nodes[node_index];
        if node.entry.is_none()
            && let Some(report) = node.outbox.pop_front()
        {
            node.sequence += 1;
            let entry = Entry {
                origin: format!("n{node_index}"),
                incarnation: node.incarnation,
                sequence: node.sequence,
                operation: Operation::EndpointReport(report),
            };
            node.entry = Some((entry, 0));
        }
        let (incarnation, replica_id) = (node.incarnation, node.replica_id);
        let Some((entry, sent_at)) = node
            .entry
            .as_mut()
            .filter(|(_, sent_at)| *sent_at == 0 || now > *sent_at + 700_000)
        else {
            return;
        };
        if *sent_at > 0 {
            node.replica_id = (replica_id + 1) % replica_count;
        }
        *sent_at = now;
        let entry = Box::new(entry.clone());
        let replica_id = node.replica_id;
        self.schedule(
            now + wait,
            Event::Report(node_index, incarnation, replica_id, entry),
        );
    }

    /// Handles a report that the log rejected because it holds another incarnation of the node. Registers the node as the
    /// successor of the incarnation in its view, and resends the report after the registration.
    fn register_again(&mut self, node_index: usize, report: EndpointReport) {
        let registration = self.registration(node_index);
        let node = &mut self.nodes[node_index];
        match report {
            EndpointReport::NodeRegistered { .. } => {}
            // The backend registers again, with a higher incarnation than the one in the log.
            EndpointReport::BackendRegistered { name, backend } => {
                node.slot_owner
                    .confirm(self.now, &name, backend.incarnation, false)
            }
            other => node.outbox.push_front(other),
        }
        node.outbox.push_front(registration);
    }

    fn report_answered(
        &mut self,
        node_index: usize,
        incarnation: u64,
        sequence: u64,
        outcome: Outcome,
    ) {
        let node = &mut self.nodes[node_index];
        let is_own = node.incarnation == incarnation
            && node
                .entry
                .as_ref()
                .is_some_and(|(entry, _)| entry.sequence == sequence);
        let Some((entry, _)) = node.entry.take_if(|_| is_own && !node.cut_off) else {
            return;
        };
        if let (Outcome::Superseded { .. }, Operation::EndpointReport(report)) =
            (&outcome, &entry.operation)
        {
            return self.register_again(node_index, report.clone());
        }
        let node = &mut self.nodes[node_index];
        if let Operation::EndpointReport(EndpointReport::BackendRegistered { name, backend }) =
            entry.operation
        {
            let accepted = matches!(
                outcome,
                Outcome::Accepted { .. } | Outcome::Unchanged { .. }
            );
            node.slot_owner
                .confirm(self.now, &name, backend.incarnation, accepted);
        }
        self.send_report(node_index);
    }
}
