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
    Knock {
        seat: Seat,
        identity: u64,
        helper: Seat,
    },
    Fault(super::Fault),
}

pub struct Node {
    pub machine: Option<mencius::Replica>,
    pub history: Vec<(mencius::Instance, mencius::Value)>,
    pub(super) disk: Vec<mencius::Write>,
    pub(super) unsynced: Option<(u64, Vec<mencius::Write>, bool)>,
    pub(crate) life: u64,
    pub(super) frozen: bool,
    pub(super) late: Vec<Event>,
    pub(super) disk_slow: Micros,
    pub(super) since_snapshot: usize,
    pub(super) snapshot_at: mencius::Instance,
    pub(super) points: u64,
    pub(super) identity: u64,
    /// An empty disk that waits to be let in.
    pub(super) outside: bool,
    /// The disk this node takes for each seat's holder, and changes it has applied.
    pub(super) pins: Vec<u64>,
    pub(super) book: model::StateMachine,
    pub(super) leapt: Micros,
}

pub struct World {
    pub plan: super::Plan,
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub counts: super::Counts,
    pub findings: super::Findings,
    pub done: Vec<(u64, Seat)>,
    events: BTreeMap<(Micros, u64), Event>,
    order: u64,
    random: rand::rngs::StdRng,
    pub(super) epochs: Vec<Vec<u64>>,
    open: Vec<Vec<bool>>,
    pub cut: Vec<Vec<bool>>,
    pub(super) last_delivery: Vec<Vec<Micros>>,
}

