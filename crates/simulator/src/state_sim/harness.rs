//! The simulated core and its followers, step by step; what is served is judged at each (design 11.6).

use super::node::{FollowerNode, UpdateConnection};
use super::replica::{PublishingReplica, StateHistory};
use super::{Fault, ScheduledFault, StatePlan};
use crate::sim::{Fault as WorldFault, World};
use model::Microseconds;

pub struct StateHarness {
    plan: StatePlan,
    world: World,
    replicas: Vec<PublishingReplica>,
    nodes: Vec<FollowerNode>,
    state_history: StateHistory,
    last_token: u64,
    change_count: u64,
    next_change_at: Microseconds,
    pub violations: Vec<String>,
    /// How often something was judged, and how often a node that had begun anew was told less than it had known.
    pub checked: usize,
    pub restarts: usize,
}

const STEP_US: Microseconds = 2_000;
/// After all is mended every node is proved on the newest within it: revocations, a full round of seats, two askings.
const RECOVERY_US: Microseconds = 8_000_000;
const RESTART_INTERVAL_US: Microseconds = 300_000;

pub fn play(plan: StatePlan, blows: &[ScheduledFault]) -> StateHarness {
    let mut stage = StateHarness::new(plan);
    let last = blows
        .iter()
        .map(|(at, _, _, length)| at + length + RESTART_INTERVAL_US * stage.nodes.len() as u64)
        .max()
        .unwrap_or(0);
    let mut blows = blows.to_vec();
    blows.sort_by_key(|(at, ..)| *at);
    let mut blows = blows.into_iter().peekable();
    while stage.world.now < last {
        while let Some(struck) = blows.next_if(|(at, ..)| *at <= stage.world.now) {
            stage.apply_fault(struck);
        }
        stage.step(true);
    }
    stage.heal();
    let end = stage.world.now + RECOVERY_US;
    while stage.world.now < end {
        stage.step(false);
    }
    stage.check_final_state();
    stage
}

impl StateHarness {
    fn new(plan: StatePlan) -> StateHarness {
        let world = World::new(crate::sim::WorldPlan::new(plan.replica_count, plan.seed));
        let seats = (0..plan.replica_count)
            .map(|_| PublishingReplica::default())
            .collect();
        let nodes = (0..plan.node_count)
            .map(|_| FollowerNode::default())
            .collect();
        let (truth, broken) = Default::default();
        StateHarness {
            plan,
            world,
            replicas: seats,
            nodes,
            state_history: truth,
            last_token: 0,
            change_count: 0,
            next_change_at: 0,
            violations: broken,
            checked: 0,
            restarts: 0,
        }
    }

    fn apply_fault(&mut self, (at, blow, whom, length): ScheduledFault) {
        let (seats, back) = (self.plan.replica_count, at + length);
        let (seat, node) = ((whom % seats as usize) as u16, whom % self.nodes.len());
        let mut faults = |struck: Vec<(Microseconds, WorldFault)>| {
            struck
                .into_iter()
                .for_each(|(time, fault)| self.world.schedule_fault(time, fault))
        };
        let mates = || (0..seats).filter(move |mate| *mate != seat);
        match blow {
            Fault::RestartNode => self.crash_node(node, at + length / 8),
            Fault::RestartAllNodes => {
                (0..self.nodes.len()).for_each(|node| self.crash_node(node, at + length / 8))
            }
            Fault::RestartNodesInTurn => (0..self.nodes.len()).for_each(|node| {
                self.nodes[node].restart_at(at + RESTART_INTERVAL_US * node as u64)
            }),
            Fault::DelayUpdates => self.nodes[node].stalled_until = back,
            Fault::CutNode => self.nodes[node].cut_until = back,
            Fault::CrashReplica => faults(vec![
                (at, WorldFault::Crash(seat)),
                (back, WorldFault::Start(seat)),
            ]),
            Fault::CrashAllReplicas => (0..seats).for_each(|seat| {
                faults(vec![
                    (at, WorldFault::Crash(seat)),
                    (at + length / 4, WorldFault::Start(seat)),
                ])
            }),
            Fault::FreezeReplica => faults(vec![
                (at, WorldFault::Freeze(seat)),
                (back, WorldFault::Unfreeze(seat)),
            ]),
            Fault::CutReplica => faults(
                mates()
                    .flat_map(|mate| {
                        [
                            (at, WorldFault::CutLink(seat, mate)),
                            (at, WorldFault::CutLink(mate, seat)),
                        ]
                    })
                    .chain([(back, WorldFault::HealLinks)])
                    .collect(),
            ),
            Fault::ReplaceReplica => faults(vec![(at, WorldFault::Replace(seat))]),
        }
    }

