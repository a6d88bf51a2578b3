//! The simulated core and its followers, step by step; what is served is judged at each (design 11.6).

use super::node::{Line, Node};
use super::seat::{Seat, Truth};
use super::{BillPlan, Blow, Struck};
use crate::sim::{Fault, World};
use model::Microseconds;

pub struct Stage {
    plan: BillPlan,
    world: World,
    seats: Vec<Seat>,
    nodes: Vec<Node>,
    truth: Truth,
    tokens: u64,
    changes: u64,
    changes_at: Microseconds,
    pub broken: Vec<String>,
    /// How often something was judged, and how often a node that had begun anew was told less than it had known.
    pub judged: usize,
    pub restarts: usize,
}

const STEP: Microseconds = 2_000;
/// After all is mended every node is proved on the newest within it: revocations, a full round of seats, two askings.
const RECOVERY: Microseconds = 8_000_000;
const ROLLED: Microseconds = 300_000;

pub fn play(plan: BillPlan, blows: &[Struck]) -> Stage {
    let mut stage = Stage::new(plan);
    let last = blows
        .iter()
        .map(|(at, _, _, length)| at + length + ROLLED * stage.nodes.len() as u64)
        .max()
        .unwrap_or(0);
    let mut blows = blows.to_vec();
    blows.sort_by_key(|(at, ..)| *at);
    let mut blows = blows.into_iter().peekable();
    while stage.world.now < last {
        while let Some(struck) = blows.next_if(|(at, ..)| *at <= stage.world.now) {
            stage.strike(struck);
        }
        stage.step(true);
    }
    stage.mend();
    let end = stage.world.now + RECOVERY;
    while stage.world.now < end {
        stage.step(false);
    }
    stage.close();
    stage
}

impl Stage {
    fn new(plan: BillPlan) -> Stage {
        let world = World::new(crate::sim::Plan::new(plan.seats, plan.seed));
        let seats = (0..plan.seats).map(|_| Seat::default()).collect();
        let nodes = (0..plan.nodes).map(|_| Node::default()).collect();
        let (truth, broken) = Default::default();
        Stage {
            plan,
            world,
            seats,
            nodes,
            truth,
            tokens: 0,
            changes: 0,
            changes_at: 0,
            broken,
            judged: 0,
            restarts: 0,
        }
    }

    fn strike(&mut self, (at, blow, whom, length): Struck) {
        let (seats, back) = (self.plan.seats, at + length);
        let (seat, node) = ((whom % seats as usize) as u16, whom % self.nodes.len());
        let mut faults = |struck: Vec<(Microseconds, Fault)>| {
            struck
                .into_iter()
                .for_each(|(time, fault)| self.world.at_fault(time, fault))
        };
        let mates = || (0..seats).filter(move |mate| *mate != seat);
        match blow {
            Blow::Restart => self.dies(node, at + length / 8),
            Blow::Together => {
                (0..self.nodes.len()).for_each(|node| self.dies(node, at + length / 8))
            }
            Blow::InTurn => (0..self.nodes.len())
                .for_each(|node| self.nodes[node].rolls(at + ROLLED * node as u64)),
            Blow::Stall => self.nodes[node].stalled_until = back,
            Blow::CutNode => self.nodes[node].cut_until = back,
            Blow::CrashSeat => faults(vec![(at, Fault::Crash(seat)), (back, Fault::Start(seat))]),
            Blow::CrashCore => (0..seats).for_each(|seat| {
                faults(vec![
                    (at, Fault::Crash(seat)),
                    (at + length / 4, Fault::Start(seat)),
                ])
            }),
            Blow::FreezeSeat => faults(vec![(at, Fault::Freeze(seat)), (back, Fault::Wake(seat))]),
            Blow::CutSeat => faults(
                mates()
                    .flat_map(|mate| [(at, Fault::Cut(seat, mate)), (at, Fault::Cut(mate, seat))])
                    .chain([(back, Fault::Mend)])
                    .collect(),
            ),
            Blow::Replace => faults(vec![(at, Fault::Replace(seat))]),
        }
    }

    fn dies(&mut self, node: usize, until: Microseconds) {
        self.restarts += 1;
        self.nodes[node].dies(until);
    }

    fn mend(&mut self) {
        let now = self.world.now;
        self.world.at_fault(now, Fault::Mend);
        (0..self.plan.seats).for_each(|seat| {
            [Fault::Wake(seat), Fault::Start(seat)]
                .into_iter()
                .for_each(|fault| self.world.at_fault(now, fault))
        });
        self.nodes
            .iter_mut()
            .for_each(|node| (node.cut_until, node.stalled_until) = (0, 0));
    }

