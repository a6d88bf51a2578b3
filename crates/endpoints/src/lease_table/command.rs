//! Commands to the lease table's task, sent by its handle and by the tasks that it spawns.

use model::cluster_state::ClusterReport;
use model::{BackendName, Outcome};
use tokio::sync::oneshot;

use crate::heartbeat::{Heartbeat, HeartbeatResponse};

/// Sends the response to one heartbeat.
pub(super) type ResponseSender = oneshot::Sender<HeartbeatResponse>;

pub(super) enum Command {
    /// The backend beside this node sent a heartbeat.
    Heartbeat {
        heartbeat: Box<Heartbeat>,
        response: ResponseSender,
    },
    /// The response to the backend's heartbeat with this sequence number was delayed for the maximum time.
    ResponseDue { name: BackendName, sequence: u64 },
    /// The backend of this name deregisters.
    Deregister {
        name: BackendName,
        done: oneshot::Sender<()>,
    },
    /// The verified state has changed.
    StateChanged,
    /// Sent at a fixed interval.
    Tick,
    /// The log's outcome of these reports; `None` if the reporter's task has ended.
    Reported {
        reports: Vec<ClusterReport>,
        outcome: Option<Outcome>,
    },
    /// The result of probing the backend of this name; `refused` if each connection attempt was refused.
    Probed { name: BackendName, refused: bool },
}
