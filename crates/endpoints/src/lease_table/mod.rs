//! The backend beside this node: its registration, heartbeats, leases, draining and end (design sections 11.2 and
//! 11.5). One task owns the state; [`LeaseTableHandle`] sends commands to the task.

mod command;
mod config;
mod event_loop;
mod granter;
mod heartbeats;
mod reports;
mod silence;
mod state;

pub use config::LeaseTableConfig;
pub use granter::{LeaseConfig, LeaseGrant, LeaseGranter};

use std::collections::{BTreeMap, BTreeSet};

use control::{FollowerHandle, StatusReporter};
use inbound::ConcurrencyLimiter;
use model::BackendName;
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};

use crate::heartbeat::{Heartbeat, HeartbeatResponse};
use crate::registration::Registration;
use command::Command;
use state::LeaseTableTask;

/// Capacity of the task's command channel; senders wait while the channel is full.
const COMMAND_CAPACITY: usize = 1_024;

/// The reason for which the lease table did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The task that owns the lease table has ended, as happens when the runtime shuts down.
    #[error("the lease table's task has ended")]
    Stopped,
}

/// Sends commands to the task that owns the state of the backend beside this node.
#[derive(Clone)]
pub struct LeaseTableHandle {
    commands: mpsc::Sender<Command>,
    superseded: watch::Receiver<bool>,
}

impl LeaseTableHandle {
    /// Starts the task. The task reads the state that `follower` verifies, sends reports through `reporter`, and
    /// updates the backend that `limiter` has.
    pub fn start(
        config: LeaseTableConfig,
        follower: FollowerHandle,
        limiter: ConcurrencyLimiter,
        reporter: StatusReporter,
        logger: Logger,
    ) -> LeaseTableHandle {
        let (commands, received) = mpsc::channel(COMMAND_CAPACITY);
        let (superseded_sender, superseded) = watch::channel(false);
        let task = LeaseTableTask {
            lease_granter: LeaseGranter::new(config.leases),
            registration: Registration::new(config.incarnation),
            config,
            verified_state: follower.verified_state.clone(),
            limiter,
            reporter,
            commands: commands.clone(),
            backend: None,
            pending_ends: BTreeMap::new(),
            ended_names: BTreeSet::new(),
            pending_reports: Vec::new(),
            started_at: model::now(),
            unconfirmed_probed_at: 0,
            report_in_flight: false,
            superseded: superseded_sender,
            logger,
        };
        tokio::spawn(event_loop::run(task, received));
        tokio::spawn(event_loop::forward_wakeups(
            commands.clone(),
            follower.changes,
        ));
        LeaseTableHandle {
            commands,
            superseded,
        }
    }

    /// Processes a heartbeat and waits for the answer, which may be delayed by up to 650 ms until there are changes to
    /// send.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatResponse, Error> {
        let (response, received) = oneshot::channel();
        self.send(Command::Heartbeat {
            heartbeat: Box::new(heartbeat),
            response,
        })
        .await?;
        received.await.map_err(|_| Error::Stopped)
    }

    /// Deregisters the backend `name`: the backend drains, and its end is reported to the log.
    pub async fn deregister(&self, name: BackendName) -> Result<(), Error> {
        let (done, is_done) = oneshot::channel();
        self.send(Command::Deregister { name, done }).await?;
        is_done.await.map_err(|_| Error::Stopped)
    }

    /// Returns whether another process was registered under this node's name after this process, which then has to
    /// stop.
    pub fn is_superseded(&self) -> bool {
        *self.superseded.borrow()
    }

    async fn send(&self, command: Command) -> Result<(), Error> {
        self.commands
            .send(command)
            .await
            .map_err(|_| Error::Stopped)
    }
}
