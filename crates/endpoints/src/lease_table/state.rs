//! The state of the backend beside this node, owned by one task.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use control::{SharedVerifiedState, StatusReporter};
use inbound::ConcurrencyLimiter;
use model::cluster_state::{BackendRecord, ClusterReport, ShardMap, StateSnapshot};
use model::{BackendName, BackendPhase, Microseconds};
use slog::Logger;
use tokio::sync::{mpsc, watch};

use super::command::{Command, ResponseSender};
use super::config::LeaseTableConfig;
use super::granter::LeaseGranter;
use crate::heartbeat::Heartbeat;
use crate::registration::Registration;

/// Number of consecutive heartbeats that may be missed before a backend is considered silent.
pub(super) const MAX_MISSED_HEARTBEATS: u64 = 3;

/// A backend as described by its heartbeats. Times are in microseconds of the node's clock.
pub(super) struct LocalBackend {
    /// The latest heartbeat. Its held ranges are replaced by those of the latest grant.
    pub(super) heartbeat: Heartbeat,
    /// Time at which the latest heartbeat was received.
    pub(super) last_heartbeat_at: Microseconds,
    /// Time at which the backend started to drain; `None` if it does not drain.
    pub(super) draining_since: Option<Microseconds>,
    /// Expiry of the latest granted leases.
    pub(super) lease_expires: Microseconds,
    /// Time by which all leases granted by an earlier process of this node have certainly expired.
    pub(super) earlier_lease_expires: Microseconds,
    /// Whether more than [`MAX_MISSED_HEARTBEATS`] were missed or the backend has deregistered.
    pub(super) silent: bool,
    /// Whether a probe of the backend's process is in progress.
    pub(super) probing: bool,
    /// Sends the response to the latest heartbeat, which is delayed while there are no changes; `None` once it is sent.
    pub(super) response_sender: Option<ResponseSender>,
    /// Whether more than one heartbeat was received. A single one may be a late heartbeat of an earlier incarnation.
    pub(super) received_repeatedly: bool,
    /// Whether the log rejected the registration because the backend of this name has already ended.
    pub(super) rejected: bool,
}

/// The state that the lease table's task owns. The command handlers are in the other modules of this folder.
pub(super) struct LeaseTableTask {
    pub(super) config: LeaseTableConfig,
    pub(super) verified_state: SharedVerifiedState,
    pub(super) limiter: ConcurrencyLimiter,
    pub(super) reporter: StatusReporter,
    /// Sends commands to this task; used by the tasks that it spawns.
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) lease_granter: LeaseGranter,
    /// The backend whose heartbeats this process receives; a machine has at most one backend.
    pub(super) backend: Option<LocalBackend>,
    /// Backends whose end has to be reported, and whether the backend's process is known to be gone.
    pub(super) pending_ends: BTreeMap<BackendName, bool>,
    /// Backends whose end this process has reported; late heartbeats of these are ignored.
    pub(super) ended_names: BTreeSet<BackendName>,
    /// Reports of events, sent again until the log has answered them.
    pub(super) pending_reports: Vec<ClusterReport>,
    /// Start time of this process, in microseconds.
    pub(super) started_at: Microseconds,
    /// Time of the last probe of a backend that is in the log but has sent this process no heartbeat, in microseconds.
    pub(super) unconfirmed_probed_at: Microseconds,
    /// Whether reports were sent and are not answered yet.
    pub(super) report_in_flight: bool,
    pub(super) registration: Registration,
    /// Set to true once another process was registered under this node's name.
    pub(super) superseded: watch::Sender<bool>,
    pub(super) logger: Logger,
}

impl LeaseTableTask {
    pub(super) fn snapshot(&self) -> Arc<StateSnapshot> {
        self.verified_state.load().snapshot.clone()
    }

    /// Returns whether this process has reported, or is about to report, the end of the backend `name`.
    pub(super) fn has_ended(&self, name: &str) -> bool {
        self.pending_ends.contains_key(name) || self.ended_names.contains(name)
    }

    /// Returns the record of the backend that the log should have.
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

/// Returns the shard map of a service; empty if the service has no placement.
pub(super) fn shard_map_of(snapshot: &StateSnapshot, service: &str) -> ShardMap {
    snapshot
        .placements
        .get(service)
        .map(|placement| placement.1.clone())
        .unwrap_or_default()
}

/// Returns whether requests to this service are routed to the holder of their key.
pub(super) fn is_keyed(snapshot: &StateSnapshot, service: &str) -> bool {
    snapshot
        .services
        .get(service)
        .is_some_and(|service| service.keyed)
}
