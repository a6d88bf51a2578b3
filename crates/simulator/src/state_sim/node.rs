//! A node that follows the cluster state with the product's selection of replicas and verification of updates.

use std::collections::BTreeMap;
use std::sync::Arc;

use control::updates::upstreams::{
    Action, Candidate, CloseReason, ReplicaKey, UpstreamId, UpstreamTiming, Upstreams,
};
use control::updates::verification::{StateFollower, UpdateOutcome};
use model::cluster_state::StateSnapshot;
use model::{Microseconds, Position};
use transport::Frame;

use super::connection::UpdateConnection;
use super::plan::{DisabledGuards, StatePlan};
use super::replica::PublishingReplica;
use crate::sim::World;

/// Timeout for opening a connection, in microseconds.
const HANDSHAKE_TIMEOUT: Microseconds = 1_000_000;
/// Time after a start for which a process knows only its seed replica, in microseconds. Afterwards it knows all replicas.
const DISCOVERY_TIME: Microseconds = 200_000;

/// A node, with its state over all incarnations.
pub(super) struct FollowerNode {
    is_own_zone: Vec<bool>,
    upstreams: Upstreams,
    pub follower: StateFollower,
    connections: BTreeMap<UpstreamId, UpdateConnection>,
    next_poll_at: Microseconds,
    /// The only replica that the current incarnation knows at its start.
    seed_replica: usize,
    /// The time until which the process is not running.
    pub down_until: Microseconds,
    /// The time until which the node is cut off from all replicas.
    pub cut_until: Microseconds,
    /// The time until which received frames are held back.
    pub stalled_until: Microseconds,
    /// The time of a scheduled restart.
    restarts_at: Option<Microseconds>,
    /// The newest position that any of its incarnations served from.
    pub highest_served: Position,
    /// The newest position that any of its incarnations received.
    highest_received: Position,
    /// Whether the current incarnation has verified a state.
    has_verified: bool,
    /// Number of updates with an older state than an earlier incarnation had received, which arrived before the
    /// incarnation's first freshness proof.
    pub older_updates_received: usize,
}

fn new_upstreams(plan: &StatePlan, seed: u64) -> Upstreams {
    let timing = UpstreamTiming {
        proof_interval: plan.proof_interval,
        proof_timeout: plan.proof_interval,
    };
    Upstreams::new(timing, plan.seed ^ seed)
}

impl FollowerNode {
    pub(super) fn new(plan: &StatePlan, index: usize) -> FollowerNode {
        let zone = index % plan.zone_count;
        let replicas = 0..usize::from(plan.replica_count);
        FollowerNode {
            is_own_zone: replicas
                .map(|replica| replica % plan.zone_count == zone)
                .collect(),
            upstreams: new_upstreams(plan, index as u64),
            follower: StateFollower::default(),
            connections: BTreeMap::new(),
            next_poll_at: 0,
            seed_replica: 0,
            down_until: 0,
            cut_until: 0,
            stalled_until: 0,
            restarts_at: None,
            highest_served: 0,
            highest_received: 0,
            has_verified: false,
            older_updates_received: 0,
        }
    }

    pub(super) fn crash(&mut self, plan: &StatePlan, until: Microseconds, seed_replica: usize) {
        self.seed_replica = seed_replica;
        self.upstreams = new_upstreams(plan, until);
        self.follower = StateFollower::default();
        self.connections.clear();
        self.has_verified = false;
        self.next_poll_at = 0;
        self.down_until = self.down_until.max(until);
    }

    pub(super) fn restart_at(&mut self, time: Microseconds) {
        self.restarts_at = Some(time);
    }

    pub(super) fn restart_is_due(&mut self, now: Microseconds) -> bool {
        self.restarts_at.take_if(|time| now >= *time).is_some()
    }

    /// Runs one step of the node while its process is running.
    pub(super) fn step(
        &mut self,
        plan: &StatePlan,
        world: &mut World,
        replicas: &mut [PublishingReplica],
    ) {
        let now = world.now;
        if now >= self.cut_until {
            for id in self.connection_ids() {
                self.exchange(id, plan, world, replicas);
            }
        }
        self.time_out_attempts(now);
        if now >= self.next_poll_at {
            let candidates = self.candidates(now);
            for action in self.upstreams.poll(now, &candidates) {
                self.perform(action, plan, world);
            }
            self.next_poll_at = self.upstreams.next_poll_at(now);
        }
    }

    fn connection_ids(&self) -> Vec<UpstreamId> {
        self.connections.keys().copied().collect()
    }

    fn candidates(&self, now: Microseconds) -> Vec<Candidate> {
        let candidate = |(replica, is_own_zone): (usize, &bool)| Candidate {
            key: ReplicaKey {
                replica_id: replica as u16,
                disk_id: 1,
            },
            address: replica.to_string(),
            is_own_zone: *is_own_zone,
        };
        let mut candidates: Vec<Candidate> =
            self.is_own_zone.iter().enumerate().map(candidate).collect();
        candidates.sort_by_key(|candidate| !candidate.is_own_zone);
        if now < self.down_until + DISCOVERY_TIME {
            let seed = self.seed_replica as u16;
            candidates.retain(|candidate| candidate.key.replica_id == seed);
        }
        candidates
    }

    fn perform(&mut self, action: Action, plan: &StatePlan, world: &mut World) {
        match action {
            Action::Dial {
                upstream,
                candidate,
            } => {
                if plan.disabled.keep_replica {
                    self.close_others(upstream, world.now);
                }
                let arrives_at = world.now + world.draw(plan.network_delay);
                let replica = usize::from(candidate.key.replica_id);
                let times_out_at = world.now + HANDSHAKE_TIMEOUT;
                let connection = UpdateConnection::new(replica, arrives_at, times_out_at);
                self.connections.insert(upstream, connection);
            }
            Action::RequestProof { upstream, frame } => self.send(upstream, frame, plan, world),
            Action::Close { upstream, .. } => drop(self.connections.remove(&upstream)),
        }
    }

