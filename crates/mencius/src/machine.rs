//! The machine's state and its door: one input at a time, effects collected (design 3.2).

use crate::words::*;

/// A revocation this seat leads for one owner's block (design 3.6).
#[derive(Clone, Debug)]
pub(crate) struct Revocation {
    pub round: Round,
    pub block: Block,
    pub reports: std::collections::BTreeMap<Seat, Report>,
    pub proposal: Option<Commands>,
    pub accepts: std::collections::BTreeSet<Seat>,
    pub started: Micros,
}

pub(crate) type Report = (Vec<(Instance, Round, Value)>, Vec<(Instance, Instance, Round)>);

#[derive(Clone, Debug)]
pub(crate) struct Mate {
    pub open: bool,
    pub heard: Micros,
    pub patience: Micros,
    pub suspected: bool,
    pub told: Instance,
    pub told_at: Micros,
    pub sent_at: Micros,
    pub applied: Instance,
    /// From where a run was sent, and until when it is not sent again.
    pub ran: (Instance, Micros),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ReadRound {
    pub token: ReadToken,
    pub asked_by: Vec<ReadToken>,
    pub answers: std::collections::BTreeMap<Seat, Option<Instance>>,
    pub started: Micros,
}

pub struct Repertory {
    pub(crate) seat: Seat,
    pub(crate) seats: u64,
    pub(crate) identity: u64,
    pub(crate) tuning: Tuning,
    pub(crate) now: Micros,
    pub(crate) index: Instance,
    pub(crate) counter: u64,
    pub(crate) floor: Instance,
    /// Applied and, by now, carried out by the driver: a change of holders among it is in force.
    pub(crate) carried_out: Instance,
    pub(crate) handed_out: Instance,
    pub(crate) vote_from: Instance,
    pub(crate) vote_until: Instance,
    pub(crate) held_back: std::collections::VecDeque<Value>,
    pub(crate) applied: Instance,
    pub(crate) shares: Vec<crate::Share>,
    pub(crate) mates: Vec<Mate>,
    /// Own suggestions without an outcome, with the seats that accepted them.
    pub(crate) mine: std::collections::BTreeMap<Instance, (Value, std::collections::BTreeSet<Seat>)>,
    pub(crate) refused: std::collections::BTreeSet<Instance>,
    pub(crate) revoking: std::collections::BTreeMap<Seat, Revocation>,
    pub(crate) hold: Vec<Micros>,
    /// Revocations of each owner begun since the log last moved.
    pub(crate) attempts: Vec<u32>,
    pub(crate) stuck: (Instance, Micros, Micros),
    pub(crate) reads: crate::read::Reads,
    pub(crate) snapshot: Option<(Instance, Vec<u8>)>,
    pub(crate) draft_writes: Vec<Write>,
    /// Outcomes can be asked for again, so they wait for the next sync instead of causing one.
    pub(crate) draft_outcomes: Vec<Write>,
    pub(crate) draft_frames: Vec<(Seat, Frame)>,
    pub(crate) afresh: bool,
    pub(crate) syncing: Option<(Ticket, Vec<(Seat, Frame)>)>,
    pub(crate) tickets: Ticket,
    pub(crate) ready: Vec<Effect>,
    pub(crate) jitter: rand::rngs::StdRng,
}

impl Repertory {
    /// `writes` is what the disk kept, oldest first; empty on a new disk.
    pub fn restore(seat: Seat, seats: u16, identity: u64, tuning: Tuning, now: Micros, writes: Vec<Write>) -> Self {
        let mate =
            Mate { open: false, heard: now, patience: tuning.suspect_after, suspected: false, told: 0, told_at: now, sent_at: now, applied: 0, ran: (0, 0) };
        let mut machine = Repertory {
            seat,
            seats: seats as u64,
            identity,
            tuning,
            now,
            index: seat as Instance,
            counter: 0,
            floor: 0,
            carried_out: 0,
            handed_out: 0,
            vote_from: 0,
            vote_until: Instance::MAX,
            held_back: Default::default(),
            applied: 0,
            shares: vec![crate::Share::default(); seats as usize],
            mates: vec![mate; seats as usize],
            mine: Default::default(),
            refused: Default::default(),
            revoking: Default::default(),
            hold: vec![0; seats as usize],
            attempts: vec![0; seats as usize],
            stuck: (0, now, now),
            reads: Default::default(),
            snapshot: None,
            draft_writes: Vec::new(),
            draft_outcomes: Vec::new(),
            draft_frames: Vec::new(),
            afresh: false,
            syncing: None,
            tickets: 0,
            ready: Vec::new(),
            jitter: rand::SeedableRng::seed_from_u64(identity),
        };
        writes.into_iter().for_each(|write| machine.absorb(write));
        machine.resume();
        machine
    }

