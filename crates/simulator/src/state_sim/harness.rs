//! Runs the simulated replicas and the nodes that follow them, step by step.

use std::mem;

use model::cluster_state::items::ItemPut;
use model::cluster_state::{ClusterOperation, ItemBody, ItemCall, Route, Service};
use model::{Entry, Microseconds, Operation};

use super::checks::{Disturbance, Disturbances};
use super::node::FollowerNode;
use super::replica::{PublishingReplica, StateHistory};
use super::{Fault, ScheduledFault, StatePlan};
use crate::sim::{Fault as WorldFault, World, WorldPlan};

/// Virtual time of one step, in microseconds.
const STEP_DURATION: Microseconds = 2_000;
/// Time after the end of all faults within which every node has a freshness proof for the newest state, in
/// microseconds. It covers revocations, a round of connection attempts to all replicas and two proof requests.
const RECOVERY_TIME: Microseconds = 8_000_000;
/// Interval between the restarts of two nodes that are restarted in turn, in microseconds.
const RESTART_INTERVAL: Microseconds = 300_000;
/// Number of routes that operators change in turn.
const ROUTE_COUNT: u64 = 7;
/// Operators submit a burst of changes whenever the number of changes so far is a multiple of this value.
const BURST_PERIOD_CHANGES: u64 = 5;
/// Number of changes in a burst.
const BURST_CHANGES: u64 = 4;

/// A run and its results.
pub struct StateHarness {
    pub(super) plan: StatePlan,
    pub(super) world: World,
    replicas: Vec<PublishingReplica>,
    pub(super) nodes: Vec<FollowerNode>,
    pub(super) state_history: StateHistory,
    pub(super) disturbances: Disturbances,
    /// For each replica, the time until which it is cut off from its peers.
    cut_replicas: Vec<Microseconds>,
    last_token: u64,
    change_count: u64,
    next_change_at: Microseconds,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// Number of checks of a served state.
    pub states_checked: usize,
    /// Number of restarts of nodes.
    pub node_restarts: usize,
    /// The longest time for which a checked node lacked an applied change, in microseconds.
    pub longest_lateness: Microseconds,
}

/// Runs a simulated site through `faults`, heals all of them, and checks the states that nodes served meanwhile and hold
/// at the end.
pub fn simulate(plan: StatePlan, faults: &[ScheduledFault]) -> StateHarness {
    let mut harness = StateHarness::new(plan);
    let restarts_in_turn = RESTART_INTERVAL * harness.nodes.len() as u64;
    let ends = faults
        .iter()
        .map(|fault| fault.starts_at + fault.duration + restarts_in_turn);
    let end = ends.max().unwrap_or(0);
    let mut faults = faults.to_vec();
    faults.sort_by_key(|fault| fault.starts_at);
    let mut faults = faults.into_iter().peekable();
    while harness.world.now < end {
        while let Some(fault) = faults.next_if(|fault| fault.starts_at <= harness.world.now) {
            harness.apply_fault(fault);
        }
        harness.step(true);
    }
    harness.heal();
    let end = harness.world.now + RECOVERY_TIME;
    while harness.world.now < end {
        harness.step(false);
    }
    harness.check_final_state();
    harness
}

impl StateHarness {
    fn new(plan: StatePlan) -> StateHarness {
        let replicas = usize::from(plan.replica_count);
        let nodes = (0..plan.node_count).map(|index| FollowerNode::new(&plan, index));
        StateHarness {
            world: World::new(WorldPlan::new(plan.replica_count, plan.seed)),
            replicas: (0..replicas)
                .map(|_| PublishingReplica::default())
                .collect(),
            nodes: nodes.collect(),
            state_history: StateHistory::new(),
            disturbances: Disturbances {
                nodes: (0..plan.node_count).map(|_| Vec::new()).collect(),
                ..Disturbances::default()
            },
            cut_replicas: vec![0; replicas],
            last_token: 0,
            change_count: 0,
            next_change_at: 0,
            violations: Vec::new(),
            states_checked: 0,
            node_restarts: 0,
            longest_lateness: 0,
            plan,
        }
    }