    /// Closes all connections but one, as a node would that does not keep its replica until another one has proved its
    /// state.
    fn close_others(&mut self, kept: UpstreamId, now: Microseconds) {
        for id in self.connection_ids() {
            if id != kept {
                self.upstreams.on_ended(now, id, CloseReason::Closed);
                self.connections.remove(&id);
            }
        }
    }

    fn send(&mut self, upstream: UpstreamId, frame: Frame, plan: &StatePlan, world: &mut World) {
        let arrives_at = world.now + world.draw(plan.network_delay);
        if let Some(connection) = self.connections.get_mut(&upstream) {
            connection.send_to_replica(arrives_at, frame);
        }
    }

    fn end(&mut self, id: UpstreamId, now: Microseconds, reason: CloseReason) {
        self.connections.remove(&id);
        self.upstreams.on_ended(now, id, reason);
        self.next_poll_at = now;
    }

    fn time_out_attempts(&mut self, now: Microseconds) {
        let overdue = |connection: &UpdateConnection| {
            connection.incarnation.is_none() && now >= connection.times_out_at
        };
        let connections = self.connections.iter();
        let unanswered = connections.filter(|(_, connection)| overdue(connection));
        let unanswered: Vec<UpstreamId> = unanswered.map(|(id, _)| *id).collect();
        for id in unanswered {
            self.end(id, now, CloseReason::Unreachable);
        }
    }

    /// Opens or ends a connection, or delivers its frames in both directions.
    fn exchange(
        &mut self,
        id: UpstreamId,
        plan: &StatePlan,
        world: &mut World,
        replicas: &mut [PublishingReplica],
    ) {
        let now = world.now;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let replica = connection.replica;
        let process = &world.replicas[replica];
        let running_incarnation = process.running.is_some().then_some(process.incarnation);
        match connection.incarnation {
            None if now < connection.arrives_at => return,
            None if running_incarnation.is_none() => {
                return self.end(id, now, CloseReason::Unreachable);
            }
            // A frozen process neither accepts nor refuses a connection.
            None if !world.is_running(replica) => return,
            None => {
                connection.incarnation = running_incarnation;
                self.open(id, plan, world);
            }
            incarnation if incarnation != running_incarnation => {
                return self.end(id, now, CloseReason::Closed);
            }
            Some(_) => {}
        }
        if world.is_running(replica) {
            self.deliver_to_replica(id, now, &mut replicas[replica]);
        }
        self.deliver_to_node(id, plan, world);
    }

    fn open(&mut self, id: UpstreamId, plan: &StatePlan, world: &mut World) {
        if plan.disabled.forward_only {
            self.follower = StateFollower::default();
        }
        let request = Frame::FollowClusterState {
            held_position: self.follower.held_position(),
        };
        self.send(id, request, plan, world);
        let replica = self
            .connections
            .get(&id)
            .map(|connection| connection.replica);
        let is_own_zone = replica.is_some_and(|replica| self.is_own_zone[replica]);
        self.upstreams.on_connected(world.now, id, is_own_zone);
        self.next_poll_at = world.now;
    }

    fn deliver_to_replica(
        &mut self,
        id: UpstreamId,
        now: Microseconds,
        to: &mut PublishingReplica,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        while let Some(frame) = connection.arrived_at_replica(now) {
            let sender = connection.sender.clone();
            match frame {
                Frame::FollowClusterState { held_position } => {
                    to.publisher.add_follower(held_position, sender);
                }
                Frame::RequestProof { request_id } => {
                    to.publisher.request_proof(request_id, sender)
                }
                _ => {}
            }
        }
    }

    fn deliver_to_node(&mut self, id: UpstreamId, plan: &StatePlan, world: &mut World) {
        let now = world.now;
        let arrives_at = now + world.draw(plan.network_delay);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.send_to_node(arrives_at.max(self.stalled_until));
        while let Some(connection) = self.connections.get_mut(&id)
            && let Some(frame) = connection.arrived_at_node(now)
        {
            self.receive(id, frame, plan, world);
        }
    }

    fn receive(&mut self, id: UpstreamId, frame: Frame, plan: &StatePlan, world: &mut World) {
        let now = world.now;
        if let Frame::ClusterStateUpdate { to, .. } = &frame
            && !self.has_verified
            && *to < self.highest_received
        {
            self.older_updates_received += 1;
        }
        let Some(requests) = self.upstreams.proof_requests_mut(id) else {
            return;
        };
        let outcome = self.follower.handle_frame(frame, requests);
        self.highest_received = self.highest_received.max(self.follower.held_position());
        match outcome {
            UpdateOutcome::Verified => {
                self.has_verified = true;
                for action in self.upstreams.on_verified(now, id) {
                    self.perform(action, plan, world);
                }
                self.next_poll_at = now;
            }
            UpdateOutcome::Inconsistent => self.end(id, now, CloseReason::Inconsistent),
            UpdateOutcome::Updated | UpdateOutcome::Ignored => {}
        }
    }

    /// Returns the state from which the node serves its routes.
    pub(super) fn served_state(&self, disabled: &DisabledGuards) -> Option<Arc<StateSnapshot>> {
        if disabled.proof || disabled.forward_only && self.has_verified {
            let received = self.follower.received().clone();
            Some(received).filter(|received| received.position > 0)
        } else {
            self.follower.verified().map(|verified| verified.snapshot)
        }
    }
}
