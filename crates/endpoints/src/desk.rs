//! The one owner of the back end beside this node: its beats, its drain, its end (design 11.2).

use crate::keys::{Keys, KeysEnv};
use model::bill::{Key, Player, Report};
use model::{Micros, Position};

#[derive(Clone)]
pub struct TroupeEnv {
    pub node: String,
    pub zone: String,
    /// Where mates reach this node.
    pub address: String,
    pub life: u64,
    pub keys: KeysEnv,
    pub beat_every: Micros,
    /// How long a draining back end still takes what is on its way.
    pub drain: Micros,
    /// Where the one back end of this machine is found, if settings say so.
    pub back_end: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    pub name: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    pub sequence: u64,
    pub holds: Vec<(Key, Key, Position)>,
    pub freed: Vec<(Key, Key, String)>,
}

/// `None`: the beat renews nothing.
pub type BeatAnswer = Option<(Vec<(Key, Key, Position, String)>, Micros)>;

pub(crate) type Answer = tokio::sync::oneshot::Sender<BeatAnswer>;

pub(crate) enum Command {
    Beat(Box<Beat>, Answer),
    /// A beat's answer was kept back long enough.
    Due(String, u64),
    SignOff(String, tokio::sync::oneshot::Sender<()>),
    Moved,
    Tick,
    Logged(Vec<Report>, Option<model::Outcome>),
    Refuses(String, bool),
}

/// A back end as it told of itself.
pub(crate) struct Own {
    pub beat: Beat,
    pub heard: Micros,
    pub drained: Option<Micros>,
    /// Until then it may hold what it was last told to.
    pub held_until: Micros,
    /// Until then it may hold what an earlier process of this node told it to.
    pub told_before: Micros,
    pub silent: bool,
    pub probing: bool,
    /// The latest beat's answer, kept back while there is nothing to say.
    pub(crate) kept: Option<Answer>,
    /// Heard more than once: no late beat of an earlier life.
    pub beats_on: bool,
    /// The log did not take it up: it has the end of this name already.
    pub denied: bool,
}

pub struct Owner {
    pub(crate) env: TroupeEnv,
    pub(crate) outlook: control::SharedOutlook,
    pub(crate) pit: inbound::Pit,
    pub(crate) reports: control::Reports,
    pub(crate) commands: tokio::sync::mpsc::Sender<Command>,
    pub(crate) keys: Keys,
    pub(crate) own: Option<Own>,
    /// Ends still to be told, and whether each is sure.
    pub(crate) ends: std::collections::BTreeMap<String, bool>,
    /// Names this process tells the end of: a late beat brings none back.
    pub(crate) over: std::collections::BTreeSet<String>,
    pub(crate) facts: Vec<Report>,
    /// When this process began.
    pub(crate) began: Micros,
    /// When it last looked whether one it never heard is still there.
    pub(crate) looked: Micros,
    pub(crate) telling: bool,
    pub(crate) registration: crate::registration::Registration,
    pub(crate) superseded: tokio::sync::watch::Sender<bool>,
    pub(crate) logger: slog::Logger,
}

#[derive(Clone)]
pub struct Troupe {
    pub(crate) commands: tokio::sync::mpsc::Sender<Command>,
    superseded: tokio::sync::watch::Receiver<bool>,
}

impl Troupe {
    pub fn start(env: TroupeEnv, following: control::Following, pit: inbound::Pit, reports: control::Reports, logger: slog::Logger) -> Troupe {
        let (commands, mut buffer) = tokio::sync::mpsc::channel(1_024);
        let keys = Keys::new(env.keys);
        let outlook = following.outlook.clone();
        let (ends, facts) = (Default::default(), Vec::new());
        let (own, over, began, telling) = (None, Default::default(), model::now(), false);
        let registration = crate::registration::Registration::new(env.life);
        let (tell_superseded, superseded) = tokio::sync::watch::channel(false);
        let mut owner = Owner {
            env,
            outlook,
            pit,
            reports,
            commands: commands.clone(),
            keys,
            own,
            ends,
            over,
            facts,
            began,
            looked: 0,
            telling,
            registration,
            superseded: tell_superseded,
            logger,
        };
        tokio::spawn(async move {
            while let Some(command) = buffer.recv().await {
                owner.take(command).await;
            }
        });
        tokio::spawn(wake(commands.clone(), following.moved));
        Troupe { commands, superseded }
    }