    fn crash_node(&mut self, node: usize, until: Microseconds) {
        self.restarts += 1;
        self.nodes[node].crash(until);
    }

    fn heal(&mut self) {
        let now = self.world.now;
        self.world.schedule_fault(now, WorldFault::HealLinks);
        (0..self.plan.replica_count).for_each(|seat| {
            [WorldFault::Unfreeze(seat), WorldFault::Start(seat)]
                .into_iter()
                .for_each(|fault| self.world.schedule_fault(now, fault))
        });
        self.nodes
            .iter_mut()
            .for_each(|node| (node.cut_until, node.stalled_until) = (0, 0));
    }

    fn step(&mut self, changing: bool) {
        let now = self.world.now + STEP_US;
        self.world.run_until(now);
        if changing && now >= self.next_change_at {
            self.next_change_at = now + self.plan.change_interval;
            self.submit_change();
        }
        for (seat, held) in self.replicas.iter_mut().enumerate() {
            let node = &self.world.replicas[seat];
            if held.incarnation != node.incarnation || node.replica.is_none() {
                *held = PublishingReplica::begin(if node.replica.is_some() {
                    node.incarnation
                } else {
                    u64::MAX
                });
            }
            if self.world.is_running(seat) {
                held.fold(&self.world.replicas[seat].applied, &mut self.state_history);
            }
        }
        let done = std::mem::take(&mut self.world.proved_reads);
        done.into_iter()
            .for_each(|(token, seat)| self.replicas[seat as usize].publisher.send_proofs(token));
        (0..self.nodes.len()).for_each(|at| self.follow(at, now));
        (0..self.nodes.len()).for_each(|at| self.check_served_state(at));
    }

    /// Lanes of a few names change over and over.
    fn submit_change(&mut self) {
        self.change_count += 1;
        let (number, name) = (self.change_count, format!("lane-{}", self.change_count % 7));
        let (host, prefix) = ("a.example".to_string(), format!("/{name}/"));
        let lane = model::cluster_state::Route {
            host,
            prefix,
            idempotent: true,
            wait_us: 1_000_000,
            latency_target_us: number,
            rank: 0,
            dispatches: 1,
            shares: vec![("s".into(), 1)],
        };
        let service = model::cluster_state::Service {
            health_path: String::new(),
            max_connections: 0,
            keyed: false,
            slow_start_us: 0,
        };
        let put = |name: &str, version, body| model::cluster_state::items::ItemPut {
            name: name.into(),
            version,
            body,
            text: String::new(),
        };
        let puts = vec![
            put("s", 1, model::cluster_state::ItemBody::Service(service)),
            put(&name, number, model::cluster_state::ItemBody::Route(lane)),
        ];
        let act = model::Operation::ClusterState(model::cluster_state::ClusterOperation::Items(
            model::cluster_state::ItemCall {
                puts,
                drops: Vec::new(),
            },
        ));
        let entry = model::Entry {
            origin: "operator".into(),
            incarnation: 1,
            sequence: number,
            operation: act,
        };
        let seat = self.world.draw((0, self.plan.replica_count as u64 - 1)) as u16;
        self.world.submit(seat, entry.to_bytes());
    }

