//! A core seat as the rest of the process sees it (design 4).

pub struct CoreEnv {
    pub name: String,
    pub zone: String,
    pub seat: u16,
    pub seats: u16,
    /// Where mates reach this process.
    pub address: String,
    pub seeds: Vec<String>,
    pub folder: std::path::PathBuf,
    pub tuning: mencius::Tuning,
    pub snapshot_every: u64,
    /// How long a seat's holder must be away before an empty disk that asks for the seat gets it; 0 is never.
    pub replace_after: model::Micros,
    /// What the seat was given with, where settings do not name it (design 12.1).
    pub charter: Option<storage::Charter>,
}

/// What `/ready` and status pages say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoreState {
    pub started: bool,
    pub identity: u64,
    pub met: usize,
    /// Seats that are heard, this one included.
    pub in_touch: usize,
    /// This process was in touch with a majority once.
    pub had_majority: bool,
    pub applied: u64,
    pub floor: u64,
    /// Where this seat would suggest next, how far it knows the log to reach, and reads that wait.
    pub index: u64,
    pub highest: Option<u64>,
    pub open_reads: (usize, usize, Vec<u64>),
    pub suspects: Vec<u16>,
    /// Seats nobody was heard in for `replace_after`.
    pub vacant: Vec<u16>,
    pub syncs: u64,
    pub frames: u64,
    pub disk: Option<String>,
    pub refused: Option<String>,
}

pub(crate) type Answer = tokio::sync::oneshot::Sender<model::Outcome>;

pub(crate) enum Command {
    Submit(model::Entry, Answer),
    Read(tokio::sync::oneshot::Sender<model::Position>),
    /// A follower holds the bill up to here; news goes to it from now on (design 11.3).
    Follow(model::Position, transport::Sender),
    /// A follower wants a proof, by number, on the channel its news takes.
    Ask(u64, transport::Sender),
    Items(tokio::sync::oneshot::Sender<model::bill::items::Items>),
    Opened(u16, u64, transport::Sender),
    Frame(u16, u64, mencius::Frame),
    Closed(u16, u64),
    Synced(u64),
    Disk(Option<String>),
    Pinned(u16, u64),
    /// This disk took its seat over: after which instance, and who holds the others.
    Admitted(u64, Vec<(u16, u64)>),
    /// The holders are on disk.
    Repinned(Vec<(u16, u64)>, Vec<mencius::Write>),
    Refused(String),
    /// This mate takes our disk for the first in its seat.
    Founder(u16),
    /// An empty disk asks for a seat that another disk holds, or held at the very same address.
    Knocked(u16, u64, bool),
    Tick,
}

#[derive(Clone)]
pub struct Core {
    pub(crate) commands: tokio::sync::mpsc::Sender<Command>,
    pub(crate) jobs: std::sync::mpsc::Sender<storage::Job>,
    pub book: std::sync::Arc<arc_swap::ArcSwap<model::Book>>,
    pub changed: tokio::sync::watch::Receiver<model::Position>,
    pub state: std::sync::Arc<arc_swap::ArcSwap<CoreState>>,
    pub known: crate::Known,
    pub(crate) env: std::sync::Arc<CoreEnv>,
    pub(crate) identity: u64,
    /// Which disk holds each other seat.
    pub pins: std::sync::Arc<arc_swap::ArcSwap<storage::Pins>>,
    /// This disk had kept nothing when the process began.
    pub(crate) blank: bool,
    /// Tells this process's entries from those of an earlier one.
    pub(crate) life: model::Incarnation,
    pub(crate) starts: u64,
    pub(crate) sequence: std::sync::Arc<std::sync::atomic::AtomicU64>,
    pub(crate) logger: slog::Logger,
}

const BUFFER: usize = 4_096;
/// A majority that has not answered by then is not there: the truth about a change is then unknown.
pub const PATIENCE: std::time::Duration = std::time::Duration::from_millis(4_000);

impl Core {
    pub fn start(env: CoreEnv, logger: slog::Logger) -> Result<Core, storage::Trouble> {
        let (shelf, writes) = storage::Shelf::open(&env.folder)?;
        Core::start_on(env, shelf, writes, logger)
    }

