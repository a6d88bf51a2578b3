//! The one owner of log and book: a command queue in, effects out (design 3.2, 8.1).

use crate::core::{Answer, Command, Core, CoreState};

type Waiting = std::collections::HashMap<(String, u64, u64), Vec<Answer>>;

pub(crate) struct Owner {
    pub(crate) core: Core,
    pub(crate) machine: Option<mencius::Repertory>,
    pub(crate) writes: Vec<mencius::Write>,
    pub(crate) pins: storage::Pins,
    /// What came before all seats had met (design 4.1).
    pub(crate) held: Vec<Command>,
    pub(crate) conns: std::collections::BTreeMap<u16, (u64, transport::Sender)>,
    pub(crate) book: model::Book,
    pub(crate) bill: crate::bulletin::Desk,
    moved: tokio::sync::watch::Sender<model::Position>,
    pub(crate) waiting: Waiting,
    pub(crate) reads: std::collections::BTreeMap<u64, tokio::sync::oneshot::Sender<model::Position>>,
    read_tokens: u64,
    pub(crate) since_snapshot: u64,
    /// Where the latest own snapshot ends.
    pub(crate) snapshot_at: u64,
    pub(crate) state: CoreState,
    pub(crate) leapt: model::Micros,
    /// Where the log stood when it last moved, and when that was.
    pub(crate) stood: (u64, model::Micros),
    /// Mates that take this disk for the first in its seat.
    founders: std::collections::BTreeSet<u16>,
    /// Seats without a channel, since when; and when a change of holder was last asked for.
    pub(crate) away: std::collections::BTreeMap<u16, model::Micros>,
    pub(crate) asked_for: model::Micros,
}

impl Owner {
    pub fn new(core: &Core, writes: Vec<mencius::Write>, pins: storage::Pins, moved: tokio::sync::watch::Sender<model::Position>) -> Self {
        let state = CoreState { identity: core.identity, met: pins.len(), ..Default::default() };
        core.state.store(std::sync::Arc::new(state.clone()));
        Owner {
            core: core.clone(),
            machine: None,
            writes,
            pins,
            held: Vec::new(),
            conns: Default::default(),
            book: model::Book::default(),
            bill: Default::default(),
            moved,
            waiting: Default::default(),
            reads: Default::default(),
            read_tokens: 0,
            // Not all seats write theirs at the same entry.
            since_snapshot: core.env.snapshot_every * core.env.seat as u64 / core.env.seats.max(1) as u64,
            snapshot_at: 0,
            state,
            leapt: 0,
            stood: (0, 0),
            founders: Default::default(),
            away: (0..core.env.seats).map(|seat| (seat, model::now())).collect(),
            asked_for: 0,
        }
    }

    pub async fn run(mut self, mut buffer: tokio::sync::mpsc::Receiver<Command>) {
        self.start_when_met();
        while let Some(first) = buffer.recv().await {
            self.take(first);
            // What has gathered shares one sync.
            std::iter::from_fn(|| buffer.try_recv().ok()).take(512).for_each(|command| self.take(command));
            self.hand_over();
            self.carry_out();
            self.publish();
        }
    }

    /// No vote before every seat has met every other: an emptied disk then finds itself refused. A disk that has
    /// kept nothing also waits for each mate's first word: it may be new in its seat, and know nothing of its past.
    pub(crate) fn start_when_met(&mut self) {
        let others = self.core.env.seats as usize - 1;
        let known = !self.writes.is_empty()
            || match self.core.env.charter {
                // Given with the core itself: all others are named, there is no past.
                Some(charter) if charter.founded => true,
                // Taken over: only the log says where this disk begins; a mate that has just woken may not know yet.
                Some(_) => false,
                None => self.founders.len() >= others,
            };
        if self.machine.is_some() || self.pins.len() < others || !known {
            return;
        }
        let env = self.core.env.clone();
        let writes = std::mem::take(&mut self.writes);
        let now = model::now();
        self.machine = Some(mencius::Repertory::restore(env.seat, env.seats, self.core.identity, env.tuning, now, writes));
        slog::info!(self.core.logger, "all seats are known, voting begins");
        let held = std::mem::take(&mut self.held);
        // Whoever gave up meanwhile was told that its entry was not taken.
        let given_up = |command: &Command| matches!(command, Command::Submit(_, answer) if answer.is_closed());
        held.into_iter().filter(|command| !given_up(command)).for_each(|command| self.take(command));
        self.carry_out();
    }