impl World {
    pub fn new(plan: super::Plan) -> Self {
        let seats = plan.seats as usize;
        let square = |_| vec![0; seats];
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            counts: super::Counts::default(),
            findings: super::Findings::default(),
            done: Vec::new(),
            events: Default::default(),
            order: 0,
            random: rand::SeedableRng::seed_from_u64(plan.seed),
            epochs: (0..seats).map(square).collect(),
            open: vec![vec![false; seats]; seats],
            cut: vec![vec![false; seats]; seats],
            last_delivery: (0..seats).map(square).collect(),
            plan,
        };
        world.nodes = (0..seats)
            .map(|seat| Node {
                machine: None,
                history: Vec::new(),
                disk: Vec::new(),
                unsynced: None,
                life: 0,
                frozen: false,
                late: Vec::new(),
                disk_slow: 0,
                since_snapshot: 0,
                snapshot_at: 0,
                points: 0,
                identity: seat as u64 + 1,
                outside: false,
                pins: (1..=seats as u64).collect(),
                book: Default::default(),
                leapt: 0,
            })
            .collect();
        (0..world.plan.seats).for_each(|seat| world.start(seat));
        world
    }

    pub(super) fn at(&mut self, time: Micros, event: Event) {
        self.order += 1;
        self.events.insert((time, self.order), event);
    }

    pub fn at_fault(&mut self, time: Micros, fault: super::Fault) {
        self.at(time, Event::Fault(fault));
    }

    pub(crate) fn draw(&mut self, range: (Micros, Micros)) -> Micros {
        rand::Rng::random_range(&mut self.random, range.0..=range.1)
    }

    pub fn start(&mut self, seat: Seat) {
        let node = &mut self.nodes[seat as usize];
        if node.machine.is_some() || node.outside {
            return;
        }
        node.life += 1;
        node.history.clear();
        node.book = Default::default();
        (node.since_snapshot, node.snapshot_at) = (0, 0);
        let (life, identity) = (node.life, node.identity);
        let machine = mencius::Replica::restore(
            seat,
            self.plan.seats,
            identity,
            self.plan.tuning,
            self.now,
            node.disk.clone(),
        );
        node.machine = Some(machine);
        self.carry_out(seat);
        let now = self.now;
        self.at(now + 10_000, Event::Tick { seat, life });
        (0..self.plan.seats)
            .filter(|mate| *mate != seat)
            .for_each(|mate| self.reopen_soon(seat, mate));
    }

    pub fn crash(&mut self, seat: Seat) {
        self.findings.crashed(seat);
        let node = &mut self.nodes[seat as usize];
        node.machine = None;
        node.unsynced = None;
        node.frozen = false;
        node.late.clear();
        (0..self.plan.seats)
            .filter(|mate| *mate != seat)
            .for_each(|mate| self.close(seat, mate));
    }

    pub fn freeze(&mut self, seat: Seat, frozen: bool) {
        let node = &mut self.nodes[seat as usize];
        node.frozen = frozen;
        let late = if frozen {
            Vec::new()
        } else {
            std::mem::take(&mut node.late)
        };
        late.into_iter().for_each(|event| self.happen(event));
    }

    pub fn slow_disk(&mut self, seat: Seat, extra: Micros) {
        self.nodes[seat as usize].disk_slow = extra;
    }

    fn reopen_soon(&mut self, a: Seat, b: Seat) {
        let wait = self.draw((1_000, 40_000));
        let now = self.now;
        self.at(now + wait, Event::Reopen { a, b });
    }

    pub fn close(&mut self, a: Seat, b: Seat) {
        let (x, y) = (a as usize, b as usize);
        if !std::mem::replace(&mut self.open[x][y], false) {
            return;
        }
        self.open[y][x] = false;
        self.epochs[x][y] += 1;
        self.epochs[y][x] += 1;
        [(a, b), (b, a)]
            .into_iter()
            .for_each(|(seat, mate)| self.feed(seat, mencius::Input::ConnectionClosed(mate)));
        self.reopen_soon(a, b);
    }

    fn reopen(&mut self, a: Seat, b: Seat) {
        let (x, y) = (a as usize, b as usize);
        let both = [a, b].iter().all(|seat| {
            self.nodes[*seat as usize].machine.is_some() && !self.nodes[*seat as usize].frozen
        });
        if self.open[x][y] {
            return;
        }
        self.let_in(a, b);
        self.let_in(b, a);
        if !both || self.cut[x][y] || self.cut[y][x] || !self.know_each_other(a, b) {
            return self.reopen_soon(a, b);
        }
        self.open[x][y] = true;
        self.open[y][x] = true;
        [(a, b), (b, a)]
            .into_iter()
            .for_each(|(seat, mate)| self.feed(seat, mencius::Input::ConnectionOpened(mate)));
    }

    pub(super) fn feed(&mut self, seat: Seat, input: mencius::Input) {
        let now = self.now;
        if let Some(machine) = self.nodes[seat as usize].machine.as_mut() {
            machine.step(now, input);
            self.carry_out(seat);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver {
                from,
                to,
                epoch,
                frame,
            } => {
                if self.nodes[to as usize].frozen {
                    self.nodes[to as usize].late.push(Event::Deliver {
                        from,
                        to,
                        epoch,
                        frame,
                    });
                } else if self.epochs[from as usize][to as usize] == epoch
                    && !self.cut[from as usize][to as usize]
                {
                    self.feed(to, mencius::Input::Frame(from, frame));
                } else if self.epochs[from as usize][to as usize] == epoch {
                    // A one-way cut: what is lost breaks the channel, as TCP would in time.
                    self.close(from, to);
                }
            }
            Event::Synced { seat, life, ticket } if self.nodes[seat as usize].life == life => {
                if self.nodes[seat as usize].frozen {
                    return self.nodes[seat as usize].late.push(Event::Synced {
                        seat,
                        life,
                        ticket,
                    });
                }
                if !self.plan.lying_disk {
                    self.keep(seat);
                }
                self.feed(seat, mencius::Input::Persisted(ticket));
            }
            Event::Tick { seat, life } if self.nodes[seat as usize].life == life => {
                if !self.nodes[seat as usize].frozen {
                    self.feed(seat, mencius::Input::Tick);
                    self.hand_over(seat);
                }
                let now = self.now;
                self.at(now + 10_000, Event::Tick { seat, life });
            }
            Event::Reopen { a, b } => self.reopen(a, b),
            Event::Knock {
                seat,
                identity,
                helper,
            } => self.knock(seat, identity, helper),
            Event::Fault(fault) => fault.strike(self),
            Event::Synced { .. } | Event::Tick { .. } => {}
        }
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > end {
                self.order += 1;
                self.events.insert((time, self.order), event);
                break;
            }
            self.now = time;
            self.happen(event);
        }
        self.now = end;
    }
}
