//! The one owner of the back end beside this node: its beats, its drain, its end (design 11.2).

use crate::leases::{LeaseConfig, LeaseGranter};
use model::cluster_state::{BackendRecord, ClusterReport, ShardKey};
use model::{Microseconds, Position};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone)]
pub struct LeaseTableConfig {
    pub node: String,
    pub zone: String,
    /// Where mates reach this node.
    pub address: String,
    pub incarnation: u64,
    pub leases: LeaseConfig,
    pub heartbeat_interval: Microseconds,
    /// How long a draining back end still takes what is on its way.
    pub drain_timeout: Microseconds,
    /// Where the one back end of this machine is found, if settings say so.
    pub backend_address: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub name: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    pub sequence: u64,
    pub held_ranges: Vec<(ShardKey, ShardKey, Position)>,
    pub released_ranges: Vec<(ShardKey, ShardKey, String)>,
}

/// `None`: the beat renews nothing.
pub type HeartbeatAnswer = Option<(Vec<(ShardKey, ShardKey, Position, String)>, Microseconds)>;

pub(crate) type AnswerSender = tokio::sync::oneshot::Sender<HeartbeatAnswer>;

pub(crate) enum Command {
    Heartbeat(Box<Heartbeat>, AnswerSender),
    /// A beat's answer was kept back long enough.
    AnswerDue(String, u64),
    Deregister(String, tokio::sync::oneshot::Sender<()>),
    StateChanged,
    Tick,
    Reported(Vec<ClusterReport>, Option<model::Outcome>),
    Probed(String, bool),
}

/// A back end as it told of itself.
pub(crate) struct LocalBackend {
    pub heartbeat: Heartbeat,
    pub last_heard: Microseconds,
    pub draining_since: Option<Microseconds>,
    /// Until then it may hold what it was last told to.
    pub lease_expires: Microseconds,
    /// Until then it may hold what an earlier process of this node told it to.
    pub earlier_lease_expires: Microseconds,
    pub silent: bool,
    pub probing: bool,
    /// The latest beat's answer, kept back while there is nothing to say.
    pub(crate) pending_answer: Option<AnswerSender>,
    /// Heard more than once: no late beat of an earlier life.
    pub heard_repeatedly: bool,
    /// The log did not take it up: it has the end of this name already.
    pub rejected: bool,
}

pub struct LeaseTableTask {
    pub(crate) config: LeaseTableConfig,
    pub(crate) verified_state: control::SharedVerifiedState,
    pub(crate) limiter: inbound::ConcurrencyLimiter,
    pub(crate) reports: control::StatusReporter,
    pub(crate) commands: tokio::sync::mpsc::Sender<Command>,
    pub(crate) lease_granter: LeaseGranter,
    pub(crate) backend: Option<LocalBackend>,
    /// Ends still to be told, and whether each is sure.
    pub(crate) pending_ends: BTreeMap<String, bool>,
    /// Names this process tells the end of: a late beat brings none back.
    pub(crate) ended_names: BTreeSet<String>,
    pub(crate) pending_reports: Vec<ClusterReport>,
    /// When this process began.
    pub(crate) started_at: Microseconds,
    /// When it last looked whether one it never heard is still there.
    pub(crate) earlier_probed_at: Microseconds,
    pub(crate) report_in_flight: bool,
    pub(crate) registration: crate::registration::Registration,
    pub(crate) superseded: tokio::sync::watch::Sender<bool>,
    pub(crate) logger: slog::Logger,
}

#[derive(Clone)]
pub struct LeaseTableHandle {
    pub(crate) commands: tokio::sync::mpsc::Sender<Command>,
    superseded: tokio::sync::watch::Receiver<bool>,
}

impl LeaseTableHandle {
    pub fn start(
        env: LeaseTableConfig,
        following: control::FollowerHandle,
        pit: inbound::ConcurrencyLimiter,
        reports: control::StatusReporter,
        logger: slog::Logger,
    ) -> LeaseTableHandle {
        let (commands, mut buffer) = tokio::sync::mpsc::channel(1_024);
        let keys = LeaseGranter::new(env.leases);
        let outlook = following.verified_state.clone();
        let (ends, facts) = (Default::default(), Vec::new());
        let (own, over, began, telling) = (None, Default::default(), model::now(), false);
        let registration = crate::registration::Registration::new(env.incarnation);
        let (tell_superseded, superseded) = tokio::sync::watch::channel(false);
        let mut owner = LeaseTableTask {
            config: env,
            verified_state: outlook,
            limiter: pit,
            reports,
            commands: commands.clone(),
            lease_granter: keys,
            backend: own,
            pending_ends: ends,
            ended_names: over,
            pending_reports: facts,
            started_at: began,
            earlier_probed_at: 0,
            report_in_flight: telling,
            registration,
            superseded: tell_superseded,
            logger,
        };
        tokio::spawn(async move {
            while let Some(command) = buffer.recv().await {
                owner.handle(command).await;
            }
        });
        tokio::spawn(forward_wakeups(commands.clone(), following.changes));
        LeaseTableHandle {
            commands,
            superseded,
        }
    }