    fn apply_fault(&mut self, fault: ScheduledFault) {
        let ScheduledFault {
            starts_at,
            kind,
            target,
            duration,
        } = fault;
        let end = starts_at + duration;
        let replica = (target % usize::from(self.plan.replica_count)) as u16;
        let node = target % self.nodes.len();
        match kind {
            Fault::RestartNode => self.crash_node(node, starts_at + duration / 8),
            Fault::RestartAllNodes => {
                for node in 0..self.nodes.len() {
                    self.crash_node(node, starts_at + duration / 8);
                }
            }
            Fault::RestartNodesInTurn => {
                for (index, node) in self.nodes.iter_mut().enumerate() {
                    node.restart_at(starts_at + RESTART_INTERVAL * index as u64);
                }
            }
            Fault::DelayUpdates => {
                self.nodes[node].stalled_until = end;
                self.disturb_node(node, starts_at, end);
            }
            Fault::CutNode => {
                self.nodes[node].cut_until = end;
                self.disturb_node(node, starts_at, end);
            }
            Fault::CrashReplica => self.crash_replica(replica, starts_at, end),
            Fault::CrashAllReplicas => {
                for replica in 0..self.plan.replica_count {
                    self.crash_replica(replica, starts_at, starts_at + duration / 4);
                }
            }
            Fault::FreezeReplica => self.freeze_replica(replica, starts_at, end),
            Fault::FreezeZone => self.freeze_zone(target % self.plan.zone_count, starts_at, end),
            Fault::CutReplica => self.cut_replica(replica, starts_at, end),
            Fault::ReplaceReplica => self.schedule(starts_at, WorldFault::Replace(replica)),
        }
    }

    /// Schedules a fault at a replica, and records the disturbance.
    fn schedule(&mut self, time: Microseconds, fault: WorldFault) {
        self.disturbances.core.push(time);
        self.world.schedule_fault(time, fault);
    }

    fn disturb_node(&mut self, node: usize, from: Microseconds, until: Microseconds) {
        self.disturbances.nodes[node].push(Disturbance { from, until });
    }

    fn crash_replica(&mut self, replica: u16, starts_at: Microseconds, end: Microseconds) {
        self.schedule(starts_at, WorldFault::Crash(replica));
        self.schedule(end, WorldFault::Start(replica));
    }

    fn freeze_replica(&mut self, replica: u16, starts_at: Microseconds, end: Microseconds) {
        self.schedule(starts_at, WorldFault::Freeze(replica));
        self.schedule(end, WorldFault::Unfreeze(replica));
    }

    fn freeze_zone(&mut self, zone: usize, starts_at: Microseconds, end: Microseconds) {
        let minority = (usize::from(self.plan.replica_count) - 1) / 2;
        let in_zone = |replica: &u16| usize::from(*replica) % self.plan.zone_count == zone;
        let replicas = (0..self.plan.replica_count).filter(in_zone).take(minority);
        for replica in replicas.collect::<Vec<_>>() {
            self.freeze_replica(replica, starts_at, end);
        }
    }

    fn cut_replica(&mut self, replica: u16, starts_at: Microseconds, end: Microseconds) {
        for peer in (0..self.plan.replica_count).filter(|peer| *peer != replica) {
            self.schedule(starts_at, WorldFault::CutLink(replica, peer));
            self.schedule(starts_at, WorldFault::CutLink(peer, replica));
        }
        // `HealLinks` heals all links, so it also ends the cuts of other replicas.
        self.schedule(end, WorldFault::HealLinks);
        self.cut_replicas[usize::from(replica)] = end;
    }

    fn crash_node(&mut self, node: usize, until: Microseconds) {
        self.node_restarts += 1;
        let last_replica = u64::from(self.plan.replica_count) - 1;
        let seed_replica = self.world.draw((0, last_replica)) as usize;
        self.nodes[node].crash(&self.plan, until, seed_replica);
        self.disturb_node(node, self.world.now, until);
    }

