//! Configuration of the interface for backends.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use control::StatusReporter;
use control::updates::view::SharedView;
use legacy_proxy::SlotOwnerHandle;
use model::{Microseconds, Position};
use slog::Logger;
use tokio::sync::watch;

/// Configuration of the interface for backends, with the node's components that it uses.
#[derive(Clone)]
pub struct BackendApiConfig {
    /// Name of the node.
    pub node: String,
    /// Zone of the node; its backends must state the same zone.
    pub zone: String,
    /// Interval at which backends have to send heartbeats, in microseconds.
    pub heartbeat_interval: Microseconds,
    /// Time for which the node's state counts as current after a freshness proof, in microseconds.
    pub proof_validity: Microseconds,
    /// Manages registrations and slots.
    pub slot_owner: SlotOwnerHandle,
    /// Sends reports to the log.
    pub status_reports: StatusReporter,
    /// The state that the node follows.
    pub view: SharedView,
    /// Changes whenever the state or its freshness proof changes.
    pub view_changes: watch::Receiver<Position>,
    /// Counts the key slots that backends claimed in heartbeats without holding their leases.
    pub claims_without_lease: Arc<AtomicU64>,
    /// Logger for events that concern operators.
    pub logger: Logger,
}
