//! The simulated replicas, network and disks, driven by one queue of events in virtual time (design 9.1).

use std::collections::BTreeMap;

type Micros = mencius::Micros;
type ReplicaId = mencius::ReplicaId;

/// An event in the queue of a world.
#[derive(Debug)]
pub(super) enum Event {
    Deliver {
        from: ReplicaId,
        to: ReplicaId,
        epoch: u64,
        frame: mencius::Frame,
    },
    Synced {
        replica_id: ReplicaId,
        incarnation: u64,
        ticket: u64,
    },
    Tick {
        replica_id: ReplicaId,
        incarnation: u64,
    },
    Reopen {
        a: ReplicaId,
        b: ReplicaId,
    },
    RequestAdmission {
        replica_id: ReplicaId,
        disk_id: u64,
        helper: ReplicaId,
    },
    Fault(super::Fault),
}

/// A replica and its disk, with their state over all incarnations.
pub struct SimulatedReplica {
    /// The running replica, or `None` while its process is down.
    pub running: Option<mencius::Replica>,
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
    /// Whether the disk is empty and the replica waits for its admission.
    pub(super) awaiting_admission: bool,
    /// The disk that is to replace the one in use.
    pub(super) successor: Option<u64>,
    /// Disk id that this replica accepts for each replica id.
    pub(super) pinned_disks: Vec<u64>,
    pub(super) state_machine: model::StateMachine,
    pub(super) last_advance: Micros,
}

/// A set of simulated replicas with the network between them.
pub struct World {
    pub plan: super::WorldPlan,
    pub now: Micros,
    pub replicas: Vec<SimulatedReplica>,
    pub counts: super::Counts,
    pub findings: super::Findings,
    pub proved_reads: Vec<(u64, ReplicaId)>,
    events: BTreeMap<(Micros, u64), Event>,
    last_event_number: u64,
    rng: rand::rngs::StdRng,
    pub(super) connection_epochs: Vec<Vec<u64>>,
    connected: Vec<Vec<bool>>,
    pub cut_links: Vec<Vec<bool>>,
    pub(super) last_delivery: Vec<Vec<Micros>>,
}

impl World {
    pub fn new(plan: super::WorldPlan) -> Self {
        let replica_count = plan.replica_count as usize;
        let zeroes = |_| vec![0; replica_count];
        let mut world = World {
            now: 0,
            replicas: Vec::new(),
            counts: super::Counts::default(),
            findings: super::Findings::default(),
            proved_reads: Vec::new(),
            events: Default::default(),
            last_event_number: 0,
            rng: rand::SeedableRng::seed_from_u64(plan.seed),
            connection_epochs: (0..replica_count).map(zeroes).collect(),
            connected: vec![vec![false; replica_count]; replica_count],
            cut_links: vec![vec![false; replica_count]; replica_count],
            last_delivery: (0..replica_count).map(zeroes).collect(),
            plan,
        };
        world.replicas = (0..replica_count)
            .map(|replica_id| SimulatedReplica {
                running: None,
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
                disk_id: replica_id as u64 + 1,
                awaiting_admission: false,
                successor: None,
                pinned_disks: (1..=replica_count as u64).collect(),
                state_machine: Default::default(),
                last_advance: 0,
            })
            .collect();
        (0..world.plan.replica_count).for_each(|replica_id| world.start(replica_id));
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
        rand::Rng::random_range(&mut self.rng, range.0..=range.1)
    }

    pub fn start(&mut self, replica_id: ReplicaId) {
        let replica = &mut self.replicas[replica_id as usize];
        if replica.running.is_some() || replica.awaiting_admission {
            return;
        }
        replica.incarnation += 1;
        replica.applied.clear();
        replica.state_machine = Default::default();
        (replica.applied_since_snapshot, replica.snapshot_through) = (0, 0);
        let (incarnation, disk_id) = (replica.incarnation, replica.disk_id);
        let running = mencius::Replica::restore(
            replica_id,
            self.plan.replica_count,
            disk_id,
            self.plan.config,
            self.now,
            replica.disk.clone(),
        );
        replica.running = Some(running);
        self.perform_effects(replica_id);
        let now = self.now;
        self.schedule(
            now + 10_000,
            Event::Tick {
                replica_id,
                incarnation,
            },
        );
        (0..self.plan.replica_count)
            .filter(|peer| *peer != replica_id)
            .for_each(|peer| self.schedule_reopen(replica_id, peer));
    }