    fn follow(&mut self, at: usize, now: Microseconds) {
        let (world, plan) = (&mut self.world, &self.plan);
        let node = &mut self.nodes[at];
        if node.restart_is_due(now) {
            self.restarts += 1;
            node.crash(now + RESTART_INTERVAL_US / 2);
        }
        if now < node.down_until {
            return;
        }
        let cut = now < node.cut_until;
        let gone = |line: &UpdateConnection| {
            cut || world.replicas[line.replica].replica.is_none()
                || world.replicas[line.replica].incarnation != line.incarnation
        };
        if node.connection.as_ref().is_some_and(gone) {
            node.connection = None;
        }
        if node.connection.is_none() && now >= node.dials_at {
            node.dials_at = now + world.draw((20_000, 60_000));
            let seat = node.next_replica % plan.replica_count as usize;
            node.next_replica += 1;
            if cut || !world.is_running(seat) {
                return;
            }
            let (sender, told) = tokio::sync::mpsc::channel(1_024);
            let first = node.begin_connection(&plan.disabled);
            let up = [(now + world.draw(plan.network_delay), first)].into();
            node.connection = Some(UpdateConnection {
                replica: seat,
                incarnation: world.replicas[seat].incarnation,
                sender,
                frames: told,
                to_replica: up,
                to_node: Default::default(),
                proved: false,
            });
            node.asks_at = now;
        }
        let Some(line) = node.connection.as_mut() else {
            return;
        };
        if now >= node.asks_at {
            node.asks_at = now + plan.proof_interval;
            if node
                .requests
                .oldest_pending()
                .is_some_and(|asked| now >= asked + plan.proof_interval)
            {
                node.connection = None;
                return;
            }
            line.to_replica.push_back((
                now + world.draw(plan.network_delay),
                node.requests.request(now),
            ));
        }
        while world.is_running(line.replica)
            && let Some((_, frame)) = line.to_replica.pop_front_if(|(due, _)| *due <= now)
        {
            let desk = &mut self.replicas[line.replica].publisher;
            match frame {
                transport::Frame::FollowClusterState {
                    held_position: held,
                } => desk.add_follower(held, line.sender.clone()),
                transport::Frame::RequestProof { request_id: number } => {
                    desk.request_proof(number, line.sender.clone())
                }
                _ => {}
            }
        }
        let desk = &mut self.replicas[line.replica].publisher;
        if world.is_running(line.replica) && desk.begin_proof_round(now, self.last_token + 1) {
            self.last_token += 1;
            match plan.disabled.quorum {
                true => desk.send_proofs(self.last_token),
                false => world.read(line.replica as u16, self.last_token),
            }
        }
        while let Ok(frame) = line.frames.try_recv() {
            let earliest = line
                .to_node
                .back()
                .map(|(due, _)| *due)
                .unwrap_or(0)
                .max(node.stalled_until);
            line.to_node
                .push_back((earliest.max(now + world.draw(plan.network_delay)), frame));
        }
        while let Some((_, frame)) = node
            .connection
            .as_mut()
            .and_then(|line| line.to_node.pop_front_if(|(due, _)| *due <= now))
        {
            if !node.receive(frame) {
                node.connection = None;
            }
        }
    }

    fn check_served_state(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(served) = node.served_state(&self.plan.disabled) else {
            return;
        };
        self.checked += 1;
        if served.position < node.highest_served {
            self.violations.push(format!(
                "back: node {at} serves {} at {}, it had {}",
                served.position, self.world.now, node.highest_served
            ));
        }
        if served.position > node.highest_served
            && self.state_history.get(&served.position) != Some(&*served)
        {
            self.violations.push(format!(
                "other: what node {at} serves at {} never stood there",
                served.position
            ));
        }
        node.highest_served = node.highest_served.max(served.position);
    }

    fn check_final_state(&mut self) {
        let newest = self
            .state_history
            .last_key_value()
            .map(|(at, _)| *at)
            .unwrap_or(0);
        let behind = self.nodes.iter().enumerate().filter(|(_, node)| {
            node.follower
                .verified()
                .is_none_or(|outlook| outlook.snapshot.position != newest)
        });
        self.violations.extend(behind.map(|(at, node)| {
            format!(
                "behind: node {at} ends at {:?} of {newest}",
                node.follower.verified().map(|held| held.snapshot.position)
            )
        }));
    }

    /// How often a node that had begun anew was told less than it had known before.
    pub fn older_received(&self) -> usize {
        self.nodes.iter().map(|node| node.older_received).sum()
    }
}