    /// `None`: the owner is gone.
    pub async fn beat(&self, beat: Beat) -> Option<BeatAnswer> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        self.commands.send(Command::Beat(Box::new(beat), answer)).await.ok()?;
        answered.await.ok()
    }

    /// Another process of this node's name was registered after this one.
    pub fn is_superseded(&self) -> bool {
        *self.superseded.borrow()
    }

    pub async fn sign_off(&self, name: String) -> Option<()> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        self.commands.send(Command::SignOff(name, answer)).await.ok()?;
        answered.await.ok()
    }
}

async fn wake(commands: tokio::sync::mpsc::Sender<Command>, mut moved: tokio::sync::watch::Receiver<u64>) {
    let mut every = tokio::time::interval(std::time::Duration::from_millis(250));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let command = tokio::select! {
            changed = moved.changed() => if changed.is_err() { return } else { Command::Moved },
            _ = every.tick() => Command::Tick,
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}

impl Owner {
    async fn take(&mut self, command: Command) {
        match command {
            Command::Beat(beat, answer) => self.beat(*beat, answer),
            Command::Due(name, sequence) => {
                let due = self.own.as_ref().is_some_and(|own| own.beat.name == name && own.beat.sequence == sequence);
                if due {
                    self.answer(true);
                }
            }
            Command::SignOff(name, answer) => {
                self.ends.entry(name.clone()).or_insert(false);
                if let Some(own) = self.own.as_mut().filter(|own| own.beat.name == name) {
                    own.drained.get_or_insert(model::now());
                    own.silent = true;
                }
                answer.send(()).unwrap_or_default();
            }
            Command::Moved => {
                let programme = self.outlook.load().programme.clone();
                if let Some(own) = &self.own {
                    let rows = programme.castings.get(&own.beat.service);
                    rows.into_iter().for_each(|rows| self.keys.observe(model::now(), &rows.1, &own.beat.name));
                }
                self.answer(false);
            }
            Command::Tick => self.mind_silence(),
            Command::Logged(told, outcome) => self.logged(told, outcome),
            Command::Refuses(name, refuses) => self.refuses(&name, refuses),
        }
        self.tell();
        let local = self.local();
        self.pit.local(local).await;
    }

    /// The back end as the owner of its slots has to know it.
    fn local(&self) -> Option<inbound::Local> {
        let outlook = self.outlook.load();
        let Some(own) = self.own.as_ref() else { return self.recalled(&outlook.programme) };
        // Before the first proof nobody here knows what the back end may hold: none of its keys is served (design 11.6).
        let keyed = outlook.proved == 0 || outlook.programme.services.get(&own.beat.service).is_some_and(|service| service.keyed);
        let rows = || own.beat.holds.iter().map(|(from, to, _)| (*from, *to)).collect();
        let margin = self.env.beat_every / 8;
        Some(inbound::Local {
            name: own.beat.name.clone(),
            address: own.beat.address.clone(),
            slots: own.beat.slots,
            closes: own.drained.map(|drained| drained + self.env.drain * 3 / 4),
            holding: keyed.then(|| inbound::Holding { rows: rows(), until: own.held_until.saturating_sub(margin), coming: Vec::new() }),
        })
    }

    /// Until a beat could not but have come, if it were there.
    fn recalled(&self, programme: &model::bill::Programme) -> Option<inbound::Local> {
        let until = self.began + self.env.beat_every * crate::facts::MISSED;
        let address = self.env.back_end.as_deref().filter(|_| model::now() < until)?;
        crate::recalled::recalled(programme, &self.env.node, address, until)
            .filter(|local| !self.over.contains(&local.name) && !self.ends.contains_key(&local.name))
    }

    pub(crate) fn player(&self, own: &Own) -> Player {
        let beat = &own.beat;
        let phase = if own.drained.is_some() { model::Phase::Draining } else { model::Phase::Registered };
        Player { service: beat.service.clone(), zone: beat.zone.clone(), node: self.env.node.clone(), slots: beat.slots, phase, since: 0 }
    }
}
