//! The simulated world: one queue of events ordered by virtual time (design 9.1).

use std::collections::BTreeMap;

type Micros = mencius::Micros;
type Seat = mencius::ReplicaId;

#[derive(Debug)]
pub(super) enum Event {
    Deliver {
        from: Seat,
        to: Seat,
        epoch: u64,
        frame: mencius::Frame,
    },
    Synced {
        seat: Seat,
        life: u64,
        ticket: u64,
    },
    Tick {
        seat: Seat,
        life: u64,
    },
    Reopen {
        a: Seat,
        b: Seat,
    },
    RequestAdmission {
        seat: Seat,
        identity: u64,
        helper: Seat,
    },
    Fault(super::Fault),
}

pub struct SimulatedReplica {
    pub replica: Option<mencius::Replica>,
    pub applied: Vec<(mencius::Instance, mencius::Value)>,
    pub(super) disk: Vec<mencius::Write>,
    pub(super) unsynced: Option<(u64, Vec<mencius::Write>, bool)>,
    pub(crate) incarnation: u64,
    pub(super) frozen: bool,
    pub(super) deferred: Vec<Event>,
    pub(super) extra_sync_delay: Micros,
    pub(super) applied_since_snapshot: usize,
    pub(super) snapshot_through: mencius::Instance,
    pub(super) effect_count: u64,
    pub(super) disk_id: u64,
    /// An empty disk that waits to be let in.
    pub(super) awaiting_admission: bool,
    /// The disk this node takes for each seat's holder, and changes it has applied.
    pub(super) pinned_disks: Vec<u64>,
    pub(super) state_machine: model::StateMachine,
    pub(super) last_advance: Micros,
}

pub struct World {
    pub plan: super::WorldPlan,
    pub now: Micros,
    pub replicas: Vec<SimulatedReplica>,
    pub counts: super::Counts,
    pub findings: super::Findings,
    pub proved_reads: Vec<(u64, Seat)>,
    events: BTreeMap<(Micros, u64), Event>,
    last_event_number: u64,
    random: rand::rngs::StdRng,
    pub(super) connection_epochs: Vec<Vec<u64>>,
    connected: Vec<Vec<bool>>,
    pub cut_links: Vec<Vec<bool>>,
    pub(super) last_delivery: Vec<Vec<Micros>>,
}

impl World {
    pub fn new(plan: super::WorldPlan) -> Self {
        let seats = plan.replica_count as usize;
        let square = |_| vec![0; seats];
        let mut world = World {
            now: 0,
            replicas: Vec::new(),
            counts: super::Counts::default(),
            findings: super::Findings::default(),
            proved_reads: Vec::new(),
            events: Default::default(),
            last_event_number: 0,
            random: rand::SeedableRng::seed_from_u64(plan.seed),
            connection_epochs: (0..seats).map(square).collect(),
            connected: vec![vec![false; seats]; seats],
            cut_links: vec![vec![false; seats]; seats],
            last_delivery: (0..seats).map(square).collect(),
            plan,
        };
        world.replicas = (0..seats)
            .map(|seat| SimulatedReplica {
                replica: None,
                applied: Vec::new(),
                disk: Vec::new(),
                unsynced: None,
                incarnation: 0,
                frozen: false,
                deferred: Vec::new(),
                extra_sync_delay: 0,
                applied_since_snapshot: 0,
                snapshot_through: 0,
                effect_count: 0,
                disk_id: seat as u64 + 1,
                awaiting_admission: false,
                pinned_disks: (1..=seats as u64).collect(),
                state_machine: Default::default(),
                last_advance: 0,
            })
            .collect();
        (0..world.plan.replica_count).for_each(|seat| world.start(seat));
        world
    }

    pub(super) fn schedule(&mut self, time: Micros, event: Event) {
        self.last_event_number += 1;
        self.events.insert((time, self.last_event_number), event);
    }

    pub fn schedule_fault(&mut self, time: Micros, fault: super::Fault) {
        self.schedule(time, Event::Fault(fault));
    }

    pub(crate) fn draw(&mut self, range: (Micros, Micros)) -> Micros {
        rand::Rng::random_range(&mut self.random, range.0..=range.1)
    }

    pub fn start(&mut self, seat: Seat) {
        let node = &mut self.replicas[seat as usize];
        if node.replica.is_some() || node.awaiting_admission {
            return;
        }
        node.incarnation += 1;
        node.applied.clear();
        node.state_machine = Default::default();
        (node.applied_since_snapshot, node.snapshot_through) = (0, 0);
        let (life, identity) = (node.incarnation, node.disk_id);
        let machine = mencius::Replica::restore(
            seat,
            self.plan.replica_count,
            identity,
            self.plan.tuning,
            self.now,
            node.disk.clone(),
        );
        node.replica = Some(machine);
        self.perform_effects(seat);
        let now = self.now;
        self.schedule(now + 10_000, Event::Tick { seat, life });
        (0..self.plan.replica_count)
            .filter(|mate| *mate != seat)
            .for_each(|mate| self.schedule_reopen(seat, mate));
    }

