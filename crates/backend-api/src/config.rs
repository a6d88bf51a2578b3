//! What the backends' interface needs of the node that serves it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use control::StatusReporter;
use control::updates::view::SharedView;
use legacy_proxy::SlotOwnerHandle;
use model::{Microseconds, Position};
use slog::Logger;
use tokio::sync::watch;

/// What the backends' interface needs of the node that serves it.
#[derive(Clone)]
pub struct BackendApiConfig {
    /// Name of the node.
    pub node: String,
    /// Zone of the node, which its backends have to name too.
    pub zone: String,
    /// How often a backend is to send a heartbeat, in microseconds.
    pub heartbeat_interval: Microseconds,
    /// How long the node's state counts as current after a proof, in microseconds.
    pub freshness_bound: Microseconds,
    /// Registrations and slots.
    pub slot_owner: SlotOwnerHandle,
    /// The way of reports to the log.
    pub status_reports: StatusReporter,
    /// The node's state.
    pub view: SharedView,
    /// Changes whenever the state or its proof does.
    pub view_changes: watch::Receiver<Position>,
    /// Counts key slices that backends claimed in heartbeats and have no lease on.
    pub claims_without_lease: Arc<AtomicU64>,
    /// For what operators should know.
    pub logger: Logger,
}