    pub fn step(&mut self, now: Micros, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::Opened(mate) => self.opened(mate),
            Input::Closed(mate) => self.closed(mate),
            Input::Frame(mate, frame) => self.receive(mate, frame),
            Input::Synced(ticket) => self.synced(ticket),
            Input::Submit(value) => self.suggest(value),
            Input::Read(token) => self.read(token),
            Input::Snapshot { through, state } => self.keep_snapshot(through, state),
            Input::VoteFrom(upto) => self.vote_from(upto),
            Input::VoteUntil(upto) => self.vote_until(upto),
            Input::Leap(past) => self.skip_own_to(past),
            Input::Tick => self.tick(),
        }
    }

    /// Closes the draft: one sync for all that gathered, nothing leaves before it (design 3.3).
    pub fn drain(&mut self) -> Vec<Effect> {
        // Whoever asks for more has carried out what it was given before.
        self.carried_out = self.handed_out;
        while self.syncing.is_none() && !(self.draft_writes.is_empty() && self.draft_frames.is_empty()) {
            let frames = std::mem::take(&mut self.draft_frames);
            if self.draft_writes.is_empty() {
                self.release(frames);
                continue;
            }
            self.tickets += 1;
            let writes = match std::mem::take(&mut self.afresh) {
                true => (self.condensed(), true),
                false => (std::mem::take(&mut self.draft_writes), false),
            };
            self.draft_writes.clear();
            let outcomes = std::mem::take(&mut self.draft_outcomes);
            let writes = (writes.0.into_iter().chain(outcomes.into_iter().filter(|_| !writes.1)).collect(), writes.1);
            self.syncing = Some((self.tickets, frames));
            self.ready.push(Effect::Persist { ticket: self.tickets, writes: writes.0, afresh: writes.1 });
        }
        self.handed_out = self.applied;
        std::mem::take(&mut self.ready)
    }

    fn synced(&mut self, ticket: Ticket) {
        match self.syncing.take() {
            Some((awaited, frames)) if awaited == ticket => self.release(frames),
            other => self.syncing = other,
        }
    }

    fn release(&mut self, frames: Vec<(Seat, Frame)>) {
        frames.into_iter().for_each(|(to, frame)| match to == self.seat {
            true => self.handle(to, frame.message),
            false => {
                let mate = &mut self.mates[to as usize];
                if mate.open {
                    mate.sent_at = self.now;
                    self.ready.push(Effect::Send(to, frame));
                }
            }
        });
    }

    /// The cursor is taken when the frame is drafted: every suggestion below it is drafted already.
    pub(crate) fn send(&mut self, to: Seat, message: Message) {
        let cursor = self.index;
        self.send_at(to, cursor, message);
    }

    pub(crate) fn send_at(&mut self, to: Seat, cursor: Instance, message: Message) {
        if to != self.seat && !self.mates[to as usize].open {
            return;
        }
        let mate = &mut self.mates[to as usize];
        mate.told = mate.told.max(cursor);
        self.draft_frames.push((to, Frame { cursor, message }));
    }

    pub(crate) fn others(&self) -> Vec<Seat> {
        (0..self.seats as Seat).filter(|seat| *seat != self.seat).collect()
    }

    pub(crate) fn everyone(&self) -> Vec<Seat> {
        (0..self.seats as Seat).collect()
    }

    pub(crate) fn owner(&self, instance: Instance) -> Seat {
        (instance % self.seats) as Seat
    }

    pub(crate) fn share(&mut self, instance: Instance) -> &mut crate::Share {
        let owner = self.owner(instance);
        &mut self.shares[owner as usize]
    }

    /// Smallest instance of `owner` that is not below `from`.
    pub(crate) fn owned_from(&self, owner: Seat, from: Instance) -> Instance {
        first_own(from, owner, self.seats as u16)
    }

    pub(crate) fn majority(&self) -> usize {
        self.seats as usize / 2 + 1
    }

    pub fn applied(&self) -> Instance {
        self.applied
    }

    pub fn floor(&self) -> Instance {
        self.floor
    }

    pub fn index(&self) -> Instance {
        self.index
    }

    pub fn suspects(&self) -> Vec<Seat> {
        self.others().into_iter().filter(|seat| self.mates[*seat as usize].suspected).collect()
    }

    /// How far this seat knows the log to reach, for status pages.
    pub fn highest(&self) -> Option<Instance> {
        self.shares.iter().filter_map(crate::Share::highest).max().max(self.floor.checked_sub(1))
    }

    pub fn in_touch(&self) -> usize {
        1 + self.others().iter().filter(|seat| self.mates[**seat as usize].open && !self.mates[**seat as usize].suspected).count()
    }
}