    pub fn crash(&mut self, seat: Seat) {
        self.findings.caller_lost(seat);
        let node = &mut self.replicas[seat as usize];
        node.replica = None;
        node.unsynced = None;
        node.frozen = false;
        node.deferred.clear();
        (0..self.plan.replica_count)
            .filter(|mate| *mate != seat)
            .for_each(|mate| self.close(seat, mate));
    }

    pub fn freeze(&mut self, seat: Seat, frozen: bool) {
        let node = &mut self.replicas[seat as usize];
        node.frozen = frozen;
        let late = if frozen {
            Vec::new()
        } else {
            std::mem::take(&mut node.deferred)
        };
        late.into_iter().for_each(|event| self.handle(event));
    }

    pub fn slow_disk(&mut self, seat: Seat, extra: Micros) {
        self.replicas[seat as usize].extra_sync_delay = extra;
    }

    fn schedule_reopen(&mut self, a: Seat, b: Seat) {
        let wait = self.draw((1_000, 40_000));
        let now = self.now;
        self.schedule(now + wait, Event::Reopen { a, b });
    }

    pub fn close(&mut self, a: Seat, b: Seat) {
        let (x, y) = (a as usize, b as usize);
        if !std::mem::replace(&mut self.connected[x][y], false) {
            return;
        }
        self.connected[y][x] = false;
        self.connection_epochs[x][y] += 1;
        self.connection_epochs[y][x] += 1;
        [(a, b), (b, a)].into_iter().for_each(|(seat, mate)| {
            self.step_replica(seat, mencius::Input::ConnectionClosed(mate))
        });
        self.schedule_reopen(a, b);
    }

    fn reopen(&mut self, a: Seat, b: Seat) {
        let (x, y) = (a as usize, b as usize);
        let both = [a, b].iter().all(|seat| {
            self.replicas[*seat as usize].replica.is_some() && !self.replicas[*seat as usize].frozen
        });
        if self.connected[x][y] {
            return;
        }
        self.admit(a, b);
        self.admit(b, a);
        if !both || self.cut_links[x][y] || self.cut_links[y][x] || !self.know_each_other(a, b) {
            return self.schedule_reopen(a, b);
        }
        self.connected[x][y] = true;
        self.connected[y][x] = true;
        [(a, b), (b, a)].into_iter().for_each(|(seat, mate)| {
            self.step_replica(seat, mencius::Input::ConnectionOpened(mate))
        });
    }

    pub(super) fn step_replica(&mut self, seat: Seat, input: mencius::Input) {
        let now = self.now;
        if let Some(machine) = self.replicas[seat as usize].replica.as_mut() {
            machine.step(now, input);
            self.perform_effects(seat);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver {
                from,
                to,
                epoch,
                frame,
            } => {
                if self.replicas[to as usize].frozen {
                    self.replicas[to as usize].deferred.push(Event::Deliver {
                        from,
                        to,
                        epoch,
                        frame,
                    });
                } else if self.connection_epochs[from as usize][to as usize] == epoch
                    && !self.cut_links[from as usize][to as usize]
                {
                    self.step_replica(to, mencius::Input::Frame(from, frame));
                } else if self.connection_epochs[from as usize][to as usize] == epoch {
                    // A one-way cut: what is lost breaks the channel, as TCP would in time.
                    self.close(from, to);
                }
            }
            Event::Synced { seat, life, ticket }
                if self.replicas[seat as usize].incarnation == life =>
            {
                if self.replicas[seat as usize].frozen {
                    return self.replicas[seat as usize].deferred.push(Event::Synced {
                        seat,
                        life,
                        ticket,
                    });
                }
                if !self.plan.lying_disk {
                    self.write_to_disk(seat);
                }
                self.step_replica(seat, mencius::Input::Persisted(ticket));
            }
            Event::Tick { seat, life } if self.replicas[seat as usize].incarnation == life => {
                if !self.replicas[seat as usize].frozen {
                    self.step_replica(seat, mencius::Input::Tick);
                    self.complete_replacement(seat);
                }
                let now = self.now;
                self.schedule(now + 10_000, Event::Tick { seat, life });
            }
            Event::Reopen { a, b } => self.reopen(a, b),
            Event::RequestAdmission {
                seat,
                identity,
                helper,
            } => self.request_admission(seat, identity, helper),
            Event::Fault(fault) => fault.apply(self),
            Event::Synced { .. } | Event::Tick { .. } => {}
        }
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > end {
                self.last_event_number += 1;
                self.events.insert((time, self.last_event_number), event);
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }
}