    /// Over a shelf that is open already: rehearsals bring disks that fail (design 9.4).
    pub fn start_on(env: CoreEnv, shelf: storage::Shelf, writes: Vec<mencius::Write>, logger: slog::Logger) -> Result<Core, storage::Trouble> {
        let (commands, buffer) = tokio::sync::mpsc::channel(BUFFER);
        let (jobs, work) = std::sync::mpsc::channel();
        let (moved, changed) = tokio::sync::watch::channel(0);
        let (identity, pins) = (shelf.identity, shelf.pins.clone());
        let core = Core {
            commands: commands.clone(),
            jobs,
            book: Default::default(),
            changed,
            state: Default::default(),
            known: crate::acquaint::nobody(),
            identity,
            blank: writes.is_empty(),
            pins: std::sync::Arc::new(arc_swap::ArcSwap::from_pointee(pins.clone())),
            life: model::incarnation::draw(),
            starts: shelf.starts,
            sequence: Default::default(),
            logger,
            env: std::sync::Arc::new(env),
        };
        let (synced, disk) = (commands.clone(), commands.clone());
        storage::keep(
            shelf,
            work,
            move |ticket| drop(synced.blocking_send(Command::Synced(ticket))),
            move |trouble| drop(disk.blocking_send(Command::Disk(trouble))),
        )?;
        crate::acquaint::merge(&core.known, vec![core.own_seat()]);
        slog::info!(core.logger, "core seat starts"; "seat" => core.env.seat, "identity" => identity, "writes" => writes.len(), "met" => pins.len());
        tokio::spawn(crate::core_owner::Owner::new(&core, writes, pins, moved).run(buffer));
        tokio::spawn(tick(commands));
        crate::core_link::start(&core);
        Ok(core)
    }

    pub(crate) fn own_seat(&self) -> transport::CoreSeat {
        transport::CoreSeat {
            seat: self.env.seat,
            identity: self.identity,
            address: self.env.address.clone(),
            zone: self.env.zone.clone(),
            starts: self.starts,
        }
    }

    pub fn seats(&self) -> u16 {
        self.env.seats
    }

    pub fn greeting(&self, purpose: transport::Purpose) -> transport::Greeting {
        transport::Greeting {
            purpose,
            name: self.env.name.clone(),
            zone: self.env.zone.clone(),
            address: self.env.address.clone(),
            incarnation: self.life,
            core: Some((self.env.seat, self.env.seats, self.identity)),
            blank: self.blank && !self.state.load().started,
            expects: None,
            known: crate::acquaint::list(&self.known),
        }
    }

    pub fn reaches_majority(&self) -> bool {
        let state = self.state.load();
        state.started && state.in_touch > self.seats() as usize / 2
    }

    /// It reached a majority and does not any more: what it is asked now it can neither confirm nor read, so callers
    /// are sent elsewhere at once. A process that has just started is given the time to come that far.
    pub fn lost_majority(&self) -> bool {
        self.state.load().had_majority && !self.reaches_majority()
    }

    /// Puts an entry in the log. `None`: not known to be there in time; it may yet take effect.
    pub async fn submit(&self, entry: model::Entry) -> Option<model::Outcome> {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        self.commands.send(Command::Submit(entry, answer)).await.ok()?;
        tokio::time::timeout(PATIENCE, outcome).await.ok()?.ok()
    }

    /// An operator's change under this seat's own origin; the book tells repeats by change id.
    pub async fn change(&self, change: model::Change) -> Option<model::Outcome> {
        self.submit(self.own_entry(model::Act::Change(change))).await
    }

    /// Items of an operator: whole or not at all (design 11.1).
    pub async fn amend(&self, call: model::bill::Call) -> Option<model::Outcome> {
        self.submit(self.own_entry(model::Act::Bill(model::bill::Act::Items(call)))).await
    }

    /// All items as they stand now, proved by a majority.
    pub async fn items(&self) -> Option<model::bill::items::Items> {
        self.read().await?;
        let (answer, items) = tokio::sync::oneshot::channel();
        self.commands.send(Command::Items(answer)).await.ok()?;
        tokio::time::timeout(PATIENCE, items).await.ok()?.ok()
    }

    /// Another disk is to hold a seat (design 4.4).
    pub async fn replace(&self, change: model::SeatChange) -> Option<model::Outcome> {
        self.submit(self.own_entry(model::Act::Seat(change))).await
    }

    pub(crate) fn own_entry(&self, act: model::Act) -> model::Entry {
        let sequence = self.sequence.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        model::Entry { origin: self.env.name.clone(), life: self.life, sequence, act }
    }

    pub fn identity(&self) -> (u16, u64) {
        (self.env.seat, self.identity)
    }

    /// Everything accepted before this call is in `book` once it answers (design 3.9).
    pub async fn read(&self) -> Option<model::Position> {
        let (answer, position) = tokio::sync::oneshot::channel();
        self.commands.send(Command::Read(answer)).await.ok()?;
        tokio::time::timeout(PATIENCE, position).await.ok()?.ok()
    }
}

async fn tick(commands: tokio::sync::mpsc::Sender<Command>) {
    let mut every = tokio::time::interval(std::time::Duration::from_millis(10));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        if commands.send(Command::Tick).await.is_err() {
            return;
        }
    }
}