    fn step(&mut self, changing: bool) {
        let now = self.world.now + STEP;
        self.world.run_until(now);
        if changing && now >= self.changes_at {
            self.changes_at = now + self.plan.change_every;
            self.change();
        }
        for (seat, held) in self.seats.iter_mut().enumerate() {
            let node = &self.world.nodes[seat];
            if held.life != node.life || node.machine.is_none() {
                *held = Seat::begin(if node.machine.is_some() {
                    node.life
                } else {
                    u64::MAX
                });
            }
            if self.world.runs(seat) {
                held.fold(&self.world.nodes[seat].history, &mut self.truth);
            }
        }
        let done = std::mem::take(&mut self.world.done);
        done.into_iter()
            .for_each(|(token, seat)| self.seats[seat as usize].desk.send_proofs(token));
        (0..self.nodes.len()).for_each(|at| self.follow(at, now));
        (0..self.nodes.len()).for_each(|at| self.judge(at));
    }

    /// Lanes of a few names change over and over.
    fn change(&mut self) {
        self.changes += 1;
        let (number, name) = (self.changes, format!("lane-{}", self.changes % 7));
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
        let seat = self.world.draw((0, self.plan.seats as u64 - 1)) as u16;
        self.world.submit(seat, entry.to_bytes());
    }

    fn follow(&mut self, at: usize, now: Microseconds) {
        let (world, plan) = (&mut self.world, &self.plan);
        let node = &mut self.nodes[at];
        if node.dies_at(now) {
            self.restarts += 1;
            node.dies(now + ROLLED / 2);
        }
        if now < node.down_until {
            return;
        }
        let cut = now < node.cut_until;
        let gone = |line: &Line| {
            cut || world.nodes[line.seat].machine.is_none()
                || world.nodes[line.seat].life != line.life
        };
        if node.line.as_ref().is_some_and(gone) {
            node.line = None;
        }
        if node.line.is_none() && now >= node.dials_at {
            node.dials_at = now + world.draw((20_000, 60_000));
            let seat = node.turn % plan.seats as usize;
            node.turn += 1;
            if cut || !world.runs(seat) {
                return;
            }
            let (sender, told) = tokio::sync::mpsc::channel(1_024);
            let first = node.begins(&plan.without);
            let up = [(now + world.draw(plan.hop), first)].into();
            node.line = Some(Line {
                seat,
                life: world.nodes[seat].life,
                sender,
                told,
                up,
                down: Default::default(),
                proved: false,
            });
            node.asks_at = now;
        }
        let Some(line) = node.line.as_mut() else {
            return;
        };
        if now >= node.asks_at {
            node.asks_at = now + plan.ask_every;
            if node
                .book
                .oldest_pending_request()
                .is_some_and(|asked| now >= asked + plan.ask_every)
            {
                node.line = None;
                return;
            }
            line.up
                .push_back((now + world.draw(plan.hop), node.book.request_proof(now)));
        }
        while world.runs(line.seat)
            && let Some((_, frame)) = line.up.pop_front_if(|(due, _)| *due <= now)
        {
            let desk = &mut self.seats[line.seat].desk;
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
        let desk = &mut self.seats[line.seat].desk;
        if world.runs(line.seat) && desk.begin_proof_round(now, self.tokens + 1) {
            self.tokens += 1;
            match plan.without.quorum {
                true => desk.send_proofs(self.tokens),
                false => world.read(line.seat as u16, self.tokens),
            }
        }
        while let Ok(frame) = line.told.try_recv() {
            let earliest = line
                .down
                .back()
                .map(|(due, _)| *due)
                .unwrap_or(0)
                .max(node.stalled_until);
            line.down
                .push_back((earliest.max(now + world.draw(plan.hop)), frame));
        }
        while let Some((_, frame)) = node
            .line
            .as_mut()
            .and_then(|line| line.down.pop_front_if(|(due, _)| *due <= now))
        {
            if !node.take(frame) {
                node.line = None;
            }
        }
    }

    fn judge(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(served) = node.serves(&self.plan.without) else {
            return;
        };
        self.judged += 1;
        if served.position < node.had {
            self.broken.push(format!(
                "back: node {at} serves {} at {}, it had {}",
                served.position, self.world.now, node.had
            ));
        }
        if served.position > node.had && self.truth.get(&served.position) != Some(&*served) {
            self.broken.push(format!(
                "other: what node {at} serves at {} never stood there",
                served.position
            ));
        }
        node.had = node.had.max(served.position);
    }

    fn close(&mut self) {
        let newest = self.truth.last_key_value().map(|(at, _)| *at).unwrap_or(0);
        let behind = self.nodes.iter().enumerate().filter(|(_, node)| {
            node.book
                .verified()
                .is_none_or(|outlook| outlook.snapshot.position != newest)
        });
        self.broken.extend(behind.map(|(at, node)| {
            format!(
                "behind: node {at} ends at {:?} of {newest}",
                node.book.verified().map(|held| held.snapshot.position)
            )
        }));
    }

    /// How often a node that had begun anew was told less than it had known before.
    pub fn older_told(&self) -> usize {
        self.nodes.iter().map(|node| node.older_told).sum()
    }
}
