//! The state of the back end beside this node, owned by one task.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use control::{SharedVerifiedState, StatusReporter};
use inbound::ConcurrencyLimiter;
use model::cluster_state::{BackendRecord, ClusterReport, ShardMap, StateSnapshot};
use model::{BackendName, BackendPhase, Microseconds};
use slog::Logger;
use tokio::sync::{mpsc, watch};

use super::command::{AnswerSender, Command};
use super::config::LeaseTableConfig;
use super::granter::LeaseGranter;
use crate::heartbeat::Heartbeat;
use crate::registration::Registration;

/// How many heartbeats in a row may be missed before a back end is taken for silent.
pub(super) const MAX_MISSED_HEARTBEATS: u64 = 3;

/// A back end as its heartbeats describe it. Times are in microseconds of the node's clock.
pub(super) struct LocalBackend {
    /// The latest heartbeat. Its held ranges are those that the back end was granted last.
    pub(super) heartbeat: Heartbeat,
    /// When the latest heartbeat came.
    pub(super) last_heard: Microseconds,
    /// Since when the back end drains.
    pub(super) draining_since: Option<Microseconds>,
    /// When the leases that the back end was granted last expire.
    pub(super) lease_expires: Microseconds,
    /// When leases that an earlier process of this node granted have surely expired.
    pub(super) earlier_lease_expires: Microseconds,
    /// More than [`MAX_MISSED_HEARTBEATS`] were missed, or the back end has said that it ends.
    pub(super) silent: bool,
    /// A probe of the back end's process is under way.
    pub(super) probing: bool,
    /// For the answer to the latest heartbeat, kept back while there is nothing to say.
    pub(super) pending_answer: Option<AnswerSender>,
    /// Heard more than once, so no late heartbeat of an earlier incarnation.
    pub(super) heard_repeatedly: bool,
    /// The log did not take the back end: it already has the end of this name.
    pub(super) rejected: bool,
}

/// Everything that the lease table's task owns. The other modules of this folder add the handlers of its commands.
pub(super) struct LeaseTableTask {
    pub(super) config: LeaseTableConfig,
    pub(super) verified_state: SharedVerifiedState,
    pub(super) limiter: ConcurrencyLimiter,
    pub(super) reporter: StatusReporter,
    /// Back to this task, for the tasks that it starts.
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) lease_granter: LeaseGranter,
    /// The back end that is heard here; at most one, as a machine has one.
    pub(super) backend: Option<LocalBackend>,
    /// Back ends whose end has to be reported, and whether the process is known to be gone.
    pub(super) pending_ends: BTreeMap<BackendName, bool>,
    /// Back ends whose end this process has reported: a late heartbeat brings none of them back.
    pub(super) ended_names: BTreeSet<BackendName>,
    /// Reports of events, sent until the log has answered them.
    pub(super) pending_reports: Vec<ClusterReport>,
    /// When this process began, in microseconds.
    pub(super) started_at: Microseconds,
    /// When a back end that this process has not heard was last probed, in microseconds.
    pub(super) earlier_probed_at: Microseconds,
    /// Reports were sent and are not answered yet.
    pub(super) report_in_flight: bool,
    pub(super) registration: Registration,
    /// Set once another process was registered under this node's name.
    pub(super) superseded: watch::Sender<bool>,
    pub(super) logger: Logger,
}

impl LeaseTableTask {
    pub(super) fn snapshot(&self) -> Arc<StateSnapshot> {
        self.verified_state.load().snapshot.clone()
    }

    /// Whether this process reports, or has reported, the end of the back end of this name.
    pub(super) fn has_ended(&self, name: &str) -> bool {
        self.pending_ends.contains_key(name) || self.ended_names.contains(name)
    }

    /// The back end as the log is to have it.
    pub(super) fn backend_record(&self, backend: &LocalBackend) -> BackendRecord {
        let heartbeat = &backend.heartbeat;
        let phase = if backend.draining_since.is_some() {
            BackendPhase::Draining
        } else {
            BackendPhase::Registered
        };
        BackendRecord {
            service: heartbeat.service.clone(),
            zone: heartbeat.zone.clone(),
            node: self.config.node.clone(),
            slots: heartbeat.slots,
            phase,
            changed_at: 0,
        }
    }
}

/// The shard map of a service; empty if the service has no placement.
pub(super) fn shard_map_of(snapshot: &StateSnapshot, service: &str) -> ShardMap {
    snapshot
        .placements
        .get(service)
        .map(|placement| placement.1.clone())
        .unwrap_or_default()
}

/// Whether requests to this service go to the holder of their key.
pub(super) fn is_keyed(snapshot: &StateSnapshot, service: &str) -> bool {
    snapshot
        .services
        .get(service)
        .is_some_and(|service| service.keyed)
}