    fn take(&mut self, command: Command) {
        let now = model::now();
        match command {
            Command::Pinned(seat, identity) => {
                self.pins.insert(seat, identity);
                self.pins_changed();
            }
            Command::Admitted(upto, pins) => self.admit(upto, pins),
            Command::Repinned(pins, writes) => {
                self.pins.extend(pins);
                self.writes.extend(writes);
                self.pins_changed();
            }
            Command::Refused(reason) => {
                if self.state.refused.as_ref() != Some(&reason) {
                    slog::error!(self.core.logger, "a mate refuses this disk"; "reason" => &reason);
                }
                self.state.refused = Some(reason);
            }
            Command::Disk(trouble) => {
                slog::warn!(self.core.logger, "disk"; "trouble" => trouble.as_deref().unwrap_or("over"));
                self.state.disk = trouble;
            }
            Command::Founder(seat) => {
                self.founders.insert(seat);
                self.start_when_met();
            }
            Command::Knocked(seat, identity, same_place) => self.knocked(now, seat, identity, same_place),
            Command::Tick if self.machine.is_none() => {}
            command if self.machine.is_none() => self.held.push(command),
            Command::Opened(seat, token, sender) => {
                self.state.refused = None;
                self.away.remove(&seat);
                if self.conns.insert(seat, (token, sender)).is_some() {
                    self.step(now, mencius::Input::Closed(seat));
                }
                self.step(now, mencius::Input::Opened(seat));
            }
            Command::Frame(seat, token, frame) => {
                if self.conns.get(&seat).is_some_and(|(current, _)| *current == token) {
                    self.step(now, mencius::Input::Frame(seat, frame));
                }
            }
            Command::Closed(seat, token) => {
                if self.conns.get(&seat).is_some_and(|(current, _)| *current == token) {
                    self.conns.remove(&seat);
                    self.away.insert(seat, now);
                    self.step(now, mencius::Input::Closed(seat));
                }
            }
            Command::Synced(ticket) => {
                self.state.syncs += 1;
                self.step(now, mencius::Input::Synced(ticket));
            }
            Command::Submit(entry, answer) => {
                let value = model::entry::to_bytes(&entry);
                self.waiting.entry((entry.origin, entry.life, entry.sequence)).or_default().push(answer);
                self.step(now, mencius::Input::Submit(value));
            }
            Command::Read(answer) => {
                self.read_tokens += 1;
                self.reads.insert(self.read_tokens, answer);
                self.step(now, mencius::Input::Read(self.read_tokens));
            }
            Command::Follow(held, sender) => self.bill.follow(held, sender),
            Command::Ask(number, sender) => {
                self.bill.asked(number, sender);
                self.prove(now);
            }
            Command::Items(answer) => drop(answer.send(self.bill.items())),
            Command::Tick => {
                self.prove(now);
                self.step(now, mencius::Input::Tick);
            }
        }
    }

    fn prove(&mut self, now: model::Micros) {
        if self.bill.round(now, self.read_tokens + 1) {
            self.read_tokens += 1;
            self.step(now, mencius::Input::Read(self.read_tokens));
        }
    }

    pub(crate) fn step(&mut self, now: model::Micros, input: mencius::Input) {
        if let Some(machine) = self.machine.as_mut() {
            machine.step(now, input);
        }
    }

    fn carry_out(&mut self) {
        let before = self.book.position;
        loop {
            let effects = self.machine.as_mut().map(mencius::Repertory::drain).unwrap_or_default();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|effect| self.carry_out_one(effect));
        }
        self.bill.publish();
        if self.book.position != before {
            self.core.book.store(std::sync::Arc::new(self.book.clone()));
            self.moved.send_replace(self.book.position);
        }
    }
}