    pub fn crash(&mut self, replica_id: ReplicaId) {
        self.findings.mark_callers_lost(replica_id);
        let replica = &mut self.replicas[replica_id as usize];
        replica.running = None;
        replica.unsynced = None;
        replica.frozen = false;
        replica.deferred.clear();
        (0..self.plan.replica_count)
            .filter(|peer| *peer != replica_id)
            .for_each(|peer| self.close(replica_id, peer));
    }

    pub fn freeze(&mut self, replica_id: ReplicaId, frozen: bool) {
        let replica = &mut self.replicas[replica_id as usize];
        replica.frozen = frozen;
        let deferred = if frozen {
            Vec::new()
        } else {
            std::mem::take(&mut replica.deferred)
        };
        deferred.into_iter().for_each(|event| self.handle(event));
    }

    pub fn slow_disk(&mut self, replica_id: ReplicaId, extra: Micros) {
        self.replicas[replica_id as usize].extra_sync_delay = extra;
    }

    fn schedule_reopen(&mut self, a: ReplicaId, b: ReplicaId) {
        let wait = self.draw((1_000, 40_000));
        let now = self.now;
        self.schedule(now + wait, Event::Reopen { a, b });
    }

    pub fn close(&mut self, a: ReplicaId, b: ReplicaId) {
        let (x, y) = (a as usize, b as usize);
        if !std::mem::replace(&mut self.connected[x][y], false) {
            return;
        }
        self.connected[y][x] = false;
        self.connection_epochs[x][y] += 1;
        self.connection_epochs[y][x] += 1;
        [(a, b), (b, a)].into_iter().for_each(|(replica_id, peer)| {
            self.step_replica(replica_id, mencius::Input::ConnectionClosed(peer))
        });
        self.schedule_reopen(a, b);
    }

    fn reopen(&mut self, a: ReplicaId, b: ReplicaId) {
        let (x, y) = (a as usize, b as usize);
        let both_running = [a, b].iter().all(|replica_id| {
            self.replicas[*replica_id as usize].running.is_some()
                && !self.replicas[*replica_id as usize].frozen
        });
        if self.connected[x][y] {
            return;
        }
        self.admit(a, b);
        self.admit(b, a);
        if !both_running
            || self.cut_links[x][y]
            || self.cut_links[y][x]
            || !self.accept_each_other(a, b)
        {
            return self.schedule_reopen(a, b);
        }
        self.connected[x][y] = true;
        self.connected[y][x] = true;
        [(a, b), (b, a)].into_iter().for_each(|(replica_id, peer)| {
            self.step_replica(replica_id, mencius::Input::ConnectionOpened(peer))
        });
    }

    pub(super) fn step_replica(&mut self, replica_id: ReplicaId, input: mencius::Input) {
        let now = self.now;
        if let Some(running) = self.replicas[replica_id as usize].running.as_mut() {
            running.step(now, input);
            self.perform_effects(replica_id);
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
                    // The link is cut in this direction only. The lost frame closes the connection, as the timeout of TCP would.
                    self.close(from, to);
                }
            }
            Event::Synced {
                replica_id,
                incarnation,
                ticket,
            } if self.replicas[replica_id as usize].incarnation == incarnation => {
                if self.replicas[replica_id as usize].frozen {
                    return self.replicas[replica_id as usize]
                        .deferred
                        .push(Event::Synced {
                            replica_id,
                            incarnation,
                            ticket,
                        });
                }
                if !self.plan.acknowledges_unwritten {
                    self.write_to_disk(replica_id);
                }
                self.step_replica(replica_id, mencius::Input::Persisted(ticket));
            }
            Event::Tick {
                replica_id,
                incarnation,
            } if self.replicas[replica_id as usize].incarnation == incarnation => {
                if !self.replicas[replica_id as usize].frozen {
                    self.step_replica(replica_id, mencius::Input::Tick);
                    self.complete_replacement(replica_id);
                }
                let now = self.now;
                self.schedule(
                    now + 10_000,
                    Event::Tick {
                        replica_id,
                        incarnation,
                    },
                );
            }
            Event::Reopen { a, b } => self.reopen(a, b),
            Event::RequestAdmission {
                replica_id,
                disk_id,
                helper,
            } => self.request_admission(replica_id, disk_id, helper),
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