    /// `None`: the owner is gone.
    pub async fn heartbeat(&self, beat: Heartbeat) -> Option<HeartbeatAnswer> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        self.commands
            .send(Command::Heartbeat(Box::new(beat), answer))
            .await
            .ok()?;
        answered.await.ok()
    }

    /// Another process of this node's name was registered after this one.
    pub fn is_superseded(&self) -> bool {
        *self.superseded.borrow()
    }

    pub async fn deregister(&self, name: String) -> Option<()> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        self.commands
            .send(Command::Deregister(name, answer))
            .await
            .ok()?;
        answered.await.ok()
    }
}

async fn forward_wakeups(
    commands: tokio::sync::mpsc::Sender<Command>,
    mut moved: tokio::sync::watch::Receiver<u64>,
) {
    let mut every = tokio::time::interval(Duration::from_millis(250));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let command = tokio::select! {
            changed = moved.changed() => if changed.is_err() { return } else { Command::StateChanged },
            _ = every.tick() => Command::Tick,
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}

impl LeaseTableTask {
    async fn handle(&mut self, command: Command) {
        match command {
            Command::Heartbeat(beat, answer) => self.receive_heartbeat(*beat, answer),
            Command::AnswerDue(name, sequence) => {
                let due = self.backend.as_ref().is_some_and(|own| {
                    own.heartbeat.name == name && own.heartbeat.sequence == sequence
                });
                if due {
                    self.answer_heartbeat(true);
                }
            }
            Command::Deregister(name, answer) => {
                self.pending_ends.entry(name.clone()).or_insert(false);
                if let Some(own) = self
                    .backend
                    .as_mut()
                    .filter(|own| own.heartbeat.name == name)
                {
                    own.draining_since.get_or_insert(model::now());
                    own.silent = true;
                }
                answer.send(()).unwrap_or_default();
            }
            Command::StateChanged => {
                let programme = self.verified_state.load().snapshot.clone();
                if let Some(own) = &self.backend {
                    let rows = programme.placements.get(&own.heartbeat.service);
                    rows.into_iter().for_each(|rows| {
                        self.lease_granter
                            .observe(model::now(), &rows.1, &own.heartbeat.name)
                    });
                }
                self.answer_heartbeat(false);
            }
            Command::Tick => self.check_silence(),
            Command::Reported(told, outcome) => self.handle_report_outcome(told, outcome),
            Command::Probed(name, refuses) => self.handle_probe_outcome(&name, refuses),
        }
        self.send_reports();
        let local = self.local_backend();
        self.limiter.set_backend(local).await;
    }

    /// The back end as the owner of its slots has to know it.
    fn local_backend(&self) -> Option<inbound::LocalBackend> {
        let outlook = self.verified_state.load();
        let Some(own) = self.backend.as_ref() else {
            return self.restored_backend(&outlook.snapshot);
        };
        // Before the first proof nobody here knows what the back end may hold: none of its keys is served (design 11.6).
        let keyed = outlook.verified_at == 0
            || outlook
                .snapshot
                .services
                .get(&own.heartbeat.service)
                .is_some_and(|service| service.keyed);
        let rows = || {
            own.heartbeat
                .held_ranges
                .iter()
                .map(|(from, to, _)| (*from, *to))
                .collect()
        };
        let margin = self.config.heartbeat_interval / 8;
        Some(inbound::LocalBackend {
            name: own.heartbeat.name.clone(),
            address: own.heartbeat.address.clone(),
            slots: own.heartbeat.slots,
            drains_at: own
                .draining_since
                .map(|drained| drained + self.config.drain_timeout * 3 / 4),
            held_keys: keyed.then(|| inbound::HeldKeys {
                ranges: rows(),
                until: own.lease_expires.saturating_sub(margin),
                pending: Vec::new(),
            }),
        })
    }

    /// Until a beat could not but have come, if it were there.
    fn restored_backend(
        &self,
        programme: &model::cluster_state::StateSnapshot,
    ) -> Option<inbound::LocalBackend> {
        let until = self.started_at
            + self.config.heartbeat_interval * crate::reports::MAX_MISSED_HEARTBEATS;
        let address = self
            .config
            .backend_address
            .as_deref()
            .filter(|_| model::now() < until)?;
        crate::restored_backend::restored_backend(programme, &self.config.node, address, until)
            .filter(|local| {
                !self.ended_names.contains(&local.name)
                    && !self.pending_ends.contains_key(&local.name)
            })
    }

    pub(crate) fn backend_record(&self, own: &LocalBackend) -> BackendRecord {
        let beat = &own.heartbeat;
        let phase = if own.draining_since.is_some() {
            model::BackendPhase::Draining
        } else {
            model::BackendPhase::Registered
        };
        BackendRecord {
            service: beat.service.clone(),
            zone: beat.zone.clone(),
            node: self.config.node.clone(),
            slots: beat.slots,
            phase,
            changed_at: 0,
        }
    }
}