    fn heal(&mut self) {
        let now = self.world.now;
        self.schedule(now, WorldFault::HealLinks);
        for replica in 0..self.plan.replica_count {
            self.schedule(now, WorldFault::Unfreeze(replica));
            self.schedule(now, WorldFault::Start(replica));
        }
        for node in &mut self.nodes {
            node.cut_until = 0;
            node.stalled_until = 0;
        }
    }

    fn step(&mut self, with_changes: bool) {
        let now = self.world.now + STEP_DURATION;
        self.world.run_until(now);
        if with_changes && now >= self.next_change_at {
            self.next_change_at = now + self.plan.change_interval;
            let is_burst = self.change_count.is_multiple_of(BURST_PERIOD_CHANGES);
            for _ in 0..if is_burst { BURST_CHANGES } else { 1 } {
                self.submit_change();
            }
        }
        self.record_lost_majority();
        self.publish();
        self.prove();
        for node_index in 0..self.nodes.len() {
            self.step_node(node_index);
            self.check_served_state(node_index);
        }
    }

    fn record_lost_majority(&mut self) {
        let now = self.world.now;
        let is_working =
            |replica: &usize| self.world.is_running(*replica) && now >= self.cut_replicas[*replica];
        let working = (0..self.replicas.len()).filter(is_working).count();
        if working * 2 <= self.replicas.len() {
            self.disturbances.no_majority_at = Some(now);
        }
    }

    fn publish(&mut self) {
        let now = self.world.now;
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            let process = &self.world.replicas[index];
            let is_up = process.running.is_some();
            if replica.incarnation != process.incarnation || !is_up {
                let incarnation = if is_up { process.incarnation } else { u64::MAX };
                *replica = PublishingReplica::begin(incarnation);
            }
            if self.world.is_running(index) {
                let applied = &self.world.replicas[index].applied;
                replica.publish_applied(applied, &mut self.state_history, now);
            }
        }
    }

    fn prove(&mut self) {
        let now = self.world.now;
        for (token, replica) in mem::take(&mut self.world.proved_reads) {
            self.replicas[usize::from(replica)]
                .publisher
                .send_proofs(token);
        }
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            let token = self.last_token + 1;
            if !self.world.is_running(index) || !replica.publisher.begin_proof_round(now, token) {
                continue;
            }
            self.last_token = token;
            if self.plan.disabled.quorum {
                replica.publisher.send_proofs(token);
            } else {
                self.world.read(index as u16, token);
            }
        }
    }

    fn step_node(&mut self, node_index: usize) {
        let now = self.world.now;
        if self.nodes[node_index].restart_is_due(now) {
            self.crash_node(node_index, now + RESTART_INTERVAL / 2);
        }
        let node = &mut self.nodes[node_index];
        if now >= node.down_until {
            node.step(&self.plan, &mut self.world, &mut self.replicas);
        }
    }

    /// Submits a change of one route at a random replica.
    fn submit_change(&mut self) {
        self.change_count += 1;
        let number = self.change_count;
        let name = format!("route-{}", number % ROUTE_COUNT);
        let route = Route {
            host: "a.example".into(),
            prefix: format!("/{name}/"),
            idempotent: true,
            wait_us: 1_000_000,
            latency_target_us: number,
            rank: 0,
            dispatches: 1,
            shares: vec![("s".into(), 1)],
        };
        let service = Service {
            health_path: String::new(),
            max_connections: 0,
            keyed: false,
            slow_start_us: 0,
        };
        let put = |name: &str, version, body| ItemPut {
            name: name.into(),
            version,
            body,
            text: String::new(),
        };
        let call = ItemCall {
            puts: vec![
                put("s", 1, ItemBody::Service(service)),
                put(&name, number, ItemBody::Route(route)),
            ],
            drops: Vec::new(),
        };
        let entry = Entry {
            origin: "operator".into(),
            incarnation: 1,
            sequence: number,
            operation: Operation::ClusterState(ClusterOperation::Items(call)),
        };
        let replica = self.world.draw((0, u64::from(self.plan.replica_count) - 1)) as u16;
        self.world.submit(replica, entry.to_bytes());
    }
}
